#include "loadgen/runner.h"

#include "base/ids.h"
#include "http/client.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <system_error>
#include <thread>

namespace cicadafork {

namespace {

using Json = nlohmann::json;

/// A daemon answers at the latest 250 ms after the timeout; the rest is for the network.
constexpr Millis kAnswerGrace{1000};
/// Time after its timeout at which an answer is overdue (section 1 of the design page).
constexpr double kOverdueMs = 250;

double millisSince(TimePoint planned)
{
    return std::chrono::duration<double, std::milli>(steadyNow() - planned).count();
}

/// Collects the text of an event stream and the times at which its tokens arrived.
struct StreamReader
{
    TimePoint planned;
    std::string pending;
    std::string text;
    std::string raw; ///< The body of an answer that is not an event stream.
    double last = 0;
    bool ended = false;

    void line(const std::string &content, RequestResult &result)
    {
        if (content == "data: [DONE]") {
            ended = true;
            return;
        }
        if (!content.starts_with("data: "))
            return;
        const Json data = Json::parse(content.substr(6), nullptr, false);
        if (!data.is_object() || !data.contains("choices") || !data["choices"].is_array()
            || data["choices"].empty())
            return;
        const std::string part = data["choices"][0].value("text", "");
        if (part.empty())
            return;
        text += part;
        const double now = millisSince(planned);
        if (result.firstToken)
            result.gaps.push_back(now - last);
        else
            result.firstToken = now;
        last = now;
    }

    void feed(std::string_view bytes, RequestResult &result)
    {
        pending += bytes;
        std::size_t start = 0;
        for (std::size_t end; (end = pending.find('\n', start)) != std::string::npos;) {
            line(pending.substr(start, end - start), result);
            start = end + 1;
        }
        pending.erase(0, start);
    }
};

httplib::Request makeHttpRequest(const TraceRequest &request, const std::string &prompt)
{
    const bool call = request.kind == RequestKind::Call;
    httplib::Request http;
    http.method = "POST";
    http.path = call ? fmt::format("/v1/services/{}/{}", request.target, request.operation)
                     : "/v1/completions";
    http.set_header("Authorization", "Bearer " + request.credential);
    http.set_header("Content-Type", "application/json");
    http.set_header("X-Priority", request.priority);
    http.set_header("X-Request-Timeout-Ms", std::to_string(request.timeout.count()));
    if (request.keyed) {
        // Every key is new and the load is never repeated.
        http.set_header("Idempotency-Key", newUuidV7(wallNow()));
        http.set_header("X-Attempt", "1");
    }
    const Json body = call ? Json{{"text", prompt}}
                           : Json{{"model", request.target},
                                  {"prompt", prompt},
                                  {"max_tokens", request.maxTokens},
                                  {"stream", request.stream}};
    http.body = body.dump();
    return http;
}

RequestOutcome judgeAnswer(const TraceRequest &request, const std::string &prompt,
                           const StreamReader &reader)
{
    std::string text = reader.text;
    if (!request.stream) {
        const Json body = Json::parse(reader.raw, nullptr, false);
        if (!body.is_object() || !body.contains("choices") || body["choices"].empty())
            return RequestOutcome::Missing;
        text = body["choices"][0].value("text", "");
    }
    switch (checkAnswer(prompt, request.maxTokens, text)) {
    case AnswerCheck::Whole:
        return request.stream && !reader.ended ? RequestOutcome::Truncated
                                               : RequestOutcome::Completed;
    case AnswerCheck::Truncated:
        return text.empty() ? RequestOutcome::Missing : RequestOutcome::Truncated;
    case AnswerCheck::TooLong:
        return RequestOutcome::Duplicated;
    case AnswerCheck::Wrong:
        break;
    }
    return RequestOutcome::Mixed;
}

RequestOutcome judge(const TraceRequest &request, const std::string &prompt,
                     const StreamReader &reader, RequestResult &result)
{
    if (result.status >= 200 && result.status < 300) {
        return request.kind == RequestKind::Call ? RequestOutcome::Completed
                                                 : judgeAnswer(request, prompt, reader);
    }
    const Json problem = Json::parse(reader.raw, nullptr, false);
    if (problem.is_object() && problem.contains("title") && problem["title"].is_string())
        result.reason = problem["title"];
    if (result.status == 429 || result.status == 503 || result.status == 504)
        return RequestOutcome::Refused;
    return result.status >= 400 && result.status < 500 ? RequestOutcome::Rejected
                                                       : RequestOutcome::Missing;
}

RequestResult sendRequest(const TraceRequest &request, const Address &target, TimePoint planned)
{
    const std::string prompt = makePrompt(request);
    httplib::Request http = makeHttpRequest(request, prompt);
    RequestResult result;
    StreamReader reader;
    reader.planned = planned;
    http.response_handler = [&](const httplib::Response &response) {
        result.status = response.status;
        return true;
    };
    http.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (request.stream && result.status == 200)
            reader.feed({data, size}, result);
        else
            reader.raw.append(data, size);
        return true;
    };
    const Millis patience = request.timeout + kAnswerGrace;
    const auto client = makeHttpClient(target, {Millis(1000), patience, patience});
    std::this_thread::sleep_until(planned);
    result.started = Millis(static_cast<Millis::rep>(millisSince(planned)));
    const httplib::Result sent = client->send(http);
    result.finished = millisSince(planned);
    if (!sent)
        result.reason = httplib::to_string(sent.error());
    result.outcome = judge(request, prompt, reader, result);
    return result;
}

Json percentiles(std::vector<double> values)
{
    if (values.empty())
        return nullptr;
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}, {"count", values.size()}};
}

} // namespace

std::vector<RequestResult> runLoad(const std::vector<TraceRequest> &trace,
                                   const LoadOptions &options)
{
    std::vector<RequestResult> results(trace.size());
    std::atomic<std::size_t> next{0};
    std::atomic<std::size_t> finished{0};
    const TimePoint begin = steadyNow() + Millis(50);
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < std::min(options.workers, trace.size()); ++i) {
        try {
            workers.emplace_back([&] {
                for (std::size_t index; (index = next++) < trace.size(); ++finished) {
                    const Address &target = options.targets[index % options.targets.size()];
                    results[index] = sendRequest(trace[index], target, begin + trace[index].offset);
                }
            });
        } catch (const std::system_error &error) {
            // The machine has no more threads. The workers that run go on; too few of them show as
            // late starts.
            fmt::print(stderr, "cicadafork load: {} of {} workers started: {}\n", i,
                       options.workers, error.what());
            if (workers.empty())
                throw;
            break;
        }
    }
    while (options.progress && finished < trace.size()) {
        std::this_thread::sleep_for(Millis(1000));
        fmt::print(stderr, "{} of {} requests finished\n", finished.load(), trace.size());
    }
    for (std::thread &worker : workers)
        worker.join();
    return results;
}

Json summarise(const std::vector<TraceRequest> &trace, const std::vector<RequestResult> &results,
               std::optional<double> idealShortMs)
{
    std::map<std::string, std::vector<double>> firstTokens{
            {"1k", {}}, {"10k", {}}, {"100k", {}}, {"1m", {}}};
    auto gaps = firstTokens;
    std::map<std::string, int> outcomes;
    std::map<std::string, int> refusals;
    int overdue = 0;
    int lateStarts = 0;
    int unexpected = 0;
    int useful = 0;
    int failedInTime = 0;
    double end = 1;
    for (std::size_t i = 0; i < trace.size(); ++i) {
        const RequestResult &result = results[i];
        const char *length = lengthClass(trace[i].promptTokens);
        if (result.firstToken)
            firstTokens[length].push_back(*result.firstToken);
        gaps[length].insert(gaps[length].end(), result.gaps.begin(), result.gaps.end());
        ++outcomes[toString(result.outcome)];
        if (result.outcome == RequestOutcome::Refused)
            ++refusals[fmt::format("{} {}", result.status, result.reason)];
        const auto timeout = static_cast<double>(trace[i].timeout.count());
        const bool completed = result.outcome == RequestOutcome::Completed;
        const bool failed = result.outcome == RequestOutcome::Refused
                            || result.outcome == RequestOutcome::Rejected;
        useful += completed && result.finished <= timeout;
        failedInTime += failed && result.finished <= timeout + kOverdueMs;
        end = std::max(end, static_cast<double>(trace[i].offset.count()) + result.finished);
        overdue += result.finished > timeout + kOverdueMs;
        lateStarts += result.started > kLateStart;
        unexpected += trace[i].expected != toString(result.outcome);
    }
    Json run = {{"requests", trace.size()},
                {"outcomes", outcomes},
                {"refusals", refusals},
                {"completed", outcomes["completed"]},
                {"duplicated", outcomes["duplicated"]},
                {"lost", outcomes["missing"]},
                {"overdue", overdue},
                {"late_starts", lateStarts},
                {"unexpected", unexpected}};
    run["admitted"] = static_cast<int>(trace.size()) - outcomes["refused"] - outcomes["rejected"];
    run["failed_in_time"] = failedInTime;
    run["goodput_per_s"] = 1000 * useful / end;
    run["short_slowdown_p95"] = nullptr;
    if (idealShortMs && !firstTokens["1k"].empty()) {
        const double p95 = percentiles(firstTokens["1k"])["p95"];
        run["short_slowdown_p95"] = p95 / *idealShortMs;
    }
    for (const auto &[length, values] : firstTokens)
        run["ttft_ms"][length] = percentiles(values);
    for (const auto &[length, values] : gaps)
        run["token_gap_ms"][length] = percentiles(values);
    return run;
}

const char *toString(RequestOutcome outcome)
{
    constexpr const char *kNames[]
            = {"completed", "refused", "rejected", "truncated", "duplicated", "mixed", "missing"};
    return kNames[static_cast<std::size_t>(outcome)];
}

} // namespace cicadafork
