#include "support/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <system_error>
#include <thread>

namespace cicadafork::test {

namespace {

constexpr Millis kWaitPoll{5};

int exitStatus(int status)
{
    return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           std::string errorFile)
    : errorFile_(std::move(errorFile))
{
    std::vector<std::string> words = {program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    for (std::string &word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (!errorFile_.empty())
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorFile_.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int error = posix_spawn(&id_, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), program);
}

ChildProcess::~ChildProcess()
{
    if (!running())
        return;
    kill(id_, SIGKILL);
    wait(Millis(10'000));
}

void ChildProcess::sendSignal(int signal)
{
    // After the child was collected, its id may belong to another process.
    if (running())
        kill(id_, signal);
}

std::optional<int> ChildProcess::wait(Millis timeout)
{
    const TimePoint limit = steadyNow() + timeout;
    while (running() && steadyNow() < limit)
        std::this_thread::sleep_for(kWaitPoll);
    return status_;
}

bool ChildProcess::running()
{
    if (status_)
        return false;
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) == id_)
        status_ = exitStatus(status);
    return !status_;
}

std::string ChildProcess::errorOutput() const
{
    std::ifstream file(errorFile_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace cicadafork::test
