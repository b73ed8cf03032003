#include "http/client.h"
#include "support/environment.h"
#include "support/eventually.h"
#include "support/testcluster.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

constexpr Millis kTimeout{3000};
constexpr Millis kShort{300};

Expected<HttpReply> get(const Address &address, const std::string &path, Millis timeout = kTimeout)
{
    return capture([&] { return httpGet(address, path, timeout); });
}

Expected<HttpReply> post(const Address &address, const std::string &path, const std::string &body,
                         Millis timeout = kTimeout, const httplib::Headers &headers = {})
{
    return capture([&] { return httpPost(address, path, body, timeout, headers); });
}

int statusOf(const Expected<HttpReply> &reply)
{
    return reply ? reply->status : 0;
}

nlohmann::json bodyOf(const Expected<HttpReply> &reply)
{
    return reply ? nlohmann::json::parse(reply->body, nullptr, false) : nlohmann::json();
}

nlohmann::json getBody(const Address &address, const std::string &path)
{
    return bodyOf(get(address, path));
}

Millis elapsed(TimePoint start)
{
    return std::chrono::duration_cast<Millis>(steadyNow() - start);
}

} // namespace

TEST_GROUP(PlatformStandins)
{
    std::unique_ptr<TestCluster> cluster;

    void setup() override
    {
        cluster = std::make_unique<TestCluster>(ClusterOptions{.engines = 0, .services = 1});
        cluster->start();
    }
    void teardown() override
    {
        cluster.reset();
    }

    Expected<HttpReply> append(const std::string &record, Millis timeout = kTimeout)
    {
        return post(cluster->log().address, "/streams/s", record, timeout);
    }
    nlohmann::json read(const std::string &query)
    {
        return getBody(cluster->log().address, "/streams/s?" + query);
    }
    Expected<HttpReply> call(const httplib::Headers &headers = {})
    {
        return post(cluster->service(0).address, "/v1/call/open", "{}", kTimeout, headers);
    }
    std::size_t executions()
    {
        return getBody(cluster->service(0).address, "/admin/executions")["executions"].size();
    }
};

TEST(PlatformStandins, logServesRecordsInOffsetOrder)
{
    LONGS_EQUAL(0, bodyOf(append(R"({"a":1})"))["offset"].get<int>());
    LONGS_EQUAL(1, bodyOf(append("[2]"))["offset"].get<int>());
    const auto page = read("from=1&limit=5&wait_ms=0");
    LONGS_EQUAL(2, page["next"].get<int>());
    LONGS_EQUAL(2, page["records"][0]["data"][0].get<int>());
    const auto stats = getBody(cluster->log().address, "/admin/stats");
    LONGS_EQUAL(2, stats["appends"].get<int>());
    LONGS_EQUAL(1, stats["reads"].get<int>());
}

TEST(PlatformStandins, logReadWaitsForARecord)
{
    const TimePoint start = steadyNow();
    std::jthread writer([&] {
        std::this_thread::sleep_for(Millis(200));
        append("1");
    });
    const auto page = read("from=0&limit=5&wait_ms=2000");
    writer.join();
    LONGS_EQUAL(1, page["records"].size());
    CHECK_TRUE(elapsed(start) >= Millis(190) && elapsed(start) < Millis(1500));
}

TEST(PlatformStandins, logLosesTheAnswerButKeepsTheRecord)
{
    cluster->setFaults(cluster->log(), {{"lose_append_answers", true}});
    CHECK_FALSE(static_cast<bool>(append("7")));
    LONGS_EQUAL(1, read("from=0&limit=5")["records"].size());
}

TEST(PlatformStandins, logExpiresOldRecords)
{
    cluster->setFaults(cluster->log(), {{"retention_records", 2}});
    for (const char *record : {"0", "1", "2", "3"})
        append(record);
    const auto gone = get(cluster->log().address, "/streams/s?from=1");
    LONGS_EQUAL(410, statusOf(gone));
    LONGS_EQUAL(2, bodyOf(gone)["first"].get<int>());
    cluster->setFaults(cluster->log(), {{"retention_ms", 50}});
    std::this_thread::sleep_for(Millis(100));
    LONGS_EQUAL(410, statusOf(get(cluster->log().address, "/streams/s?from=2")));
}

TEST(PlatformStandins, logLimitsTheRateOfAppends)
{
    cluster->setFaults(cluster->log(), {{"appends_per_second", 20}});
    const TimePoint start = steadyNow();
    for (int i = 0; i < 5; ++i)
        append("1");
    CHECK_TRUE(elapsed(start) >= Millis(190));
}

TEST(PlatformStandins, commonFaultsOfEveryStandin)
{
    struct Case
    {
        const char *name;
        const ClusterMember *member;
        const char *path;
    };
    const std::vector<Case> cases = {
            {"log", &cluster->log(), "/streams/s?from=0"},
            {"vmlist", &cluster->vmList(), "/vms"},
            {"weights", &cluster->weights(), "/weights/m/1"},
            {"service", &cluster->service(0), "/v1/status"},
    };
    for (const Case &c : cases) {
        const Address address = c.member->address;
        LONGS_EQUAL_TEXT(200, statusOf(get(address, c.path)), c.name);
        cluster->setFaults(*c.member, {{"outage", true}});
        LONGS_EQUAL_TEXT(503, statusOf(get(address, c.path)), c.name);
        cluster->setFaults(*c.member, {{"outage", false}, {"silent", true}});
        CHECK_TEXT(!get(address, c.path, kShort), c.name);
        cluster->setFaults(*c.member, {{"silent", false}, {"delay_ms", 200}});
        const TimePoint start = steadyNow();
        LONGS_EQUAL_TEXT(200, statusOf(get(address, c.path)), c.name);
        CHECK_TEXT(elapsed(start) >= Millis(200), c.name);
    }
}

TEST(PlatformStandins, vmListShowsAChangeAfterItsLag)
{
    const auto before = getBody(cluster->vmList().address, "/vms");
    LONGS_EQUAL(1, before["vms"].size());
    STRCMP_EQUAL("service-1", before["vms"][0]["id"].get<std::string>().c_str());
    cluster->setFaults(cluster->vmList(), {{"lag_ms", 300}});
    cluster->setState(cluster->service(0), "leaving");
    cluster->publishVmList();
    auto state = [&] {
        const auto list = getBody(cluster->vmList().address, "/vms");
        return list["vms"][0]["state"].get<std::string>();
    };
    STRCMP_EQUAL("live", state().c_str());
    CHECK_TRUE(eventually(kTimeout, [&] { return state() == "leaving"; }));
}

TEST(PlatformStandins, weightStoreLimitsItsRate)
{
    cluster->setFaults(cluster->weights(), {{"bytes_per_second", 1e6}, {"model_bytes", 300'000}});
    const TimePoint start = steadyNow();
    const auto weights = get(cluster->weights().address, "/weights/m/1");
    CHECK_TRUE(static_cast<bool>(weights));
    LONGS_EQUAL(300'000, weights->body.size());
    CHECK_TRUE(elapsed(start) >= Millis(290));
}

TEST(PlatformStandins, serviceRecordsEveryExecution)
{
    LONGS_EQUAL(200, statusOf(call({{"Idempotency-Key", "k1"}, {"X-Fencing-Number", "9"}})));
    const auto list = getBody(cluster->service(0).address, "/admin/executions")["executions"];
    LONGS_EQUAL(1, list.size());
    STRCMP_EQUAL("k1", list[0]["key"].get<std::string>().c_str());
    LONGS_EQUAL(9, list[0]["fencing"].get<int>());
    LONGS_EQUAL(64, list[0]["body_hash"].get<std::string>().size());
}

// Guards against a refusal that has an effect and a lost answer that has none.
TEST(PlatformStandins, serviceFaultsSayWhetherTheCallRan)
{
    cluster->setFaults(cluster->service(0), {{"refuse", true}});
    LONGS_EQUAL(503, statusOf(call()));
    LONGS_EQUAL(0, executions());
    cluster->setFaults(cluster->service(0), {{"refuse", false}, {"lose_answers", true}});
    CHECK_FALSE(static_cast<bool>(call()));
    LONGS_EQUAL(1, executions());
    cluster->setFaults(cluster->service(0), {{"lose_answers", false}});
    LONGS_EQUAL(200, statusOf(call({{"X-Fencing-Number", "9"}})));
    LONGS_EQUAL(200, statusOf(call({{"X-Fencing-Number", "8"}})));
    cluster->setFaults(cluster->service(0), {{"check_fencing", true}});
    LONGS_EQUAL(409, statusOf(call({{"X-Fencing-Number", "8"}})));
    LONGS_EQUAL(3, executions());
    cluster->setFaults(cluster->service(0), {{"leaving", true}});
    const auto status = getBody(cluster->service(0).address, "/v1/status");
    STRCMP_EQUAL("leaving", status["state"].get<std::string>().c_str());
}

TEST(PlatformStandins, everyProgramRefusesUnknownFlags)
{
    for (const char *name : {"standin-log", "standin-vmlist", "standin-weights", "standin-engine",
                             "standin-service", "fault-proxy"}) {
        ChildProcess process(binaryDirectory() + "/" + name, {"--no-such-flag"},
                             cluster->directory() + "/flags.err");
        LONGS_EQUAL_TEXT(2, process.wait(kTimeout).value_or(-1), name);
    }
}

TEST(PlatformStandins, killedProgramStartsAgainOnItsAddress)
{
    cluster->log().process->sendSignal(SIGKILL);
    LONGS_EQUAL(128 + SIGKILL, cluster->log().process->wait(kTimeout).value_or(-1));
    CHECK_FALSE(accepts(cluster->log().address));
    cluster->restart(cluster->log());
    CHECK_TRUE(accepts(cluster->log().address));
    cluster->log().process->sendSignal(SIGTERM);
    LONGS_EQUAL(0, cluster->log().process->wait(kTimeout).value_or(-1));
}

TEST(PlatformStandins, stoppedProgramAnswersAfterItContinues)
{
    cluster->log().process->sendSignal(SIGSTOP);
    CHECK_FALSE(static_cast<bool>(get(cluster->log().address, "/admin/stats", kShort)));
    cluster->log().process->sendSignal(SIGCONT);
    CHECK_TRUE(static_cast<bool>(get(cluster->log().address, "/admin/stats")));
}

TEST_GROUP(FaultProxy)
{
    std::unique_ptr<TestCluster> cluster;

    void setup() override
    {
        cluster = std::make_unique<TestCluster>(
                ClusterOptions{.engines = 0, .services = 0, .proxied = {"log", "weights"}});
        cluster->start();
    }
    void teardown() override
    {
        cluster.reset();
    }

    void fault(const nlohmann::json &faults)
    {
        cluster->setLinkFaults(cluster->log(), faults);
    }
    Expected<HttpReply> append(Millis timeout = kTimeout)
    {
        return post(cluster->log().viaProxy, "/streams/s", "1", timeout);
    }
    std::size_t records()
    {
        return getBody(cluster->log().address, "/streams/s?from=0")["records"].size();
    }
};

// Guards against a fault that loses the wrong direction: a cut towards the client must let the
// effect happen, a cut towards the target must not.
TEST(FaultProxy, everyFaultDoesWhatItSays)
{
    struct Case
    {
        const char *name;
        nlohmann::json faults;
        bool answered;
        std::size_t effects;
    };
    const std::vector<Case> cases = {
            {"no fault", {{"delay_ms", 0}}, true, 1},
            {"cut to target", {{"cut", "to_target"}}, false, 0},
            {"cut to client", {{"cut", "to_client"}}, false, 1},
            {"cut both", {{"cut", "both"}}, false, 0},
            {"freeze", {{"freeze", true}}, false, 0},
            {"drop after bytes", {{"drop_after_bytes", 20}}, false, 0},
    };
    for (const Case &c : cases) {
        const std::size_t before = records();
        fault(c.faults);
        const bool answered = static_cast<bool>(append(kShort));
        CHECK_EQUAL_TEXT(c.answered, answered, c.name);
        LONGS_EQUAL_TEXT(c.effects, records() - before, c.name);
        fault({{"reset", true},
               {"cut", "none"},
               {"freeze", false},
               {"delay_ms", 0},
               {"drop_after_bytes", 0}});
    }
    LONGS_EQUAL(200, statusOf(append()));
}

TEST(FaultProxy, delayIsAddedInEachDirection)
{
    fault({{"delay_ms", 150}});
    const TimePoint start = steadyNow();
    LONGS_EQUAL(200, statusOf(append()));
    CHECK_TRUE(elapsed(start) >= Millis(300));
}

// Guards against a delay that limits the throughput: sent one after another, the 128 pieces of this
// download would take 6.4 s.
TEST(FaultProxy, delayDoesNotLimitTheThroughput)
{
    cluster->setFaults(cluster->weights(), {{"model_bytes", 4 * 1024 * 1024}});
    cluster->setLinkFaults(cluster->weights(), {{"delay_ms", 50}});
    const TimePoint start = steadyNow();
    const auto weights = get(cluster->weights().viaProxy, "/weights/m/1");
    CHECK_TRUE(static_cast<bool>(weights));
    LONGS_EQUAL(4 * 1024 * 1024, weights->body.size());
    CHECK_TRUE(elapsed(start) < Millis(1500));
}

// Guards against faults that only new connections obey.
TEST(FaultProxy, openConnectionObeysFaults)
{
    auto client = makeHttpClient(cluster->log().viaProxy, {kTimeout, kShort, kShort});
    client->set_keep_alive(true);
    CHECK_TRUE(static_cast<bool>(client->Get("/admin/stats")));
    fault({{"freeze", true}});
    CHECK_FALSE(static_cast<bool>(client->Get("/admin/stats")));
    fault({{"freeze", false}});
    CHECK_TRUE(static_cast<bool>(client->Get("/admin/stats")));
    std::jthread resetter([&] {
        std::this_thread::sleep_for(Millis(100));
        fault({{"reset", true}});
    });
    const TimePoint start = steadyNow();
    const auto waiting = get(cluster->log().viaProxy, "/streams/s?from=0&wait_ms=2000");
    resetter.join();
    CHECK_FALSE(static_cast<bool>(waiting));
    CHECK_TRUE(elapsed(start) < Millis(1500));
}

TEST(FaultProxy, halfOpenLinkHidesTheDeathOfTheTarget)
{
    fault({{"half_open", true}});
    const TimePoint start = steadyNow();
    std::jthread killer([&] {
        std::this_thread::sleep_for(Millis(100));
        cluster->log().process->sendSignal(SIGKILL);
    });
    const auto reply = get(cluster->log().viaProxy, "/streams/s?from=0&wait_ms=2500", Millis(800));
    killer.join();
    CHECK_FALSE(static_cast<bool>(reply));
    CHECK_TRUE(elapsed(start) >= Millis(790));
}

TEST(FaultProxy, unknownCutIsRefused)
{
    LONGS_EQUAL(400, statusOf(post(cluster->log().proxyAdmin, "/admin/faults",
                                   R"({"cut":"sideways"})")));
}

TEST_GROUP(DomainLinks){};

// Guards against a partition that also cuts paths inside a domain, between the other domains or to
// the platform.
TEST(DomainLinks, partitionCutsOnlyThePathsOfItsDomain)
{
    ClusterOptions options;
    options.engines = 3;
    options.domainLinks = true;
    TestCluster cluster(options);
    cluster.start();
    auto reaches = [&](const char *domain, const ClusterMember &member, const char *path) {
        return static_cast<bool>(get(cluster.addressSeenFrom(domain, member), path, kShort));
    };
    auto engineReached = [&](const char *domain, std::size_t index) {
        return reaches(domain, cluster.engine(index), "/v1/status");
    };
    CHECK_TRUE(engineReached("domain-1", 1));
    cluster.cutFromOtherDomains("domain-1", true);
    CHECK_FALSE(engineReached("domain-1", 1));
    CHECK_FALSE(engineReached("domain-2", 0));
    CHECK_TRUE(engineReached("domain-1", 0));
    CHECK_TRUE(engineReached("domain-2", 2));
    CHECK_TRUE(reaches("domain-1", cluster.log(), "/admin/stats"));
    cluster.setPathFaults("domain-1", "platform", {{"cut", "both"}});
    CHECK_FALSE(reaches("domain-1", cluster.log(), "/admin/stats"));
    CHECK_TRUE(reaches("domain-2", cluster.log(), "/admin/stats"));
    cluster.cutFromOtherDomains("domain-1", false);
    CHECK_TRUE(engineReached("domain-1", 1));
}
