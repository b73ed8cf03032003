#include "frontend/holds.h"

#include "endpoint/engineclient.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace cicadafork {

namespace {

constexpr std::size_t kRenewalThreads = 4;
constexpr int kRenewalsPerLifetime = 3;
constexpr Millis kReserveTimeout{2000};
// A release that is lost is repeated; after that the hold's expiry frees the memory.
constexpr int kReleaseTries = 2;
constexpr Millis kReleaseTimeout{500};

} // namespace

HoldKeeper::HoldKeeper(Millis lifetime)
    : lifetime_(lifetime)
    , renewals_(kRenewalThreads)
    , thread_([this] { run(); })
{
}

HoldKeeper::~HoldKeeper()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    thread_.join();
    renewals_.join();
}

void HoldKeeper::keep(const std::string &holdId, const Address &address)
{
    const std::lock_guard lock(mutex_);
    rows_[holdId] = {address, steadyNow() + lifetime_ / kRenewalsPerLifetime};
    changed_.notify_all();
}

void HoldKeeper::drop(const std::string &holdId)
{
    const std::lock_guard lock(mutex_);
    rows_.erase(holdId);
}

void HoldKeeper::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const TimePoint now = steadyNow();
        TimePoint next = now + lifetime_;
        for (auto &[id, row] : rows_) {
            if (row.due <= now) {
                row.due = now + lifetime_ / kRenewalsPerLifetime;
                asio::post(renewals_,
                           [this, id = id, address = row.address] { renew(id, address); });
            }
            next = std::min(next, row.due);
        }
        changed_.wait_until(lock, next);
    }
}

void HoldKeeper::renew(const std::string &holdId, const Address &address)
{
    // A renewal that fails is repeated a third of the lifetime later; the engine's expiry decides.
    (void)capture([&] {
        return EngineClient(address).renewHold(holdId, lifetime_, lifetime_ / kRenewalsPerLifetime);
    });
}

GroupHolds::GroupHolds(HoldKeeper &keeper, HoldOwner owner, unsigned attempt)
    : keeper_(keeper)
    , owner_(std::move(owner))
    , attempt_(attempt)
{
}

GroupHolds::~GroupHolds()
{
    release();
}

Result<void> GroupHolds::reserve(const std::vector<EndpointView> &members,
                                 const std::vector<std::uint64_t> &tokens, TimePoint deadline)
{
    for (std::size_t i = 0; i < members.size(); ++i) {
        const std::string id
                = fmt::format("{}~{}~{}~{}", owner_.requestKey, owner_.incarnation, attempt_, i);
        const Millis left = std::chrono::duration_cast<Millis>(deadline - steadyNow());
        held_.push_back({id, members[i].address});
        const auto reserved = capture([&] {
            return EngineClient(members[i].address)
                    .reserveHold({id, owner_.requestKey, owner_.holder, owner_.incarnation,
                                  tokens[i], keeper_.lifetime()},
                                 std::clamp(left, Millis(1), kReserveTimeout));
        });
        if (!reserved) {
            if (reserved.error().code == ErrorCode::ResourceExhausted)
                held_.pop_back();
            release();
            return fail(reserved.error());
        }
        keeper_.keep(id, members[i].address);
    }
    return {};
}

void GroupHolds::release()
{
    for (const Held &hold : held_)
        keeper_.drop(hold.id);
    for (const Held &hold : held_) {
        for (int i = 0; i < kReleaseTries; ++i) {
            if (capture([&] {
                    return EngineClient(hold.address).releaseHold(hold.id, kReleaseTimeout);
                }))
                break;
        }
    }
    held_.clear();
}

std::vector<std::string> splitPrompt(const std::string &prompt,
                                     const std::vector<std::uint64_t> &weights)
{
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<std::string> segments;
    std::size_t begin = 0;
    double weight = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        weight += static_cast<double>(weights[i]);
        auto end = static_cast<std::size_t>(static_cast<double>(prompt.size()) * weight / total);
        if (i + 1 == weights.size())
            end = prompt.size();
        end = std::clamp(end, begin, prompt.size());
        // Bytes 10xxxxxx continue a character.
        while (end > begin && end < prompt.size()
               && (static_cast<unsigned char>(prompt[end]) & 0xC0) == 0x80)
            --end;
        segments.push_back(prompt.substr(begin, end - begin));
        begin = end;
    }
    return segments;
}

} // namespace cicadafork
