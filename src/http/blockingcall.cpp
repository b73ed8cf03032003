#include "http/blockingcall.h"

#include "base/log.h"
#include "net/wholebody.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cicadafork {

namespace {

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

/// Names in paths come from callers. Servers decode them, also '+' to a blank.
std::string encodedPath(std::string_view path)
{
    std::string encoded;
    for (const char character : path) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isPlain = byte > ' ' && byte < 0x7f && character != '+';
        if (isPlain)
            encoded += character;
        else
            encoded += fmt::format("%{:02X}", byte);
    }
    return encoded;
}

std::string requestHead(const Address &address, const BlockingRequest &request)
{
    HeaderList headers = request.headers;
    headers.set("Host", toString(address));
    headers.set("Connection", "close");
    if (!request.body.empty())
        headers.set("Content-Type", "application/json");
    if (!request.body.empty() || request.method == "POST")
        headers.set("Content-Length", std::to_string(request.body.size()));
    return serializeRequestHead(request.method, encodedPath(request.path), headers);
}

} // namespace

BlockingCall::BlockingCall(Address address, HttpTimeouts timeouts)
    : address_(std::move(address))
    , timeouts_(timeouts)
    , parser_({[this](HttpResponseHead &&head) {
                   if (head.status / 100 == 2)
                       fault_ = bodyFault(head, BodyKind::Any);
                   if (!fault_ && handlers_->head)
                       receiverEnded_ = !handlers_->head(std::move(head));
               },
               [this](std::string_view bytes) {
                   if (!fault_ && !receiverEnded_ && handlers_->body)
                       receiverEnded_ = !handlers_->body(bytes);
               },
               [] {}})
{
}

BlockingCall::~BlockingCall()
{
    if (socket_ >= 0)
        ::close(socket_);
}

void BlockingCall::interrupt()
{
    // Set first, as the connection seems to end in an orderly way for the reading thread.
    interrupted_ = true;
    if (const int socket = socket_; socket >= 0)
        ::shutdown(socket, SHUT_RDWR);
}

CallEnd BlockingCall::run(const BlockingRequest &request, const BlockingHandlers &handlers)
{
    handlers_ = &handlers;
    if (!connect())
        return interrupted_ ? CallEnd::NotSent : CallEnd::NotConnected;
    if (interrupted_ || (handlers.beforeSend && !handlers.beforeSend()))
        return CallEnd::NotSent;
    const CallEnd end = exchange(requestHead(address_, request), request.body);
    if (fault_)
        logEvent(LogLevel::Warning, "invalid_response",
                 {{"address", toString(address_)}, {"call", request.path}, {"fault", fault_}});
    return end;
}

bool BlockingCall::connect()
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address_.port);
    if (inet_pton(AF_INET, address_.ip.c_str(), &target.sin_addr) != 1)
        return false;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return false;
    socket_ = socket;
    const int noDelay = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0)
        return true;
    if (errno != EINPROGRESS || waitFor(POLLOUT, steadyNow() + timeouts_.connect) == 0)
        return false;
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

CallEnd BlockingCall::exchange(std::string_view head, std::string_view body)
{
    TimePoint lastProgress = steadyNow();
    for (;;) {
        std::string_view &unsent = head.empty() ? body : head;
        const bool writes = !unsent.empty() && close_ == ConnectionClose::Orderly;
        const short awaited = writes ? POLLIN | POLLOUT : POLLIN;
        const short events
                = waitFor(awaited, lastProgress + (writes ? timeouts_.write : timeouts_.read));
        if (events == 0)
            return writes ? CallEnd::Broken : CallEnd::TimedOut;
        lastProgress = steadyNow();
        // A response may arrive before the request is written. Only a read tells an orderly end
        // that a reset follows from a reset alone.
        if (events & ~POLLOUT) {
            if (const auto end = receive())
                return *end;
        } else {
            send(unsent);
        }
    }
}

void BlockingCall::send(std::string_view &bytes)
{
    const ssize_t count = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count >= 0)
        bytes.remove_prefix(static_cast<std::size_t>(count));
    else if (!wouldBlock())
        close_ = ConnectionClose::Failed;
}

std::optional<CallEnd> BlockingCall::receive()
{
    std::array<char, 16 * 1024> buffer;
    const ssize_t count = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (count < 0 && wouldBlock())
        return std::nullopt;
    if (count > 0) {
        parser_.feed({buffer.data(), static_cast<std::size_t>(count)});
    } else {
        if (count < 0 || interrupted_)
            close_ = ConnectionClose::Failed;
        parser_.finish(close_);
    }
    if (!fault_)
        fault_ = parser_.fault();
    if (receiverEnded_)
        return CallEnd::ReceiverEnded;
    if (fault_ || parser_.state() == ParseState::Failed)
        return CallEnd::Broken;
    return parser_.state() == ParseState::Complete ? std::optional(CallEnd::Answered)
                                                   : std::nullopt;
}

short BlockingCall::waitFor(short events, TimePoint until) const
{
    for (;;) {
        const auto left = std::chrono::ceil<Millis>(until - steadyNow());
        pollfd socket{.fd = socket_, .events = events, .revents = 0};
        const int count = ::poll(&socket, 1, std::max(0, static_cast<int>(left.count())));
        if (count >= 0)
            return socket.revents;
        if (errno != EINTR)
            return POLLERR;
    }
}

} // namespace cicadafork
