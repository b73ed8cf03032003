#include "standin-engine/engineserver.h"

#include "base/hash.h"
#include "standin-engine/prompt.h"

#include <fmt/format.h>

namespace cicadafork::standin {

namespace {

// An idle engine looks at its time limits this often.
constexpr Millis kIdlePoll{10};

// The schedule of steps catches up at most this much after the thread was not run in time.
constexpr Millis kMaxCatchUp{50};

std::size_t remotePriors(const EngineState &engine, const nlohmann::json &body)
{
    std::size_t remote = 0;
    for (const auto &prior : body.value("prior", nlohmann::json::array())) {
        if (!engine.holds.contains(prior.value("hold_id", "")))
            ++remote;
    }
    return remote;
}

void refuse(httplib::Response &response, int status, const char *reason)
{
    replyJson(response, status, {{"executed", false}, {"error", reason}});
    response.set_header("Retry-After", "1");
}

} // namespace

EngineServer::EngineServer(EngineOptions options, FaultGate &gate)
    : options_(std::move(options))
    , incarnation_(fmt::format("{}-{}", options_.id, sinceEpoch(wallNow()).count()))
    , gate_(gate)
    , engine_(options_.parameters)
    , models_(options_.models.begin(), options_.models.end())
    , role_(options_.role)
{
    publishStatus(steadyNow());
}

EngineServer::~EngineServer()
{
    stop();
}

void EngineServer::start()
{
    stepper_ = std::thread([this] { stepLoop(); });
}

void EngineServer::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        for (auto &[key, change] : changes_)
            change->notify_all();
    }
    work_.notify_all();
    if (stepper_.joinable())
        stepper_.join();
    for (std::thread &loader : loaders_)
        loader.join();
    loaders_.clear();
}

void EngineServer::leave()
{
    const std::lock_guard lock(mutex_);
    faults_.leaving = true;
}

std::size_t EngineServer::liveStreams()
{
    const std::lock_guard lock(mutex_);
    return engine_.waiting.size() + engine_.running.size();
}

void EngineServer::applyFaults(const nlohmann::json &faults)
{
    const std::lock_guard lock(mutex_);
    faults_.late = Millis(faults.value("late_ms", faults_.late.count()));
    faults_.crossedEvent = faults.value("crossed_event", faults_.crossedEvent);
    faults_.truncateAfter = faults.value("truncate_after", faults_.truncateAfter);
    faults_.duplicateEvent = faults.value("duplicate_event", faults_.duplicateEvent);
    faults_.staleLoad = faults.value("stale_load", faults_.staleLoad);
    faults_.gapEvery = faults.value("gap_every", faults_.gapEvery);
    faults_.ignoreFencing = faults.value("ignore_fencing", faults_.ignoreFencing);
    faults_.leaving = faults.value("leaving", faults_.leaving);
    faults_.announceLeaving = faults.value("announce_leaving", faults_.announceLeaving);
    engine_.slowFactor = faults.value("slow_factor", engine_.slowFactor);
}

void EngineServer::stepLoop()
{
    TimePoint schedule = steadyNow();
    std::unique_lock lock(mutex_);
    while (!stopped_) {
        const TimePoint now = steadyNow();
        noteEnds(expire(engine_, now));
        if (now - publishedAt_ >= options_.parameters.statusLag)
            publishStatus(now);
        const auto cost = beginStep(engine_, now);
        if (!cost) {
            work_.wait_for(lock, kIdlePoll);
            schedule = steadyNow();
            continue;
        }
        // Streams that were admitted just now get their status line.
        for (const auto &[key, chunk] : engine_.step->chunks)
            changeOf(key).notify_all();
        schedule = std::max(schedule, now - kMaxCatchUp) + *cost;
        lock.unlock();
        std::this_thread::sleep_until(schedule);
        lock.lock();
        noteEnds(finishStep(engine_, steadyNow()));
    }
}

// Wakes the readers of streams that changed and records the ends of those that ran.
void EngineServer::noteEnds(const std::vector<StreamKey> &keys)
{
    for (const StreamKey &key : keys) {
        changeOf(key).notify_all();
        const auto stream = engine_.streams.find(key);
        const auto execution = executions_.find(key);
        if (stream == engine_.streams.end() || execution == executions_.end())
            continue;
        execution->second.state = stream->second.state;
        if (hasEnded(stream->second.state) && !execution->second.ended)
            execution->second.ended = wallNow();
    }
    // Nobody waits for a forgotten stream: its end woke all readers, and its retention is longer
    // than their wait.
    if (changes_.size() <= 2 * engine_.streams.size() + 1024)
        return;
    std::erase_if(changes_, [&](const auto &e) { return !engine_.streams.contains(e.first); });
    std::erase_if(readers_, [&](const auto &e) { return !engine_.streams.contains(e.first); });
    std::erase_if(origins_, [&](const auto &e) { return !engine_.streams.contains(e.first); });
}

std::condition_variable &EngineServer::changeOf(const StreamKey &key)
{
    auto &change = changes_[key];
    if (!change)
        change = std::make_unique<std::condition_variable>();
    return *change;
}

bool EngineServer::serves(const std::string &model) const
{
    return model.empty() || models_.contains(model);
}

// Nothing has run while a stream waits, so every way out of the wait but admission is a refusal.
StreamState EngineServer::awaitAdmission(std::unique_lock<std::mutex> &lock, const StreamKey &key)
{
    auto state = [&] {
        const auto stream = engine_.streams.find(key);
        return stream == engine_.streams.end() ? StreamState::Refused : stream->second.state;
    };
    work_.notify_all();
    changeOf(key).wait(lock, [&] { return stopped_ || state() != StreamState::Waiting; });
    if (state() == StreamState::Waiting)
        cancel(engine_, key, steadyNow());
    return state();
}

void EngineServer::complete(const httplib::Request &request, httplib::Response &response)
{
    const auto body = jsonBody(request, response);
    if (!body)
        return;
    StreamRequest stream;
    stream.key = {body->value("request_id", ""), body->value("attempt", std::uint64_t{0})};
    stream.maxTokens = std::max<std::uint64_t>(1, body->value("max_tokens", std::uint64_t{16}));
    stream.priority = body->value("priority", 1);
    stream.holdId = body->value("hold_id", "");
    fillPrompt(stream, body->value("prompt", ""), digestField(*body, "prefix_digest"),
               options_.parameters.blockTokens);
    const StreamKey key = stream.key;
    if (key.requestId.empty())
        return refuse(response, 400, "request_id is missing");
    std::unique_lock lock(mutex_);
    if (faults_.leaving || stopped_)
        return refuse(response, 503, "the engine is leaving");
    if (!serves(body->value("model", "")))
        return refuse(response, 503, "the model is not loaded");
    if (engine_.streams.contains(key))
        return replyJson(response, 409, {{"error", "this attempt is known; resume its stream"}});
    stream.remotePriors = remotePriors(engine_, *body);
    const std::uint64_t digest = stream.digest;
    StreamState state = submit(engine_, std::move(stream), steadyNow());
    if (state != StreamState::Refused) {
        origins_[key] = {{"holder", body->value("holder", "")},
                         {"incarnation", body->value("incarnation", "")}};
        state = awaitAdmission(lock, key);
    }
    if (state == StreamState::Refused)
        return refuse(response, 429, "no memory within the bound, or cancelled before it ran");
    executions_[key] = {digest, wallNow(), std::nullopt, state};
    lock.unlock();
    streamTo(response, key, 0);
}

void EngineServer::resume(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = request.matches[1].str();
    std::unique_lock lock(mutex_);
    const StreamKey *latest = nullptr;
    for (auto it = engine_.streams.lower_bound({id, 0});
         it != engine_.streams.end() && it->first.requestId == id; ++it)
        latest = &it->first;
    if (latest == nullptr)
        return replyJson(response, 404, {{"error", "no such stream"}});
    const StreamKey key = *latest;
    const StreamState state = engine_.streams.at(key).state;
    if (state == StreamState::Cancelled || state == StreamState::Refused) {
        return replyJson(response, 410,
                         {{"executed", state == StreamState::Cancelled},
                          {"error", "the stream was ended before it was whole"}});
    }
    lock.unlock();
    streamTo(response, key, numberParameter(request, "from", 0));
}

void EngineServer::streamTo(httplib::Response &response, const StreamKey &key, std::uint64_t from)
{
    auto reader = std::make_shared<Reader>();
    reader->key = key;
    reader->next = from;
    {
        const std::lock_guard lock(mutex_);
        reader->generation = ++readers_[key];
        markOrphaned(engine_, key, std::nullopt);
    }
    response.set_header("X-Engine-Attempt", std::to_string(key.attempt));
    response.set_chunked_content_provider(
            "text/event-stream",
            [this, reader](std::size_t, httplib::DataSink &sink) {
                return sendEvents(*reader, sink);
            },
            [this, reader](bool) {
                const std::lock_guard lock(mutex_);
                // An older connection that ends late must not orphan a stream that was resumed.
                if (!reader->complete && readers_[reader->key] == reader->generation)
                    markOrphaned(engine_, reader->key, steadyNow());
            });
}

void EngineServer::cancelStreams(const httplib::Request &request, httplib::Response &response)
{
    const auto body = jsonBody(request, response);
    if (!body)
        return;
    const std::string id = body->value("request_id", "");
    const std::lock_guard lock(mutex_);
    std::vector<StreamKey> keys;
    if (body->contains("attempt")) {
        keys.push_back({id, body->at("attempt").get<std::uint64_t>()});
    } else {
        for (auto it = engine_.streams.lower_bound({id, 0});
             it != engine_.streams.end() && it->first.requestId == id; ++it)
            keys.push_back(it->first);
    }
    bool executed = false;
    bool stopped = false;
    for (const StreamKey &key : keys) {
        const CancelOutcome outcome = cancel(engine_, key, steadyNow());
        executed = executed || outcome != CancelOutcome::NotRun;
        stopped = stopped || outcome == CancelOutcome::Stopped;
    }
    noteEnds(keys);
    replyJson(response, 200, {{"executed", executed}, {"cancelled", stopped}});
}

void EngineServer::prefill(const httplib::Request &request, httplib::Response &response)
{
    const auto body = jsonBody(request, response);
    if (!body)
        return;
    StreamRequest segment;
    segment.holdId = body->value("hold_id", "");
    fillPrompt(segment, body->value("segment", ""), digestField(*body, "prefix_digest"),
               options_.parameters.blockTokens);
    const std::string digest = hex64(segment.digest);
    std::unique_lock lock(mutex_);
    const auto hold = engine_.holds.find(segment.holdId);
    if (hold == engine_.holds.end())
        return refuse(response, 404, "no such hold");
    segment.key = {fmt::format("prefill/{}", segment.holdId), ++segments_};
    segment.remotePriors = remotePriors(engine_, *body);
    const StreamKey key = segment.key;
    if (submit(engine_, std::move(segment), steadyNow()) == StreamState::Refused)
        return refuse(response, 409, "the segment is larger than the rest of the hold");
    work_.notify_all();
    changeOf(key).wait(lock, [&] {
        const auto stream = engine_.streams.find(key);
        return stopped_ || stream == engine_.streams.end() || hasEnded(stream->second.state);
    });
    const auto stream = engine_.streams.find(key);
    if (stream == engine_.streams.end() || stream->second.state != StreamState::Finished)
        return replyJson(response, 410, {{"error", "the hold ended during the prefill"}});
    replyJson(response, 200, {{"digest", digest}});
}

bool EngineServer::sendEvents(Reader &reader, httplib::DataSink &sink)
{
    if (!reader.started) {
        reader.started = true;
        Millis late;
        {
            const std::lock_guard lock(mutex_);
            late = faults_.late;
        }
        std::this_thread::sleep_for(late);
    }
    while (gate_.silent() && !gate_.stopped() && sink.is_writable())
        std::this_thread::sleep_for(Millis(20));
    const Batch batch = collect(reader);
    if (!batch.text.empty() && !sink.write(batch.text.data(), batch.text.size()))
        return false;
    if (batch.done) {
        reader.complete = true;
        sink.done();
    }
    // The peer's disconnect shows only when something is written or the socket is looked at.
    return !batch.broken && sink.is_writable();
}

EngineServer::Batch EngineServer::collect(Reader &reader)
{
    constexpr Millis kDisconnectPoll{200};
    Batch batch;
    std::unique_lock lock(mutex_);
    auto ready = [&] {
        const auto stream = engine_.streams.find(reader.key);
        return stopped_ || stream == engine_.streams.end() || stream->second.generated > reader.next
               || hasEnded(stream->second.state);
    };
    if (!changeOf(reader.key).wait_for(lock, kDisconnectPoll, ready))
        return batch;
    const auto found = engine_.streams.find(reader.key);
    if (found == engine_.streams.end()) {
        batch.broken = true;
        return batch;
    }
    const Stream stream = found->second;
    const EngineFaults faults = faults_;
    const bool stopped = stopped_;
    lock.unlock();
    const bool finished = stream.state == StreamState::Finished;
    for (; reader.next < stream.generated && !batch.broken; ++reader.next) {
        const auto number = static_cast<std::int64_t>(reader.next);
        const std::string event = formatEvent(stream, reader.next, number == faults.crossedEvent);
        batch.text += event;
        if (number == faults.duplicateEvent)
            batch.text += event;
        batch.broken = number == faults.truncateAfter;
    }
    batch.done = finished && !batch.broken;
    batch.broken = batch.broken || stopped || (hasEnded(stream.state) && !finished);
    return batch;
}

} // namespace cicadafork::standin
