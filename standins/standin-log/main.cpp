// Stand-in of the platform's log service.

#include "common/standin.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

using namespace cicadafork;
using namespace cicadafork::standin;

namespace {

struct Stream
{
    std::uint64_t first = 0;
    std::deque<std::pair<std::int64_t, nlohmann::json>> records; ///< Wall time in ms and data.
};

struct LogState
{
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Stream> streams;
    std::size_t retentionRecords = 1'000'000;
    std::int64_t retentionMs = 3'600'000;
    double appendsPerSecond = 0; ///< 0 means no limit.
    bool loseAppendAnswers = false;
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    TimePoint nextAppend;
};

void expireRecords(Stream &stream, const LogState &log, std::int64_t nowMs)
{
    while (!stream.records.empty()
           && (stream.records.size() > log.retentionRecords
               || stream.records.front().first + log.retentionMs < nowMs)) {
        stream.records.pop_front();
        ++stream.first;
    }
}

// Appends above the rate limit wait for their turn, as a slow log does.
void waitForTurn(LogState &log, std::unique_lock<std::mutex> &lock, const FaultGate &gate)
{
    if (log.appendsPerSecond <= 0)
        return;
    const TimePoint turn = std::max(log.nextAppend, steadyNow());
    log.nextAppend = turn + Micros(static_cast<std::int64_t>(1e6 / log.appendsPerSecond));
    lock.unlock();
    while (!gate.stopped() && steadyNow() < turn)
        std::this_thread::sleep_until(std::min(turn, steadyNow() + Millis(20)));
    lock.lock();
}

void append(LogState &log, const FaultGate &gate, const httplib::Request &request,
            httplib::Response &response)
{
    auto data = nlohmann::json::parse(request.body, nullptr, false);
    if (data.is_discarded())
        return replyJson(response, 400, {{"error", "the record is not JSON"}});
    std::unique_lock lock(log.mutex);
    waitForTurn(log, lock, gate);
    const std::int64_t nowMs = sinceEpoch(wallNow()).count();
    Stream &stream = log.streams[request.matches[1].str()];
    stream.records.emplace_back(nowMs, std::move(data));
    expireRecords(stream, log, nowMs);
    ++log.appends;
    const std::uint64_t offset = stream.first + stream.records.size() - 1;
    const bool lose = log.loseAppendAnswers;
    lock.unlock();
    log.changed.notify_all();
    replyJson(response, 200, {{"offset", offset}});
    if (!lose)
        return;
    // The announced length is never sent, so that the connection ends without an answer.
    response.body.clear();
    response.set_content_provider(
            64, "application/json",
            [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

void read(LogState &log, const httplib::Request &request, httplib::Response &response)
{
    const std::uint64_t from = numberParameter(request, "from", 0);
    const std::uint64_t limit
            = std::min<std::uint64_t>(numberParameter(request, "limit", 100), 10'000);
    const Millis wait(std::min<std::uint64_t>(numberParameter(request, "wait_ms", 0), 30'000));
    std::unique_lock lock(log.mutex);
    ++log.reads;
    Stream &stream = log.streams[request.matches[1].str()];
    log.changed.wait_for(lock, wait, [&] { return stream.first + stream.records.size() > from; });
    expireRecords(stream, log, sinceEpoch(wallNow()).count());
    if (from < stream.first)
        return replyJson(response, 410, {{"first", stream.first}});
    nlohmann::json records = nlohmann::json::array();
    std::uint64_t next = from;
    for (; next - stream.first < stream.records.size() && records.size() < limit; ++next) {
        const auto &[timeMs, data] = stream.records[next - stream.first];
        records.push_back({{"offset", next}, {"time_ms", timeMs}, {"data", data}});
    }
    replyJson(response, 200, {{"first", stream.first}, {"next", next}, {"records", records}});
}

void applyFaults(LogState &log, const nlohmann::json &faults)
{
    const std::lock_guard lock(log.mutex);
    log.retentionRecords = faults.value("retention_records", log.retentionRecords);
    log.retentionMs = faults.value("retention_ms", log.retentionMs);
    log.appendsPerSecond = faults.value("appends_per_second", log.appendsPerSecond);
    log.loseAppendAnswers = faults.value("lose_append_answers", log.loseAppendAnswers);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-log", "Stand-in of the platform's log service");
    addCommonFlags(options);
    const auto flags = parseFlags(options, argc, argv);
    blockSignals();
    FaultGate gate;
    LogState log;
    HttpServer server(serverOptions(flags));
    installFaults(
            server, gate, [&](const nlohmann::json &f) { applyFaults(log, f); }, flags);
    server.routes().Post("/streams/([^/]+)", gate.guard([&](const auto &request, auto &response) {
        append(log, gate, request, response);
    }));
    server.routes().Get("/streams/([^/]+)", gate.guard([&](const auto &request, auto &response) {
        read(log, request, response);
    }));
    server.routes().Get("/admin/stats", [&](const auto &, auto &response) {
        const std::lock_guard lock(log.mutex);
        replyJson(response, 200, {{"appends", log.appends}, {"reads", log.reads}});
    });
    return serveUntilSignal(server, gate, "standin-log");
}
