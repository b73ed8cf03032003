#pragma once

// Internal: writes one model answer to the caller.
//
//   serveAnswer(response, std::make_shared<ServedRequest>(table, request), form, {stream, silence},
//   counters);

#include "frontend/chunks.h"
#include "frontend/requesttable.h"
#include "frontend/runcontext.h"

#include <httplib.h>

#include <memory>

namespace cicadafork {

/// A request while its caller is served. The destructor removes it from the table and stops its
/// work, also when the caller has gone away.
class ServedRequest
{
public:
    ServedRequest(RequestTable &table, std::shared_ptr<ActiveRequest> request)
        : table_(table)
        , request_(std::move(request))
    {
    }
    ~ServedRequest()
    {
        request_->cancel();
        table_.remove(request_->key());
    }
    ServedRequest(const ServedRequest &) = delete;
    ServedRequest &operator=(const ServedRequest &) = delete;

    ActiveRequest &operator*() const { return *request_; }
    ActiveRequest *operator->() const { return request_.get(); }

private:
    RequestTable &table_;
    std::shared_ptr<ActiveRequest> request_;
};

struct ServeOptions
{
    bool stream = false;
    Millis longestSilence{0}; ///< See FrontendHooks.
};

/// Waits until an endpoint has accepted the request or a definite failure is known; then writes
/// the problem, the whole answer, or sets the response up to stream.
void serveAnswer(httplib::Response &response, const std::shared_ptr<ServedRequest> &served,
                 const AnswerForm &form, ServeOptions options, FrontendCounters &counters);

} // namespace cicadafork
