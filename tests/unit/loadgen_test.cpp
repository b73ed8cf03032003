#include "loadgen/generate.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace cicadafork;

namespace {

std::vector<TraceRequest> generated(const GenerateOptions &options)
{
    const auto trace = capture([&] { return generateTrace(options); });
    CHECK_TRUE(static_cast<bool>(trace));
    return *trace;
}

} // namespace

TEST_GROUP(LoadGen){};

// Guards against traces that differ between two runs of one seed, or change when they are stored.
TEST(LoadGen, sameSeedGivesTheSameTraceAndItSurvivesTheFile)
{
    for (const char *profile : {"karri-ridge", "coop"}) {
        GenerateOptions options;
        options.profile = profile;
        options.seed = 7;
        const auto trace = generated(options);
        CHECK_TRUE(trace == generated(options));
        const auto parsed = capture([&] { return parseTrace(formatTrace(trace)); });
        CHECK_TRUE(parsed && *parsed == trace);
        options.seed = 8;
        CHECK_FALSE(trace == generated(options));
    }
}

// Guards against a load that lacks the long prompts or the keyed calls of the users' days.
TEST(LoadGen, profilesHaveTheStatedMix)
{
    for (const char *profile : {"karri-ridge", "coop"}) {
        for (const Arrivals arrivals : {Arrivals::Poisson, Arrivals::Bursty}) {
            const auto trace = generated({profile, Millis(600'000), 50, 1, arrivals});
            std::map<std::string, int> classes;
            double longPrompts = 0;
            double inBursts = 0;
            int keyed = 0;
            std::set<std::string> workspaces;
            for (const TraceRequest &request : trace) {
                ++classes[lengthClass(request.promptTokens)];
                longPrompts += request.promptTokens > 100'000;
                inBursts += request.offset.count() % 5000 < 1000;
                keyed += request.keyed;
                workspaces.insert(request.workspace);
            }
            const auto count = static_cast<double>(trace.size());
            DOUBLES_EQUAL(30'000, count, 1'500);
            DOUBLES_EQUAL(0.02, longPrompts / count, 0.004);
            DOUBLES_EQUAL(arrivals == Arrivals::Bursty ? 0.8 : 0.2, inBursts / count, 0.02);
            LONGS_EQUAL(4, classes.size());
            LONGS_EQUAL(10, workspaces.size());
            CHECK(keyed > 1000);
        }
    }
}

// Guards against prompts that miss their length or share no prefix.
TEST(LoadGen, promptHasItsLengthAndItsSharedPrefix)
{
    TraceRequest first;
    first.promptTokens = 1000;
    first.prefixTokens = 400;
    first.prefixSeed = 5;
    first.promptSeed = 1;
    TraceRequest second = first;
    second.promptSeed = 2;
    const std::string a = makePrompt(first);
    const std::string b = makePrompt(second);
    LONGS_EQUAL(4000, a.size());
    CHECK_TRUE(a.substr(0, 1600) == b.substr(0, 1600));
    CHECK_FALSE(a.substr(1600, 40) == b.substr(1600, 40));
}

// Guards against a check that accepts a part of an answer or another caller's answer.
TEST(LoadGen, answerCheckFindsEveryDefect)
{
    const std::string whole = expectedAnswer("prompt", 5);
    struct Case
    {
        const char *name;
        std::string answer;
        AnswerCheck expected;
    };
    const std::vector<Case> cases = {
            {"whole", whole, AnswerCheck::Whole},
            {"missing", "", AnswerCheck::Truncated},
            {"last token missing", whole.substr(0, 4 * 17), AnswerCheck::Truncated},
            {"doubled", whole + whole, AnswerCheck::TooLong},
            {"other prompt", expectedAnswer("prompt2", 5), AnswerCheck::Wrong},
            {"token repeated", whole.substr(0, 17) + whole.substr(0, 4 * 17), AnswerCheck::Wrong},
            {"mixed", whole.substr(0, 34) + expectedAnswer("x", 3), AnswerCheck::Wrong},
    };
    for (const Case &c : cases)
        CHECK_TRUE_TEXT(checkAnswer("prompt", 5, c.answer) == c.expected, c.name);
}

// Guards against a run on half of a damaged trace.
TEST(LoadGen, badTraceIsRejectedWithItsLine)
{
    const auto good = encodeRequest({});
    const std::vector<std::pair<const char *, nlohmann::json>> changes = {
            {"kind", "other"},     {"prompt_tokens", -1}, {"prompt_tokens", 5'000'000},
            {"prefix_tokens", 1},  {"keyed", "yes"},      {"priority", "high"},
            {"expected", "maybe"}, {"offset_ms", 1.5},    {"timeout_ms", nullptr},
    };
    for (const auto &[field, value] : changes) {
        auto bad = good;
        bad[field] = value;
        const auto trace = capture([&] { return parseTrace(good.dump() + '\n' + bad.dump()); });
        CHECK_FALSE_TEXT(static_cast<bool>(trace), field);
        CHECK_TRUE_TEXT(trace.error().message.starts_with("trace line 2"), field);
    }
    for (const GenerateOptions &options :
         {GenerateOptions{"other"}, GenerateOptions{"coop", Millis(0)},
          GenerateOptions{"coop", Millis(1000), -1}})
        CHECK_FALSE(static_cast<bool>(capture([&] { return generateTrace(options); })));
}
