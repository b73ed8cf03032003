#include "frontend/chunks.h"

#include <fmt/format.h>

namespace cicadafork {

namespace {

nlohmann::json chunk(const AnswerForm &form, const nlohmann::json &content,
                     const nlohmann::json &finishReason)
{
    const bool chat = form.form == CompletionForm::Chat;
    nlohmann::json choice = {{"index", 0}, {"finish_reason", finishReason}};
    if (chat)
        choice["delta"] = content.is_null() ? nlohmann::json::object()
                                            : nlohmann::json{{"content", content}};
    else
        choice["text"] = content.is_null() ? nlohmann::json("") : content;
    return {{"id", form.requestId},
            {"object", chat ? "chat.completion.chunk" : "text_completion"},
            {"model", form.model},
            {"choices", nlohmann::json::array({choice})}};
}

const char *finishReason(const AnswerForm &form, const StreamEnd &end)
{
    return end.completionTokens >= form.maxTokens ? "length" : "stop";
}

nlohmann::json usage(const StreamEnd &end)
{
    return {{"prompt_tokens", end.promptTokens},
            {"completion_tokens", end.completionTokens},
            {"total_tokens", end.promptTokens + end.completionTokens}};
}

} // namespace

std::string partEvent(const AnswerForm &form, const StreamPart &part)
{
    return fmt::format("id: {}\ndata: {}\n\n", part.seq, chunk(form, part.text, nullptr).dump());
}

std::string finalEvents(const AnswerForm &form, const StreamEnd &end)
{
    nlohmann::json last = chunk(form, nullptr, finishReason(form, end));
    last["usage"] = usage(end);
    return fmt::format("data: {}\n\ndata: [DONE]\n\n", last.dump());
}

std::string errorEvent(const Problem &problem, const std::string &requestId)
{
    nlohmann::json object = problemJson(problem, requestId);
    if (problem.retryAfter > Millis(0))
        object["retry_after_ms"] = problem.retryAfter.count();
    return fmt::format("event: error\ndata: {}\n\n", object.dump());
}

std::string wholeAnswer(const AnswerForm &form, const std::string &text, const StreamEnd &end)
{
    const bool chat = form.form == CompletionForm::Chat;
    nlohmann::json choice = {{"index", 0}, {"finish_reason", finishReason(form, end)}};
    if (chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    return nlohmann::json{{"id", form.requestId},
                          {"object", chat ? "chat.completion" : "text_completion"},
                          {"model", form.model},
                          {"choices", nlohmann::json::array({choice})},
                          {"usage", usage(end)}}
            .dump();
}

} // namespace cicadafork
