#pragma once

// What an operator and a caller do with a running system.
//
//   SystemClient client(cluster.daemon(0).address, kOperatorCredential);
//   client.command("create service report-writer kind=model models=tiny");
//   CallResult result = client.complete({.model = "tiny", .prompt = "..."});
//   CHECK_TRUE(isWholeAnswer(result, prompt, maxTokens));

#include "base/clock.h"
#include "http/address.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cicadafork::test {

inline constexpr const char *kOperatorCredential = "operator-secret";
inline constexpr const char *kCallerCredential = "caller-secret";

struct CompletionCall
{
    std::string model = "tiny";
    std::string prompt;
    std::uint32_t maxTokens = 8;
    bool stream = true;
    Millis timeout{10'000};
    std::string priority = "normal";
    std::string requestId = {};
    std::string lastEventId = {};
    std::string credential = kCallerCredential;
};

struct ServiceCall
{
    std::string service;
    std::string operation;
    std::string body = "{}";
    std::string idempotencyKey = {};
    std::string attempt = {}; ///< Header X-Attempt; not sent when empty.
    std::string requestId = {};
    Millis timeout{10'000};
    std::string credential = kCallerCredential;
};

/// What the caller saw. The status is 0 when no response arrived.
struct CallResult
{
    int status = 0;
    std::string text;       ///< Joined answer of a completion, or the body of a service call.
    std::string execution;  ///< From a problem object: "not_run", "ran" or "may_have_run".
    std::string problem;    ///< Detail of the problem object.
    bool done = false;      ///< The stream ended with [DONE], or the body arrived whole.
    bool replayed = false;  ///< The answer is the stored one of an earlier attempt.
    std::string retryAfter; ///< Of the header, or of the error event that ended a stream.
    Millis firstToken{0};
    Millis duration{0};
    std::string lastEventId;
};

class SystemClient
{
public:
    SystemClient(Address address, std::string operatorCredential)
        : address_(std::move(address))
        , operatorCredential_(std::move(operatorCredential))
    {
    }

    /// Answer of POST /v1/operator; an empty object when the daemon did not answer.
    nlohmann::json statement(const std::string &text) const;
    /// Runs a command; throws std::runtime_error when it is not accepted.
    std::uint64_t command(const std::string &text) const;
    bool ready() const;

    /// onEvent is called for each piece of a streamed answer; false breaks the connection off.
    CallResult complete(const CompletionCall &call,
                        const std::function<bool(const std::string &)> &onEvent = {}) const;
    CallResult callService(const ServiceCall &call) const;

private:
    Address address_;
    std::string operatorCredential_;
};

/// The answer that the engine stand-in gives (docs/design.md section 8).
std::string expectedAnswer(const std::string &prompt, std::uint32_t maxTokens);
bool isWholeAnswer(const CallResult &result, const std::string &prompt, std::uint32_t maxTokens);

/// Text of the given number of tokens, different for each seed.
std::string makePrompt(std::size_t tokens, std::uint64_t seed);

/// Creates the services and a workspace that may call both, and waits until they are in force at
/// the daemon.
void configureSystem(const SystemClient &client, const std::string &modelService,
                     const std::string &plainService);

} // namespace cicadafork::test
