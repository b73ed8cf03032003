#include "proofs/proof.h"

namespace cicadafork::test {

ProofResult proveGracefulShutdown(const ProofOptions &)
{
    return {0, 0, "not implemented", {"the proof is not written yet"}};
}

} // namespace cicadafork::test
