#pragma once

// Internal: what the threads that run attempts share.

#include "admission/admission.h"
#include "base/metrics.h"
#include "claims/claimservice.h"
#include "frontend/holds.h"
#include "frontend/hooks.h"
#include "membership/fleet.h"
#include "settings/settings.h"

#include <string>

namespace cicadafork {

struct FrontendCounters
{
    explicit FrontendCounters(Metrics &metrics);

    prometheus::Counter &mismatches;
    prometheus::Counter &retries;
    prometheus::Counter &resumes;
    prometheus::Counter &completed;
    prometheus::Counter &failed;
    prometheus::Counter &cancelled;
    prometheus::Counter &rejected;
    prometheus::Counter &replays;
    prometheus::Counter &silences;
};

struct RunContext
{
    const Settings &settings;
    Fleet &fleet;
    Admission &admission;
    Claims &claims;
    const FrontendHooks &hooks;
    FrontendCounters &counters;
    HoldKeeper &holds;
    std::string incarnation;
};

} // namespace cicadafork
