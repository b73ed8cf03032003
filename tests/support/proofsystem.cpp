#include "support/proofsystem.h"

#include "base/hash.h"
#include "http/client.h"
#include "support/eventually.h"

#include <stdexcept>

namespace cicadafork::test {

namespace {

constexpr Millis kReadyTimeout{20'000};
constexpr Millis kAdminTimeout{10'000};

// The default of 1,100 streams would cost each daemon some 2,300 threads.
constexpr const char *kLimits = "limits:\n  max_streams: 24\n";
constexpr const char *kEngineThreads = "40";

ClusterOptions completed(ClusterOptions options)
{
    if (options.extraSettings.find("limits:") == std::string::npos)
        options.extraSettings += kLimits;
    options.engineService = kModelService;
    options.plainService = kPlainService;
    options.engineFlags.insert(options.engineFlags.end(),
                               {"--models", "tiny", "--threads", kEngineThreads});
    options.operatorCredentialSha256 = sha256Hex(kOperatorCredential);
    return options;
}

std::size_t rowsOf(const SystemClient &client, const std::string &statement)
{
    const auto reply = client.statement(statement);
    return reply.contains("table") ? reply["table"]["rows"].size() : 0;
}

} // namespace

std::size_t pick(Random &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

ProofSystem::ProofSystem(ClusterOptions options)
    : options_(completed(std::move(options)))
    , cluster_(options_)
{
    cluster_.start();
    configureSystem(client(0), kModelService, kPlainService);
    for (std::size_t i = 0; i < options_.daemons; ++i) {
        const bool known = eventually(kReadyTimeout,
                                      [&] { return rowsOf(client(i), "show workspaces") == 1; })
                           && awaitSendable(i, options_.engines + options_.services, kReadyTimeout);
        if (!known)
            throw std::runtime_error(cluster_.daemon(i).id + " does not know all endpoints");
    }
}

SystemClient ProofSystem::client(std::size_t daemon)
{
    return {cluster_.daemon(daemon).address, kOperatorCredential};
}

bool ProofSystem::awaitSendable(std::size_t daemon, std::size_t endpoints, Millis timeout)
{
    return eventually(timeout, [&] {
        return rowsOf(client(daemon), "show endpoints where sendable = yes") == endpoints;
    });
}

nlohmann::json ProofSystem::admin(const ClusterMember &member, const std::string &path)
{
    const auto reply = capture([&] { return getJson(member.address, path, kAdminTimeout); });
    return reply ? *reply : nlohmann::json::object();
}

void CallerPool::start(std::size_t threads, const std::function<void(Random &)> &call,
                       std::uint64_t seed)
{
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this, call, seed, i] {
            Random random(mix64(seed * 1000 + i));
            while (!stopping_)
                call(random);
        });
    }
}

void CallerPool::stop()
{
    stopping_ = true;
    for (std::jthread &thread : threads_)
        thread.join();
    threads_.clear();
}

void Outages::begin(const std::string &memberId)
{
    const std::lock_guard lock(mutex_);
    spans_.push_back({memberId, steadyNow(), TimePoint::max()});
}

void Outages::end(const std::string &memberId)
{
    const std::lock_guard lock(mutex_);
    for (Span &span : spans_) {
        if (span.memberId == memberId && span.to == TimePoint::max())
            span.to = steadyNow();
    }
}

bool Outages::touched(const std::string &memberId, TimePoint from, TimePoint to) const
{
    const std::lock_guard lock(mutex_);
    for (const Span &span : spans_) {
        if (span.memberId == memberId && span.from <= to && from <= span.to)
            return true;
    }
    return false;
}

bool Outages::away(const std::string &memberId) const
{
    const TimePoint now = steadyNow();
    return touched(memberId, now, now);
}

void Judgement::count()
{
    const std::lock_guard lock(mutex_);
    ++counted_;
}

void Judgement::violation(std::string text)
{
    const std::lock_guard lock(mutex_);
    violations_.push_back(std::move(text));
}

std::uint64_t Judgement::counted() const
{
    const std::lock_guard lock(mutex_);
    return counted_;
}

std::vector<std::string> Judgement::violations() const
{
    const std::lock_guard lock(mutex_);
    return violations_;
}

} // namespace cicadafork::test
