#include "bed3.h"

#include "support/settingstemplate.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <stdexcept>

namespace cicadafork::review {

namespace {

// As on the platform's machines, the ports are the same on all addresses.
constexpr std::uint16_t kFrontPort = 8227;
constexpr std::uint16_t kReadyPort = 8220;
constexpr std::uint16_t kControlPort = 8229;
constexpr std::uint16_t kPeerPort = 7340;
constexpr Millis kHeartbeat{1200};
constexpr Millis kProbeInterval{1000};
constexpr Millis kStartLimit{8000};
constexpr Millis kStep{2};
constexpr int kCouldNotRun = 2;
constexpr const char *kServers = "keyed.servers";

std::string makeDirectory()
{
    std::string name = std::filesystem::temp_directory_path() / "review-3-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot create " + name);
    return name;
}

std::string textOf(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file || text.str().empty())
        throw std::runtime_error("cannot read " + path);
    return text.str();
}

bool troubleWanted()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

std::int64_t unixMillis()
{
    return sinceEpoch(wallNow()).count();
}

} // namespace

const char *const kSmallConfig
        = R"({"version":3,"routes":[{"name":"note","host":"h.example","pathPrefix":"/note/",
        "kind":"streaming","service":"pool","timeoutMs":10000,"targetLatencyMs":1500,
        "maxAttempts":2,"gapGoalMs":500,"sticky":true},{"name":"ping","host":"h.example",
        "pathPrefix":"/ping/","kind":"unsafe","service":"app","timeoutMs":1500,
        "targetLatencyMs":300,"maxAttempts":1},{"name":"ack","host":"h.example",
        "pathPrefix":"/ack/","kind":"safe","service":"app","timeoutMs":1500,
        "targetLatencyMs":300,"maxAttempts":2}],"services":[{"name":"pool","engine":{"slots":16,
        "kvCapacity":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,
        "context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048,
        "usual":{"prompt":4960,"answer":1600}}},{"name":"app"}],"limits":{"maxHeaderBytes":16384,
        "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
        "tenants":[{"name":"estate","apiKeys":["k1"]}]})";

Bed::Bed(int argc, char **argv, BedOptions options)
    : options_(std::move(options))
    , program_(argc > 1 ? argv[1] : "target/cicadafork")
    , directory_(makeDirectory())
    , record_(argc > 2 ? argv[2] : "record.txt")
    , storeAddress_(addresses_.next())
    , store_(context_, storeAddress_)
    , pool_(context_, {})
{
    options_.trouble = troubleWanted();
    ::signal(SIGPIPE, SIG_IGN);
    for (unsigned i = 0; i < options_.daemons; ++i) {
        Daemon daemon;
        daemon.ip = addresses_.next().ip;
        daemon.settings = fmt::format("{}/settings-{}.yaml", directory_, i + 1);
        daemon.log = fmt::format("{}/daemon-{}.log", directory_, i + 1);
        daemons_.push_back(std::move(daemon));
    }
    store_.put("keyed.op", "config", options_.config);
}

Bed::~Bed()
{
    for (Call &call : calls_)
        call.call.reset();
    for (Daemon &daemon : daemons_) {
        daemon.probe.reset();
        daemon.process.reset();
    }
    context_.restart();
    context_.poll();
    for (Replica &replica : replicas_)
        replica.server.reset();
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(directory_);
}

void Bed::addReplica(const std::string &id, const std::string &service)
{
    Replica replica;
    replica.id = id;
    replica.service = service;
    replica.address = addresses_.next();
    replicas_.push_back(std::move(replica));
}

Replica &Bed::replica(const std::string &id)
{
    return *std::ranges::find(replicas_, id, &Replica::id);
}

void Bed::crash(Replica &replica)
{
    collectArrivals();
    record(fmt::format("{} is down", replica.id));
    replica.server.reset();
}

void Bed::restart(Replica &replica)
{
    collectArrivals();
    replica.server.reset();
    replica.server = std::make_unique<EndpointStandin>(context_, replica.address, replica.id);
    replica.logRead = 0;
    replica.born = std::max(unixMillis(), replica.born + 1);
    replica.seq = 0;
    replica.state = "ready";
    if (prepare)
        prepare(replica);
    record(fmt::format("{} starts, born {}", replica.id, replica.born));
    beat(replica);
}

void Bed::beat(Replica &replica)
{
    replica.nextBeat = steadyNow() + kHeartbeat;
    if (!replica.reachesStore || store_.refuses)
        return;
    store_.put(kServers, replica.id,
               fmt::format(R"({{"service":"{}","address":"{}","zone":"hall-1","version":"1",
                   "slots":16,"state":"{}","coldLeftMs":0,"seq":{},"born":{}}})",
                           replica.service, toString(replica.address), replica.state, ++replica.seq,
                           replica.born));
}

void Bed::writeSettings(const Daemon &daemon, std::size_t number)
{
    const auto listen = [&](std::uint16_t port) { return fmt::format("{}:{}", daemon.ip, port); };
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, daemons_.size()); ++i)
        seeds += fmt::format("{}{}:{}", seeds.empty() ? "" : ",", daemons_[i].ip, kControlPort);
    const auto zoneName = [](std::size_t zone) { return fmt::format("hall-{}", zone + 1); };
    nlohmann::json zones;
    for (std::size_t i = 0; i < options_.zones; ++i)
        zones[zoneName(i)] = "south";
    const nlohmann::json values = {{"nodeName", fmt::format("front-{}", number + 1)},
                                   {"zone", zoneName(number % options_.zones)},
                                   {"region", "south"},
                                   {"zones", zones},
                                   {"listen",
                                    {{"front", listen(kFrontPort)},
                                     {"ready", listen(kReadyPort)},
                                     {"control", listen(kControlPort)}}},
                                   {"ip", daemon.ip},
                                   {"portRange", {{"0", std::to_string(kPeerPort)}}},
                                   {"platform", {{"address", toString(storeAddress_)}}},
                                   {"seedAddrs", seeds},
                                   {"bounds",
                                    {{"retryBudgetRatio", 0.2},
                                     {"budgetSlack", options_.slack},
                                     {"budgetWindowS", 10},
                                     {"graceS", 8}}},
                                   {"limits", {{"maxFds", 4200}}}};
    std::ofstream(daemon.settings) << test::renderTemplate(textOf("deploy/gateway.yaml"), values);
}

void Bed::startDaemon(std::size_t number)
{
    Daemon &daemon = daemons_[number];
    // The deploy file starts "cicadafork gateway", and the platform names the settings file.
    setenv("CICADAFORK_SETTINGS", daemon.settings.c_str(), 1);
    daemon.process = std::make_unique<test::ChildProcess>(
            program_, std::vector<std::string>{"gateway"}, daemon.log);
    daemon.disturbedAt = steadyNow();
    record(fmt::format("daemon {} starts", number + 1));
}

void Bed::signal(std::size_t number, int signalNumber)
{
    Daemon &daemon = daemons_[number];
    daemon.process->sendSignal(signalNumber);
    daemon.disturbedAt = steadyNow();
    record(fmt::format("daemon {} gets signal {}", number + 1, signalNumber));
}

Millis Bed::undisturbedFor(std::size_t daemon, TimePoint at) const
{
    return std::chrono::duration_cast<Millis>(at - daemons_[daemon].disturbedAt);
}

void Bed::start()
{
    for (Replica &replica : replicas_)
        restart(replica);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        writeSettings(daemons_[i], i);
        startDaemon(i);
    }
    const TimePoint limit = steadyNow() + kStartLimit;
    for (std::size_t i = 0; i < daemons_.size();) {
        if (steadyNow() > limit) {
            report("the daemons do not become ready");
            std::_Exit(kCouldNotRun);
        }
        if (daemons_[i].inRotation && knowsAll(i))
            ++i;
        else
            step();
    }
    startedAt_ = steadyNow();
    record("all daemons are ready");
}

bool Bed::knowsAll(std::size_t daemon)
{
    std::string body;
    bool ended = false;
    HeaderList headers;
    headers.add("Host", "h");
    const auto call = pool_.call({daemons_[daemon].ip, kControlPort},
                                 {.head = serializeRequestHead("GET", "/debug/dump", headers)},
                                 {.head = [](HttpResponseHead &&) { return HeadAction::Accept; },
                                  .body = [&](std::string_view bytes) { body += bytes; },
                                  .end = [&](UpstreamOutcome) { ended = true; }});
    for (const TimePoint limit = steadyNow() + Millis(500); !ended && steadyNow() < limit;)
        step();
    const auto state = nlohmann::json::parse(body, nullptr, false);
    if (!state.is_object() || !state.contains("endpoints"))
        return false;
    std::size_t peers = 0;
    for (const auto &peer : state.value("peers", nlohmann::json::array()))
        peers += peer["alive"].get<bool>() ? 1 : 0;
    return peers + 1 == daemons_.size() && state["endpoints"].size() == replicas_.size();
}

void Bed::probeReadiness()
{
    nextProbe_ = steadyNow() + kProbeInterval;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        Daemon &daemon = daemons_[i];
        // Counts as a miss until the answer comes.
        if (++daemon.misses >= 2 && daemon.inRotation) {
            daemon.inRotation = false;
            record(fmt::format("daemon {} is out of rotation", i + 1));
        }
        HeaderList headers;
        headers.add("Host", "h");
        daemon.probe = pool_.call(
                {daemon.ip, kReadyPort},
                {.head = serializeRequestHead("GET", "/cicadafork/ready", headers)},
                {.head =
                         [this, &daemon, i](HttpResponseHead &&head) {
                             if (head.status != 200)
                                 return HeadAction::Accept;
                             daemon.misses = 0;
                             if (!daemon.inRotation)
                                 record(fmt::format("daemon {} is in rotation", i + 1));
                             daemon.inRotation = true;
                             return HeadAction::Accept;
                         },
                 .body = [](std::string_view) {},
                 .end = [](UpstreamOutcome) {}});
    }
}

Call &Bed::send(const SendOptions &options)
{
    std::size_t daemon = options.daemon.value_or(0);
    if (!options.daemon) {
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            daemon = rotation_++ % daemons_.size();
            if (daemons_[daemon].inRotation)
                break;
        }
    }
    Call &call = calls_.emplace_back();
    call.id = fmt::format("r{}", calls_.size());
    call.daemon = daemon;
    call.sentAt = steadyNow();
    callById_[call.id] = &call;
    HeaderList headers;
    headers.add("Host", "h.example");
    headers.add("Request-Id", call.id);
    headers.add("Authorization", "Token " + options.key);
    headers.add("Deadline-Ms", std::to_string(options.deadline.count()));
    headers.add("Content-Length", std::to_string(options.body.size()));
    if (!options.prompt.empty()) {
        headers.add("Model", "m");
        headers.add("Token-Count", fmt::format("{},240", options.promptTokens));
        headers.add("Prompt-Prefix", options.prompt);
    }
    record(fmt::format("sent {} {} to daemon {}", call.id, options.target, daemon + 1));
    call.call = pool_.call(
            {daemons_[daemon].ip, kFrontPort},
            {.head = serializeRequestHead("POST", options.target, headers), .body = options.body},
            {.head =
                     [&call](HttpResponseHead &&head) {
                         call.status = head.status;
                         const std::string *leaving = head.headers.find("Server-Leaving");
                         call.saysLeaving = leaving && *leaving == "1";
                         if (const std::string *limit = head.headers.find("Server-Limit"))
                             call.limit = std::strtod(limit->c_str(), nullptr);
                         return HeadAction::Accept;
                     },
             .body = [&call](std::string_view bytes) { call.body += bytes; },
             .end =
                     [this, &call](UpstreamOutcome end) {
                         call.complete = end == UpstreamOutcome::Complete;
                         call.endedAt = steadyNow();
                         record(fmt::format("answered {} {}{}", call.id, call.status,
                                            call.complete ? "" : ", not complete"));
                     }});
    // The client leaves at its deadline.
    later_.emplace(call.sentAt + options.deadline, [this, &call] {
        if (call.endedAt != TimePoint{})
            return;
        call.endedAt = steadyNow();
        call.call.reset();
        record(fmt::format("left {} at its deadline", call.id));
    });
    return call;
}

const Call *Bed::findCall(const std::string &id) const
{
    const auto found = callById_.find(id);
    return found == callById_.end() ? nullptr : found->second;
}

void Bed::collectArrivals()
{
    for (Replica &replica : replicas_) {
        if (!replica.server)
            continue;
        for (; replica.logRead < replica.server->log.size(); ++replica.logRead) {
            const EndpointStandin::Arrival &seen = replica.server->log[replica.logRead];
            if (!findCall(seen.requestId))
                continue; // An order.
            arrivals_.push_back({replica.id, seen.requestId, replica.born, seen.at, seen.ran});
            record(fmt::format("{} at {}{}", seen.requestId, replica.id,
                               seen.ran ? "" : ", not run"));
        }
    }
}

void Bed::step()
{
    context_.restart();
    context_.run_for(kStep);
    const TimePoint now = steadyNow();
    while (!later_.empty() && later_.begin()->first <= now) {
        const auto action = std::move(later_.begin()->second);
        later_.erase(later_.begin());
        action();
    }
    for (Replica &replica : replicas_) {
        if (replica.server && !replica.server->crashed && now >= replica.nextBeat)
            beat(replica);
    }
    if (now >= nextProbe_)
        probeReadiness();
    collectArrivals();
}

Millis Bed::elapsed() const
{
    return since(steadyNow());
}

Millis Bed::since(TimePoint time) const
{
    return startedAt_ == TimePoint{} ? Millis(0)
                                     : std::chrono::duration_cast<Millis>(time - startedAt_);
}

void Bed::at(Millis time, std::function<void()> action)
{
    later_.emplace(startedAt_ + time, std::move(action));
}

void Bed::every(Millis first, Millis interval, Millis end, const std::function<void()> &action)
{
    for (Millis time = first; time < end; time += interval)
        at(time, action);
}

void Bed::runUntil(Millis time)
{
    while (elapsed() < time)
        step();
}

void Bed::record(const std::string &line)
{
    record_ << fmt::format("{:8.3f} {}\n", static_cast<double>(elapsed().count()) / 1000, line);
}

void Bed::report(const std::string &line)
{
    record(line);
    record_.flush();
    fmt::print("{}\n", line);
}

} // namespace cicadafork::review
