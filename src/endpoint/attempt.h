#pragma once

// One attempt at an endpoint: how it is stopped and how it ended.
//
//   AttemptStop stop;                       // shared with the thread that may stop the attempt
//   AttemptResult result = client.complete(request, stop, handlers);
//   ...
//   stop.stop();                            // from any thread; the attempt returns at once

#include "base/clock.h"
#include "base/error.h"
#include "http/blockingcall.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace cicadafork {

/// Added to the time until a deadline when a connection waits for bytes. The caller's thread ends a
/// request at its deadline; with equal times either of the two could come first, and the reported
/// status would vary.
inline constexpr Millis kDeadlineGrace{100};

enum class AttemptStatus {
    Refused,   ///< Did not run and will not run: not sent, or the endpoint stated executed:false.
    Failed,    ///< May have run, or may still run.
    Completed, ///< The whole answer arrived and was checked.
    Cancelled, ///< Stopped by this process after the send; may have run.
};

const char *toString(AttemptStatus status);

struct AttemptResult
{
    AttemptStatus status = AttemptStatus::Refused;
    Error error;               ///< Set unless Completed.
    Millis retryAfter{0};      ///< As the endpoint stated; 0: nothing stated.
    int httpStatus = 0;        ///< 0: no status line arrived.
    bool accepted = false;     ///< The engine sent its status line 200.
    bool mismatch = false;     ///< An event of another request, attempt or sequence number arrived.
    std::uint64_t nextSeq = 0; ///< Sequence number of the first event that did not arrive.
};

/// Stops a blocked HTTP call from another thread. Thread-safe. An attempt that starts after stop()
/// ends without a send.
class AttemptStop
{
public:
    void stop();
    bool stopped() const;

    /// Breaks the connection in use without stopping later attempts, so that a silent stream is
    /// resumed.
    void interrupt();

    /// Binds the call in progress; only runStoppable() calls these two.
    void attach(BlockingCall *call);
    void detach();

private:
    mutable std::mutex mutex_;
    BlockingCall *call_ = nullptr;
    bool stopped_ = false;
};

/// Runs one HTTP request that can be stopped. beforeSend is called when the connection is open and
/// before any byte is written; when it returns false, nothing is sent, so that the endpoint cannot
/// execute the request.
struct StoppableRequest
{
    std::string method = "POST";
    std::string path;
    HeaderList headers;
    std::string body;
    std::function<bool()> beforeSend;
    /// Called with the status; false ends the call.
    std::function<bool(int status, const HeaderList &headers)> onStatus;
    std::function<bool(std::string_view bytes)> onBytes;
};

CallEnd runStoppable(const Address &address, HttpTimeouts timeouts, AttemptStop &stop,
                     const StoppableRequest &request);

} // namespace cicadafork
