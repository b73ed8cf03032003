#pragma once

// Generated traces of the users' days. The same options give the same trace.
//
//   auto trace = capture([&] { return generateTrace({.profile = "coop", .rate = 20, .seed = 3});
//   });

#include "loadgen/trace.h"

namespace cicadafork {

enum class Arrivals { Poisson, Bursty };

struct GenerateOptions
{
    std::string profile = "karri-ridge"; ///< Or "coop".
    Millis duration{60'000};
    double rate = 10; ///< Mean requests per second.
    std::uint64_t seed = 1;
    Arrivals arrivals = Arrivals::Poisson;
};

/// Fails with InvalidArgument for an unknown profile, a rate that is not above 0 and at most
/// 10,000, or a duration that is not above 0 and at most a day. One prompt in fifty is above 100k
/// tokens.
Result<std::vector<TraceRequest>> generateTrace(const GenerateOptions &options);

} // namespace cicadafork
