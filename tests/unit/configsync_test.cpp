#include "peer/configsync.h"
#include "peer/heartbeats.h"
#include "support/fakelog.h"

#include <thread>

// Last, because it replaces new by a macro that the standard headers do not survive.
#include <CppUTest/TestHarness.h>

using namespace cicadafork;
using test::FakeLog;

namespace {

constexpr int kMembers = 3;
/// Configuration must be in force within 6 s; on an idle loopback it takes far less.
constexpr Millis kSpreadLimit{3000};

std::string nameOf(int index)
{
    return "m" + std::to_string(index);
}

Address addressOf(int index)
{
    return {"127.78.0." + std::to_string(index), static_cast<std::uint16_t>(23'200 + index)};
}

/// The control plane of one daemon with its threads. The first is alone in domain d1, the others
/// are in d2.
struct Daemon
{
    Daemon(int index, LogClient &log)
        : store(log, {})
        , fleet({.selfId = nameOf(index),
                 .selfDomain = index == 1 ? "d1" : "d2",
                 .callerAddress = {},
                 .peerAddress = addressOf(index),
                 .incarnation = "i" + std::to_string(index)})
    {
        store.onChange([this](const auto &now) { fleet.applyConfiguration(now); });
        VmList list{1, {}, 0};
        for (int i = 1; i <= kMembers; ++i) {
            list.vms.push_back(
                    {nameOf(i), VmKind::Entry, i == 1 ? "d1" : "d2", {}, addressOf(i), "", false});
        }
        fleet.applyVmList(list, steadyNow());
        const PeerIdentity self{nameOf(index), "i" + std::to_string(index)};
        server = std::make_unique<PeerServer>(
                loop, PeerServerOptions{.self = self, .address = addressOf(index)}, handlers());
        client = std::make_unique<PeerClient>(
                loop, PeerClientOptions{.self = self, .sourceIp = addressOf(index).ip});
        heartbeats = std::make_unique<Heartbeats>(fleet, *client, Millis(1000));
        sync = std::make_unique<ConfigSync>(
                store, fleet, *client,
                ConfigSyncOptions{.selfId = self.memberId, .readWait = Millis(50)});
    }

    ~Daemon()
    {
        stopping = true;
        for (std::jthread &thread : threads)
            thread.join();
        server->stop();
    }

    bool start()
    {
        if (!capture([&] { return server->start(); }))
            return false;
        threads.emplace_back([this] {
            for (; !stopping; std::this_thread::sleep_for(Millis(20)))
                heartbeats->tick(steadyNow());
        });
        threads.emplace_back([this] {
            while (!stopping)
                sync->runReader();
        });
        threads.emplace_back([this] {
            while (!stopping)
                sync->runRepair();
        });
        return true;
    }

    PeerHandlers handlers()
    {
        PeerHandlers handlers;
        handlers.accept = [this](const std::string &id, const std::string &ip) {
            return fleet.isKnownMember(id, ip);
        };
        handlers.heartbeat
                = [this](const Digest &digest) { return fleet.applyDigest(digest, steadyNow()); };
        handlers.noteStream = [](const auto &, const auto &) {};
        handlers.findStream = [](const auto &) { return std::nullopt; };
        handlers.pushConfig = [this](const std::string &update) {
            if (auto decoded = capture([&] { return decodeUpdate(update); }))
                store.applyPushed(*decoded);
            return store.nextOffset().value_or(0);
        };
        handlers.pullConfig = [this](Offset from) { return encodeUpdate(store.updateSince(from)); };
        handlers.claim = [](const std::string &batch) { return Expected<std::string>(batch); };
        handlers.runQuery = handlers.claim;
        handlers.dump = [] { return Expected<std::string>(std::string()); };
        return handlers;
    }

    std::atomic<bool> stopping = false;
    LogConfigStore store;
    FleetTable fleet;
    PeerLoop loop;
    std::unique_ptr<PeerServer> server;
    std::unique_ptr<PeerClient> client;
    std::unique_ptr<Heartbeats> heartbeats;
    std::unique_ptr<ConfigSync> sync;
    std::vector<std::jthread> threads;
};

Command create(const std::string &id)
{
    return {id, "operator", CommandVerb::Create, EntityKind::Service, id, {}, 0, id};
}

} // namespace

TEST_GROUP(ConfigSync){};

// Guards against a failure domain that keeps an old configuration, or starts with none, because
// its own way to the log is cut.
TEST(ConfigSync, aDomainCutFromTheLogGetsTheConfigurationFromItsPeers)
{
    FakeLog log;
    FakeLog unreachable;
    unreachable.setDown(true);
    Daemon first(1, log);
    Daemon second(2, unreachable);
    Daemon third(3, unreachable);
    CHECK_TRUE(first.start() && second.start() && third.start());
    for (int i = 0; i < 5; ++i) {
        const TimePoint deadline = steadyNow() + kSpreadLimit;
        const auto verdict = capture(
                [&] { return first.store.submit(create("s" + std::to_string(i)), deadline); });
        CHECK_TRUE(verdict && verdict->accepted);
        CHECK_TRUE(second.store.waitForOffset(verdict->version, deadline));
        CHECK_TRUE(third.store.waitForOffset(verdict->version, deadline));
    }
    // A command is refused, and nothing reverts, when the log is down for everyone.
    log.setDown(true);
    const auto refused = capture(
            [&] { return first.store.submit(create("late"), steadyNow() + Millis(200)); });
    CHECK_TRUE(!refused && refused.error().code == ErrorCode::Unavailable);
    CHECK_EQUAL(5U, third.store.current()->services.size());
}
