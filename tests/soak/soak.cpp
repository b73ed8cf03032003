#include "soak/soak.h"

#include "net/upstream.h"
#include "soak/checks.h"
#include "soak/clients.h"
#include "soak/faults.h"
#include "support/environment.h"
#include "support/network.h"
#include "support/platformstandin.h"
#include "support/process.h"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
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
constexpr Millis kStartLimit{10'000};
// The users' bound `recoverS`.
constexpr Millis kRecoveryLimit{12'000};
constexpr Millis kStep{4};
// Streams last long enough that most faults meet some of them.
constexpr Millis kEventGap{40};
constexpr unsigned kClientsPerDaemon = 8;
constexpr unsigned kMaxClients = 96;
// Every daemon has an address of its own in the net of the address pool.
constexpr unsigned kMaxAddresses = 240;
constexpr std::uint64_t kDaemonMemoryBytes = 64ULL * 1024 * 1024;
// SIGHUP switches between two sets of limits.
constexpr Millis kShutdownGrace[] = {Millis(8000), Millis(10'000)};
constexpr unsigned kRetryAllowance[] = {100, 150};

struct Daemon
{
    std::string name;
    std::string ip;
    std::string settings;
    std::string log;
    std::unique_ptr<ChildProcess> process;
    unsigned incarnation = 0;
    unsigned limits = 0;    ///< Set of limits in the settings file.
    bool listening = false; ///< A connection was accepted; signals are handled.
    bool killed = false;    ///< SIGKILL was sent to this incarnation.
    TimePoint shutdownAt{}; ///< SIGTERM, or the end of a freeze after it.
    TimePoint endedAt{};
    TimePoint startAgain{};
    TimePoint wakeUp{};
    Millis restartDelay{200};
};

/// The workspace of the key is named after the version, so that an endpoint sees which version has
/// admitted a request.
std::string configurationText(unsigned version)
{
    std::string routes;
    for (const SoakRoute &route : kSoakRoutes) {
        routes += routes.empty() ? "" : ",";
        routes += fmt::format(R"({{"name":"{0}","host":"h","pathPrefix":"/{0}/","kind":"{1}",
            "service":"{2}","maxAttempts":{3},"timeoutMs":5000,"targetLatencyMs":300,
            "resumable":true,"gapGoalMs":200}})",
                              route.name, route.kind, route.service, route.maxAttempts);
    }
    return fmt::format(R"({{"version":{0},"routes":[{1}],"services":[{{"name":"plain"}},
        {{"name":"pool","engine":{{"slots":16,"kvCapacity":450000,"stride":4,"step_ms":1,
        "read_per_s":256000,"pairs_per_m":0.09}}}}],
        "tenants":[{{"name":"ws-{0}","apiKeys":["key"]}}]}})",
                       version, routes);
}

class Soak
{
public:
    explicit Soak(const SoakOptions &options)
        : options_(options)
        , random_(options.seed)
        , plan_(planFaults(options))
        , storeAddress_(addresses_.next())
        , store_(context_, storeAddress_)
        , pool_(context_, {})
    {
        std::string name = std::filesystem::temp_directory_path() / "cicadafork-soak-XXXXXX";
        if (mkdtemp(name.data()) == nullptr)
            throw std::runtime_error("cannot create " + name);
        directory_ = name;
        timeline_.open(directory_ + "/faults.log");
        for (unsigned i = 0; i < options.replicas; ++i)
            replicas_.push_back(std::make_unique<EndpointStandin>(context_, addresses_.next(),
                                                                  fmt::format("i-{}", i + 1)));
        states_.resize(replicas_.size());
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            replicas_[i]->eventGap = kEventGap;
            writeReplica(i, "ready");
        }
        writeConfiguration();
        for (unsigned i = 0; i < options.daemons; ++i)
            addDaemon(i);
        const unsigned clients = std::min(options.daemons * kClientsPerDaemon, kMaxClients);
        for (unsigned i = 0; i < clients; ++i)
            addClient();
    }

    ~Soak()
    {
        if (!keepsDirectory_)
            std::filesystem::remove_all(directory_);
    }

    SoakReport run()
    {
        if (!becomeReady(kStartLimit))
            throw std::runtime_error("the daemons do not get ready");
        for (const auto &client : clients_)
            client->start();
        const TimePoint start = steadyNow();
        auto fault = plan_.begin();
        while (steadyNow() < start + options_.length) {
            step();
            for (; fault != plan_.end() && steadyNow() >= start + fault->at; ++fault)
                inject(*fault);
        }
        for (const auto &client : clients_)
            client->stop();
        while (std::ranges::any_of(clients_, [](const auto &client) { return client->busy(); })
               || !later_.empty())
            step();
        for (const auto &replica : replicas_)
            replica->script.clear();
        if (!becomeReady(kRecoveryLimit))
            report_.broken.push_back("the daemons are not ready again after the last fault");
        else if (!becomeCurrent())
            report_.broken.push_back("not all daemons have the newest configuration at the end");
        judge();
        return std::move(report_);
    }

private:
    void step()
    {
        context_.restart();
        context_.run_for(kStep);
        const TimePoint now = steadyNow();
        while (!later_.empty() && later_.begin()->first <= now) {
            const auto action = std::move(later_.begin()->second);
            later_.erase(later_.begin());
            action();
        }
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            tend(i, now);
    }

    void after(Millis delay, std::function<void()> action)
    {
        later_.emplace(steadyNow() + delay, std::move(action));
    }

    bool isEngine(std::size_t replica) const { return replica % 3 == 2; }

    void writeReplica(std::size_t index, const std::string &state)
    {
        if (state == "draining" && states_[index] != state)
            evidence_.drains.push_back({replicas_[index]->id, steadyNow()});
        if (state != "draining")
            endDrains(replicas_[index]->id);
        states_[index] = state;
        store_.put("keyed.servers", replicas_[index]->id,
                   fmt::format(R"({{"service":"{}","address":"{}","zone":"z{}","slots":16,
                       "state":"{}","seq":{},"born":5}})",
                               isEngine(index) ? "pool" : "plain",
                               toString(replicas_[index]->address), index % 2, state, ++sequence_));
    }

    void endDrains(const std::string &endpoint)
    {
        for (EndpointDrain &drain : evidence_.drains) {
            if (drain.endpoint == endpoint)
                drain.until = std::min(drain.until, steadyNow());
        }
    }

    void writeConfiguration()
    {
        ++version_;
        store_.put("keyed.op", "config", configurationText(version_));
        evidence_.writes.push_back({version_, steadyNow()});
    }

    /// The operator and the replicas write again what the store has lost. The operator's changes
    /// get new versions, with the offsets of versions that the daemons have read.
    void writeAgain(std::size_t lostVersions)
    {
        for (std::size_t i = 0; i < lostVersions; ++i)
            writeConfiguration();
        for (std::size_t i = 0; i < replicas_.size(); ++i)
            writeReplica(i, states_[i]);
    }

    void holdStoreAway(Millis duration)
    {
        ++storeFaults_;
        store_.refuses = true;
        store_.refuseWaitingReads();
        evidence_.storeFaults.push_back({0, steadyNow(), steadyNow() + duration});
        after(duration, [this] { store_.refuses = --storeFaults_ > 0; });
    }

    void addDaemon(unsigned number)
    {
        Daemon daemon;
        daemon.name = fmt::format("front-{}", number);
        daemon.ip = addresses_.next().ip;
        daemon.settings = fmt::format("{}/gateway-{}.yaml", directory_, number);
        daemon.log = fmt::format("{}/gateway-{}.log", directory_, number);
        daemons_.push_back(std::move(daemon));
        writeSettings(daemons_.back(), number);
        start(daemons_.back());
    }

    void writeSettings(const Daemon &daemon, std::size_t number)
    {
        // Renamed into place, so that the daemon never reads a part of it.
        const std::string draft = daemon.settings + ".new";
        std::ofstream(draft) << fmt::format("member: {}\nfailure_domain: z{}\n", daemon.name,
                                            number % 2)
                             << fmt::format("caller_address: {0}:{1}\nreadiness_address: {0}:{2}\n",
                                            daemon.ip, kCallerPort, kReadinessPort)
                             << fmt::format("control_address: {0}:{1}\npeer_address: {0}:{2}\n",
                                            daemon.ip, kControlPort, kPeerPort)
                             << fmt::format("store_address: {}\nseeds: \"none,{}:1\"\n",
                                            toString(storeAddress_), daemons_.front().ip)
                             << fmt::format(
                                        "retries:\n  share: 0.2\n  allowance: {}\n  window_s: 10\n",
                                        kRetryAllowance[daemon.limits])
                             << fmt::format("shutdown_grace_s: {}\n",
                                            kShutdownGrace[daemon.limits].count() / 1000);
        std::filesystem::rename(draft, daemon.settings);
    }

    void start(Daemon &daemon)
    {
        const auto number = static_cast<std::size_t>(&daemon - daemons_.data());
        evidence_.restarts.push_back({number, daemon.endedAt, steadyNow()});
        ++daemon.incarnation;
        daemon.listening = false;
        daemon.killed = false;
        daemon.shutdownAt = {};
        daemon.startAgain = {};
        daemon.wakeUp = {};
        daemon.process = std::make_unique<ChildProcess>(
                binaryDirectory() + "/cicadafork",
                std::vector<std::string>{"gateway", "--settings", daemon.settings}, daemon.log);
    }

    void addClient()
    {
        SoakClientHooks hooks;
        hooks.pickTarget = [this] {
            const std::size_t daemon = random_() % daemons_.size();
            return SoakTarget{daemon, {daemons_[daemon].ip, kCallerPort}};
        };
        hooks.connected = [this](std::size_t daemon) {
            daemons_[daemon].listening = true;
            return daemons_[daemon].incarnation;
        };
        hooks.newCall = [this]() -> SoakCall & {
            SoakCall &call = evidence_.calls.emplace_back();
            call.id = fmt::format("r{}", evidence_.calls.size());
            return call;
        };
        hooks.unsolicited = [this](std::size_t daemon) {
            report_.broken.push_back(
                    fmt::format("daemon {} sent bytes that no request waited for", daemon));
        };
        clients_.push_back(std::make_unique<SoakClient>(context_, random_(), std::move(hooks)));
    }

    /// Asks until all daemons are ready at the same time.
    bool becomeReady(Millis limit)
    {
        const TimePoint end = steadyNow() + limit;
        std::vector<int> status(daemons_.size(), 0);
        while (std::ranges::any_of(status, [](int value) { return value != 200; })) {
            if (steadyNow() > end)
                return false;
            std::vector<std::unique_ptr<UpstreamCall>> calls;
            for (std::size_t i = 0; i < daemons_.size(); ++i) {
                status[i] = 0;
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
            for (const TimePoint next = steadyNow() + Millis(100); steadyNow() < next;)
                step();
        }
        return true;
    }

    /// Asks until the newest version admits a request at every daemon.
    bool becomeCurrent()
    {
        const TimePoint end = steadyNow() + kRecoveryLimit;
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            unsigned admittedBy = 0;
            for (unsigned attempt = 0; admittedBy != version_; ++attempt) {
                if (steadyNow() > end) {
                    note(fmt::format("behind target={} version={}", i, admittedBy));
                    return false;
                }
                HeaderList headers;
                headers.add("Host", "h");
                headers.add("Request-Id", fmt::format("current-{}-{}", i, attempt));
                headers.add("Authorization", "Token key");
                headers.add("Deadline-Ms", "1000");
                const auto call
                        = pool_.call({daemons_[i].ip, kCallerPort},
                                     {.head = serializeRequestHead("GET", "/safe/x", headers)}, {});
                for (const TimePoint next = steadyNow() + Millis(50); steadyNow() < next;)
                    step();
                for (const auto &replica : replicas_) {
                    for (const EndpointStandin::Arrival &arrival : replica->log) {
                        if (arrival.requestId == *headers.find("Request-Id"))
                            admittedBy = versionOf(arrival);
                    }
                }
            }
        }
        return true;
    }

    void note(const std::string &event)
    {
        timeline_ << timeOfDay(steadyNow()) << ' ' << event << std::endl;
    }

    void inject(const Fault &fault)
    {
        ++report_.faults;
        note(fmt::format("{} target={} duration_ms={}", toString(fault.kind), fault.target,
                         fault.duration.count()));
        switch (fault.kind) {
        case FaultKind::Terminate:
        case FaultKind::Kill:
        case FaultKind::Freeze:
        case FaultKind::Hangup:
            disturb(fault);
            break;
        case FaultKind::ChangeConfiguration:
            writeConfiguration();
            break;
        case FaultKind::StoreAway:
            holdStoreAway(fault.duration);
            break;
        case FaultKind::StoreOlder:
            holdStoreAway(fault.duration);
            after(fault.duration, [this, age = fault.age, delay = fault.writeAgainAfter] {
                const std::size_t end = store_.end("keyed.op");
                store_.restoreCopy(age);
                const std::size_t lost = end - store_.end("keyed.op");
                if (delay == Millis(0))
                    writeAgain(lost);
                else
                    after(delay, [this, lost] { writeAgain(lost); });
                evidence_.storeFaults.push_back({0, steadyNow(), steadyNow()});
                note(fmt::format("store_restored age_ms={} era={}", age.count(), store_.era()));
            });
            break;
        case FaultKind::EndpointSilent:
            replicas_[fault.target]->fallSilent(fault.duration);
            break;
        case FaultKind::EndpointFaulty:
            for (const unsigned behaviour : fault.behaviours)
                replicas_[fault.target]->script.push_back(
                        static_cast<EndpointBehaviour>(behaviour));
            break;
        case FaultKind::EndpointDraining:
            writeReplica(fault.target, "draining");
            after(fault.duration, [this, target = fault.target] { writeReplica(target, "ready"); });
            break;
        }
    }

    void disturb(const Fault &fault)
    {
        Daemon &daemon = daemons_[fault.target];
        const TimePoint now = steadyNow();
        // Before the process handles signals, these would end it.
        const bool handlesSignals = daemon.listening && daemon.process->running();
        if (fault.kind == FaultKind::Kill && daemon.process->running()) {
            daemon.process->sendSignal(SIGKILL);
            daemon.killed = true;
            daemon.restartDelay = fault.duration;
            beginDisturbance(fault.target, now);
        } else if (fault.kind == FaultKind::Freeze && daemon.process->running()) {
            daemon.process->sendSignal(SIGSTOP);
            daemon.wakeUp = std::max(daemon.wakeUp, now + fault.duration);
            beginDisturbance(fault.target, now);
        } else if (fault.kind == FaultKind::Terminate && handlesSignals) {
            daemon.process->sendSignal(SIGTERM);
            daemon.restartDelay = fault.duration;
            if (daemon.shutdownAt == TimePoint{}) {
                daemon.shutdownAt = now;
                evidence_.shutdowns.push_back({fault.target, now});
            }
        } else if (fault.kind == FaultKind::Hangup && handlesSignals) {
            daemon.limits = 1 - daemon.limits;
            writeSettings(daemon, fault.target);
            daemon.process->sendSignal(SIGHUP);
        }
    }

    void beginDisturbance(std::size_t daemon, TimePoint now)
    {
        evidence_.disturbances.push_back({daemon, now});
    }

    static void endAll(std::vector<Disturbance> &disturbances, std::size_t daemon, TimePoint now)
    {
        for (Disturbance &disturbance : disturbances) {
            if (disturbance.daemon == daemon && disturbance.until == TimePoint::max())
                disturbance.until = now;
        }
    }

    void tend(std::size_t number, TimePoint now)
    {
        Daemon &daemon = daemons_[number];
        if (daemon.process->running()) {
            if (daemon.wakeUp != TimePoint{} && now >= daemon.wakeUp) {
                daemon.process->sendSignal(SIGCONT);
                daemon.wakeUp = {};
                if (daemon.shutdownAt != TimePoint{})
                    daemon.shutdownAt = now;
                if (!daemon.killed)
                    endAll(evidence_.disturbances, number, now);
            }
            const bool overdue = daemon.shutdownAt != TimePoint{} && daemon.wakeUp == TimePoint{}
                                 && now > daemon.shutdownAt + kShutdownGrace[1] + kAnswerMargin;
            if (overdue && !daemon.killed) {
                report_.broken.push_back(
                        fmt::format("daemon {} did not end within its grace period", number));
                daemon.process->sendSignal(SIGKILL);
                daemon.killed = true;
            }
            return;
        }
        if (daemon.startAgain == TimePoint{}) {
            const int status = daemon.process->wait(Millis(0)).value_or(-1);
            note(fmt::format("ended target={} status={}", number, status));
            const bool asked = (status == 0 && daemon.shutdownAt != TimePoint{})
                               || (status == 128 + SIGKILL && daemon.killed);
            if (!asked)
                report_.broken.push_back(fmt::format("daemon {} ended with {} at {}", number,
                                                     status, timeOfDay(now)));
            endAll(evidence_.disturbances, number, now);
            endAll(evidence_.shutdowns, number, now);
            daemon.endedAt = now;
            daemon.startAgain = now + daemon.restartDelay;
        } else if (now >= daemon.startAgain) {
            start(daemon);
            note(fmt::format("started target={} incarnation={}", number, daemon.incarnation));
        }
    }

    void judge()
    {
        for (const auto &replica : replicas_) {
            for (const EndpointStandin::Arrival &arrival : replica->log)
                evidence_.arrivals[arrival.requestId].push_back(arrival);
        }
        for (std::string &broken : brokenPromises(evidence_))
            report_.broken.push_back(std::move(broken));
        std::map<std::string, unsigned> served;
        for (const SoakCall &call : evidence_.calls) {
            const Unanswered unanswered = classify(evidence_, call);
            ++report_.outcomes[fmt::format("{} {}", call.route->name,
                                           unanswered == Unanswered::No
                                                   ? std::to_string(call.status)
                                                   : toString(unanswered))];
            report_.unanswered += unanswered == Unanswered::Lost;
            served[call.route->name] += call.status == 200;
        }
        report_.requests = static_cast<unsigned>(evidence_.calls.size());
        for (const SoakRoute &route : kSoakRoutes) {
            if (served[route.name] == 0)
                report_.broken.push_back(fmt::format("no request of {} was served", route.name));
        }
        keepsDirectory_ = options_.keepLogs || !report_.broken.empty();
        if (keepsDirectory_)
            report_.directory = directory_;
    }

    SoakOptions options_;
    std::mt19937_64 random_;
    std::vector<Fault> plan_;
    asio::io_context context_;
    AddressPool addresses_;
    Address storeAddress_;
    StoreStandin store_;
    std::vector<std::unique_ptr<EndpointStandin>> replicas_;
    UpstreamPool pool_;
    SoakEvidence evidence_;
    std::vector<std::unique_ptr<SoakClient>> clients_;
    std::vector<Daemon> daemons_;
    std::multimap<TimePoint, std::function<void()>> later_;
    std::string directory_;
    bool keepsDirectory_ = false;
    std::ofstream timeline_;
    unsigned version_ = 0;
    unsigned sequence_ = 0;
    std::vector<std::string> states_; ///< Of the replicas, as they last wrote them.
    int storeFaults_ = 0;
    SoakReport report_;
};

} // namespace

SoakReport runSoak(const SoakOptions &options)
{
    const std::uint64_t memory = static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES))
                                 * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    if (options.daemons == 0 || options.replicas < 3)
        throw std::runtime_error("a soak needs a daemon and three replicas");
    if (options.daemons * kDaemonMemoryBytes > memory / 2)
        throw std::runtime_error("these daemons may take more than half of the memory; run fewer");
    if (options.daemons + options.replicas > kMaxAddresses)
        throw std::runtime_error(
                fmt::format("a soak has at most {} daemons and replicas", kMaxAddresses));
    return Soak(options).run();
}

} // namespace cicadafork::test
