#include "gateway/crashevidence.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cicadafork::gateway {

namespace {

// Crashes that block a part on which no answer has ever ended well.
constexpr unsigned kCrashesOfAnUnknownPart = 4;
// Crashes that block any other part. After the fifth crash, only three more requests may reach
// endpoints.
constexpr unsigned kCrashesOfAnyPart = 5;
// A part must be suspected of at least one in so many crashes between the first and the last that
// it is suspected of. The others may have other causes; parts that many requests have are suspected
// of some by chance.
constexpr unsigned kMaxCrashesPerSuspectedOne = 3;
// Crashes that are closer together than this count as one: they may have a common cause, such as a
// rack without power, while one request ends one endpoint after the other. A part is suspected of
// them only if at least half of the endpoints had a request with it. A request that was sent to an
// endpoint after the one before had crashed met two crashes.
constexpr Millis kMinCrashDistance{100};
// Endpoints that crashed with a whole request before it is on trial.
constexpr unsigned kEndpointsBeforeTrial = 3;
// How long a crash is repeated that has not blocked a part.
constexpr Millis kRepeatTime{5000};
// Crashes that explain what is blocked; there may be as many others.
constexpr std::size_t kMaxCrashes = 64;
// Further crashes under a blocked part add nothing.
constexpr std::size_t kMaxCrashesOfABlock = 8;
// Bounds the memory however many parts callers invent.
constexpr std::size_t kMaxClearedParts = 4096;

bool containsAll(const RequestParts &parts, const RequestParts &wanted)
{
    return std::ranges::all_of(wanted, [&](RequestPart part) {
        return std::ranges::find(parts, part) != parts.end();
    });
}

bool wasSentAgain(const EndpointCrash &crash, const RequestPart &part)
{
    return std::ranges::find(crash.sentAgain, part) != crash.sentAgain.end();
}

bool explains(const BlockedParts &blocked, const EndpointCrash &crash)
{
    return std::ranges::any_of(crash.suspects, [&](const RequestParts &parts) {
        return containsAll(parts, blocked.parts);
    });
}

const BlockedParts *explanationOf(const std::vector<BlockedParts> &blocked,
                                  const EndpointCrash &crash)
{
    const auto found = std::ranges::find_if(
            blocked, [&](const BlockedParts &parts) { return explains(parts, crash); });
    return found == blocked.end() ? nullptr : &*found;
}

std::optional<TimePoint> clearedAt(const ClearedParts &cleared, RequestPart part)
{
    for (const auto *parts : {&cleared.recent, &cleared.older}) {
        const auto found = parts->find(part);
        if (found != parts->end())
            return found->second;
    }
    return std::nullopt;
}

void clear(ClearedParts &cleared, RequestPart part, TimePoint at)
{
    const TimePoint newest = std::max(at, clearedAt(cleared, part).value_or(at));
    if (cleared.recent.size() >= kMaxClearedParts / 2 && !cleared.recent.contains(part)) {
        cleared.older = std::move(cleared.recent);
        cleared.recent.clear();
    }
    cleared.recent[part] = newest;
}

/// Of one part, from the crashes that no blocked part explains. Crashes that are close together are
/// counted as one.
struct PartStatistics
{
    RequestPart part;
    bool everSound = false;  ///< An answer on it has ended well, before the crashes.
    unsigned crashes = 0;    ///< That it is suspected of.
    unsigned allCrashes = 0; ///< From the first to the last of `crashes`.
    unsigned requests = 0;   ///< Suspects that have the part.
    RequestParts together;   ///< Uncleared parts that all these suspects have, including this one.

    bool isConclusive() const
    {
        // A whole request is suspected by chance only as often as it is sent.
        return crashes >= (everSound ? kCrashesOfAnyPart : kCrashesOfAnUnknownPart)
               && (part.kind == RequestPartKind::Whole
                   || allCrashes <= kMaxCrashesPerSuspectedOne * crashes);
    }

    /// Crashes, weighted by the share of the suspects with the part that caused one. Any part that
    /// was never sound weighs more than one that was.
    std::pair<bool, double> weight() const
    {
        return {!everSound, static_cast<double>(crashes) * crashes / requests};
    }
};

/// Crashes that are close together.
using CrashGroup = std::vector<const EndpointCrash *>;

std::vector<CrashGroup> unexplainedGroups(const CrashEvidence &evidence,
                                          const std::vector<BlockedParts> &blocked)
{
    std::vector<CrashGroup> groups;
    for (const EndpointCrash &crash : evidence.crashes) {
        if (explanationOf(blocked, crash))
            continue;
        if (groups.empty() || crash.at - groups.back().front()->at >= kMinCrashDistance)
            groups.emplace_back();
        groups.back().push_back(&crash);
    }
    return groups;
}

/// The parts of a suspect on which no answer has ended well since the crash, sorted.
RequestParts unclearedParts(const ClearedParts &cleared, const RequestParts &suspect,
                            TimePoint crash)
{
    RequestParts parts;
    for (const RequestPart part : suspect) {
        const auto at = clearedAt(cleared, part);
        if (!at || *at < crash)
            parts.push_back(part);
    }
    std::ranges::sort(parts);
    return parts;
}

/// The suspects of a group of crashes that have a part, and how many of the crashes they had.
struct GroupSuspects
{
    std::size_t crashes = 0;
    std::size_t sentAgain = 0; ///< Crashes after an earlier one of the group.
    const EndpointCrash *lastCrash = nullptr;
    std::vector<RequestParts> suspects;
};

std::map<RequestPart, GroupSuspects> suspectsByPart(const ClearedParts &cleared,
                                                    const CrashGroup &group)
{
    std::map<RequestPart, GroupSuspects> byPart;
    for (const EndpointCrash *crash : group) {
        for (const RequestParts &suspect : crash->suspects) {
            const RequestParts parts = unclearedParts(cleared, suspect, crash->at);
            for (const RequestPart part : parts) {
                GroupSuspects &found = byPart[part];
                if (std::exchange(found.lastCrash, crash) != crash) {
                    ++found.crashes;
                    found.sentAgain += found.crashes > 1 && wasSentAgain(*crash, part);
                }
                found.suspects.push_back(parts);
            }
        }
    }
    return byPart;
}

std::vector<PartStatistics> statistics(const CrashEvidence &evidence,
                                       const std::vector<BlockedParts> &blocked)
{
    const std::vector<CrashGroup> groups = unexplainedGroups(evidence, blocked);
    std::map<RequestPart, PartStatistics> byPart;
    std::map<RequestPart, unsigned> firstGroups;
    for (unsigned i = 0; i < groups.size(); ++i) {
        for (const auto &[part, found] : suspectsByPart(evidence.cleared, groups[i])) {
            if (2 * found.crashes < groups[i].size())
                continue;
            PartStatistics &ofPart = byPart[part];
            if (ofPart.crashes == 0) {
                ofPart.part = part;
                ofPart.everSound = clearedAt(evidence.cleared, part).has_value();
                ofPart.together = found.suspects.front();
                firstGroups[part] = i;
            }
            ofPart.crashes += 1 + static_cast<unsigned>(found.sentAgain);
            ofPart.allCrashes = i - firstGroups[part] + 1;
            for (const RequestParts &suspect : found.suspects) {
                ++ofPart.requests;
                std::erase_if(ofPart.together, [&](RequestPart other) {
                    return !std::ranges::binary_search(suspect, other);
                });
            }
        }
    }
    std::vector<PartStatistics> list;
    for (auto &[part, ofPart] : byPart)
        list.push_back(std::move(ofPart));
    return list;
}

BlockedParts toBlock(const PartStatistics &part)
{
    return {part.together, part.crashes};
}

/// The parts that must be blocked in addition to the given ones, the weightiest first.
std::vector<PartStatistics> conclusiveStatistics(const CrashEvidence &evidence,
                                                 const std::vector<BlockedParts> &blocked)
{
    std::vector<PartStatistics> list = statistics(evidence, blocked);
    std::erase_if(list, [](const PartStatistics &part) { return !part.isConclusive(); });
    std::ranges::stable_sort(list, std::ranges::greater(), &PartStatistics::weight);
    return list;
}

/// True if parts that no request needs to have together explain the same crashes equally well.
bool isAmbiguous(const CrashEvidence &evidence, std::vector<BlockedParts> blocked,
                 const std::vector<PartStatistics> &conclusive)
{
    const PartStatistics &best = conclusive.front();
    blocked.push_back(toBlock(best));
    const auto rest = conclusiveStatistics(evidence, blocked);
    return std::ranges::any_of(conclusive, [&](const PartStatistics &other) {
        return other.weight() == best.weight()
               && !std::ranges::binary_search(best.together, other.part)
               && std::ranges::find(rest, other.part, &PartStatistics::part) == rest.end();
    });
}

RequestParts requestsOnTrial(const CrashEvidence &evidence)
{
    std::map<RequestPart, unsigned> endpoints;
    for (const EndpointCrash &crash : evidence.crashes) {
        if (explanationOf(evidence.blocked, crash))
            continue;
        std::set<RequestPart> requests;
        for (const RequestParts &suspect : crash.suspects) {
            for (const RequestPart &part : unclearedParts(evidence.cleared, suspect, crash.at)) {
                if (part.kind == RequestPartKind::Whole)
                    requests.insert(part);
            }
        }
        for (const RequestPart &request : requests)
            ++endpoints[request];
    }
    RequestParts onTrial;
    for (const auto &[request, count] : endpoints) {
        if (count >= kEndpointsBeforeTrial)
            onTrial.push_back(request);
    }
    return onTrial;
}

void decide(CrashEvidence &evidence)
{
    std::vector<BlockedParts> blocked;
    for (;;) {
        const auto conclusive = conclusiveStatistics(evidence, blocked);
        if (conclusive.empty())
            break;
        if (conclusive.front().crashes < kCrashesOfAnyPart
            && isAmbiguous(evidence, blocked, conclusive))
            break;
        blocked.push_back(toBlock(conclusive.front()));
    }
    evidence.blocked = std::move(blocked);
    evidence.onTrial = requestsOnTrial(evidence);
}

/// Peers repeat a suspect without the parts that are not blocked.
void addSuspect(std::vector<RequestParts> &suspects, RequestParts suspect)
{
    const bool known = std::ranges::any_of(
            suspects, [&](const RequestParts &other) { return containsAll(other, suspect); });
    if (known)
        return;
    std::erase_if(suspects, [&](const RequestParts &other) { return containsAll(suspect, other); });
    suspects.push_back(std::move(suspect));
}

void limitSuspects(EndpointCrash &crash)
{
    std::size_t parts = 0;
    std::size_t kept = 0;
    while (kept < crash.suspects.size() && kept < kMaxCrashSuspects
           && parts + crash.suspects[kept].size() <= kMaxSuspectParts)
        parts += crash.suspects[kept++].size();
    crash.suspects.resize(kept);
}

/// Drops the oldest crashes that are not needed. Of those that explain what is blocked, a few
/// that are not close together are enough; they stay before all others.
void limitCrashes(CrashEvidence &evidence)
{
    struct Kept
    {
        std::size_t count = 0;
        TimePoint earliest{};
        bool countsApart = false; ///< The earliest one, from one shortly before.
    };
    std::map<const BlockedParts *, Kept> keptByBlock;
    std::vector<bool> drop(evidence.crashes.size(), false);
    std::size_t explaining = 0;
    std::size_t others = 0;
    for (std::size_t i = evidence.crashes.size(); i-- > 0;) {
        const EndpointCrash &crash = evidence.crashes[i];
        const BlockedParts *blocked = explanationOf(evidence.blocked, crash);
        if (!blocked) {
            drop[i] = ++others > kMaxCrashes;
            continue;
        }
        Kept &kept = keptByBlock[blocked];
        drop[i] = explaining >= kMaxCrashes || kept.count >= kMaxCrashesOfABlock
                  || (kept.count > 0 && !kept.countsApart
                      && kept.earliest - crash.at < kMinCrashDistance);
        if (drop[i])
            continue;
        ++explaining;
        ++kept.count;
        kept.earliest = crash.at;
        kept.countsApart = std::ranges::any_of(
                blocked->parts, [&](const RequestPart &part) { return wasSentAgain(crash, part); });
    }
    std::size_t next = 0;
    std::erase_if(evidence.crashes, [&](const EndpointCrash &) { return drop[next++]; });
}

} // namespace

RequestParts promptParts(const std::vector<PromptPartId> &ids)
{
    RequestParts parts;
    for (const PromptPartId id : ids)
        parts.push_back(promptPart(id));
    return parts;
}

std::string toString(const RequestParts &parts)
{
    std::string text;
    for (const RequestPart &part : parts) {
        if (!text.empty())
            text += ',';
        text += part.kind == RequestPartKind::Whole ? fmt::format("request:{:016x}", part.id)
                                                    : fmt::format("{:x}", part.id);
    }
    return text;
}

RequestParts sentAgain(const CrashEvidence &evidence, const std::vector<SentSuspect> &suspects,
                       TimePoint crash)
{
    RequestParts found;
    for (const SentSuspect &suspect : suspects) {
        for (const RequestPart &part : suspect.parts) {
            const bool again
                    = part.kind == RequestPartKind::Whole
                      && std::ranges::any_of(evidence.crashes, [&](const EndpointCrash &known) {
                             return known.at <= suspect.sentAt
                                    && crash - known.at < kMinCrashDistance
                                    && explains({{part}}, known);
                         });
            if (again && std::ranges::find(found, part) == found.end())
                found.push_back(part);
        }
    }
    return found;
}

unsigned crashesOf(const CrashEvidence &evidence, const RequestParts &parts)
{
    unsigned most = 0;
    for (const PartStatistics &ofPart : statistics(evidence, {})) {
        if (ofPart.part.kind == RequestPartKind::Whole
            && std::ranges::find(parts, ofPart.part) != parts.end())
            most = std::max(most, ofPart.crashes);
    }
    return most;
}

void noteCrash(CrashEvidence &evidence, EndpointCrash crash)
{
    limitSuspects(crash);
    if (crash.suspects.empty())
        return;
    const auto known
            = std::ranges::find(evidence.crashes, crash.endpoint, &EndpointCrash::endpoint);
    if (known == evidence.crashes.end()) {
        const auto later
                = std::ranges::upper_bound(evidence.crashes, crash.at, {}, &EndpointCrash::at);
        evidence.crashes.insert(later, std::move(crash));
    } else {
        for (RequestParts &suspect : crash.suspects)
            addSuspect(known->suspects, std::move(suspect));
        limitSuspects(*known);
        for (const RequestPart &part : crash.sentAgain) {
            if (!wasSentAgain(*known, part) && known->sentAgain.size() < kMaxCrashSuspects)
                known->sentAgain.push_back(part);
        }
        known->neededAt = std::max(known->neededAt, crash.neededAt);
    }
    decide(evidence);
    limitCrashes(evidence);
}

RequestParts noteCompleted(CrashEvidence &evidence, const RequestParts &parts, TimePoint at)
{
    RequestParts suspected;
    for (const RequestPart part : parts) {
        const TimePoint before = clearedAt(evidence.cleared, part).value_or(TimePoint::min());
        const bool isSuspected = std::ranges::any_of(evidence.crashes, [&](const auto &crash) {
            return crash.at > before && crash.at <= at
                   && std::ranges::any_of(crash.suspects, [&](const RequestParts &suspect) {
                          return std::ranges::find(suspect, part) != suspect.end();
                      });
        });
        if (isSuspected)
            suspected.push_back(part);
        clear(evidence.cleared, part, at);
    }
    if (!suspected.empty())
        decide(evidence);
    return suspected;
}

const BlockedParts *findBlocked(const CrashEvidence &evidence, const RequestParts &parts)
{
    const auto found = std::ranges::find_if(evidence.blocked, [&](const BlockedParts &blocked) {
        return containsAll(parts, blocked.parts);
    });
    return found == evidence.blocked.end() ? nullptr : &*found;
}

const RequestPart *findOnTrial(const CrashEvidence &evidence, const RequestParts &parts)
{
    const auto found = std::ranges::find_if(evidence.onTrial, [&](const RequestPart &part) {
        return std::ranges::find(parts, part) != parts.end();
    });
    return found == evidence.onTrial.end() ? nullptr : &*found;
}

void keepBlocked(CrashEvidence &evidence, const BlockedParts &blocked, TimePoint now)
{
    for (EndpointCrash &crash : evidence.crashes) {
        if (explains(blocked, crash))
            crash.neededAt = now;
    }
}

void expireCrashes(CrashEvidence &evidence, TimePoint now)
{
    const auto erased = std::erase_if(evidence.crashes, [&](const EndpointCrash &crash) {
        return now - std::max(crash.at, crash.neededAt) > kCrashLifetime;
    });
    if (erased > 0)
        decide(evidence);
}

std::vector<EndpointCrash> crashesExplainedBy(const CrashEvidence &evidence,
                                              const BlockedParts &blocked)
{
    std::vector<EndpointCrash> crashes;
    std::ranges::copy_if(evidence.crashes, std::back_inserter(crashes),
                         [&](const EndpointCrash &crash) { return explains(blocked, crash); });
    return crashes;
}

std::vector<EndpointCrash> crashesToRepeat(const CrashEvidence &evidence, TimePoint now)
{
    std::vector<EndpointCrash> crashes;
    for (const EndpointCrash &crash : evidence.crashes) {
        if (const BlockedParts *blocked = explanationOf(evidence.blocked, crash))
            crashes.push_back(
                    {crash.endpoint, crash.at, {blocked->parts}, crash.neededAt, crash.sentAgain});
        else if (now - crash.at <= kRepeatTime)
            crashes.push_back(crash);
    }
    return crashes;
}

} // namespace cicadafork::gateway
