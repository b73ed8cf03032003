#include "support/configwatch.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace cicadafork::test {

namespace {

using Kind = ChangeAnswer::Kind;

/// Time at which the daemon first had the version or a later one; TimePoint::max() if never.
TimePoint firstSeenAt(const std::vector<Observation> &seen, std::uint64_t version)
{
    const auto found = std::find_if(seen.begin(), seen.end(), [&](const Observation &observation) {
        return observation.version >= version;
    });
    return found == seen.end() ? TimePoint::max() : found->at;
}

void findVersionRegressions(const std::string &daemonId, const std::string &entity,
                            const std::vector<Observation> &seen, std::vector<std::string> &found)
{
    for (std::size_t i = 1; i < seen.size(); ++i) {
        if (seen[i].version < seen[i - 1].version) {
            found.push_back(fmt::format("{} went back from version {} of {} to {}", daemonId,
                                        seen[i - 1].version, entity, seen[i].version));
        }
    }
}

void findConflictingAccepts(const std::vector<ChangeAnswer> &answers,
                            std::vector<std::string> &found)
{
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> acceptedOn;
    for (const ChangeAnswer &answer : answers) {
        if (answer.kind == Kind::Accepted && ++acceptedOn[{answer.entity, answer.baseVersion}] == 2)
            found.push_back(fmt::format("two commands on version {} of {} were accepted",
                                        answer.baseVersion, answer.entity));
    }
}

} // namespace

TimePoint propagationDeadline(const std::string &daemonId, TimePoint accepted,
                              const std::vector<Disturbance> &disturbances)
{
    TimePoint due = accepted + kMaxPropagationTime;
    bool moved = true;
    while (moved) {
        moved = false;
        for (const Disturbance &disturbance : disturbances) {
            if (disturbance.daemonId != daemonId || disturbance.from > due
                || disturbance.to + kMaxPropagationTime <= due)
                continue;
            due = disturbance.to + kMaxPropagationTime;
            moved = true;
        }
    }
    return due;
}

void ConfigWatch::recordAnswer(ChangeAnswer answer)
{
    const std::lock_guard lock(mutex_);
    answers_.push_back(std::move(answer));
}

void ConfigWatch::recordVersion(const std::string &daemonId, const std::string &entity,
                                std::uint64_t version, const std::string &value, TimePoint at)
{
    const std::lock_guard lock(mutex_);
    std::vector<Observation> &seen = seen_[{daemonId, entity}];
    if (seen.empty() || seen.back().version != version || seen.back().value != value)
        seen.push_back({version, value, at});
}

std::vector<ChangeAnswer> ConfigWatch::answers() const
{
    const std::lock_guard lock(mutex_);
    return answers_;
}

std::vector<std::string>
ConfigWatch::findViolations(const std::vector<Disturbance> &disturbances) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> found;
    findConflictingAccepts(answers_, found);
    std::set<std::string> rejected;
    for (const ChangeAnswer &answer : answers_) {
        if (answer.kind == Kind::Rejected)
            rejected.insert(answer.value);
    }
    std::map<std::pair<std::string, std::uint64_t>, std::string> values;
    for (const auto &[key, seen] : seen_) {
        const auto &[daemonId, entity] = key;
        findVersionRegressions(daemonId, entity, seen, found);
        for (const Observation &observation : seen) {
            if (rejected.contains(observation.value))
                found.push_back(
                        fmt::format("{} has the value {} of {} in effect, whose command was "
                                    "rejected",
                                    daemonId, observation.value, entity));
            const auto [row, inserted]
                    = values.emplace(std::pair(entity, observation.version), observation.value);
            if (!inserted && row->second != observation.value)
                found.push_back(fmt::format("version {} of {} has two values", observation.version,
                                            entity));
        }
        for (const ChangeAnswer &answer : answers_) {
            if (answer.kind != Kind::Accepted || answer.entity != entity)
                continue;
            if (firstSeenAt(seen, answer.version)
                > propagationDeadline(daemonId, answer.answered, disturbances))
                found.push_back(fmt::format("version {} of {} was not in effect at {} in time",
                                            answer.version, entity, daemonId));
        }
    }
    return found;
}

Millis ConfigWatch::longestPropagation(const std::vector<Disturbance> &disturbances) const
{
    const std::lock_guard lock(mutex_);
    Millis longest{0};
    for (const auto &[key, seen] : seen_) {
        for (const ChangeAnswer &answer : answers_) {
            if (answer.kind != Kind::Accepted || answer.entity != key.second)
                continue;
            const TimePoint due = propagationDeadline(key.first, answer.answered, disturbances);
            const TimePoint at = firstSeenAt(seen, answer.version);
            if (due == answer.answered + kMaxPropagationTime && at != TimePoint::max()) {
                longest = std::max(longest,
                                   std::chrono::duration_cast<Millis>(at - answer.answered));
            }
        }
    }
    return longest;
}

} // namespace cicadafork::test
