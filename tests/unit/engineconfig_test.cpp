#include "standin-engine/engineserver.h"

#include <CppUTest/TestHarness.h>
#include <yaml-cpp/exceptions.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

using namespace cicadafork;
using namespace cicadafork::standin;

namespace {

std::string pathOfThisRun()
{
    return std::filesystem::temp_directory_path()
           / ("cicadafork-engine-" + std::to_string(getpid()) + ".yaml");
}

EngineParameters load(const std::string &text)
{
    const std::string path = pathOfThisRun();
    std::ofstream(path) << text;
    return loadEngineParameters(path);
}

} // namespace

TEST_GROUP(EngineConfig){void teardown() override{std::filesystem::remove(pathOfThisRun());
}
}
;

TEST(EngineConfig, namedParametersReplaceDefaults)
{
    const EngineParameters p = load("kv_capacity_tokens: 7000\norphan_grace_ms: 250\n");
    LONGS_EQUAL(7000, p.kvCapacityTokens);
    LONGS_EQUAL(250, p.orphanGrace.count());
    LONGS_EQUAL(2048, p.chunkTokens);
}

// Guards against a misspelt parameter that leaves its default in force unnoticed.
TEST(EngineConfig, unknownOrMalformedParameterIsRefused)
{
    CHECK_THROWS(YAML::Exception, load("kv_capacity: 7000\n"));
    CHECK_THROWS(YAML::Exception, load("chunk_tokens: many\n"));
}
