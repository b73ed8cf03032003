#pragma once

// A token bucket as a plain value. The caller passes the time.
//
//   refill(bucket, ratePerSecond, capacity, now);
//   if (!takeToken(bucket))
//       return timeToToken(bucket, ratePerSecond);

#include "base/clock.h"

#include <algorithm>
#include <cmath>

namespace cicadafork {

struct TokenBucket
{
    double tokens = 0;
    TimePoint refilled;
};

inline void refill(TokenBucket &bucket, double ratePerSecond, double capacity, TimePoint now)
{
    if (now > bucket.refilled) {
        const std::chrono::duration<double> elapsed = now - bucket.refilled;
        bucket.tokens += ratePerSecond * elapsed.count();
        bucket.refilled = now;
    }
    bucket.tokens = std::min(bucket.tokens, capacity);
}

inline bool takeToken(TokenBucket &bucket)
{
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

/// Time until the next whole token. ratePerSecond must be above 0.
inline Millis timeToToken(const TokenBucket &bucket, double ratePerSecond)
{
    const double missing = std::max(0.0, 1 - bucket.tokens);
    return Millis(std::llround(std::ceil(missing / ratePerSecond * 1000)));
}

} // namespace cicadafork
