#include "net/parser.h"

#include "net/headrules.h"

#include <algorithm>
#include <limits>

namespace cicadafork {

namespace {

constexpr int kStopParsing = 1;
// No service sends a response head larger than this.
constexpr std::size_t kMaxResponseHeaderBytes = 64 * 1024;
// How a status line begins; '#' stands for a digit and '|' for a space or the end of the line.
constexpr std::string_view kStatusLineBegin = "HTTP/1.# ###|";
// http_parser's content_length for a message without Content-Length.
constexpr std::uint64_t kNoLength = std::numeric_limits<std::uint64_t>::max();
// In on_headers_complete, 0 makes http_parser read the body as usual; 1 and 2 skip it.
constexpr int kContinueParsing = 0;

void appendFieldName(HeaderList &headers, bool &lastWasValue, const char *at, std::size_t length)
{
    if (lastWasValue || headers.fields().empty())
        headers.add({}, {});
    headers.fields().back().name.append(at, length);
    lastWasValue = false;
}

void appendFieldValue(HeaderList &headers, bool &lastWasValue, const char *at, std::size_t length)
{
    headers.fields().back().value.append(at, length);
    lastWasValue = true;
}

/// Callbacks common to requests and responses; requests also set on_url.
http_parser_settings messageCallbacks(http_data_cb field, http_data_cb value,
                                      http_cb headersComplete, http_data_cb body,
                                      http_cb messageComplete)
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_header_field = field;
    settings.on_header_value = value;
    settings.on_headers_complete = headersComplete;
    settings.on_body = body;
    settings.on_message_complete = messageComplete;
    return settings;
}

} // namespace

RequestParser::RequestParser(RequestLimits limits)
    : limits_(limits)
{
    reset();
}

void RequestParser::reset()
{
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    request_ = {};
    framing_ = {};
    state_ = ParseState::Reading;
    headerBytes_ = 0;
    started_ = false;
    headComplete_ = false;
    lastWasValue_ = false;
    awaitsContinue_ = false;
    announcedBytes_ = 0;
}

std::size_t RequestParser::feed(std::string_view bytes)
{
    if (state_ != ParseState::Reading || bytes.empty())
        return 0;
    started_ = true;
    std::size_t used = 0;
    while (state_ == ParseState::Reading && used < bytes.size()) {
        const auto next = admit(framing_, bytes.substr(used));
        if (!next) {
            state_ = ParseState::Failed;
            failureStatus_ = 400;
            break;
        }
        used += http_parser_execute(&parser_, &callbacks(), next->data(), next->size());
        if (state_ == ParseState::Complete) {
            http_parser_pause(&parser_, 0);
        } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
            state_ = ParseState::Failed;
            if (failureStatus_ == 0)
                failureStatus_ = HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW ? 431 : 400;
        }
    }
    return used;
}

HttpRequest RequestParser::take()
{
    HttpRequest request = std::move(request_);
    reset();
    return request;
}

bool RequestParser::countHeaderBytes(std::size_t bytes)
{
    headerBytes_ += bytes;
    if (headerBytes_ <= limits_.maxHeaderBytes)
        return true;
    failureStatus_ = 431;
    return false;
}

std::size_t RequestParser::bodyBytes() const
{
    if (announcedBytes_ > 0)
        return announcedBytes_;
    const std::size_t received = request_.body.size();
    return received > kSmallBody ? std::max(received, limits_.maxBodyBytes) : received;
}

int RequestParser::checkHead()
{
    const HeaderList &headers = request_.headers;
    const bool isHttp10 = parser_.http_major == 1 && parser_.http_minor == 0;
    if (!isWellFormed(headers) || (isHttp10 && headers.find("transfer-encoding")))
        return 400;
    if (headers.count("host") != 1 || request_.target.empty() || request_.target.front() != '/')
        return 400;
    if (parser_.content_length != kNoLength && parser_.content_length > limits_.maxBodyBytes)
        return 413;
    return 0;
}

int RequestParser::onUrl(http_parser *parser, const char *at, std::size_t length)
{
    auto &self = *static_cast<RequestParser *>(parser->data);
    self.request_.target.append(at, length);
    return self.countHeaderBytes(length) ? kContinueParsing : kStopParsing;
}

int RequestParser::onField(http_parser *parser, const char *at, std::size_t length)
{
    auto &self = *static_cast<RequestParser *>(parser->data);
    // Trailers of a chunked body are dropped, so that they cannot change decisions that are based
    // on the head.
    if (!(parser->flags & F_TRAILING))
        appendFieldName(self.request_.headers, self.lastWasValue_, at, length);
    return self.countHeaderBytes(length) ? kContinueParsing : kStopParsing;
}

int RequestParser::onValue(http_parser *parser, const char *at, std::size_t length)
{
    auto &self = *static_cast<RequestParser *>(parser->data);
    if (!(parser->flags & F_TRAILING))
        appendFieldValue(self.request_.headers, self.lastWasValue_, at, length);
    return self.countHeaderBytes(length) ? kContinueParsing : kStopParsing;
}

int RequestParser::onHeadersComplete(http_parser *parser)
{
    auto &self = *static_cast<RequestParser *>(parser->data);
    self.failureStatus_ = self.checkHead();
    if (self.failureStatus_ != 0)
        return -1;
    self.request_.method = http_method_str(static_cast<http_method>(parser->method));
    self.request_.acceptsChunked
            = parser->http_major > 1 || (parser->http_major == 1 && parser->http_minor >= 1);
    self.request_.keepAlive = http_should_keep_alive(parser) != 0 && parser->upgrade == 0;
    const std::string *expect = self.request_.headers.find("expect");
    self.framing_.isChunked = (parser->flags & F_CHUNKED) != 0;
    if (parser->content_length != kNoLength)
        self.announcedBytes_ = static_cast<std::size_t>(parser->content_length);
    self.request_.body.reserve(self.announcedBytes_);
    self.awaitsContinue_ = expect && equalsIgnoringCase(*expect, "100-continue");
    self.headComplete_ = true;
    return kContinueParsing;
}

int RequestParser::onBody(http_parser *parser, const char *at, std::size_t length)
{
    auto &self = *static_cast<RequestParser *>(parser->data);
    if (self.request_.body.size() + length > self.limits_.maxBodyBytes) {
        self.failureStatus_ = 413;
        return kStopParsing;
    }
    self.request_.body.append(at, length);
    return kContinueParsing;
}

int RequestParser::onMessageComplete(http_parser *parser)
{
    auto &self = *static_cast<RequestParser *>(parser->data);
    self.state_ = ParseState::Complete;
    http_parser_pause(parser, 1);
    return kContinueParsing;
}

const http_parser_settings &RequestParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings value
                = messageCallbacks(onField, onValue, onHeadersComplete, onBody, onMessageComplete);
        value.on_url = onUrl;
        return value;
    }();
    return settings;
}

ResponseParser::ResponseParser(ResponseEvents events)
    : events_(std::move(events))
{
    reset();
}

void ResponseParser::reset()
{
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    head_ = {};
    framing_ = {};
    undeclaredChunks_.reset();
    fault_ = nullptr;
    state_ = ParseState::Reading;
    statusLineRead_ = 0;
    headerBytes_ = 0;
    informational_ = false;
    started_ = false;
    lastWasValue_ = false;
    keepAlive_ = false;
}

std::size_t ResponseParser::feed(std::string_view bytes)
{
    std::size_t used = 0;
    while (state_ == ParseState::Reading && used < bytes.size()) {
        started_ = true;
        const auto next = admit(framing_, bytes.substr(used));
        if (!next) {
            fail("framing");
            break;
        }
        if (!readStatusLine(*next)) {
            fail("status_line");
            break;
        }
        used += http_parser_execute(&parser_, &callbacks(), next->data(), next->size());
        if (state_ == ParseState::Complete) {
            if (!informational_)
                break;
            reset();
            continue;
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
            fail(http_errno_name(HTTP_PARSER_ERRNO(&parser_)));
    }
    return used;
}

void ResponseParser::fail(const char *fault)
{
    state_ = ParseState::Failed;
    if (!fault_)
        fault_ = fault;
}

// The package of http_parser is built without its strict mode, which checks the protocol's name.
bool ResponseParser::readStatusLine(std::string_view bytes)
{
    for (const char character : bytes.substr(0, kStatusLineBegin.size() - statusLineRead_)) {
        const char expected = kStatusLineBegin[statusLineRead_++];
        const bool matches = expected == '#' ? character >= '0' && character <= '9'
                             : expected == '|'
                                     ? character == ' ' || character == '\r' || character == '\n'
                                     : character == expected;
        if (!matches)
            return false;
    }
    return true;
}

void ResponseParser::finish(ConnectionClose close)
{
    if (state_ != ParseState::Reading)
        return;
    if (close == ConnectionClose::Failed) {
        state_ = ParseState::Failed;
        return;
    }
    if (undeclaredChunks_ && undeclaredChunks_->phase == ChunkPhase::Done) {
        fail("undeclared_chunks");
        return;
    }
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    if (state_ == ParseState::Reading)
        state_ = ParseState::Failed;
}

int ResponseParser::onField(http_parser *parser, const char *at, std::size_t length)
{
    auto &self = *static_cast<ResponseParser *>(parser->data);
    self.headerBytes_ += length;
    if (!(parser->flags & F_TRAILING))
        appendFieldName(self.head_.headers, self.lastWasValue_, at, length);
    return self.headerBytes_ <= kMaxResponseHeaderBytes ? kContinueParsing : kStopParsing;
}

int ResponseParser::onValue(http_parser *parser, const char *at, std::size_t length)
{
    auto &self = *static_cast<ResponseParser *>(parser->data);
    self.headerBytes_ += length;
    if (!(parser->flags & F_TRAILING))
        appendFieldValue(self.head_.headers, self.lastWasValue_, at, length);
    return self.headerBytes_ <= kMaxResponseHeaderBytes ? kContinueParsing : kStopParsing;
}

int ResponseParser::onHeadersComplete(http_parser *parser)
{
    auto &self = *static_cast<ResponseParser *>(parser->data);
    self.informational_ = parser->status_code / 100 == 1;
    self.framing_.isChunked = (parser->flags & F_CHUNKED) != 0;
    self.head_.status = static_cast<int>(parser->status_code);
    self.head_.isHttp10 = parser->http_minor == 0;
    self.head_.bodyEndsAtClose = statesNoLength(self.head_);
    self.fault_ = headFault(self.head_);
    if (self.fault_)
        return -1;
    if (self.informational_)
        return kContinueParsing;
    if (self.head_.bodyEndsAtClose)
        self.undeclaredChunks_.emplace();
    self.events_.head(std::move(self.head_));
    return kContinueParsing;
}

int ResponseParser::onBody(http_parser *parser, const char *at, std::size_t length)
{
    auto &self = *static_cast<ResponseParser *>(parser->data);
    if (self.undeclaredChunks_ && advance(*self.undeclaredChunks_, {at, length}) < length)
        self.undeclaredChunks_.reset();
    if (!self.informational_)
        self.events_.body({at, length});
    return kContinueParsing;
}

int ResponseParser::onMessageComplete(http_parser *parser)
{
    auto &self = *static_cast<ResponseParser *>(parser->data);
    self.state_ = ParseState::Complete;
    self.keepAlive_ = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    if (!self.informational_)
        self.events_.complete();
    return kContinueParsing;
}

const http_parser_settings &ResponseParser::callbacks()
{
    static const http_parser_settings settings
            = messageCallbacks(onField, onValue, onHeadersComplete, onBody, onMessageComplete);
    return settings;
}

} // namespace cicadafork
