#include "frontend/serving.h"

#include <algorithm>

namespace cicadafork {

namespace {

// A write is the only way to see that the caller has gone away.
constexpr Millis kCommentInterval{1000};
/// Breaks off the connection of a stream whose engine has been silent for too long.
class SilenceWatch
{
public:
    SilenceWatch(Millis limit, FrontendCounters &counters)
        : limit_(limit)
        , counters_(counters)
    {
    }

    void notePart() { lastPart_ = steadyNow(); }

    void check(ActiveRequest &request)
    {
        if (!lastPart_ || steadyNow() - *lastPart_ < limit_)
            return;
        counters_.silences.Increment();
        notePart();
        request.stop().interrupt();
    }

private:
    Millis limit_;
    FrontendCounters &counters_;
    std::optional<TimePoint> lastPart_;
};

class EventWriter
{
public:
    EventWriter(std::shared_ptr<ServedRequest> served, AnswerForm form, SilenceWatch silence)
        : served_(std::move(served))
        , form_(std::move(form))
        , silence_(silence)
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
            silence_.check(request);
        }
        if (!taken.parts.empty())
            silence_.notePart();
        if (!sink.write(events.data(), events.size()))
            return false;
        if (last)
            sink.done();
        return true;
    }

private:
    std::shared_ptr<ServedRequest> served_;
    AnswerForm form_;
    SilenceWatch silence_;
};

void writeWhole(httplib::Response &response, ServedRequest &served, const AnswerForm &form,
                SilenceWatch silence)
{
    std::string text;
    for (;;) {
        const auto taken = served->buffer().take(
                std::min(served->facts().deadline, steadyNow() + kCommentInterval));
        for (const StreamPart &part : taken.parts)
            text += part.text;
        if (taken.parts.empty())
            silence.check(*served);
        else
            silence.notePart();
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
                 const AnswerForm &form, ServeOptions options, FrontendCounters &counters)
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
    const SilenceWatch silence(options.longestSilence, counters);
    if (!options.stream)
        return writeWhole(response, *served, form, silence);
    auto writer = std::make_shared<EventWriter>(served, form, silence);
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
            "text/event-stream",
            [writer](std::size_t, httplib::DataSink &sink) { return writer->writeNext(sink); });
}

} // namespace cicadafork
