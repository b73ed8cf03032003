#include "soak/soak.h"

#include "net/upstream.h"
#include "support/environment.h"
#include "support/network.h"
#include "support/platformstandin.h"
#include "support/process.h"

#include <asio/io_context.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <stdexcept>

namespace cicadafork::test {

namespace {

// The same ports on every address, as on the users' machines.
constexpr std::uint16_t kCallerPort = 20'101;
constexpr std::uint16_t kReadinessPort = 20'102;
constexpr std::uint16_t kControlPort = 20'103;
constexpr std::uint16_t kPeerPort = 20'104;
constexpr Millis kCallerDeadline{1500};
// A daemon that runs answers within the deadline; this covers the machine's own delays.
constexpr Millis kAnswerMargin{1500};
constexpr Millis kStartLimit{10'000};
constexpr Millis kRequestInterval{12};
constexpr const char *kRoutes[] = {"safe", "once", "stream"};

struct Call
{
    std::string id;
    std::string route;
    std::size_t daemon = 0;
    TimePoint begun{};
    std::unique_ptr<UpstreamCall> call;
    int status = 0;
    std::string body;
    bool sealed = false;
    bool ended = false;
    bool whole = false;
    bool disturbed = false; ///< Its daemon was stopped, killed or ended meanwhile.
};

struct Daemon
{
    std::string ip;
    std::string settings;
    std::string log;
    std::unique_ptr<ChildProcess> process;
    TimePoint startAgain{};
    TimePoint wakeUp{};
    TimePoint disturbedUntil{};
};

std::string allEvents()
{
    std::string text;
    for (unsigned i = 1; i <= EndpointStandin::kStreamEvents; ++i)
        text += fmt::format("id: {}\ndata: event {}\n\n", i, i);
    return text;
}

class Soak
{
public:
    explicit Soak(const SoakOptions &options)
        : options_(options)
        , random_(options.seed)
        , storeAddress_(addresses_.next())
        , store_(context_, storeAddress_)
        , pool_(context_, {})
    {
        std::string name = std::filesystem::temp_directory_path() / "cicadafork-soak-XXXXXX";
        if (mkdtemp(name.data()) == nullptr)
            throw std::runtime_error("cannot create " + name);
        directory_ = name;
        for (unsigned i = 0; i < options.replicas; ++i)
            replicas_.push_back(std::make_unique<EndpointStandin>(context_, addresses_.next(),
                                                                  fmt::format("i-{}", i + 1)));
        for (std::size_t i = 0; i < replicas_.size(); ++i)
            writeReplica(i, "ready");
        writeConfiguration();
        for (unsigned i = 0; i < options.daemons; ++i)
            addDaemon(i);
    }

    ~Soak() { std::filesystem::remove_all(directory_); }

    SoakReport run()
    {
        awaitReady();
        const TimePoint end = steadyNow() + options_.length;
        TimePoint nextFault = steadyNow() + Millis(500);
        TimePoint nextCall = steadyNow();
        while (steadyNow() < end) {
            runFor(Millis(4));
            const TimePoint now = steadyNow();
            if (now >= nextCall) {
                call(pick(options_.daemons));
                nextCall = now + kRequestInterval;
            }
            if (now >= nextFault) {
                injectFault(now);
                nextFault = now + Millis(200 + pick(700));
            }
            tendDaemons(now);
        }
        runFor(kCallerDeadline + kAnswerMargin);
        check();
        return std::move(report_);
    }

private:
    std::size_t pick(std::size_t count) { return random_() % count; }

    void runFor(Millis time)
    {
        context_.restart();
        context_.run_for(time);
    }

    bool isEngine(std::size_t replica) const { return replica % 3 == 2; }

    void writeReplica(std::size_t index, const std::string &state)
    {
        store_.put("keyed.servers", replicas_[index]->id,
                   fmt::format(R"({{"service":"{}","address":"{}","zone":"z{}","slots":16,
                       "state":"{}","seq":{},"born":5}})",
                               isEngine(index) ? "pool" : "plain",
                               toString(replicas_[index]->address), index % 2, state, ++sequence_));
    }

    void writeConfiguration()
    {
        const auto route = [](const char *name, const char *kind, const char *service) {
            return fmt::format(R"({{"name":"{0}","host":"h","pathPrefix":"/{0}/","kind":"{1}",
                "service":"{2}","timeoutMs":1500,"targetLatencyMs":300,"maxAttempts":2,
                "resumable":true,"gapGoalMs":200}})",
                               name, kind, service);
        };
        ++version_;
        store_.put("keyed.op", "config",
                   fmt::format(R"({{"version":{},"routes":[{},{},{}],"services":[{{"name":"plain"}},
                       {{"name":"pool","engine":{{"slots":16,"kvCapacity":450000,"stride":4,
                       "step_ms":1,"read_per_s":256000,"pairs_per_m":0.09}}}}],
                       "tenants":[{{"name":"ws","apiKeys":["key","k{}"]}}]}})",
                               version_, route("safe", "safe", "plain"),
                               route("once", "unsafe", "plain"),
                               route("stream", "streaming", "pool"), version_));
    }

    void addDaemon(unsigned number)
    {
        Daemon daemon;
        daemon.ip = addresses_.next().ip;
        daemon.settings = fmt::format("{}/gateway-{}.yaml", directory_, number);
        daemon.log = fmt::format("{}/gateway-{}.log", directory_, number);
        std::ofstream file(daemon.settings);
        file << fmt::format("member: front-{}\nfailure_domain: z{}\n", number, number % 2)
             << fmt::format("caller_address: {0}:{1}\nreadiness_address: {0}:{2}\n", daemon.ip,
                            kCallerPort, kReadinessPort)
             << fmt::format("control_address: {0}:{1}\npeer_address: {0}:{2}\n", daemon.ip,
                            kControlPort, kPeerPort)
             << fmt::format("store_address: {}\nseeds: \"none,{}:1\"\n", toString(storeAddress_),
                            daemons_.empty() ? daemon.ip : daemons_.front().ip)
             << "retries:\n  share: 0.2\n  allowance: 100\n  window_s: 10\nshutdown_grace_s: 5\n";
        file.close();
        start(daemon);
        daemons_.push_back(std::move(daemon));
    }

    void start(Daemon &daemon)
    {
        daemon.process = std::make_unique<ChildProcess>(
                binaryDirectory() + "/cicadafork",
                std::vector<std::string>{"gateway", "--settings", daemon.settings}, daemon.log);
    }

    void awaitReady()
    {
        const TimePoint limit = steadyNow() + kStartLimit;
        std::vector<int> status(daemons_.size(), 0);
        while (std::ranges::any_of(status, [](int value) { return value != 200; })) {
            if (steadyNow() > limit)
                throw std::runtime_error("the daemons do not get ready");
            std::vector<std::unique_ptr<UpstreamCall>> calls;
            for (std::size_t i = 0; i < daemons_.size(); ++i) {
                HeaderList headers;
                headers.add("Host", "h");
                calls.push_back(pool_.call(
                        {daemons_[i].ip, kReadinessPort},
                        {.head = serializeRequestHead("GET", "/cicadafork/ready", headers)},
                        {.head =
                                 [&status, i](HttpResponseHead &&head) {
                                     status[i] = head.status;
                                     return HeadAction::Accept;
                                 },
                         .body = nullptr,
                         .end = nullptr}));
            }
            runFor(Millis(100));
        }
    }

    void call(std::size_t daemon)
    {
        auto made = std::make_unique<Call>();
        Call &call = *made;
        call.id = fmt::format("r{}", calls_.size());
        call.route = kRoutes[pick(std::size(kRoutes))];
        call.daemon = daemon;
        call.begun = steadyNow();
        HeaderList headers;
        headers.add("Host", "h");
        headers.add("Request-Id", call.id);
        headers.add("Authorization", "Token key");
        headers.add("Deadline-Ms", std::to_string(kCallerDeadline.count()));
        if (call.route == "stream")
            headers.add("Token-Count", "1000,24");
        call.call = pool_.call(
                {daemons_[daemon].ip, kCallerPort},
                {.head = serializeRequestHead("GET", "/" + call.route + "/x", headers)},
                {.head =
                         [&call](HttpResponseHead &&head) {
                             call.status = head.status;
                             call.sealed = head.headers.find("Response-Seal") != nullptr;
                             return HeadAction::Accept;
                         },
                 .body = [&call](std::string_view bytes) { call.body += bytes; },
                 .end =
                         [&call](UpstreamOutcome end) {
                             call.ended = true;
                             call.whole = end == UpstreamOutcome::Complete;
                         }});
        calls_.push_back(std::move(made));
    }

    void disturb(std::size_t daemon, TimePoint until)
    {
        daemons_[daemon].disturbedUntil = std::max(daemons_[daemon].disturbedUntil, until);
        for (const auto &call : calls_)
            call->disturbed = call->disturbed || (call->daemon == daemon && !call->ended);
    }

    void injectFault(TimePoint now)
    {
        ++report_.faults;
        const std::size_t daemon = pick(daemons_.size());
        const std::size_t replica = pick(replicas_.size());
        switch (pick(7)) {
        case 0:
            disturb(daemon, now + Millis(3000));
            daemons_[daemon].process->sendSignal(SIGKILL);
            daemons_[daemon].startAgain = now + Millis(300 + pick(1500));
            break;
        case 1:
            disturb(daemon, now + Millis(6000));
            daemons_[daemon].process->sendSignal(SIGSTOP);
            daemons_[daemon].wakeUp = now + Millis(300 + pick(2500));
            break;
        case 2:
            // Requests in progress must end well: only new ones may be refused.
            daemons_[daemon].disturbedUntil = now + Millis(8000);
            daemons_[daemon].process->sendSignal(SIGTERM);
            break;
        case 3:
            store_.refuses = !store_.refuses;
            break;
        case 4:
            writeConfiguration();
            break;
        case 5:
            writeReplica(replica, pick(3) == 0 ? "draining" : "ready");
            break;
        default:
            for (std::size_t i = 0; i <= pick(4); ++i)
                replicas_[replica]->script.push_back(static_cast<EndpointBehaviour>(pick(9)));
            break;
        }
    }

    void tendDaemons(TimePoint now)
    {
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            Daemon &daemon = daemons_[i];
            if (daemon.wakeUp != TimePoint{} && now >= daemon.wakeUp) {
                daemon.process->sendSignal(SIGCONT);
                daemon.wakeUp = {};
            }
            if (daemon.process->running())
                continue;
            if (daemon.startAgain == TimePoint{}) {
                const int status = daemon.process->wait(Millis(0)).value_or(-1);
                if (status != 0)
                    report_.broken.push_back(fmt::format("daemon {} ended with {}", i, status));
                daemon.startAgain = now + Millis(200);
                disturb(i, now + Millis(3000));
            } else if (now >= daemon.startAgain) {
                daemon.startAgain = {};
                daemon.wakeUp = {};
                start(daemon);
            }
        }
    }

    std::size_t runsOf(const std::string &id) const
    {
        std::size_t runs = 0;
        for (const auto &replica : replicas_)
            runs += std::ranges::count(replica->runs, id, &EndpointStandin::Run::requestId);
        return runs;
    }

    void check()
    {
        for (const auto &call : calls_) {
            const auto broken = [&](const char *promise) {
                report_.broken.push_back(fmt::format("{} ({}, daemon {}, status {}): {}", call->id,
                                                     call->route, call->daemon, call->status,
                                                     promise));
            };
            ++report_.outcomes[fmt::format("{} {}{}", call->route, call->status,
                                           call->whole ? "" : " cut")];
            const std::size_t runs = runsOf(call->id);
            const std::string expected
                    = call->route == "stream" ? allEvents() : "answer of " + call->id;
            if (call->route == "once" && runs > 1)
                broken("ran more than once");
            if (call->route == "once" && call->whole && call->status == 503 && runs > 0)
                broken("was said not to have run, and ran");
            if (call->status == 200 && call->whole && (call->body != expected || !call->sealed))
                broken("has another answer than its own, or not the whole");
            if (call->status == 200 && !expected.starts_with(call->body))
                broken("has bytes that are not of its answer");
            if (!call->ended && !call->disturbed
                && daemons_[call->daemon].disturbedUntil < call->begun)
                broken("has no end");
            if (call->whole && (call->status == 401 || call->status == 404))
                broken("was denied, though its route and key were always there");
        }
    }

    SoakOptions options_;
    std::mt19937_64 random_;
    asio::io_context context_;
    AddressPool addresses_;
    Address storeAddress_;
    StoreStandin store_;
    std::vector<std::unique_ptr<EndpointStandin>> replicas_;
    UpstreamPool pool_;
    std::vector<std::unique_ptr<Call>> calls_;
    std::vector<Daemon> daemons_;
    std::string directory_;
    unsigned version_ = 0;
    unsigned sequence_ = 0;
    SoakReport report_;
};

} // namespace

SoakReport runSoak(const SoakOptions &options)
{
    return Soak(options).run();
}

} // namespace cicadafork::test
