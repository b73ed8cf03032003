// Streams through three daemons while some replicas answer wrongly, as MODE says:
//
//   faultyreplicas MODE ROOT WORK RECORD
//
// encode: a share of the answers has a Content-Encoding. damage: a byte in their heads is wrong.
// comment: a share of the requests at one replica stalls, and gets a comment line now and then.
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#include "platform.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace review {
namespace {

constexpr const char *kKey = "n2ctnfzs989anu6wsjnb";
constexpr const char *kHost = "ficu95.example";
constexpr unsigned kDaemons = 3;
// The rule LOST allows three requests.
constexpr unsigned kLostAllowed = 3;
constexpr unsigned kFewestRequests = 50;

/// A disruption lasts from `at` for `length`.
struct Window
{
    Millis at;
    Millis length;
};

struct Case
{
    Handling handling = Handling::Encode;
    unsigned replicas = 5;
    unsigned faulty = 3; ///< Replicas that answer wrongly.
    /// Of so many requests at a faulty replica, that many get the wrong answer.
    unsigned outOf = 34;
    unsigned wrong = 1;
    std::vector<Window> windows;
    Millis length{12'000}; ///< Of the load.
    unsigned clients = 12;
    Millis pause{100}; ///< Of a client between two requests.
    unsigned events = 20;
    Millis eventGap{5};
    Millis commentInterval{0};
    std::string tokens = "1460,80";
    std::string prompt = "1420";
    Millis deadline{10'000};
    Millis objective{300};
    Millis largestGap{200};
    Millis patience{2000};
};

Case caseOf(const std::string &mode)
{
    Case chosen;
    chosen.windows = {{Millis(3000), Millis(5000)}};
    if (mode == "damage")
        chosen.handling = Handling::DamageHead;
    if (mode != "comment")
        return chosen;
    // A report with a long prompt: its first event takes most of a second at a sound replica.
    chosen.handling = Handling::Stall;
    chosen.replicas = 8;
    chosen.faulty = 1;
    chosen.outOf = 20;
    chosen.wrong = 9;
    chosen.windows.clear();
    for (Millis at(3000); at < Millis(60'000); at += Millis(10'000))
        chosen.windows.push_back({at, Millis(6500)});
    chosen.length = Millis(64'000);
    chosen.clients = 24;
    chosen.pause = Millis(1500);
    chosen.commentInterval = Millis(500);
    chosen.tokens = "100000,780";
    chosen.prompt = "99960";
    chosen.deadline = Millis(15'000);
    chosen.objective = Millis(3000);
    chosen.largestGap = Millis(800);
    chosen.patience = Millis(12'000);
    return chosen;
}

std::string routeOf(const Case &chosen)
{
    return "{\"name\":\"r-reports\",\"host\":\"" + std::string(kHost)
           + "\",\"pathPrefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeoutMs\":10000,"
             "\"targetLatencyMs\":"
           + std::to_string(chosen.objective.count())
           + ",\"priority\":1,\"service\":\"huvo11a\",\"maxAttempts\":2,\"public\":false,"
             "\"sticky\":true,\"resumable\":true,\"gapGoalMs\":"
           + std::to_string(chosen.largestGap.count()) + "}";
}

struct Tally
{
    std::mutex mutex;
    unsigned requests = 0;
    unsigned complete = 0;
    unsigned wrongBody = 0;
    unsigned wrongHead = 0;
    unsigned lost = 0;
};

class Run
{
public:
    Run(Case chosen, const std::string &root, const std::string &work, const std::string &record)
        : chosen_(std::move(chosen))
        , record_(record)
        , store_(loopback(1))
    {
        store_.put("keyed.op", "config",
                   configuration(routeOf(chosen_), engineService("huvo11a"), kKey));
        const std::vector<std::string> zones = {"bunbury-hall", "busselton-hall", "augusta-hall"};
        for (unsigned i = 0; i < chosen_.replicas; ++i) {
            ReplicaOptions options;
            options.id = "i-" + std::to_string(i + 1);
            options.service = "huvo11a";
            options.zone = zones[i % zones.size()];
            options.ip = loopback(101 + i);
            options.events = chosen_.events;
            options.eventGap = chosen_.eventGap;
            options.commentInterval = chosen_.commentInterval;
            if (i < chosen_.faulty)
                options.choose = [this](unsigned number) { return choose(number); };
            replicas_.push_back(std::make_unique<Replica>(options, store_, record_));
        }
        for (const DaemonOptions &options : daemonOptions(root, work, store_.address(), kDaemons))
            daemons_.push_back(std::make_unique<Daemon>(options));
        awaitReady(daemons_);
    }

    int play()
    {
        start_ = Clock::now();
        std::vector<std::thread> clients;
        for (unsigned i = 0; i < chosen_.clients; ++i)
            clients.emplace_back([this, i] { runClient(i); });
        for (std::thread &client : clients)
            client.join();
        return judge();
    }

private:
    Handling choose(unsigned number)
    {
        const TimePoint now = Clock::now();
        const bool inWindow = std::ranges::any_of(chosen_.windows, [&](const Window &window) {
            return now >= start_ + window.at && now < start_ + window.at + window.length;
        });
        if (!troubleIsOn() || start_ == TimePoint() || !inWindow)
            return Handling::Answer;
        const bool wrong = number * chosen_.wrong % chosen_.outOf < chosen_.wrong;
        wrongAnswers_ += wrong ? 1 : 0;
        return wrong ? chosen_.handling : Handling::Answer;
    }

    void runClient(unsigned number)
    {
        Client client(daemons_[number % daemons_.size()]->callers());
        std::this_thread::sleep_for(number * chosen_.pause / chosen_.clients);
        while (Clock::now() < start_ + chosen_.length) {
            CallOptions options;
            options.target = "/lohu930/2f";
            options.host = kHost;
            options.key = kKey;
            options.requestId = newRequestId();
            options.headers = {{"Model", "m"},
                               {"Token-Count", chosen_.tokens},
                               {"Prompt-Prefix", "5c1e07a2:40," + options.requestId.substr(0, 8)
                                                         + ":" + chosen_.prompt}};
            options.body = "{\"prompt\":\"" + options.requestId + "\"}";
            options.deadline = chosen_.deadline;
            options.patience = chosen_.patience;
            note(options.requestId, client.call(options));
            std::this_thread::sleep_for(chosen_.pause);
        }
    }

    void note(const std::string &id, const CallResult &result)
    {
        const bool success = result.end == CallEnd::Complete && result.status / 100 == 2;
        const bool wrongBody = success && result.body != soundBody(id, chosen_.events);
        const bool lost
                = result.end == CallEnd::Broken && result.kept && record_.wasPassedToSound(id);
        const char *end = result.end == CallEnd::Complete ? "complete"
                          : result.end == CallEnd::Broken ? "cut off by the daemon"
                                                          : "left by the client";
        record_.line(
                "client: " + id + " " + end + " status " + std::to_string(result.status) + " bytes "
                + std::to_string(result.body.size()) + " after "
                + std::to_string(result.took.count()) + " ms"
                + (result.contentEncoding ? " Content-Encoding " + *result.contentEncoding : "")
                + (result.badHead ? " HEAD IS NO HTTP" : "")
                + (wrongBody ? " BODY IS NOT THE REPLICA'S" : "")
                + (lost ? " LOST, a sound replica had it" : ""));
        const std::lock_guard lock(tally_.mutex);
        ++tally_.requests;
        tally_.complete += success ? 1 : 0;
        tally_.wrongBody += wrongBody ? 1 : 0;
        tally_.wrongHead += result.badHead ? 1 : 0;
        tally_.lost += lost ? 1 : 0;
    }

    int judge()
    {
        const std::string figures
                = "requests " + std::to_string(tally_.requests) + ", complete "
                  + std::to_string(tally_.complete) + ", wrong answers of replicas "
                  + std::to_string(wrongAnswers_) + ", successes with another body "
                  + std::to_string(tally_.wrongBody) + ", heads that are no HTTP "
                  + std::to_string(tally_.wrongHead) + ", lost " + std::to_string(tally_.lost);
        record_.line(figures);
        std::cout << figures << '\n';
        if (tally_.complete < kFewestRequests || (troubleIsOn() && wrongAnswers_ == 0))
            return 2;
        return tally_.wrongBody > 0 || tally_.wrongHead > 0 || tally_.lost > kLostAllowed ? 1 : 0;
    }

    Case chosen_;
    Record record_;
    TimePoint start_{};
    std::atomic<unsigned> wrongAnswers_ = 0;
    Tally tally_;
    Store store_;
    std::vector<std::unique_ptr<Replica>> replicas_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
};

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    if (argc != 5)
        return 2;
    try {
        review::Run run(review::caseOf(argv[1]), argv[2], argv[3], argv[4]);
        return run.play();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
