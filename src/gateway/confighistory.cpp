#include "gateway/confighistory.h"

#include "base/hash.h"
#include "base/textdelta.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork::gateway {

namespace {

// Changes are usually seconds apart, so few peers are further behind. A peer that is further behind
// reads the whole configuration.
constexpr std::size_t kKeptVersions = 4;
// A configuration of 690 workspaces and thousands of routes takes less than 1 MB.
constexpr std::size_t kMaxTextBytes = 16 * 1024 * 1024;

} // namespace

void ConfigHistory::add(std::uint64_t version, std::string text)
{
    texts_.push_back({version, std::move(text)});
    if (texts_.size() > kKeptVersions)
        texts_.pop_front();
}

const std::string &ConfigHistory::newestText() const
{
    static const std::string kNone;
    return texts_.empty() ? kNone : texts_.back().text;
}

const ConfigHistory::Text *ConfigHistory::find(std::uint64_t version) const
{
    const auto found = std::ranges::find(texts_, version, &Text::version);
    return found == texts_.end() ? nullptr : &*found;
}

std::optional<ConfigChange> ConfigHistory::changeFrom(std::uint64_t base) const
{
    const Text *from = find(base);
    if (!from || base == newest())
        return std::nullopt;
    const Text &to = texts_.back();
    return ConfigChange{base, to.version, fnv1a64(to.text), makeDelta(from->text, to.text)};
}

Result<std::string> ConfigHistory::apply(const ConfigChange &change) const
{
    const Text *from = find(change.base);
    if (!from) {
        return fail(ErrorCode::NotFound, fmt::format("version {} is not kept", change.base),
                    "read the whole configuration");
    }
    BOOST_LEAF_AUTO(text, applyDelta(from->text, change.delta, kMaxTextBytes));
    if (fnv1a64(text) != change.textHash) {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("the text after the change from version {} does not match its hash",
                                change.base),
                    "read the whole configuration");
    }
    return text;
}

} // namespace cicadafork::gateway
