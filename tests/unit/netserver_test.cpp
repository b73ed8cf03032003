// Tests of the event-driven HTTP server over loopback, with blocking sockets as callers.

#include "net/server.h"
#include "support/eventually.h"
#include "support/network.h"

#include <CppUTest/TestHarness.h>
#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

constexpr Millis kIdleTimeout{80};
constexpr Millis kWaitLimit{3000};
constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_GROUP(NetServer)
{
    asio::io_context context;
    AddressPool addresses;
    Address address = addresses.next();
    std::string body = "answer";
    std::unique_ptr<AsyncHttpServer> server;
    std::vector<asio::ip::tcp::socket> callers;

    void setup() override
    {
        server = std::make_unique<AsyncHttpServer>(
                context, ServerOptions{.address = address, .idleTimeout = kIdleTimeout},
                [this](const auto &caller, const HttpRequest &) {
                    // An answer on a later turn of the event loop, as that of an endpoint.
                    const auto timer = std::make_shared<asio::steady_timer>(context, Millis(5));
                    timer->async_wait([this, timer, caller](const asio::error_code &) {
                        caller->respond(200, {}, body);
                    });
                });
        CHECK_TRUE(static_cast<bool>(capture([&] { return server->start(); })));
    }

    void teardown() override
    {
        callers.clear();
        server.reset();
    }

    void connect()
    {
        callers.emplace_back(context);
        callers.back().connect({asio::ip::make_address_v4(address.ip), address.port});
    }

    /// All bytes until the server closes the connection.
    std::string readAll(asio::ip::tcp::socket & caller)
    {
        std::string text;
        asio::error_code error;
        asio::read(caller, asio::dynamic_buffer(text), error);
        return text;
    }
};

// The event loop may be busy for longer than the idle timeout, and then finds timer and request
// together. More connections than one poll of the event loop reports are needed to show this.
TEST(NetServer, idleTimeoutDoesNotCloseAConnectionWithAnUnreadRequest)
{
    struct Case
    {
        const char *name;
        std::size_t firstBytes; ///< Of the request, sent when the timeout ends.
    };
    const Case cases[] = {{"whole request", kRequest.size()}, {"part of a request", 10}};
    constexpr std::size_t kConnections = 400;
    for (const Case &row : cases) {
        callers.clear();
        for (std::size_t i = 0; i < kConnections; ++i)
            connect();
        CHECK_TRUE(eventually(context, kWaitLimit,
                              [&] { return server->connections() >= kConnections; }));
        std::this_thread::sleep_for(kIdleTimeout + Millis(20));
        for (auto &caller : callers)
            asio::write(caller, asio::buffer(kRequest.substr(0, row.firstBytes)));
        eventually(context, Millis(30), [] { return false; });
        std::size_t answered = 0;
        for (auto &caller : callers) {
            asio::error_code ignored;
            asio::write(caller, asio::buffer(kRequest.substr(row.firstBytes)), ignored);
        }
        eventually(context, Millis(60), [] { return false; });
        for (auto &caller : callers) {
            asio::error_code error;
            answered += caller.available(error) > 0 && !error ? 1 : 0;
        }
        LONGS_EQUAL_TEXT(kConnections, answered, row.name);
        callers.clear();
        CHECK_TRUE(eventually(context, kWaitLimit, [&] { return server->connections() == 0; }));
    }
}

TEST(NetServer, closingAllConnectionsKeepsAnswersThatAreOnTheirWay)
{
    body.assign(400'000, 'x');
    connect();
    asio::write(callers[0], asio::buffer(kRequest));
    server->beginDrain();
    CHECK_TRUE(eventually(context, kWaitLimit, [&] {
        return server->connections() == 1 && callers[0].available() > 0
               && server->connectionsWithUnsentBytes() == 0;
    }));
    server->closeAll();
    const std::string answer = readAll(callers[0]);
    CHECK_TRUE(answer.ends_with(body));
}

// Guards against a process that ends while a caller's request or last answer is on its way.
TEST(NetServer, requestsAndAnswersOnTheirWayKeepTheServerInUse)
{
    const auto accept = [&] {
        CHECK_TRUE(eventually(context, kWaitLimit, [&] { return server->connections() == 1; }));
    };
    const auto send = [&](std::size_t bytes) {
        asio::write(callers[0], asio::buffer(kRequest.substr(0, bytes)));
    };
    struct Case
    {
        const char *name;
        bool inUse;
        std::function<void()> arrange;
    };
    const Case cases[] = {
            {"idle connection", false, accept},
            {"connection that is not accepted", true, [] {}},
            {"unread request", true,
             [&] {
                 accept();
                 send(kRequest.size());
             }},
            {"part of a request", true,
             [&] {
                 accept();
                 send(10);
                 eventually(context, Millis(20), [] { return false; });
             }},
            {"last answer", true,
             [&] {
                 server->beginDrain();
                 send(kRequest.size());
                 CHECK_TRUE(eventually(context, kWaitLimit,
                                       [&] { return callers[0].available() > 0; }));
             }},
    };
    for (const Case &row : cases) {
        connect();
        row.arrange();
        server->closeIdleConnections();
        CHECK_EQUAL_TEXT(row.inUse, server->inUse(), row.name);
        callers.clear();
        CHECK_TRUE_TEXT(eventually(context, kWaitLimit, [&] { return !server->inUse(); }),
                        row.name);
    }
}

// Guards against connections that are closed before the limit which their callers know by then.
TEST(NetServer, raisedTimeoutsApplyToConnectionsThatAlreadyWait)
{
    constexpr Millis kRaisedTimeout{600};
    struct Case
    {
        const char *name;
        std::size_t firstBytes; ///< Of the request, sent before the timeouts are raised.
    };
    const Case cases[] = {{"idle timeout", 0}, {"header timeout", 10}};
    for (const Case &row : cases) {
        server->setLimits({}, kIdleTimeout, kIdleTimeout);
        connect();
        asio::write(callers[0], asio::buffer(kRequest.substr(0, row.firstBytes)));
        const TimePoint begin = steadyNow();
        CHECK_TRUE(eventually(context, kWaitLimit, [&] { return server->connections() == 1; }));
        eventually(context, kIdleTimeout / 4, [] { return false; });
        server->setLimits({}, kRaisedTimeout, kRaisedTimeout);
        CHECK_TRUE(eventually(context, kWaitLimit, [&] { return server->connections() == 0; }));
        CHECK_TRUE_TEXT(steadyNow() - begin >= kRaisedTimeout, row.name);
        callers.clear();
    }
}

// Guards against a stop that closes a new connection while its first request is on the way.
TEST(NetServer, newConnectionsStayOpenForTheirFirstRequest)
{
    connect();
    CHECK_TRUE(eventually(context, kWaitLimit, [&] { return server->connections() == 1; }));
    server->beginDrain();
    server->closeIdleConnections();
    asio::error_code ignored;
    asio::write(callers[0], asio::buffer(kRequest), ignored);
    eventually(context, Millis(50), [] { return false; });
    CHECK_TRUE(readAll(callers[0]).starts_with("HTTP/1.1 200 "));
}

// Guards against requests that run although nobody can be told of them.
TEST(NetServer, requestsOfACallerThatHasLeftAreNotHandled)
{
    int handled = 0;
    std::shared_ptr<HttpServerConnection> first;
    const Address other = addresses.next();
    AsyncHttpServer held(context, {.address = other}, [&](const auto &caller, const HttpRequest &) {
        ++handled;
        first = caller;
    });
    CHECK_TRUE(static_cast<bool>(capture([&] { return held.start(); })));
    callers.emplace_back(context);
    callers[0].connect({asio::ip::make_address_v4(other.ip), other.port});
    asio::write(callers[0], asio::buffer(std::string(kRequest) + std::string(kRequest)));
    CHECK_TRUE(eventually(context, kWaitLimit, [&] { return handled == 1; }));
    eventually(context, Millis(20), [] { return false; });
    callers[0].set_option(asio::socket_base::linger(true, 0));
    callers[0].close();
    std::this_thread::sleep_for(Millis(20));
    first->respond(200, {}, body); // Finds that the connection is reset.
    eventually(context, Millis(50), [] { return false; });
    LONGS_EQUAL(1, handled);
    first.reset();
}

// Guards against a close without an answer, after which a caller can't know whether it may retry.
TEST(NetServer, requestThatDoesNotArriveInTimeIsAnswered)
{
    server->setLimits({}, kIdleTimeout, kIdleTimeout);
    struct Case
    {
        const char *name;
        std::string sent;
    };
    const Case cases[] = {
            {"part of the head", "GET / HT"},
            {"part of the body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc"},
    };
    for (const Case &row : cases) {
        connect();
        asio::write(callers[0], asio::buffer(row.sent));
        CHECK_TRUE_TEXT(eventually(context, kWaitLimit,
                                   [&] { return callers[0].available() > 0 || !server->inUse(); }),
                        row.name);
        std::string answer(callers[0].available(), '\0');
        asio::read(callers[0], asio::buffer(answer));
        CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 408 "), row.name);
        callers.clear();
        CHECK_TRUE(eventually(context, kWaitLimit, [&] { return server->connections() == 0; }));
    }
}

// Guards against kept connections on which the limits of an older configuration stay in force.
TEST(NetServer, changedLimitsApplyToTheNextRequestOfAConnection)
{
    const auto statusOf = [&](const std::string &request) {
        asio::write(callers[0], asio::buffer(request));
        CHECK_TRUE(eventually(context, kWaitLimit, [&] { return callers[0].available() > 0; }));
        std::string answer(callers[0].available(), '\0');
        asio::read(callers[0], asio::buffer(answer));
        return answer.substr(0, 12);
    };
    const std::string large = fmt::format(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n{}", std::string(2000, 'x'));
    server->setLimits({.maxBodyBytes = 1000}, kWaitLimit, kWaitLimit);
    connect();
    STRCMP_EQUAL("HTTP/1.1 200", statusOf(std::string(kRequest)).c_str());
    server->setLimits({.maxBodyBytes = 3000}, kWaitLimit, kWaitLimit);
    STRCMP_EQUAL("HTTP/1.1 200", statusOf(large).c_str());
    server->setLimits({.maxBodyBytes = 1000}, kWaitLimit, kWaitLimit);
    STRCMP_EQUAL("HTTP/1.1 413", statusOf(large).c_str());
}

TEST(NetServer, idleTimeoutDoesNotCutAnAnswerThatIsReadSlowly)
{
    body.assign(24 * 1024 * 1024, 'x');
    callers.emplace_back(context);
    callers[0].open(asio::ip::tcp::v4());
    callers[0].set_option(asio::socket_base::receive_buffer_size(256 * 1024));
    callers[0].connect({asio::ip::make_address_v4(address.ip), address.port});
    asio::write(callers[0], asio::buffer(kRequest));
    CHECK_TRUE(eventually(context, kWaitLimit,
                          [&] { return server->connectionsWithUnsentBytes() == 1; }));
    // The caller reads a part at a time, for longer than the idle timeout.
    std::vector<char> part(512 * 1024);
    std::size_t received = 0;
    const TimePoint limit = steadyNow() + kWaitLimit;
    while (received < body.size() && steadyNow() < limit) {
        eventually(context, kIdleTimeout / 16, [] { return false; });
        asio::error_code error;
        if (callers[0].available(error) > 0)
            received += callers[0].read_some(asio::buffer(part), error);
    }
    CHECK_TRUE(received >= body.size());
}
