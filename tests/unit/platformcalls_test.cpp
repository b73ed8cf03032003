// Calls to endpoints and to the store whose answers have no end.

#include "base/log.h"
#include "net/server.h"
#include "platform/orderclient.h"
#include "platform/storeclient.h"
#include "support/eventually.h"
#include "support/heap.h"
#include "support/network.h"

#include <CppUTest/TestHarness.h>
#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <string>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

constexpr Millis kCallTimeout{1900};
/// What one call may hold: the largest answer of the store in a string that grows by doubling.
constexpr std::size_t kMaxHeld = 8 * 1024 * 1024;
/// The server's own buffers.
constexpr std::size_t kServerBytes = 4 * 1024 * 1024;

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
        CHECK_TRUE(static_cast<bool>(capture([this] { return server.start(); })));
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
};

// Guards against keeping all bytes of an answer until the timeout of its call.
TEST(PlatformCalls, answersWithoutEndAreNeitherKeptNorReadForLong)
{
    using Done = std::function<void(bool isAnswer)>;
    struct Call
    {
        const char *name;
        std::function<void(const Done &)> start;
    };
    const Call calls[] = {
            {"reserve",
             [&](const Done &done) {
                 orders.reserve(address, "i-1", "t1", 1000, Millis(1900), kCallTimeout,
                                [done](const OrderReply &reply) {
                                    done(reply.outcome != OrderOutcome::Unknown);
                                });
             }},
            {"release",
             [&](const Done &done) {
                 orders.release(address, "i-1", "t1", kCallTimeout,
                                [done](const OrderReply &reply) {
                                    done(reply.outcome != OrderOutcome::Unknown);
                                });
             }},
            {"report",
             [&](const Done &done) {
                 orders.askUse(address, "t1", kCallTimeout,
                               [done](MemoryUse use) { done(use != MemoryUse::Unknown); });
             }},
            {"read",
             [&](const Done &done) {
                 store.read("topic", 0, Millis(0), kCallTimeout,
                            [done](StoreFailure failure, const StorePage &) {
                                done(failure != StoreFailure::NoAnswer);
                            });
             }},
            {"newest",
             [&](const Done &done) {
                 store.newest("topic", {}, kCallTimeout,
                              [done](StoreFailure failure, const StorePage &) {
                                  done(failure != StoreFailure::NoAnswer);
                              });
             }},
            {"put",
             [&](const Done &done) {
                 store.put("topic", "key", "value", kCallTimeout,
                           [done](StoreFailure failure, auto) {
                               done(failure != StoreFailure::NoAnswer);
                           });
             }},
    };
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
    for (const Call &call : calls) {
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
