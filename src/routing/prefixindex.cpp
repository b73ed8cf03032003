#include "routing/prefixindex.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <mutex>

namespace cicadafork {

namespace {

constexpr std::size_t kFirstPrefixBytes = 1024;
constexpr std::size_t kPrefixesPerDoubling = 4;
constexpr std::size_t kBytesPerToken = 4;

std::size_t prefixBytes(std::size_t index)
{
    const std::size_t base = kFirstPrefixBytes << (index / kPrefixesPerDoubling);
    return base + base / kPrefixesPerDoubling * (index % kPrefixesPerDoubling);
}

double decayFactor(TimePoint lastRecorded, TimePoint now)
{
    if (now <= lastRecorded)
        return 1;
    const std::chrono::duration<double> age = now - lastRecorded;
    return std::exp2(-age / std::chrono::duration<double>(kPrefixHalfLife));
}

} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = kFnvOffset;
    std::size_t hashedBytes = 0;
    for (std::size_t index = 0; prefixBytes(index) <= prompt.size(); ++index) {
        hash = fnv1a64(prompt.substr(hashedBytes, prefixBytes(index) - hashedBytes), hash);
        hashedBytes = prefixBytes(index);
        hashes.push_back(hash);
    }
    return hashes;
}

std::uint64_t prefixTokens(std::size_t index)
{
    return prefixBytes(index) / kBytesPerToken;
}

PrefixIndex::PrefixIndex(std::size_t limit, std::size_t holdersPerPrefix)
    : limit_(std::max<std::size_t>(limit, 1))
    , holdersPerPrefix_(std::max<std::size_t>(holdersPerPrefix, 1))
{
}

std::vector<PrefixHit> PrefixIndex::find(const std::vector<std::uint64_t> &hashes,
                                         TimePoint now) const
{
    std::vector<PrefixHit> hits;
    const std::shared_lock lock(mutex_);
    for (std::size_t index = 0; index < hashes.size(); ++index)
        addHits(hits, {hashes[index], prefixTokens(index)}, now);
    return hits;
}

std::vector<PrefixHit> PrefixIndex::find(std::span<const Prefix> prefixes, TimePoint now) const
{
    std::vector<PrefixHit> hits;
    const std::shared_lock lock(mutex_);
    for (const Prefix &prefix : prefixes)
        addHits(hits, prefix, now);
    return hits;
}

void PrefixIndex::addHits(std::vector<PrefixHit> &hits, const Prefix &prefix, TimePoint now) const
{
    const auto found = byHash_.find(prefix.hash);
    if (found == byHash_.end())
        return;
    for (const Holder &holder : found->second->holders) {
        const double discounted
                = static_cast<double>(prefix.tokens) * decayFactor(holder.lastRecorded, now);
        auto hit = std::find_if(hits.begin(), hits.end(),
                                [&](const PrefixHit &h) { return h.endpoint == holder.endpoint; });
        if (hit == hits.end())
            hits.push_back({holder.endpoint, prefix.tokens, discounted});
        else if (discounted > hit->discountedTokens)
            *hit = {holder.endpoint, prefix.tokens, discounted};
    }
}

std::optional<PrefixHit> PrefixIndex::findAt(const std::string &endpoint,
                                             std::span<const Prefix> prefixes, TimePoint now) const
{
    std::optional<PrefixHit> best;
    const std::shared_lock lock(mutex_);
    for (const Prefix &prefix : prefixes) {
        const auto found = byHash_.find(prefix.hash);
        if (found == byHash_.end())
            continue;
        for (const Holder &holder : found->second->holders) {
            if (holder.endpoint != endpoint)
                continue;
            const double discounted
                    = static_cast<double>(prefix.tokens) * decayFactor(holder.lastRecorded, now);
            if (!best || discounted > best->discountedTokens)
                best = PrefixHit{endpoint, prefix.tokens, discounted};
        }
    }
    return best;
}

void PrefixIndex::recordDispatch(const std::string &endpoint,
                                 const std::vector<std::uint64_t> &hashes, TimePoint now)
{
    const std::unique_lock lock(mutex_);
    for (const std::uint64_t hash : hashes)
        add(endpoint, hash, now);
}

void PrefixIndex::recordDispatch(const std::string &endpoint, std::span<const Prefix> prefixes,
                                 TimePoint now)
{
    const std::unique_lock lock(mutex_);
    for (const Prefix &prefix : prefixes)
        add(endpoint, prefix.hash, now);
}

void PrefixIndex::recordAdded(const std::string &endpoint, std::uint64_t hash, TimePoint now)
{
    const std::unique_lock lock(mutex_);
    add(endpoint, hash, now);
}

void PrefixIndex::recordRemoved(const std::string &endpoint, std::uint64_t hash)
{
    const std::unique_lock lock(mutex_);
    const auto found = byHash_.find(hash);
    if (found == byHash_.end())
        return;
    Entry &entry = *found->second;
    std::erase_if(entry.holders, [&](const Holder &holder) { return holder.endpoint == endpoint; });
    if (entry.holders.empty()) {
        entries_.erase(found->second);
        byHash_.erase(found);
    }
}

void PrefixIndex::recordGap(const std::string &endpoint)
{
    const std::unique_lock lock(mutex_);
    for (Entry &entry : entries_) {
        for (Holder &holder : entry.holders) {
            if (holder.endpoint == endpoint)
                holder.lastRecorded -= kPrefixHalfLife;
        }
    }
}

void PrefixIndex::removeEndpoint(const std::string &endpoint)
{
    const std::unique_lock lock(mutex_);
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        std::erase_if(entry->holders, [&](const Holder &h) { return h.endpoint == endpoint; });
        if (entry->holders.empty()) {
            byHash_.erase(entry->hash);
            entry = entries_.erase(entry);
        } else {
            ++entry;
        }
    }
}

std::size_t PrefixIndex::size() const
{
    const std::shared_lock lock(mutex_);
    return entries_.size();
}

void PrefixIndex::add(const std::string &endpoint, std::uint64_t hash, TimePoint now)
{
    const auto found = byHash_.find(hash);
    if (found == byHash_.end()) {
        if (entries_.size() >= limit_) {
            byHash_.erase(entries_.front().hash);
            entries_.pop_front();
        }
        entries_.push_back({hash, {{endpoint, now}}});
        byHash_[hash] = std::prev(entries_.end());
        return;
    }
    entries_.splice(entries_.end(), entries_, found->second);
    std::vector<Holder> &holders = found->second->holders;
    const auto known = std::find_if(holders.begin(), holders.end(),
                                    [&](const Holder &h) { return h.endpoint == endpoint; });
    if (known != holders.end()) {
        known->lastRecorded = std::max(known->lastRecorded, now);
        return;
    }
    if (holders.size() >= holdersPerPrefix_) {
        holders.erase(
                std::min_element(holders.begin(), holders.end(), [](const auto &a, const auto &b) {
                    return a.lastRecorded < b.lastRecorded;
                }));
    }
    holders.push_back({endpoint, now});
}

} // namespace cicadafork
