// Differences of texts, and the versions of the configuration that are told as such.

#include "base/textdelta.h"
#include "gateway/confighistory.h"
#include "support/mutate.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <random>
#include <string>

using namespace cicadafork;
using namespace cicadafork::gateway;
using cicadafork::test::mutate;

namespace {

constexpr std::size_t kLongest = 1024 * 1024;

/// A configuration with so many routes, and one key that changes.
std::string configLike(unsigned routes, const std::string &key)
{
    std::string text = R"({"version":7,"tenants":[{"name":"w","apiKeys":[")" + key + R"("]}],)";
    text += R"("routes":[)";
    for (unsigned i = 0; i < routes; ++i)
        text += fmt::format(R"({{"name":"r{0}","pathPrefix":"/p{0}/","timeoutMs":9000}},)", i);
    return text + "]}";
}

std::string restored(const std::string &base, const std::string &target)
{
    const auto text = capture([&] { return applyDelta(base, makeDelta(base, target), kLongest); });
    return text ? *text : "error: " + text.error().message;
}

} // namespace

TEST_GROUP(TextDelta){};

TEST(TextDelta, givesTheTargetAgain)
{
    const std::string routes = configLike(40, "key-one");
    struct Case
    {
        const char *name;
        std::string base;
        std::string target;
    };
    const Case cases[] = {
            {"both empty", "", ""},
            {"from nothing", "", routes},
            {"to nothing", routes, ""},
            {"the same", routes, routes},
            {"a replaced word", routes, configLike(40, "key-two!")},
            {"one more at the end", routes, configLike(41, "key-one")},
            {"some less", routes, configLike(17, "key-one")},
            {"twice", routes, routes + routes},
            {"halves exchanged", routes, routes.substr(600) + routes.substr(0, 600)},
            {"nothing in common", std::string(300, 'a'), std::string(200, 'b')},
            {"a run that grew", std::string(300, 'a'), std::string(500, 'a')},
    };
    for (const Case &entry : cases)
        STRCMP_EQUAL_TEXT(entry.target.c_str(), restored(entry.base, entry.target).c_str(),
                          entry.name);
}

TEST(TextDelta, givesTheTargetAgainAfterRandomEdits)
{
    std::mt19937_64 random(20261204);
    std::string base = configLike(60, "key");
    for (unsigned round = 0; round < 400; ++round) {
        std::string target = base;
        for (unsigned edit = 0; edit < 1 + random() % 6; ++edit)
            target = mutate(std::move(target), random);
        STRCMP_EQUAL(target.c_str(), restored(base, target).c_str());
        base = std::move(target);
        if (base.size() < 100)
            base = configLike(60, "key");
    }
}

// Guards against a change of one key that costs as many bytes as the whole configuration.
TEST(TextDelta, isSmallWhenLittleChanged)
{
    const std::string before = configLike(3000, "key-one");
    std::string after = configLike(3000, "another key");
    after.replace(after.find("/p2000/"), 7, "/moved/");
    CHECK_TRUE(before.size() > 100'000);
    CHECK_TRUE(makeDelta(before, after).size() < 200);
}

// Guards against reading or writing beyond the texts on what a damaged datagram says.
TEST(TextDelta, damagedDeltasAreErrorsOrOtherTexts)
{
    std::mt19937_64 random(7);
    const std::string base = configLike(30, "key-one");
    const std::string delta = makeDelta(base, configLike(33, "key-two"));
    for (unsigned round = 0; round < 3000; ++round) {
        const std::string damaged = mutate(delta, random);
        const auto text = capture([&] { return applyDelta(base, damaged, 5000); });
        CHECK_TRUE(!text || text->size() <= 5000);
    }
    const auto tooLong = capture([&] { return applyDelta(base, delta, 100); });
    CHECK_FALSE(static_cast<bool>(tooLong));
}

TEST_GROUP(ConfigHistory)
{
    ConfigHistory ours;
    ConfigHistory theirs;
};

TEST(ConfigHistory, tellsChangesFromVersionsThatItKeeps)
{
    CHECK_FALSE(ours.changeFrom(0).has_value());
    for (unsigned version = 1; version <= 8; ++version)
        ours.add(version, configLike(20 + version, "key"));
    CHECK_FALSE_TEXT(ours.changeFrom(8).has_value(), "nothing is newer");
    CHECK_FALSE_TEXT(ours.changeFrom(2).has_value(), "too long ago");
    theirs.add(6, configLike(26, "key"));
    const auto change = ours.changeFrom(6);
    CHECK_TRUE(change.has_value());
    const auto text = capture([&] { return theirs.apply(*change); });
    CHECK_TRUE(static_cast<bool>(text));
    STRCMP_EQUAL(ours.newestText().c_str(), text->c_str());
}

// Guards against a configuration that nobody wrote.
TEST(ConfigHistory, refusesWhatGivesAnotherText)
{
    ours.add(1, configLike(5, "key"));
    ours.add(2, configLike(6, "key"));
    ConfigChange change = *ours.changeFrom(1);
    const auto codeOf = [&] {
        const auto text = capture([&] { return theirs.apply(change); });
        return std::string(text ? "ok" : toString(text.error().code));
    };
    STRCMP_EQUAL_TEXT("not_found", codeOf().c_str(), "without the base");
    theirs.add(1, configLike(5, "other"));
    STRCMP_EQUAL_TEXT("invalid_argument", codeOf().c_str(), "with another base");
    theirs = {};
    theirs.add(1, configLike(5, "key"));
    STRCMP_EQUAL("ok", codeOf().c_str());
    change.delta.pop_back();
    STRCMP_EQUAL_TEXT("invalid_argument", codeOf().c_str(), "cut short");
}
