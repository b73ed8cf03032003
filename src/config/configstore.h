#pragma once

// The configuration in force in this process.
//
//   std::shared_ptr<const Configuration> configuration = store.current(); // nullptr until known
//   Expected<Verdict> verdict = store.submit(command, deadline);          // blocks
//
// Readers share an immutable snapshot, so that a request sees one configuration from start to end.

#include "config/configuration.h"

#include <memory>

namespace cicadafork {

class ConfigStore
{
public:
    virtual ~ConfigStore() = default;

    /// The configuration in force; nullptr while none is known.
    virtual std::shared_ptr<const Configuration> current() const = 0;

    /// Appends a command and waits until it has been read back and folded. Fails with Unavailable
    /// when the log does not take it, and with DeadlineExceeded when the verdict is not known in
    /// time: the command may then still be accepted, the history shows it.
    virtual Result<Verdict> submit(const Command &command, TimePoint deadline) = 0;
};

} // namespace cicadafork
