#include "net/sockets.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cicadafork {

namespace {

// A peer without power is noticed after kKeepAliveIdle + kKeepAliveProbes * kKeepAliveInterval.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void setOption(int socket, int level, int option, int value)
{
    setsockopt(socket, level, option, &value, sizeof(value));
}

} // namespace

void tuneSocket(asio::ip::tcp::socket &socket, SocketTuning tuning)
{
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    if (tuning.userTimeout > Millis(0))
        setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
                  static_cast<int>(tuning.userTimeout.count()));
    if (!tuning.keepAlive)
        return;
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

} // namespace cicadafork
