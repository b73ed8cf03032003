#pragma once

// Single-threaded HTTP/1.1 client with a pool of persistent connections.
//
//   UpstreamPool pool(context, {});
//   auto call = pool.call(address, {.head = head, .body = body}, {
//       .head = [](HttpResponseHead &&head) { return HeadAction::Accept; },
//       .body = [](std::string_view bytes) { ... },
//       .end = [](UpstreamOutcome end) { ... }});
//   call.reset();   // cancels: closes the connection; no handler runs after this
//
// A connection carries one call at a time. It is reused only if the response was complete and no
// further bytes followed it.
//
// The bytes of a body that its handler has received count as held until the call ends, unless
// UpstreamCall::setHeldBytes() says otherwise. A call that holds more than it may ends, and so does
// the one that holds the most when all together hold more than the pool's room.

#include "base/clock.h"
#include "http/address.h"
#include "net/answerroom.h"
#include "net/dialer.h"
#include "net/parser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadafork {

struct UpstreamOptions
{
    /// Connecting normally takes a few milliseconds. The timeout is short so that a call with a
    /// latency target of 100 ms can move on to another endpoint if the first one is unreachable.
    Millis connectTimeout{150};
    /// Sent bytes that stay unacknowledged this long end the connection. A sound server may be
    /// silent for a second or so.
    Millis userTimeout{2500};
    /// Idle time before the first TCP keep-alive probe. Memory that is reserved for a request must
    /// be released within 4 s after the endpoint that received the request loses power.
    std::chrono::seconds keepAliveIdle{1};
    /// Idle connections older than this are not reused. A shorter timeout in the server's
    /// Keep-Alive field takes precedence.
    Millis idleTimeout{3500};
    std::size_t maxIdleConnectionsPerAddress = 16;
    /// Limit of the bytes that all answers hold; 0: unlimited.
    std::size_t answerRoom = 0;
};

/// How a call ended.
enum class UpstreamOutcome {
    Complete,
    /// The connection could not be established; no part of the request was sent.
    NotSent,
    /// The connection ended, or the response was not valid HTTP, before a head was accepted.
    NoAnswer,
    /// The connection ended, or the response was not valid HTTP, after its head was accepted.
    Broken,
    /// More bytes of the body were held than UpstreamRequest::maxHeldBytes.
    TooLarge,
    /// Of all answers that exceeded the room together, it was the largest.
    NoRoom,
};

/// What to do with a response whose head has arrived.
enum class HeadAction {
    Accept,
    /// Accept it, and close the connection after it. For responses that do not name their request:
    /// a late duplicate could not be told from the response to the connection's next call.
    AcceptLast,
    /// The response belongs to another request: discard it and wait for the next one.
    Skip,
};

// The largest answer that a caller of the gateway gets whole.
inline constexpr std::size_t kMaxWholeAnswerBytes = 8 * 1024 * 1024;

struct UpstreamRequest
{
    std::string head; ///< Request line and header fields, including the blank line.
    std::string body = {};
    /// Sent after `body`, without a copy if it is large: it must stay valid until the call has
    /// ended or is destroyed.
    std::string_view borrowedBody = {};
    /// Only connections idle for less than this are reused; 0 always opens a new connection.
    Millis maxIdleTime = Millis::max();
    /// Hash of the id that the response names. A connection that has carried the same id recently
    /// is not reused: a late duplicate of that response would look like this one's. 0 for none.
    std::uint64_t idHash = 0;
    /// The call ends with NotSent if nothing of it could be written before this time, for example
    /// because the process was paused while it connected.
    TimePoint sendBy = TimePoint::max();
    /// Limit of the bytes of the body that are held at a time.
    std::size_t maxHeldBytes = kMaxWholeAnswerBytes;
};

struct UpstreamHandlers
{
    /// A new connection was established for the call.
    std::function<void()> connected = {};
    std::function<HeadAction(HttpResponseHead &&)> head;
    std::function<void(std::string_view)> body;
    std::function<void(UpstreamOutcome)> end;
};

class UpstreamConnection;
class UpstreamPool;

/// A call in progress; destroying it cancels it.
class UpstreamCall
{
public:
    UpstreamCall(std::shared_ptr<UpstreamConnection> connection, std::uint64_t number);
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    /// Pauses or resumes reading the response, for backpressure from a slow receiver.
    void pauseReading(bool paused);
    /// Of the bytes of the body that have been received, only this many are still held.
    void setHeldBytes(std::size_t bytes);

private:
    std::shared_ptr<UpstreamConnection> connection_;
    std::uint64_t callNumber_; ///< Identifies this call among those of the connection.
};

class UpstreamPool
{
public:
    UpstreamPool(asio::io_context &context, UpstreamOptions options, Dialer dialer = anyDialer());
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    /// Starts a call. The handlers run asynchronously on the context's thread, and never after the
    /// returned object is destroyed.
    std::unique_ptr<UpstreamCall> call(const Address &address, UpstreamRequest request,
                                       UpstreamHandlers handlers);

    const Dialer &dialer() const { return dialer_; }
    /// Also for those who hold answers that calls of the pool have received.
    AnswerRoom &answerRoom() { return answerRoom_; }

    /// Closes the idle connections to an address, for example when its server has been removed.
    void closeIdle(const Address &address);

private:
    friend class UpstreamConnection;

    std::shared_ptr<UpstreamConnection> takeIdle(const Address &address, Millis maxIdleTime,
                                                 std::uint64_t idHash);
    void returnIdle(const std::shared_ptr<UpstreamConnection> &connection);
    void dropIdle(UpstreamConnection &connection);

    asio::io_context &context_;
    UpstreamOptions options_;
    AnswerRoom answerRoom_;
    Dialer dialer_;
    /// Keyed by the address as text.
    std::unordered_map<std::string, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
    std::array<char, 64 * 1024> readBuffer_;
};

} // namespace cicadafork
