#pragma once

// Client of one model engine (docs/design.md section 8, "Engine HTTP").
//
//   EngineClient engine(address);
//   AttemptStop stop;
//   AttemptResult result = engine.complete(request, stop, {.accepted = [] { ... },
//                                                          .event = [](const EngineEvent &e) {
//                                                              return deliver(e.text);
//                                                          }});
//
// Every event is checked for request id, attempt and sequence number; the first mismatch ends the
// connection and no part of the event reaches the handler. The client never repeats a request.
// Thread-safe: each call opens its own connection.

#include "base/clock.h"
#include "base/error.h"
#include "config/configuration.h"
#include "endpoint/attempt.h"
#include "http/address.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cicadafork {

/// A hold whose KV cache the engine continues from, at another member of a group.
struct PriorHold
{
    Address address;
    std::string holdId;
};

struct EngineRequest
{
    std::string requestId;
    std::uint32_t attempt = 1;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    Priority priority = Priority::Normal;
    TimePoint deadline; ///< Sent as the remaining milliseconds; also ends the wait for bytes.
    std::string holder;
    std::string incarnation;
    std::string holdId; ///< The request's own hold at this engine; empty: none.
    std::vector<PriorHold> prior;
    nlohmann::json prefixDigest; ///< As returned by prefill(); null: none.
    std::string traceparent;
};

struct EngineEvent
{
    std::uint64_t seq = 0;
    std::string text;
    bool done = false;
    std::uint64_t promptTokens = 0; ///< Set with done.
    std::uint64_t completionTokens = 0;
};

struct EngineHandlers
{
    std::function<bool()> beforeSend; ///< False: do not send; the result is Refused.
    std::function<void()> accepted;
    std::function<bool(const EngineEvent &)> event; ///< False ends the stream with Cancelled.
};

struct HoldRequest
{
    std::string holdId;
    std::string requestId;
    std::string holder;
    std::string incarnation;
    std::uint64_t tokens = 0;
    Millis lifetime{0};
};

struct EngineHold
{
    std::string holdId;
    std::string requestId;
    std::string holder;
    std::string incarnation;
    std::uint64_t tokens = 0;
};

struct PrefillRequest
{
    std::string holdId;
    std::string segment;
    nlohmann::json prefixDigest; ///< Null for the first segment.
    std::vector<PriorHold> prior;
    TimePoint deadline;
};

struct EngineStatus
{
    std::string endpointId;
    std::string incarnation;
    bool leaving = false;
    std::string role;
    std::vector<std::string> models;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t waitingTokens = 0;
    std::uint64_t kvUsedTokens = 0;
    std::uint64_t kvCapacityTokens = 0;
    Millis reportedAt{0}; ///< Wall clock of the engine, since the epoch.
};

struct EngineOrder
{
    std::string order; ///< "load", "unload" or "role".
    Offset fencing = 0;
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;
};

class EngineClient
{
public:
    /// onMismatch is called for every event that fails the checks, for a counter.
    explicit EngineClient(Address address, std::function<void()> onMismatch = nullptr);

    AttemptResult complete(const EngineRequest &request, AttemptStop &stop,
                           const EngineHandlers &handlers) const;

    /// Continues a stream with event `from`. Without an attempt the first event's attempt is taken.
    /// Refused: the engine states 404, the stream is not there. A resume starts no work.
    AttemptResult resume(const std::string &requestId, std::optional<std::uint32_t> attempt,
                         std::uint64_t from, TimePoint deadline, AttemptStop &stop,
                         const EngineHandlers &handlers) const;

    /// Cancels the work of an attempt. Idempotent at the engine.
    Result<void> cancel(const std::string &requestId, std::uint32_t attempt, Millis timeout) const;

    /// Fails with ResourceExhausted when the engine states that the memory is not free; any other
    /// failure may have reserved the hold, so release it.
    Result<void> reserveHold(const HoldRequest &request, Millis timeout) const;
    Result<void> renewHold(const std::string &holdId, Millis lifetime, Millis timeout) const;
    /// A hold that is not there counts as released.
    Result<void> releaseHold(const std::string &holdId, Millis timeout) const;
    Result<std::vector<EngineHold>> listHolds(Millis timeout) const;

    /// Prefills one segment into a hold and returns the digest to continue from.
    Result<nlohmann::json> prefill(const PrefillRequest &request, AttemptStop &stop) const;

    Result<EngineStatus> status(Millis timeout) const;
    /// Fails with Conflict when the engine states that the fencing number is stale.
    Result<void> order(const EngineOrder &order, Millis timeout) const;
    /// Raw cache events from a number on; the routing module interprets them.
    Result<nlohmann::json> cacheEvents(std::uint64_t since, Millis timeout) const;

    const Address &address() const { return address_; }

private:
    Address address_;
    std::function<void()> onMismatch_;
};

} // namespace cicadafork
