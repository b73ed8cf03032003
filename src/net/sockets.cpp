#include "net/sockets.h"

#include <asio/buffer.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cicadafork {

namespace {

constexpr std::chrono::seconds kKeepAliveInterval{1};
constexpr int kKeepAliveProbes = 2;

void setOption(int socket, int level, int option, int value)
{
    setsockopt(socket, level, option, &value, sizeof(value));
}

} // namespace

std::chrono::seconds deadPeerDetectionTime(SocketTuning tuning)
{
    // With a user timeout, the connection ends at the first unanswered probe after it.
    auto detected = tuning.keepAliveIdle + kKeepAliveInterval;
    const auto limit = tuning.keepAliveIdle + kKeepAliveInterval * kKeepAliveProbes;
    if (tuning.userTimeout == Millis(0))
        return limit;
    while (detected < tuning.userTimeout)
        detected += kKeepAliveInterval;
    return detected;
}

void tuneSocket(asio::ip::tcp::socket &socket, SocketTuning tuning)
{
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    const int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    if (tuning.userTimeout > Millis(0))
        setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
                  static_cast<int>(tuning.userTimeout.count()));
    if (tuning.keepAliveIdle.count() == 0)
        return;
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE,
              static_cast<int>(tuning.keepAliveIdle.count()));
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(kKeepAliveInterval.count()));
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

asio::error_code writeWithoutBlocking(asio::ip::tcp::socket &socket, std::string_view output,
                                      std::size_t &written)
{
    asio::error_code error;
    while (!error && written < output.size())
        written += socket.write_some(asio::buffer(output.data() + written, output.size() - written),
                                     error);
    return error;
}

} // namespace cicadafork
