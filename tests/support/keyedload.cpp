#include "support/keyedload.h"

#include "base/ids.h"

#include <algorithm>
#include <system_error>
#include <thread>

namespace cicadafork::test {

namespace {

constexpr std::size_t kDaemons = 6;
constexpr std::size_t kEndpointsOfAKind = 3;
constexpr Millis kShortestFault{700};
constexpr std::size_t kFaultSpreadMs = 1300;
constexpr Millis kPauseAfterFault{300};

struct Fault
{
    std::function<void()> on;
    std::function<void()> off;
};

Millis between(Random &random, std::size_t low, std::size_t high)
{
    return Millis(low + pick(random, high - low));
}

void addFault(std::vector<Fault> &faults, TestCluster &cluster, ClusterMember &member,
              const nlohmann::json &on, const nlohmann::json &off)
{
    faults.push_back({[&cluster, &member, on] { cluster.setFaults(member, on); },
                      [&cluster, &member, off] { cluster.setFaults(member, off); }});
}

void addLinkFault(std::vector<Fault> &faults, TestCluster &cluster, ClusterMember &member,
                  const nlohmann::json &on, const nlohmann::json &off)
{
    faults.push_back({[&cluster, &member, on] { cluster.setLinkFaults(member, on); },
                      [&cluster, &member, off] { cluster.setLinkFaults(member, off); }});
}

std::vector<Fault> endpointAndLogFaults(ProofSystem &system, Random &random)
{
    TestCluster &cluster = system.cluster();
    std::vector<Fault> faults;
    const auto service
            = [&]() -> ClusterMember & { return cluster.service(pick(random, kEndpointsOfAKind)); };
    const auto endpoint = [&]() -> ClusterMember & {
        const std::size_t index = pick(random, kEndpointsOfAKind);
        return pick(random, 3) == 0 ? cluster.engine(index) : cluster.service(index);
    };
    addFault(faults, cluster, service(), {{"refuse", true}}, {{"refuse", false}});
    addFault(faults, cluster, service(), {{"lose_answers", true}}, {{"lose_answers", false}});
    addFault(faults, cluster, service(), {{"latency_ms", 900}}, {{"latency_ms", 5}});
    addFault(faults, cluster, endpoint(), {{"outage", true}}, {{"outage", false}});
    addFault(faults, cluster, endpoint(), {{"silent", true}}, {{"silent", false}});
    for (const char *cut : {"both", "to_target", "to_client"})
        addLinkFault(faults, cluster, endpoint(), {{"cut", cut}}, {{"cut", "none"}});
    // Frozen and delayed bytes arrive after the front has given up.
    addLinkFault(faults, cluster, endpoint(), {{"freeze", true}}, {{"freeze", false}});
    addLinkFault(faults, cluster, service(), {{"freeze", true}}, {{"freeze", false}});
    addLinkFault(faults, cluster, service(), {{"delay_ms", 700}}, {{"delay_ms", 0}});
    addLinkFault(faults, cluster, endpoint(), {{"drop_after_bytes", 900}, {"reset", true}},
                 {{"drop_after_bytes", 0}});
    ClusterMember &log = cluster.log();
    addFault(faults, cluster, log, {{"outage", true}}, {{"outage", false}});
    addFault(faults, cluster, log, {{"silent", true}}, {{"silent", false}});
    addFault(faults, cluster, log, {{"delay_ms", 400}}, {{"delay_ms", 0}});
    addFault(faults, cluster, log, {{"appends_per_second", 20}}, {{"appends_per_second", 0}});
    addFault(faults, cluster, log, {{"lose_append_answers", true}},
             {{"lose_append_answers", false}});
    std::shuffle(faults.begin(), faults.end(), random);
    return faults;
}

/// On a machine without a free thread the duplicate is left out; an exception would end the program
/// and leave its children behind.
std::jthread startOrSkip(std::function<void()> call)
{
    try {
        return std::jthread(std::move(call));
    } catch (const std::system_error &) {
        return {};
    }
}

} // namespace

ClusterOptions keyedCluster()
{
    ClusterOptions options;
    options.engines = kEndpointsOfAKind;
    options.services = kEndpointsOfAKind;
    options.daemons = kDaemons;
    options.timeScale = 20;
    options.domainLinks = true;
    options.engineFlags = {"--threads", "64"};
    for (const char *kind : {"engine", "service"}) {
        for (std::size_t i = 1; i <= kEndpointsOfAKind; ++i)
            options.proxied.push_back(std::string(kind) + "-" + std::to_string(i));
    }
    // A frozen daemon wakes after the end of its claims' validity.
    options.extraSettings = "timing:\n  claim_validity: 1s\nlimits:\n  max_streams: 40\n";
    return options;
}

void KeyedLoad::call(Random &random)
{
    const double kind = std::uniform_real_distribution<double>(0, 1)(random);
    if (kind < options_.keyedShare)
        callKeyed(random);
    else if (kind < options_.keyedShare + options_.engineShare)
        callEngine(random);
    else
        callWithoutKey(random);
    std::this_thread::sleep_for(between(random, 5, 50));
}

CallResult KeyedLoad::attempt(std::size_t daemon, const std::string &key,
                              const std::string &attempt, Millis timeout)
{
    ServiceCall call;
    call.service = kPlainService;
    call.operation = key.empty() ? kRepeatable : kNonRepeatable;
    call.body = R"({"to":"owner","text":")" + key + "\"}";
    call.idempotencyKey = key;
    call.attempt = attempt;
    call.requestId = newUuidV7(wallNow());
    call.timeout = timeout;
    CallRecord record{call.requestId, key, system_.cluster().daemon(daemon).id, wallNow(), {}, {}};
    record.result = system_.client(daemon).callService(call);
    record.answered = wallNow();
    journal_.add(record);
    return record.result;
}

void KeyedLoad::callKeyed(Random &random)
{
    const std::string key = newUuidV7(wallNow());
    const std::size_t attempts = 1 + pick(random, 4);
    const bool doubled = pick(random, 3) == 0;
    // A first attempt is stated only when no duplicate is on the way.
    const bool states = !doubled && pick(random, 2) == 0;
    for (std::size_t i = 0; i < attempts; ++i) {
        const Millis timeout = between(random, 200, 2500);
        const std::string number = states ? std::to_string(i + 1) : "";
        std::jthread duplicate;
        if (doubled) {
            const std::size_t other = pick(random, kDaemons);
            duplicate = startOrSkip(
                    [this, other, key, timeout] { (void)attempt(other, key, "", timeout); });
        }
        (void)attempt(pick(random, kDaemons), key, number, timeout);
        if (duplicate.joinable())
            duplicate.join();
        std::this_thread::sleep_for(between(random, 1, 300));
    }
}

void KeyedLoad::callWithoutKey(Random &random)
{
    (void)attempt(pick(random, kDaemons), "", "", between(random, 200, 2500));
}

void KeyedLoad::callEngine(Random &random)
{
    const std::size_t daemon = pick(random, kDaemons);
    CompletionCall call;
    call.prompt = makePrompt(200 + pick(random, 2000), random());
    call.stream = pick(random, 2) == 0;
    call.timeout = between(random, 200, 2500);
    call.requestId = newUuidV7(wallNow());
    CallRecord record{call.requestId, "", system_.cluster().daemon(daemon).id, wallNow(), {}, {}};
    record.result = system_.client(daemon).complete(call);
    record.answered = wallNow();
    journal_.add(std::move(record));
}

std::uint64_t injectFaults(ProofSystem &system, Outages &outages, Random &random,
                           std::size_t rounds)
{
    FaultPlan plan(system, outages);
    const std::set<std::string> kinds
            = {"kill-daemon",        "freeze-daemon", "cut-link-both", "cut-link-to_target",
               "cut-link-to_client", "freeze-link",   "break-link"};
    std::vector<Fault> faults = endpointAndLogFaults(system, random);
    std::uint64_t injected = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const Fault &fault = faults[round % faults.size()];
        fault.on();
        ++injected;
        if (pick(random, 2) == 0)
            (void)plan.inject(random, kinds);
        std::this_thread::sleep_for(kShortestFault + between(random, 0, kFaultSpreadMs));
        fault.off();
        plan.heal();
        std::this_thread::sleep_for(kPauseAfterFault);
    }
    return injected + plan.injected();
}

} // namespace cicadafork::test
