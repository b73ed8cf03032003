#pragma once

// Internal: the answers of model servers, whole and in chunks.

#include "frontend/callerrequest.h"
#include "frontend/streambuffer.h"

#include <string>

namespace cicadafork {

struct AnswerForm
{
    std::string requestId;
    std::string model;
    CompletionForm form = CompletionForm::Text;
    std::uint32_t maxTokens = 0;
};

/// One part as an event with its id line.
std::string partEvent(const AnswerForm &form, const StreamPart &part);

/// The chunk with finish_reason and usage, and the closing "data: [DONE]".
std::string finalEvents(const AnswerForm &form, const StreamEnd &end);

/// An error after the status line.
std::string errorEvent(const Problem &problem, const std::string &requestId);

std::string wholeAnswer(const AnswerForm &form, const std::string &text, const StreamEnd &end);

} // namespace cicadafork
