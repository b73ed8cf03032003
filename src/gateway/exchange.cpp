#include "gateway/exchange.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cicadafork::gateway {

namespace {

// An attempt with less time than this before the deadline has no prospect of success.
constexpr Millis kMinAttemptTime{30};

// A request that has waited this long for an endpoint is refused with Retry-After. A stream may
// wait for as long as its route's objective if that is longer.
constexpr Millis kMaxStreamWait{2500};
constexpr Millis kMaxCallWait{250};
// Callers abandon a stream that sends nothing for the longest of this time and these multiples of
// the route's objective and largest event gap.
constexpr Millis kMinCallerPatience{2000};
constexpr int kCallerPatienceObjectives = 4;
constexpr int kCallerPatienceGaps = 8;
// Time for a refusal to reach the caller.
constexpr Millis kRefusalMargin{100};

/// Removes the first line from the text and returns it, without its end.
std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

/// A line without a colon names a field that has an empty value.
bool isEventLine(std::string_view line)
{
    constexpr std::array<std::string_view, 4> kFields = {"data", "event", "id", "retry"};
    return line.empty() || line.find(':') != std::string_view::npos
           || std::ranges::find(kFields, line) != kFields.end();
}

} // namespace

Attempt *findAttempt(Exchange &exchange, const JobId &job)
{
    if (exchange.attempt && exchange.attempt->job == job)
        return exchange.attempt.get();
    for (const auto &silent : exchange.silentAttempts) {
        if (silent->job == job)
            return silent.get();
    }
    return nullptr;
}

bool isOpenAt(const Exchange &exchange, EndpointKey endpoint)
{
    const auto isAt = [&](const auto &attempt) { return attempt->endpoint == endpoint; };
    return (exchange.attempt && isAt(exchange.attempt))
           || std::ranges::any_of(exchange.silentAttempts, isAt);
}

bool isRepeatable(const Route &route)
{
    return route.kind == RouteKind::Repeatable
           || (route.kind == RouteKind::Stream && route.resumable);
}

Recovery recoverFrom(const FailureFacts &facts)
{
    const bool allowed = (facts.repeatable || !facts.attemptMayHaveRun) && !facts.suspected;
    const bool retry = allowed && !facts.crashesEndpoints && !facts.refusedByPeer
                       && facts.sendCount < facts.maxEndpoints && facts.retryBudgetLeft
                       && facts.timeLeft >= kMinAttemptTime;
    if (retry)
        return Recovery::Retry;
    if (facts.relaying)
        return Recovery::AbortStream;
    return facts.anyAttemptMayHaveRun ? Recovery::FailMayHaveRun : Recovery::RefuseNotRun;
}

TimePoint callerLeavesAt(const WaitFacts &facts, TimePoint now)
{
    const TimePoint leaves
            = facts.arrivedAt
              + std::max({kMinCallerPatience, kCallerPatienceObjectives * facts.objective,
                          kCallerPatienceGaps * facts.maxEventGap});
    // A caller that has stayed for longer may stay on.
    return !facts.stream || facts.relaying || now >= leaves ? facts.deadline
                                                            : std::min(leaves, facts.deadline);
}

TimePoint endOfWait(const WaitFacts &facts, TimePoint now)
{
    const TimePoint refusal = callerLeavesAt(facts, now) - kRefusalMargin;
    if (!facts.stream)
        return std::min(now + kMaxCallWait, refusal);
    const TimePoint end = now + std::max(kMaxStreamWait, facts.objective);
    // Breaking a stream off is no refusal.
    return facts.relaying ? end : std::min(end, refusal);
}

bool isComment(std::string_view event)
{
    while (!event.empty()) {
        const char first = event.front();
        if (first != ':' && first != '\r' && first != '\n')
            return false;
        const std::size_t end = event.find('\n');
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return true;
}

bool isWellFormedEvent(std::string_view event)
{
    while (!event.empty()) {
        if (!isEventLine(takeLine(event)))
            return false;
    }
    return true;
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    while (!event.empty()) {
        std::string_view line = takeLine(event);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace cicadafork::gateway
