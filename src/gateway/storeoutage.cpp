#include "gateway/storeoutage.h"

namespace cicadafork::gateway {

namespace {

// Records that expired during an outage, or that an older copy lacks, are restored within 2 s of
// its end.
constexpr Millis kRecordRestoreTime{2200};
// After an outage for all daemons, all of them read again within a second. A peer's read earlier
// than this before our own recovery shows that the store was serving others.
constexpr Millis kMaxRecoverySpread{1200};

std::optional<TimePoint> restoreTimeAfter(std::optional<TimePoint> event, TimePoint now)
{
    if (!event || now >= *event + kRecordRestoreTime)
        return std::nullopt;
    return *event + kRecordRestoreTime;
}

} // namespace

void StoreOutage::noteReadFailed(TimePoint)
{
    if (unavailable_)
        return;
    unavailable_ = true;
    firstPeerReadAt_.reset();
}

void StoreOutage::notePeerRead(TimePoint now)
{
    if (unavailable_ && !firstPeerReadAt_)
        firstPeerReadAt_ = now;
}

void StoreOutage::noteReadSucceeded(TimePoint now)
{
    if (!unavailable_)
        return;
    unavailable_ = false;
    const bool servedOthers = firstPeerReadAt_ && now - *firstPeerReadAt_ > kMaxRecoverySpread;
    if (!servedOthers)
        recoveredAt_ = now;
}

void StoreOutage::noteNewEra(TimePoint now)
{
    newEraAt_ = now;
}

std::optional<TimePoint> StoreOutage::recordMayReturnUntil(TimePoint now) const
{
    return restoreTimeAfter(recoveredAt_, now);
}

std::optional<TimePoint> StoreOutage::absentRecordMayReturnUntil(TimePoint now) const
{
    return restoreTimeAfter(newEraAt_, now);
}

} // namespace cicadafork::gateway
