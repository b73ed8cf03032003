#include "http/server.h"
#include "loadgen/report.h"
#include "loadgen/runner.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace cicadafork;

namespace {

/// Answers according to the name of the model, with one event per token.
void answer(const httplib::Request &request, httplib::Response &response)
{
    const auto body = nlohmann::json::parse(request.body);
    const std::string model = body["model"];
    if (model == "refuse" || model == "reject") {
        response.status = model == "refuse" ? 503 : 400;
        response.set_content("{\"title\":\"queue full\"}", "application/problem+json");
        return;
    }
    if (model == "slow")
        std::this_thread::sleep_for(Millis(100));
    std::size_t tokens = body["max_tokens"];
    std::string prompt = body["prompt"];
    tokens -= model == "truncate" ? 1 : 0;
    tokens += model == "duplicate" ? 1 : 0;
    prompt += model == "mix" ? "x" : "";
    const std::string text = expectedAnswer(prompt, model == "missing" ? 0 : tokens);
    std::string events;
    for (std::size_t at = 0; at < text.size(); at += 17) {
        const nlohmann::json data = {{"choices", {{{"text", text.substr(at, 17)}}}}};
        events += "data: " + data.dump() + "\n\n";
    }
    if (model != "unfinished")
        events += "data: [DONE]\n\n";
    response.set_content(events, "text/event-stream");
}

TraceRequest requestFor(const char *model)
{
    TraceRequest request;
    request.target = model;
    request.promptTokens = 50;
    request.maxTokens = 4;
    request.stream = true;
    request.timeout = Millis(2000);
    return request;
}

} // namespace

TEST_GROUP(LoadRunner)
{
    const Address address{"127.0.77.1", 18977};
    HttpServer server{{.address = address, .threads = 16}};

    void setup() override
    {
        server.routes().Post("/v1/completions", answer);
        CHECK_TRUE(static_cast<bool>(capture([&] { return server.start(); })));
    }

    void teardown() override
    {
        server.stop();
    }
};

// Guards against a defect of an answer that a load run counts as a success.
TEST(LoadRunner, eachDefectIsCountedUnderItsName)
{
    const std::vector<std::pair<const char *, RequestOutcome>> cases = {
            {"good", RequestOutcome::Completed},
            {"refuse", RequestOutcome::Refused},
            {"reject", RequestOutcome::Rejected},
            {"truncate", RequestOutcome::Truncated},
            {"unfinished", RequestOutcome::Truncated},
            {"duplicate", RequestOutcome::Duplicated},
            {"mix", RequestOutcome::Mixed},
            {"missing", RequestOutcome::Missing},
    };
    std::vector<TraceRequest> trace;
    for (const auto &[model, outcome] : cases)
        trace.push_back(requestFor(model));
    LoadOptions options;
    options.targets = {address};
    const auto results = runLoad(trace, options);
    for (std::size_t i = 0; i < cases.size(); ++i)
        STRCMP_EQUAL_TEXT(toString(cases[i].second), toString(results[i].outcome), cases[i].first);
    const auto run = summarise(trace, results);
    LONGS_EQUAL(1, run["refusals"]["503 queue full"].get<int>());
    LONGS_EQUAL(7, run["unexpected"].get<int>());
}

// Guards against coordinated omission: a request that waits for a worker counts from its planned
// time.
TEST(LoadRunner, latencyCountsFromThePlannedTime)
{
    const std::vector<TraceRequest> trace(3, requestFor("slow"));
    LoadOptions options;
    options.targets = {address};
    options.workers = 1;
    const auto results = runLoad(trace, options);
    CHECK(*results[2].firstToken >= 300);
    CHECK(results[2].started >= Millis(200));
    // The first request may start late too, when the machine is busy.
    const auto late = std::count_if(results.begin(), results.end(),
                                    [](const auto &result) { return result.started > kLateStart; });
    CHECK(late >= 2);
    LONGS_EQUAL(late, summarise(trace, results)["late_starts"].get<int>());
}

// Guards against a report that fails when a length class has no requests.
TEST(LoadRunner, reportNeedsNoRequestOfEveryClass)
{
    LoadOptions options;
    options.targets = {address};
    const std::vector<TraceRequest> trace = {requestFor("good")};
    const auto run = summarise(trace, runLoad(trace, options));
    CHECK_TRUE(run["ttft_ms"]["1k"]["p95"].is_number());
    CHECK_TRUE(run["ttft_ms"]["1m"].is_null());
    STRCMP_CONTAINS("outcomes completed: 1", formatRunTable(run).c_str());
    STRCMP_CONTAINS("<rect", plotFirstToken(run).c_str());
    CHECK_FALSE(static_cast<bool>(
            capture([&] { return writeReport(run, 1, "/dev/null/not-a-directory"); })));
}

// Guards against goodput that counts late or failed answers, and a slowdown without its reference.
TEST(LoadRunner, goodputAndSlowdownFollowTheirDefinitions)
{
    const std::vector<TraceRequest> trace(4, requestFor("any"));
    std::vector<RequestResult> results(4);
    for (RequestResult &result : results) {
        result.outcome = RequestOutcome::Completed;
        result.firstToken = 50;
        result.finished = 1000;
    }
    results[1].finished = 2001;
    results[2].finished = 2251;
    results[3].outcome = RequestOutcome::Refused;
    const auto run = summarise(trace, results, 25.0);
    DOUBLES_EQUAL(1000.0 / 2251, run["goodput_per_s"].get<double>(), 0.001);
    DOUBLES_EQUAL(2, run["short_slowdown_p95"].get<double>(), 0.001);
    LONGS_EQUAL(1, run["overdue"].get<int>());
    LONGS_EQUAL(3, run["admitted"].get<int>());
    LONGS_EQUAL(1, run["failed_in_time"].get<int>());
    CHECK_TRUE(summarise(trace, results)["short_slowdown_p95"].is_null());
}
