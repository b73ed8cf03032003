// Tests of the event-driven HTTP server over loopback, with blocking sockets as callers.

#include "net/server.h"
#include "net/upstream.h"
#include "support/eventually.h"
#include "support/heap.h"
#include "support/network.h"

#include <CppUTest/TestHarness.h>
#include <asio/connect.hpp>
#include <asio/local/connect_pair.hpp>
#include <asio/local/stream_protocol.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
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

/// Leaves this process only a number of further descriptors.
class FewerDescriptors
{
public:
    explicit FewerDescriptors(rlim_t left)
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int next = dup(STDIN_FILENO);
        close(next);
        const rlimit limit{static_cast<rlim_t>(next) + left, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~FewerDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
    FewerDescriptors(const FewerDescriptors &) = delete;
    FewerDescriptors &operator=(const FewerDescriptors &) = delete;

private:
    rlimit before_{};
};

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
        start({.address = address, .idleTimeout = kIdleTimeout});
    }

    void start(const ServerOptions &options)
    {
        server.reset();
        server = std::make_unique<AsyncHttpServer>(
                context, options, [this](const auto &caller, const HttpRequest &) {
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

    void connectAndSend(std::string_view text)
    {
        connect();
        asio::write(callers.back(), asio::buffer(text));
    }

    /// All bytes until the server closes the connection.
    std::string readAll(asio::ip::tcp::socket & caller)
    {
        std::string text;
        asio::error_code error;
        asio::read(caller, asio::dynamic_buffer(text), error);
        return text;
    }

    /// The same while this thread runs the server.
    std::string readAllWhileServing(asio::ip::tcp::socket & caller)
    {
        std::string text;
        bool ended = false;
        asio::async_read(caller, asio::dynamic_buffer(text),
                         [&](const asio::error_code &, std::size_t) { ended = true; });
        CHECK_TRUE(eventually(context, kWaitLimit, [&] { return ended; }));
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

// Guards against the reset of a connection by a queued handler of its idle timer: the caller may
// still send, and a reset may discard the answer before it has been read.
TEST(NetServer, idleTimeoutDoesNotCloseAConnectionWhoseRequestWasJustRefused)
{
    connect();
    CHECK_TRUE(eventually(context, kWaitLimit, [&] { return server->connections() == 1; }));
    std::this_thread::sleep_for(kIdleTimeout + Millis(20));
    asio::write(callers[0], asio::buffer(std::string_view("malformed\r\n\r\n")));
    CHECK_TRUE(eventually(context, kWaitLimit, [&] { return callers[0].available() > 0; }));
    eventually(context, Millis(20), [] { return false; });
    LONGS_EQUAL(1, server->connections());
    std::string answer;
    asio::error_code error;
    asio::read(callers[0], asio::dynamic_buffer(answer), error);
    STRCMP_CONTAINS("HTTP/1.1 400", answer.c_str());
    callers.clear();
    CHECK_TRUE(eventually(context, kWaitLimit, [&] { return server->connections() == 0; }));
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

// Guards against a whole request that gets no answer because the server drains.
TEST(NetServer, drainingServerAnswersAllRequestsThatHaveArrived)
{
    constexpr std::size_t kPipelined = 3;
    connect();
    for (std::size_t i = 0; i < kPipelined; ++i)
        asio::write(callers[0], asio::buffer(kRequest));
    server->beginDrain();
    const std::string text = readAllWhileServing(callers[0]);
    std::size_t answers = 0;
    for (std::size_t at = text.find("200 OK"); at != std::string::npos;
         at = text.find("200 OK", at + 1))
        ++answers;
    LONGS_EQUAL(kPipelined, answers);
    CHECK_TRUE(text.find("Connection: close") > text.rfind("200 OK"));
}

// Guards against work for a caller that is gone: nobody would get the answer or cancel the request.
TEST(NetServer, pipelinedRequestOfAClosedConnectionIsNotHandled)
{
    unsigned handled = 0;
    server = std::make_unique<AsyncHttpServer>(context, ServerOptions{.address = addresses.next()},
                                               [&](const auto &caller, const HttpRequest &) {
                                                   ++handled;
                                                   caller->respond(200, {}, body);
                                                   server->closeAll();
                                               });
    CHECK_TRUE(static_cast<bool>(capture([&] { return server->start(); })));
    address = server->options().address;
    connectAndSend(std::string(kRequest) + std::string(kRequest));
    eventually(context, kIdleTimeout, [] { return false; });
    LONGS_EQUAL(1, handled);
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
            {"new connection", true, accept},
            {"idle connection", false,
             [&] {
                 send(kRequest.size());
                 CHECK_TRUE(eventually(context, kWaitLimit,
                                       [&] { return callers[0].available() > 0; }));
             }},
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

// Guards against large bodies that take the process over its memory, and against small requests
// that are refused beside them.
TEST(NetServer, largeBodiesFindRoomOrAreRefused)
{
    struct Case
    {
        const char *name;
        std::size_t limit;
        std::size_t used; ///< By other requests.
        std::size_t body;
        bool chunks;
        bool served;
    };
    constexpr std::size_t kLarge = 100'000;
    const Case cases[] = {
            {"within the limit", 250'000, 100'000, kLarge, false, true},
            {"beyond the limit", 250'000, 200'000, kLarge, false, false},
            {"chunks within the limit", 400'000, 100'000, kLarge, true, true},
            {"chunks that may pass the limit", 400'000, 200'000, kLarge, true, false},
            {"small", 250'000, 250'000, 600, false, true},
            {"small, in chunks", 250'000, 250'000, 600, true, true},
            {"no limit", 0, 250'000, kLarge, false, true},
    };
    for (const Case &row : cases) {
        BodyRoom room{.limit = row.limit, .used = row.used};
        std::optional<Millis> roomIn;
        start({.address = address,
               .limits = {.maxBodyBytes = 250'000},
               .serverAnswers =
                       [&](const ServerAnswer &answer) {
                           roomIn = answer.roomIn;
                           return HeaderList();
                       },
               .bodyRoom = &room});
        const std::string content(row.body, 'x');
        const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
        connectAndSend(row.chunks
                               ? fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0"
                                             "\r\n\r\n",
                                             head, content.size(), content)
                               : fmt::format("{}Content-Length: {}\r\n\r\n{}", head, content.size(),
                                             content));
        const std::string answer = readAllWhileServing(callers.back());
        STRCMP_EQUAL_TEXT(row.served ? "HTTP/1.1 200" : "HTTP/1.1 503",
                          answer.substr(0, 12).c_str(), row.name);
        CHECK_EQUAL_TEXT(!row.served, roomIn.has_value(), row.name);
        LONGS_EQUAL_TEXT(row.used, room.used, row.name);
        callers.clear();
        server.reset();
    }
}

// Guards against a caller that gets neither an answer nor a refusal because its request is slow.
TEST(NetServer, requestThatDoesNotArriveInFullIsAnswered)
{
    struct Case
    {
        const char *name;
        std::string sent;
        std::string_view answer;
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n";
    const Case cases[] = {{"nothing", "", ""},
                          {"part of the head", head.substr(0, 20), "HTTP/1.1 408 "},
                          {"head", head, "HTTP/1.1 408 "},
                          {"part of the body", head + "part", "HTTP/1.1 408 "}};
    server->setLimits({}, kIdleTimeout, kIdleTimeout);
    for (const Case &row : cases) {
        connect();
        asio::write(callers[0], asio::buffer(row.sent));
        const std::string text = readAllWhileServing(callers[0]);
        STRCMP_EQUAL_TEXT(std::string(row.answer).c_str(),
                          text.substr(0, row.answer.size()).c_str(), row.name);
        CHECK_EQUAL_TEXT(row.answer.empty(), text.empty(), row.name);
        CHECK_EQUAL_TEXT(!row.answer.empty(),
                         text.find("Connection: close\r\n") != std::string::npos, row.name);
        callers.clear();
    }
}

// Guards against a request that is given up although its body arrives steadily, and against one
// that holds its connection without end.
TEST(NetServer, slowRequestsHaveALimitForTheHeadForPausesAndInAll)
{
    struct Case
    {
        const char *name;
        std::string start; ///< Sent at once; the rest comes a byte at a time.
        std::size_t rest;
        std::string_view answer;
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n";
    const std::string longHead = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n";
    const Case cases[] = {{"body", head, 20, "HTTP/1.1 200 "},
                          {"long body", longHead, 200, "HTTP/1.1 408 "},
                          {"head", "POST / HTTP/1.1\r\nHost: ", 20, "HTTP/1.1 408 "}};
    constexpr Millis kRequestTimeout = 20 * kIdleTimeout;
    start({.address = address, .headerTimeout = kIdleTimeout, .requestTimeout = kRequestTimeout});
    for (const Case &row : cases) {
        connectAndSend(row.start);
        std::size_t sent = 0;
        const auto answered = [&] {
            asio::error_code error;
            return callers[0].available(error) > 0 || error;
        };
        asio::error_code closed;
        while (!closed && sent < row.rest && !eventually(context, kIdleTimeout / 4, answered))
            sent += asio::write(callers[0], asio::buffer("x", 1), closed);
        CHECK_TRUE_TEXT(eventually(context, kWaitLimit, answered), row.name);
        std::string answer(row.answer.size(), ' ');
        asio::error_code error;
        asio::read(callers[0], asio::buffer(answer), error);
        STRCMP_EQUAL_TEXT(std::string(row.answer).c_str(), answer.c_str(), row.name);
        callers.clear();
    }
}

// Guards against a connection above the limit that is closed without a word.
TEST(NetServer, requestsOnConnectionsAboveTheLimitAreRefused)
{
    struct Case
    {
        const char *name;
        std::string sent;
        bool refused = true;
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n";
    const Case cases[] = {{"whole request", std::string(kRequest)},
                          {"head without its body", head},
                          {"part of a long body", head + std::string(300'000, 'x')},
                          {"part of the head", "GET / HT"},
                          {"nothing", "", false}};
    start({.address = address, .maxConnections = 1});
    connect();
    CHECK_TRUE(eventually(context, kWaitLimit, [&] { return server->connections() == 1; }));
    for (const Case &row : cases) {
        connectAndSend(row.sent);
        const std::string text = readAllWhileServing(callers[1]);
        CHECK_EQUAL_TEXT(row.refused, text.starts_with("HTTP/1.1 503 "), row.name);
        CHECK_EQUAL_TEXT(row.refused, text.find("Connection: close\r\n") != std::string::npos,
                         row.name);
        callers.pop_back();
    }
    // A kept connection still works, and its end makes room for another one.
    asio::write(callers[0], asio::buffer(kRequest));
    CHECK_TRUE(eventually(context, kWaitLimit, [&] { return callers[0].available() > 0; }));
    callers.clear();
    CHECK_TRUE(eventually(context, kWaitLimit, [&] { return server->connections() == 0; }));
    connectAndSend(kRequest);
    CHECK_TRUE(eventually(context, kWaitLimit, [&] { return callers[0].available() > 0; }));
    std::string answer(12, ' ');
    asio::read(callers[0], asio::buffer(answer));
    STRCMP_EQUAL("HTTP/1.1 200", answer.c_str());
}

// Guards against refusals that use up memory and descriptors, and against callers left over.
TEST(NetServer, fewConnectionsAreRefusedAtATimeAndAllInTheEnd)
{
    constexpr std::size_t kConnections = 100;
    constexpr std::size_t kRefusedAtATime = 4;
    start({.address = address, .maxConnections = 0, .maxRefusedConnections = kRefusedAtATime});
    for (std::size_t i = 0; i < kConnections; ++i)
        connectAndSend(kRequest);
    std::size_t refused = 0;
    for (auto &caller : callers) {
        refused += readAllWhileServing(caller).starts_with("HTTP/1.1 503 ") ? 1 : 0;
        CHECK_TRUE(server->connections() <= kRefusedAtATime);
        caller.close();
    }
    LONGS_EQUAL(kConnections, refused);
}

// Guards against requests that wait unread for as long as the process has no descriptors left.
TEST(NetServer, requestsAreRefusedWhenDescriptorsRunOut)
{
    std::string failure;
    start({.address = address,
           .spareDescriptors = 2,
           .acceptFailed = [&](const std::string &error) { failure += error + ";"; }});
    for (int i = 0; i < 5; ++i)
        connectAndSend(kRequest);
    const FewerDescriptors none(0);
    for (auto &caller : callers)
        CHECK_TRUE(readAllWhileServing(caller).starts_with("HTTP/1.1 503 "));
    STRCMP_EQUAL("Too many open files;", failure.c_str());
}

// Guards against a request whose fate is unknown although it was never sent: its connection had
// been closed while it was idle.
TEST(NetServer, callOnAnIdleConnectionThatTheServerHasClosedIsSentOnANewOne)
{
    UpstreamPool pool(context, {});
    std::string outcomes;
    const auto call = [&] {
        return pool.call(address, {.head = std::string(kRequest)},
                         {.head = [](HttpResponseHead &&) { return HeadAction::Accept; },
                          .body = {},
                          .end =
                                  [&](UpstreamOutcome outcome) {
                                      outcomes += std::to_string(static_cast<int>(outcome));
                                  }});
    };
    const auto waitForEnd = [&] {
        CHECK_TRUE(eventually(context, kWaitLimit, [&] { return !outcomes.empty(); }));
    };
    for (const bool closeIsFoundFirst : {false, true}) {
        auto running = call();
        waitForEnd();
        outcomes.clear();
        asio::local::stream_protocol::socket trigger(context);
        asio::local::stream_protocol::socket other(context);
        asio::local::connect_pair(trigger, other);
        if (closeIsFoundFirst) {
            // The event loop finds the reason for the call and the close together, in this order.
            trigger.async_wait(asio::socket_base::wait_read,
                               [&](const asio::error_code &) { running = call(); });
            eventually(context, Millis(1), [] { return false; });
            asio::write(other, asio::buffer("x", 1));
        } else {
            running = call();
        }
        server->closeIdleConnections();
        waitForEnd();
        STRCMP_EQUAL_TEXT(std::to_string(static_cast<int>(UpstreamOutcome::Complete)).c_str(),
                          outcomes.c_str(), closeIsFoundFirst ? "found first" : "found later");
    }
}

// Guards against an answer that is cut because its caller reads slowly or will send nothing more.
TEST(NetServer, idleTimeoutDoesNotCutAnAnswerThatIsReadSlowly)
{
    body.assign(24 * 1024 * 1024, 'x');
    for (const bool callerHalfCloses : {false, true}) {
        callers.clear();
        callers.emplace_back(context);
        callers[0].open(asio::ip::tcp::v4());
        callers[0].set_option(asio::socket_base::receive_buffer_size(256 * 1024));
        callers[0].connect({asio::ip::make_address_v4(address.ip), address.port});
        asio::write(callers[0], asio::buffer(kRequest));
        CHECK_TRUE(eventually(context, kWaitLimit,
                              [&] { return server->connectionsWithUnsentBytes() == 1; }));
        if (callerHalfCloses)
            callers[0].shutdown(asio::ip::tcp::socket::shutdown_send);
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
        CHECK_TRUE_TEXT(received >= body.size(), callerHalfCloses ? "half-closed" : "open");
    }
}

TEST_GROUP(BodyRoom){};

// Guards against callers that come back at once, or much too late, for room that others free.
TEST(BodyRoom, tellsWhenRoomCanBeExpected)
{
    struct Case
    {
        const char *name;
        std::size_t used;
        double freedBytes; ///< By now, with the fading of five seconds.
        Millis expected;
    };
    const TimePoint now(std::chrono::seconds(1000));
    const Case cases[] = {
            {"room is left", 500, 0, Millis(0)},
            {"nothing is known", 1000, 0, Millis(5000)},
            {"500 bytes at 250 a second", 1000, 1250, Millis(2000)},
            {"at a high rate", 1000, 1'000'000, Millis(200)},
            {"at a low rate", 1000, 10, Millis(5000)},
    };
    for (const Case &row : cases) {
        const BodyRoom room{
                .limit = 1000, .used = row.used, .freedBytes = row.freedBytes, .freedAt = now};
        LONGS_EQUAL_TEXT(row.expected.count(), timeUntilRoom(room, 500, now).count(), row.name);
    }
}

// Guards against keeping what callers do not take until the process is out of memory.
TEST(NetServer, answersThatCallersDoNotTakeKeepWithinTheirRoom)
{
    constexpr std::size_t kAnswer = 8 * 1024 * 1024;
    constexpr std::size_t kRoom = 20 * 1024 * 1024;
    constexpr unsigned kSlowCallers = 8;
    AnswerRoom room(context, kRoom);
    start({.address = address, .answerRoom = &room});
    body.assign(kAnswer, 'x');
    for (unsigned i = 0; i < kSlowCallers; ++i) {
        connectAndSend(kRequest);
        eventually(context, Millis(50), [] { return false; });
        CHECK_TRUE(room.used() <= kRoom);
    }
    UNSIGNED_LONGS_EQUAL(kSlowCallers, server->connections() + room.givenUp());
    const std::size_t kept = server->connections();
    CHECK_TRUE(kept >= 2);
    // Answers that found room are whole, and others are served beside them.
    body = "answer";
    connectAndSend("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK_TRUE(readAllWhileServing(callers.back()).ends_with("answer"));
    unsigned whole = 0;
    for (unsigned i = 0; i < kSlowCallers; ++i) {
        std::size_t received = 0;
        bool ended = false;
        std::vector<char> answer(kAnswer);
        asio::async_read(callers[i], asio::buffer(answer),
                         [&](const asio::error_code &, std::size_t count) {
                             received = count;
                             ended = true;
                         });
        CHECK_TRUE(eventually(context, kWaitLimit, [&] { return ended; }));
        whole += received == kAnswer ? 1 : 0;
    }
    UNSIGNED_LONGS_EQUAL(kept, whole);
    UNSIGNED_LONGS_EQUAL(0, room.used());
}

// Guards against a cut answer that its caller takes for a whole one.
TEST(NetServer, anAnswerThatIsGivenUpDoesNotLookComplete)
{
    constexpr std::size_t kRoom = 1024 * 1024;
    constexpr std::size_t kAnswer = 16 * 1024 * 1024;
    for (const bool isFinished : {false, true}) {
        AnswerRoom room(context, kRoom);
        // The answer has no length, so only the way in which its connection ends tells.
        AsyncHttpServer streams(
                context, {.address = addresses.next(), .chunksStreams = false, .answerRoom = &room},
                [&](const auto &caller, const HttpRequest &) {
                    caller->beginStream(200, {});
                    caller->write(std::string(kAnswer, 'x'));
                    if (isFinished)
                        caller->finish();
                });
        CHECK_TRUE(static_cast<bool>(capture([&] { return streams.start(); })));
        address = streams.options().address;
        connectAndSend(kRequest);
        CHECK_TRUE(eventually(context, kWaitLimit, [&] { return room.givenUp() == 1; }));
        eventually(context, Millis(20), [] { return false; });
        std::string text;
        asio::error_code error;
        asio::read(callers.back(), asio::dynamic_buffer(text), error);
        CHECK_TRUE_TEXT(error == asio::error::connection_reset,
                        isFinished ? "finished" : "in progress");
        CHECK_TRUE(text.size() < kAnswer);
    }
}

// Guards against a part of an answer that passes for all of it, as only the end of its connection
// tells them apart.
TEST(NetServer, anAnswerWithoutALengthLooksWholeOnlyIfItIs)
{
    constexpr std::size_t kAnswer = 16 * 1024 * 1024; // More than the buffers of a connection take.
    enum class Event { None, CallerSendsNoMore, CloseAll, Abort };
    struct Case
    {
        const char *name;
        bool isFinished;
        Event event;
        bool whole;
    };
    const Case cases[] = {
            {"finished", true, Event::None, true},
            {"finished, caller sends nothing more", true, Event::CallerSendsNoMore, true},
            {"finished, all connections closed", true, Event::CloseAll, false},
            {"finished, aborted", true, Event::Abort, false},
            {"in progress, caller sends nothing more", false, Event::CallerSendsNoMore, false},
            {"in progress, all connections closed", false, Event::CloseAll, false},
            {"in progress, aborted", false, Event::Abort, false},
    };
    for (const bool earlierVersion : {false, true}) {
        for (const Case &row : cases) {
            const std::string name
                    = fmt::format("{}{}", row.name, earlierVersion ? ", earlier version" : "");
            std::shared_ptr<HttpServerConnection> connection;
            AsyncHttpServer streams(context,
                                    {.address = addresses.next(), .chunksStreams = earlierVersion},
                                    [&](const auto &caller, const HttpRequest &) {
                                        connection = caller;
                                        caller->beginStream(200, {});
                                        caller->write(std::string(kAnswer, 'x'));
                                        if (row.isFinished)
                                            caller->finish();
                                    });
            CHECK_TRUE(static_cast<bool>(capture([&] { return streams.start(); })));
            address = streams.options().address;
            connectAndSend(earlierVersion ? "GET / HTTP/1.0\r\nHost: h\r\n\r\n" : kRequest);
            CHECK_TRUE(eventually(context, kWaitLimit, [&] { return connection != nullptr; }));
            if (row.event == Event::CallerSendsNoMore)
                callers.back().shutdown(asio::ip::tcp::socket::shutdown_send);
            if (row.event == Event::CloseAll)
                streams.closeAll();
            if (row.event == Event::Abort)
                connection->abort();
            eventually(context, Millis(20), [] { return false; });
            std::string text;
            asio::error_code end;
            bool ended = false;
            asio::async_read(callers.back(), asio::dynamic_buffer(text),
                             [&](const asio::error_code &error, std::size_t) {
                                 end = error;
                                 ended = true;
                             });
            CHECK_TRUE_TEXT(eventually(context, kWaitLimit, [&] { return ended; }), name.c_str());
            CHECK_EQUAL_TEXT(row.whole, text.size() > kAnswer, name.c_str());
            CHECK_TRUE_TEXT(end
                                    == (row.whole
                                                ? asio::error_code(asio::error::eof)
                                                : asio::error_code(asio::error::connection_reset)),
                            fmt::format("{}: {}", name, end.message()).c_str());
        }
    }
}

// Guards against the same when the process is killed.
TEST(NetServer, anAnswerWithoutALengthOfAKilledProcessDoesNotLookWhole)
{
    const Address own = addresses.next();
    const pid_t child = fork();
    if (child == 0) {
        asio::io_context childContext;
        AsyncHttpServer streams(childContext, {.address = own, .chunksStreams = false},
                                [](const auto &caller, const HttpRequest &) {
                                    caller->beginStream(200, {});
                                    caller->write("part");
                                });
        if (capture([&] { return streams.start(); }))
            childContext.run();
        _exit(1);
    }
    address = own;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(own.ip), own.port);
    callers.emplace_back(context);
    asio::error_code error = asio::error::connection_refused;
    CHECK_TRUE(eventually(kWaitLimit, [&] {
        callers.back() = asio::ip::tcp::socket(context);
        callers.back().connect(endpoint, error);
        return !error;
    }));
    asio::write(callers.back(), asio::buffer(kRequest));
    std::string text;
    asio::read_until(callers.back(), asio::dynamic_buffer(text), "part");
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    asio::read(callers.back(), asio::dynamic_buffer(text), error);
    CHECK_TRUE_TEXT(error == asio::error::connection_reset, error.message().c_str());
}

// Guards against keeping all of a stream whose caller always has a part of it still to take.
TEST(NetServer, whatIsWrittenOfAnAnswerIsReleasedBeforeItsEnd)
{
    constexpr std::size_t kStream = 64 * 1024 * 1024;
    constexpr std::size_t kUnsent = 4 * 1024 * 1024;
    // As much again may be written, and a string that grows by doubling takes twice its bytes.
    constexpr std::size_t kMaxHeld = 4 * kUnsent;
    const std::string piece(64 * 1024, 'x');
    std::shared_ptr<HttpServerConnection> caller;
    AsyncHttpServer streams(context, {.address = addresses.next()},
                            [&](const auto &connection, const HttpRequest &) {
                                caller = connection;
                                caller->beginStream(200, {});
                            });
    CHECK_TRUE(static_cast<bool>(capture([&] { return streams.start(); })));
    address = streams.options().address;
    connectAndSend(kRequest);
    CHECK_TRUE(eventually(context, kWaitLimit, [&] { return caller != nullptr; }));
    const std::size_t before = bytesInUse();
    std::size_t peak = before;
    std::size_t sent = 0;
    std::size_t received = 0;
    std::vector<char> part(256 * 1024);
    const TimePoint limit = steadyNow() + kWaitLimit;
    while (sent < kStream && steadyNow() < limit) {
        while (caller->unsentBytes() < kUnsent) {
            caller->write(piece);
            sent += piece.size();
        }
        peak = std::max(peak, bytesInUse());
        received += callers.back().read_some(asio::buffer(part));
        context.restart();
        context.poll();
    }
    CHECK_TRUE(sent >= kStream);
    CHECK_TRUE(received > kStream / 2);
    CHECK_TRUE_TEXT(peak - before < kMaxHeld, fmt::format("{} bytes", peak - before).c_str());
    caller->abort();
}
