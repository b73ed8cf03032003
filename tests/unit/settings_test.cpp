#include "settings/settings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cicadafork;

namespace {

const std::string kHash(64, 'a');

const std::string kValid = "member_id: entry-1\n"
                           "failure_domain: a\n"
                           "region: west\n"
                           "caller_address: 127.0.1.1:8080\n"
                           "peer_address: 127.0.1.1:9090\n"
                           "operator_credential_sha256: "
                           + kHash
                           + "\n"
                             "platform:\n"
                             "  log: 127.0.9.1:7000\n"
                             "  vm_list: 127.0.9.1:7001\n";

std::string problemsOf(const std::string &text)
{
    const auto settings = capture([&] { return parseSettings(text, "test.yaml"); });
    return settings ? "" : settings.error().message;
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, validFileSetsEveryKindOfValue)
{
    const std::string text
            = kValid
              + "limits: {max_body_bytes: 16MiB, max_streams: 7, retry_share: 0.2}\n"
                "timing: {tick: 50ms, hold_lifetime: 6s, max_request_timeout: 10min}\n"
                "routing: {policy: power_of_two, pool_mode: reserved_share}\n"
                "log_level: warning\n";
    const auto settings = capture([&] { return parseSettings(text, "test.yaml"); });
    CHECK_TRUE_TEXT(static_cast<bool>(settings), problemsOf(text).c_str());
    LONGS_EQUAL(16 << 20, settings->limits.maxBodyBytes);
    LONGS_EQUAL(7, settings->limits.maxStreams);
    DOUBLES_EQUAL(0.2, settings->limits.retryShare, 1e-9);
    LONGS_EQUAL(50, settings->timing.tick.count());
    LONGS_EQUAL(6000, settings->timing.holdLifetime.count());
    LONGS_EQUAL(600'000, settings->timing.maxRequestTimeout.count());
    CHECK_TRUE(settings->routing.policy == RoutingPolicy::PowerOfTwo);
    CHECK_TRUE(settings->routing.poolMode == PoolMode::ReservedShare);
    CHECK_TRUE(settings->logLevel == LogLevel::Warning);
    STRCMP_EQUAL("127.0.9.1:7001", toString(settings->platform.vmList).c_str());
}

// Guards against a daemon that starts although it misread or ignored a setting.
TEST(Settings, eachProblemIsReportedWithItsLine)
{
    struct Case
    {
        const char *name;
        std::string text;
        const char *expected;
    };
    const std::vector<Case> cases = {
            {"unknown key", kValid + "colour: red\n", "test.yaml:10: 'colour' is not a known key"},
            {"unknown nested key", kValid + "timing:\n  tik: 5s\n", "test.yaml:11: 'timing.tik'"},
            {"duplicate key", kValid + "region: east\n", "test.yaml:10: 'region' appears twice"},
            {"missing unit", kValid + "timing: {tick: 20}\n", "'timing.tick' is not a duration"},
            {"wrong unit", kValid + "timing: {tick: 20h}\n", "'timing.tick' is not a duration"},
            {"overflow", kValid + "timing: {tick: 9223372036854775807min}\n", "not a duration"},
            {"out of range", kValid + "timing: {send_permission: 9s}\n", "is out of range"},
            {"bad size", kValid + "limits: {max_streams: -1}\n", "is not a size"},
            {"bad share", kValid + "limits: {retry_share: 2}\n", "is out of range"},
            {"bad policy", kValid + "routing: {policy: random}\n", "use one of adaptive"},
            {"status interval too long", kValid + "timing: {status_interval: 2s}\n",
             "more than half"},
            {"default above maximum", kValid + "timing: {max_request_timeout: 1s}\n", "above"},
            {"claims expire before their keys", kValid + "timing: {deduplication_window: 120min}\n",
             "'platform.log_retention' does not exceed"},
            {"not a mapping", kValid + "limits: 5\n", "'limits' is not a mapping"},
            {"bad yaml", kValid + "limits: {\n", "not valid YAML"},
            {"bad hash", "operator_credential_sha256: 12\n", "is not a SHA-256 hash"},
            {"empty", "", "'member_id' is missing"},
    };
    for (const Case &c : cases) {
        const std::string problems = problemsOf(c.text);
        CHECK_TRUE_TEXT(problems.find(c.expected) != std::string::npos,
                        (std::string(c.name) + ": " + problems).c_str());
    }
}

// Two servers on one address would otherwise fail only when the second one binds.
TEST(Settings, conflictingAddressesAreReported)
{
    std::string text = kValid;
    text.replace(text.find(":9090"), 5, ":8080");
    STRCMP_CONTAINS("test.yaml:5: 'caller_address' and 'peer_address' are both 127.0.1.1:8080",
                    problemsOf(text).c_str());
}

// Guards against reporting only the first problem, so that an operator needs one start per problem.
TEST(Settings, allProblemsAreReportedTogether)
{
    const std::string problems = problemsOf("member_id: 'a b'\nlog_level: loud\nextra: 1\n");
    for (const char *part : {"'member_id' is not a valid name", "'log_level'", "'extra'",
                             "'region' is missing", "'platform.log' is missing"})
        STRCMP_CONTAINS(part, problems.c_str());
    CHECK_TRUE(std::count(problems.begin(), problems.end(), '\n') >= 8);
}

TEST(Settings, unreadableFileIsReported)
{
    const auto settings = capture([] { return loadSettings("/nonexistent/cicadafork.yaml"); });
    CHECK_FALSE(static_cast<bool>(settings));
    STRCMP_CONTAINS("cannot be read", settings.error().message.c_str());
}
