#pragma once

// Checks of what callers send: credential, headers and bodies.
//
//   Checked<CallerContext> caller = readCaller(request, configuration, timing, wallNow());
//   if (const auto *problem = std::get_if<Problem>(&caller)) return writeProblem(...);

#include "base/clock.h"
#include "config/configuration.h"
#include "frontend/problem.h"
#include "settings/settings.h"

#include <httplib.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace cicadafork {

template <class Value>
using Checked = std::variant<Value, Problem>;

struct CallerContext
{
    std::shared_ptr<const Configuration> configuration;
    const Workspace *workspace = nullptr; ///< Points into configuration.
    std::string requestId;
    std::optional<Priority> priority;
    TimePoint started;
    TimePoint deadline;
    std::optional<std::uint64_t> lastEventId;
    std::string idempotencyKey;
    bool earlierAttemptPossible = false; ///< See earlierAttemptPossible().
    std::string traceparent;
};

struct CompletionBody
{
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool stream = false;
};

enum class CompletionForm { Text, Chat };

/// Checks the credential and the headers. A request without X-Request-Id gets a UUIDv7.
Checked<CallerContext> readCaller(const httplib::Request &request,
                                  std::shared_ptr<const Configuration> configuration,
                                  const TimingSettings &timing);

Checked<CompletionBody> readCompletion(const std::string &body, CompletionForm form);

/// An earlier attempt with the idempotency key may have run: the request has a well-formed key and
/// does not state with "X-Attempt: 1" that it is the caller's first attempt. A key that is not well
/// formed is refused everywhere.
bool earlierAttemptPossible(const httplib::Request &request);

/// What a refusal that knows nothing about the key may state: not_run becomes may_have_run when an
/// earlier attempt is possible.
Execution executionForKey(Execution ofThisAttempt, bool earlierAttemptPossible);

/// Tokens of a prompt: 4 bytes of UTF-8 count as one, rounded up.
std::uint64_t countTokens(std::size_t bytes);

/// The id that an error names, also when the headers are wrong: the caller's when well formed.
std::string requestIdOf(const httplib::Request &request);

} // namespace cicadafork
