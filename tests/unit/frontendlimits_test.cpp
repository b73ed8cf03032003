#include "support/frontendfakes.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cicadafork;
using namespace cicadafork::test;

TEST_GROUP(FrontendLimits){};

// Guards against a body of nested arrays that overflows the stack of the thread that copies or
// writes it, which ended the process.
TEST(FrontendLimits, deeplyNestedBodiesAreRefused)
{
    FrontendFixture fixture;
    const std::size_t depth = 32'000; // A test body may have 64 KiB.
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    for (const char *path : {"/v1/completions", "/v1/chat/completions", "/v1/services/gate/look"}) {
        const auto answer = fixture.post(path, "{\"model\":" + nested + "}");
        CHECK_TRUE_TEXT(static_cast<bool>(answer), path);
        LONGS_EQUAL_TEXT(400, answer->status, path);
    }
}
