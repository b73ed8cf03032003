#include "net/sockets.h"

#include <asio/buffer.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cicadafork {

namespace {

constexpr std::chrono::seconds kProbeInterval{1};
constexpr int kProbes = 2;

void setOption(int socket, int level, int option, int value)
{
    setsockopt(socket, level, option, &value, sizeof(value));
}

} // namespace

std::chrono::seconds deadPeerDetectionTime(SocketTuning tuning)
{
    return tuning.keepAliveIdle + kProbeInterval * kProbes;
}

void tuneSocket(asio::ip::tcp::socket &socket, SocketTuning tuning)
{
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    if (tuning.userTimeout > Millis(0))
        setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
                  static_cast<int>(tuning.userTimeout.count()));
    if (tuning.keepAliveIdle.count() == 0)
        return;
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(tuning.keepAliveIdle.count()));
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(kProbeInterval.count()));
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

asio::error_code writeWithoutBlocking(asio::ip::tcp::socket &socket, const std::string &output,
                                      std::size_t &written)
{
    asio::error_code error;
    while (!error && written < output.size())
        written += socket.write_some(asio::buffer(output.data() + written, output.size() - written),
                                     error);
    return error;
}

} // namespace cicadafork
