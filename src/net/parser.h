#pragma once

// Incremental parsers of HTTP/1.1 requests and responses.
//
//   RequestParser parser(limits);
//   std::size_t used = parser.feed(bytes);      // stops at the end of the first request
//   if (parser.state() == ParseState::Complete)
//       handle(parser.take());                  // the rest of the bytes is the next request
//
// The framing is strict: a message that two parsers could frame differently is an error.

#include "net/message.h"

#include <http_parser.h>

#include <cstddef>
#include <functional>
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

    /// Returns the bytes used. After the end of a request, or a failure, nothing more is used.
    std::size_t feed(std::string_view bytes);

    ParseState state() const { return state_; }
    /// The answer to a failed request: 400, 413 or 431.
    int failureStatus() const { return failureStatus_; }
    bool started() const { return started_; }
    /// The head is complete and the caller waits for "100 Continue" before it sends the body.
    bool awaitsContinue() const { return awaitsContinue_; }
    void continueSent() { awaitsContinue_ = false; }

    /// The complete request; the parser then reads the next one.
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
    HttpRequest request_;
    ParseState state_ = ParseState::Reading;
    int failureStatus_ = 0;
    std::size_t headerBytes_ = 0;
    bool started_ = false;
    bool lastWasValue_ = false;
    bool awaitsContinue_ = false;
};

/// What a ResponseParser reports; informational (1xx) responses are skipped.
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

    /// Returns the bytes used; stops at the end of a response.
    std::size_t feed(std::string_view bytes);
    /// The connection ended in order; completes a response that ends with its connection.
    void finish();
    /// Prepares for the next response of the connection.
    void reset();

    ParseState state() const { return state_; }
    /// Any byte of a response has arrived.
    bool started() const { return started_; }
    /// The connection may carry another request; meaningful when complete.
    bool keepAlive() const { return keepAlive_; }

private:
    static int onField(http_parser *parser, const char *at, std::size_t length);
    static int onValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    ResponseEvents events_;
    http_parser parser_{};
    HttpResponseHead head_;
    ParseState state_ = ParseState::Reading;
    std::size_t headerBytes_ = 0;
    bool informational_ = false;
    bool started_ = false;
    bool lastWasValue_ = false;
    bool keepAlive_ = false;
};

} // namespace cicadafork
