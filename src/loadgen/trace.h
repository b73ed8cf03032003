#pragma once

// Traces of requests: one JSON object on each line, in order of their planned time. A prompt is not
// stored but generated from its seeds.
//
//   auto trace = capture([&] { return readTrace("traces/karri-ridge.jsonl"); });
//   std::string prompt = makePrompt(trace->front());

#include "base/clock.h"
#include "base/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadafork {

/// Bytes of prompt text that count as one token.
inline constexpr std::size_t kBytesPerToken = 4;

enum class RequestKind { Completion, Call };

struct TraceRequest
{
    Millis offset{0}; ///< Planned start, from the start of the run.
    std::string workspace;
    std::string credential;
    std::string target;    ///< Model of a completion, service of a call.
    std::string operation; ///< Of a call.
    RequestKind kind = RequestKind::Completion;
    std::size_t promptTokens = 0; ///< The shared prefix included.
    std::uint64_t promptSeed = 0;
    std::size_t prefixTokens = 0; ///< Equal prefix seeds give equal prefixes.
    std::uint64_t prefixSeed = 0;
    std::size_t maxTokens = 0;
    std::string priority = "normal"; ///< urgent, normal or background.
    bool keyed = false;              ///< Sent with an idempotency key; otherwise repeatable.
    bool stream = false;
    Millis timeout{60'000};
    std::string expected = "completed"; ///< completed, refused or rejected.
    int expectedStatus = 200;

    bool operator==(const TraceRequest &) const = default;
};

nlohmann::json encodeRequest(const TraceRequest &request);

/// Fails with InvalidArgument; the message names the line and the field.
Result<std::vector<TraceRequest>> parseTrace(std::string_view text);
/// Fails with NotFound when the file cannot be read, otherwise like parseTrace.
Result<std::vector<TraceRequest>> readTrace(const std::string &path);
std::string formatTrace(const std::vector<TraceRequest> &trace);

/// Text of exactly promptTokens tokens.
std::string makePrompt(const TraceRequest &request);

/// Text of the whole answer to a prompt, from the rule that engines follow.
std::string expectedAnswer(std::string_view prompt, std::size_t tokens);

enum class AnswerCheck { Whole, Truncated, TooLong, Wrong };

/// Compares an answer with the rule; Truncated is a proper prefix of the expected answer.
AnswerCheck checkAnswer(std::string_view prompt, std::size_t tokens, std::string_view answer);

/// Prompt length class: "1k", "10k", "100k" or "1m", the nearest one on a logarithmic scale.
const char *lengthClass(std::size_t promptTokens);

} // namespace cicadafork
