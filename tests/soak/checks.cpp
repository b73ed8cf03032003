#include "soak/checks.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>
#include <tuple>

namespace cicadafork::test {

namespace {

using Arrival = EndpointStandin::Arrival;

// The users' bound `lostMs`: a daemon that closes later than this has had the time to read.
constexpr Millis kLostAfter{200};
// The users' bounds `configApplyMs`, `drainMs` and `stabilityWindowMs`.
constexpr Millis kApplyWithin{2000};
constexpr Millis kDrainWithin{2000};
constexpr Millis kStableFor{3000};
// The users allow two requests from half a second after a refusal with a time to stay away.
constexpr Millis kQuietWithin{500};
constexpr std::size_t kUnwantedAllowed = 2;

bool overlaps(const Disturbance &disturbance, TimePoint from, TimePoint until)
{
    return disturbance.from <= until && from <= disturbance.until;
}

bool overlaps(const std::vector<Disturbance> &disturbances, std::size_t daemon, TimePoint from,
              TimePoint until)
{
    return std::ranges::any_of(disturbances, [&](const Disturbance &disturbance) {
        return disturbance.daemon == daemon && overlaps(disturbance, from, until);
    });
}

/// The link to the endpoint was disturbed then; with an empty name, that to any endpoint.
bool isLinkDisturbed(const SoakEvidence &evidence, const std::string &endpoint, TimePoint from,
                     TimePoint until)
{
    return std::ranges::any_of(evidence.endpointLinks, [&](const DisturbedLink &link) {
        return (endpoint.empty() || link.endpoint == endpoint) && link.from <= until
               && from <= link.until;
    });
}

bool overlaps(const std::vector<Disturbance> &disturbances, const SoakCall &call)
{
    return overlaps(disturbances, call.daemon, call.begun, call.ended);
}

const std::vector<Arrival> &arrivalsOf(const SoakEvidence &evidence, const SoakCall &call)
{
    static const std::vector<Arrival> none;
    const auto found = evidence.arrivals.find(call.id);
    return found == evidence.arrivals.end() ? none : found->second;
}

/// The endpoint ends its connection without a whole answer, or its answer is not valid.
bool breaksOff(const Arrival &arrival)
{
    switch (arrival.behaviour) {
    case EndpointBehaviour::Answer:
    case EndpointBehaviour::NotRun:
        return false;
    default:
        return arrival.ran;
    }
}

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

const char *toString(CallEnd end)
{
    switch (end) {
    case CallEnd::Pending:
        return "pending";
    case CallEnd::Complete:
        return "complete";
    case CallEnd::NoAnswer:
        return "no answer";
    case CallEnd::Cut:
        return "cut";
    case CallEnd::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

class Judge
{
public:
    explicit Judge(const SoakEvidence &evidence)
        : evidence_(evidence)
    {
    }

    std::vector<std::string> judge()
    {
        for (const SoakCall &call : evidence_.calls)
            judgeCall(call);
        judgeVersions();
        judgeApplication();
        judgeDrains();
        judgeStatements();
        return std::move(broken_);
    }

private:
    void report(const SoakCall &call, const std::string &promise)
    {
        std::string arrivals;
        for (const Arrival &arrival : arrivalsOf(evidence_, call))
            arrivals += fmt::format("; at {} {}{}", arrival.endpoint, timeOfDay(arrival.at),
                                    arrival.ran ? " ran" : "");
        broken_.push_back(
                fmt::format("{} ({}, daemon {}.{}, {} to {}, deadline {} ms, {} {}{}): {}", call.id,
                            call.route->name, call.daemon, call.incarnation, timeOfDay(call.begun),
                            timeOfDay(call.ended), call.deadline.count(), toString(call.end),
                            call.status, arrivals, promise));
    }

    void judgeCall(const SoakCall &call)
    {
        const auto &arrivals = arrivalsOf(evidence_, call);
        const auto runs = std::ranges::count(arrivals, true, &Arrival::ran);
        const bool complete = call.end == CallEnd::Complete;
        const std::string expected = isStream(*call.route) ? wholeStream() : "answer of " + call.id;
        if (runsOnceAtMost(*call.route) && runs > 1)
            report(call, "ran more than once");
        if (runs > call.route->maxAttempts)
            report(call, "ran at more endpoints than its route allows");
        if (runsOnceAtMost(*call.route) && complete && promisesNotRun(call.status) && runs > 0)
            report(call, "was said not to have run, and ran");
        if (call.status == 200 && complete && (call.body != expected || !call.sealed))
            report(call, "has another answer than its own, or not the whole");
        if (call.status == 200 && !expected.starts_with(call.body))
            report(call, "has bytes that are not of its answer");
        if (complete && (call.status == 404 || (call.status == 401 && !mayBeRevoked(call))))
            report(call, "was denied, though its route and key were there");
        if (complete && call.status == 401 && !arrivals.empty())
            report(call, "was denied, and reached an endpoint");
        if (isRevoked(call) && (complete ? call.status != 401 : !arrivals.empty()))
            report(call, "was not denied, though its key was revoked");
        if (call.end == CallEnd::Abandoned && !overlaps(evidence_.disturbances, call))
            report(call, "has no end by its deadline");
        else if (classify(evidence_, call) == Unanswered::Lost)
            report(call, "got neither an answer nor a refusal");
        if (complete && (call.status == 502 || call.status == 504))
            judgeFailure(call, arrivals);
    }

    /// When the store acknowledged that the key is revoked; never if it did not.
    TimePoint revokedAt(const SoakCall &call) const
    {
        const auto write = std::ranges::find_if(evidence_.writes, [&](const auto &each) {
            return call.revokedBy != 0 && each.version >= call.revokedBy;
        });
        return write == evidence_.writes.end() ? TimePoint::max() : write->at;
    }

    bool mayBeRevoked(const SoakCall &call) const { return revokedAt(call) <= call.ended; }

    /// Its daemon must know that the key is revoked.
    bool isRevoked(const SoakCall &call) const
    {
        const TimePoint due = call.begun - kApplyWithin;
        return revokedAt(call) < due && isStable(call, due - kStableFor);
    }

    /// A request that sound endpoints would have answered must not fail before its deadline.
    void judgeFailure(const SoakCall &call, const std::vector<Arrival> &arrivals)
    {
        const bool early = call.ended < call.begun + call.deadline;
        // A request that was lost on a link has no arrival.
        if (early && std::ranges::none_of(arrivals, breaksOff)
            && !overlaps(evidence_.disturbances, call)
            && !isLinkDisturbed(evidence_, {}, call.begun, call.ended))
            report(call, "failed before its deadline, though its endpoints were sound");
    }

    /// A request that was sent after an endpoint or a caller had seen the effect of a version must
    /// not be handled by an older one, in one incarnation of a daemon.
    void judgeVersions()
    {
        struct Effect
        {
            TimePoint at;
            unsigned version;
        };
        struct Handled
        {
            const SoakCall *call;
            unsigned version;
        };
        std::map<std::pair<std::size_t, unsigned>,
                 std::pair<std::vector<Effect>, std::vector<Handled>>>
                incarnations;
        for (const SoakCall &call : evidence_.calls) {
            auto &[effects, handled] = incarnations[{call.daemon, call.incarnation}];
            // Only versions that lack the key deny it.
            if (call.end == CallEnd::Complete && call.status == 401)
                effects.push_back({call.ended, call.revokedBy});
            for (const Arrival &arrival : arrivalsOf(evidence_, call)) {
                if (versionOf(arrival) == 0)
                    continue;
                effects.push_back({arrival.at, versionOf(arrival)});
                handled.push_back({&call, versionOf(arrival)});
            }
        }
        for (auto &[incarnation, seen] : incarnations) {
            auto &[effects, handled] = seen;
            std::ranges::sort(effects, {}, &Effect::at);
            std::ranges::sort(handled, {}, [](const Handled &each) { return each.call->begun; });
            unsigned newest = 0;
            auto effect = effects.begin();
            for (const Handled &each : handled) {
                for (; effect != effects.end() && effect->at < each.call->begun; ++effect)
                    newest = std::max(newest, effect->version);
                if (each.version < newest)
                    report(*each.call, fmt::format("was handled by version {} after version {}",
                                                   each.version, newest));
            }
        }
    }

    /// Neither the store nor the request's daemon was disturbed from then to the request.
    bool isStable(const SoakCall &call, TimePoint from) const
    {
        const auto disturbed = [&](const std::vector<Disturbance> &disturbances) {
            return overlaps(disturbances, call.daemon, from, call.begun);
        };
        return !disturbed(evidence_.disturbances) && !disturbed(evidence_.shutdowns)
               && !disturbed(evidence_.restarts) && !disturbed(evidence_.storeLinks)
               && std::ranges::none_of(evidence_.storeFaults, [&](const Disturbance &fault) {
                      return overlaps(fault, from, call.begun);
                  });
    }

    /// No request that was sent later than the bound after the store's acknowledgement reaches an
    /// endpoint that drains.
    void judgeDrains()
    {
        for (const SoakCall &call : evidence_.calls) {
            for (const Arrival &arrival : arrivalsOf(evidence_, call)) {
                for (const EndpointDrain &drain : evidence_.drains) {
                    if (drain.endpoint == arrival.endpoint && arrival.at < drain.until
                        && call.begun > drain.from + kDrainWithin
                        && isStable(call, drain.from - kStableFor))
                        report(call, fmt::format("reached {}, which drained since {}",
                                                 drain.endpoint, timeOfDay(drain.from)));
                }
            }
        }
    }

    /// What an endpoint says to a process about itself is binding for that process, unless it was
    /// frozen since: that it leaves, and that it wants nothing for some time.
    void judgeStatements()
    {
        // By daemon, incarnation and endpoint.
        std::map<std::tuple<std::size_t, unsigned, std::string>, std::vector<Seen>> all;
        for (const SoakCall &call : evidence_.calls) {
            for (const Arrival &arrival : arrivalsOf(evidence_, call))
                all[{call.daemon, call.incarnation, arrival.endpoint}].push_back({&call, &arrival});
        }
        for (const auto &[key, seen] : all) {
            for (const Seen &said : seen) {
                if (said.arrival->saysLeaving || said.arrival->quietFor > kQuietWithin)
                    judgeStatement(*said.arrival, seen);
            }
        }
    }

    struct Seen
    {
        const SoakCall *call;
        const Arrival *arrival;
    };

    void judgeStatement(const Arrival &said, const std::vector<Seen> &seen)
    {
        std::size_t unwanted = 0;
        for (const Seen &later : seen) {
            if (overlaps(evidence_.disturbances, later.call->daemon, said.answeredAt,
                         later.arrival->at)
                || isLinkDisturbed(evidence_, said.endpoint, said.at, later.arrival->at))
                continue;
            if (ignoresLeaving(said, *later.call, *later.arrival)
                && ignoredLeaving_.insert(later.arrival).second)
                report(*later.call, fmt::format("reached {}, which had said at {} that it leaves",
                                                said.endpoint, timeOfDay(said.answeredAt)));
            unwanted += ignoresQuiet(said, *later.arrival);
            if (unwanted > kUnwantedAllowed)
                break;
        }
        if (unwanted > kUnwantedAllowed)
            broken_.push_back(
                    fmt::format("{} got more than {} requests from one daemon, of which it "
                                "had asked at {}, refusing {}, for {} ms without any",
                                said.endpoint, kUnwantedAllowed, timeOfDay(said.answeredAt),
                                said.requestId, said.quietFor.count()));
    }

    bool ignoresLeaving(const Arrival &said, const SoakCall &call, const Arrival &later) const
    {
        return said.saysLeaving && call.begun > said.answeredAt + kDrainWithin
               && std::ranges::none_of(evidence_.rebirths, [&](const Rebirth &rebirth) {
                      return rebirth.endpoint == said.endpoint && said.answeredAt <= rebirth.at
                             && rebirth.at <= later.at;
                  });
    }

    static bool ignoresQuiet(const Arrival &said, const Arrival &later)
    {
        return later.at > said.answeredAt + kQuietWithin
               && later.at < said.answeredAt + said.quietFor;
    }

    /// A version is in force within its time at every daemon that has long been undisturbed, as
    /// the store has been.
    void judgeApplication()
    {
        for (const SoakCall &call : evidence_.calls) {
            const TimePoint due = call.begun - kApplyWithin;
            if (!isStable(call, due - kStableFor))
                continue;
            unsigned newest = 0;
            for (const ConfigurationWrite &write : evidence_.writes) {
                if (write.at < due)
                    newest = std::max(newest, write.version);
            }
            for (const Arrival &arrival : arrivalsOf(evidence_, call)) {
                if (versionOf(arrival) != 0 && versionOf(arrival) < newest)
                    report(call, fmt::format("was handled by version {} after version {} was due",
                                             versionOf(arrival), newest));
            }
        }
    }

    const SoakEvidence &evidence_;
    std::vector<std::string> broken_;
    std::set<const Arrival *> ignoredLeaving_; ///< Already reported.
};

} // namespace

Unanswered classify(const SoakEvidence &evidence, const SoakCall &call)
{
    if (call.end == CallEnd::Complete)
        return Unanswered::No;
    if (overlaps(evidence.disturbances, call))
        return Unanswered::DaemonDisturbed;
    const auto &arrivals = arrivalsOf(evidence, call);
    if (std::ranges::any_of(arrivals, [&](const Arrival &arrival) {
            return breaksOff(arrival)
                   || isLinkDisturbed(evidence, arrival.endpoint, call.begun, call.ended);
        }))
        return Unanswered::EndpointBroke;
    if (call.end == CallEnd::NoAnswer && arrivals.empty() && call.ended - call.begun < kLostAfter
        && overlaps(evidence.shutdowns, call))
        return Unanswered::CrossedClose;
    if (call.end == CallEnd::Cut && call.ended >= call.begun + call.deadline)
        return Unanswered::AtDeadline;
    return Unanswered::Lost;
}

const char *toString(Unanswered unanswered)
{
    switch (unanswered) {
    case Unanswered::No:
        return "answered";
    case Unanswered::DaemonDisturbed:
        return "daemon disturbed";
    case Unanswered::EndpointBroke:
        return "endpoint broke off";
    case Unanswered::CrossedClose:
        return "crossed close";
    case Unanswered::AtDeadline:
        return "cut at deadline";
    case Unanswered::Lost:
        return "LOST";
    }
    return "unknown";
}

std::vector<std::string> brokenPromises(const SoakEvidence &evidence)
{
    return Judge(evidence).judge();
}

unsigned versionOf(const Arrival &arrival)
{
    const std::size_t dash = arrival.workspace.rfind('-');
    return dash == std::string::npos ? 0
                                     : static_cast<unsigned>(std::strtoul(
                                             arrival.workspace.c_str() + dash + 1, nullptr, 10));
}

std::string wholeStream()
{
    std::string text;
    for (unsigned i = 1; i <= EndpointStandin::kStreamEvents; ++i)
        text += fmt::format("id: {}\ndata: event {}\n\n", i, i);
    return text;
}

std::string timeOfDay(TimePoint time)
{
    if (time == TimePoint{})
        return "never";
    const WallTime wall
            = wallNow() - std::chrono::duration_cast<WallTime::duration>(steadyNow() - time);
    return fmt::format("{:%H:%M:%S}.{:03}", std::chrono::floor<std::chrono::seconds>(wall),
                       sinceEpoch(wall).count() % 1000);
}

} // namespace cicadafork::test
