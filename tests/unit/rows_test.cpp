#include "daemon/rows.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace cicadafork;

TEST_GROUP(Rows){};

// Guards against showing a request with a long prompt as stuck during its prefill, and against
// showing a silent stream as stuck only after minutes because its prompt was long.
TEST(Rows, requestIsStuckAfterTwiceItsExpectedStep)
{
    struct Case
    {
        const char *name;
        RequestState state;
        Millis expectedFirstToken;
        Millis sinceProgress;
        bool stuck;
    };
    const std::vector<Case> cases = {
            {"short wait", RequestState::Queued, Millis(0), Millis(3000), false},
            {"long wait", RequestState::Queued, Millis(0), Millis(3001), true},
            {"prefill of a long prompt", RequestState::Dispatched, Millis(60'000), Millis(119'000),
             false},
            {"late first token", RequestState::Dispatched, Millis(60'000), Millis(120'001), true},
            {"silent stream", RequestState::Streaming, Millis(60'000), Millis(3001), true},
    };
    for (const Case &c : cases) {
        RequestView request;
        request.state = c.state;
        request.expectedFirstToken = c.expectedFirstToken;
        request.sinceProgress = c.sinceProgress;
        CHECK_EQUAL_TEXT(c.stuck, isStuck(request), c.name);
    }
}

// Guards against an explanation without the mechanism that holds the request, or without the event
// that frees it.
TEST(Rows, everyStateIsExplained)
{
    for (int i = 0; i <= static_cast<int>(RequestState::Retrying); ++i) {
        RequestView request;
        request.requestId = "r";
        request.workspace = "depot";
        request.service = "reports";
        request.state = static_cast<RequestState>(i);
        request.waitsFor = "a mechanism";
        QueuedRequestView queued;
        queued.requestId = requestKey("depot", "r");
        queued.reason = "no endpoint has capacity";
        const ResultTable table = explainRows("daemon-1", {request}, {queued}, "r");
        LONGS_EQUAL(1, table.rows.size());
        STRCMP_EQUAL("held_by", table.columns[3].c_str());
        STRCMP_EQUAL("freed_by", table.columns[6].c_str());
        const char *held = request.state == RequestState::Queued ? "no endpoint has capacity"
                                                                 : "a mechanism";
        STRCMP_CONTAINS(held, table.rows[0][3].c_str());
        CHECK_FALSE_TEXT(table.rows[0][6].empty(), toString(request.state));
    }
}
