// Which answers are given up when all together exceed their room.

#include "base/log.h"
#include "net/answerroom.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <utility>
#include <vector>

using namespace cicadafork;

TEST_GROUP(AnswerRoom)
{
    asio::io_context context;

    void setup() override
    {
        setLogLevel(LogLevel::Error);
    }
    void teardown() override
    {
        setLogLevel(LogLevel::Info);
    }
};

TEST(AnswerRoom, givesUpTheLargestAnswers)
{
    struct Case
    {
        const char *name;
        std::size_t limit;
        /// Number of an answer, and the bytes that it holds from then on.
        std::vector<std::pair<std::size_t, std::size_t>> steps;
        std::vector<std::size_t> givenUp;
        std::size_t used;
    };
    const Case cases[] = {
            {"room for all", 100, {{0, 60}, {1, 40}}, {}, 100},
            {"the one that grows is the largest", 100, {{0, 30}, {1, 40}, {1, 80}}, {1}, 30},
            {"another one is the largest", 100, {{0, 60}, {1, 30}, {1, 50}}, {0}, 50},
            {"one alone", 100, {{0, 101}}, {0}, 0},
            {"freed before", 100, {{0, 60}, {0, 0}, {1, 90}}, {}, 90},
            {"freed in part", 100, {{0, 60}, {0, 20}, {1, 80}}, {}, 100},
            {"holds nothing after it was given up", 100, {{0, 101}, {0, 500}, {1, 100}}, {0}, 100},
            {"one after the other", 100, {{0, 50}, {1, 40}, {2, 20}, {2, 70}}, {0, 2}, 40},
            {"unlimited", 0, {{0, 1000}, {1, 1000}}, {}, 2000},
    };
    for (const Case &row : cases) {
        AnswerRoom room(context, row.limit);
        std::vector<std::size_t> givenUp;
        std::vector<std::unique_ptr<AnswerHold>> holds;
        for (std::size_t i = 0; i < 3; ++i)
            holds.push_back(std::make_unique<AnswerHold>(&room, [&, i] { givenUp.push_back(i); }));
        for (const auto &[answer, bytes] : row.steps) {
            holds[answer]->resize(bytes);
            CHECK_TRUE_TEXT(givenUp.empty(), "answers are not given up in the middle of a call");
        }
        context.restart();
        context.poll();
        CHECK_TRUE_TEXT(givenUp == row.givenUp, row.name);
        UNSIGNED_LONGS_EQUAL_TEXT(row.givenUp.size(), room.givenUp(), row.name);
        UNSIGNED_LONGS_EQUAL_TEXT(row.used, room.used(), row.name);
        holds.clear();
        UNSIGNED_LONGS_EQUAL_TEXT(0, room.used(), row.name);
    }
}
