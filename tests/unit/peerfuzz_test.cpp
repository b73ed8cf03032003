// Mutated bytes for the RPC server that other machines can reach. Guards against bytes that end the
// process, hang the RPC thread or keep connections for ever.

#include "peer/peerclient.h"
#include "peer/peerserver.h"
#include "support/eventually.h"
#include "support/mutate.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

// Last, because it replaces new by a macro that the standard headers do not survive.
#include <CppUTest/TestHarness.h>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

const Address kServer{"127.78.0.1", 23'310};
const Address kRecorder{"127.78.0.2", 23'311};
constexpr std::size_t kConnections = 32;

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// The first bytes that a client sends: a bootstrap and a hello.
std::string recordedHello(PeerClient &client)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socketAddress(kRecorder);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return "";
    listen(listener, 1);
    std::jthread caller([&] {
        (void)capture([&] { return client.runQuery({"m2", kRecorder}, "{}", Millis(400)); });
    });
    const int connection = accept(listener, nullptr, nullptr);
    std::string bytes;
    char buffer[4096];
    const timeval limit{0, 200'000};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    for (ssize_t n = 0; (n = recv(connection, buffer, sizeof buffer, 0)) > 0;)
        bytes.append(buffer, static_cast<std::size_t>(n));
    caller.join();
    close(connection);
    close(listener);
    return bytes;
}

void sendBytes(const std::string &bytes)
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = socketAddress(kServer);
    if (connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        (void)!send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    close(connection);
}

} // namespace

TEST_GROUP(PeerFuzz){};

TEST(PeerFuzz, mutatedBytesNeverStopTheServer)
{
    PeerHandlers handlers;
    handlers.accept = [](const std::string &id, const std::string &) { return id == "m1"; };
    handlers.heartbeat = [](const Digest &) { return DigestReply{}; };
    handlers.noteStream = [](const std::string &, const std::string &) {};
    handlers.findStream = [](const std::string &) { return std::optional<std::string>(); };
    handlers.pushConfig = [](const std::string &) { return Offset(0); };
    handlers.pullConfig = [](Offset) { return std::string(); };
    handlers.claim = [](const std::string &) { return Expected<std::string>(std::string()); };
    handlers.runQuery
            = [](const std::string &) { return Expected<std::string>(std::string("ok")); };
    handlers.dump = [] { return Expected<std::string>(std::string()); };
    PeerLoop loop;
    PeerServer server(loop,
                      {.self = {"m2", "i2"}, .address = kServer, .maxConnections = kConnections},
                      handlers);
    CHECK_TRUE(static_cast<bool>(capture([&] { return server.start(); })));
    PeerClient client(loop, {.self = {"m1", "i1"}, .sourceIp = "127.78.0.3"});
    const std::string hello = recordedHello(client);
    CHECK_TRUE(hello.size() > 16);
    // The first words of a message state the number and the sizes of its segments.
    std::string hugeSegment = hello;
    hugeSegment.replace(4, 4, "\xff\xff\xff\x7f");
    std::string manySegments = hello;
    manySegments.replace(0, 4, "\xff\xff\xff\xff");
    const std::size_t runs = fuzz(21, {hello, hugeSegment, manySegments}, sendBytes);
    CHECK_TRUE(runs > 20);
    CHECK_TRUE_TEXT(eventually(Millis(5000), [&] { return server.connections() <= 1; }),
                    "connections of strangers are given up");
    const auto answer = capture([&] {
        return client.runQuery({"m2", kServer}, "{}", Millis(2000));
    });
    CHECK_TRUE_TEXT(static_cast<bool>(answer), "the server still answers a member");
    server.stop();
}
