#pragma once

// Blocking HTTP/1.1 over loopback sockets, for the stand-ins and clients of the review cases.
//
//   Listener listener("127.10.0.1");
//   Socket socket = listener.accept();
//   std::optional<Message> request = readMessage(socket, buffer, deadline);

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// Owns a descriptor. Reads and writes end at a deadline.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor)
        : descriptor_(descriptor)
    {
    }
    ~Socket() { close(); }
    Socket(Socket &&other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    Socket &operator=(Socket &&other) noexcept;

    bool open() const { return descriptor_ >= 0; }
    int descriptor() const { return descriptor_; }
    void close();
    /// Ends the connection with a TCP reset.
    void reset();

    bool write(std::string_view bytes, TimePoint deadline);
    enum class Read { Bytes, End, Reset, Timeout };
    /// Appends what arrives next to the buffer.
    Read read(std::string &buffer, TimePoint deadline);
    /// True if the peer has closed the connection or reset it.
    bool closedByPeer() const;

private:
    int descriptor_ = -1;
};

class Listener
{
public:
    /// Listens on a free port of the loopback address.
    explicit Listener(const std::string &ip);

    const Address &address() const { return address_; }
    /// The next connection; not open if none came within 100 ms.
    Socket accept();

private:
    Socket socket_;
    Address address_;
};

Socket connectTo(const Address &address, TimePoint deadline);
/// A port that is free for TCP and UDP on all of the addresses.
std::uint16_t freePort(const std::vector<std::string> &ips);

using Headers = std::vector<std::pair<std::string, std::string>>;

/// The value of the first field with this name, without regard to case.
std::optional<std::string> findHeader(const Headers &headers, std::string_view name);

struct Message
{
    std::string startLine;
    Headers headers;
    std::string body;
    bool badHead = false;  ///< A line of the head is no HTTP: no name, or no token as name.
    bool complete = false; ///< The body ended as its framing says.
    bool ended = false;    ///< The connection closed or broke before that.

    int status() const;
    std::string method() const;
    std::string target() const;
};

/// Called with the bytes of a body as they arrive. Returns false to stop reading.
using BodyHandler = std::function<bool(std::string_view bytes)>;

/// Reads one message; nothing if the connection ends or the deadline passes before its first byte.
/// `buffer` holds bytes that were received beyond the message before.
std::optional<Message> readMessage(Socket &socket, std::string &buffer, TimePoint deadline,
                                   const BodyHandler &onBody = {});

std::string base64(std::string_view bytes);

} // namespace review
