#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace review {

namespace {

sockaddr_in toSockaddr(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int millisUntil(TimePoint deadline)
{
    const auto left = std::chrono::ceil<Millis>(deadline - Clock::now()).count();
    return static_cast<int>(std::clamp<Millis::rep>(left, 0, 60'000));
}

bool await(int descriptor, short events, TimePoint deadline)
{
    pollfd waited{descriptor, events, 0};
    return poll(&waited, 1, millisUntil(deadline)) > 0;
}

bool isToken(std::string_view name)
{
    return !name.empty() && std::ranges::all_of(name, [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0
               || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
    });
}

bool sameName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
               == std::tolower(static_cast<unsigned char>(b));
    });
}

void parseHead(std::string_view head, Message &message)
{
    std::size_t end = head.find("\r\n");
    message.startLine = head.substr(0, end);
    while (end != std::string_view::npos) {
        head.remove_prefix(end + 2);
        end = head.find("\r\n");
        const std::string_view line = head.substr(0, end);
        if (line.empty())
            break;
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos) {
            message.badHead = true;
            continue;
        }
        const std::string_view name = line.substr(0, colon);
        message.badHead = message.badHead || !isToken(name);
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
            value.remove_prefix(1);
        message.headers.emplace_back(name, value);
    }
}

/// Reads a message's body piece by piece.
class BodyReader
{
public:
    BodyReader(Socket &socket, std::string &buffer, TimePoint deadline, const BodyHandler &onBody,
               Message &message)
        : socket_(socket)
        , buffer_(buffer)
        , deadline_(deadline)
        , onBody_(onBody)
        , message_(message)
    {
    }

    /// True when the body has arrived in full.
    bool readLength(std::size_t length)
    {
        while (length > 0) {
            if (buffer_.empty() && !more())
                return false;
            const std::size_t part = std::min(length, buffer_.size());
            if (!take(part))
                return false;
            length -= part;
        }
        return true;
    }

    bool readChunks()
    {
        for (;;) {
            std::size_t lineEnd = buffer_.find("\r\n");
            while (lineEnd == std::string::npos) {
                if (!more())
                    return false;
                lineEnd = buffer_.find("\r\n");
            }
            const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            buffer_.erase(0, lineEnd + 2);
            if (!readLength(size))
                return false;
            while (buffer_.size() < 2) {
                if (!more())
                    return false;
            }
            buffer_.erase(0, 2);
            if (size == 0)
                return true;
        }
    }

    bool readToEnd()
    {
        for (;;) {
            if (!buffer_.empty() && !take(buffer_.size()))
                return false;
            if (!more())
                return last_ == Socket::Read::End;
        }
    }

private:
    bool more()
    {
        last_ = socket_.read(buffer_, deadline_);
        message_.ended = last_ == Socket::Read::End || last_ == Socket::Read::Reset;
        return last_ == Socket::Read::Bytes;
    }

    bool take(std::size_t size)
    {
        const std::string_view bytes(buffer_.data(), size);
        const bool goesOn = !onBody_ || onBody_(bytes);
        if (!onBody_)
            message_.body += bytes;
        buffer_.erase(0, size);
        return goesOn;
    }

    Socket &socket_;
    std::string &buffer_;
    TimePoint deadline_;
    const BodyHandler &onBody_;
    Message &message_;
    Socket::Read last_ = Socket::Read::Bytes;
};

} // namespace

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
    }
    return *this;
}

void Socket::close()
{
    if (descriptor_ >= 0)
        ::close(std::exchange(descriptor_, -1));
}

void Socket::reset()
{
    const linger now{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

bool Socket::write(std::string_view bytes, TimePoint deadline)
{
    while (!bytes.empty()) {
        const ssize_t sent
                = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        const bool wouldBlock = errno == EAGAIN || errno == EINTR;
        if (!wouldBlock || Clock::now() >= deadline || !await(descriptor_, POLLOUT, deadline))
            return false;
    }
    return true;
}

Socket::Read Socket::read(std::string &buffer, TimePoint deadline)
{
    char bytes[65536];
    for (;;) {
        const ssize_t count = recv(descriptor_, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (count > 0) {
            buffer.append(bytes, static_cast<std::size_t>(count));
            return Read::Bytes;
        }
        if (count == 0)
            return Read::End;
        if (errno != EAGAIN && errno != EINTR)
            return Read::Reset;
        if (Clock::now() >= deadline || !await(descriptor_, POLLIN, deadline))
            return Read::Timeout;
    }
}

bool Socket::closedByPeer() const
{
    char byte = 0;
    const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

Listener::Listener(const std::string &ip)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = toSockaddr(ip, 0);
    const int on = 1;
    setsockopt(socket_.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(socket_.descriptor(), reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || listen(socket_.descriptor(), 1024) != 0)
        throw std::runtime_error("cannot listen on " + ip);
    socklen_t size = sizeof(address);
    getsockname(socket_.descriptor(), reinterpret_cast<sockaddr *>(&address), &size);
    address_ = {ip, ntohs(address.sin_port)};
}

Socket Listener::accept()
{
    if (!await(socket_.descriptor(), POLLIN, Clock::now() + Millis(100)))
        return {};
    Socket accepted(accept4(socket_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    const int on = 1;
    setsockopt(accepted.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return accepted;
}

Socket connectTo(const Address &address, TimePoint deadline)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const sockaddr_in target = toSockaddr(address.ip, address.port);
    const int on = 1;
    setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&target), sizeof(target))
        == 0)
        return socket;
    if (errno != EINPROGRESS || !await(socket.descriptor(), POLLOUT, deadline))
        return {};
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0 ? std::move(socket) : Socket();
}

std::uint16_t freePort(const std::vector<std::string> &ips)
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        std::vector<Socket> held;
        std::uint16_t port = 0;
        bool free = true;
        for (const std::string &ip : ips) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                held.emplace_back(::socket(AF_INET, type | SOCK_CLOEXEC, 0));
                sockaddr_in address = toSockaddr(ip, port);
                free = free
                       && bind(held.back().descriptor(), reinterpret_cast<sockaddr *>(&address),
                               sizeof(address))
                                  == 0;
                socklen_t size = sizeof(address);
                getsockname(held.back().descriptor(), reinterpret_cast<sockaddr *>(&address),
                            &size);
                port = port == 0 ? ntohs(address.sin_port) : port;
            }
        }
        if (free)
            return port;
    }
    throw std::runtime_error("no free port");
}

std::optional<std::string> findHeader(const Headers &headers, std::string_view name)
{
    const auto found = std::ranges::find_if(
            headers, [&](const auto &field) { return sameName(field.first, name); });
    return found == headers.end() ? std::nullopt : std::optional(found->second);
}

int Message::status() const
{
    const std::size_t space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space + 1);
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t from = startLine.find(' ');
    if (from == std::string::npos)
        return {};
    return startLine.substr(from + 1, startLine.find(' ', from + 1) - from - 1);
}

std::optional<Message> readMessage(Socket &socket, std::string &buffer, TimePoint deadline,
                                   const BodyHandler &onBody)
{
    std::size_t headEnd = buffer.find("\r\n\r\n");
    Message message;
    while (headEnd == std::string::npos) {
        const bool nothing = buffer.empty();
        const Socket::Read read = socket.read(buffer, deadline);
        if (read != Socket::Read::Bytes) {
            if (nothing)
                return std::nullopt;
            message.ended = read != Socket::Read::Timeout;
            return message;
        }
        headEnd = buffer.find("\r\n\r\n");
    }
    parseHead(std::string_view(buffer).substr(0, headEnd + 2), message);
    buffer.erase(0, headEnd + 4);
    const bool isResponse = message.startLine.starts_with("HTTP/");
    BodyReader body(socket, buffer, deadline, onBody, message);
    const auto coding = findHeader(message.headers, "transfer-encoding");
    const auto length = findHeader(message.headers, "content-length");
    if (coding && sameName(*coding, "chunked"))
        message.complete = body.readChunks();
    else if (length)
        message.complete = body.readLength(std::strtoul(length->c_str(), nullptr, 10));
    else
        message.complete = !isResponse || body.readToEnd();
    return message;
}

std::string base64(std::string_view bytes)
{
    constexpr std::string_view kDigits
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = (group << 8)
                    | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
    }
    return text;
}

} // namespace review
