#pragma once

// Functions that the daemon injects into the frontend. An empty function is not called. All of
// them are called from many threads.

#include "base/clock.h"
#include "http/address.h"
#include "routing/fleetview.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadafork {

/// Where the stream of a request runs.
struct StreamLocation
{
    std::string endpointId;
    Address address;
};

struct FrontendHooks
{
    /// Records the location at the rendezvous peers of the key; must not block.
    std::function<void(const std::string &requestKey, const EndpointView &endpoint)> noteStream;
    /// Asks those peers, then the endpoints; may block for a few hundred milliseconds.
    std::function<std::optional<StreamLocation>(const std::string &requestKey)> findStream;
    /// Hashes of the prompt's prefixes, see routing's PrefixIndex.
    std::function<std::vector<std::uint64_t>(std::string_view prompt)> prefixHashes;
    /// Records which prompt an endpoint has cached now; must not block.
    std::function<void(const EndpointView &endpoint, const std::vector<std::uint64_t> &hashes)>
            notePrefix;
    /// Tokens come every 36 ms; an engine that is silent for this long after the first one is
    /// frozen or cut off. Its connection is broken off, and the stream is resumed or fails
    /// definitely. Tests shorten it.
    Millis longestSilence{10'000};
};

} // namespace cicadafork
