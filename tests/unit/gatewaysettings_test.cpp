// Settings of a gateway, rendered from the template that is deployed.

#include "base/log.h"
#include "gateway/settings.h"
#include "support/settingstemplate.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

nlohmann::json values()
{
    return {{"nodeName", "front-1"},
            {"zone", "a"},
            {"ip", "127.0.1.1"},
            {"listen",
             {{"front", "127.0.1.1:8080"},
              {"ready", "127.0.1.1:8081"},
              {"control", "127.0.1.1:8082"}}},
            {"portRange", {9000, 9010}},
            {"platform", {{"address", "127.0.9.1:7000"}}},
            {"seedAddrs", "127.0.1.1:9000"},
            {"bounds",
             {{"retryBudgetRatio", 0.2},
              {"budgetSlack", 10},
              {"budgetWindowS", 10},
              {"graceS", 8}}},
            {"limits", {{"maxFds", 4096}}}};
}

std::string deployedTemplate()
{
    std::ifstream file(std::string(CICADAFORK_SOURCE_DIR) + "/deploy/gateway.yaml");
    std::stringstream text;
    text << file.rdbuf();
    std::string result = text.str();
    // An index into a list has no stand-in.
    const std::string port = "{{portRange.0}}";
    return result.replace(result.find(port), port.size(), "9000");
}

} // namespace

TEST_GROUP(GatewaySettings){void setup() override{setLogLevel(LogLevel::Error);
}
void teardown() override
{
    setLogLevel(LogLevel::Info);
}
}
;

// Guards against daemons that do not start because a VM names no regions, and against regions that
// are lost or wrong on the way into the daemon.
TEST(GatewaySettings, theTemplateRendersTheRegionsOfAVm)
{
    using Regions = std::map<std::string, std::string>;
    struct Case
    {
        const char *name;
        const char *region; ///< Null if absent.
        nlohmann::json zones;
        const char *own;
        Regions byFailureDomain;
    };
    const Case cases[] = {
            {"neither", nullptr, nullptr, "", {}},
            {"both",
             "west",
             {{"a", "west"}, {"b", "west"}, {"c", "east"}},
             "west",
             {{"a", "west"}, {"b", "west"}, {"c", "east"}}},
            {"no zones", "west", nullptr, "west", {{"a", "west"}}},
            {"no region",
             nullptr,
             {{"a", "west"}, {"b", "east"}},
             "west",
             {{"a", "west"}, {"b", "east"}}},
            {"own zone is missing",
             "west",
             {{"b", "east"}},
             "west",
             {{"a", "west"}, {"b", "east"}}},
            {"a zone without a region", "west", {{"b", ""}}, "west", {{"a", "west"}}},
            {"they contradict each other",
             "west",
             {{"a", "east"}, {"b", "east"}},
             "",
             {{"b", "east"}}},
    };
    for (const Case &row : cases) {
        nlohmann::json vm = values();
        if (row.region)
            vm["region"] = row.region;
        if (!row.zones.is_null())
            vm["zones"] = row.zones;
        const std::string text = renderTemplate(deployedTemplate(), vm);
        const auto settings = capture([&] { return parseGatewaySettings(text, "gateway.yaml"); });
        CHECK_TRUE_TEXT(static_cast<bool>(settings),
                        (row.name + (settings ? "" : ": " + settings.error().message)).c_str());
        STRCMP_EQUAL_TEXT(row.own, settings->regions.own.c_str(), row.name);
        CHECK_TRUE_TEXT(settings->regions.byFailureDomain == row.byFailureDomain, row.name);
        STRCMP_EQUAL("a", settings->failureDomain.c_str());
        LONGS_EQUAL(9464, settings->metricsPort);
    }
}

// Guards against a mapping that is ignored because it is written in another form.
TEST(GatewaySettings, malformedRegionsAreReported)
{
    const std::string rendered = renderTemplate(deployedTemplate(), values());
    const std::string mapping = "failure_domain_regions: {  }";
    for (const char *malformed : {"failure_domain_regions: west", "failure_domain_regions: [a]",
                                  "failure_domain_regions: {a: [west]}", "region: [west]"}) {
        std::string text = rendered;
        const std::string line
                = std::string(malformed).starts_with("region") ? "region: \"\"" : mapping;
        const std::size_t at = text.find(line);
        CHECK_TRUE_TEXT(at != std::string::npos, malformed);
        text.replace(at, line.size(), malformed);
        CHECK_FALSE_TEXT(static_cast<bool>(capture(
                                 [&] { return parseGatewaySettings(text, "gateway.yaml"); })),
                         malformed);
    }
}
