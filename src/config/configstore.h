#pragma once

// Access to the current configuration of this process, and submission of changes.
//
//   std::shared_ptr<const Configuration> configuration = store.current(); // nullptr until known
//   Expected<Verdict> verdict = store.submit(command, deadline);          // blocks
//
// Readers share an immutable configuration. A request keeps the pointer and therefore sees the same
// configuration from start to end.

#include "config/configuration.h"

#include <memory>

namespace cicadafork {

class ConfigStore
{
public:
    virtual ~ConfigStore() = default;

    /// The current configuration; nullptr while none is known.
    virtual std::shared_ptr<const Configuration> current() const = 0;

    /// Appends a command and waits until it has been read back and applied. Fails with Unavailable
    /// when the log was not reachable and the command was not appended, and with DeadlineExceeded
    /// when the verdict is not known in time. In the latter case the command may still be accepted;
    /// the history then lists it.
    virtual Result<Verdict> submit(const Command &command, TimePoint deadline) = 0;
};

} // namespace cicadafork
