#pragma once

// Random times, so that processes that were set off together do not act together.
//
//   timer.expires_after(randomMillis(delay / 2, delay));

#include "base/clock.h"

namespace cicadafork {

/// Uniform from least to most, both included. Thread-safe.
Millis randomMillis(Millis least, Millis most);

/// Uniform from 0 to less than 1. Thread-safe.
double randomShare();

} // namespace cicadafork
