#pragma once

// Remembers which endpoints probably hold the KV cache of a prompt's beginning.
//
//   request.prefixHashes = prefixHashes(prompt);
//   index.recordDispatch(endpointId, request.prefixHashes, now);
//   std::vector<PrefixHit> hits = index.find(request.prefixHashes, now);
//
// Block scheme: a prompt is cut at 1, 1.25, 1.5, 1.75, 2, 2.5, 3, 3.5, 4, 5, ... KiB, four cuts for
// each doubling. Hash i is FNV-1a 64 over all bytes before cut i, the same digest that engines
// compute. A 4 MiB prompt has 49 hashes and is read once. A shared beginning is found to within a
// fifth of its length.
//
// An entry is a hint: a cache event may be late or missing, so an entry's worth halves every
// minute.

#include "base/clock.h"

#include <cstdint>
#include <list>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadafork {

/// Hashes of the prompt's beginnings, shortest first; empty below 1 KiB.
std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

/// Tokens (4 bytes each) before cut i.
std::uint64_t prefixTokens(std::size_t cut);

/// Time in which the worth of an entry halves.
inline constexpr Millis kPrefixHalfLife{60'000};

struct PrefixHit
{
    std::string endpoint;
    std::uint64_t tokens = 0;    ///< Length of the longest known beginning.
    double discountedTokens = 0; ///< The same, after its age.
};

/// Thread-safe.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t limit = 65'536);

    /// The endpoints that may hold a beginning of the prompt, with their best entry each.
    std::vector<PrefixHit> find(const std::vector<std::uint64_t> &hashes, TimePoint now) const;

    /// A prompt was sent to the endpoint, which will have it in its cache after the prefill.
    void recordDispatch(const std::string &endpoint, const std::vector<std::uint64_t> &hashes,
                        TimePoint now);

    /// Cache events of an engine.
    void recordAdded(const std::string &endpoint, std::uint64_t hash, TimePoint now);
    void recordRemoved(const std::string &endpoint, std::uint64_t hash);

    /// Events were lost: entries of the endpoint count as one half-life older from now on.
    void recordGap(const std::string &endpoint);

    /// The engine restarted or left, so its cache is gone.
    void removeEndpoint(const std::string &endpoint);

    std::size_t size() const;
    std::size_t limit() const { return limit_; }

private:
    struct Holder
    {
        std::string endpoint;
        TimePoint noted;
    };
    struct Row
    {
        std::uint64_t hash = 0;
        std::vector<Holder> holders;
    };
    using Rows = std::list<Row>;

    void add(const std::string &endpoint, std::uint64_t hash, TimePoint now);

    mutable std::shared_mutex mutex_;
    Rows rows_; ///< Least recently noted first.
    std::unordered_map<std::uint64_t, Rows::iterator> byHash_;
    std::size_t limit_;
};

} // namespace cicadafork
