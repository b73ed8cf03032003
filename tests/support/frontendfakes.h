#pragma once

// Fakes of what the frontend depends on, and a frontend with its server over fake engines.
//
//   FrontendFixture fixture(2);
//   fixture.engine(0).set({.refuseStatus = 503});
//   httplib::Result answer = fixture.post("/v1/completions", body);

#include "frontend/frontend.h"
#include "http/server.h"
#include "support/fakeengine.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace cicadafork::test {

class FakeConfigStore : public ConfigStore
{
public:
    std::shared_ptr<const Configuration> current() const override { return configuration; }
    Result<Verdict> submit(const Command &command, TimePoint deadline) override;

    std::shared_ptr<Configuration> configuration;
};

class FakeFleet : public Fleet
{
public:
    FleetView view(const std::string &service, TimePoint now) const override;
    std::vector<PeerView> peers(TimePoint) const override { return {}; }
    bool sendPermitted(const std::string &endpointId, TimePoint now) const override;
    void noteSent(const std::string &, std::uint64_t, TimePoint) override {}
    void noteFinished(const std::string &endpointId, const AttemptObservation &observation,
                      TimePoint now) override;

    void forbid(const std::string &endpointId);
    std::size_t finishedAttempts() const;

private:
    mutable std::mutex mutex_;
    std::set<std::string> forbidden_;
    std::size_t finished_ = 0;
};

/// Places on the first endpoint that is not excluded, or on all of them as a group.
class FakeAdmission : public Admission
{
public:
    PlaceResult place(const PlacementRequest &request,
                      const std::function<bool()> &cancelled) override;
    void dispatchQueued(TimePoint) override {}
    void reportFinished(const std::string &workspace, const std::string &service, bool ok) override;
    bool takeRetry(const std::string &workspace, const std::string &service) override;
    Millis retryDelay(unsigned) override { return Millis(5); }
    std::vector<QueuedRequestView> queued(TimePoint) const override { return {}; }

    std::vector<EndpointView> endpoints; ///< Set before use.
    std::atomic<bool> group{false};
    std::atomic<bool> queueForever{false};
    std::atomic<int> retryBudget{100};
    std::atomic<int> placements{0};
    std::atomic<int> successes{0};
    std::atomic<int> failures{0};
};

class FakeClaims : public Claims
{
public:
    ClaimDecision claim(const ClaimRequest &request, TimePoint deadline) override;
    bool beginDispatch(const std::string &attemptId, TimePoint now) override;
    void complete(const std::string &attemptId, const StoredOutcome &outcome) override;
    void withdraw(const std::string &attemptId) override;

    std::atomic<bool> unavailable{false};
    Millis delay{0}; ///< Before the answer of claim(); set before use.
    std::atomic<bool> validityEnded{false};
    std::size_t claimCount() const;
    std::size_t withdrawals() const;

private:
    struct Row
    {
        std::string hash;
        std::optional<StoredOutcome> outcome;
    };

    mutable std::mutex mutex_;
    std::map<std::string, Row> rows_; ///< By key, which is also the attempt id.
    std::size_t claims_ = 0;
    std::size_t withdrawals_ = 0;
};

class FrontendFixture
{
public:
    explicit FrontendFixture(std::size_t engines = 1, std::size_t streams = 64);
    ~FrontendFixture();

    FakeEngine &engine(std::size_t index) { return *engines_[index]; }
    std::size_t executions() const;
    Frontend &frontend() { return *frontend_; }
    std::unique_ptr<httplib::Client> client() const;
    Address address() const { return settings_.callerAddress; }

    httplib::Result post(const std::string &path, const std::string &body,
                         httplib::Headers headers = {});
    httplib::Result get(const std::string &path, httplib::Headers headers = {});
    /// Waits up to 3 s for a condition.
    static bool eventually(const std::function<bool()> &condition);

    FakeConfigStore configuration;
    FakeFleet fleet;
    FakeAdmission admission;
    FakeClaims claims;
    Metrics metrics;
    std::map<std::string, StreamLocation> locations;
    std::mutex locationMutex;

private:
    Settings settings_;
    std::vector<std::unique_ptr<FakeEngine>> engines_;
    std::unique_ptr<Frontend> frontend_;
    std::unique_ptr<HttpServer> server_;
};

/// Body of a completion with the prompt "a prompt".
std::string completionBody(bool stream, std::uint64_t maxTokens = 5);

struct ParsedStream
{
    std::string text;
    std::vector<std::uint64_t> ids;
    bool done = false;
    nlohmann::json usage;
    nlohmann::json error;
};

ParsedStream parseStream(const std::string &body);

} // namespace cicadafork::test
