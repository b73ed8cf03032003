#include "net/upstream.h"

#include "base/log.h"
#include "net/sockets.h"

#include <asio/error.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace cicadafork {

namespace {

// Subtracted from the idle timeout that a server advertises, so that a request in transit does not
// meet a connection that the server is closing.
constexpr Millis kIdleMargin{500};
// Ids of the latest calls that a connection remembers. Repetitions of a request follow each other
// within seconds, and a connection carries some ten requests a second.
constexpr std::size_t kRememberedIds = 64;
// A copy of a body up to this size costs less than a second write.
constexpr std::size_t kMaxCopiedBody = 64 * 1024;

/// The `timeout` parameter of the Keep-Alive field, or nullopt if it is missing or invalid.
std::optional<Millis> advertisedIdleTimeout(const HeaderList &headers)
{
    const std::string *value = headers.find("keep-alive");
    if (!value)
        return std::nullopt;
    constexpr std::string_view kName = "timeout=";
    const std::size_t at = value->find(kName);
    if (at == std::string::npos)
        return std::nullopt;
    int seconds = 0;
    const char *begin = value->data() + at + kName.size();
    const auto parsed = std::from_chars(begin, value->data() + value->size(), seconds);
    if (parsed.ec != std::errc() || seconds < 0)
        return std::nullopt;
    return Millis(1000) * seconds;
}

} // namespace

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(UpstreamPool &pool, Address address)
        : address(std::move(address))
        , pool_(pool)
        , socket_(pool.context_)
        , timer_(pool.context_)
        , parser_({[this](HttpResponseHead &&head) { onHead(std::move(head)); },
                   [this](std::string_view bytes) { onBody(bytes); }, [] {}})
        , idleLimit_(pool.options_.idleTimeout)
    {
    }

    /// Returns the call's number, to be passed to cancel(), pauseReading() and setHeldBytes(): they
    /// do nothing if the connection has moved on to another call.
    std::uint64_t begin(UpstreamRequest request, UpstreamHandlers handlers)
    {
        const std::uint64_t number = ++callNumber_;
        handlers_ = std::move(handlers);
        output_ = std::move(request.head);
        output_ += request.body;
        body_ = request.borrowedBody;
        if (body_.size() <= kMaxCopiedBody) {
            output_ += body_;
            body_ = {};
        }
        sendBy_ = request.sendBy;
        maxHeldBytes_ = request.maxHeldBytes;
        heldBytes_ = 0;
        hold_.emplace(&pool_.answerRoom_, [weak = weak_from_this(), number] {
            if (const auto self = weak.lock(); self && self->callNumber_ == number)
                self->end(UpstreamOutcome::NoRoom);
        });
        written_ = 0;
        bodyWritten_ = 0;
        if (request.idHash != 0) {
            if (idHashes_.size() >= kRememberedIds)
                idHashes_.erase(idHashes_.begin());
            idHashes_.push_back(request.idHash);
        }
        inCall_ = true;
        parser_.reset();
        reused_ = socket_.is_open();
        if (reused_) {
            // Posted, because handlers must not run before UpstreamPool::call() has returned.
            asio::post(pool_.context_, [self = shared_from_this()] { self->send(); });
            return number;
        }
        connect();
        return number;
    }

    /// Closes the connection without calling any handler.
    void cancel(std::uint64_t number)
    {
        if (number != callNumber_ || !inCall_)
            return;
        handlers_ = {};
        close();
    }

    void pauseReading(std::uint64_t number, bool paused)
    {
        if (number != callNumber_ || !inCall_)
            return;
        paused_ = paused;
        if (!paused)
            armRead();
    }

    void setHeldBytes(std::uint64_t number, std::size_t bytes)
    {
        if (number != callNumber_ || !inCall_)
            return;
        heldBytes_ = bytes;
        hold_->resize(bytes);
    }

    bool usable(Millis maxIdleTime) const
    {
        return socket_.is_open() && steadyNow() - idleSince_ < std::min(maxIdleTime, idleLimit_);
    }

    bool hasCarried(std::uint64_t idHash) const
    {
        return idHash != 0 && std::ranges::find(idHashes_, idHash) != idHashes_.end();
    }

    void close()
    {
        timer_.cancel();
        asio::error_code ignored;
        socket_.close(ignored);
        inCall_ = false;
        body_ = {};
        hold_.reset();
    }

    const Address address;

private:
    void connect()
    {
        timer_.expires_after(pool_.options_.connectTimeout);
        timer_.async_wait([weak = weak_from_this()](const asio::error_code &error) {
            const auto self = weak.lock();
            if (!error && self && !self->connected_)
                self->end(UpstreamOutcome::NotSent);
        });
        pool_.dialer_.connect(socket_, address,
                              [self = shared_from_this()](const asio::error_code &error) {
                                  if (!self->inCall_)
                                      return;
                                  self->timer_.cancel();
                                  if (error) {
                                      self->end(UpstreamOutcome::NotSent);
                                      return;
                                  }
                                  self->connected_ = true;
                                  tuneSocket(self->socket_,
                                             {.userTimeout = self->pool_.options_.userTimeout,
                                              .keepAliveIdle = self->pool_.options_.keepAliveIdle});
                                  if (self->handlers_.connected)
                                      self->handlers_.connected();
                                  self->send();
                              });
    }

    void send()
    {
        if (!inCall_ || !connected_)
            return;
        if (written_ == 0 && steadyNow() >= sendBy_) {
            end(UpstreamOutcome::NotSent);
            return;
        }
        if (written_ == 0 && reused_ && isStale()) {
            reconnect();
            return;
        }
        armRead();
        asio::error_code error = writeWithoutBlocking(socket_, output_, written_);
        if (!error)
            error = writeWithoutBlocking(socket_, body_, bodyWritten_);
        if (error == asio::error::would_block) {
            armWrite();
        } else if (error) {
            // The server may have responded before it closed the connection. The read side delivers
            // that response and then reports the end.
            close_ = ConnectionClose::Failed;
        }
    }

    /// True if the server has closed an idle connection or sent bytes that belong to no request.
    bool isStale()
    {
        char byte = 0;
        asio::error_code error;
        socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error != asio::error::would_block;
    }

    /// Replaces an idle connection that was found to be stale before anything was sent.
    void reconnect()
    {
        asio::error_code ignored;
        socket_.close(ignored);
        connected_ = false;
        reused_ = false;
        close_ = ConnectionClose::Orderly;
        connect();
    }

    void armWrite()
    {
        socket_.async_wait(asio::ip::tcp::socket::wait_write,
                           [self = shared_from_this()](const asio::error_code &error) {
                               if (!error)
                                   self->onWritable();
                           });
    }

    /// Reads what has arrived before it writes: only the read side tells an orderly end that a
    /// reset follows from a reset alone.
    void onWritable()
    {
        const std::uint64_t number = callNumber_;
        if (paused_ || !readSome())
            send();
        else if (inCall_ && connected_ && number == callNumber_)
            armWrite();
    }

    void armRead()
    {
        if (readArmed_ || paused_ || !socket_.is_open())
            return;
        readArmed_ = true;
        socket_.async_wait(asio::ip::tcp::socket::wait_read,
                           [self = shared_from_this()](const asio::error_code &error) {
                               self->readArmed_ = false;
                               if (!error)
                                   self->onReadable();
                               else if (self->inCall_ && self->connected_)
                                   self->armRead(); // The wait was for the stale connection.
                           });
    }

    void onReadable()
    {
        if (!paused_)
            readSome();
    }

    /// Handles the bytes or the end of the connection that can be read. Returns false if there is
    /// nothing.
    bool readSome()
    {
        if (!connected_ || !socket_.is_open())
            return false;
        asio::error_code error;
        const std::size_t count = socket_.read_some(asio::buffer(pool_.readBuffer_), error);
        if (error == asio::error::would_block || error == asio::error::interrupted) {
            armRead();
            return false;
        }
        if (!inCall_) {
            // An idle connection was closed by the server or received unsolicited bytes.
            pool_.dropIdle(*this);
            close();
        } else if (written_ == 0) {
            // Only a kept connection may have ended while it was idle.
            if (reused_)
                reconnect();
            else
                end(UpstreamOutcome::NotSent);
        } else if (error) {
            onConnectionEnd(error);
        } else {
            onBytes({pool_.readBuffer_.data(), count});
        }
        return true;
    }

    void onConnectionEnd(const asio::error_code &error)
    {
        if (error != asio::error::eof)
            close_ = ConnectionClose::Failed;
        if (headAccepted_ && !skipping_) {
            parser_.finish(close_);
            if (parser_.state() == ParseState::Complete) {
                end(UpstreamOutcome::Complete);
                return;
            }
            logFault();
        }
        end(headAccepted_ ? UpstreamOutcome::Broken : UpstreamOutcome::NoAnswer);
    }

    void onBytes(std::string_view bytes)
    {
        const auto self = shared_from_this();
        while (!bytes.empty()) {
            bytes.remove_prefix(parser_.feed(bytes));
            if (!inCall_)
                return; // A handler cancelled the call.
            if (parser_.state() == ParseState::Failed) {
                logFault();
                end(headAccepted_ ? UpstreamOutcome::Broken : UpstreamOutcome::NoAnswer);
                return;
            }
            if (parser_.state() == ParseState::Reading)
                break;
            if (!skipping_) {
                complete(bytes.size());
                return;
            }
            skipping_ = false;
            parser_.reset();
        }
        armRead();
    }

    void logFault() const
    {
        if (const char *fault = parser_.fault())
            logEvent(LogLevel::Warning, "invalid_response",
                     {{"address", toString(address)}, {"fault", fault}});
    }

    void complete(std::size_t bytesLeft)
    {
        // If the request is not fully sent, its remaining bytes would corrupt the next one.
        const bool isSent = written_ == output_.size() && bodyWritten_ == body_.size();
        reusable_ = parser_.keepAlive() && bytesLeft == 0 && isSent && !lastCall_;
        end(UpstreamOutcome::Complete);
    }

    void onHead(HttpResponseHead &&head)
    {
        if (const auto idle = advertisedIdleTimeout(head.headers))
            idleLimit_ = std::min(pool_.options_.idleTimeout, *idle - kIdleMargin);
        if (!handlers_.head)
            return;
        const HeadAction action = handlers_.head(std::move(head));
        // After a response to another request, more of them may follow.
        lastCall_ = lastCall_ || action != HeadAction::Accept;
        if (action == HeadAction::Skip)
            skipping_ = true;
        else
            headAccepted_ = true;
    }

    void onBody(std::string_view bytes)
    {
        if (skipping_ || !handlers_.body)
            return;
        heldBytes_ += bytes.size();
        if (heldBytes_ > maxHeldBytes_) {
            logEvent(LogLevel::Warning, "answer_too_large",
                     {{"address", toString(address)}, {"limit", std::to_string(maxHeldBytes_)}});
            end(UpstreamOutcome::TooLarge);
            return;
        }
        hold_->resize(heldBytes_);
        handlers_.body(bytes);
    }

    void end(UpstreamOutcome outcome)
    {
        if (!inCall_)
            return;
        inCall_ = false;
        hold_.reset();
        const auto handler = std::move(handlers_.end);
        handlers_ = {};
        const bool keep = outcome == UpstreamOutcome::Complete && reusable_ && socket_.is_open();
        headAccepted_ = false;
        skipping_ = false;
        reusable_ = false;
        paused_ = false;
        output_.clear();
        output_.shrink_to_fit();
        written_ = 0;
        body_ = {};
        bodyWritten_ = 0;
        if (keep) {
            idleSince_ = steadyNow();
            armRead();
            pool_.returnIdle(shared_from_this());
        } else {
            close();
        }
        if (handler)
            handler(outcome);
    }

    UpstreamPool &pool_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    ResponseParser parser_;
    UpstreamHandlers handlers_;
    std::uint64_t callNumber_ = 0;
    std::string output_;
    std::size_t written_ = 0;
    std::string_view body_; ///< The rest of the request, which belongs to the caller of the pool.
    std::size_t bodyWritten_ = 0;
    std::size_t heldBytes_ = 0; ///< Of the body of the current response.
    std::size_t maxHeldBytes_ = 0;
    std::optional<AnswerHold> hold_; ///< Of the held bytes; unset between calls.
    TimePoint sendBy_ = TimePoint::max();
    Millis idleLimit_;
    TimePoint idleSince_{};
    bool connected_ = false;
    ConnectionClose close_ = ConnectionClose::Orderly; ///< What its end will be, as far as known.
    bool reused_ = false; ///< The connection has served an earlier call.
    bool inCall_ = false;
    bool readArmed_ = false;
    bool paused_ = false;
    bool headAccepted_ = false;
    bool skipping_ = false; ///< The current response belongs to another request.
    bool reusable_ = false;
    bool lastCall_ = false;               ///< The connection is not reused after this call.
    std::vector<std::uint64_t> idHashes_; ///< Of the latest calls, the newest last.
};

UpstreamCall::UpstreamCall(std::shared_ptr<UpstreamConnection> connection, std::uint64_t number)
    : connection_(std::move(connection))
    , callNumber_(number)
{
}

UpstreamCall::~UpstreamCall()
{
    connection_->cancel(callNumber_);
}

void UpstreamCall::pauseReading(bool paused)
{
    connection_->pauseReading(callNumber_, paused);
}

void UpstreamCall::setHeldBytes(std::size_t bytes)
{
    connection_->setHeldBytes(callNumber_, bytes);
}

UpstreamPool::UpstreamPool(asio::io_context &context, UpstreamOptions options, Dialer dialer)
    : context_(context)
    , options_(options)
    , answerRoom_(context, options.answerRoom)
    , dialer_(std::move(dialer))
{
}

UpstreamPool::~UpstreamPool()
{
    for (auto &[address, connections] : idle_) {
        for (const auto &connection : connections)
            connection->close();
    }
}

std::unique_ptr<UpstreamCall> UpstreamPool::call(const Address &address, UpstreamRequest request,
                                                 UpstreamHandlers handlers)
{
    auto connection = takeIdle(address, request.maxIdleTime, request.idHash);
    if (!connection)
        connection = std::make_shared<UpstreamConnection>(*this, address);
    const std::uint64_t number = connection->begin(std::move(request), std::move(handlers));
    return std::make_unique<UpstreamCall>(connection, number);
}

std::shared_ptr<UpstreamConnection> UpstreamPool::takeIdle(const Address &address,
                                                           Millis maxIdleTime, std::uint64_t idHash)
{
    const auto found = idle_.find(toString(address));
    if (found == idle_.end())
        return nullptr;
    auto &connections = found->second;
    // The most recently used connection is the least likely to have been closed by the server.
    while (!connections.empty()) {
        const auto connection = std::move(connections.back());
        connections.pop_back();
        if (connection->usable(maxIdleTime) && !connection->hasCarried(idHash))
            return connection;
        connection->close();
    }
    return nullptr;
}

void UpstreamPool::returnIdle(const std::shared_ptr<UpstreamConnection> &connection)
{
    auto &connections = idle_[toString(connection->address)];
    if (connections.size() >= options_.maxIdleConnectionsPerAddress) {
        connections.front()->close();
        connections.erase(connections.begin());
    }
    connections.push_back(connection);
}

void UpstreamPool::dropIdle(UpstreamConnection &connection)
{
    const auto found = idle_.find(toString(connection.address));
    if (found == idle_.end())
        return;
    std::erase_if(found->second, [&](const auto &other) { return other.get() == &connection; });
}

void UpstreamPool::closeIdle(const Address &address)
{
    const auto found = idle_.find(toString(address));
    if (found == idle_.end())
        return;
    for (const auto &connection : found->second)
        connection->close();
    idle_.erase(found);
}

} // namespace cicadafork
