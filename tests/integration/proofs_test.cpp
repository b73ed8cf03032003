// Short runs of proofs with a fixed seed. scripts/proofs.sh runs all of them in full.

#include "proofs/proof.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cicadafork::test;

namespace {

std::string joined(const ProofResult &result)
{
    std::string text = result.figure;
    for (const std::string &violation : result.violations)
        text += "\n" + violation;
    return text;
}

} // namespace

TEST_GROUP(Proofs){};

// Guards against a SIGTERM that cuts requests in progress or closes the listener before readiness
// has failed.
TEST(Proofs, gracefulShutdownCutsNoRequest)
{
    const ProofResult result = proveGracefulShutdown({.seed = 1, .brief = true});
    CHECK_TRUE_TEXT(result.violations.empty(), joined(result).c_str());
}

// Guards against parts of other answers, and against streams that are lost with their daemon.
TEST(Proofs, everyCallerGetsItsOwnWholeAnswer)
{
    const ProofResult result = proveOwnWholeAnswer({.seed = 1, .brief = true});
    CHECK_TRUE_TEXT(result.violations.empty(), joined(result).c_str());
}

// Guards against a "not run" that is false under faults of endpoints, links, daemons and the log.
TEST(Proofs, notRunIsTrue)
{
    const ProofResult result = proveNotRunIsTrue({.seed = 7, .brief = true});
    CHECK_TRUE_TEXT(result.violations.empty(), joined(result).c_str());
}

// Guards against a second execution of a key under the same faults.
TEST(Proofs, keysRunAtMostOnce)
{
    const ProofResult result = proveAtMostOnce({.seed = 7, .brief = true});
    CHECK_TRUE_TEXT(result.violations.empty(), joined(result).c_str());
}
