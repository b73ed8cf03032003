#include "standin-engine/prompt.h"

#include "base/hash.h"

#include <fmt/format.h>

#include <cstdlib>

namespace cicadafork::standin {

namespace {

constexpr std::uint64_t kBytesPerToken = 4;

} // namespace

std::uint64_t countTokens(std::string_view text)
{
    return (text.size() + kBytesPerToken - 1) / kBytesPerToken;
}

void fillPrompt(StreamRequest &request, std::string_view text, std::uint64_t prefixDigest,
                std::uint64_t blockTokens)
{
    const std::size_t blockBytes = blockTokens * kBytesPerToken;
    request.promptTokens = countTokens(text);
    request.blocks.clear();
    std::uint64_t digest = prefixDigest;
    std::size_t at = 0;
    for (; at + blockBytes <= text.size(); at += blockBytes) {
        digest = fnv1a64(text.substr(at, blockBytes), digest);
        request.blocks.push_back(digest);
    }
    request.digest = fnv1a64(text.substr(at), digest);
}

std::uint64_t digestField(const nlohmann::json &body, const char *name)
{
    const std::string text = body.value(name, "");
    return text.empty() ? kFnvOffset : std::strtoull(text.c_str(), nullptr, 16);
}

std::string answerToken(std::uint64_t digest, std::uint64_t index)
{
    return hex64(fnv1a64(std::to_string(index), digest)) + ' ';
}

std::string formatEvent(const Stream &stream, std::uint64_t sequence, bool crossed)
{
    const StreamRequest &request = stream.request;
    // A crossed event is a part of another request's answer.
    const std::string id = crossed ? request.key.requestId + "-other" : request.key.requestId;
    const std::uint64_t digest = crossed ? ~request.digest : request.digest;
    const bool done = sequence + 1 == request.maxTokens;
    std::string text = fmt::format(
            R"(id: {0}{5}data: {{"request_id":{1},"attempt":{2},"seq":{0},"text":"{3}","done":{4})",
            sequence, nlohmann::json(id).dump(), request.key.attempt, answerToken(digest, sequence),
            done, '\n');
    if (done) {
        text += fmt::format(R"(,"usage":{{"prompt_tokens":{},"completion_tokens":{}}},"total":{})",
                            request.promptTokens, request.maxTokens, request.maxTokens);
    }
    return text + "}\n\n";
}

} // namespace cicadafork::standin
