#include "platform/vmlist.h"

#include <CppUTest/TestHarness.h>

using namespace cicadafork;

TEST_GROUP(VmList){};

// Guards against one malformed row hiding all other VMs, and against an unknown state being taken
// for live.
TEST(VmList, rowsAreReadOneByOne)
{
    struct Case
    {
        const char *name;
        const char *row;
        bool valid;
        bool leaving;
    };
    const Case cases[] = {
            {"live endpoint",
             R"({"id":"e","kind":"endpoint","domain":"d","address":"127.0.0.1:1","service":"s","state":"live"})",
             true, false},
            {"leaving endpoint",
             R"({"id":"e","kind":"endpoint","domain":"d","address":"127.0.0.1:1","service":"s","state":"leaving"})",
             true, true},
            {"unknown state",
             R"({"id":"e","kind":"endpoint","domain":"d","address":"127.0.0.1:1","service":"s","state":"new"})",
             true, true},
            {"entry",
             R"({"id":"a","kind":"entry","domain":"d","address":"127.0.0.1:1","peer_address":"127.0.0.1:2","state":"live"})",
             true, false},
            {"entry without peer address",
             R"({"id":"a","kind":"entry","domain":"d","address":"127.0.0.1:1","state":"live"})",
             false, false},
            {"bad address",
             R"({"id":"e","kind":"endpoint","domain":"d","address":"host:1","state":"live"})",
             false, false},
            {"unknown kind",
             R"({"id":"e","kind":"disk","domain":"d","address":"127.0.0.1:1","state":"live"})",
             false, false},
            {"not an object", "7", false, false},
    };
    for (const Case &c : cases) {
        const nlohmann::json body = {{"version", 3U}, {"vms", {nlohmann::json::parse(c.row)}}};
        const auto list = capture([&] { return parseVmList(body); });
        CHECK_TRUE_TEXT(static_cast<bool>(list), c.name);
        CHECK_EQUAL_TEXT(c.valid ? 1U : 0U, list->vms.size(), c.name);
        CHECK_EQUAL_TEXT(c.valid ? 0U : 1U, list->skipped, c.name);
        if (c.valid)
            CHECK_EQUAL_TEXT(c.leaving, list->vms[0].leaving, c.name);
    }
}

TEST(VmList, malformedAnswerIsAnErrorAndNotAnEmptyList)
{
    for (const char *body : {"[]", "{}", R"({"version":1})", R"({"version":1,"vms":{}})"}) {
        const auto list = capture([&] { return parseVmList(nlohmann::json::parse(body)); });
        CHECK_FALSE_TEXT(static_cast<bool>(list), body);
    }
}
