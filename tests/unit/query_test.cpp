#include "query/resulttable.h"
#include "query/statement.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>
#include <vector>

using namespace cicadafork;

namespace {

ResultTable sampleTable()
{
    return {{"id", "state", "tokens"},
            {{"a", "stuck", "900"}, {"b", "running", "1000"}, {"c", "stuck", "20"}},
            {}};
}

std::string idsOf(const ResultTable &table)
{
    std::string ids;
    for (const auto &row : table.rows)
        ids += row.front();
    return ids;
}

} // namespace

TEST_GROUP(Query){};

// Guards against malformed statements that are accepted, and against errors that do not give the
// position of the mistake.
TEST(Query, malformedStatementsNameColumnAndRemedy)
{
    struct Case
    {
        const char *text;
        const char *messageStart;
    };
    const std::vector<Case> cases = {
            {"", "column 1:"},
            {"shwo requests", "column 1:"},
            {"show", "column 5:"},
            {"show request", "column 6:"},
            {"show requests where", "column 20:"},
            {"show requests where state is stuck", "column 27:"},
            {"show requests where state = ", "column 29:"},
            {"show requests limit many", "column 21:"},
            {"show requests order state", "column 21:"},
            {"show requests please", "column 15:"},
            {"create service", "column 15:"},
            {"create servce x", "column 8:"},
            {"create service x kind", "column 22:"},
            {"create service x kind=model kind=plain", "column 29:"},
            {"create service x kind=\"model", "column 23:"},
            {"change service x if version 3", "column 29:"},
            {"why", "column 4:"},
            {"show requests columns", "column 22:"},
            {"show requests columns id,,state", "column 26:"},
    };
    for (const Case &c : cases) {
        const auto parsed = capture([&] { return parseStatement(c.text); });
        CHECK_FALSE_TEXT(static_cast<bool>(parsed), c.text);
        STRNCMP_EQUAL_TEXT(c.messageStart, parsed.error().message.c_str(),
                           std::string(c.messageStart).size(), c.text);
        CHECK_FALSE_TEXT(parsed.error().remedy.empty(), c.text);
    }
}

TEST(Query, showKeepsConditionsOrderAndLimit)
{
    const auto parsed = capture([] {
        return parseStatement("show requests where state = stuck and tokens>=20 "
                              "order by tokens desc limit 5");
    });
    CHECK_TRUE(static_cast<bool>(parsed));
    const auto &show = std::get<ShowStatement>(*parsed);
    LONGS_EQUAL(2, show.conditions.size());
    STRCMP_EQUAL("tokens", show.conditions[1].field.c_str());
    CHECK_TRUE(show.conditions[1].comparison == Comparison::GreaterOrEqual);
    CHECK_TRUE(show.ordering->descending);
    LONGS_EQUAL(5, show.limit);
}

TEST(Query, commandKeepsFieldsAndBaseVersion)
{
    const auto parsed = capture([] {
        return parseStatement("change service reports models=\"large, small\" priority=urgent "
                              "if version = 12");
    });
    CHECK_TRUE(static_cast<bool>(parsed));
    const auto &statement = std::get<CommandStatement>(*parsed);
    CHECK_TRUE(statement.command.verb == CommandVerb::Change);
    STRCMP_EQUAL("large, small", statement.command.fields.at("models").c_str());
    LONGS_EQUAL(12, statement.command.baseVersion);
    CHECK_TRUE(statement.versionGiven);
}

// Guards against numbers that are compared as text ("1000" before "900").
TEST(Query, conditionsSelectRows)
{
    struct Case
    {
        const char *text;
        const char *ids;
    };
    const std::vector<Case> cases = {
            {"show requests", "abc"},
            {"show requests where state = stuck", "ac"},
            {"show requests where state != stuck", "b"},
            {"show requests where tokens > 900", "b"},
            {"show requests where tokens <= 900 and state ~ tuc", "ac"},
            {"show requests order by tokens", "cab"},
            {"show requests order by tokens desc limit 2", "ba"},
    };
    for (const Case &c : cases) {
        const auto parsed = capture([&] { return parseStatement(c.text); });
        ResultTable table = sampleTable();
        const auto applied
                = capture([&] { return applyShow(table, std::get<ShowStatement>(*parsed)); });
        CHECK_TRUE_TEXT(static_cast<bool>(applied), c.text);
        STRCMP_EQUAL_TEXT(c.ids, idsOf(table).c_str(), c.text);
    }
}

// Guards against tables that are too wide to read, and against a column selection that drops
// columns before the conditions use them.
TEST(Query, columnsAreSelectedAfterConditions)
{
    const auto parsed = capture([] {
        return parseStatement("show requests columns tokens,id where state = stuck order by id");
    });
    ResultTable table = sampleTable();
    CHECK_TRUE(static_cast<bool>(
            capture([&] { return applyShow(table, std::get<ShowStatement>(*parsed)); })));
    CHECK_TRUE(table.columns == (std::vector<std::string>{"tokens", "id"}));
    CHECK_TRUE(table.rows.front() == (std::vector<std::string>{"900", "a"}));
    STRCMP_EQUAL("tokens:  900\nid:      a\ntokens:  20\nid:      c\n",
                 formatRecords(table).c_str());
}

TEST(Query, unknownFieldIsReportedWithTheKnownFields)
{
    ResultTable table = sampleTable();
    const auto parsed = capture([] { return parseStatement("show requests where size = 3"); });
    const auto applied
            = capture([&] { return applyShow(table, std::get<ShowStatement>(*parsed)); });
    CHECK_FALSE(static_cast<bool>(applied));
    STRCMP_CONTAINS("id, state, tokens", applied.error().remedy.c_str());
}

TEST(Query, resultTableIsPreservedByJson)
{
    ResultTable table = sampleTable();
    table.unanswered = {"entry-3"};
    const auto copy = capture([&] { return resultTableFromJson(toJson(table)); });
    CHECK_TRUE(static_cast<bool>(copy));
    STRCMP_EQUAL(formatTable(table).c_str(), formatTable(*copy).c_str());
    const auto broken = capture([] {
        return resultTableFromJson(nlohmann::json::parse(R"({"columns":["a"],"rows":[[]]})"));
    });
    CHECK_FALSE(static_cast<bool>(broken));
}

// Guards against untrusted input that crashes or hangs the parser.
TEST(Query, randomStatementsNeverCrashTheParser)
{
    const std::vector<std::string> words = {"show",  "requests", "where", "and",
                                            "=",     "<=",       "\"",    "'",
                                            "order", "by",       "limit", "18446744073709551616",
                                            "drain", "service",  "if",    "version",
                                            "\xff",  "~"};
    std::mt19937_64 random(7);
    for (int i = 0; i < 20'000; ++i) {
        std::string text;
        const std::size_t length = random() % 12;
        for (std::size_t word = 0; word < length; ++word) {
            text += words[random() % words.size()];
            if (random() % 4 != 0)
                text += ' ';
        }
        const auto parsed = capture([&] { return parseStatement(text); });
        if (!parsed)
            CHECK_FALSE(parsed.error().remedy.empty());
    }
}
