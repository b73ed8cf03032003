#pragma once

// One HTTP/1.1 call on a connection of its own, which blocks the calling thread.
//
//   BlockingCall call(address, {.connect = Millis(500), .read = Millis(1000)});
//   const CallEnd end = call.run({.path = "/vms"}, {.body = [&](std::string_view bytes) {
//                                    text += bytes;
//                                    return true;
//                                }});
//   ...
//   call.interrupt();   // from another thread; run() returns at once
//
// Answers go through the parser and the rules of net/, like those of net/upstream.

#include "base/clock.h"
#include "http/address.h"
#include "net/message.h"
#include "net/parser.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cicadafork {

struct HttpTimeouts
{
    Millis connect{500};
    Millis read{1000};  ///< Longest silence while a response is read.
    Millis write{1000}; ///< Longest pause while a request is written.
};

enum class CallEnd {
    NotConnected,  ///< The connection could not be opened: nothing was sent.
    NotSent,       ///< beforeSend refused, or the call was interrupted before: nothing was sent.
    Answered,      ///< The whole response arrived.
    TimedOut,      ///< Sent; silence for longer than the read timeout.
    Broken,        ///< Sent, possibly in part; no whole and valid response arrived.
    ReceiverEnded, ///< A handler returned false.
};

struct BlockingRequest
{
    std::string method = "GET";
    std::string path; ///< With the query.
    HeaderList headers = {};
    std::string_view body = {}; ///< JSON. Must stay valid until the call has ended.
};

struct BlockingHandlers
{
    /// Called once, when the connection is open; false: nothing of the request is sent.
    std::function<bool()> beforeSend = {};
    /// The other two end the call if they return false.
    std::function<bool(HttpResponseHead &&)> head = {};
    std::function<bool(std::string_view)> body = {};
};

class BlockingCall
{
public:
    BlockingCall(Address address, HttpTimeouts timeouts);
    ~BlockingCall();
    BlockingCall(const BlockingCall &) = delete;
    BlockingCall &operator=(const BlockingCall &) = delete;

    /// To be called once.
    CallEnd run(const BlockingRequest &request, const BlockingHandlers &handlers);
    /// Ends the call from any thread. Thread-safe while the object exists.
    void interrupt();

    /// What is wrong with the response, for messages; null if it is valid or merely breaks off.
    const char *fault() const { return fault_; }

private:
    bool connect();
    CallEnd exchange(std::string_view head, std::string_view body);
    /// Reads what has arrived. Returns how the call ends if it does.
    std::optional<CallEnd> receive();
    /// Writes what the connection takes now.
    void send(std::string_view &bytes);
    /// The events of the socket; 0 if none comes until the given time.
    short waitFor(short events, TimePoint until) const;

    const Address address_;
    const HttpTimeouts timeouts_;
    std::atomic<int> socket_ = -1;
    std::atomic<bool> interrupted_ = false;
    const BlockingHandlers *handlers_ = nullptr;
    ResponseParser parser_;
    ConnectionClose close_ = ConnectionClose::Orderly; ///< What its end will be, as far as known.
    bool receiverEnded_ = false;
    const char *fault_ = nullptr;
};

} // namespace cicadafork
