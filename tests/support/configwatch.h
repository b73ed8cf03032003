#pragma once

// What operators were told about changes, what each daemon had in force and when, and the judgement
// of one against the other.
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

/// Time until which an accepted change must be in force everywhere.
inline constexpr Millis kMaxPropagationTime{6000};

struct ChangeAnswer
{
    std::string entity;
    std::uint64_t baseVersion = 0;
    std::string value; ///< Different for each command.
    enum class Kind { Accepted, Rejected, Unknown } kind = Kind::Unknown;
    std::uint64_t version = 0; ///< Of an accepted change.
    TimePoint answered;
};

/// A daemon was killed, frozen or cut off from its sources.
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
    /// The version and value of an entity in force at a daemon.
    void recordVersion(const std::string &daemonId, const std::string &entity,
                       std::uint64_t version, const std::string &value, TimePoint at);

    std::vector<ChangeAnswer> answers() const;
    /// Violations of the guarantee; call it when all observations are made.
    std::vector<std::string> findViolations(const std::vector<Disturbance> &disturbances) const;
    /// Longest time until an accepted change was seen at an undisturbed daemon.
    Millis longestPropagation(const std::vector<Disturbance> &disturbances) const;

private:
    using Key = std::pair<std::string, std::string>; ///< Daemon and entity.

    mutable std::mutex mutex_;
    std::vector<ChangeAnswer> answers_;
    std::map<Key, std::vector<Observation>> seen_;
};

/// Time by which a change that was accepted at a time must be in force at the daemon: 6 s later, or
/// 6 s after the end of the disturbances that follow each other without a pause of 6 s.
TimePoint propagationDeadline(const std::string &daemonId, TimePoint accepted,
                              const std::vector<Disturbance> &disturbances);

} // namespace cicadafork::test
