#include "loadgen/trace.h"

#include "base/hash.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace cicadafork {

namespace {

using Json = nlohmann::json;

/// Longest accepted prompt; it bounds the memory of a run whose trace is wrong.
constexpr std::size_t kMaxPromptTokens = 4'000'000;

void appendTokens(std::string &text, std::uint64_t seed, std::size_t tokens)
{
    for (std::size_t i = 0; i < tokens; ++i) {
        std::uint64_t value = mix64(seed * 0x9e3779b97f4a7c15ULL + i + 1);
        for (std::size_t letter = 0; letter + 1 < kBytesPerToken; ++letter) {
            text += static_cast<char>('a' + value % 26);
            value /= 26;
        }
        text += ' ';
    }
}

std::string oneOf(const Json &data, const char *field, std::initializer_list<const char *> values)
{
    const auto value = data.at(field).get<std::string>();
    for (const char *known : values) {
        if (value == known)
            return value;
    }
    throw std::invalid_argument(fmt::format("{} has the unknown value '{}'", field, value));
}

std::size_t bounded(const Json &data, const char *field, std::size_t limit)
{
    const Json &value = data.at(field);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > limit)
        throw std::invalid_argument(fmt::format("{} is not an integer from 0 to {}", field, limit));
    return value.get<std::size_t>();
}

/// Throws std::exception with a message that names the field.
TraceRequest decodeRequest(const Json &data)
{
    constexpr std::size_t kMaxMillis = 86'400'000;
    TraceRequest request;
    request.offset = Millis(bounded(data, "offset_ms", kMaxMillis));
    request.workspace = data.at("workspace").get<std::string>();
    request.credential = data.at("credential").get<std::string>();
    request.target = data.at("target").get<std::string>();
    request.operation = data.at("operation").get<std::string>();
    const bool call = oneOf(data, "kind", {"completion", "call"}) == "call";
    request.kind = call ? RequestKind::Call : RequestKind::Completion;
    request.promptTokens = bounded(data, "prompt_tokens", kMaxPromptTokens);
    request.promptSeed = data.at("prompt_seed").get<std::uint64_t>();
    request.prefixTokens = bounded(data, "prefix_tokens", request.promptTokens);
    request.prefixSeed = data.at("prefix_seed").get<std::uint64_t>();
    request.maxTokens = bounded(data, "max_tokens", kMaxPromptTokens);
    request.priority = oneOf(data, "priority", {"urgent", "normal", "background"});
    request.keyed = data.at("keyed").get<bool>();
    request.stream = data.at("stream").get<bool>();
    request.timeout = Millis(bounded(data, "timeout_ms", kMaxMillis));
    request.expected = oneOf(data, "expected", {"completed", "refused", "rejected"});
    request.expectedStatus = static_cast<int>(bounded(data, "expected_status", 599));
    return request;
}

} // namespace

Json encodeRequest(const TraceRequest &request)
{
    return {{"offset_ms", request.offset.count()},
            {"workspace", request.workspace},
            {"credential", request.credential},
            {"target", request.target},
            {"operation", request.operation},
            {"kind", request.kind == RequestKind::Call ? "call" : "completion"},
            {"prompt_tokens", request.promptTokens},
            {"prompt_seed", request.promptSeed},
            {"prefix_tokens", request.prefixTokens},
            {"prefix_seed", request.prefixSeed},
            {"max_tokens", request.maxTokens},
            {"priority", request.priority},
            {"keyed", request.keyed},
            {"stream", request.stream},
            {"timeout_ms", request.timeout.count()},
            {"expected", request.expected},
            {"expected_status", request.expectedStatus}};
}

Result<std::vector<TraceRequest>> parseTrace(std::string_view text)
{
    std::vector<TraceRequest> trace;
    std::istringstream lines{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (line.empty())
            continue;
        try {
            trace.push_back(decodeRequest(Json::parse(line)));
            if (trace.size() > 1 && trace.back().offset < trace[trace.size() - 2].offset)
                throw std::invalid_argument("offset_ms is below that of the line before");
        } catch (const std::exception &problem) {
            return fail(ErrorCode::InvalidArgument,
                        fmt::format("trace line {}: {}", number, problem.what()),
                        "correct the line or generate the trace again");
        }
    }
    return trace;
}

Result<std::vector<TraceRequest>> readTrace(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return fail(ErrorCode::NotFound, fmt::format("cannot read trace {}", path),
                    "name a readable file that is not empty");
    }
    return parseTrace(text.str());
}

std::string formatTrace(const std::vector<TraceRequest> &trace)
{
    std::string text;
    for (const TraceRequest &request : trace)
        text += encodeRequest(request).dump() + '\n';
    return text;
}

std::string makePrompt(const TraceRequest &request)
{
    std::string text;
    text.reserve(request.promptTokens * kBytesPerToken);
    appendTokens(text, request.prefixSeed, request.prefixTokens);
    appendTokens(text, request.promptSeed, request.promptTokens - request.prefixTokens);
    return text;
}

std::string expectedAnswer(std::string_view prompt, std::size_t tokens)
{
    const std::uint64_t digest = fnv1a64(prompt);
    std::string answer;
    for (std::size_t i = 0; i < tokens; ++i)
        answer += hex64(fnv1a64(std::to_string(i), digest)) + ' ';
    return answer;
}

AnswerCheck checkAnswer(std::string_view prompt, std::size_t tokens, std::string_view answer)
{
    const std::string expected = expectedAnswer(prompt, tokens);
    if (answer == expected)
        return AnswerCheck::Whole;
    if (std::string_view(expected).starts_with(answer))
        return AnswerCheck::Truncated;
    return answer.starts_with(expected) ? AnswerCheck::TooLong : AnswerCheck::Wrong;
}

const char *lengthClass(std::size_t promptTokens)
{
    // The bounds are the geometric means of neighbouring classes.
    if (promptTokens < 3'162)
        return "1k";
    if (promptTokens < 31'623)
        return "10k";
    return promptTokens < 316'228 ? "100k" : "1m";
}

} // namespace cicadafork
