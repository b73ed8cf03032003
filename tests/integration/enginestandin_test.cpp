#include "base/hash.h"
#include "http/client.h"
#include "standin-engine/prompt.h"
#include "support/eventually.h"
#include "support/testcluster.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <sstream>
#include <string>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

constexpr Millis kTimeout{5000};
constexpr Millis kShort{400};

struct Answer
{
    int status = 0;
    bool complete = false; ///< The response ended as announced.
    std::string raw;
    std::vector<nlohmann::json> events;
};

Answer parseAnswer(const httplib::Result &result, std::string raw)
{
    Answer answer;
    answer.complete = static_cast<bool>(result);
    answer.status = result ? result->status : 0;
    std::istringstream lines(raw);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: "))
            answer.events.push_back(nlohmann::json::parse(line.substr(6)));
    }
    answer.raw = std::move(raw);
    return answer;
}

nlohmann::json completion(const std::string &id, std::uint64_t maxTokens,
                          const std::string &prompt = "hello")
{
    return {{"request_id", id},        {"attempt", 1},     {"model", "base"},    {"prompt", prompt},
            {"max_tokens", maxTokens}, {"holder", "test"}, {"incarnation", "i1"}};
}

// Reads a stream; ends the connection after stopAfter bytes.
Answer stream(const Address &address, const nlohmann::json &body, Millis timeout = kTimeout,
              std::size_t stopAfter = SIZE_MAX)
{
    auto client = makeHttpClient(address, {kTimeout, timeout, kTimeout});
    std::string raw;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = body.dump();
    request.content_receiver
            = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
                  raw.append(data, size);
                  return raw.size() < stopAfter;
              };
    const auto result = client->send(request);
    return parseAnswer(result, std::move(raw));
}

nlohmann::json getBody(const Address &address, const std::string &path)
{
    const auto body = capture([&] { return getJson(address, path, kTimeout); });
    return body ? *body : nlohmann::json();
}

HttpReply post(const Address &address, const std::string &path, const nlohmann::json &body,
               Millis timeout = kTimeout)
{
    const auto reply = capture([&] { return httpPost(address, path, body.dump(), timeout); });
    return reply ? *reply : HttpReply{};
}

} // namespace

TEST_GROUP(EngineStandin)
{
    std::unique_ptr<TestCluster> cluster;
    Address engine;

    void setup() override
    {
        ClusterOptions options;
        options.engines = 1;
        options.engineFlags
                = {"--kv-capacity", "10000", "--memory-wait-ms", "300", "--orphan-grace-ms", "500"};
        cluster = std::make_unique<TestCluster>(options);
        cluster->start();
        engine = cluster->engine(0).address;
    }
    void teardown() override
    {
        cluster.reset();
    }

    void fault(const nlohmann::json &faults)
    {
        cluster->setFaults(cluster->engine(0), faults);
    }
    std::uint64_t memory(const char *kind)
    {
        return getBody(engine, "/admin/memory")[kind].get<std::uint64_t>();
    }
    std::string executionState(const std::string &id)
    {
        const auto list = getBody(engine, "/admin/executions");
        for (const auto &row : list["executions"]) {
            if (row["request_id"] == id)
                return row["state"].get<std::string>();
        }
        return "none";
    }
};

TEST(EngineStandin, streamsTheWholeCheckableAnswer)
{
    const Answer answer = stream(engine, completion("r1", 5));
    LONGS_EQUAL(200, answer.status);
    LONGS_EQUAL(5, answer.events.size());
    const std::uint64_t digest = fnv1a64("hello");
    for (std::size_t i = 0; i < 5; ++i) {
        STRCMP_EQUAL("r1", answer.events[i]["request_id"].get<std::string>().c_str());
        LONGS_EQUAL(i, answer.events[i]["seq"].get<int>());
        STRCMP_EQUAL(standin::answerToken(digest, i).c_str(),
                     answer.events[i]["text"].get<std::string>().c_str());
    }
    CHECK_TRUE(answer.events[4]["done"].get<bool>());
    LONGS_EQUAL(5, answer.events[4]["total"].get<int>());
    LONGS_EQUAL(2, answer.events[4]["usage"]["prompt_tokens"].get<int>());
    STRCMP_EQUAL("finished", executionState("r1").c_str());
}

TEST(EngineStandin, eventFaultsDoWhatTheySay)
{
    fault({{"crossed_event", 2}});
    const Answer crossed = stream(engine, completion("r1", 5));
    STRCMP_EQUAL("r1-other", crossed.events[2]["request_id"].get<std::string>().c_str());
    fault({{"crossed_event", -1}, {"duplicate_event", 1}});
    const Answer duplicated = stream(engine, completion("r2", 5));
    LONGS_EQUAL(6, duplicated.events.size());
    LONGS_EQUAL(1, duplicated.events[2]["seq"].get<int>());
    fault({{"duplicate_event", -1}, {"truncate_after", 2}});
    const Answer truncated = stream(engine, completion("r3", 5));
    LONGS_EQUAL(3, truncated.events.size());
    CHECK_FALSE(truncated.complete);
    fault({{"truncate_after", -1}, {"late_ms", 300}});
    const TimePoint start = steadyNow();
    LONGS_EQUAL(5, stream(engine, completion("r4", 5)).events.size());
    CHECK_TRUE(steadyNow() - start >= Millis(300));
    fault({{"late_ms", 0}, {"silent", true}});
    LONGS_EQUAL(0, stream(engine, completion("r5", 5), kShort).events.size());
}

TEST(EngineStandin, promptWithoutMemoryGets429AndDoesNotRun)
{
    std::jthread first([&] { stream(engine, completion("big", 9000), kTimeout, 2000); });
    CHECK_TRUE(eventually(kTimeout, [&] { return memory("live_tokens") >= 9000; }));
    const HttpReply refused = post(engine, "/v1/completions", completion("second", 2000));
    first.join();
    LONGS_EQUAL(429, refused.status);
    CHECK_FALSE(nlohmann::json::parse(refused.body)["executed"].get<bool>());
    STRCMP_EQUAL("none", executionState("second").c_str());
}

// Guards against leaked memory after a disconnect, and against a grace time that does not end.
TEST(EngineStandin, lostConnectionFreesTheMemoryAfterTheGraceTime)
{
    stream(engine, completion("r1", 2000), kTimeout, 300);
    CHECK_TRUE(memory("live_tokens") > 0);
    CHECK_TRUE(eventually(Millis(2000), [&] { return memory("live_tokens") == 0; }));
    STRCMP_EQUAL("cancelled", executionState("r1").c_str());
}

TEST(EngineStandin, lostStreamIsResumedFromASequenceNumber)
{
    stream(engine, completion("r1", 60), kTimeout, 300);
    auto client = makeHttpClient(engine, {kTimeout, kTimeout, kTimeout});
    const auto result = client->Get("/v1/streams/r1?from=3");
    CHECK_TRUE(static_cast<bool>(result));
    const Answer rest = parseAnswer(result, result->body);
    LONGS_EQUAL(57, rest.events.size());
    LONGS_EQUAL(3, rest.events.front()["seq"].get<int>());
    CHECK_TRUE(rest.events.back()["done"].get<bool>());
    LONGS_EQUAL(404, client->Get("/v1/streams/unknown")->status);
}

TEST(EngineStandin, cancelEndsTheStreamAndFreesItsMemory)
{
    Answer answer;
    std::jthread reader([&] { answer = stream(engine, completion("r1", 3000)); });
    CHECK_TRUE(eventually(kTimeout, [&] { return memory("live_tokens") > 0; }));
    const auto reply = post(engine, "/v1/cancel", {{"request_id", "r1"}, {"attempt", 1}});
    reader.join();
    CHECK_TRUE(nlohmann::json::parse(reply.body)["cancelled"].get<bool>());
    CHECK_FALSE(answer.complete);
    LONGS_EQUAL(0, memory("live_tokens"));
    const auto early = post(engine, "/v1/cancel", {{"request_id", "late"}, {"attempt", 1}});
    CHECK_FALSE(nlohmann::json::parse(early.body)["executed"].get<bool>());
    LONGS_EQUAL(429, post(engine, "/v1/completions", completion("late", 5)).status);
}

TEST(EngineStandin, holdsArePrefilledMovedAndReleased)
{
    const nlohmann::json hold
            = {{"hold_id", "h1"}, {"request_id", "r"}, {"tokens", 6000}, {"ttl_ms", 60'000}};
    LONGS_EQUAL(200, post(engine, "/v1/holds", hold).status);
    nlohmann::json second = hold;
    second["hold_id"] = "h2";
    LONGS_EQUAL(409, post(engine, "/v1/holds", second).status);
    const std::string segment(4000, 's');
    const auto filled = post(engine, "/v1/prefill", {{"hold_id", "h1"}, {"segment", segment}});
    LONGS_EQUAL(200, filled.status);
    const auto digest = nlohmann::json::parse(filled.body)["digest"].get<std::string>();
    STRCMP_EQUAL(hex64(fnv1a64(segment)).c_str(), digest.c_str());
    const auto moved
            = nlohmann::json::parse(post(engine, "/v1/kv/export", {{"hold_id", "h1"}}).body);
    LONGS_EQUAL(1000, moved["filled_tokens"].get<int>());
    second["tokens"] = 1000;
    LONGS_EQUAL(200, post(engine, "/v1/holds", second).status);
    nlohmann::json import = moved;
    import["hold_id"] = "h2";
    LONGS_EQUAL(200, post(engine, "/v1/kv/import", import).status);
    LONGS_EQUAL(7000, memory("hold_tokens"));
    makeHttpClient(engine, {})->Delete("/v1/holds/h1");
    LONGS_EQUAL(200, post(engine, "/v1/holds/h2/renew", {{"ttl_ms", 100}}).status);
    CHECK_TRUE(eventually(kTimeout, [&] { return memory("hold_tokens") == 0; }));
}

TEST(EngineStandin, ordersAreFencedUnlessToldToIgnore)
{
    auto order = [&](int fencing, const char *version) {
        return post(engine, "/v1/orders",
                    {{"order", "load"}, {"fencing", fencing}, {"model", "m"}, {"version", version}})
                .status;
    };
    auto served = [&](const std::string &name) {
        const auto models = getBody(engine, "/v1/status")["models"];
        return std::find(models.begin(), models.end(), name) != models.end();
    };
    LONGS_EQUAL(200, order(5, "2"));
    LONGS_EQUAL(200, order(5, "2"));
    CHECK_TRUE(eventually(kTimeout, [&] { return served("m@2"); }));
    LONGS_EQUAL(409, order(4, "1"));
    fault({{"ignore_fencing", true}});
    LONGS_EQUAL(200, order(4, "1"));
    CHECK_TRUE(eventually(kTimeout, [&] { return served("m@1"); }));
}

TEST(EngineStandin, modelLoadTakesTheTimeOfTheWeightStore)
{
    cluster->setFaults(cluster->weights(), {{"bytes_per_second", 1e6}, {"model_bytes", 500'000}});
    const TimePoint start = steadyNow();
    post(engine, "/v1/orders", {{"order", "load"}, {"fencing", 1}, {"model", "m"}});
    LONGS_EQUAL(503, stream(engine,
                            [] {
                                auto body = completion("r1", 1);
                                body["model"] = "m";
                                return body;
                            }())
                             .status);
    CHECK_TRUE(eventually(kTimeout,
                          [&] { return getBody(engine, "/v1/status")["models"].size() == 2; }));
    CHECK_TRUE(steadyNow() - start >= Millis(490));
}

TEST(EngineStandin, cacheEventsAreLateAndHaveGaps)
{
    stream(engine, completion("r1", 1, std::string(4 * 1024, 'c')));
    LONGS_EQUAL(0, getBody(engine, "/v1/cache_events?since=0")["events"].size());
    auto events = [&] { return getBody(engine, "/v1/cache_events?since=0")["events"].size(); };
    CHECK_TRUE(eventually(kTimeout, [&] { return events() == 4; }));
    fault({{"gap_every", 2}});
    LONGS_EQUAL(2, events());
}

TEST(EngineStandin, staleLoadKeepsTheFiguresOfTheStatus)
{
    fault({{"stale_load", true}});
    std::jthread reader([&] { stream(engine, completion("r1", 3000), kTimeout, 6000); });
    CHECK_TRUE(eventually(kTimeout, [&] { return memory("live_tokens") > 0; }));
    std::this_thread::sleep_for(Millis(400));
    LONGS_EQUAL(0, getBody(engine, "/v1/status")["running"].get<int>());
    fault({{"stale_load", false}});
    CHECK_TRUE(eventually(
            kTimeout, [&] { return getBody(engine, "/v1/status")["running"].get<int>() == 1; }));
    reader.join();
}

// Guards against a shutdown that breaks streams, and against new work on a leaving engine.
TEST(EngineStandin, leavingEngineFinishesItsStreamsAndTakesNoNewOnes)
{
    Answer answer;
    std::jthread reader([&] { answer = stream(engine, completion("r1", 100)); });
    CHECK_TRUE(eventually(kTimeout, [&] { return memory("live_tokens") > 0; }));
    cluster->engine(0).process->sendSignal(SIGTERM);
    CHECK_TRUE(eventually(kTimeout,
                          [&] { return getBody(engine, "/v1/status")["state"] == "leaving"; }));
    LONGS_EQUAL(503, post(engine, "/v1/completions", completion("r2", 5)).status);
    reader.join();
    LONGS_EQUAL(100, answer.events.size());
    LONGS_EQUAL(0, cluster->engine(0).process->wait(kTimeout).value_or(-1));
}

// Guards against a lack of threads or of accepted connections at the stated scale.
TEST(EngineStandin, carries1200ConcurrentStreams)
{
    constexpr int kStreams = 1200;
    ClusterOptions options;
    options.engines = 1;
    options.engineFlags = {"--threads", "1300"};
    TestCluster big(options);
    big.start();
    const Address address = big.engine(0).address;
    std::atomic<int> whole{0};
    std::vector<std::jthread> readers;
    for (int i = 0; i < kStreams; ++i) {
        readers.emplace_back([&, i] {
            const auto answer = stream(address, completion("r" + std::to_string(i), 100));
            if (answer.events.size() == 100 && answer.events.back()["done"].get<bool>())
                ++whole;
        });
    }
    std::uint64_t most = 0;
    eventually(Millis(20'000), [&] {
        const auto streams = getBody(address, "/admin/memory");
        most = std::max(most, streams.value("live_streams", std::uint64_t{0}));
        return whole == kStreams;
    });
    for (std::jthread &reader : readers)
        reader.join();
    LONGS_EQUAL(kStreams, whole.load());
    LONGS_EQUAL(kStreams, most);
}
