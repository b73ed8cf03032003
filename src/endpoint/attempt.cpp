#include "endpoint/attempt.h"

#include "base/log.h"
#include "http/client.h"

#include <algorithm>

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
    if (client_)
        client_->stop();
}

bool AttemptStop::stopped() const
{
    const std::lock_guard lock(mutex_);
    return stopped_;
}

void AttemptStop::interrupt()
{
    const std::lock_guard lock(mutex_);
    if (client_)
        client_->stop();
}

void AttemptStop::attach(httplib::Client *client)
{
    const std::lock_guard lock(mutex_);
    client_ = client;
}

void AttemptStop::detach()
{
    const std::lock_guard lock(mutex_);
    client_ = nullptr;
}

CallEnd runStoppable(httplib::Client &client, AttemptStop &stop, const StoppableRequest &request)
{
    bool sending = false;
    bool receiverEnded = false;
    ResponseCheck check;
    httplib::Request message;
    message.method = request.method;
    message.path = request.path;
    message.headers = request.headers;
    const auto maySend = [&] {
        // Client::stop() has no effect before the connection is open; this check comes after.
        if (stop.stopped() || (request.beforeSend && !request.beforeSend()))
            return false;
        sending = true;
        return true;
    };
    if (request.body.empty()) {
        if (!maySend())
            return CallEnd::NotSent;
    } else {
        // The library's POST with a content provider cannot receive a stream; send() with these
        // two fields can.
        message.set_header("Content-Type", "application/json");
        message.content_length_ = request.body.size();
        message.content_provider_
                = [&](std::size_t offset, std::size_t length, httplib::DataSink &sink) {
                      if (!sending && !maySend())
                          return false;
                      sink.write(request.body.data() + offset,
                                 std::min(length, request.body.size() - offset));
                      return true;
                  };
    }
    message.response_handler = [&](const httplib::Response &response) {
        if (!check.checkHead(response))
            return false;
        receiverEnded
                = stop.stopped()
                  || (request.onStatus && !request.onStatus(response.status, response.headers));
        return !receiverEnded;
    };
    message.content_receiver = [&](const char *data, std::size_t length, std::uint64_t,
                                   std::uint64_t) {
        check.noteBody({data, length});
        receiverEnded = stop.stopped()
                        || (request.onBytes && !request.onBytes(std::string_view(data, length)));
        return !receiverEnded;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    stop.attach(&client);
    const bool answered = client.send(message, response, error);
    stop.detach();
    if (receiverEnded)
        return CallEnd::ReceiverEnded;
    if (const char *fault = check.fault()) {
        logEvent(LogLevel::Warning, "invalid_answer", {{"call", request.path}, {"fault", fault}});
        return CallEnd::Broken;
    }
    if (!sending) {
        return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
                       ? CallEnd::NotConnected
                       : CallEnd::NotSent;
    }
    if (answered)
        return CallEnd::Answered;
    return error == httplib::Error::Read && !stop.stopped() ? CallEnd::TimedOut : CallEnd::Broken;
}

} // namespace cicadafork
