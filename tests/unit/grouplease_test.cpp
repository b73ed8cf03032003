#include "routing/grouplease.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

// After the standard headers: it defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace cicadafork;

namespace {

const TimePoint kStart{std::chrono::hours(1)};
const LeaseTiming kTiming{Millis(1000), Millis(100)};

/// Engines that each hold memory for one reservation at a time, with the semantics of the hold
/// interface.
struct Engines
{
    struct Hold
    {
        int holder = 0;
        TimePoint expires;
    };
    std::map<std::string, Hold> holds;

    void expire(TimePoint now)
    {
        std::erase_if(holds, [&](const auto &entry) { return entry.second.expires <= now; });
    }

    LeaseAnswer handle(const std::string &id, int holder, LeaseActionKind kind, TimePoint now)
    {
        const auto found = holds.find(id);
        const bool own = found != holds.end() && found->second.holder == holder;
        if (kind == LeaseActionKind::Release) {
            if (!own)
                return LeaseAnswer::NotFound;
            holds.erase(found);
            return LeaseAnswer::Accepted;
        }
        if (kind == LeaseActionKind::Renew ? !own : found != holds.end() && !own)
            return LeaseAnswer::Refused;
        holds[id] = {holder, now + kTiming.lifetime};
        return LeaseAnswer::Accepted;
    }
};

struct Message
{
    int holder = 0;
    int reserver = 0;
    std::size_t member = 0;
    std::string endpoint;
    LeaseActionKind kind = LeaseActionKind::Nothing;
    LeaseAnswer answer = LeaseAnswer::Accepted;
    bool isAnswer = false;
    TimePoint at;
};

struct Reserver
{
    GroupLease lease;
    int holder = 0;
    TimePoint heldSince;
    TimePoint startAt = kStart;
    bool active = false;
};

std::vector<std::string> randomGroup(std::mt19937 &random)
{
    std::vector<std::string> group;
    for (const char *id : {"e1", "e2", "e3", "e4", "e5"}) {
        if (random() % 5 < 3)
            group.emplace_back(id);
    }
    if (group.empty())
        group.emplace_back("e3");
    std::shuffle(group.begin(), group.end(), random);
    return group;
}

} // namespace

TEST_GROUP(GroupLease){};

TEST(GroupLease, membersAreReservedInAscendingIdAndAllReleasedAfterARefusal)
{
    GroupLease lease = startLease({"e3", "e1", "e2"}, kTiming);
    for (const char *expected : {"e1", "e2"}) {
        const LeaseAction action = nextAction(lease, kStart);
        CHECK_TRUE(action.kind == LeaseActionKind::Reserve);
        STRCMP_EQUAL(expected, lease.members[action.member].endpoint.c_str());
        CHECK_TRUE(nextAction(lease, kStart).kind == LeaseActionKind::Nothing);
        onAnswer(lease, action.member, action.kind, LeaseAnswer::Accepted, kStart);
    }
    const LeaseAction third = nextAction(lease, kStart);
    onAnswer(lease, third.member, third.kind, LeaseAnswer::Refused, kStart);
    CHECK_TRUE(lease.refused);
    for (int i = 0; i < 2; ++i) {
        const LeaseAction action = nextAction(lease, kStart);
        CHECK_TRUE(action.kind == LeaseActionKind::Release);
        onAnswer(lease, action.member, action.kind, LeaseAnswer::Accepted, kStart);
    }
    CHECK_TRUE(nextAction(lease, kStart).kind == LeaseActionKind::Nothing);
    CHECK_TRUE(lease.state == LeaseState::Released);
}

// Guards against using memory that the engine has given to another request.
TEST(GroupLease, leaseEndsNoLaterThanAHoldWhoseRenewalsAreLost)
{
    GroupLease lease = startLease({"e1"}, kTiming);
    nextAction(lease, kStart);
    onAnswer(lease, 0, LeaseActionKind::Reserve, LeaseAnswer::Accepted, kStart + Millis(50));
    for (Millis t{60}; t < kTiming.lifetime; t += Millis(10)) {
        nextAction(lease, kStart + t);
        CHECK_TRUE(lease.state == LeaseState::Held);
    }
    nextAction(lease, kStart + kTiming.lifetime);
    CHECK_TRUE(lease.state == LeaseState::Releasing);
    CHECK_TRUE(lease.refused);
}

// Guards against memory that stays held because the engine granted it after the end of the lease.
TEST(GroupLease, holdGrantedAfterTheEndOfTheLeaseIsReleased)
{
    GroupLease lease = startLease({"e1"}, kTiming);
    nextAction(lease, kStart);
    release(lease);
    nextAction(lease, kStart);
    const TimePoint late = kStart + Millis(5000);
    nextAction(lease, late);
    CHECK_TRUE(lease.state == LeaseState::Released);
    onAnswer(lease, 0, LeaseActionKind::Reserve, LeaseAnswer::Accepted, late);
    CHECK_TRUE(nextAction(lease, late).kind == LeaseActionKind::Release);
}

// Guards against deadlock, holds that outlive their expiry or release, and two leases that both
// consider the same engine held, when answers are late or lost. Prints a failing seed.
TEST(GroupLease, concurrentLeasesNeitherDeadlockNorLeakHolds)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const std::string name = "seed " + std::to_string(seed);
        Engines engines;
        std::vector<Reserver> reservers(3 + seed % 2);
        std::vector<Message> network;
        int holders = 0;
        int completed = 0;
        TimePoint lastProgress = kStart;
        TimePoint now = kStart;
        const TimePoint faultsEnd = kStart + Millis(20'000);
        const auto send = [&](Message message) {
            const bool faulty = now < faultsEnd;
            if (faulty && random() % 10 == 0)
                return;
            message.at = now + Millis(1 + random() % (faulty && random() % 10 == 0 ? 400 : 10));
            network.push_back(message);
        };
        for (; now < kStart + Millis(30'000); now += Millis(5)) {
            engines.expire(now);
            std::vector<Message> due;
            std::erase_if(network, [&](const Message &m) {
                if (m.at > now)
                    return false;
                due.push_back(m);
                return true;
            });
            for (Message &message : due) {
                Reserver &reserver = reservers[static_cast<std::size_t>(message.reserver)];
                const bool current = reserver.active && reserver.holder == message.holder;
                if (message.isAnswer) {
                    if (current)
                        onAnswer(reserver.lease, message.member, message.kind, message.answer, now);
                    continue;
                }
                message.answer
                        = engines.handle(message.endpoint, message.holder, message.kind, now);
                message.isAnswer = true;
                send(message);
            }
            std::map<std::string, int> heldLeases;
            for (std::size_t r = 0; r < reservers.size(); ++r) {
                Reserver &reserver = reservers[r];
                if (!reserver.active && now >= reserver.startAt && now < faultsEnd + Millis(5000)) {
                    reserver.active = true;
                    reserver.holder = ++holders;
                    reserver.lease = startLease(randomGroup(random), kTiming);
                    reserver.heldSince = TimePoint();
                }
                if (!reserver.active)
                    continue;
                for (LeaseAction action = nextAction(reserver.lease, now);
                     action.kind != LeaseActionKind::Nothing;
                     action = nextAction(reserver.lease, now)) {
                    Message message;
                    message.holder = reserver.holder;
                    message.reserver = static_cast<int>(r);
                    message.member = action.member;
                    message.endpoint = reserver.lease.members[action.member].endpoint;
                    message.kind = action.kind;
                    send(message);
                }
                if (reserver.lease.state == LeaseState::Held) {
                    if (reserver.heldSince == TimePoint())
                        reserver.heldSince = now;
                    for (const LeaseMember &member : reserver.lease.members) {
                        LONGS_EQUAL_TEXT(1, ++heldLeases[member.endpoint], name.c_str());
                        LONGS_EQUAL_TEXT(reserver.holder, engines.holds[member.endpoint].holder,
                                         name.c_str());
                    }
                    if (now - reserver.heldSince >= Millis(200)) {
                        ++completed;
                        lastProgress = now;
                        release(reserver.lease);
                    }
                }
                if (reserver.lease.state == LeaseState::Released) {
                    for (const auto &[id, hold] : engines.holds)
                        CHECK_TRUE_TEXT(hold.holder != reserver.holder, name.c_str());
                    reserver.active = false;
                    reserver.startAt = now + Millis(random() % 100);
                }
            }
            // A lost message delays a lease by at most one lifetime of a hold, so at least one
            // lease must complete within ten lifetimes.
            if (now < faultsEnd)
                CHECK_TRUE_TEXT(now - lastProgress < 10 * kTiming.lifetime, name.c_str());
        }
        CHECK_TRUE_TEXT(completed > 10, name.c_str());
        LONGS_EQUAL_TEXT(0, engines.holds.size(), name.c_str());
    }
}
