#include "net/server.h"

#include "net/sockets.h"

#include <asio/error.hpp>
#include <fmt/format.h>
#include <poll.h>

#include <algorithm>

namespace cicadafork {

namespace {

constexpr int kBacklog = 1024;
// Sent bytes that stay unacknowledged this long end the connection. Callers give up on a silent
// stream sooner than this.
constexpr Millis kCallerUserTimeout{5000};
constexpr std::chrono::seconds kCallerKeepAliveIdle{2};
// Limit for pipelined input while a request is handled; further bytes stay in the kernel's buffer.
// Output buffers with more capacity than this are released when they are empty.
constexpr std::size_t kMaxBufferedBytes = 64 * 1024;
// Delay until a timeout that found unread input is checked again, after that input has been read.
constexpr Millis kUnreadInputDelay{1};
// How long to wait for the caller to close the connection after the last response.
constexpr Millis kLingerTimeout{1000};
// How long to wait for the request of a connection that is to be refused.
constexpr Millis kRefusalTimeout{500};
constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;
// A new connection may be without a request for this long when the server drains. The load balancer
// may have chosen this server before it saw that it leaves.
constexpr Millis kFirstRequestTimeout{500};
// Delay after a failed accept, for example when no file descriptors are left.
constexpr Millis kAcceptRetryDelay{50};

} // namespace

const char *toString(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::ByCaller:
        return "by_caller";
    case ConnectionEnd::Idle:
        return "idle";
    case ConnectionEnd::IncompleteRequest:
        return "incomplete_request";
    case ConnectionEnd::AfterLastAnswer:
        return "after_last_answer";
    case ConnectionEnd::Draining:
        return "draining";
    case ConnectionEnd::OverLimit:
        return "over_limit";
    case ConnectionEnd::Aborted:
        return "aborted";
    }
    return "aborted";
}

HttpServerConnection::HttpServerConnection(AsyncHttpServer &server, asio::ip::tcp::socket socket,
                                           std::uint64_t id, Role role)
    : server_(server)
    , socket_(std::move(socket))
    , id_(id)
    , role_(role)
    , timer_(socket_.get_executor())
    , parser_(server.options_.limits)
    , lastAnswerEnd_(role == Role::Refuse ? ConnectionEnd::OverLimit
                                          : ConnectionEnd::AfterLastAnswer)
{
}

void HttpServerConnection::start()
{
    tuneSocket(socket_, {.userTimeout = kCallerUserTimeout, .keepAliveIdle = kCallerKeepAliveIdle});
    outputHold_.emplace(server_.options_.answerRoom, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->giveUpAnswer();
    });
    awaitInput();
    armRead();
}

std::string HttpServerConnection::remoteIp() const
{
    asio::error_code error;
    const auto remote = socket_.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
}

void HttpServerConnection::armRead()
{
    if (readArmed_ || !socket_.is_open())
        return;
    readArmed_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const asio::error_code &error) {
                           self->readArmed_ = false;
                           if (!error)
                               self->onReadable();
                       });
}

void HttpServerConnection::onReadable()
{
    asio::error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(server_.readBuffer_), error);
    if (error == asio::error::would_block || error == asio::error::interrupted) {
        armRead();
        return;
    }
    if (error == asio::error::eof && !handlingRequest_ && unsentBytes() > 0) {
        // The caller sends nothing more, but it may still read its answer, which is complete.
        closing_ = true;
        timer_.cancel();
        return;
    }
    if (error) {
        notifyDisconnect();
        return;
    }
    if (lingering_ || closing_) {
        armRead();
        return;
    }
    input_.append(server_.readBuffer_.data(), count);
    consume();
}

void HttpServerConnection::consume()
{
    if (!socket_.is_open())
        return; // Closed since this call was posted.
    if (handlingRequest_) {
        if (input_.size() < kMaxBufferedBytes)
            armRead();
        return;
    }
    if (!input_.empty() && !closing_) {
        const bool begins = !parser_.started();
        if (begins) {
            requestStart_ = steadyNow();
            awaitsFirstRequest_ = false;
            parser_.setLimits(server_.options_.limits);
        }
        const std::size_t used = parser_.feed(input_);
        input_.erase(0, used);
        if (parser_.state() == ParseState::Failed) {
            failRequest(parser_.failureStatus());
            return;
        }
        if (role_ == Role::Refuse && parser_.head()) {
            failRequest(kServiceUnavailable);
            return;
        }
        if (!takeRoom()) {
            const BodyRoom &room = *server_.options_.bodyRoom;
            failRequest(kServiceUnavailable, timeUntilRoom(room, parser_.bodyBytes(), steadyNow()));
            return;
        }
        // The head has a limit as a whole, and a body must make progress.
        const bool progress = begins || parser_.head();
        if (parser_.state() == ParseState::Reading && role_ == Role::Serve && progress)
            awaitInput();
        if (parser_.state() == ParseState::Reading && parser_.awaitsContinue()) {
            parser_.continueSent();
            output_ += "HTTP/1.1 100 Continue\r\n\r\n";
            sendOutput();
        }
    }
    armRead();
    if (parser_.state() != ParseState::Complete)
        return;
    timer_.cancel();
    HttpRequest request = parser_.take();
    request.hold = std::move(hold_);
    handlingRequest_ = true;
    keepAlive_ = request.keepAlive;
    acceptsChunked_ = request.acceptsChunked;
    server_.handler_(shared_from_this(), std::move(request));
}

bool HttpServerConnection::takeRoom()
{
    BodyRoom *room = server_.options_.bodyRoom;
    if (!room || hold_ || !parser_.head() || parser_.bodyBytes() <= kSmallBody)
        return true;
    if (!hasRoom(*room, parser_.bodyBytes()))
        return false;
    hold_ = std::make_shared<const BodyHold>(*room, parser_.bodyBytes());
    return true;
}

void HttpServerConnection::failRequest(int status, std::optional<Millis> roomIn)
{
    // The start of the next request is unknown, so the connection must close.
    keepAlive_ = false;
    handlingRequest_ = true;
    input_.clear();
    hold_.reset();
    HeaderList headers;
    if (server_.options_.serverAnswers) {
        const HttpRequest *head = parser_.head();
        const HttpRequest empty;
        headers = server_.options_.serverAnswers({status, head ? *head : empty, roomIn});
    }
    respond(status, std::move(headers), {});
}

TimePoint HttpServerConnection::inputDeadline() const
{
    const ServerOptions &options = server_.options_;
    if (role_ == Role::Refuse)
        return inputAwaitedSince_ + kRefusalTimeout;
    if (!parser_.started())
        return inputAwaitedSince_ + options.idleTimeout;
    return std::min(inputAwaitedSince_ + options.headerTimeout,
                    requestStart_ + std::max(options.requestTimeout, options.headerTimeout));
}

void HttpServerConnection::awaitInput()
{
    inputAwaitedSince_ = steadyNow();
    armTimer(std::chrono::ceil<Millis>(inputDeadline() - inputAwaitedSince_));
}

void HttpServerConnection::armTimer(Millis timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        // cancel() can't stop a handler that is already queued, so the timer may have been
        // restarted.
        if (!error && self && !self->handlingRequest_ && steadyNow() >= self->timer_.expiry())
            self->onTimer();
    });
}

void HttpServerConnection::onTimer()
{
    if (lingering_) {
        close(lastAnswerEnd_);
        return;
    }
    if (hasUnreadInput()) {
        armTimer(kUnreadInputDelay);
        return;
    }
    // The timeout may have been raised since the timer was armed.
    const auto rest = std::chrono::ceil<Millis>(inputDeadline() - steadyNow());
    if (rest > Millis(0)) {
        armTimer(rest);
        return;
    }
    const bool refuses = role_ == Role::Refuse;
    if (!parser_.started()) {
        close(refuses ? ConnectionEnd::OverLimit : ConnectionEnd::Idle);
        return;
    }
    if (!refuses)
        lastAnswerEnd_ = ConnectionEnd::IncompleteRequest;
    failRequest(refuses ? kServiceUnavailable : kRequestTimeout);
}

void HttpServerConnection::respond(int status, HeaderList headers, std::string_view body)
{
    if (!socket_.is_open() || !handlingRequest_)
        return;
    if (mustClose())
        keepAlive_ = false;
    headers.set("Content-Length", std::to_string(body.size()));
    if (!keepAlive_)
        headers.set("Connection", "close");
    output_ += serializeResponseHead(status, headers);
    output_ += body;
    finishExchange();
}

bool HttpServerConnection::mustClose() const
{
    // A further request that has arrived would be lost.
    return server_.draining_ && input_.empty() && !hasUnreadInput();
}

void HttpServerConnection::beginStream(int status, HeaderList headers)
{
    if (!socket_.is_open() || !handlingRequest_)
        return;
    chunked_ = acceptsChunked_ && server_.options_.chunksStreams;
    if (mustClose() || !chunked_)
        keepAlive_ = false;
    if (chunked_)
        headers.set("Transfer-Encoding", "chunked");
    if (!keepAlive_)
        headers.set("Connection", "close");
    // Until all of it is written, any end of the connection, also that of the process, has to show
    // that the response is not whole.
    if (!chunked_)
        resetOnClose(true);
    output_ += serializeResponseHead(status, headers);
}

void HttpServerConnection::write(std::string_view bytes)
{
    if (!socket_.is_open() || bytes.empty())
        return;
    if (chunked_) {
        fmt::format_to(std::back_inserter(output_), "{:x}\r\n", bytes.size());
        output_ += bytes;
        output_ += "\r\n";
    } else {
        output_ += bytes;
    }
    sendOutput();
}

void HttpServerConnection::sendRaw(std::string_view bytes)
{
    output_ += bytes;
    sendOutput();
}

void HttpServerConnection::finish()
{
    if (!socket_.is_open())
        return;
    if (chunked_)
        output_ += "0\r\n\r\n";
    finishExchange();
}

void HttpServerConnection::finishExchange()
{
    disconnectHandler_ = nullptr;
    handlingRequest_ = false;
    chunked_ = false;
    closing_ = !keepAlive_;
    if (!closing_)
        awaitInput();
    sendOutput();
    // Posted instead of called directly, so that pipelined requests do not recurse.
    if (!closing_ && !input_.empty())
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->consume(); });
    else
        armRead();
}

void HttpServerConnection::sendOutput()
{
    if (writing_ || !socket_.is_open())
        return;
    const asio::error_code error = writeWithoutBlocking(socket_, output_, written_);
    if (error && error != asio::error::would_block) {
        notifyDisconnect();
        return;
    }
    if (written_ == output_.size()) {
        output_.clear();
        written_ = 0;
        if (output_.capacity() > kMaxBufferedBytes)
            output_.shrink_to_fit();
        outputHold_->resize(0);
        if (closing_)
            shutdownAndLinger();
        return;
    }
    // Moves fewer bytes than were written since the last time.
    if (written_ > output_.size() / 2) {
        output_.erase(0, written_);
        written_ = 0;
    }
    outputHold_->resize(unsentBytes());
    writing_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](
                                                                  const asio::error_code &error) {
        self->writing_ = false;
        if (error)
            return;
        // A caller that reads the answer slowly is not idle.
        if (!self->handlingRequest_ && !self->closing_ && !self->parser_.started())
            self->awaitInput();
        self->sendOutput();
    });
}

void HttpServerConnection::shutdownAndLinger()
{
    if (lingering_)
        return;
    // Closing a socket with unread input sends a TCP reset, which could discard the response before
    // the caller has read it.
    lingering_ = true;
    resetOnClose(false);
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    armTimer(kLingerTimeout);
    armRead();
}

void HttpServerConnection::abort()
{
    disconnectHandler_ = nullptr;
    // A complete response is not reset, since that would discard what the caller has not received
    // yet.
    if (handlingRequest_ && !chunked_)
        resetOnClose(true);
    close(ConnectionEnd::Aborted);
}

void HttpServerConnection::resetOnClose(bool resets)
{
    asio::error_code ignored;
    socket_.set_option(asio::socket_base::linger(resets, 0), ignored);
}

void HttpServerConnection::closeWhenIdle()
{
    if (!inUse())
        close(ConnectionEnd::Draining);
}

bool HttpServerConnection::inUse() const
{
    const bool isNew
            = awaitsFirstRequest_ && steadyNow() - inputAwaitedSince_ < kFirstRequestTimeout;
    return isNew || handlingRequest_ || parser_.started() || !input_.empty() || unsentBytes() > 0
           || lingering_ || hasUnreadInput();
}

bool HttpServerConnection::hasUnreadInput() const
{
    // It may be the next request, which a close would lose.
    asio::error_code error;
    return socket_.available(error) > 0 && !error;
}

void HttpServerConnection::notifyDisconnect()
{
    const auto handler = std::move(disconnectHandler_);
    disconnectHandler_ = nullptr;
    close(lingering_ ? lastAnswerEnd_ : ConnectionEnd::ByCaller);
    if (handler)
        handler();
}

void HttpServerConnection::giveUpAnswer()
{
    const auto handler = std::move(disconnectHandler_);
    disconnectHandler_ = nullptr;
    resetOnClose(true);
    close(ConnectionEnd::Aborted);
    if (handler)
        handler();
}

void HttpServerConnection::close(ConnectionEnd end)
{
    timer_.cancel();
    outputHold_.reset();
    if (!socket_.is_open())
        return;
    asio::error_code ignored;
    if (server_.options_.connectionEnded) {
        // Input is not read while a request is handled or after the last answer.
        const std::size_t unread = lingering_ ? 0 : socket_.available(ignored);
        server_.options_.connectionEnded(end, input_.size() + unread);
    }
    socket_.close(ignored);
    hold_.reset();
    handlingRequest_ = false;
    server_.onConnectionClosed(id_, role_);
}

AsyncHttpServer::AsyncHttpServer(asio::io_context &context, ServerOptions options, Handler handler)
    : options_(std::move(options))
    , handler_(std::move(handler))
    , acceptor_(context)
    , acceptRetry_(context)
{
}

AsyncHttpServer::~AsyncHttpServer()
{
    closeAll();
}

Result<void> AsyncHttpServer::start()
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(options_.address.ip),
                                           options_.address.port);
    asio::error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(kBacklog, error);
    if (error) {
        return fail(
                ErrorCode::Unavailable,
                fmt::format("cannot listen on {}: {}", toString(options_.address), error.message()),
                "choose an address of this machine and a port that no other process uses");
    }
    keepSpares();
    accept();
    return {};
}

void AsyncHttpServer::accept()
{
    acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open())
            return;
        if (error) {
            onAcceptFailed(error);
            return;
        }
        add(std::move(socket));
        acceptFailing_ = acceptFailing_ && spares_.size() < options_.spareDescriptors;
        acceptPaused_ = mustRefuse() && refused_ >= options_.maxRefusedConnections;
        if (!acceptPaused_)
            accept();
    });
}

void AsyncHttpServer::onAcceptFailed(const asio::error_code &error)
{
    if (!acceptFailing_ && options_.acceptFailed)
        options_.acceptFailed(error.message());
    acceptFailing_ = true;
    if (error == asio::error::no_descriptors && !spares_.empty()) {
        spares_.pop_back();
        accept();
        return;
    }
    acceptPaused_ = true;
    acceptRetry_.expires_after(kAcceptRetryDelay);
    acceptRetry_.async_wait([this](const asio::error_code &cancelled) {
        if (cancelled || !acceptPaused_)
            return;
        acceptPaused_ = false;
        accept();
    });
}

void AsyncHttpServer::add(asio::ip::tcp::socket socket)
{
    keepSpares();
    const auto role
            = mustRefuse() ? HttpServerConnection::Role::Refuse : HttpServerConnection::Role::Serve;
    if (role == HttpServerConnection::Role::Refuse)
        ++refused_;
    const std::uint64_t id = ++nextId_;
    const auto connection
            = std::make_shared<HttpServerConnection>(*this, std::move(socket), id, role);
    connections_.emplace(id, connection);
    connection->start();
}

void AsyncHttpServer::onConnectionClosed(std::uint64_t id, HttpServerConnection::Role role)
{
    connections_.erase(id);
    if (role == HttpServerConnection::Role::Refuse)
        --refused_;
    keepSpares();
    if (!acceptPaused_ || !acceptor_.is_open())
        return;
    acceptPaused_ = false;
    acceptRetry_.cancel();
    accept();
}

void AsyncHttpServer::keepSpares()
{
    while (acceptor_.is_open() && spares_.size() < options_.spareDescriptors) {
        asio::ip::tcp::socket spare(acceptor_.get_executor());
        asio::error_code error;
        spare.open(asio::ip::tcp::v4(), error);
        if (error)
            return;
        spares_.push_back(std::move(spare));
    }
}

bool AsyncHttpServer::mustRefuse() const
{
    return connections_.size() - refused_ >= options_.maxConnections
           || spares_.size() < options_.spareDescriptors;
}

void AsyncHttpServer::stopListening()
{
    asio::error_code ignored;
    acceptor_.close(ignored);
    spares_.clear();
}

void AsyncHttpServer::closeIdleConnections()
{
    auto connections = connections_;
    for (const auto &[id, weak] : connections) {
        if (const auto connection = weak.lock())
            connection->closeWhenIdle();
    }
}

std::size_t AsyncHttpServer::connectionsWithUnsentBytes() const
{
    return static_cast<std::size_t>(std::ranges::count_if(connections_, [](const auto &entry) {
        const auto connection = entry.second.lock();
        return connection && connection->unsentBytes() > 0;
    }));
}

bool AsyncHttpServer::inUse()
{
    return hasUnacceptedConnection() || std::ranges::any_of(connections_, [](const auto &entry) {
               const auto connection = entry.second.lock();
               return connection && connection->inUse();
           });
}

bool AsyncHttpServer::hasUnacceptedConnection()
{
    if (!acceptor_.is_open())
        return false;
    // Closing the listener would reset it, and its request may have arrived.
    pollfd listener{.fd = acceptor_.native_handle(), .events = POLLIN, .revents = 0};
    return ::poll(&listener, 1, 0) > 0;
}

void AsyncHttpServer::closeAll()
{
    stopListening();
    auto connections = std::move(connections_);
    connections_.clear();
    for (const auto &[id, weak] : connections) {
        if (const auto connection = weak.lock())
            connection->abort();
    }
}

void AsyncHttpServer::setLimits(RequestLimits limits, Millis headerTimeout, Millis idleTimeout)
{
    options_.limits = limits;
    options_.headerTimeout = headerTimeout;
    options_.idleTimeout = idleTimeout;
}

} // namespace cicadafork
