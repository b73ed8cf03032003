// Which daemons of a fleet with several failure domains get a message, and through which member.

#include "base/hash.h"
#include "gateway/mesh.h"
#include "support/eventually.h"
#include "support/network.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

TEST_GROUP(MeshRelay){};

// Guards against daemons that start together and all send through the same member: it would have to
// relay hundreds of heartbeats at once, and what its link and buffers lose makes every daemon of
// the domain take the senders for failed.
TEST(MeshRelay, daemonsThatStartTogetherUseDifferentMembers)
{
    constexpr unsigned kSenders = 236;
    constexpr std::size_t kMembers = 59;
    // With four senders to a member in the mean, a random choice rarely gives one more than this.
    constexpr unsigned kMaxSendersPerMember = 16;
    for (unsigned round = 0; round < 3; ++round) {
        std::vector<unsigned> senders(kMembers);
        for (unsigned sender = 0; sender < kSenders; ++sender)
            ++senders[relayIndex(mix64(sender), round, kMembers)];
        CHECK_TRUE(std::ranges::max(senders) <= kMaxSendersPerMember);
    }
}

// Guards against a daemon whose messages all go through a member that has failed.
TEST(MeshRelay, aDaemonUsesAllMembersInTurn)
{
    constexpr std::size_t kMembers = 7;
    std::set<std::size_t> used;
    for (unsigned round = 0; round < kMembers; ++round)
        used.insert(relayIndex(12345, round, kMembers));
    LONGS_EQUAL(kMembers, used.size());
}

// clang-format takes the body of this group for an initializer list.
// clang-format off
TEST_GROUP(MeshHeartbeats)
{
    asio::io_context context;
    AddressPool addresses;
    std::vector<std::unique_ptr<LoadTracker>> trackers;
    std::vector<std::unique_ptr<Mesh>> members;
    unsigned isolated = 0;

    void start(unsigned count, Millis heartbeatIntervalPerPeer)
    {
        const Address first = addresses.next();
        for (unsigned i = 0; i < count; ++i) {
            MeshOptions options;
            options.name = fmt::format("m{}", i);
            options.ip = i == 0 ? first.ip : addresses.next().ip;
            options.failureDomain = "east";
            options.incarnation = i + 1;
            options.port = first.port;
            options.seedIps = {first.ip};
            options.heartbeatIntervalPerPeer = heartbeatIntervalPerPeer;
            trackers.push_back(std::make_unique<LoadTracker>(100));
            members.push_back(std::make_unique<Mesh>(
                    context, options, *trackers.back(),
                    MeshHooks{.status = [] { return MeshStatus(); },
                              .loadChanged = [] {},
                              .peerChanged = [](const PeerInfo &) {},
                              .messageReceived = [](const PeerInfo &) {},
                              .endpointUpdatesReceived = [](const PeerInfo &, const auto &) {},
                              .leavingEndpoints = [] { return std::vector<EndpointKey>(); },
                              .leavingEndpointsReceived = [](const auto &) {},
                              .evacuations = [] { return Evacuations(); },
                              .evacuationsReceived = [](const auto &) {},
                              .crashesToRepeat = [] { return std::vector<EndpointCrash>(); },
                              .crashReceived = [](const EndpointCrash &) {},
                              .clearedPartsReceived = [](const RequestParts &, TimePoint) {},
                              .limits = [] { return std::vector<EndpointLimit>(); },
                              .limitReceived = [](const EndpointLimit &) {},
                              .demandsReceived = [](std::uint64_t, const auto &) {},
                              .configChangeReceived = [](const PeerInfo &, const ConfigChange &) {},
                              .isolated = [this] { ++isolated; }}));
            CHECK_TRUE(static_cast<bool>(capture([&] { return members.back()->start(); })));
        }
    }

    bool connected() const
    {
        return std::ranges::all_of(members, [this](const auto &member) {
            return member->alivePeerCount() + 1 == members.size();
        });
    }

    void teardown() override
    {
        for (const auto &member : members)
            member->stop();
    }
};
// clang-format on

// Guards against daemons that start together and then all send at the same time: in a large fleet,
// whose heartbeats are rare, each would hear nobody in between and read the store itself.
TEST(MeshHeartbeats, daemonsThatStartTogetherDoNotTakeThemselvesForIsolated)
{
    start(40, Millis(30));
    eventually(context, Millis(5000), Millis(100), [] { return false; });
    CHECK_TRUE(connected());
    LONGS_EQUAL(0, isolated);
}

// Guards against daemons that all name the same few members in their heartbeats, so that a fleet
// that starts while the store is unavailable knows itself only after many of them.
TEST(MeshHeartbeats, daemonsThatStartWithoutTheStoreSoonKnowEachOther)
{
    constexpr Millis kStabilityWindow{3000};
    MeshOptions defaults;
    start(88, defaults.heartbeatIntervalPerPeer);
    CHECK_TRUE(eventually(context, kStabilityWindow, Millis(20), [&] { return connected(); }));
}

TEST_GROUP(MeshDomains)
{
    struct Member
    {
        Member(asio::io_context &context, const MeshOptions &options)
            : mesh(context, options, tracker,
                   {.status = [] { return MeshStatus(); },
                    .loadChanged = [] {},
                    .peerChanged = [](const PeerInfo &) {},
                    .messageReceived = [](const PeerInfo &) {},
                    .endpointUpdatesReceived = [](const PeerInfo &, const auto &) {},
                    .leavingEndpoints = [this] { return leaving; },
                    .leavingEndpointsReceived
                    = [this](const auto &keys) { heard.insert(keys.begin(), keys.end()); },
                    .evacuations = [this] { return evacuations; },
                    .evacuationsReceived =
                            [this](const auto &orders) {
                                for (const Evacuation &order : orders)
                                    noteEvacuation(evacuations, order);
                            },
                    .crashesToRepeat = [this] { return crashes; },
                    .crashReceived
                    = [this](const EndpointCrash &crash) { heardCrashes[crash.endpoint] = crash; },
                    .clearedPartsReceived
                    = [this](const RequestParts &parts, TimePoint) { cleared = parts; },
                    .limits = [this] { return limits; },
                    .limitReceived
                    = [this](const EndpointLimit &limit) { heardLimits[limit.endpoint] = limit; },
                    .demandsReceived = [](std::uint64_t, const auto &) {},
                    .configChangeReceived = [](const PeerInfo &, const ConfigChange &) {},
                    .isolated = [] {}})
        {
            const auto started = capture([&] { return mesh.start(); });
            CHECK_TRUE(static_cast<bool>(started));
        }

        std::vector<EndpointKey> leaving; ///< Endpoints that this member knows to leave.
        std::set<EndpointKey> heard;      ///< Those that its peers told it of.
        Evacuations evacuations;
        std::vector<EndpointCrash> crashes; ///< That this member repeats.
        std::map<EndpointKey, EndpointCrash> heardCrashes;
        RequestParts cleared; ///< What a peer told last.
        std::vector<EndpointLimit> limits;
        std::map<EndpointKey, EndpointLimit> heardLimits;
        LoadTracker tracker{100};
        Mesh mesh;
    };

    static constexpr Millis kLimit{3000};
    static constexpr EndpointKey kEndpoint = 7;
    asio::io_context context;
    AddressPool addresses;
    std::vector<std::unique_ptr<Member>> members;

    /// Two members in each of the domains "east" and "west", in this order.
    void start(std::size_t maxDaemonsWithGlobalJobs)
    {
        const Address first = addresses.next();
        for (unsigned i = 0; i < 4; ++i) {
            MeshOptions options;
            options.name = fmt::format("m{}", i);
            options.ip = i == 0 ? first.ip : addresses.next().ip;
            options.failureDomain = i < 2 ? "east" : "west";
            options.incarnation = i + 1;
            options.port = first.port;
            options.seedIps = {first.ip};
            options.heartbeatInterval = Millis(100);
            options.maxDaemonsWithGlobalJobs = maxDaemonsWithGlobalJobs;
            members.push_back(std::make_unique<Member>(context, options));
        }
        CHECK_TRUE(eventually(context, kLimit, [&] {
            return std::ranges::all_of(
                    members, [](const auto &member) { return member->mesh.alivePeerCount() == 3; });
        }));
    }

    void teardown() override
    {
        for (const auto &member : members)
            member->mesh.stop();
    }

    /// A job of the first member.
    void place(std::uint32_t number, const std::set<std::string> &domains)
    {
        Job job;
        job.id = {1, number};
        job.parts.push_back({kEndpoint, FloatMillis(20), true, 1000});
        job.expires = steadyNow() + std::chrono::minutes(1);
        members[0]->tracker.place(job);
        members[0]->mesh.placed(job, domains);
    }

    bool knows(unsigned member, std::uint32_t number) const
    {
        return members[member]->tracker.find({1, number}) != nullptr;
    }

    void serveFor(Millis time)
    {
        eventually(context, time, [] { return false; });
    }
};

// Guards against daemons of a large fleet that handle a datagram for each job of the whole fleet,
// and against a failure domain that does not hear of a job on its own endpoints.
TEST(MeshDomains, aLargeFleetAnnouncesJobsOnlyWhereTheyMatter)
{
    start(1);
    place(1, {"east"});
    place(2, {"east", "west"});
    // The second job was announced after the first, so the first would be known by then.
    CHECK_TRUE(eventually(context, kLimit, [&] { return knows(2, 2) && knows(3, 2); }));
    CHECK_FALSE(knows(2, 1) || knows(3, 1));
    CHECK_TRUE(eventually(context, kLimit, [&] { return knows(1, 1) && knows(1, 2); }));
    serveFor(Millis(300)); // Several heartbeats, which list the jobs.
    CHECK_FALSE(knows(2, 1) || knows(3, 1));
    CHECK_TRUE(knows(2, 2) && knows(3, 2));
    members[0]->tracker.ended({1, 2}, steadyNow());
    members[0]->mesh.ended({1, 2});
    CHECK_TRUE(eventually(context, kLimit, [&] { return !knows(2, 2) && !knows(3, 2); }));
}

// Guards against daemons that miss that an endpoint leaves, because a datagram was lost or more
// leave than one datagram holds.
TEST(MeshDomains, leavingEndpointsAreToldAtOnceAndRepeatedInHeartbeats)
{
    constexpr EndpointKey kLeaving = 40;
    start(128);
    members[0]->mesh.sendLeavingEndpoints({kLeaving + 1});
    for (EndpointKey key = 1; key <= kLeaving; ++key)
        members[0]->leaving.push_back(key);
    for (unsigned i = 1; i < members.size(); ++i)
        CHECK_TRUE(eventually(context, kLimit,
                              [&] { return members[i]->heard.size() == kLeaving + 1; }));
}

// Guards against daemons that miss an evacuation whose announcement was lost.
TEST(MeshDomains, evacuationsAreRepeatedInHeartbeats)
{
    start(128);
    for (const bool inForce : {true, false}) {
        noteEvacuation(members[0]->evacuations, {"west", {1, inForce ? 5U : 6U}, inForce});
        CHECK_TRUE(eventually(context, kLimit, [&] {
            return std::ranges::all_of(members, [&](const auto &member) {
                const auto &known = member->evacuations;
                return known.contains("west") && known.at("west").inForce == inForce;
            });
        }));
    }
}

// Guards against daemons that do not learn on which part of a prompt endpoints crash, because a
// datagram was lost, or that more crashes are known than one datagram holds.
TEST(MeshDomains, crashesAndClearedPartsReachAllPeers)
{
    constexpr EndpointKey kCrashes = 10;
    constexpr Millis kAge{700};
    constexpr Millis kLatency{500}; // Of the messages, at most.
    start(128);
    const TimePoint at = steadyNow() - kAge;
    const std::vector<RequestParts> suspects{
            {promptPart(1), promptPart(2)}, {promptPart(3), wholeRequest(4)}, {wholeRequest(5)}};
    const RequestParts sentAgain{wholeRequest(5)};
    members[0]->mesh.sendCrash({kCrashes + 1, at, suspects, at, sentAgain});
    for (EndpointKey key = 1; key <= kCrashes; ++key)
        members[0]->crashes.push_back({key, at, suspects, at, sentAgain});
    members[0]->mesh.sendClearedParts({promptPart(8), wholeRequest(9)});
    for (unsigned i = 1; i < members.size(); ++i) {
        const Member &member = *members[i];
        CHECK_TRUE(eventually(context, kLimit, [&] {
            return member.heardCrashes.size() == kCrashes + 1 && !member.cleared.empty();
        }));
        CHECK_TRUE(member.cleared == (RequestParts{promptPart(8), wholeRequest(9)}));
        for (const auto &[key, crash] : member.heardCrashes) {
            CHECK_TRUE(crash.suspects == suspects);
            CHECK_TRUE(crash.sentAgain == sentAgain);
            CHECK_TRUE(crash.at >= at - Millis(1) && crash.at <= at + kLatency);
            CHECK_TRUE(crash.neededAt >= at - Millis(1) && crash.neededAt <= at + kLatency);
        }
    }
}

// Guards against daemons that do not keep to a limit of which a datagram was lost, or of which
// there are more than one datagram holds.
TEST(MeshDomains, limitsReachAllPeers)
{
    constexpr EndpointKey kLimits = 20;
    constexpr Millis kAge{700};
    constexpr Millis kLatency{500}; // Of the messages, at most.
    start(128);
    const TimePoint at = steadyNow() - kAge;
    members[0]->mesh.sendLimit({kLimits + 1, 0.5, at});
    for (EndpointKey key = 1; key <= kLimits; ++key)
        members[0]->limits.push_back({key, key % 2 == 0 ? std::optional<double>() : 2.25, at});
    for (unsigned i = 1; i < members.size(); ++i) {
        const auto &heard = members[i]->heardLimits;
        CHECK_TRUE(eventually(context, kLimit, [&] { return heard.size() == kLimits + 1; }));
        for (const auto &[key, limit] : heard) {
            const bool ended = key <= kLimits && key % 2 == 0;
            CHECK_EQUAL(!ended, limit.requestsPerSecond.has_value());
            DOUBLES_EQUAL(ended            ? 0
                          : key <= kLimits ? 2.25
                                           : 0.5,
                          limit.requestsPerSecond.value_or(0), 0);
            CHECK_TRUE(limit.statedAt >= at - Millis(1) && limit.statedAt <= at + kLatency);
        }
    }
}

TEST(MeshDomains, aSmallFleetAnnouncesJobsToAll)
{
    start(128);
    place(1, {"east"});
    CHECK_TRUE(eventually(context, kLimit, [&] { return knows(2, 1) && knows(3, 1); }));
}

// Guards against a failure domain that knows nothing of the endpoints of the others.
TEST(MeshDomains, reportedLoadsReachTheOtherDomainsOnly)
{
    start(1);
    EndpointLoad load;
    load.sequences = 5;
    load.decodingSequences = 4;
    load.helperPrefills = 1;
    load.pendingPrefill = FloatMillis(400);
    load.contextTokens = 30'000;
    load.kvTokens = 40'000;
    load.shortestEventGap = Millis(250);
    members[0]->mesh.sendLoads({{kEndpoint, load}, {kEndpoint + 1, {}}});
    const auto loadAt = [&](unsigned member, EndpointKey endpoint) {
        return members[member]->tracker.load(endpoint, steadyNow());
    };
    for (const unsigned west : {2U, 3U}) {
        CHECK_TRUE(eventually(context, kLimit, [&] { return loadAt(west, kEndpoint).sequences; }));
        const EndpointLoad known = loadAt(west, kEndpoint);
        LONGS_EQUAL(5, known.sequences);
        LONGS_EQUAL(4, known.decodingSequences);
        LONGS_EQUAL(1, known.helperPrefills);
        CHECK_TRUE(known.pendingPrefill <= FloatMillis(400));
        LONGS_EQUAL(30'000, known.contextTokens);
        LONGS_EQUAL(40'000, known.kvTokens);
        CHECK_TRUE(known.shortestEventGap == Millis(250));
        CHECK_TRUE(known.prefillSlack == FloatMillis::max());
        CHECK_TRUE(loadAt(west, kEndpoint + 1).shortestEventGap == Millis::max());
    }
    LONGS_EQUAL(0, loadAt(1, kEndpoint).sequences);
}
