#pragma once

// Prompts and answers of the engine stand-in: token counts, digests and event texts.

#include "standin-engine/enginemodel.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace cicadafork::standin {

/// Four bytes of text are one token, rounded up.
std::uint64_t countTokens(std::string_view text);

/// Sets the tokens, the digest and the digests of the whole blocks.
void fillPrompt(StreamRequest &request, std::string_view text, std::uint64_t prefixDigest,
                std::uint64_t blockTokens);

/// A digest given as 16 hex digits; the start value of FNV-1a when it is missing or empty.
std::uint64_t digestField(const nlohmann::json &body, const char *name);

/// Token i of the answer: 16 hex digits and a space.
std::string answerToken(std::uint64_t digest, std::uint64_t index);

/// One server-sent event. A crossed event carries another request's id.
std::string formatEvent(const Stream &stream, std::uint64_t sequence, bool crossed);

} // namespace cicadafork::standin
