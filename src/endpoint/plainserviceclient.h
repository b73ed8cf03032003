#pragma once

// Client of a plain HTTP service.
//
//   PlainServiceClient service(address);
//   PlainResult result = service.call({.operation = "open-gate", .body = body, ...}, stop);
//   if (result.execution == Execution::MayHaveRun) ...
//
// One send per call on a fresh connection; the client never repeats it.

#include "base/clock.h"
#include "endpoint/attempt.h"
#include "http/address.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace cicadafork {

/// What is known about the execution of a request; the names are those of problem+json.
enum class Execution { NotRun, Ran, MayHaveRun };

/// "not_run", "ran" or "may_have_run".
const char *toString(Execution execution);

struct PlainRequest
{
    std::string operation;
    std::string body; ///< JSON; not empty.
    TimePoint deadline;
    std::optional<std::uint64_t> fencingNumber; ///< Header X-Fencing-Number.
    std::string idempotencyKey;                 ///< Header Idempotency-Key; empty: none.
    std::string requestId;
    std::string traceparent;
    /// Called when the connection is open, immediately before the body is written; false: not sent.
    std::function<bool()> beforeSend;
};

struct PlainResult
{
    Execution execution = Execution::NotRun;
    int status = 0; ///< Of the answer; 0: no whole answer.
    std::string contentType;
    std::string body;
    Error error;             ///< Set unless Ran.
    bool dispatched = false; ///< The send began.
};

class PlainServiceClient
{
public:
    /// An answer above maxAnswerBytes is cut off and reported as MayHaveRun.
    explicit PlainServiceClient(Address address, std::size_t maxAnswerBytes = 16 * 1024 * 1024);

    PlainResult call(const PlainRequest &request, AttemptStop &stop) const;

private:
    Address address_;
    std::size_t maxAnswerBytes_;
};

} // namespace cicadafork
