#include "peer/peerclient.h"
#include "peer/peerserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <thread>

// Last, because it replaces new by a macro that the standard headers do not survive.
#include <CppUTest/TestHarness.h>

using namespace cicadafork;

namespace {

constexpr Millis kTimeout{2000};
/// Of calls that are expected to time out.
constexpr Millis kShort{150};

Address addressOf(int index)
{
    return {"127.77.0." + std::to_string(index), static_cast<std::uint16_t>(23'100 + index)};
}

std::string nameOf(int index)
{
    return "m" + std::to_string(index);
}

/// A daemon's peer layer with handlers that answer something recognisable.
struct Node
{
    explicit Node(int index)
        : index(index)
    {
        PeerHandlers handlers;
        handlers.accept = [this](const std::string &id, const std::string &ip) {
            return accepting && id.starts_with("m") && ip == addressOf(std::stoi(id.substr(1))).ip;
        };
        handlers.heartbeat = [this](const Digest &digest) {
            last = digest;
            return DigestReply{"i" + std::to_string(this->index), Millis(77), 5};
        };
        handlers.noteStream = [this](const std::string &request, const std::string &endpoint) {
            streams[request] = endpoint;
        };
        handlers.findStream = [this](const std::string &request) {
            const auto found = streams.find(request);
            return found == streams.end() ? std::nullopt : std::optional(found->second);
        };
        handlers.pushConfig = [](const std::string &update) { return Offset(update.size()); };
        handlers.pullConfig = [](Offset from) { return "from " + std::to_string(from); };
        handlers.claim = [this](const std::string &batch) -> Expected<std::string> {
            std::this_thread::sleep_for(Millis(claimDelay));
            return batch + '\0' + "verdict";
        };
        handlers.runQuery = [](const std::string &text) -> Expected<std::string> {
            return Error{ErrorCode::InvalidArgument, "bad " + text, "write it well"};
        };
        handlers.dump = []() -> Expected<std::string> { return std::string("{}"); };
        server = std::make_unique<PeerServer>(
                loop, PeerServerOptions{.self = self(), .address = addressOf(index)}, handlers);
        client = std::make_unique<PeerClient>(
                loop, PeerClientOptions{.self = self(), .sourceIp = addressOf(index).ip});
    }

    PeerIdentity self() const { return {nameOf(index), "i" + std::to_string(index)}; }
    PeerTarget target() const { return {nameOf(index), addressOf(index)}; }
    bool start()
    {
        return static_cast<bool>(capture([&] { return server->start(); }));
    }

    /// Holds up the RPC thread, as a stopped process does, until the future is ready.
    void freeze(std::shared_future<void> until)
    {
        std::promise<void> frozen;
        freezer = std::jthread([this, until, &frozen] {
            loop.run([&] {
                frozen.set_value();
                until.wait();
            });
        });
        frozen.get_future().wait();
    }

    ~Node()
    {
        if (freezer.joinable())
            freezer.join();
    }

    int index;
    std::atomic<bool> accepting = true;
    std::atomic<int> claimDelay = 0;
    Digest last;
    std::map<std::string, std::string> streams;
    std::jthread freezer;
    PeerLoop loop;
    std::unique_ptr<PeerServer> server;
    std::unique_ptr<PeerClient> client;
};

Expected<HeartbeatAnswer> heartbeat(Node &from, const Node &to, Millis timeout,
                                    const Digest &digest)
{
    std::promise<Expected<HeartbeatAnswer>> answer;
    from.client->heartbeats({{to.target().id, to.target().address, digest, steadyNow()}}, timeout,
                            [&](const auto &, const auto &result) { answer.set_value(result); });
    return answer.get_future().get();
}

std::string codeOf(const auto &outcome)
{
    return outcome ? "ok" : toString(outcome.error().code);
}

auto claim(Node &from, const PeerTarget &to, Millis timeout)
{
    return capture([&] { return from.client->claim(to, "batch", timeout); });
}

Digest fullDigest()
{
    Digest digest{"m1", "i1", 9, true, Millis(120), 44, 3, "i2", Millis(55), Millis(6), {}, {}, {}};
    EndpointStatus status{"x", true, "decode", {"a", "b"}, 1, 2, 3, 4, 5, -6};
    digest.reports.push_back({"e1", Millis(7), status});
    digest.sent.push_back({"e2", 8, 9});
    digest.members.push_back({"m3", "i3", Millis(10), true, 11});
    return digest;
}

} // namespace

TEST_GROUP(Peer){};

// Guards against fields that are lost or swapped on the wire.
TEST(Peer, everyMessageArrivesWhole)
{
    Node a(1);
    Node b(2);
    CHECK_TRUE(a.start() && b.start());
    const PeerTarget to = b.target();
    const auto beat = heartbeat(a, b, kTimeout, fullDigest());
    STRCMP_EQUAL("ok", codeOf(beat).c_str());
    STRCMP_EQUAL("i2", beat->reply.incarnation.c_str());
    CHECK_EQUAL(77, beat->reply.clock.count());
    CHECK_EQUAL(5U, beat->reply.configOffset);
    CHECK_TRUE(beat->bytes > 300);
    const Digest &got = b.last;
    CHECK_TRUE(got.memberId == "m1" && got.incarnation == "i1" && got.sequence == 9);
    CHECK_TRUE(got.leaving && got.interval == Millis(120) && got.configOffset == 44);
    CHECK_TRUE(got.requestsInProgress == 3 && got.echoIncarnation == "i2");
    CHECK_TRUE(got.echoClock == Millis(55) && got.echoAge == Millis(6));
    CHECK_TRUE(got.reports[0].endpointId == "e1" && got.reports[0].age == Millis(7));
    const EndpointStatus &status = got.reports[0].status;
    CHECK_TRUE(status.incarnation == "x" && status.leaving && status.role == "decode");
    CHECK_TRUE(status.models == (std::vector<std::string>{"a", "b"}) && status.running == 1);
    CHECK_TRUE(status.waiting == 2 && status.waitingTokens == 3 && status.kvUsedTokens == 4);
    CHECK_TRUE(status.kvCapacityTokens == 5 && status.reportedAtMs == -6);
    CHECK_TRUE(got.sent[0].endpointId == "e2" && got.sent[0].requests == 8);
    CHECK_TRUE(got.sent[0].tokens == 9 && got.members[0].id == "m3");
    CHECK_TRUE(got.members[0].incarnation == "i3" && got.members[0].age == Millis(10));
    CHECK_TRUE(got.members[0].leaving && got.members[0].configOffset == 11);

    const auto pushed = capture([&] { return a.client->pushConfig(to, "12345", kTimeout); });
    CHECK_EQUAL(5U, *pushed);
    const auto pulled = capture([&] { return a.client->pullConfig(to, 17, kTimeout); });
    STRCMP_EQUAL("from 17", pulled->c_str());
    CHECK_TRUE(*claim(a, to, kTimeout) == std::string("batch\0verdict", 13));
    CHECK_TRUE(static_cast<bool>(
            capture([&] { return a.client->noteStream(to, "r1", "e5", kTimeout); })));
    const auto found = capture([&] { return a.client->findStream(to, "r1", kTimeout); });
    STRCMP_EQUAL("e5", found->value().c_str());
    const auto missing = capture([&] { return a.client->findStream(to, "r2", kTimeout); });
    CHECK_FALSE(missing->has_value());
    const auto query = capture([&] { return a.client->runQuery(to, "query", kTimeout); });
    STRCMP_EQUAL("invalid_argument", codeOf(query).c_str());
    STRCMP_EQUAL("bad query", query.error().message.c_str());
    STRCMP_EQUAL("write it well", query.error().remedy.c_str());
    const auto dump = capture([&] { return a.client->dump(to, kTimeout); });
    STRCMP_EQUAL("{}", dump->c_str());
    CHECK_EQUAL_TEXT(1U, b.server->connections(), "all calls share one connection");
}

// Guards against a frozen peer that delays calls to others, and against a cut link that is kept.
TEST(Peer, frozenPeerTimesOutAloneAndIsReachedAgain)
{
    Node a(3);
    Node b(4);
    Node c(5);
    CHECK_TRUE(a.start() && b.start() && c.start());
    STRCMP_EQUAL("ok", codeOf(claim(a, b.target(), kTimeout)).c_str());
    std::promise<void> thaw;
    b.freeze(thaw.get_future().share());
    auto toFrozen = std::async(std::launch::async, [&] { return claim(a, b.target(), kShort); });
    Millis slowest{0};
    for (int i = 0; i < 50; ++i) {
        const TimePoint began = steadyNow();
        STRCMP_EQUAL("ok", codeOf(claim(a, c.target(), kTimeout)).c_str());
        slowest = std::max(slowest, std::chrono::duration_cast<Millis>(steadyNow() - began));
    }
    CHECK_TRUE_TEXT(slowest < kShort, "a frozen peer delayed another");
    STRCMP_EQUAL("deadline_exceeded", codeOf(toFrozen.get()).c_str());
    const TimePoint began = steadyNow();
    STRCMP_EQUAL_TEXT("unavailable", codeOf(claim(a, b.target(), kShort)).c_str(), "backoff");
    CHECK_TRUE(steadyNow() - began < kShort);
    thaw.set_value();
    std::string last;
    for (int i = 0; i < 100 && last != "ok"; ++i) {
        std::this_thread::sleep_for(Millis(20));
        last = codeOf(claim(a, b.target(), kTimeout));
    }
    STRCMP_EQUAL("ok", last.c_str());
}

// Guards against a slow handler that costs the connection its other calls.
TEST(Peer, slowHandlerDoesNotCloseTheConnection)
{
    Node a(6);
    Node b(7);
    CHECK_TRUE(a.start() && b.start());
    STRCMP_EQUAL("ok", codeOf(claim(a, b.target(), kTimeout)).c_str());
    b.claimDelay = 300;
    auto slow = std::async(std::launch::async, [&] { return claim(a, b.target(), kShort); });
    std::this_thread::sleep_for(Millis(50));
    Digest digest;
    digest.memberId = "m6";
    STRCMP_EQUAL("ok", codeOf(heartbeat(a, b, kTimeout, digest)).c_str());
    STRCMP_EQUAL("deadline_exceeded", codeOf(slow.get()).c_str());
    STRCMP_EQUAL("ok", codeOf(heartbeat(a, b, kShort, digest)).c_str());
    CHECK_EQUAL(1U, b.server->connections());
}

// Guards against strangers, and against a member that speaks for another.
TEST(Peer, onlyKnownMembersAtTheirAddressAreServed)
{
    struct Case
    {
        const char *name;
        std::string id;
        int source;
        std::string expected;
    };
    Node b(8);
    CHECK_TRUE(b.start());
    const std::vector<Case> cases = {{"member", "m9", 9, "ok"},
                                     {"other address", "m9", 10, "internal"},
                                     {"unknown id", "x9", 9, "internal"}};
    for (const Case &c : cases) {
        PeerLoop loop;
        PeerClient client(loop, {.self = {c.id, "i"}, .sourceIp = addressOf(c.source).ip});
        const auto answer = capture([&] { return client.claim(b.target(), "batch", kTimeout); });
        STRCMP_EQUAL_TEXT(c.expected.c_str(), codeOf(answer).c_str(), c.name);
    }
    Node a(9);
    Digest foreign;
    foreign.memberId = "m10";
    STRCMP_EQUAL("internal", codeOf(heartbeat(a, b, kTimeout, foreign)).c_str());
    STRCMP_EQUAL("ok", codeOf(claim(a, b.target(), kTimeout)).c_str());
    b.accepting = false;
    STRCMP_EQUAL_TEXT("internal", codeOf(claim(a, b.target(), kTimeout)).c_str(),
                      "left the list on an open connection");
    const auto wrong = claim(a, {"m4", b.target().address}, kTimeout);
    CHECK_FALSE_TEXT(static_cast<bool>(wrong), "another member answered");
}

// Guards against a peer that is lost for good after a restart, and against garbage on the port.
TEST(Peer, connectionsComeBackAfterARestart)
{
    Node a(11);
    auto b = std::make_unique<Node>(12);
    const PeerTarget to = b->target();
    STRCMP_EQUAL_TEXT("unavailable", codeOf(claim(a, to, kShort)).c_str(), "not started");
    CHECK_TRUE(b->start());
    {
        Node twin(12);
        CHECK_FALSE_TEXT(twin.start(), "address in use");
    }
    const int stranger = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.address.port);
    inet_pton(AF_INET, to.address.ip.c_str(), &address.sin_addr);
    CHECK_EQUAL(0, connect(stranger, reinterpret_cast<sockaddr *>(&address), sizeof address));
    CHECK_EQUAL(16, send(stranger, "GET / HTTP/1.1\r\n", 16, MSG_NOSIGNAL));
    for (int round = 0; round < 3; ++round) {
        std::string last;
        for (int i = 0; i < 100 && last != "ok"; ++i) {
            last = codeOf(claim(a, to, kTimeout));
            std::this_thread::sleep_for(Millis(20));
        }
        STRCMP_EQUAL("ok", last.c_str());
        b = nullptr;
        CHECK_FALSE(static_cast<bool>(claim(a, to, kShort)));
        b = std::make_unique<Node>(12);
        CHECK_TRUE(b->start());
    }
    close(stranger);
}
