#include "support/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <fstream>
#include <functional>
#include <future>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>

namespace cicadafork::test {

namespace {

constexpr Millis kWaitPoll{5};
constexpr Millis kStopTimeout{10'000};

int exitStatus(int status)
{
    return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

/// One thread that starts all children and lives as long as the process. The parent-death signal
/// goes out when the thread that forked ends, so a thread of a test must not fork.
class Starter
{
public:
    static Starter &instance()
    {
        static Starter *starter = new Starter;
        return *starter;
    }

    pid_t run(std::function<pid_t()> start)
    {
        std::packaged_task<pid_t()> task(std::move(start));
        std::future<pid_t> result = task.get_future();
        {
            const std::lock_guard lock(mutex_);
            tasks_.push_back(std::move(task));
        }
        changed_.notify_one();
        return result.get();
    }

private:
    Starter()
    {
        std::thread([this] { loop(); }).detach();
    }

    void loop()
    {
        for (;;) {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [&] { return !tasks_.empty(); });
            std::packaged_task<pid_t()> task = std::move(tasks_.front());
            tasks_.pop_front();
            lock.unlock();
            task();
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::packaged_task<pid_t()>> tasks_;
};

/// Runs in the child between fork and exec, so only async-signal-safe calls are made.
[[noreturn]] void execute(char *const *argv, int output, pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The parent may have ended before the signal was asked for.
    if (getppid() != parent)
        _exit(127);
    // A child that kept the pipe of the test program would keep its reader waiting.
    if (output >= 0) {
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
    }
    // A program that kept the test's sockets would hold connections open that the test has closed.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(argv[0], argv);
    _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           std::string errorFile)
    : errorFile_(std::move(errorFile))
{
    if (access(program.c_str(), X_OK) != 0)
        throw std::system_error(errno, std::generic_category(), program);
    std::vector<std::string> words = {program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    for (std::string &word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    int output = -1;
    if (!errorFile_.empty()) {
        output = open(errorFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (output < 0)
            throw std::system_error(errno, std::generic_category(), errorFile_);
    }
    const pid_t parent = getpid();
    id_ = Starter::instance().run([&] {
        const pid_t child = fork();
        if (child == 0)
            execute(argv.data(), output, parent);
        return child;
    });
    const int error = errno;
    if (output >= 0)
        close(output);
    if (id_ < 0)
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
    if (!running())
        return;
    kill(id_, signal);
    if (signal == SIGSTOP)
        awaitStop();
}

void ChildProcess::awaitStop()
{
    // kill() returns before the threads have stopped, and until then they go on answering.
    const TimePoint limit = steadyNow() + kStopTimeout;
    while (running()) {
        siginfo_t info{};
        // WNOWAIT keeps the report for the next SIGSTOP to a program that is already stopped.
        if (waitid(P_PID, static_cast<id_t>(id_), &info, WSTOPPED | WNOHANG | WNOWAIT) == 0
            && info.si_pid == id_)
            return;
        if (steadyNow() >= limit)
            throw std::runtime_error("the program did not stop within 10 s after SIGSTOP");
        std::this_thread::sleep_for(kWaitPoll);
    }
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
