#pragma once

// The configuration's text in its newest versions, so that peers are told differences only.
//
//   ConfigHistory history;
//   history.add(8, text);
//   std::optional<ConfigChange> change = history.changeFrom(7);   // to be told to a peer
//   Result<std::string> text = peerHistory.apply(*change);

#include "base/error.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace cicadafork::gateway {

struct ConfigChange
{
    std::uint64_t base = 0; ///< The version that the difference starts from.
    std::uint64_t version = 0;
    std::uint64_t textHash = 0; ///< Of the new text.
    std::string delta;
};

class ConfigHistory
{
public:
    /// Versions grow.
    void add(std::uint64_t version, std::string text);

    std::uint64_t newest() const { return texts_.empty() ? 0 : texts_.back().version; }
    const std::string &newestText() const;

    /// Nothing when the base is not among the versions that are kept.
    std::optional<ConfigChange> changeFrom(std::uint64_t base) const;

    /// The new text. NotFound without the base, InvalidArgument when the result is not the text
    /// that was meant.
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
