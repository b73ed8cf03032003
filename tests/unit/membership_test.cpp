#include "membership/fleettable.h"
#include "membership/statuspoller.h"

#include "support/fleetfixture.h"

#include <CppUTest/TestHarness.h>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

EndpointStatus live()
{
    EndpointStatus status;
    status.models = {"model"};
    status.running = 3;
    return status;
}

EndpointStatus leaving()
{
    EndpointStatus status;
    status.leaving = true;
    return status;
}

Digest digestOf(const std::string &member, std::uint64_t sequence, int echoAt, int now)
{
    Digest digest;
    digest.memberId = member;
    digest.incarnation = "i1";
    digest.sequence = sequence;
    digest.echoIncarnation = "i1";
    digest.echoClock = std::chrono::duration_cast<Millis>(at(echoAt).time_since_epoch());
    digest.echoAge = Millis(now - echoAt);
    return digest;
}

/// Daemons that poll endpoints and exchange heartbeats in simulated time.
struct Cluster
{
    explicit Cluster(int count)
    {
        for (int i = 1; i <= count; ++i) {
            fleets.push_back(makeFleet(i));
            fleets.back()->applyVmList(fleetList(1, count), kStart);
        }
    }

    FleetTable &byId(const std::string &id) { return *fleets[std::stoul(id.substr(1)) - 1]; }

    /// Runs polls and heartbeats until the time. Cut members neither send nor receive.
    void runUntil(int end, const std::vector<std::string> &cut = {})
    {
        const auto isCut = [&](const std::string &id) {
            return std::find(cut.begin(), cut.end(), id) != cut.end();
        };
        for (; clock < end; clock += 20) {
            for (std::size_t i = 0; i < fleets.size(); ++i) {
                if (isCut("m" + std::to_string(i + 1)))
                    continue;
                for (const auto &request : fleets[i]->pollsDue(at(clock))) {
                    ++polls[request.endpointId];
                    fleets[i]->applyStatus(request.endpointId, statuses[request.endpointId],
                                           at(clock), at(clock + 1));
                }
                for (const auto &due : fleets[i]->heartbeatsDue(at(clock))) {
                    if (isCut(due.peerId))
                        continue;
                    const auto reply = byId(due.peerId).applyDigest(due.digest, at(clock + 2));
                    fleets[i]->applyReply(due, reply, at(clock + 3));
                    reports += due.digest.reports.size();
                }
            }
        }
    }

    int permitted(const std::string &endpointId)
    {
        int count = 0;
        for (const auto &fleet : fleets)
            count += fleet->sendPermitted(endpointId, at(clock));
        return count;
    }

    std::vector<std::unique_ptr<FleetTable>> fleets;
    std::map<std::string, EndpointStatus> statuses;
    std::map<std::string, int> polls;
    std::size_t reports = 0;
    int clock = 0;
};

} // namespace

TEST_GROUP(Membership){};

// Guards against new requests to an endpoint more than 2.5 s after its last live status, and
// against ignoring one of the sources that report an endpoint as leaving.
TEST(Membership, sendPermissionEndsWhenAnySourceReportsLeaving)
{
    struct Case
    {
        const char *name;
        std::function<void(FleetTable &)> act;
        int when;
        bool permitted;
    };
    const auto intent = [](bool drained) {
        auto configuration = std::make_shared<Configuration>();
        configuration->endpointIntents["e0"] = {"e0", drained, {}, "", 1};
        return configuration;
    };
    VmList leavingList{2, {endpoint("e0", "d0", true)}, 0};
    const std::vector<Case> cases = {
            {"live status", [](FleetTable &) {}, 2499, true},
            {"no fresh status", [](FleetTable &) {}, 2500, false},
            {"missing VM list", [](FleetTable &) {}, 1000, true},
            {"status leaving",
             [](FleetTable &f) { f.applyStatus("e0", leaving(), at(100), at(101)); }, 102, false},
            {"late live status after leaving",
             [](FleetTable &f) {
                 f.applyStatus("e0", leaving(), at(100), at(120));
                 f.applyStatus("e0", live(), at(110), at(130));
             },
             131, false},
            {"newer live status after leaving",
             [](FleetTable &f) {
                 f.applyStatus("e0", leaving(), at(100), at(120));
                 f.applyStatus("e0", live(), at(121), at(130));
             },
             131, true},
            {"late leaving status",
             [](FleetTable &f) { f.applyStatus("e0", leaving(), at(-500), at(100)); }, 101, false},
            {"list leaving", [&](FleetTable &f) { f.applyVmList(leavingList, at(10)); }, 11, false},
            {"missing from the list",
             [](FleetTable &f) {
                 f.applyVmList({2, {}, 0}, at(10));
             },
             11, false},
            {"missing from an older list",
             [](FleetTable &f) {
                 f.applyVmList({0, {}, 0}, at(10));
             },
             11, true},
            {"drained", [&](FleetTable &f) { f.applyConfiguration(intent(true)); }, 11, false},
            {"drained before a new list",
             [&](FleetTable &f) {
                 f.applyConfiguration(intent(true));
                 f.applyVmList(fleetList(2, 2), at(10));
             },
             11, false},
            {"drain ended",
             [&](FleetTable &f) {
                 f.applyConfiguration(intent(true));
                 f.applyConfiguration(intent(false));
             },
             11, true},
            {"older live status does not extend the permission",
             [](FleetTable &f) { f.applyStatus("e0", live(), at(-1000), at(2400)); }, 2500, false},
    };
    for (const Case &c : cases) {
        auto fleet = makeFleet(1);
        fleet->applyVmList(fleetList(1, 2), kStart);
        CHECK_FALSE_TEXT(fleet->sendPermitted("e0", kStart), "never reported");
        fleet->applyStatus("e0", live(), kStart, kStart);
        c.act(*fleet);
        CHECK_EQUAL_TEXT(c.permitted, fleet->sendPermitted("e0", at(c.when)), c.name);
    }
}

// Guards against a digest that was delayed in transit and makes an old status look fresh.
TEST(Membership, sendPermissionFromDigestsIncludesAgeAndTransitTime)
{
    struct Case
    {
        const char *name;
        int age;
        int echoAt; ///< Receiver's clock in its last reply.
        int sentAt;
        int arrivesAt;
        int until; ///< When the permission ends; 0 if none is given.
    };
    const std::vector<Case> cases = {
            {"fresh", 0, 1000, 1000, 1000, 3500},
            {"old report", 400, 1000, 1000, 1000, 3100},
            {"old echo does not shorten the permission", 0, 0, 1000, 1000, 3500},
            {"delayed in transit", 0, 1000, 1000, 1800, 3500},
            {"delayed too long in transit", 0, 1000, 1000, 5000, 0},
            {"too old when sent", 2500, 1000, 1000, 1000, 0},
            {"echo from the future", 0, 9000, 9000, 1000, 0},
    };
    for (const Case &c : cases) {
        auto fleet = makeFleet(1);
        fleet->applyVmList(fleetList(1, 2), kStart);
        Digest digest = digestOf("m2", 1, c.echoAt, c.sentAt);
        digest.reports.push_back({"e0", Millis(c.age), live()});
        fleet->applyDigest(digest, at(c.arrivesAt));
        CHECK_EQUAL_TEXT(c.until > c.arrivesAt, fleet->sendPermitted("e0", at(c.arrivesAt)),
                         c.name);
        if (c.until > 0) {
            CHECK_TRUE_TEXT(fleet->sendPermitted("e0", at(c.until - 1)), c.name);
            CHECK_FALSE_TEXT(fleet->sendPermitted("e0", at(c.until)), c.name);
        }
    }
    // Without an echo of this run's clock, the age is unknown: a live status gives no permission,
    // but a leaving status is applied.
    auto fleet = makeFleet(1);
    fleet->applyVmList(fleetList(1, 2), kStart);
    Digest digest = digestOf("m2", 1, 1000, 1000);
    digest.echoIncarnation = "i0";
    digest.reports.push_back({"e0", Millis(0), live()});
    fleet->applyDigest(digest, at(1000));
    CHECK_FALSE(fleet->sendPermitted("e0", at(1000)));
    fleet->applyStatus("e0", live(), at(1001), at(1001));
    CHECK_TRUE(fleet->sendPermitted("e0", at(1002)));
    digest.sequence = 2;
    digest.reports[0].status = leaving();
    fleet->applyDigest(digest, at(1003));
    CHECK_FALSE(fleet->sendPermitted("e0", at(1004)));
}

// Guards against applying a digest that is out of order, repeated or from an earlier incarnation.
TEST(Membership, onlyTheNewestDigestOfTheNewestIncarnationIsApplied)
{
    struct Case
    {
        const char *name;
        const char *incarnation;
        std::uint64_t sequence;
        int when;
        Offset expected; ///< Config offset afterwards; the digest carries 99.
    };
    const std::vector<Case> cases = {
            {"next", "i5", 11, 10, 99},
            {"repeated", "i5", 10, 10, 7},
            {"out of order", "i5", 9, 10, 7},
            {"earlier incarnation", "i4", 50, 10, 7},
            {"later incarnation", "i6", 1, 10, 99},
            {"earlier incarnation, later one not alive", "i4", 1, 5000, 99},
    };
    for (const Case &c : cases) {
        auto fleet = makeFleet(1);
        fleet->applyVmList(fleetList(1, 2), kStart);
        Digest digest = digestOf("m2", 10, 0, 0);
        digest.incarnation = "i5";
        digest.configOffset = 7;
        fleet->applyDigest(digest, kStart);
        digest.incarnation = c.incarnation;
        digest.sequence = c.sequence;
        digest.configOffset = 99;
        fleet->applyDigest(digest, at(c.when));
        CHECK_EQUAL_TEXT(c.expected, fleet->peers(at(c.when))[0].configOffset, c.name);
    }
    auto fleet = makeFleet(1);
    fleet->applyDigest(digestOf("m2", 1, 0, 0), kStart);
    CHECK_TRUE_TEXT(fleet->peers(kStart).empty(), "unknown member");
}

// Guards against members that stay alive without heartbeats, and against a paused member that is
// never considered alive again.
TEST(Membership, membersAreSuspectedAfterThreeMissedIntervalsAndRestored)
{
    auto fleet = makeFleet(1);
    fleet->applyVmList(fleetList(1, 4), kStart);
    CHECK_FALSE_TEXT(fleet->peers(kStart)[0].alive, "listed, no heartbeat received");
    fleet->applyDigest(digestOf("m4", 1, 0, 0), kStart);
    CHECK_EQUAL(2U, fleet->liveInOwnDomain(at(300)).size());
    CHECK_EQUAL(1U, fleet->liveInOwnDomain(at(301)).size());
    fleet->applyDigest(digestOf("m4", 2, 0, 0), at(5000));
    CHECK_EQUAL(2U, fleet->liveInOwnDomain(at(5000)).size());
    Digest goodbye = digestOf("m4", 3, 0, 0);
    goodbye.leaving = true;
    fleet->applyDigest(goodbye, at(5100));
    CHECK_EQUAL_TEXT(1U, fleet->liveInOwnDomain(at(5100)).size(), "leaving");
    CHECK_TRUE(fleet->isKnownMember("m4", "127.0.1.4"));
    CHECK_FALSE(fleet->isKnownMember("m4", "127.0.1.3"));
    CHECK_FALSE(fleet->isKnownMember("m9", "127.0.1.9"));
}

// Guards against endpoints that no member or every member polls, and against statuses that do not
// reach all members. Runs with a full mesh and with delegates, and after a coordinator was cut off.
TEST(Membership, everyMemberReceivesTheStatusFromTheCoordinator)
{
    for (int count : {1, 3, 8, 16, 24}) {
        Cluster cluster(count);
        cluster.runUntil(4000);
        const std::string name = std::to_string(count) + " members";
        for (const char *id : {"e0", "e1", "e2"}) {
            CHECK_EQUAL_TEXT(count, cluster.permitted(id), name.c_str());
            // 4 s at one poll every 250 ms (260 ms when rounded to ticks), plus polls by other
            // members before they receive the first heartbeats.
            CHECK_TRUE_TEXT(cluster.polls[id] >= 15, name.c_str());
            CHECK_TRUE_TEXT(cluster.polls[id] <= 20 + 2 * count, name.c_str());
        }
        if (count < 8)
            continue;
        std::string coordinator;
        for (int i = 1; i <= count; ++i) {
            if (cluster.fleets[i - 1]->isCoordinator("e0"))
                coordinator = "m" + std::to_string(i);
        }
        cluster.runUntil(9000, {coordinator});
        CHECK_EQUAL_TEXT(count - 1, cluster.permitted("e0"), name.c_str());
        cluster.statuses["e0"] = leaving();
        cluster.runUntil(10'500, {coordinator});
        CHECK_EQUAL_TEXT(0, cluster.permitted("e0"), name.c_str());
        cluster.statuses["e0"] = live();
        cluster.runUntil(14'000);
        CHECK_EQUAL_TEXT(count, cluster.permitted("e0"), name.c_str());
    }
}

// Guards against digests that repeat reports that the peer has acknowledged.
TEST(Membership, digestsContainOnlyUnacknowledgedReports)
{
    Cluster cluster(8);
    cluster.runUntil(2000);
    cluster.reports = 0;
    cluster.runUntil(6000);
    // 3 endpoints, 16 polls each in 4 s, 7 peers. A report may be sent twice until it is
    // acknowledged.
    CHECK_TRUE(cluster.reports >= 3 * 15 * 7);
    CHECK_TRUE(cluster.reports <= 3 * 17 * 7 * 2);
}

// Guards against load figures that omit requests which the endpoint has not reported yet.
TEST(Membership, viewIncludesUnreportedRequestsOfThisDaemonAndItsPeers)
{
    auto fleet = makeFleet(1);
    fleet->applyVmList(fleetList(1, 2), kStart);
    fleet->applyStatus("e0", live(), kStart, kStart);
    fleet->noteSent("e0", 1000, at(10));
    fleet->noteSent("e0", 500, at(20));
    Digest digest = digestOf("m2", 1, 0, 0);
    digest.sent.push_back({"e0", 2, 300});
    fleet->applyDigest(digest, at(30));
    const auto row = [&](int now) { return fleet->view("service", at(now)).endpoints[0]; };
    CHECK_EQUAL(3U, row(30).running);
    CHECK_EQUAL(4U, row(30).unreportedRequests);
    CHECK_EQUAL(1800U, row(30).unreportedTokens);
    CHECK_EQUAL(2U, row(30).ownOutstanding);
    fleet->applyStatus("e0", live(), at(15), at(40));
    CHECK_EQUAL_TEXT(3U, row(40).unreportedRequests, "the report includes the first request");
    fleet->noteFinished("e0", {true, 500, Millis(50), Millis(50)}, at(45));
    CHECK_EQUAL(2U, row(45).unreportedRequests);
    CHECK_EQUAL(1U, row(45).ownOutstanding);
    digest.sequence = 2;
    digest.sent.clear();
    fleet->applyDigest(digest, at(50));
    CHECK_EQUAL(0U, row(50).unreportedRequests);
    fleet->setEjected("e0", true);
    CHECK_TRUE(row(50).ejected);
}

// Guards against a slow endpoint that is not detected, or that is avoided forever.
TEST(Membership, prefillRateAndSlowFactorAreEstimatedAndSlowFactorDecays)
{
    auto fleet = makeFleet(1);
    fleet->applyVmList(fleetList(1, 2), kStart);
    const auto row = [&](int now) { return fleet->view("service", at(now)).endpoints[0]; };
    DOUBLES_EQUAL(1, row(0).slowFactor, 0);
    for (int i = 0; i < 60; ++i)
        fleet->noteFinished("e0", {true, 10'000, Millis(1000), Millis(100)}, at(i));
    DOUBLES_EQUAL(10'000, row(60).prefillTokensPerSecond, 1);
    DOUBLES_EQUAL(10, row(60).slowFactor, 0.2);
    DOUBLES_EQUAL(1.3, row(60'060).slowFactor, 0.2);
    fleet->noteFinished("e0", {false, 10'000, Millis(1), Millis(100)}, at(60));
    DOUBLES_EQUAL(10'000, row(60).prefillTokensPerSecond, 1);
}

TEST(Membership, heartbeatIntervalStaysWithinTheByteBudget)
{
    struct Case
    {
        std::size_t peers;
        double bytes;
        std::size_t budget;
        int expected;
    };
    const std::vector<Case> cases
            = {{7, 200, 21'000, 100},   {45, 200, 21'000, 429}, {45, 46, 21'000, 100},
               {45, 470, 21'000, 1008}, {0, 1000, 21'000, 100}, {10, 1000, 0, 100}};
    for (const Case &c : cases) {
        const Millis interval = heartbeatInterval(Millis(100), c.peers, c.bytes, c.budget);
        CHECK_EQUAL(c.expected, interval.count());
    }
}

// Guards against accepting a malformed response, or one from another endpoint, as a live status.
TEST(Membership, invalidStatusResponsesAreRejected)
{
    struct Case
    {
        const char *body;
        bool valid;
    };
    const std::vector<Case> cases = {
            {R"({"endpoint_id":"e","state":"live","running":2})", true},
            {R"({"state":"leaving"})", true},
            {R"({"endpoint_id":"other","state":"live"})", false},
            {R"({"endpoint_id":5,"state":"live"})", false},
            {R"({"state":"starting"})", false},
            {R"({"running":2})", false},
            {R"({"state":"live","running":"many"})", false},
            {"[]", false},
    };
    for (const Case &c : cases) {
        const auto status
                = capture([&] { return parseStatus(nlohmann::json::parse(c.body), "e"); });
        CHECK_EQUAL_TEXT(c.valid, static_cast<bool>(status), c.body);
    }
}

// Guards against treating one pause of an endpoint as a lasting slowdown: long prompts would be
// refused for tens of seconds because they are not expected to finish in time.
TEST(Membership, onePauseDoesNotMakeAnEndpointSlow)
{
    EndpointRow row;
    const AttemptObservation paused{true, 100, Millis(1'000), Millis(5)};
    applyObservation(row, paused, at(1'000));
    CHECK_TRUE(currentSlowFactor(row, at(1'000)) < 2);
}
