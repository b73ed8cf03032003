#include "frontend/callerrequest.h"

#include "base/hash.h"
#include "base/ids.h"
#include "base/json.h"
#include "base/number.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork {

namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxCredentialBytes = 512;
constexpr std::size_t kMaxTraceparentBytes = 128;
constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::uint32_t kMaxMaxTokens = 65'536;
constexpr std::string_view kBearer = "Bearer ";

bool isId(const std::string &text)
{
    return !text.empty() && text.size() <= kMaxIdBytes
           && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
              });
}

Problem badHeader(const char *name, std::string remedy)
{
    return invalidInput("invalid-header", fmt::format("the header {} is wrong", name),
                        std::move(remedy));
}

std::optional<Problem> readTimeout(const httplib::Request &request, const TimingSettings &timing,
                                   Millis &timeout)
{
    timeout = timing.defaultRequestTimeout;
    if (!request.has_header("X-Request-Timeout-Ms"))
        return std::nullopt;
    const auto value = parseNumber<std::uint64_t>(request.get_header_value("X-Request-Timeout-Ms"));
    const auto maximum = static_cast<std::uint64_t>(timing.maxRequestTimeout.count());
    if (!value || *value == 0 || *value > maximum) {
        return badHeader("X-Request-Timeout-Ms",
                         fmt::format("send a number of milliseconds from 1 to {}", maximum));
    }
    timeout = Millis(static_cast<Millis::rep>(*value));
    return std::nullopt;
}

std::optional<Problem> readHeaders(const httplib::Request &request, CallerContext &context)
{
    if (request.has_header("X-Priority")) {
        context.priority = parsePriority(request.get_header_value("X-Priority"));
        if (!context.priority)
            return badHeader("X-Priority", "send urgent, normal or background");
    }
    if (request.has_header("Last-Event-ID")) {
        context.lastEventId = parseNumber<std::uint64_t>(request.get_header_value("Last-Event-ID"));
        if (!context.lastEventId || !request.has_header("X-Request-Id")) {
            return badHeader("Last-Event-ID", "send the id of the last event received, together "
                                              "with the X-Request-Id of the broken request");
        }
    }
    context.idempotencyKey = request.get_header_value("Idempotency-Key");
    if (request.has_header("Idempotency-Key") && !uuidV7Time(context.idempotencyKey))
        return badHeader("Idempotency-Key", "send a UUIDv7");
    if (request.has_header("X-Attempt")) {
        const auto attempt = parseNumber<std::uint64_t>(request.get_header_value("X-Attempt"));
        if (!attempt || *attempt == 0)
            return badHeader("X-Attempt", "send 1 for the first attempt with a key, 2 and more for "
                                          "repeated ones");
    }
    context.earlierAttemptPossible = earlierAttemptPossible(request);
    context.traceparent = request.get_header_value("traceparent");
    if (context.traceparent.size() > kMaxTraceparentBytes)
        return badHeader("traceparent", "send a W3C trace context");
    return std::nullopt;
}

Problem badBody(std::string detail, std::string remedy)
{
    return invalidInput("invalid-body", std::move(detail), std::move(remedy));
}

std::optional<Problem> readMessages(const nlohmann::json &body, std::string &prompt)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return badBody("'messages' is not a list of messages",
                       "send at least one {\"role\", \"content\"}");
    for (const nlohmann::json &message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()
            || !message.contains("content") || !message["content"].is_string())
            return badBody("a message has no text", "send role and content as texts");
        prompt += fmt::format("{}: {}\n", message["role"].get_ref<const std::string &>(),
                              message["content"].get_ref<const std::string &>());
    }
    return std::nullopt;
}

std::optional<Problem> readOptions(const nlohmann::json &body, CompletionBody &completion)
{
    completion.maxTokens = kDefaultMaxTokens;
    if (const auto value = body.find("max_tokens"); value != body.end() && !value->is_null()) {
        if (!value->is_number_unsigned() || value->get<std::uint64_t>() == 0
            || value->get<std::uint64_t>() > kMaxMaxTokens)
            return badBody("'max_tokens' is out of range",
                           fmt::format("send a number from 1 to {}", kMaxMaxTokens));
        completion.maxTokens = value->get<std::uint32_t>();
    }
    if (const auto value = body.find("stream"); value != body.end() && !value->is_null()) {
        if (!value->is_boolean())
            return badBody("'stream' is not a boolean", "send true or false");
        completion.stream = value->get<bool>();
    }
    if (const auto value = body.find("n"); value != body.end() && *value != 1)
        return badBody("'n' is not 1", "send one request for each answer");
    return std::nullopt;
}

} // namespace

bool earlierAttemptPossible(const httplib::Request &request)
{
    return uuidV7Time(request.get_header_value("Idempotency-Key")).has_value()
           && request.get_header_value("X-Attempt") != "1";
}

Execution executionForKey(Execution ofThisAttempt, bool earlierAttemptPossible)
{
    return ofThisAttempt == Execution::NotRun && earlierAttemptPossible ? Execution::MayHaveRun
                                                                        : ofThisAttempt;
}

std::uint64_t countTokens(std::size_t bytes)
{
    return (bytes + 3) / 4;
}

std::string requestIdOf(const httplib::Request &request)
{
    const std::string id = request.get_header_value("X-Request-Id");
    return isId(id) ? id : newUuidV7(wallNow());
}

Checked<CallerContext> readCaller(const httplib::Request &request,
                                  std::shared_ptr<const Configuration> configuration,
                                  const TimingSettings &timing)
{
    if (!configuration) {
        return Problem{503,
                       "no-configuration",
                       "this entry VM does not know the configuration yet",
                       "send the request again later or to another entry VM",
                       Execution::NotRun,
                       Millis(1000)};
    }
    CallerContext context;
    context.started = steadyNow();
    context.configuration = std::move(configuration);
    const std::string authorization = request.get_header_value("Authorization");
    if (authorization.rfind(kBearer, 0) == 0 && authorization.size() <= kMaxCredentialBytes) {
        context.workspace = findWorkspaceByCredential(
                *context.configuration, sha256Hex(authorization.substr(kBearer.size())));
    }
    if (!context.workspace) {
        return invalidInput("unauthenticated", "the credential is missing or wrong",
                            "send Authorization: Bearer with the credential of the workspace", 401);
    }
    if (request.has_header("X-Request-Id") && !isId(request.get_header_value("X-Request-Id")))
        return badHeader("X-Request-Id", "send up to 128 letters, digits, '-', '_' or '.'");
    context.requestId = requestIdOf(request);
    Millis timeout{0};
    if (auto problem = readTimeout(request, timing, timeout))
        return *problem;
    context.deadline = context.started + timeout;
    if (auto problem = readHeaders(request, context))
        return *problem;
    return context;
}

Checked<CompletionBody> readCompletion(const std::string &body, CompletionForm form)
{
    const auto parsed = parseJson(body);
    if (!parsed.is_object())
        return badBody("the body is not a JSON object", "send a JSON object in UTF-8");
    CompletionBody completion;
    const auto model = parsed.find("model");
    if (model == parsed.end() || !model->is_string() || model->get<std::string>().empty())
        return badBody("'model' is missing", "send the name of a model, see GET /v1/models");
    completion.model = model->get<std::string>();
    if (form == CompletionForm::Chat) {
        if (auto problem = readMessages(parsed, completion.prompt))
            return *problem;
    } else {
        const auto prompt = parsed.find("prompt");
        if (prompt == parsed.end() || !prompt->is_string() || prompt->get<std::string>().empty())
            return badBody("'prompt' is not a text", "send one non-empty text");
        completion.prompt = prompt->get<std::string>();
    }
    if (auto problem = readOptions(parsed, completion))
        return *problem;
    return completion;
}

} // namespace cicadafork
