#pragma once

// Calls to other servers over kept HTTP/1.1 connections, on one thread.
//
//   UpstreamPool pool(context, {});
//   auto call = pool.call(address, {.head = head, .body = body}, {
//       .head = [](HttpResponseHead &&head) { return HeadAction::Accept; },
//       .body = [](std::string_view bytes) { ... },
//       .end = [](UpstreamOutcome end) { ... }});
//   call.reset();   // cancels: the connection is closed and no handler is called any more
//
// A connection carries one call at a time. It is kept only after a complete answer that left no
// further bytes behind.

#include "base/clock.h"
#include "http/address.h"
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
    /// Connections take a few milliseconds; a call with an objective of 100 ms must still find
    /// another endpoint when the first one is cut off.
    Millis connectTimeout{150};
    /// Sent bytes that stay unacknowledged this long end the connection.
    Millis userTimeout{1200};
    /// Idle time before a connection is probed. Memory that is reserved for a request must be given
    /// back within 4 s after the endpoint that received it lost its power.
    std::chrono::seconds keepAliveIdle{1};
    /// A kept connection is not used again after this time, unless its server states less.
    Millis idleTimeout{3500};
    std::size_t maxIdleConnectionsPerAddress = 16;
};

/// How a call ended.
enum class UpstreamOutcome {
    Complete,
    /// No connection was made: nothing of the request was sent.
    NotSent,
    /// The connection broke before the head of an answer.
    NoAnswer,
    /// The connection broke inside the answer, or the answer is not HTTP.
    Broken,
};

/// What to do with an answer whose head has arrived.
enum class HeadAction {
    Accept,
    /// The answer belongs to another request; it is dropped and the next one is awaited.
    Skip,
};

struct UpstreamRequest
{
    std::string head; ///< Request line and fields, with the blank line.
    std::string body = {};
    /// Only a connection that was idle for less than this is reused; 0 makes a new one.
    Millis maxIdleTime = Millis::max();
};

struct UpstreamHandlers
{
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

    /// Stops reading while the receiver is slow.
    void pauseReading(bool paused);

private:
    std::shared_ptr<UpstreamConnection> connection_;
    std::uint64_t number_; ///< Of this call among those of the connection.
};

class UpstreamPool
{
public:
    UpstreamPool(asio::io_context &context, UpstreamOptions options);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    /// Starts a call. Handlers run later, on the context's thread, and not after the call object is
    /// gone.
    std::unique_ptr<UpstreamCall> call(const Address &address, UpstreamRequest request,
                                       UpstreamHandlers handlers);

    /// Closes idle connections to an address, for example of a server that has gone.
    void closeIdle(const Address &address);

private:
    friend class UpstreamConnection;

    std::shared_ptr<UpstreamConnection> takeIdle(const Address &address, Millis maxIdleTime);
    void returnIdle(const std::shared_ptr<UpstreamConnection> &connection);
    void dropIdle(UpstreamConnection &connection);

    asio::io_context &context_;
    UpstreamOptions options_;
    /// By address as text.
    std::unordered_map<std::string, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
    std::array<char, 64 * 1024> scratch_;
};

} // namespace cicadafork
