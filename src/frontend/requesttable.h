#pragma once

// Requests in progress, for the threads that serve them and for operators.
//
//   auto request = std::make_shared<ActiveRequest>(facts);
//   if (table.add(request) != AddOutcome::Added) ...
//   Execution known = request->cancel(); // from the caller's thread

#include "base/clock.h"
#include "base/table.h"
#include "config/configuration.h"
#include "endpoint/attempt.h"
#include "endpoint/plainserviceclient.h"
#include "frontend/streambuffer.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cicadafork {

enum class RequestState {
    Queued,     ///< Waits for admission to place it.
    Claiming,   ///< Waits for the log to order its claim.
    Reserving,  ///< Reserves KV holds of a group.
    Prefilling, ///< Group members prefill segments.
    Dispatched, ///< Sent; no token yet.
    Streaming,
    Resuming, ///< The stream broke and is resumed at the same engine.
    Retrying, ///< Waits before the next attempt.
};

const char *toString(RequestState state);

/// A request in progress as shown to operators.
struct RequestView
{
    std::string requestId;
    std::string workspace;
    std::string service;
    std::string model; ///< Empty for a plain service.
    Priority priority = Priority::Normal;
    RequestState state = RequestState::Queued;
    std::string waitsFor; ///< The mechanism that holds the request and what frees it.
    std::string endpoint;
    unsigned attempt = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t tokensDelivered = 0;
    Millis age{0};
    Millis inState{0};       ///< Since the state was entered.
    Millis sinceProgress{0}; ///< Since the last change of state or the last token.
    Millis expectedFirstToken{0};
    Millis untilDeadline{0};
    bool nonRepeatable = false;
};

struct RequestFacts
{
    std::string requestId;
    std::string workspace;
    std::string service;
    std::string model;
    Priority priority = Priority::Normal;
    std::uint64_t promptTokens = 0;
    TimePoint started;
    TimePoint deadline;
    bool earlierAttemptPossible = false; ///< With the same idempotency key, see CallerContext.
    bool nonRepeatable = false;          ///< Runs at most once, so at one endpoint only.
};

/// Identity towards engines and peers. The workspace is a part of it, so that no workspace can
/// resume the stream of another; '~' cannot appear in a request id.
std::string requestKey(const std::string &workspace, const std::string &requestId);

/// Thread-safe.
class ActiveRequest
{
public:
    /// Parts buffered before the attempt's thread blocks; at 36 ms a token about 2 s.
    static constexpr std::size_t kBufferedParts = 64;

    explicit ActiveRequest(RequestFacts facts);

    const RequestFacts &facts() const { return facts_; }
    const std::string &key() const { return key_; }
    AttemptStop &stop() { return stop_; }
    StreamBuffer &buffer() { return buffer_; }

    /// Call immediately before a send. False after cancel(): do not send.
    bool beginSend();
    /// Call when the claim was won: no earlier attempt with the key was dispatched.
    void excludeEarlierAttempts();
    /// Call after each attempt that began to send.
    void attemptEnded(AttemptStatus status);
    Execution execution() const;

    /// Stops the attempt in progress and forbids further sends; returns what is known then.
    Execution cancel();
    bool cancelled() const;
    /// Breaks the attempt in progress off without forbidding further sends.
    void interrupt();

    /// The request's service was stopped: no further attempt starts. An attempt in progress ends
    /// by itself.
    void endWaiting();
    bool waitingEnded() const;
    /// Sleeps; false when the request was cancelled or its deadline passed.
    bool pause(Millis duration);
    /// Like pause(), but false also when the request's service was stopped.
    bool pauseBeforeAttempt(Millis duration);

    void setState(RequestState state, std::string waitsFor, const std::string &endpoint = "");
    void setAttempt(unsigned attempt, Millis expectedFirstToken);
    void noteDelivered();
    RequestView view(TimePoint now) const;

private:
    template <class Predicate>
    bool pauseUnless(Millis duration, Predicate ended);

    const RequestFacts facts_;
    const std::string key_;
    AttemptStop stop_;
    StreamBuffer buffer_{kBufferedParts};
    mutable std::mutex mutex_;
    std::condition_variable cancelChanged_;
    bool cancelled_ = false;
    bool waitingEnded_ = false;
    bool sending_ = false;
    bool inDoubt_; ///< An ended attempt, or an earlier one with the key, may have run.
    RequestView view_;
    TimePoint stateSince_;
    TimePoint progressAt_;
};

enum class AddOutcome { Added, AlreadyRunning, Full };

/// Thread-safe.
class RequestTable
{
public:
    explicit RequestTable(std::size_t limit)
        : rows_(limit)
    {
    }

    AddOutcome add(const std::shared_ptr<ActiveRequest> &request);
    void remove(const std::string &key);
    std::shared_ptr<ActiveRequest> find(const std::string &key) const;
    std::size_t size() const;
    std::vector<RequestView> views(TimePoint now) const;
    std::vector<std::shared_ptr<ActiveRequest>> all() const;

private:
    mutable std::mutex mutex_;
    Table<std::string, std::shared_ptr<ActiveRequest>> rows_;
};

} // namespace cicadafork
