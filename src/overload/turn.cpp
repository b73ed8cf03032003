#include "overload/turn.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace cicadafork::overload {

namespace {

// Time in which all daemons of a region hear of a placement: one way between failure domains
// (3.5 ms on the users' widest deployment), and the relay there.
constexpr Millis kTurnInterval{5};
// After this time without a change at an endpoint, those ahead cannot use it. Two passes of an
// engine with all slots taken.
constexpr Millis kMaxTurnDelay{150};

} // namespace

Turn turnAt(std::uint64_t endpoint, const OwnRequest &own, std::span<const WaitingRank> others,
            TimePoint now)
{
    const auto key = [&](const WaitingRank &rank) {
        return std::tuple(rank.objective <= now, rank.priority, mix64(endpoint ^ rank.tie));
    };
    const auto ownKey = key(own.rank);
    Turn turn;
    turn.waiting = static_cast<unsigned>(others.size());
    for (const WaitingRank &other : others) {
        const auto otherKey = key(other);
        turn.ahead += otherKey < ownKey;
        turn.yields = turn.yields || (std::get<0>(ownKey) && !std::get<0>(otherKey));
    }
    turn.owner = own.told && turn.ahead == 0;
    return turn;
}

bool mayTake(const Turn &turn, Millis sinceChange, double draw)
{
    if (turn.waiting == 0 || turn.owner)
        return true;
    const Millis delay
            = turn.yields ? kMaxTurnDelay
                          : std::min(kTurnInterval * (static_cast<Millis::rep>(turn.ahead) + 1),
                                     kMaxTurnDelay);
    return sinceChange >= delay && draw * turn.waiting < 1;
}

} // namespace cicadafork::overload
