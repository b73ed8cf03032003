#include "cli/explaincommand.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace cicadafork;

namespace {

LogLine parsed(const std::string &text)
{
    LogLine line;
    CHECK_TRUE_TEXT(parseLogLine(text, line), text.c_str());
    return line;
}

std::string line(const std::string &rest)
{
    return "2026-12-03T23:00:00.000Z info " + rest;
}

} // namespace

TEST_GROUP(Explain){};

TEST(Explain, readsALineWithQuotesAndATextBefore)
{
    const LogLine read = parsed("  12.5 front-1 "
                                + line("sent request=r1 reason=\"on \\\"time\\\"\" "
                                       "helpers=\"\" send=2"));
    STRCMP_EQUAL("sent", read.event.c_str());
    STRCMP_EQUAL("r1", read.field("request").c_str());
    STRCMP_EQUAL("on \"time\"", read.field("reason").c_str());
    STRCMP_EQUAL("", read.field("helpers").c_str());
    STRCMP_EQUAL("2", read.field("send").c_str());
    LogLine other;
    CHECK_FALSE(parseLogLine("not a log line", other));
}

TEST(Explain, namesTheCauseOfEachEnd)
{
    const std::pair<std::vector<std::string>, const char *> cases[] = {
            {{"sent request=r", "ended outcome=completed"}, "completed"},
            {{"queued request=r", "refused reason=no_endpoint", "ended outcome=refused"},
             "refused: no endpoint could take it in time"},
            {{"attempt_failed reason=no_answer endpoint=i-7", "ended outcome=failed"},
             "failed: the connection to the endpoint broke before an answer (endpoint i-7)"},
            {{"broken_off reason=deadline", "ended outcome=broken_off"},
             "broken_off: its deadline, or the route's timeout, passed"},
            {{"ended outcome=caller_left"}, "caller_left: the caller closed its connection"},
            {{"endpoint_leaving request=r endpoint=i-7 source=answer", "ended outcome=completed"},
             "completed; endpoint i-7 said that it leaves"},
            {{"endpoint_quiet request=r endpoint=i-7 for_ms=2000",
              "attempt_failed reason=endpoint_refused endpoint=i-7",
              "refused reason=endpoints_quiet", "ended outcome=refused"},
             "could wait (endpoint i-7); endpoint i-7 wanted no requests for 2000 ms"},
            {{"rejected status=401 reason=unknown_key"}, "rejected with 401: no workspace holds"},
            {{"sent request=r"}, "no end is logged"},
    };
    for (const auto &[lines, expected] : cases) {
        std::vector<LogLine> story;
        for (const std::string &text : lines)
            story.push_back(parsed(line(text)));
        STRCMP_CONTAINS(expected, causeOf(story).c_str());
    }
}
