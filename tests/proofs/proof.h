#pragma once

// Proofs of the guarantees in docs/design.md section 1, with real processes and injected faults.
//
//   ProofResult result = proveGracefulShutdown({.seed = 7});
//
// A proof starts its own system, injects faults that the seed chooses, and compares what callers
// were told with what the stand-ins recorded.

#include <cstdint>
#include <string>
#include <vector>

namespace cicadafork::test {

struct ProofOptions
{
    std::uint64_t seed = 1;
    bool brief = false; ///< Fewer faults, at most 20 s; for the integration tests.
};

struct ProofResult
{
    std::uint64_t faults = 0;   ///< Injected faults.
    std::uint64_t requests = 0; ///< Requests or commands that were judged.
    std::string figure; ///< What was measured against the bound, for example "latest +83 ms".
    std::vector<std::string> violations; ///< One sentence each; the guarantee holds when empty.
};

ProofResult proveFinishInTime(const ProofOptions &options);
ProofResult proveEngineMemory(const ProofOptions &options);
ProofResult proveOwnWholeAnswer(const ProofOptions &options);
ProofResult proveNotRunIsTrue(const ProofOptions &options);
ProofResult proveAtMostOnce(const ProofOptions &options);
ProofResult proveLeavingEndpoint(const ProofOptions &options);
ProofResult proveGracefulShutdown(const ProofOptions &options);
ProofResult proveConfigurationHolds(const ProofOptions &options);

} // namespace cicadafork::test
