#include "daemon/rows.h"
#include "daemon/streamdirectory.h"

#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace cicadafork;

namespace {

std::vector<PeerView> sixPeers()
{
    std::vector<PeerView> peers;
    for (int i = 0; i < 6; ++i) {
        PeerView peer;
        peer.id = "d" + std::to_string(i);
        peer.failureDomain = i < 3 ? "own" : "other";
        peer.alive = true;
        peers.push_back(peer);
    }
    return peers;
}

} // namespace

TEST_GROUP(Daemon){};

// Guards against a location that is lost in a partition: one keeper must be in the own domain.
TEST(Daemon, streamKeepersIncludeOneOfTheOwnDomainAndSpares)
{
    const auto peers = sixPeers();
    for (int i = 0; i < 100; ++i) {
        const std::string key = "estate~request-" + std::to_string(i);
        const auto keepers = streamKeepers(key, "own", peers, false);
        CHECK_TRUE(!keepers.empty() && keepers.size() <= 2);
        STRCMP_EQUAL("own", keepers.front().failureDomain.c_str());
        std::set<std::string> withSpares;
        for (const PeerView &keeper : streamKeepers(key, "own", peers, true))
            withSpares.insert(keeper.id);
        for (const PeerView &keeper : keepers)
            CHECK_TRUE(withSpares.contains(keeper.id));
    }
}

// Guards against a caller that comes back and does not find its stream because a keeper has died.
TEST(Daemon, aSpareKeeperIsAskedWhenTheKeeperOfTheOtherViewHasDied)
{
    const auto peers = sixPeers();
    for (int i = 0; i < 100; ++i) {
        const std::string key = "estate~request-" + std::to_string(i);
        const auto noted = streamKeepers(key, "own", peers, false);
        auto later = peers;
        for (PeerView &peer : later)
            peer.alive = peer.id != noted.front().id;
        bool found = noted.size() == 1;
        for (const PeerView &keeper : streamKeepers(key, "own", later, true))
            found = found || keeper.id == noted.back().id;
        CHECK_TRUE(found);
    }
}

TEST(Daemon, streamLocationsExpire)
{
    StreamDirectory directory;
    const TimePoint now = TimePoint{} + Millis(1000);
    directory.note("estate~r", "engine-1", now);
    STRCMP_EQUAL("engine-1", directory.find("estate~r", now)->c_str());
    CHECK_FALSE(directory.find("estate~r", now + kStreamNoteLifetime).has_value());
    directory.tick(now + kStreamNoteLifetime);
    LONGS_EQUAL(0, directory.size());
}

// Guards against a long prefill that is shown as stuck, and against a stuck request that is not.
TEST(Daemon, stuckMeansNoProgressForTwiceTheExpectedTimeAndThreeSeconds)
{
    struct Case
    {
        Millis sinceProgress;
        Millis expectedFirstToken;
        bool stuck;
    };
    const std::vector<Case> cases = {
            {Millis(2'900), Millis(100), false},
            {Millis(3'100), Millis(100), true},
            {Millis(60'000), Millis(50'000), false},
            {Millis(101'000), Millis(50'000), true},
    };
    for (const Case &c : cases) {
        RequestView view;
        view.state = RequestState::Dispatched;
        view.sinceProgress = c.sinceProgress;
        view.expectedFirstToken = c.expectedFirstToken;
        CHECK_EQUAL(c.stuck, isStuck(view));
    }
}
