#include "endpoint/attempt.h"

namespace cicadafork {

const char *toString(AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Refused:
        return "refused";
    case AttemptStatus::Failed:
        return "failed";
    case AttemptStatus::Completed:
        return "completed";
    case AttemptStatus::Cancelled:
        return "cancelled";
    }
    return "failed";
}

void AttemptStop::stop()
{
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    if (call_)
        call_->interrupt();
}

bool AttemptStop::stopped() const
{
    const std::lock_guard lock(mutex_);
    return stopped_;
}

void AttemptStop::interrupt()
{
    const std::lock_guard lock(mutex_);
    if (call_)
        call_->interrupt();
}

void AttemptStop::attach(BlockingCall *call)
{
    const std::lock_guard lock(mutex_);
    call_ = call;
}

void AttemptStop::detach()
{
    const std::lock_guard lock(mutex_);
    call_ = nullptr;
}

CallEnd runStoppable(const Address &address, HttpTimeouts timeouts, AttemptStop &stop,
                     const StoppableRequest &request)
{
    BlockingHandlers handlers;
    handlers.beforeSend = [&] {
        // A stop before the call was attached has not ended it.
        return !stop.stopped() && (!request.beforeSend || request.beforeSend());
    };
    handlers.head = [&](const HttpResponseHead &head) {
        return !stop.stopped()
               && (!request.onStatus || request.onStatus(head.status, head.headers));
    };
    handlers.body = [&](std::string_view bytes) {
        return !stop.stopped() && (!request.onBytes || request.onBytes(bytes));
    };
    BlockingCall call(address, timeouts);
    stop.attach(&call);
    const CallEnd end = call.run({.method = request.method,
                                  .path = request.path,
                                  .headers = request.headers,
                                  .body = request.body},
                                 handlers);
    stop.detach();
    return end;
}

} // namespace cicadafork
