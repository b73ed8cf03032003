#include "support/systemclient.h"

#include "base/hash.h"
#include "endpoint/sseparser.h"
#include "http/client.h"
#include "standin-engine/prompt.h"
#include "support/eventually.h"

#include <fmt/format.h>

#include <stdexcept>

namespace cicadafork::test {

namespace {

constexpr Millis kConfigureTimeout{10'000};
// The daemon answers by the timeout plus 250 ms; the client waits a little longer to see it.
constexpr Millis kClientMargin{2000};

httplib::Headers headersOf(const std::string &credential, Millis timeout)
{
    return {{"Authorization", "Bearer " + credential},
            {"X-Request-Timeout-Ms", std::to_string(timeout.count())}};
}

void readProblem(CallResult &result, const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return;
    result.execution = json.value("execution", "");
    result.problem = json.value("detail", "");
    if (json.contains("retry_after_ms"))
        result.retryAfter = fmt::format("{} ms", json["retry_after_ms"].dump());
}

/// Takes the lines of one streamed completion apart.
class StreamReader
{
public:
    StreamReader(CallResult &result, TimePoint begin)
        : result_(result)
        , begin_(begin)
    {
    }

    bool feed(const char *data, std::size_t length,
              const std::function<bool(const std::string &)> &onEvent)
    {
        pending_.append(data, length);
        std::size_t end = 0;
        while ((end = pending_.find('\n')) != std::string::npos) {
            const std::string line = pending_.substr(0, end);
            pending_.erase(0, end + 1);
            if (!readLine(line, onEvent))
                return false;
        }
        return true;
    }

private:
    bool readLine(const std::string &line, const std::function<bool(const std::string &)> &onEvent)
    {
        if (line.starts_with("id: "))
            eventId_ = line.substr(4);
        if (line.starts_with("event: error"))
            error_ = true;
        if (!line.starts_with("data: "))
            return true;
        const std::string data = line.substr(6);
        if (data == "[DONE]") {
            result_.done = !error_;
            return true;
        }
        if (error_) {
            readProblem(result_, data);
            return true;
        }
        const auto json = nlohmann::json::parse(data, nullptr, false);
        const auto choices = json.value("choices", nlohmann::json::array());
        if (choices.empty())
            return true;
        const std::string text = choices[0].value("text", "");
        if (!text.empty() && result_.text.empty())
            result_.firstToken = std::chrono::duration_cast<Millis>(steadyNow() - begin_);
        result_.text += text;
        // An id counts when its text has arrived too.
        if (!eventId_.empty())
            result_.lastEventId = eventId_;
        return !onEvent || onEvent(text);
    }

    CallResult &result_;
    TimePoint begin_;
    std::string pending_;
    std::string eventId_;
    bool error_ = false;
};

void readWholeCompletion(CallResult &result, const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("choices"))
        return;
    result.text = json["choices"][0].value("text", "");
    result.done = true;
}

} // namespace

nlohmann::json SystemClient::statement(const std::string &text) const
{
    const nlohmann::json body = {{"statement", text}, {"timeout_ms", 2000}};
    const auto reply = capture([&] {
        return httpPost(
                address_, "/v1/operator", body.dump(), Millis(5000),
                {{"Authorization", "Bearer " + operatorCredential_}, {"X-Operator-Name", "test"}});
    });
    if (!reply)
        return nlohmann::json::object();
    auto json = nlohmann::json::parse(reply->body, nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

std::uint64_t SystemClient::command(const std::string &text) const
{
    const auto reply = statement(text);
    const auto verdict = reply.value("verdict", nlohmann::json::object());
    if (!verdict.value("accepted", false))
        throw std::runtime_error(text + ": " + reply.dump());
    return verdict.value("version", std::uint64_t{0});
}

bool SystemClient::ready() const
{
    const auto reply = capture([&] { return httpGet(address_, "/readyz", Millis(500)); });
    return reply && reply->status == 200;
}

CallResult SystemClient::complete(const CompletionCall &call,
                                  const std::function<bool(const std::string &)> &onEvent) const
{
    CallResult result;
    const TimePoint begin = steadyNow();
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = headersOf(call.credential, call.timeout);
    request.set_header("Content-Type", "application/json");
    request.set_header("X-Priority", call.priority);
    if (!call.requestId.empty())
        request.set_header("X-Request-Id", call.requestId);
    if (!call.lastEventId.empty())
        request.set_header("Last-Event-ID", call.lastEventId);
    request.body = nlohmann::json{
            {"model", call.model},
            {"prompt", call.prompt},
            {"max_tokens", call.maxTokens},
            {"stream",
             call.stream}}.dump();
    StreamReader reader(result, begin);
    std::string body;
    request.response_handler = [&](const httplib::Response &response) {
        result.status = response.status;
        result.retryAfter = response.get_header_value("Retry-After");
        return true;
    };
    request.content_receiver
            = [&](const char *data, std::size_t length, std::uint64_t, std::uint64_t) {
                  if (call.stream && result.status == 200)
                      return reader.feed(data, length, onEvent);
                  body.append(data, length);
                  return true;
              };
    auto client = makeHttpClient(
            address_, {Millis(2000), call.timeout + kClientMargin, call.timeout + kClientMargin});
    (void)client->send(request);
    if (result.status == 200 && !call.stream)
        readWholeCompletion(result, body);
    else if (result.status != 200)
        readProblem(result, body);
    result.duration = std::chrono::duration_cast<Millis>(steadyNow() - begin);
    return result;
}

CallResult SystemClient::callService(const ServiceCall &call) const
{
    CallResult result;
    const TimePoint begin = steadyNow();
    auto headers = headersOf(call.credential, call.timeout);
    if (!call.idempotencyKey.empty())
        headers.emplace("Idempotency-Key", call.idempotencyKey);
    if (!call.attempt.empty())
        headers.emplace("X-Attempt", call.attempt);
    if (!call.requestId.empty())
        headers.emplace("X-Request-Id", call.requestId);
    const auto reply = capture([&] {
        return httpPost(address_, fmt::format("/v1/services/{}/{}", call.service, call.operation),
                        call.body, call.timeout + kClientMargin, headers);
    });
    result.duration = std::chrono::duration_cast<Millis>(steadyNow() - begin);
    if (!reply)
        return result;
    result.status = reply->status;
    const auto header = [&](const char *name) {
        const auto found = reply->headers.find(name);
        return found == reply->headers.end() ? std::string() : found->second;
    };
    result.retryAfter = header("Retry-After");
    result.replayed = header("Idempotent-Replay") == "true";
    result.text = reply->body;
    result.done = reply->status == 200;
    if (reply->status != 200)
        readProblem(result, reply->body);
    return result;
}

std::string expectedAnswer(const std::string &prompt, std::uint32_t maxTokens)
{
    const std::uint64_t digest = fnv1a64(prompt);
    std::string answer;
    for (std::uint32_t i = 0; i < maxTokens; ++i)
        answer += standin::answerToken(digest, i);
    return answer;
}

bool isWholeAnswer(const CallResult &result, const std::string &prompt, std::uint32_t maxTokens)
{
    return result.status == 200 && result.done && result.text == expectedAnswer(prompt, maxTokens);
}

std::string makePrompt(std::size_t tokens, std::uint64_t seed)
{
    constexpr std::size_t kBytesPerToken = 4;
    std::string prompt;
    prompt.reserve(tokens * kBytesPerToken + 16);
    for (std::uint64_t i = 0; prompt.size() < tokens * kBytesPerToken; ++i)
        prompt += hex64(mix64(seed * 0x9e3779b97f4a7c15ULL + i));
    prompt.resize(tokens * kBytesPerToken);
    return prompt;
}

void configureSystem(const SystemClient &client, const std::string &modelService,
                     const std::string &plainService)
{
    if (!eventually(kConfigureTimeout, [&] { return client.ready(); }))
        throw std::runtime_error("the daemon does not become ready");
    client.command(fmt::format("create service {} kind=model models=tiny", modelService));
    client.command(
            fmt::format("create service {} kind=plain non_repeatable=send-text", plainService));
    client.command(fmt::format("create workspace estate services=\"{},{}\" credential_sha256={}",
                               modelService, plainService, sha256Hex(kCallerCredential)));
}

} // namespace cicadafork::test
