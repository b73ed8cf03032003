#pragma once

// Incremental parsers for HTTP/1.1 requests and responses.
//
//   RequestParser parser(limits);
//   std::size_t used = parser.feed(bytes);      // stops at the end of the first request
//   if (parser.state() == ParseState::Complete)
//       handle(parser.take());                  // bytes after `used` belong to the next request
//
// Framing is strict, to prevent request smuggling: a message whose length two parsers could
// determine differently is rejected.

#include "net/framing.h"
#include "net/message.h"

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

namespace cicadafork {

enum class ParseState { Reading, Complete, Failed };

struct RequestLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
};

class RequestParser
{
public:
    explicit RequestParser(RequestLimits limits);

    /// Returns the number of bytes consumed. Consumes nothing once the state is Complete or Failed.
    std::size_t feed(std::string_view bytes);

    ParseState state() const { return state_; }
    /// The status code with which to reject a request that failed to parse: 400, 413 or 431.
    int failureStatus() const { return failureStatus_; }
    bool started() const { return started_; }
    /// For the next request; must not be called once a request has started.
    void setLimits(RequestLimits limits) { limits_ = limits; }
    /// The request as far as it has arrived, with a complete head; null while the head is not.
    const HttpRequest *head() const { return headComplete_ ? &request_ : nullptr; }
    /// Bytes that the body takes at most. Once more than a small body has come in chunks, that is
    /// the limit of all bodies.
    std::size_t bodyBytes() const;
    /// The head is complete and the caller expects "100 Continue" before it sends the body.
    bool awaitsContinue() const { return awaitsContinue_; }
    void continueSent() { awaitsContinue_ = false; }

    /// Returns the complete request and resets the parser for the next one.
    HttpRequest take();

private:
    static int onUrl(http_parser *parser, const char *at, std::size_t length);
    static int onField(http_parser *parser, const char *at, std::size_t length);
    static int onValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    void reset();
    bool countHeaderBytes(std::size_t bytes);
    int checkHead();

    RequestLimits limits_;
    http_parser parser_{};
    MessageFraming framing_;
    HttpRequest request_;
    ParseState state_ = ParseState::Reading;
    int failureStatus_ = 0;
    std::size_t headerBytes_ = 0;
    bool started_ = false;
    bool headComplete_ = false;
    bool lastWasValue_ = false;
    bool awaitsContinue_ = false;
    std::size_t announcedBytes_ = 0; ///< As the head states; 0 for chunks.
};

/// How a connection has ended. A read reports an orderly end also after a failed write, which takes
/// the error of the connection, and after a shutdown by this process. So it is Failed once any read
/// or write has failed, or this process has shut it down.
enum class ConnectionClose { Orderly, Failed };

/// Callbacks of ResponseParser. Informational (1xx) responses are not reported.
struct ResponseEvents
{
    std::function<void(HttpResponseHead &&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> complete;
};

class ResponseParser
{
public:
    explicit ResponseParser(ResponseEvents events);

    /// Returns the number of bytes consumed; stops at the end of a response.
    std::size_t feed(std::string_view bytes);
    /// To be called when the connection has ended. Completes a response whose body extends to an
    /// orderly end of the connection. Any other unfinished response fails, and so does a body in
    /// chunked coding if the head does not state the coding.
    void finish(ConnectionClose close);
    /// Prepares for the next response of the connection.
    void reset();

    ParseState state() const { return state_; }
    /// Why the response was turned down, for the log; null if it is whole or merely breaks off.
    const char *fault() const { return fault_; }
    /// Whether any byte of the response has arrived.
    bool started() const { return started_; }
    /// Whether the connection may be reused. Valid only in the state Complete.
    bool keepAlive() const { return keepAlive_; }

private:
    static int onField(http_parser *parser, const char *at, std::size_t length);
    static int onValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    void fail(const char *fault);
    /// Checks the bytes that belong to the begin of the status line. Returns false if they cannot.
    bool readStatusLine(std::string_view bytes);

    ResponseEvents events_;
    http_parser parser_{};
    MessageFraming framing_;
    HttpResponseHead head_;
    /// Position in the body if it were chunked. Set while a body that its head says nothing of can
    /// be one.
    std::optional<ChunkFraming> undeclaredChunks_;
    const char *fault_ = nullptr;
    ParseState state_ = ParseState::Reading;
    std::size_t statusLineRead_ = 0; ///< Bytes of its begin that have been checked.
    std::size_t headerBytes_ = 0;
    bool informational_ = false;
    bool started_ = false;
    bool lastWasValue_ = false;
    bool keepAlive_ = false;
};

} // namespace cicadafork
