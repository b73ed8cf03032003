#pragma once

// Records the answers that operators get to configuration changes and the versions that daemons
// have, and checks that the observed versions are consistent with the answers.
//
//   ConfigWatch watch;
//   watch.recordVersion("daemon-1", "w0", 17, "2.5", steadyNow()); // from many threads
//   watch.recordAnswer({...});
//   violations = watch.findViolations(disturbances);

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cicadafork::test {

/// Maximum time until an accepted change is in effect at every daemon.
inline constexpr Millis kMaxPropagationTime{6000};

struct ChangeAnswer
{
    std::string entity;
    std::uint64_t baseVersion = 0;
    std::string value; ///< Unique for each command.
    enum class Kind { Accepted, Rejected, Unknown } kind = Kind::Unknown;
    std::uint64_t version = 0; ///< Version created by an accepted change.
    TimePoint answered;
};

/// A period in which a daemon was killed, frozen or cut off from the log and its peers.
struct Disturbance
{
    std::string daemonId;
    TimePoint from;
    TimePoint to;
};

struct Observation
{
    std::uint64_t version = 0;
    std::string value;
    TimePoint at;
};

class ConfigWatch
{
public:
    void recordAnswer(ChangeAnswer answer);
    /// Records the version and value of an entity that are in effect at a daemon.
    void recordVersion(const std::string &daemonId, const std::string &entity,
                       std::uint64_t version, const std::string &value, TimePoint at);

    std::vector<ChangeAnswer> answers() const;
    /// Describes each violation: two commands accepted on the same version, a rejected value in
    /// effect, a version with two values, a version that goes back, and a change that is not in
    /// effect in time. Call it after all observations are recorded.
    std::vector<std::string> findViolations(const std::vector<Disturbance> &disturbances) const;
    /// Maximum time until an accepted change was in effect at an undisturbed daemon.
    Millis longestPropagation(const std::vector<Disturbance> &disturbances) const;

private:
    using Key = std::pair<std::string, std::string>; ///< Daemon and entity.

    mutable std::mutex mutex_;
    std::vector<ChangeAnswer> answers_;
    std::map<Key, std::vector<Observation>> seen_;
};

/// Time by which an accepted change must be in effect at the daemon: kMaxPropagationTime after it
/// was accepted. A disturbance that begins before the deadline moves it to kMaxPropagationTime
/// after the end of the disturbance.
TimePoint propagationDeadline(const std::string &daemonId, TimePoint accepted,
                              const std::vector<Disturbance> &disturbances);

} // namespace cicadafork::test
