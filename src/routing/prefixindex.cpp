#include "routing/prefixindex.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <mutex>

namespace cicadafork {

namespace {

constexpr std::size_t kFirstCutBytes = 1024;
constexpr std::size_t kCutsPerDoubling = 4;
constexpr std::size_t kBytesPerToken = 4;
/// Endpoints remembered for one beginning. More copies than this do not improve a choice.
constexpr std::size_t kHoldersPerRow = 4;

std::size_t cutBytes(std::size_t cut)
{
    const std::size_t base = kFirstCutBytes << (cut / kCutsPerDoubling);
    return base + base / kCutsPerDoubling * (cut % kCutsPerDoubling);
}

double worth(TimePoint noted, TimePoint now)
{
    if (now <= noted)
        return 1;
    const std::chrono::duration<double> age = now - noted;
    return std::exp2(-age / std::chrono::duration<double>(kPrefixHalfLife));
}

} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = kFnvOffset;
    std::size_t done = 0;
    for (std::size_t cut = 0; cutBytes(cut) <= prompt.size(); ++cut) {
        hash = fnv1a64(prompt.substr(done, cutBytes(cut) - done), hash);
        done = cutBytes(cut);
        hashes.push_back(hash);
    }
    return hashes;
}

std::uint64_t prefixTokens(std::size_t cut)
{
    return cutBytes(cut) / kBytesPerToken;
}

PrefixIndex::PrefixIndex(std::size_t limit)
    : limit_(std::max<std::size_t>(limit, 1))
{
}

std::vector<PrefixHit> PrefixIndex::find(const std::vector<std::uint64_t> &hashes,
                                         TimePoint now) const
{
    std::vector<PrefixHit> hits;
    const std::shared_lock lock(mutex_);
    for (std::size_t cut = 0; cut < hashes.size(); ++cut) {
        const auto found = byHash_.find(hashes[cut]);
        if (found == byHash_.end())
            continue;
        const std::uint64_t tokens = prefixTokens(cut);
        for (const Holder &holder : found->second->holders) {
            const double discounted = static_cast<double>(tokens) * worth(holder.noted, now);
            auto hit = std::find_if(hits.begin(), hits.end(), [&](const PrefixHit &h) {
                return h.endpoint == holder.endpoint;
            });
            if (hit == hits.end())
                hits.push_back({holder.endpoint, tokens, discounted});
            else if (discounted > hit->discountedTokens)
                *hit = {holder.endpoint, tokens, discounted};
        }
    }
    return hits;
}

void PrefixIndex::recordDispatch(const std::string &endpoint,
                                 const std::vector<std::uint64_t> &hashes, TimePoint now)
{
    const std::unique_lock lock(mutex_);
    for (const std::uint64_t hash : hashes)
        add(endpoint, hash, now);
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
    Row &row = *found->second;
    std::erase_if(row.holders, [&](const Holder &holder) { return holder.endpoint == endpoint; });
    if (row.holders.empty()) {
        rows_.erase(found->second);
        byHash_.erase(found);
    }
}

void PrefixIndex::recordGap(const std::string &endpoint)
{
    const std::unique_lock lock(mutex_);
    for (Row &row : rows_) {
        for (Holder &holder : row.holders) {
            if (holder.endpoint == endpoint)
                holder.noted -= kPrefixHalfLife;
        }
    }
}

void PrefixIndex::removeEndpoint(const std::string &endpoint)
{
    const std::unique_lock lock(mutex_);
    for (auto row = rows_.begin(); row != rows_.end();) {
        std::erase_if(row->holders, [&](const Holder &h) { return h.endpoint == endpoint; });
        if (row->holders.empty()) {
            byHash_.erase(row->hash);
            row = rows_.erase(row);
        } else {
            ++row;
        }
    }
}

std::size_t PrefixIndex::size() const
{
    const std::shared_lock lock(mutex_);
    return rows_.size();
}

void PrefixIndex::add(const std::string &endpoint, std::uint64_t hash, TimePoint now)
{
    const auto found = byHash_.find(hash);
    if (found == byHash_.end()) {
        if (rows_.size() >= limit_) {
            byHash_.erase(rows_.front().hash);
            rows_.pop_front();
        }
        rows_.push_back({hash, {{endpoint, now}}});
        byHash_[hash] = std::prev(rows_.end());
        return;
    }
    rows_.splice(rows_.end(), rows_, found->second);
    std::vector<Holder> &holders = found->second->holders;
    const auto known = std::find_if(holders.begin(), holders.end(),
                                    [&](const Holder &h) { return h.endpoint == endpoint; });
    if (known != holders.end()) {
        known->noted = std::max(known->noted, now);
        return;
    }
    if (holders.size() >= kHoldersPerRow) {
        holders.erase(
                std::min_element(holders.begin(), holders.end(),
                                 [](const auto &a, const auto &b) { return a.noted < b.noted; }));
    }
    holders.push_back({endpoint, now});
}

} // namespace cicadafork
