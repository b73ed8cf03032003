#pragma once

// Keeps the newest versions of the configuration text, so that peers can be sent only the
// difference between two versions.
//
//   ConfigHistory history;
//   history.add(8, text);
//   std::optional<ConfigChange> change = history.changeFrom(7);   // sent to a peer
//   Result<std::string> text = peerHistory.apply(*change);

#include "base/error.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace cicadafork::gateway {

struct ConfigChange
{
    std::uint64_t base = 0; ///< The version that `delta` applies to.
    std::uint64_t version = 0;
    std::uint64_t textHash = 0; ///< fnv1a64 of the new text.
    std::string delta;
};

class ConfigHistory
{
public:
    /// `version` must be greater than every version added before.
    void add(std::uint64_t version, std::string text);

    std::uint64_t newest() const { return texts_.empty() ? 0 : texts_.back().version; }
    const std::string &newestText() const;

    /// The change from `base` to the newest version. Empty if `base` is the newest version or is
    /// not kept.
    std::optional<ConfigChange> changeFrom(std::uint64_t base) const;

    /// Returns the new text. Fails with NotFound if the base version is not kept, and with
    /// InvalidArgument if the delta can't be applied or the result does not match `textHash`.
    Result<std::string> apply(const ConfigChange &change) const;

private:
    struct Text
    {
        std::uint64_t version = 0;
        std::string text;
    };

    const Text *find(std::uint64_t version) const;

    std::deque<Text> texts_;
};

} // namespace cicadafork::gateway
