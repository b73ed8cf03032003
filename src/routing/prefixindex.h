#pragma once

// Records which endpoints probably have the KV cache of a prompt prefix.
//
//   request.prefixHashes = prefixHashes(prompt);
//   index.recordDispatch(endpointId, request.prefixHashes, now);
//   std::vector<PrefixHit> hits = index.find(request.prefixHashes, now);
//
// A caller that names the parts of its prompts passes prefixes with their tokens instead of hashes
// at fixed lengths:
//
//   index.recordDispatch(endpoint, prefixes, now);
//   std::vector<PrefixHit> hits = index.find(prefixes, now);
//
// Prefix lengths at fixed lengths are 1, 1.25, 1.5, 1.75, 2, 2.5, 3, 3.5, 4, 5, ... KiB, four for
// each doubling. Hash i is FNV-1a 64 over the i-th prefix, the same digest that engines compute. A
// 4 MiB prompt has 49 hashes, which are computed in one pass. The recorded length of a shared
// prefix is at most a fifth below its true length.
//
// Entries are hints, because cache events may be late or lost. The weight of an entry halves every
// minute.

#include "base/clock.h"

#include <cstdint>
#include <list>
#include <optional>
#include <shared_mutex>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadafork {

/// Hashes of the prompt's prefixes, shortest first; empty for prompts below 1 KiB.
std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

/// Length of the prefix with this index in tokens of 4 bytes each.
std::uint64_t prefixTokens(std::size_t index);

/// Half-life of the weight of an entry.
inline constexpr Millis kPrefixHalfLife{60'000};

/// A prefix of known length.
struct Prefix
{
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0;

    bool operator==(const Prefix &) const = default;
};

/// Endpoints recorded for each prefix by default. More of them do not improve a choice among
/// sampled endpoints.
inline constexpr std::size_t kHoldersPerPrefix = 4;

struct PrefixHit
{
    std::string endpoint;
    std::uint64_t tokens = 0;    ///< Length of the recorded prefix.
    double discountedTokens = 0; ///< Length weighted by the age of the entry.
};

/// Thread-safe.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t limit = 65'536,
                         std::size_t holdersPerPrefix = kHoldersPerPrefix);

    /// Endpoints that may have a prefix of the prompt in their cache, each with the prefix that has
    /// the most discounted tokens.
    std::vector<PrefixHit> find(const std::vector<std::uint64_t> &hashes, TimePoint now) const;
    std::vector<PrefixHit> find(std::span<const Prefix> prefixes, TimePoint now) const;
    /// The same for one endpoint; absent if it has none of the prefixes.
    std::optional<PrefixHit> findAt(const std::string &endpoint, std::span<const Prefix> prefixes,
                                    TimePoint now) const;

    /// Records that a prompt was sent to the endpoint, whose cache contains it after the prefill.
    void recordDispatch(const std::string &endpoint, const std::vector<std::uint64_t> &hashes,
                        TimePoint now);
    void recordDispatch(const std::string &endpoint, std::span<const Prefix> prefixes,
                        TimePoint now);

    /// Apply the cache events of an engine.
    void recordAdded(const std::string &endpoint, std::uint64_t hash, TimePoint now);
    void recordRemoved(const std::string &endpoint, std::uint64_t hash);

    /// Cache events of the endpoint were lost: makes its entries one half-life older.
    void recordGap(const std::string &endpoint);

    /// Removes the entries of an endpoint that restarted or left and so lost its cache.
    void removeEndpoint(const std::string &endpoint);

    std::size_t size() const;
    std::size_t limit() const { return limit_; }

private:
    struct Holder
    {
        std::string endpoint;
        TimePoint lastRecorded;
    };
    struct Entry
    {
        std::uint64_t hash = 0;
        std::vector<Holder> holders;
    };
    using Entries = std::list<Entry>;

    void addHits(std::vector<PrefixHit> &hits, const Prefix &prefix, TimePoint now) const;
    void add(const std::string &endpoint, std::uint64_t hash, TimePoint now);

    mutable std::shared_mutex mutex_;
    Entries entries_; ///< Least recently recorded first.
    std::unordered_map<std::uint64_t, Entries::iterator> byHash_;
    std::size_t limit_;
    std::size_t holdersPerPrefix_;
};

} // namespace cicadafork
