#pragma once

// Tracks the era of the platform's store, which rises each time the store comes back from an older
// copy.
//
//   StoreEra era;
//   StoreCalls calls = checkEra(client.calls(), era, [](std::uint64_t before) { startOver(); });
//   if (const auto before = era.noteFromPeer(peer.storeEra))
//       startOver();
//
// Offsets of different eras must not be compared: an older copy gives them out again.

#include "gateway/protocol.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>

namespace cicadafork::gateway {

/// A position in a topic of the store.
struct StorePosition
{
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    /// A position of a newer era is always greater, even if its offset is lower.
    auto operator<=>(const StorePosition &) const = default;
};

enum class EraVerdict {
    Current,
    Newer, ///< The store came back from an older copy; known offsets are void.
    Late,  ///< The answer is of a copy that has been replaced and must not be used.
};

class StoreEra
{
public:
    /// `era` is that of an answer of the store. An answer without one counts as current. The first
    /// era that is seen is current too, since no offset is known before it.
    EraVerdict note(std::optional<std::uint64_t> era);
    /// `era` is the one that a peer knows, or 0 if it knows none. Returns the era known before if
    /// the peer's is newer.
    std::optional<std::uint64_t> noteFromPeer(std::uint64_t era);
    /// 0 while none is known.
    std::uint64_t known() const { return known_; }

private:
    std::uint64_t known_ = 0;
    bool seen_ = false; ///< An answer, or the era of a peer.
};

/// Calls that note the era of every answer and hand it on with the answer. Late answers end as
/// NoAnswer, so that they are retried. `changed` gets the era known before; it is called before the
/// callback of the call that brought the newer era. `era` must outlive the calls.
StoreCalls checkEra(StoreCalls calls, StoreEra &era,
                    std::function<void(std::uint64_t before)> changed);

} // namespace cicadafork::gateway
