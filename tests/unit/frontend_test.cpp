#include "base/ids.h"
#include "support/frontendfakes.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

nlohmann::json problemOf(const httplib::Result &answer)
{
    return answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
}

} // namespace

TEST_GROUP(Frontend){};

// Guards against invalid input that costs an engine work, and against errors without a remedy.
TEST(Frontend, invalidInputIsRefusedAndReachesNoEngine)
{
    struct Case
    {
        const char *name;
        const char *path;
        std::string body;
        httplib::Headers headers;
        int status;
    };
    const std::string good = completionBody(true);
    const char *text = "/v1/completions";
    const char *chat = "/v1/chat/completions";
    const std::vector<Case> cases = {
            {"wrong credential", text, good, {{"Authorization", "Bearer x"}}, 401},
            {"no bearer", text, good, {{"Authorization", "secret"}}, 401},
            {"other workspace", text, good, {{"Authorization", "Bearer other-secret"}}, 404},
            {"bad json", text, "{", {}, 400},
            {"not an object", text, "[]", {}, 400},
            {"invalid utf-8", text, "{\"model\":\"m\",\"prompt\":\"\xff\"}", {}, 400},
            {"no model", text, R"({"prompt":"a"})", {}, 400},
            {"unknown model", text, R"({"model":"z","prompt":"a"})", {}, 404},
            {"no prompt", text, R"({"model":"m"})", {}, 400},
            {"empty prompt", text, R"({"model":"m","prompt":""})", {}, 400},
            {"zero tokens", text, R"({"model":"m","prompt":"a","max_tokens":0})", {}, 400},
            {"negative tokens", text, R"({"model":"m","prompt":"a","max_tokens":-1})", {}, 400},
            {"stream text", text, R"({"model":"m","prompt":"a","stream":"yes"})", {}, 400},
            {"two answers", text, R"({"model":"m","prompt":"a","n":2})", {}, 400},
            {"no messages", chat, R"({"model":"m","messages":[]})", {}, 400},
            {"message of numbers", chat, R"({"model":"m","messages":[{"role":1}]})", {}, 400},
            {"timeout zero", text, good, {{"X-Request-Timeout-Ms", "0"}}, 400},
            {"timeout text", text, good, {{"X-Request-Timeout-Ms", "5s"}}, 400},
            {"timeout too long", text, good, {{"X-Request-Timeout-Ms", "99999999999"}}, 400},
            {"priority", text, good, {{"X-Priority", "high"}}, 400},
            {"request id", text, good, {{"X-Request-Id", "a~b"}}, 400},
            {"event id", text, good, {{"Last-Event-ID", "x"}, {"X-Request-Id", "r"}}, 400},
            {"event id alone", text, good, {{"Last-Event-ID", "4"}}, 400},
            {"key", text, good, {{"Idempotency-Key", "1"}}, 400},
            {"oversized", text, std::string(100 * 1024, ' '), {}, 413},
            {"unknown service", "/v1/services/none/open", "{}", {}, 404},
            {"model as plain service", "/v1/services/writer/open", "{}", {}, 404},
            {"no key", "/v1/services/gate/open", "{}", {}, 400},
            {"service body", "/v1/services/gate/open", "x", {}, 400},
            {"unknown path", "/v2/completions", "{}", {}, 404},
    };
    FrontendFixture fixture;
    for (const Case &c : cases) {
        const auto answer = fixture.post(c.path, c.body, c.headers);
        CHECK_TRUE_TEXT(static_cast<bool>(answer), c.name);
        LONGS_EQUAL_TEXT(c.status, answer->status, c.name);
        STRCMP_EQUAL_TEXT("application/problem+json",
                          answer->get_header_value("Content-Type").c_str(), c.name);
        const auto problem = problemOf(answer);
        STRCMP_EQUAL_TEXT("not_run", problem.value("execution", "").c_str(), c.name);
        CHECK_FALSE_TEXT(problem.value("remedy", "").empty(), c.name);
        CHECK_FALSE_TEXT(problem.value("request_id", "").empty(), c.name);
    }
    LONGS_EQUAL(0, fixture.executions());
    LONGS_EQUAL(0, fixture.claims.claimCount());
    LONGS_EQUAL(0, fixture.admission.placements);
}

TEST(Frontend, wholeAnswersAreDeliveredInEveryForm)
{
    FrontendFixture fixture;
    const std::string expected = fakeAnswer("a prompt", 5);
    const auto streamed
            = fixture.post("/v1/completions", completionBody(true), {{"X-Request-Id", "r1"}});
    LONGS_EQUAL(200, streamed->status);
    STRCMP_EQUAL("r1", streamed->get_header_value("X-Request-Id").c_str());
    const ParsedStream parsed = parseStream(streamed->body);
    STRCMP_EQUAL(expected.c_str(), parsed.text.c_str());
    CHECK_TRUE(parsed.done);
    CHECK_TRUE(parsed.ids == (std::vector<std::uint64_t>{0, 1, 2, 3, 4}));
    LONGS_EQUAL(5, parsed.usage["completion_tokens"].get<int>());

    const auto whole = fixture.post("/v1/completions", completionBody(false));
    const auto body = nlohmann::json::parse(whole->body);
    STRCMP_EQUAL(expected.c_str(), body["choices"][0]["text"].get<std::string>().c_str());
    STRCMP_EQUAL("length", body["choices"][0]["finish_reason"].get<std::string>().c_str());

    const std::string messages = R"({"model":"m","max_tokens":3,"messages":[{"role":"user",)"
                                 R"("content":"hi"},{"role":"assistant","content":"yo"}])";
    const std::string chatExpected = fakeAnswer("user: hi\nassistant: yo\n", 3);
    const auto chat = fixture.post("/v1/chat/completions", messages + "}");
    const auto chatBody = nlohmann::json::parse(chat->body);
    STRCMP_EQUAL(chatExpected.c_str(),
                 chatBody["choices"][0]["message"]["content"].get<std::string>().c_str());
    const auto chatStream = fixture.post("/v1/chat/completions", messages + ",\"stream\":true}");
    STRCMP_EQUAL(chatExpected.c_str(), parseStream(chatStream->body).text.c_str());
    CHECK_TRUE(FrontendFixture::eventually([&] { return fixture.frontend().drained(); }));
    LONGS_EQUAL(4, fixture.admission.successes);

    STRCMP_CONTAINS("\"id\":\"m\"", fixture.get("/v1/models")->body.c_str());
}

// Guards against faulty events that reach a caller: the stream is resumed at the right place.
TEST(Frontend, faultyStreamsAreResumedAndDeliveredWhole)
{
    const std::vector<std::pair<const char *, StreamFault>> cases
            = {{"crossed", StreamFault::OtherRequest}, {"attempt", StreamFault::OtherAttempt},
               {"duplicate", StreamFault::Duplicate},  {"gap", StreamFault::Gap},
               {"truncated", StreamFault::Truncated},  {"total", StreamFault::WrongTotal}};
    FrontendFixture fixture;
    for (const auto &[name, fault] : cases) {
        fixture.engine(0).set({.fault = fault, .faultAt = 2});
        const auto answer = fixture.post("/v1/completions", completionBody(true));
        const ParsedStream parsed = parseStream(answer->body);
        STRCMP_EQUAL_TEXT(fakeAnswer("a prompt", 5).c_str(), parsed.text.c_str(), name);
        CHECK_TRUE_TEXT(parsed.done, name);
    }
    STRCMP_CONTAINS("cicadafork_engine_mismatches_total 5", fixture.metrics.serialize().c_str());
}

// Guards against a frozen engine that holds an answer until its timeout.
TEST(Frontend, silentStreamIsBrokenOffAndResumed)
{
    FrontendFixture fixture;
    fixture.engine(0).set({.fault = StreamFault::Freeze, .faultAt = 2});
    for (const bool stream : {true, false}) {
        const TimePoint start = steadyNow();
        const auto answer = fixture.post("/v1/completions", completionBody(stream));
        CHECK_TRUE(steadyNow() - start < Millis(3500));
        LONGS_EQUAL(200, answer->status);
        const std::string text = stream ? parseStream(answer->body).text
                                        : nlohmann::json::parse(answer->body)["choices"][0]["text"]
                                                  .get<std::string>();
        STRCMP_EQUAL(fakeAnswer("a prompt", 5).c_str(), text.c_str());
    }
    STRCMP_CONTAINS("cicadafork_silent_streams_total 2", fixture.metrics.serialize().c_str());
}

// Guards against a cut answer that looks whole, and against a second engine continuing an answer.
TEST(Frontend, streamThatCannotBeResumedFailsDefinitely)
{
    FrontendFixture fixture(2);
    fixture.engine(0).set({.fault = StreamFault::Truncated, .faultAt = 2, .resumable = false});
    const auto streamed = fixture.post("/v1/completions", completionBody(true));
    LONGS_EQUAL(200, streamed->status);
    const ParsedStream parsed = parseStream(streamed->body);
    STRCMP_EQUAL(fakeAnswer("a prompt", 2).c_str(), parsed.text.c_str());
    CHECK_FALSE(parsed.done);
    STRCMP_EQUAL("may_have_run", parsed.error.value("execution", "").c_str());
    const auto whole = fixture.post("/v1/completions", completionBody(false));
    LONGS_EQUAL(502, whole->status);
    LONGS_EQUAL(0, fixture.engine(1).executions());
}

// Guards against an engine that goes on generating for a caller that has gone away.
TEST(Frontend, disconnectCancelsTheEnginesWork)
{
    FrontendFixture fixture;
    fixture.engine(0).set({.tokenDelay = Millis(50)});
    auto client = fixture.client();
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"Authorization", "Bearer secret"}, {"X-Request-Id", "gone"}};
    request.body = completionBody(true, 1000);
    request.content_receiver
            = [](const char *, std::size_t, std::uint64_t, std::uint64_t) { return false; };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    CHECK_FALSE(client->send(request, response, error));
    CHECK_TRUE(FrontendFixture::eventually([&] { return !fixture.engine(0).cancelled().empty(); }));
    STRCMP_EQUAL("w~gone", fixture.engine(0).cancelled().front().c_str());
    CHECK_TRUE(FrontendFixture::eventually([&] { return fixture.frontend().drained(); }));
}

// Guards against answers held beyond the timeout, and against "not run" for work that was sent.
TEST(Frontend, deadlineEndsEveryRequestInTime)
{
    struct Case
    {
        const char *name;
        bool queued;
        FakeBehaviour behaviour;
        bool stream;
        int status;
        const char *execution;
    };
    const std::vector<Case> cases = {
            {"queued", true, {}, true, 504, "not_run"},
            {"silent", false, {.acceptDelay = Millis(2000)}, true, 504, "may_have_run"},
            {"slow stream", false, {.tokenDelay = Millis(100)}, true, 200, "may_have_run"},
            {"slow whole", false, {.tokenDelay = Millis(100)}, false, 504, "may_have_run"},
    };
    FrontendFixture fixture;
    for (const Case &c : cases) {
        fixture.engine(0).set(c.behaviour);
        fixture.admission.queueForever = c.queued;
        const TimePoint start = steadyNow();
        const auto answer = fixture.post("/v1/completions", completionBody(c.stream, 50),
                                         {{"X-Request-Timeout-Ms", "400"}});
        const auto took = std::chrono::duration_cast<Millis>(steadyNow() - start).count();
        CHECK_TRUE_TEXT(took >= 390 && took < 650, c.name);
        LONGS_EQUAL_TEXT(c.status, answer->status, c.name);
        const auto problem = c.status == 200 ? parseStream(answer->body).error : problemOf(answer);
        STRCMP_EQUAL_TEXT(c.execution, problem.value("execution", "").c_str(), c.name);
        CHECK_TRUE_TEXT(FrontendFixture::eventually([&] { return fixture.frontend().drained(); }),
                        c.name);
    }
}

// Guards against shutdown that cuts a stream or takes new work.
TEST(Frontend, drainRefusesNewRequestsAndFinishesThoseInProgress)
{
    FrontendFixture fixture;
    fixture.engine(0).set({.tokenDelay = Millis(40)});
    std::string body;
    std::jthread caller(
            [&] { body = fixture.post("/v1/completions", completionBody(true, 10))->body; });
    CHECK_TRUE(FrontendFixture::eventually([&] { return fixture.executions() == 1; }));
    fixture.frontend().beginDrain();
    CHECK_FALSE(fixture.frontend().accepting());
    CHECK_FALSE(fixture.frontend().drained());
    const auto refused = fixture.post("/v1/completions", completionBody(true));
    LONGS_EQUAL(503, refused->status);
    STRCMP_EQUAL("not_run", problemOf(refused).value("execution", "").c_str());
    STRCMP_EQUAL("1", refused->get_header_value("Retry-After").c_str());
    STRCMP_EQUAL("close", refused->get_header_value("Connection").c_str());
    caller.join();
    STRCMP_EQUAL(fakeAnswer("a prompt", 10).c_str(), parseStream(body).text.c_str());
    CHECK_TRUE(FrontendFixture::eventually([&] { return fixture.frontend().drained(); }));
}

// Guards against operators who cannot tell whether a request still makes progress.
TEST(Frontend, requestsInProgressAreShown)
{
    FrontendFixture fixture;
    fixture.engine(0).set({.tokenDelay = Millis(60)});
    std::jthread caller([&] {
        fixture.post("/v1/completions", completionBody(true, 12), {{"X-Request-Id", "seen"}});
    });
    CHECK_TRUE(FrontendFixture::eventually([&] {
        const auto views = fixture.frontend().requests(steadyNow());
        return views.size() == 1 && views[0].tokensDelivered >= 2;
    }));
    const RequestView view = fixture.frontend().requests(steadyNow()).front();
    STRCMP_EQUAL("streaming", toString(view.state));
    STRCMP_EQUAL("engine-0", view.endpoint.c_str());
    STRCMP_CONTAINS("streaming", fixture.get("/v1/requests/seen")->body.c_str());
    LONGS_EQUAL(
            404,
            fixture.get("/v1/requests/seen", {{"Authorization", "Bearer other-secret"}})->status);
    const auto second
            = fixture.post("/v1/completions", completionBody(true), {{"X-Request-Id", "seen"}});
    LONGS_EQUAL(409, second->status);
    caller.join();
    // The caller has the whole answer shortly before the request is removed.
    CHECK_TRUE(FrontendFixture::eventually(
            [&] { return fixture.get("/v1/requests/seen")->status == 404; }));
}

// Guards against a stream that is lost with its entry VM, and against another workspace reading it.
TEST(Frontend, lastEventIdResumesAStreamOfAnotherFront)
{
    FrontendFixture first;
    first.post("/v1/completions", completionBody(true), {{"X-Request-Id", "moved"}});
    FrontendFixture second;
    second.locations = first.locations;
    const httplib::Headers headers = {{"X-Request-Id", "moved"}, {"Last-Event-ID", "1"}};
    const auto resumed = second.post("/v1/completions", completionBody(true), headers);
    LONGS_EQUAL(200, resumed->status);
    const ParsedStream parsed = parseStream(resumed->body);
    STRCMP_EQUAL(fakeAnswer("a prompt", 5).substr(2 * 17).c_str(), parsed.text.c_str());
    CHECK_TRUE(parsed.done);
    first.engine(0).set({.resumable = false});
    const auto lost = second.post("/v1/completions", completionBody(true), headers);
    LONGS_EQUAL(404, lost->status);
    STRCMP_EQUAL("may_have_run", problemOf(lost).value("execution", "").c_str());
    LONGS_EQUAL(0, second.executions());
}
