#pragma once

// A program that a test starts and ends.
//
//   ChildProcess log(binaryDirectory() + "/standin-log", {"--listen", "127.0.1.1:9000"},
//   "log.err"); log.sendSignal(SIGKILL); std::optional<int> status = log.wait(Millis(1000));

#include "base/clock.h"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace cicadafork::test {

class ChildProcess
{
public:
    /// Starts the program with its output in a file; with an empty name it shares this program's
    /// output. The child gets SIGKILL when this program ends, however it ends. Throws
    /// std::system_error on failure.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 std::string errorFile);
    /// Sends SIGKILL to a program that still runs and collects it.
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// SIGKILL, SIGSTOP, SIGCONT or SIGTERM; nothing happens after the program has ended. After
    /// SIGSTOP it returns when all threads of the program have stopped; throws std::runtime_error
    /// if they have not within 10 s.
    void sendSignal(int signal);

    /// Exit status, or 128 + signal; nothing when the program still runs after the timeout.
    std::optional<int> wait(Millis timeout);

    bool running();
    pid_t id() const { return id_; }
    std::string errorOutput() const;

private:
    void awaitStop();

    std::string errorFile_;
    pid_t id_ = -1;
    std::optional<int> status_;
};

} // namespace cicadafork::test
