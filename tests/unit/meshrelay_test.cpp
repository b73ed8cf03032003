// Choice of the member that relays a message within a remote failure domain.

#include "base/hash.h"
#include "gateway/mesh.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;

TEST_GROUP(MeshRelay){};

// Guards against daemons that start together and all send through the same member: it would have to
// relay hundreds of heartbeats at once, and what its link and buffers lose makes every daemon of
// the domain take the senders for failed. Found on the large site, quiet-1: 31,368 peers went down
// between the start and the first request.
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
