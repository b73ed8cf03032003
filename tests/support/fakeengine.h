#pragma once

// A small in-process engine and plain service that can be told to misbehave.
//
//   FakeEngine engine;
//   engine.set({.fault = StreamFault::Duplicate, .faultAt = 2});
//   EngineClient client(engine.address());
//
// Token i of an answer is a function of the prompt alone, so that a test can check the whole text.

#include "base/clock.h"
#include "http/server.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cicadafork::test {

enum class StreamFault {
    None,
    OtherRequest, ///< An event carries another request id.
    OtherAttempt,
    Duplicate, ///< An event arrives twice.
    Gap,       ///< An event is missing.
    WrongId,   ///< The id line differs from seq.
    Truncated, ///< The connection ends.
    WrongTotal,
    NotJson,
    Freeze, ///< No event comes for 5 s, unless the request is cancelled.
};

struct FakeBehaviour
{
    StreamFault fault = StreamFault::None;
    std::uint64_t faultAt = 1;  ///< Sequence number of the faulty event.
    bool faultOnResume = false; ///< Resumed streams show the fault too.
    bool resumable = true;
    int refuseStatus = 0; ///< Completions and calls are answered with this status.
    bool executedFalse = true;
    Millis acceptDelay{0}; ///< Before the status line.
    Millis tokenDelay{0};  ///< Before each token.
    bool refuseHolds = false;
    bool failPrefill = false;
    unsigned knownAttempts = 0; ///< Attempts up to this number were sent by an earlier front: 409.
};

/// A port of 127.0.0.1 that no socket uses at the moment.
std::uint16_t freePort();

/// The answer of a fake engine to a prompt (of the last segment for a group).
std::string fakeAnswer(const std::string &prompt, std::uint64_t tokens);

class FakeEngine
{
public:
    explicit FakeEngine(std::size_t threads = 16);
    ~FakeEngine();

    Address address() const { return address_; }
    void set(FakeBehaviour behaviour);
    /// Stops listening, so that connections are refused.
    void stop();

    std::size_t executions() const;
    std::vector<std::string> cancelled() const;
    std::size_t holdCount() const;
    std::size_t holdsReserved() const;
    std::size_t holdRenewals() const;
    std::size_t prefills() const;
    std::vector<httplib::Headers> callHeaders() const;

private:
    struct Stream
    {
        std::string id;
        std::uint64_t attempt = 0;
        std::string prompt;
        std::uint64_t tokens = 0;
        bool cancelled = false;
    };

    void addRoutes();
    void addHoldRoutes();
    void complete(const httplib::Request &request, httplib::Response &response);
    void stream(httplib::Response &response, const std::string &id, std::uint64_t from,
                bool resumed);
    void call(const httplib::Request &request, httplib::Response &response);
    bool refuse(httplib::Response &response);
    FakeBehaviour behaviour() const;
    bool isCancelled(const std::string &id) const;

    Address address_;
    HttpServer server_;
    mutable std::mutex mutex_;
    FakeBehaviour behaviour_;
    std::map<std::string, Stream> streams_;
    std::map<std::string, nlohmann::json> holds_;
    std::size_t executions_ = 0;
    std::size_t holdsReserved_ = 0;
    std::size_t renewals_ = 0;
    std::size_t prefills_ = 0;
    std::vector<std::string> cancelled_;
    std::vector<httplib::Headers> callHeaders_;
};

} // namespace cicadafork::test
