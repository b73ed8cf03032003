#pragma once

// Callers that repeat their requests, and faults of services, engines and the log, for the proofs
// of at-most-once execution and of true "not run" answers.
//
//   KeyedLoad load(system, journal, {.keyedShare = 0.6});
//   callers.start(8, [&](Random &random) { load.call(random); }, seed);
//   injectFaults(system, outages, random, rounds);

#include "support/calljournal.h"
#include "support/faultplan.h"

#include <functional>

namespace cicadafork::test {

inline constexpr const char *kNonRepeatable = "send-text";
inline constexpr const char *kRepeatable = "read-state";

/// Six daemons, three engines and three services in three failure domains, with a proxy on every
/// endpoint and on every path between domains; 33 processes.
ClusterOptions keyedCluster();

struct KeyedLoadOptions
{
    double keyedShare = 0.6;
    double engineShare = 0.2; ///< The rest are calls without a key of a plain service.
};

class KeyedLoad
{
public:
    KeyedLoad(ProofSystem &system, CallJournal &journal, KeyedLoadOptions options)
        : system_(system)
        , journal_(journal)
        , options_(options)
    {
    }

    /// One request with all its attempts.
    void call(Random &random);
    /// One attempt with a key through a daemon.
    CallResult attempt(std::size_t daemon, const std::string &key, const std::string &attempt,
                       Millis timeout);

private:
    void callKeyed(Random &random);
    void callWithoutKey(Random &random);
    void callEngine(Random &random);

    ProofSystem &system_;
    CallJournal &journal_;
    KeyedLoadOptions options_;
};

/// Runs the rounds one after another: one fault of an endpoint or of the log, half of the time
/// together with one of a daemon or of a path, then a short time without. Returns the number of
/// faults.
std::uint64_t injectFaults(ProofSystem &system, Outages &outages, Random &random,
                           std::size_t rounds);

} // namespace cicadafork::test
