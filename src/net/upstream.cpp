#include "net/upstream.h"

#include "net/sockets.h"

#include <asio/error.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cicadafork {

namespace {

// Subtracted from the idle time that a server states, for the way of the next request.
constexpr Millis kIdleMargin{500};

/// The timeout of a Keep-Alive field in whole seconds; nothing when it states none.
std::optional<Millis> statedIdle(const HeaderList &headers)
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

    /// Returns the number of the call, which cancel() must name: the connection may by then carry
    /// another one.
    std::uint64_t begin(UpstreamRequest request, UpstreamHandlers handlers)
    {
        const std::uint64_t number = ++callNumber_;
        handlers_ = std::move(handlers);
        output_ = std::move(request.head);
        output_ += request.body;
        written_ = 0;
        inCall_ = true;
        parser_.reset();
        if (socket_.is_open()) {
            // Not from within call(): handlers must not run before the caller holds the call.
            asio::post(pool_.context_, [self = shared_from_this()] { self->send(); });
            return number;
        }
        connect();
        return number;
    }

    /// The owner of the call is no longer interested.
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

    bool usable(Millis maxIdleTime) const
    {
        return socket_.is_open() && steadyNow() - idleSince_ < std::min(maxIdleTime, idleLimit_);
    }

    void close()
    {
        timer_.cancel();
        asio::error_code ignored;
        socket_.close(ignored);
        inCall_ = false;
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
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(address.ip), address.port);
        socket_.async_connect(endpoint, [self = shared_from_this()](const asio::error_code &error) {
            if (!self->inCall_)
                return;
            self->timer_.cancel();
            if (error) {
                self->end(UpstreamOutcome::NotSent);
                return;
            }
            self->connected_ = true;
            tuneSocket(self->socket_, {.userTimeout = self->pool_.options_.userTimeout,
                                       .keepAliveIdle = self->pool_.options_.keepAliveIdle});
            self->send();
        });
    }

    void send()
    {
        if (!inCall_)
            return;
        armRead();
        // On another error the server may have answered and closed; the answer is read before the
        // end counts.
        if (writeWithoutBlocking(socket_, output_, written_) == asio::error::would_block)
            armWrite();
    }

    void armWrite()
    {
        socket_.async_wait(asio::ip::tcp::socket::wait_write,
                           [self = shared_from_this()](const asio::error_code &error) {
                               if (!error)
                                   self->send();
                           });
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
                           });
    }

    void onReadable()
    {
        if (!socket_.is_open() || paused_)
            return;
        asio::error_code error;
        const std::size_t count = socket_.read_some(asio::buffer(pool_.scratch_), error);
        if (error == asio::error::would_block || error == asio::error::interrupted) {
            armRead();
            return;
        }
        if (!inCall_) {
            // An idle connection that ends, or that carries an answer nobody waits for.
            pool_.dropIdle(*this);
            close();
            return;
        }
        if (error) {
            onConnectionEnd(error);
            return;
        }
        onBytes({pool_.scratch_.data(), count});
    }

    void onConnectionEnd(const asio::error_code &error)
    {
        // Only an orderly end can complete an answer that has no length.
        if (error == asio::error::eof && headAccepted_ && !skipping_) {
            parser_.finish();
            if (parser_.state() == ParseState::Complete) {
                end(UpstreamOutcome::Complete);
                return;
            }
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

    void complete(std::size_t bytesLeft)
    {
        // A request that is not fully sent would run into the next one.
        reusable_ = parser_.keepAlive() && bytesLeft == 0 && written_ == output_.size();
        end(UpstreamOutcome::Complete);
    }

    void onHead(HttpResponseHead &&head)
    {
        if (const auto idle = statedIdle(head.headers))
            idleLimit_ = std::min(pool_.options_.idleTimeout, *idle - kIdleMargin);
        if (!handlers_.head)
            return;
        const bool bodyEndsAtClose = head.bodyEndsAtClose;
        if (handlers_.head(std::move(head)) == HeadAction::Skip) {
            skipping_ = true;
            if (bodyEndsAtClose)
                reusable_ = false;
        } else {
            headAccepted_ = true;
        }
    }

    void onBody(std::string_view bytes)
    {
        if (!skipping_ && handlers_.body)
            handlers_.body(bytes);
    }

    void end(UpstreamOutcome how)
    {
        if (!inCall_)
            return;
        inCall_ = false;
        const auto handler = std::move(handlers_.end);
        handlers_ = {};
        const bool keep = how == UpstreamOutcome::Complete && reusable_ && socket_.is_open();
        headAccepted_ = false;
        skipping_ = false;
        reusable_ = false;
        paused_ = false;
        output_.clear();
        output_.shrink_to_fit();
        written_ = 0;
        if (keep) {
            idleSince_ = steadyNow();
            armRead();
            pool_.returnIdle(shared_from_this());
        } else {
            close();
        }
        if (handler)
            handler(how);
    }

    UpstreamPool &pool_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    ResponseParser parser_;
    UpstreamHandlers handlers_;
    std::uint64_t callNumber_ = 0;
    std::string output_;
    std::size_t written_ = 0;
    Millis idleLimit_;
    TimePoint idleSince_{};
    bool connected_ = false;
    bool inCall_ = false;
    bool readArmed_ = false;
    bool paused_ = false;
    bool headAccepted_ = false;
    bool skipping_ = false; ///< The answer that is being read belongs to another request.
    bool reusable_ = false;
};

UpstreamCall::UpstreamCall(std::shared_ptr<UpstreamConnection> connection, std::uint64_t number)
    : connection_(std::move(connection))
    , number_(number)
{
}

UpstreamCall::~UpstreamCall()
{
    connection_->cancel(number_);
}

void UpstreamCall::pauseReading(bool paused)
{
    connection_->pauseReading(number_, paused);
}

UpstreamPool::UpstreamPool(asio::io_context &context, UpstreamOptions options)
    : context_(context)
    , options_(options)
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
    auto connection = takeIdle(address, request.maxIdleTime);
    if (!connection)
        connection = std::make_shared<UpstreamConnection>(*this, address);
    const std::uint64_t number = connection->begin(std::move(request), std::move(handlers));
    return std::make_unique<UpstreamCall>(connection, number);
}

std::shared_ptr<UpstreamConnection> UpstreamPool::takeIdle(const Address &address,
                                                           Millis maxIdleTime)
{
    const auto found = idle_.find(toString(address));
    if (found == idle_.end())
        return nullptr;
    auto &connections = found->second;
    // The connection used last is the least likely to be closed by the server.
    while (!connections.empty()) {
        const auto connection = std::move(connections.back());
        connections.pop_back();
        if (connection->usable(maxIdleTime))
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
