// Streams with bodies of the largest size that the configuration allows, through three daemons, and
// a burst of callers. The platform's part is to kill a process that uses more memory than its
// machine has, and to start it again.
//
//   largebodies ROOT WORK RECORD
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#include "platform.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>

namespace review {
namespace {

constexpr const char *kKey = "n2ctnfzs989anu6wsjnb";
constexpr const char *kHost = "ficu95.example";
constexpr unsigned kDaemons = 3;
constexpr unsigned kReplicas = 23;
// The rule LOST allows three requests.
constexpr unsigned kLostAllowed = 3;
constexpr unsigned kFewestRequests = 20;
// limits.memoryMb of the small deployment.
constexpr std::size_t kMemoryLimit = 260 * 1024 * 1024;
constexpr Millis kRestartDelay{500};
// limits.maxBodyBytes of the configuration.
constexpr std::size_t kBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t kUploadBytesPerSecond = 2 * 1024 * 1024;
// Callers of each daemon, and the factor and the times of the burst.
constexpr unsigned kCallers = 14;
constexpr double kBurst = 2.5;
constexpr Millis kBurstAt{10'000};
constexpr Millis kBurstLength{9500};
constexpr Millis kLength{25'000};
constexpr Millis kPause{500};
constexpr unsigned kEvents = 30;
constexpr Millis kEventGap{150};

const std::string &routes()
{
    static const std::string text
            = "{\"name\":\"r-reports\",\"host\":\"" + std::string(kHost)
              + "\",\"pathPrefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeoutMs\":15000,"
                "\"targetLatencyMs\":3000,\"priority\":1,\"service\":\"huvo11a\","
                "\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
                "\"gapGoalMs\":800}";
    return text;
}

class Run
{
public:
    Run(const std::string &root, const std::string &work, const std::string &record)
        : record_(record)
        , store_(loopback(1))
        , body_(kBodyBytes, 'x')
    {
        store_.put("keyed.op", "config", configuration(routes(), engineService("huvo11a"), kKey));
        const std::vector<std::string> zones = {"bunbury-hall", "busselton-hall", "augusta-hall"};
        for (unsigned i = 0; i < kReplicas; ++i) {
            ReplicaOptions options;
            options.id = "i-" + std::to_string(i + 1);
            options.service = "huvo11a";
            options.zone = zones[i % zones.size()];
            options.ip = loopback(101 + i);
            options.events = kEvents;
            options.eventGap = kEventGap;
            replicas_.push_back(std::make_unique<Replica>(options, store_, record_));
        }
        for (const DaemonOptions &options : daemonOptions(root, work, store_.address(), kDaemons))
            daemons_.push_back(std::make_unique<Daemon>(options));
        awaitReady(daemons_);
    }

    int play()
    {
        start_ = Clock::now();
        std::thread platform([this] { watchMemory(); });
        std::vector<std::thread> clients;
        for (unsigned i = 0; i < kDaemons * kCallers; ++i)
            clients.emplace_back([this, i] { runClient(i, Millis(0), kLength); });
        const auto more = static_cast<unsigned>(kDaemons * kCallers * (kBurst - 1));
        for (unsigned i = 0; troubleIsOn() && i < more; ++i)
            clients.emplace_back([this, i] { runClient(i, kBurstAt, kBurstAt + kBurstLength); });
        for (std::thread &client : clients)
            client.join();
        ended_ = true;
        platform.join();
        return judge();
    }

private:
    /// The platform: a process over the limit is killed, and started again after a short delay.
    void watchMemory()
    {
        std::vector<TimePoint> startAt(daemons_.size());
        while (!ended_) {
            for (std::size_t i = 0; i < daemons_.size(); ++i) {
                Daemon &daemon = *daemons_[i];
                if (daemon.hasEnded()) {
                    if (startAt[i] == TimePoint()) {
                        startAt[i] = Clock::now() + kRestartDelay;
                        record_.line("platform: " + daemon.name() + " has ended");
                    } else if (Clock::now() >= startAt[i]) {
                        startAt[i] = {};
                        daemon.start();
                        record_.line("platform: " + daemon.name() + " starts again");
                    }
                    continue;
                }
                const std::size_t memory = daemon.memory();
                peak_[i] = std::max(peak_[i], memory);
                if (memory <= kMemoryLimit)
                    continue;
                daemon.signal(SIGKILL);
                ++kills_[i];
                record_.line("platform: " + daemon.name() + " uses "
                             + std::to_string(memory / 1024 / 1024)
                             + " MB, over its limit, and is killed");
            }
            std::this_thread::sleep_for(Millis(10));
        }
    }

    void runClient(unsigned number, Millis from, Millis until)
    {
        Client client(daemons_[number % daemons_.size()]->callers());
        std::this_thread::sleep_until(start_ + from + Millis(37) * (number % 60));
        while (Clock::now() < start_ + until) {
            CallOptions options;
            options.target = "/lohu930/2f";
            options.host = kHost;
            options.key = kKey;
            options.requestId = newRequestId();
            options.headers = {
                    {"Model", "m"},
                    {"Token-Count", "130000,780"},
                    {"Prompt-Prefix", "5c1e07a2:40," + options.requestId.substr(0, 8) + ":129960"}};
            options.body = body_;
            options.deadline = Millis(15'000);
            options.patience = Millis(12'000);
            options.uploadBytesPerSecond = kUploadBytesPerSecond;
            note(options.requestId, client.call(options));
            std::this_thread::sleep_for(kPause);
        }
    }

    void note(const std::string &id, const CallResult &result)
    {
        const bool success = result.end == CallEnd::Complete && result.status / 100 == 2;
        const bool lost
                = result.end == CallEnd::Broken && result.kept && record_.wasPassedToSound(id);
        const char *end = result.end == CallEnd::Complete ? "complete"
                          : result.end == CallEnd::Broken ? "cut off by the daemon"
                                                          : "left by the client";
        record_.line("client: " + id + " " + end + " status " + std::to_string(result.status)
                     + " after " + std::to_string(result.took.count()) + " ms"
                     + (lost ? " LOST, a sound replica had it" : ""));
        const std::lock_guard lock(mutex_);
        ++requests_;
        complete_ += success ? 1 : 0;
        refused_ += result.status == 503 ? 1 : 0;
        lost_ += lost ? 1 : 0;
    }

    int judge()
    {
        std::string figures = "requests " + std::to_string(requests_) + ", complete "
                              + std::to_string(complete_) + ", refused " + std::to_string(refused_)
                              + ", lost " + std::to_string(lost_);
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            figures += "; " + daemons_[i]->name() + " peak "
                       + std::to_string(peak_[i] / 1024 / 1024) + " MB, killed "
                       + std::to_string(kills_[i]);
        record_.line(figures);
        std::cout << figures << '\n';
        if (complete_ < kFewestRequests)
            return 2;
        return lost_ > kLostAllowed ? 1 : 0;
    }

    Record record_;
    TimePoint start_{};
    std::atomic<bool> ended_ = false;
    std::mutex mutex_;
    unsigned requests_ = 0;
    unsigned complete_ = 0;
    unsigned refused_ = 0;
    unsigned lost_ = 0;
    std::array<std::size_t, kDaemons> peak_{};
    std::array<unsigned, kDaemons> kills_{};
    Store store_;
    std::string body_;
    std::vector<std::unique_ptr<Replica>> replicas_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
};

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    if (argc != 4)
        return 2;
    try {
        review::Run run(argv[1], argv[2], argv[3]);
        return run.play();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
