#include "frontend/requesttable.h"

namespace cicadafork {

namespace {

Millis between(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Millis>(to - from);
}

} // namespace

const char *toString(RequestState state)
{
    switch (state) {
    case RequestState::Queued:
        return "queued";
    case RequestState::Claiming:
        return "claiming";
    case RequestState::Reserving:
        return "reserving";
    case RequestState::Prefilling:
        return "prefilling";
    case RequestState::Dispatched:
        return "dispatched";
    case RequestState::Streaming:
        return "streaming";
    case RequestState::Resuming:
        return "resuming";
    case RequestState::Retrying:
        return "retrying";
    }
    return "queued";
}

std::string requestKey(const std::string &workspace, const std::string &requestId)
{
    return workspace + "~" + requestId;
}

ActiveRequest::ActiveRequest(RequestFacts facts)
    : facts_(std::move(facts))
    , key_(requestKey(facts_.workspace, facts_.requestId))
    , inDoubt_(facts_.earlierAttemptPossible)
    , stateSince_(facts_.started)
    , progressAt_(facts_.started)
{
    view_.requestId = facts_.requestId;
    view_.workspace = facts_.workspace;
    view_.service = facts_.service;
    view_.model = facts_.model;
    view_.priority = facts_.priority;
    view_.promptTokens = facts_.promptTokens;
    view_.nonRepeatable = facts_.nonRepeatable;
    view_.waitsFor = "admission";
}

bool ActiveRequest::beginSend()
{
    const std::lock_guard lock(mutex_);
    if (cancelled_)
        return false;
    sending_ = true;
    return true;
}

void ActiveRequest::excludeEarlierAttempts()
{
    const std::lock_guard lock(mutex_);
    inDoubt_ = false;
}

void ActiveRequest::attemptEnded(AttemptStatus status)
{
    const std::lock_guard lock(mutex_);
    if (sending_ && status != AttemptStatus::Refused)
        inDoubt_ = true;
    sending_ = false;
}

Execution ActiveRequest::execution() const
{
    const std::lock_guard lock(mutex_);
    return sending_ || inDoubt_ ? Execution::MayHaveRun : Execution::NotRun;
}

Execution ActiveRequest::cancel()
{
    Execution known = Execution::NotRun;
    {
        const std::lock_guard lock(mutex_);
        cancelled_ = true;
        known = sending_ || inDoubt_ ? Execution::MayHaveRun : Execution::NotRun;
        cancelChanged_.notify_all();
    }
    buffer_.close();
    stop_.stop();
    return known;
}

bool ActiveRequest::cancelled() const
{
    const std::lock_guard lock(mutex_);
    return cancelled_;
}

void ActiveRequest::interrupt()
{
    {
        // The time until the next interrupt starts anew.
        const std::lock_guard lock(mutex_);
        progressAt_ = steadyNow();
    }
    stop_.interrupt();
}

template <class Predicate>
bool ActiveRequest::pauseUnless(Millis duration, Predicate ended)
{
    std::unique_lock lock(mutex_);
    const TimePoint until = std::min(steadyNow() + duration, facts_.deadline);
    return !cancelChanged_.wait_until(lock, until, ended) && steadyNow() < facts_.deadline;
}

bool ActiveRequest::pause(Millis duration)
{
    return pauseUnless(duration, [this] { return cancelled_; });
}

bool ActiveRequest::pauseBeforeAttempt(Millis duration)
{
    return pauseUnless(duration, [this] { return cancelled_ || waitingEnded_; });
}

void ActiveRequest::endWaiting()
{
    const std::lock_guard lock(mutex_);
    waitingEnded_ = true;
    cancelChanged_.notify_all();
}

bool ActiveRequest::waitingEnded() const
{
    const std::lock_guard lock(mutex_);
    return waitingEnded_;
}

void ActiveRequest::setState(RequestState state, std::string waitsFor, const std::string &endpoint)
{
    const std::lock_guard lock(mutex_);
    view_.state = state;
    view_.waitsFor = std::move(waitsFor);
    if (!endpoint.empty())
        view_.endpoint = endpoint;
    stateSince_ = progressAt_ = steadyNow();
}

void ActiveRequest::setAttempt(unsigned attempt, Millis expectedFirstToken)
{
    const std::lock_guard lock(mutex_);
    view_.attempt = attempt;
    view_.expectedFirstToken = expectedFirstToken;
}

void ActiveRequest::noteDelivered()
{
    const std::lock_guard lock(mutex_);
    progressAt_ = steadyNow();
    if (view_.state != RequestState::Streaming) {
        view_.state = RequestState::Streaming;
        view_.waitsFor = "the engine's next token";
        stateSince_ = progressAt_;
    }
    ++view_.tokensDelivered;
}

RequestView ActiveRequest::view(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    RequestView view = view_;
    view.age = between(facts_.started, now);
    view.inState = between(stateSince_, now);
    view.sinceProgress = between(progressAt_, now);
    view.untilDeadline = between(now, facts_.deadline);
    if (view.state == RequestState::Streaming && buffer_.full())
        view.waitsFor = "the caller, which does not read the answer";
    return view;
}

AddOutcome RequestTable::add(const std::shared_ptr<ActiveRequest> &request)
{
    const std::lock_guard lock(mutex_);
    if (rows_.find(request->key()))
        return AddOutcome::AlreadyRunning;
    auto *row = rows_.insert(request->key());
    if (!row)
        return AddOutcome::Full;
    *row = request;
    return AddOutcome::Added;
}

void RequestTable::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    rows_.erase(key);
}

std::shared_ptr<ActiveRequest> RequestTable::find(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    const auto *row = rows_.find(key);
    return row ? *row : nullptr;
}

std::size_t RequestTable::size() const
{
    const std::lock_guard lock(mutex_);
    return rows_.size();
}

std::vector<std::shared_ptr<ActiveRequest>> RequestTable::all() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<ActiveRequest>> requests;
    requests.reserve(rows_.size());
    rows_.forEach([&](const std::string &, const auto &row) { requests.push_back(row); });
    return requests;
}

std::vector<RequestView> RequestTable::views(TimePoint now) const
{
    std::vector<RequestView> views;
    for (const auto &request : all())
        views.push_back(request->view(now));
    return views;
}

} // namespace cicadafork
