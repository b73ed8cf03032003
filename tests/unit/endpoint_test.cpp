#include "endpoint/engineclient.h"
#include "endpoint/plainserviceclient.h"
#include "net/sockets.h"
#include "support/fakeengine.h"

#include <CppUTest/TestHarness.h>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

EngineRequest engineRequest()
{
    EngineRequest request;
    request.requestId = "w~r1";
    request.model = "m";
    request.prompt = "a prompt";
    request.maxTokens = 5;
    request.deadline = steadyNow() + Millis(5000);
    return request;
}

struct Received
{
    std::string text;
    std::uint64_t events = 0;
};

EngineHandlers collectInto(Received &received)
{
    return {.beforeSend = nullptr,
            .accepted = nullptr,
            .event = [&received](const EngineEvent &event) {
                received.text += event.text;
                ++received.events;
                return true;
            }};
}

} // namespace

TEST_GROUP(Endpoint)
{
    FakeEngine engine;
    EngineClient client{engine.address()};
    AttemptStop stop;
    Received received;
};

TEST(Endpoint, wholeStreamIsDelivered)
{
    const AttemptResult result = client.complete(engineRequest(), stop, collectInto(received));
    CHECK_TRUE(result.status == AttemptStatus::Completed);
    STRCMP_EQUAL(fakeAnswer("a prompt", 5).c_str(), received.text.c_str());
    LONGS_EQUAL(5, result.nextSeq);
}

// Guards against a caller receiving a part of another answer, a part twice, or a cut answer as
// whole.
TEST(Endpoint, faultyStreamsFailAndDeliverOnlyTheGoodPart)
{
    struct Case
    {
        const char *name;
        StreamFault fault;
        std::uint64_t delivered;
        bool mismatch;
    };
    const std::vector<Case> cases = {
            {"crossed", StreamFault::OtherRequest, 2, true},
            {"other attempt", StreamFault::OtherAttempt, 2, true},
            {"duplicate", StreamFault::Duplicate, 3, true},
            {"gap", StreamFault::Gap, 2, true},
            {"wrong id line", StreamFault::WrongId, 2, true},
            {"not an object", StreamFault::NotJson, 2, true},
            {"truncated", StreamFault::Truncated, 2, false},
            {"wrong total", StreamFault::WrongTotal, 4, true},
    };
    for (const Case &c : cases) {
        int mismatches = 0;
        EngineClient counting(engine.address(), [&] { ++mismatches; });
        engine.set({.fault = c.fault, .faultAt = 2});
        Received part;
        const AttemptResult result = counting.complete(engineRequest(), stop, collectInto(part));
        CHECK_TRUE_TEXT(result.status == AttemptStatus::Failed, c.name);
        LONGS_EQUAL_TEXT(c.delivered, part.events, c.name);
        LONGS_EQUAL_TEXT(c.mismatch ? 1 : 0, mismatches, c.name);
        STRCMP_EQUAL_TEXT(fakeAnswer("a prompt", c.delivered).c_str(), part.text.c_str(), c.name);
    }
}

// Guards against "not run" for a request that may have run.
TEST(Endpoint, refusalsAreToldFromFailures)
{
    struct Case
    {
        const char *name;
        int status;
        bool executedFalse;
        AttemptStatus expected;
    };
    const std::vector<Case> cases = {{"stated", 503, true, AttemptStatus::Refused},
                                     {"stated 429", 429, true, AttemptStatus::Refused},
                                     {"not stated", 503, false, AttemptStatus::Failed},
                                     {"500", 500, false, AttemptStatus::Failed}};
    for (const Case &c : cases) {
        engine.set({.refuseStatus = c.status, .executedFalse = c.executedFalse});
        const AttemptResult result = client.complete(engineRequest(), stop, collectInto(received));
        STRCMP_EQUAL_TEXT(toString(c.expected), toString(result.status), c.name);
        LONGS_EQUAL_TEXT(2000, result.retryAfter.count(), c.name);
    }
    engine.stop();
    const AttemptResult result = client.complete(engineRequest(), stop, collectInto(received));
    STRCMP_EQUAL("refused", toString(result.status));
    LONGS_EQUAL(0, received.events);
}

TEST(Endpoint, resumeContinuesBySequenceNumber)
{
    engine.set({.fault = StreamFault::Truncated, .faultAt = 2});
    const AttemptResult broken = client.complete(engineRequest(), stop, collectInto(received));
    LONGS_EQUAL(2, broken.nextSeq);
    const AttemptResult resumed = client.resume(
            "w~r1", 1, broken.nextSeq, steadyNow() + Millis(2000), stop, collectInto(received));
    STRCMP_EQUAL("completed", toString(resumed.status));
    STRCMP_EQUAL(fakeAnswer("a prompt", 5).c_str(), received.text.c_str());
    const AttemptResult missing = client.resume(
            "w~other", std::nullopt, 0, steadyNow() + Millis(2000), stop, collectInto(received));
    STRCMP_EQUAL("refused", toString(missing.status));
}

// Guards against a thread that stays blocked on a silent engine.
TEST(Endpoint, silentEngineIsStoppedFromAnotherThread)
{
    engine.set({.acceptDelay = Millis(3000)});
    std::jthread stopper([&] {
        std::this_thread::sleep_for(Millis(100));
        stop.stop();
    });
    const TimePoint start = steadyNow();
    const AttemptResult result = client.complete(engineRequest(), stop, collectInto(received));
    stopper.join();
    STRCMP_EQUAL("cancelled", toString(result.status));
    CHECK_TRUE(steadyNow() - start < Millis(1500));
    CHECK_TRUE(static_cast<bool>(capture([&] { return client.cancel("w~r1", 1, Millis(500)); })));
}

// Guards against a request that is sent although permission was withdrawn or it was stopped.
TEST(Endpoint, nothingRunsWhenTheSendIsRefusedOrStopped)
{
    EngineHandlers handlers = collectInto(received);
    handlers.beforeSend = [] { return false; };
    STRCMP_EQUAL("refused", toString(client.complete(engineRequest(), stop, handlers).status));
    stop.stop();
    STRCMP_EQUAL("refused",
                 toString(client.complete(engineRequest(), stop, collectInto(received)).status));
    LONGS_EQUAL(0, engine.executions());
}

TEST(Endpoint, holdsAreReservedRenewedListedAndReleased)
{
    const HoldRequest hold = {"h1", "w~r1", "entry-1", "inc", 100, Millis(1000)};
    const auto ok = [](const auto &outcome) { return static_cast<bool>(outcome); };
    const Millis timeout(500);
    CHECK_TRUE(ok(capture([&] { return client.reserveHold(hold, timeout); })));
    CHECK_TRUE(ok(capture([&] { return client.renewHold("h1", Millis(1000), timeout); })));
    const auto holds = capture([&] { return client.listHolds(timeout); });
    LONGS_EQUAL(1, holds->size());
    STRCMP_EQUAL("entry-1", holds->front().holder.c_str());
    CHECK_TRUE(ok(capture([&] { return client.releaseHold("h1", timeout); })));
    CHECK_TRUE(ok(capture([&] { return client.releaseHold("h1", timeout); })));
    CHECK_FALSE(ok(capture([&] { return client.renewHold("h1", Millis(1000), timeout); })));
    engine.set({.refuseHolds = true});
    const auto refused = capture([&] { return client.reserveHold(hold, timeout); });
    CHECK_TRUE(refused.error().code == ErrorCode::ResourceExhausted);
}

TEST(Endpoint, statusAndOrdersAreTyped)
{
    const auto status = capture([&] { return client.status(Millis(500)); });
    CHECK_TRUE(status->leaving);
    LONGS_EQUAL(3, status->running);
    LONGS_EQUAL(1000, status->kvCapacityTokens);
    EngineOrder order;
    order.order = "load";
    order.fencing = 4;
    const auto stale = capture([&] { return client.order(order, Millis(500)); });
    CHECK_TRUE(stale.error().code == ErrorCode::Conflict);
    order.fencing = 5;
    CHECK_TRUE(static_cast<bool>(capture([&] { return client.order(order, Millis(500)); })));
}

// Guards against a gate that is opened twice, or reported as not opened when it may be open.
TEST(Endpoint, plainCallsAreSentOnceAndTyped)
{
    struct Case
    {
        const char *name;
        FakeBehaviour behaviour;
        Execution expected;
    };
    const std::vector<Case> cases = {
            {"answered", {}, Execution::Ran},
            {"stated", {.refuseStatus = 503, .executedFalse = true}, Execution::NotRun},
            {"500", {.refuseStatus = 500, .executedFalse = false}, Execution::MayHaveRun},
            {"client error", {.refuseStatus = 422, .executedFalse = false}, Execution::Ran},
            {"silent", {.acceptDelay = Millis(900)}, Execution::MayHaveRun},
    };
    std::size_t calls = 0;
    for (const Case &c : cases) {
        engine.set(c.behaviour);
        PlainRequest request;
        request.operation = "open-gate";
        request.body = "{}";
        request.deadline = steadyNow() + Millis(400);
        request.fencingNumber = 17;
        request.idempotencyKey = "key";
        const PlainResult result = PlainServiceClient(engine.address()).call(request, stop);
        STRCMP_EQUAL_TEXT(toString(c.expected), toString(result.execution), c.name);
        LONGS_EQUAL_TEXT(++calls, engine.callHeaders().size(), c.name);
        const httplib::Headers headers = engine.callHeaders().back();
        STRCMP_EQUAL("17", headers.find("X-Fencing-Number")->second.c_str());
        STRCMP_EQUAL("key", headers.find("Idempotency-Key")->second.c_str());
    }
    engine.stop();
    PlainRequest request;
    request.operation = "open-gate";
    request.body = "{}";
    request.deadline = steadyNow() + Millis(400);
    const PlainResult result = PlainServiceClient(engine.address()).call(request, stop);
    STRCMP_EQUAL("not_run", toString(result.execution));
    CHECK_FALSE(result.dispatched);
}

// Guards against a success with another body than the service's: a damaged byte had hidden that it
// was chunked, and nothing looked at codings and names.
TEST(Endpoint, damagedAnswersOfPlainServicesAreNoSuccess)
{
    struct Case
    {
        const char *name;
        std::string fields;
        std::string body;
        bool sound;
    };
    const std::string chunks = "6\r\nanswer\r\n0\r\n\r\n";
    const Case cases[] = {
            {"length", "Content-Length: 6\r\n", "answer", true},
            {"chunks", "Transfer-Encoding: chunked\r\n", chunks, true},
            {"end of the connection", "Connection: close\r\n", "answer", true},
            {"end of the connection, not announced", "", "answer", false},
            {"coding hidden", "Transfqr-Encoding: chunked\r\n", chunks, false},
            {"coding hidden, connection closed",
             "Transfqr-Encoding: chunked\r\nConnection: close\r\n", chunks, false},
            {"coding of the content", "Content-Encoding: br\r\nContent-Length: 6\r\n", "answer",
             false},
            {"space in a name", "Content Type: a/b\r\nContent-Length: 6\r\n", "answer", false},
            {"length with a letter", "Content-Length: 6x\r\n", "answer", false},
    };
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    for (const Case &row : cases) {
        std::thread service([&] {
            asio::ip::tcp::socket socket = acceptor.accept();
            std::string request;
            asio::error_code ignored;
            asio::read_until(socket, asio::dynamic_buffer(request), "{}", ignored);
            asio::write(socket,
                        asio::buffer("HTTP/1.1 200 OK\r\n" + row.fields + "\r\n" + row.body),
                        ignored);
        });
        PlainRequest request;
        request.operation = "open-gate";
        request.body = "{}";
        request.deadline = steadyNow() + Millis(2000);
        const PlainServiceClient serviceClient({"127.0.0.1", acceptor.local_endpoint().port()});
        const PlainResult result = serviceClient.call(request, stop);
        service.join();
        STRCMP_EQUAL_TEXT(toString(row.sound ? Execution::Ran : Execution::MayHaveRun),
                          toString(result.execution), row.name);
        STRCMP_EQUAL_TEXT(row.sound ? "answer" : "", result.body.c_str(), row.name);
    }
}

// Guards against a part of an answer, or one whose head is no HTTP, that passes for the service's.
TEST(Endpoint, answersThatBreakOffOrAreNoHttpAreNoSuccess)
{
    enum class End { Orderly, Reset };
    struct Case
    {
        const char *name;
        std::string text;
        End end = End::Orderly;
        bool amidUpload = false; ///< Sent when only the head of a large request has been read.
        bool sound = false;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 6\r\n\r\nanswer";
    const std::string closing = "Connection: close\r\n\r\nanswer";
    const Case cases[] = {
            {"sound", ok + length, End::Orderly, false, true},
            {"sound, no length", ok + closing, End::Orderly, false, true},
            {"reset", ok + closing, End::Reset},
            {"reset, earlier version", "HTTP/1.0 200 OK\r\n\r\nanswer", End::Reset},
            {"reset amid the upload", ok + closing, End::Reset, true},
            {"reset amid the upload, earlier version", "HTTP/1.0 200 OK\r\n\r\nanswer", End::Reset,
             true},
            {"status 000", "HTTP/1.1 000 OK\r\n" + length},
            {"status 000, no length", "HTTP/1.1 000 OK\r\n" + closing},
            {"status 000, no reason", "HTTP/1.1 000\r\n" + length},
            {"status 000 before a sound answer", "HTTP/1.1 000 OK\r\n\r\n" + ok + length},
            {"blank in a name", ok + "X A: y\r\n" + length},
            {"blank in a name without a value", ok + "X A:\r\n" + length},
            {"blank in place of the colon", ok + "X y\r\n" + length},
            {"blank before a name", ok + " X: y\r\n" + length},
            {"blank after a name", ok + "X : y\r\n" + length},
            {"control byte in a name", ok + "X\x01: y\r\n" + length},
            {"control byte in a name without a value", ok + "X\x01:\r\n" + length},
            {"zero byte in a name", ok + std::string("X\0A: y\r\n", 8) + length},
            {"tab in a name", ok + "X\tA: y\r\n" + length},
            {"line feed in a name", ok + "X\nA: y\r\n" + length},
            {"line feed in the name of a coding", ok + "Content\nEncoding: br\r\n" + length},
            {"return in a name", ok + "X\rA: y\r\n" + length},
    };
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const Address address{"127.0.0.1", acceptor.local_endpoint().port()};
    for (const Case &row : cases) {
        PlainRequest request;
        request.operation = "open-gate";
        request.body = row.amidUpload ? std::string(16 * 1024 * 1024, 'x') : "{}";
        request.deadline = steadyNow() + Millis(2000);
        std::thread service([&] {
            asio::ip::tcp::socket socket = acceptor.accept();
            std::string received;
            asio::error_code ignored;
            asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", ignored);
            if (!row.amidUpload && !received.ends_with("{}"))
                asio::read_until(socket, asio::dynamic_buffer(received), "{}", ignored);
            asio::write(socket, asio::buffer(row.text), ignored);
            if (row.end != End::Reset)
                return;
            std::this_thread::sleep_for(Millis(20));
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        });
        const PlainResult result = PlainServiceClient(address).call(request, stop);
        service.join();
        STRCMP_EQUAL_TEXT(toString(row.sound ? Execution::Ran : Execution::MayHaveRun),
                          toString(result.execution), row.name);
        STRCMP_EQUAL_TEXT(row.sound ? "answer" : "", result.body.c_str(), row.name);
    }
}

// Guards against a part of an answer that is kept as the outcome of a call: ending the connection
// from this side looks like an orderly end of it.
TEST(Endpoint, aCallThatIsStoppedAmidItsAnswerIsNoSuccess)
{
    struct Case
    {
        const char *name;
        void (AttemptStop::*end)();
    };
    const Case cases[]
            = {{"stopped", &AttemptStop::stop}, {"interrupted", &AttemptStop::interrupt}};
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const Address address{"127.0.0.1", acceptor.local_endpoint().port()};
    for (const Case &row : cases) {
        AttemptStop attempt;
        PlainRequest request;
        request.operation = "open-gate";
        request.body = "{}";
        request.deadline = steadyNow() + Millis(2000);
        std::thread service([&] {
            asio::ip::tcp::socket socket = acceptor.accept();
            std::string received;
            asio::error_code ignored;
            asio::read_until(socket, asio::dynamic_buffer(received), "{}", ignored);
            asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"),
                        ignored);
            std::this_thread::sleep_for(Millis(50));
            (attempt.*row.end)();
            std::this_thread::sleep_for(Millis(50));
        });
        const PlainResult result = PlainServiceClient(address).call(request, attempt);
        service.join();
        STRCMP_EQUAL_TEXT(toString(Execution::MayHaveRun), toString(result.execution), row.name);
        STRCMP_EQUAL_TEXT("", result.body.c_str(), row.name);
    }
}
