#include "soak/soak.h"

#include "fault-proxy/proxy.h"
#include "net/upstream.h"
#include "soak/checks.h"
#include "soak/clients.h"
#include "soak/daemons.h"
#include "soak/faults.h"
#include "support/network.h"
#include "support/platformstandin.h"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <numeric>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace cicadafork::test {

namespace {

constexpr Millis kStartLimit{10'000};
// The users' bound `recoverS`.
constexpr Millis kRecoveryLimit{12'000};
constexpr Millis kStep{4};
// Streams last long enough that most faults meet some of them.
constexpr Millis kEventGap{40};
constexpr Millis kLinkDelay{150};
constexpr Millis kLinkSettles{500}; ///< What the link held back has arrived, resets are seen.
constexpr int kFirstBorn = 5;
constexpr unsigned kClientsPerDaemon = 8;
constexpr unsigned kMaxClients = 96;
// Every daemon has an address of its own in the net of the address pool.
constexpr unsigned kMaxAddresses = 240;
constexpr std::uint64_t kDaemonMemoryBytes = 64ULL * 1024 * 1024;
// The drill. Within the first time every daemon that reads the endpoints' records has read again.
constexpr Millis kAllHaveRead{1800};
constexpr Millis kDrillOutage{100};
// An endpoint without a request for this long, beside busy clients, no longer gets any.
constexpr Millis kNoArrivals{500};
// A store that came back counts as stable after 3 s; 2 s later a record must have its effect.
constexpr Millis kDrainLimit{5000};

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
    std::string keys = fmt::format(R"("{}")", keyName(0));
    for (RevokedBy revoked = kRevokeEvery; revoked <= kLastRevoked; revoked += kRevokeEvery) {
        if (version < revoked)
            keys += fmt::format(R"(,"{}")", keyName(revoked));
    }
    return fmt::format(R"({{"version":{0},"routes":[{1}],"services":[{{"name":"plain"}},
        {{"name":"pool","engine":{{"slots":16,"kvCapacity":450000,"stride":4,"step_ms":1,
        "read_per_s":256000,"pairs_per_m":0.09}}}}],
        "tenants":[{{"name":"ws-{0}","apiKeys":[{2}]}}]}})",
                       version, routes, keys);
}

std::string makeDirectory()
{
    std::string name = std::filesystem::temp_directory_path() / "cicadafork-soak-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot create " + name);
    return name;
}

/// A link through a proxy.
struct Link
{
    Link(asio::io_context &context, const Address &listen, const Address &target)
        : address(listen)
        , proxy(context, listen, target, faults)
    {
    }

    const Address address;
    standin::ProxyFaults faults;
    standin::Proxy proxy;
};

class Soak
{
public:
    explicit Soak(const SoakOptions &options)
        : options_(options)
        , random_(options.seed)
        , plan_(planFaults(options))
        , directory_(makeDirectory())
        , storeAddress_(addresses_.next())
        , store_(context_, storeAddress_)
        , pool_(context_, {})
        , daemons_(directory_, evidence_,
                   {.note = [this](const std::string &event) { note(event); },
                    .broken
                    = [this](std::string text) { report_.broken.push_back(std::move(text)); }})
    {
        for (unsigned i = 0; i < options.replicas; ++i)
            replicas_.push_back(std::make_unique<EndpointStandin>(context_, addresses_.next(),
                                                                  fmt::format("i-{}", i + 1)));
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            if (hasLink(i))
                endpointLinks_.emplace(i, makeLink(replicas_[i]->address));
        }
        states_.resize(replicas_.size());
        rebirths_.resize(replicas_.size());
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            replicas_[i]->eventGap = kEventGap;
            writeReplica(i, "ready");
        }
        writeConfiguration();
        // The pool gives each IP address out once before it repeats them with other ports.
        std::vector<std::string> ips;
        for (unsigned i = 0; i < options.daemons; ++i)
            ips.push_back(addresses_.next().ip);
        for (const std::string &ip : ips) {
            storeLinks_.push_back(makeLink(storeAddress_));
            daemons_.add(ip, storeLinks_.back()->address);
        }
        const unsigned clients = std::min(options.daemons * kClientsPerDaemon,
                                          std::max(options.daemons, kMaxClients));
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
        while (!later_.empty())
            step();
        for (const auto &replica : replicas_)
            replica->script.clear();
        if (!becomeReady(kRecoveryLimit))
            report_.broken.push_back("the daemons are not ready again after the last fault");
        else if (!becomeCurrent())
            report_.broken.push_back("not all daemons have the newest configuration at the end");
        else
            drillOlderStore();
        for (const auto &client : clients_)
            client->stop();
        while (std::ranges::any_of(clients_, [](const auto &client) { return client->busy(); }))
            step();
        judge();
        return std::move(report_);
    }

private:
    void step()
    {
        noteHoldUp();
        context_.restart();
        context_.run_for(kStep);
        const TimePoint now = steadyNow();
        while (!later_.empty() && later_.begin()->first <= now) {
            const auto action = std::move(later_.begin()->second);
            later_.erase(later_.begin());
            action();
        }
        daemons_.tend(now);
    }

    /// Callers and stand-ins that were held up themselves show nothing about the daemons.
    void noteHoldUp()
    {
        const TimePoint now = steadyNow();
        const TimePoint last = std::exchange(lastStep_, now);
        if (last == TimePoint{} || now - last < kAnswerMargin)
            return;
        const auto took = std::chrono::duration_cast<Millis>(now - last);
        note(fmt::format("held_up ms={}", took.count()));
        report_.broken.push_back(fmt::format(
                "the soak itself was held up for {} ms until {}, which may explain what follows",
                took.count(), timeOfDay(now)));
    }

    void after(Millis delay, std::function<void()> action)
    {
        later_.emplace(steadyNow() + delay, std::move(action));
    }

    std::unique_ptr<Link> makeLink(const Address &target)
    {
        return std::make_unique<Link>(context_, addresses_.next(), target);
    }

    void disturbLink(Link &link, const Fault &fault)
    {
        const bool silent = fault.link == LinkFault::SilentToTarget
                            || fault.link == LinkFault::SilentToDaemon;
        if (fault.link == LinkFault::Delay)
            link.faults.delay = kLinkDelay;
        link.faults.cutToTarget |= fault.link == LinkFault::SilentToTarget;
        link.faults.cutToClient |= fault.link == LinkFault::SilentToDaemon;
        // A connection that has lost bytes must not go on.
        after(silent || fault.link == LinkFault::Delay ? fault.duration : Millis(0),
              [&link, &fault] {
                  const bool lossy = link.faults.cutToTarget || link.faults.cutToClient;
                  link.faults = {};
                  if (lossy || fault.link == LinkFault::Reset)
                      link.proxy.resetAll();
              });
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
                       "state":"{}","seq":{},"born":{}}})",
                               isEngine(index) ? "pool" : "plain",
                               toString(hasLink(index) ? endpointLinks_[index]->address
                                                       : replicas_[index]->address),
                               index % 2, state, ++sequence_, kFirstBorn + rebirths_[index]));
    }

    /// Another instance takes over the address of an endpoint that leaves.
    void replaceInstance(std::size_t index)
    {
        replicas_[index]->leaving = false;
        ++rebirths_[index];
        evidence_.rebirths.push_back({replicas_[index]->id, steadyNow()});
        writeReplica(index, "ready");
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

    void runFor(Millis duration)
    {
        for (const TimePoint end = steadyNow() + duration; steadyNow() < end;)
            step();
    }

    /// The store comes back from an older copy when every daemon has read it to its end. What it
    /// has lost is written again in as many records, the last of which have something new: a daemon
    /// that goes on at its offset never reads them.
    void drillOlderStore()
    {
        const std::size_t target = random_() % replicas_.size() / 3 * 3; // Others serve the same.
        const Millis pause(random_() % 2 * (random_() % 400));
        runFor(kStep * 2); // Earlier records stay in the copy.
        const TimePoint begun = steadyNow();
        for (std::size_t i = 0; i < replicas_.size(); ++i)
            writeReplica(i, "ready");
        writeReplica(target, "ready");
        // The version that follows the lost one revokes a key.
        version_ = (version_ / kRevokeEvery + 2) * kRevokeEvery - 2;
        writeConfiguration();
        runFor(kAllHaveRead);
        holdStoreAway(kDrillOutage);
        while (!later_.empty())
            step();
        const std::size_t lost
                = restoreStore(std::chrono::ceil<Millis>(steadyNow() - begun) + kStep);
        runFor(pause);
        writeAgain(lost);
        writeReplica(target, "draining");
        if (!becomeCurrent())
            report_.broken.push_back("drill: not all daemons have the newest configuration");
        if (!becomeUnused(target))
            report_.broken.push_back(
                    fmt::format("drill: {} drains and still gets requests", replicas_[target]->id));
    }

    /// Waits until the endpoint gets no more requests.
    bool becomeUnused(std::size_t replica)
    {
        const TimePoint end = steadyNow() + kDrainLimit;
        for (unsigned before = 0; before != replicas_[replica]->arrivals;) {
            if (steadyNow() > end)
                return false;
            before = replicas_[replica]->arrivals;
            runFor(kNoArrivals);
        }
        return true;
    }

    /// Returns the number of lost versions of the configuration.
    std::size_t restoreStore(Millis age)
    {
        const std::size_t end = store_.end("keyed.op");
        store_.restoreCopy(age);
        evidence_.storeFaults.push_back({0, steadyNow(), steadyNow()});
        note(fmt::format("store_restored age_ms={} era={}", age.count(), store_.era()));
        return end - store_.end("keyed.op");
    }

    /// One in four requests has a key that was revoked lately, or will be next.
    RevokedBy pickKey()
    {
        const unsigned back = random_() % 4;
        const unsigned next = version_ / kRevokeEvery + 1;
        if (random_() % 4 != 0 || back >= next || next * kRevokeEvery > kLastRevoked)
            return 0;
        return (next - back) * kRevokeEvery;
    }

    void addClient()
    {
        SoakClientHooks hooks;
        hooks.pickTarget = [this] {
            const std::size_t daemon = random_() % daemons_.size();
            return SoakTarget{daemon, daemons_.callers(daemon)};
        };
        hooks.connected = [this](std::size_t daemon) { return daemons_.noteConnected(daemon); };
        hooks.newCall = [this]() -> SoakCall & {
            SoakCall &call = evidence_.calls.emplace_back();
            call.id = fmt::format("r{}", evidence_.calls.size());
            return call;
        };
        hooks.pickKey = [this] { return pickKey(); };
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
                        daemons_.readiness(i),
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
        return true;
    }

    /// Asks until the newest version admits a request at every daemon.
    bool becomeCurrent()
    {
        const TimePoint end = steadyNow() + kRecoveryLimit;
        std::vector<std::size_t> behind(daemons_.size());
        std::iota(behind.begin(), behind.end(), 0);
        for (unsigned attempt = 0; !behind.empty(); ++attempt) {
            if (steadyNow() > end) {
                note(fmt::format("behind target={} of={}", behind.front(), behind.size()));
                return false;
            }
            const auto name = [&](std::size_t daemon) {
                return fmt::format("current-{}-{}", daemon, attempt);
            };
            std::vector<std::unique_ptr<UpstreamCall>> calls;
            for (const std::size_t daemon : behind) {
                HeaderList headers;
                headers.add("Host", "h");
                headers.add("Request-Id", name(daemon));
                headers.add("Authorization", "Token " + keyName(0));
                headers.add("Deadline-Ms", "1000");
                calls.push_back(
                        pool_.call(daemons_.callers(daemon),
                                   {.head = serializeRequestHead("GET", "/safe/x", headers)}, {}));
            }
            runFor(Millis(50));
            std::set<std::string> admitted;
            for (const auto &replica : replicas_) {
                for (const EndpointStandin::Arrival &arrival : replica->log) {
                    if (versionOf(arrival) == version_)
                        admitted.insert(arrival.requestId);
                }
            }
            std::erase_if(behind,
                          [&](std::size_t daemon) { return admitted.contains(name(daemon)); });
        }
        return true;
    }

    void note(const std::string &event)
    {
        timeline_ << timeOfDay(steadyNow()) << ' ' << event << '\n';
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
            daemons_.disturb(fault);
            break;
        case FaultKind::StoreLink:
            evidence_.storeLinks.push_back(
                    {fault.target, steadyNow(), steadyNow() + fault.duration + kLinkSettles});
            disturbLink(*storeLinks_[fault.target], fault);
            break;
        case FaultKind::EndpointLink:
            evidence_.endpointLinks.push_back({replicas_[fault.target]->id, steadyNow(),
                                               steadyNow() + fault.duration + kLinkSettles});
            disturbLink(*endpointLinks_[fault.target], fault);
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
                const std::size_t lost = restoreStore(age);
                if (delay == Millis(0))
                    writeAgain(lost);
                else
                    after(delay, [this, lost] { writeAgain(lost); });
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
        case FaultKind::EndpointLeaving:
            if (!std::exchange(replicas_[fault.target]->leaving, true))
                after(fault.duration, [this, target = fault.target] { replaceInstance(target); });
            break;
        case FaultKind::EndpointQuiet:
            replicas_[fault.target]->quietFor = fault.quietFor;
            after(fault.duration,
                  [this, target = fault.target] { replicas_[target]->quietFor.reset(); });
            break;
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
        if (keepsDirectory_) {
            report_.directory = directory_;
            std::ofstream(directory_ + "/faults.log") << timeline_.str();
        }
    }

    SoakOptions options_;
    std::mt19937_64 random_;
    std::vector<Fault> plan_;
    asio::io_context context_;
    std::string directory_;
    std::ostringstream timeline_; ///< Written at the end, as a busy disk may hold up a write.
    SoakReport report_;
    AddressPool addresses_;
    Address storeAddress_;
    StoreStandin store_;
    std::vector<std::unique_ptr<EndpointStandin>> replicas_;
    std::vector<std::unique_ptr<Link>> storeLinks_; ///< Of the daemons.
    std::map<std::size_t, std::unique_ptr<Link>> endpointLinks_;
    UpstreamPool pool_;
    SoakEvidence evidence_;
    DaemonFleet daemons_;
    std::vector<std::unique_ptr<SoakClient>> clients_;
    std::multimap<TimePoint, std::function<void()>> later_;
    bool keepsDirectory_ = false;
    unsigned version_ = 0;
    unsigned sequence_ = 0;
    std::vector<std::string> states_; ///< Of the replicas, as they last wrote them.
    std::vector<int> rebirths_;       ///< New instances at the addresses of the replicas.
    int storeFaults_ = 0;
    TimePoint lastStep_{};
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
