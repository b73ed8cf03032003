// Contents of digests, and how receivers handle the fields that brief reports omit.

#include "membership/fleettable.h"

#include "support/fleetfixture.h"

#include <CppUTest/TestHarness.h>

#include <set>

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

} // namespace

TEST_GROUP(MembershipDigest){};

// Guards against a receiver that applies a brief report without knowing the omitted models, and
// against one that loses the models it knows.
TEST(MembershipDigest, briefReportsAreAppliedOnlyWithKnownDetails)
{
    struct Case
    {
        const char *name;
        std::string knownModel; ///< Empty if the receiver has no report.
        bool leaving;
        bool permittedBefore;
        bool permittedAfter;
    };
    const std::vector<Case> cases = {
            {"details known", "model", false, true, true},
            {"other details known", "other", false, true, false},
            {"no report known", "", false, false, false},
            {"leaving with unknown details", "other", true, true, false},
    };
    for (const Case &c : cases) {
        auto fleet = makeFleet(1);
        fleet->applyVmList(fleetList(1, 2), kStart);
        EndpointStatus known = live();
        known.models = {c.knownModel};
        if (!c.knownModel.empty())
            fleet->applyStatus("e0", known, kStart, kStart);
        CHECK_EQUAL_TEXT(c.permittedBefore, fleet->sendPermitted("e0", at(1)), c.name);
        EndpointReport report{"e0", Millis(0), live()};
        report.brief = true;
        report.detailsHash = detailsHash(live());
        report.status.models.clear();
        report.status.leaving = c.leaving;
        Digest digest = digestOf("m2", 1, 2000, 2000);
        digest.reports.push_back(report);
        fleet->applyDigest(digest, at(2000));
        // The permission from the first status has expired by then.
        CHECK_EQUAL_TEXT(c.permittedAfter, fleet->sendPermitted("e0", at(3000)), c.name);
        if (c.permittedAfter)
            STRCMP_EQUAL("model", fleet->view("service", at(3000)).endpoints[0].models[0].c_str());
    }
}

// Guards against digests that always repeat models and roles, and against a peer that never
// receives them.
TEST(MembershipDigest, detailsAreSentUntilAcknowledgedAndThenPeriodically)
{
    auto fleet = makeFleet(1);
    fleet->applyVmList(fleetList(1, 2), kStart);
    fleet->applyDigest(digestOf("m2", 1, 0, 0), kStart);
    std::size_t full = 0;
    std::size_t brief = 0;
    for (int round = 0; round < 40; ++round) {
        const int now = 100 + 100 * round;
        fleet->applyStatus("e0", live(), at(now), at(now));
        for (const HeartbeatDue &due : fleet->heartbeatsDue(at(now + 1))) {
            CHECK_EQUAL(1U, due.digest.reports.size());
            const EndpointReport &report = due.digest.reports[0];
            CHECK_EQUAL(report.brief, report.status.models.empty());
            CHECK_EQUAL(detailsHash(live()), report.detailsHash);
            if (round < 5)
                CHECK_FALSE_TEXT(report.brief, "not acknowledged yet");
            ++(report.brief ? brief : full);
            if (round >= 4)
                fleet->applyReply(due, {"i1", Millis(1), 0}, at(now + 2));
        }
    }
    CHECK_TRUE(brief >= 20);
    CHECK_TRUE(full >= 8);
}

// Guards against a delegate whose digests grow with the size of the system, and against members and
// endpoints that are never relayed to some peers because the number of peers divides the length of
// a round.
TEST(MembershipDigest, delegatesRelayABoundedPartRoundRobin)
{
    constexpr int kMembers = 60;
    constexpr int kEndpoints = 90;
    VmList list = fleetList(1, kMembers);
    for (int i = 3; i < kEndpoints; ++i)
        list.vms.push_back(endpoint("e" + std::to_string(i), "d" + std::to_string(i % 3)));
    for (int self = 1; self <= kMembers; ++self) {
        auto fleet = makeFleet(self);
        fleet->applyVmList(list, kStart);
        const auto receiveDigests = [&](int now, std::uint64_t sequence) {
            for (int i = 1; i <= kMembers; ++i) {
                Digest digest = digestOf("m" + std::to_string(i), sequence, now, now);
                for (int e = i - 1; e < kEndpoints; e += kMembers)
                    digest.reports.push_back(
                            {"e" + std::to_string(e), Millis(200), live(), false, 0});
                fleet->applyDigest(digest, at(now));
            }
        };
        receiveDigests(0, 1);
        if (fleet->delegateOfOwnDomain(at(1)) != "m" + std::to_string(self))
            continue;
        std::map<std::string, std::set<std::string>> members;
        std::map<std::string, std::set<std::string>> endpoints;
        for (int round = 0; round < 20; ++round) {
            const int now = 100 * round + 10;
            receiveDigests(now, static_cast<std::uint64_t>(round) + 2);
            for (const HeartbeatDue &due : fleet->heartbeatsDue(at(now + 1))) {
                CHECK_TRUE(due.digest.members.size() <= 4);
                CHECK_TRUE(due.digest.reports.size() <= 4);
                for (const MemberSummary &summary : due.digest.members)
                    members[due.peerId].insert(summary.id);
                for (const EndpointReport &report : due.digest.reports)
                    endpoints[due.peerId].insert(report.endpointId);
            }
        }
        // 19 peers in the same domain and the delegates of two other domains.
        CHECK_EQUAL(21U, members.size());
        for (const auto &[peer, ids] : members)
            CHECK_TRUE_TEXT(ids.size() >= 19, peer.c_str());
        for (const auto &[peer, ids] : endpoints)
            CHECK_TRUE_TEXT(ids.size() >= 30, peer.c_str());
        return;
    }
    FAIL("no member is the delegate of its domain");
}

// Guards against excessive heartbeats when a whole failure domain starts at the same time: the
// interval depends on the measured size of digests, and no digest has been measured yet.
TEST(MembershipDigest, firstHeartbeatsStayWithinTheByteBudget)
{
    FleetOptions options;
    options.selfId = "m1";
    options.selfDomain = "d1";
    options.assumedDigestBytes = 600;
    FleetTable fleet(options);
    VmList list{1, {}, 0};
    for (int i = 1; i <= 45; ++i)
        list.vms.push_back(entry("m" + std::to_string(i), "d1"));
    fleet.applyVmList(list, kStart);
    std::size_t sent = 0;
    for (int now = 0; now < 10'000; now += 20)
        sent += fleet.heartbeatsDue(at(now)).size();
    // 44 peers * 600 bytes / 21,000 bytes per second = 1.26 s, which gives 8 rounds in 10 s.
    CHECK_TRUE(sent >= 7 * 44);
    CHECK_TRUE(sent <= 9 * 44);
}
