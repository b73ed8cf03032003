#include "endpoint/enginestream.h"

#include "base/json.h"

#include <fmt/format.h>

namespace cicadafork {

namespace {

std::uint64_t numberAt(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

bool isNumber(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned();
}

} // namespace

EngineStreamCheck::EngineStreamCheck(std::string requestId, std::optional<std::uint32_t> attempt,
                                     std::uint64_t firstSeq)
    : requestId_(std::move(requestId))
    , attempt_(attempt)
    , nextSeq_(firstSeq)
{
}

std::optional<EngineEvent> EngineStreamCheck::reject(std::string fault)
{
    fault_ = std::move(fault);
    return std::nullopt;
}

std::optional<EngineEvent> EngineStreamCheck::accept(const SseEvent &event)
{
    if (whole_)
        return reject("an event after the last one");
    const auto data = parseJson(event.data);
    if (!data.is_object() || !isNumber(data, "attempt") || !isNumber(data, "seq")
        || !data.contains("request_id") || !data["request_id"].is_string())
        return reject("an event that is not in the engine's form");
    if (data["request_id"] != requestId_)
        return reject("an event of another request");
    const std::uint64_t attempt = numberAt(data, "attempt");
    if (attempt_ && *attempt_ != attempt)
        return reject("an event of another attempt");
    EngineEvent decoded;
    decoded.seq = numberAt(data, "seq");
    if (decoded.seq != nextSeq_ || event.id != std::to_string(decoded.seq))
        return reject(fmt::format("event {} in place of event {}", decoded.seq, nextSeq_));
    if (const auto text = data.find("text"); text != data.end()) {
        if (!text->is_string())
            return reject("an event whose text is not a string");
        decoded.text = text->get<std::string>();
    }
    const auto done = data.find("done");
    decoded.done = done != data.end() && done->is_boolean() && done->get<bool>();
    // A last event without text closes the answer and does not count as a part of it.
    const std::uint64_t parts = nextSeq_ + (decoded.done && decoded.text.empty() ? 0 : 1);
    if (decoded.done) {
        if (!isNumber(data, "total") || numberAt(data, "total") != parts)
            return reject(fmt::format("a last event with a total other than {}", parts));
        const auto usage = data.find("usage");
        if (usage != data.end() && usage->is_object()) {
            decoded.promptTokens = numberAt(*usage, "prompt_tokens");
            decoded.completionTokens = numberAt(*usage, "completion_tokens");
        }
        whole_ = true;
    }
    attempt_ = static_cast<std::uint32_t>(attempt);
    ++nextSeq_;
    return decoded;
}

} // namespace cicadafork
