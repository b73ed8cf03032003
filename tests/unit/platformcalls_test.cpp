// Calls to endpoints and to the store whose answers have no end, break off, or are no HTTP.

#include "base/log.h"
#include "net/server.h"
#include "platform/orderclient.h"
#include "platform/storeclient.h"
#include "support/eventually.h"
#include "support/heap.h"
#include "support/network.h"
#include "support/rawserver.h"

#include <CppUTest/TestHarness.h>
#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

constexpr Millis kCallTimeout{1900};
/// What one call may hold: the largest answer of the store in a string that grows by doubling.
constexpr std::size_t kMaxHeld = 8 * 1024 * 1024;
/// The server's own buffers.
constexpr std::size_t kServerBytes = 4 * 1024 * 1024;

struct Call
{
    using Done = std::function<void(bool isAnswer)>;

    const char *name;
    std::function<void(const Done &)> start;
};

} // namespace

TEST_GROUP(PlatformCalls)
{
    asio::io_context context;
    AddressPool addresses;
    Address address = addresses.next();
    std::string head;  ///< Of the answers.
    std::string piece; ///< Of their bodies; sent until the caller closes.
    AsyncHttpServer server{
            context, {.address = address}, [this](const auto &caller, const HttpRequest &) {
                caller->sendRaw(head);
                send(caller);
            }};
    UpstreamPool pool{context, {}};
    platform::HttpCallClient client{context, pool};
    platform::OrderClient orderClient{client};
    platform::StoreClient storeClient{client, address};
    OrderCalls orders = orderClient.calls();
    StoreCalls store = storeClient.calls();

    void setup() override
    {
        setLogLevel(LogLevel::Error);
    }

    void teardown() override
    {
        setLogLevel(LogLevel::Info);
    }

    void send(const std::shared_ptr<HttpServerConnection> &caller)
    {
        if (!caller->open())
            return;
        if (caller->unsentBytes() < piece.size())
            caller->sendRaw(piece);
        asio::post(context, [this, caller] { send(caller); });
    }

    /// One of each kind. An answer in time that is valid HTTP counts as an answer.
    std::vector<Call> callsOfAllKinds()
    {
        return {
                {"reserve",
                 [&](const Call::Done &done) {
                     orders.reserve(address, "i-1", "t1", 1000, Millis(1900), kCallTimeout,
                                    [done](const OrderReply &reply) {
                                        done(reply.outcome != OrderOutcome::Unknown);
                                    });
                 }},
                {"release",
                 [&](const Call::Done &done) {
                     orders.release(address, "i-1", "t1", kCallTimeout,
                                    [done](const OrderReply &reply) {
                                        done(reply.outcome != OrderOutcome::Unknown);
                                    });
                 }},
                {"report",
                 [&](const Call::Done &done) {
                     orders.askUse(address, "t1", kCallTimeout,
                                   [done](MemoryUse use) { done(use != MemoryUse::Unknown); });
                 }},
                {"read",
                 [&](const Call::Done &done) {
                     store.read("topic", 0, Millis(0), kCallTimeout,
                                [done](StoreFailure failure, const StorePage &) {
                                    done(failure != StoreFailure::NoAnswer);
                                });
                 }},
                {"newest",
                 [&](const Call::Done &done) {
                     store.newest("topic", {}, kCallTimeout,
                                  [done](StoreFailure failure, const StorePage &) {
                                      done(failure != StoreFailure::NoAnswer);
                                  });
                 }},
                {"put",
                 [&](const Call::Done &done) {
                     store.put("topic", "key", "value", kCallTimeout,
                               [done](StoreFailure failure, auto) {
                                   done(failure != StoreFailure::NoAnswer);
                               });
                 }},
        };
    }

    /// Whether the call got an answer; nothing if it did not end in time.
    std::optional<bool> runToEnd(const Call &call)
    {
        std::optional<bool> isAnswer;
        call.start([&](bool answer) { isAnswer = answer; });
        eventually(context, 2 * kCallTimeout, [&] { return isAnswer.has_value(); });
        return isAnswer;
    }
};

// Guards against keeping all bytes of an answer until the timeout of its call.
TEST(PlatformCalls, answersWithoutEndAreNeitherKeptNorReadForLong)
{
    CHECK_TRUE(static_cast<bool>(capture([this] { return server.start(); })));
    const std::string bytes(64 * 1024, 'x');
    struct Form
    {
        const char *name;
        const char *head;
        std::string piece;
    };
    const Form forms[] = {
            {"until the connection ends", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", bytes},
            {"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
             fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes)},
            {"of a large length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
             bytes},
    };
    for (const Call &call : callsOfAllKinds()) {
        for (const Form &form : forms) {
            head = form.head;
            piece = form.piece;
            const std::string name = fmt::format("{}, {}", call.name, form.name);
            const std::size_t before = bytesInUse();
            std::size_t peak = before;
            bool ended = false;
            bool isAnswer = true;
            const TimePoint begin = steadyNow();
            call.start([&](bool answer) {
                ended = true;
                isAnswer = answer;
            });
            eventually(context, 2 * kCallTimeout, [&] {
                peak = std::max(peak, bytesInUse());
                return ended;
            });
            CHECK_TRUE_TEXT(ended, name.c_str());
            CHECK_FALSE_TEXT(isAnswer, name.c_str());
            CHECK_TRUE_TEXT(steadyNow() - begin < kCallTimeout, name.c_str());
            CHECK_TRUE_TEXT(peak - before < kMaxHeld + kServerBytes,
                            fmt::format("{}: {} bytes", name, peak - before).c_str());
        }
    }
}

// Guards against a part of an answer, or one whose head is no HTTP, that counts as an answer of an
// endpoint or of the store.
TEST(PlatformCalls, answersThatBreakOffOrAreNoHttpAreNone)
{
    struct Form
    {
        const char *name;
        std::string text;
        bool resets;
        bool sound = false;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    // Valid for all of the calls, as far as they look at it.
    const std::string body
            = R"({"offset":0,"end":1,"free":1,"items":[],"tickets":[{"id":"t1","state":"used"}]})";
    const std::string page(16, '\0');
    const auto whole = [&](const std::string &text) {
        return fmt::format("Content-Length: {}\r\n\r\n{}", text.size(), text);
    };
    const Form forms[] = {
            {"sound", ok + whole(body), false, true},
            {"reset, no length", ok + "Connection: close\r\n\r\n" + body, true},
            {"reset, earlier version", "HTTP/1.0 200 OK\r\n\r\n" + body, true},
            {"status 000", "HTTP/1.1 000 OK\r\n" + whole(body), false},
            {"status 000, no body", "HTTP/1.1 000\r\n" + whole(""), false},
            {"status 000 before a sound answer", "HTTP/1.1 000 OK\r\n\r\n" + ok + whole(body),
             false},
            {"blank in a name", ok + "X A: y\r\n" + whole(body), false},
            {"blank after a name", ok + "X : y\r\n" + whole(body), false},
            {"control byte in a name", ok + "X\x01: y\r\n" + whole(body), false},
            {"tab in a name", ok + "X\tA: y\r\n" + whole(body), false},
            {"line feed in a name", ok + "X\nA: y\r\n" + whole(body), false},
            {"return in a name", ok + "X\rA: y\r\n" + whole(body), false},
    };
    RawServer raw(context, address);
    for (const Call &call : callsOfAllKinds()) {
        const bool isPage = std::string_view(call.name) == "read";
        for (const Form &form : forms) {
            const std::string name = fmt::format("{}, {}", call.name, form.name);
            raw.onRequest = [&](const RawServer::Received &request) {
                RawServer::write(request.connection,
                                 isPage && form.sound ? ok + whole(page) : form.text);
                if (form.resets)
                    RawServer::reset(request.connection);
            };
            const std::optional<bool> isAnswer = runToEnd(call);
            CHECK_TRUE_TEXT(isAnswer.has_value(), name.c_str());
            CHECK_EQUAL_TEXT(form.sound, *isAnswer, name.c_str());
        }
    }
}
