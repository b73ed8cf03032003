#include "frontend/serving.h"

#include <algorithm>

namespace cicadafork {

namespace {

// A write is the only way to see that the caller has gone away.
constexpr Millis kCommentInterval{1000};
// Tokens come every 36 ms; an engine that is silent for this long after the first one is frozen
// or cut off. Its connection is broken off, and the stream is resumed or fails definitely.
constexpr Millis kLongestSilence{10'000};

class EventWriter
{
public:
    EventWriter(std::shared_ptr<ServedRequest> served, AnswerForm form, FrontendCounters &counters)
        : served_(std::move(served))
        , form_(std::move(form))
        , counters_(counters)
    {
    }

    /// Writes what is there or a comment; false when the caller has gone away.
    bool writeNext(httplib::DataSink &sink)
    {
        ActiveRequest &request = **served_;
        const TimePoint deadline = request.facts().deadline;
        const auto taken
                = request.buffer().take(std::min(deadline, steadyNow() + kCommentInterval));
        std::string events;
        for (const StreamPart &part : taken.parts)
            events += partEvent(form_, part);
        bool last = taken.end.has_value();
        if (taken.end && taken.end->problem)
            events += errorEvent(*taken.end->problem, form_.requestId);
        else if (taken.end)
            events += finalEvents(form_, *taken.end);
        else if (steadyNow() >= deadline) {
            events += errorEvent(deadlineProblem(request.cancel()), form_.requestId);
            last = true;
        } else if (taken.parts.empty()) {
            events = ": waiting\n\n";
            breakSilence(request);
        }
        if (!taken.parts.empty())
            lastPart_ = steadyNow();
        if (!sink.write(events.data(), events.size()))
            return false;
        if (last)
            sink.done();
        return true;
    }

private:
    void breakSilence(ActiveRequest &request)
    {
        if (!lastPart_ || steadyNow() - *lastPart_ < kLongestSilence)
            return;
        counters_.silences.Increment();
        lastPart_ = steadyNow();
        request.stop().interrupt();
    }

    std::shared_ptr<ServedRequest> served_;
    AnswerForm form_;
    FrontendCounters &counters_;
    std::optional<TimePoint> lastPart_;
};

void writeWhole(httplib::Response &response, ServedRequest &served, const AnswerForm &form)
{
    std::string text;
    for (;;) {
        const auto taken = served->buffer().take(served->facts().deadline);
        for (const StreamPart &part : taken.parts)
            text += part.text;
        if (taken.end && taken.end->problem)
            return writeProblem(response, *taken.end->problem, form.requestId);
        if (taken.end)
            return response.set_content(wholeAnswer(form, text, *taken.end), "application/json");
        if (steadyNow() >= served->facts().deadline)
            return writeProblem(response, deadlineProblem(served->cancel()), form.requestId);
    }
}

} // namespace

void serveAnswer(httplib::Response &response, const std::shared_ptr<ServedRequest> &served,
                 const AnswerForm &form, bool stream, FrontendCounters &counters)
{
    ActiveRequest &request = **served;
    switch (request.buffer().waitAccepted(request.facts().deadline)) {
    case StreamBuffer::Start::TimedOut:
        return writeProblem(response, deadlineProblem(request.cancel()), form.requestId);
    case StreamBuffer::Start::Ended: {
        const auto taken = request.buffer().take(request.facts().deadline);
        return writeProblem(response, taken.end->problem.value_or(Problem{}), form.requestId);
    }
    case StreamBuffer::Start::Accepted:
        break;
    }
    if (!stream)
        return writeWhole(response, *served, form);
    auto writer = std::make_shared<EventWriter>(served, form, counters);
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
            "text/event-stream",
            [writer](std::size_t, httplib::DataSink &sink) { return writer->writeNext(sink); });
}

} // namespace cicadafork
