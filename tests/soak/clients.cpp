#include "soak/clients.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <iterator>

namespace cicadafork::test {

namespace {

// Half of the deadlines are shorter than the longest silence of an endpoint, half are longer.
constexpr Millis kDeadlines[] = {Millis(1500), Millis(5000)};
constexpr Millis kConnectTimeout{1000};
constexpr unsigned kMaxThinkMs = 120;

} // namespace

std::string keyName(RevokedBy version)
{
    return version == 0 ? "key" : fmt::format("key-{}", version);
}

SoakClient::SoakClient(asio::io_context &context, std::uint64_t seed, SoakClientHooks hooks)
    : hooks_(std::move(hooks))
    , random_(seed)
    , socket_(context)
    , timer_(context)
    , parser_({[this](HttpResponseHead &&head) {
                   call_->status = head.status;
                   call_->sealed = head.headers.find("Response-Seal") != nullptr;
               },
               [this](std::string_view bytes) { call_->body += bytes; }, [] {}})
{
}

void SoakClient::think()
{
    if (stopped_)
        return;
    timer_.expires_after(Millis(random_() % kMaxThinkMs));
    timer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            next();
    });
}

void SoakClient::next()
{
    if (stopped_)
        return;
    if (isOpen())
        send();
    else
        connect();
}

bool SoakClient::isOpen()
{
    if (!socket_.is_open())
        return false;
    // The daemon's close may have arrived without its event having been handled.
    char byte = 0;
    asio::error_code error;
    socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block)
        return true;
    if (!error)
        hooks_.unsolicited(target_.daemon);
    closeConnection();
    return false;
}

void SoakClient::connect()
{
    target_ = hooks_.pickTarget();
    const std::uint64_t connection = ++connection_;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(target_.address.ip),
                                           target_.address.port);
    timer_.expires_after(kConnectTimeout);
    timer_.async_wait([this, connection](const asio::error_code &error) {
        if (error || connection != connection_)
            return;
        closeConnection();
        think();
    });
    socket_.async_connect(endpoint, [this, connection](const asio::error_code &error) {
        if (connection != connection_)
            return;
        timer_.cancel();
        if (error) {
            closeConnection();
            think();
            return;
        }
        socket_.non_blocking(true);
        socket_.set_option(asio::ip::tcp::no_delay(true));
        incarnation_ = hooks_.connected(target_.daemon);
        send();
        armRead();
    });
}

void SoakClient::send()
{
    call_ = &hooks_.newCall();
    call_->route = &kSoakRoutes[random_() % std::size(kSoakRoutes)];
    call_->revokedBy = hooks_.pickKey();
    call_->daemon = target_.daemon;
    call_->incarnation = incarnation_;
    call_->deadline = kDeadlines[random_() % std::size(kDeadlines)];
    call_->begun = steadyNow();
    HeaderList headers;
    headers.add("Host", "h");
    headers.add("Request-Id", call_->id);
    headers.add("Authorization", "Token " + keyName(call_->revokedBy));
    headers.add("Deadline-Ms", std::to_string(call_->deadline.count()));
    if (isStream(*call_->route))
        headers.add("Token-Count", "1000,24");
    parser_.reset();
    timer_.expires_after(call_->deadline + kAnswerMargin);
    timer_.async_wait([this, call = call_](const asio::error_code &error) {
        if (error || call != call_)
            return;
        endCall(CallEnd::Abandoned);
    });
    // A write error is reported by the read side, after the bytes that arrived before it.
    asio::error_code ignored;
    asio::write(socket_,
                asio::buffer(serializeRequestHead("GET", fmt::format("/{}/x", call_->route->name),
                                                  headers)),
                ignored);
}

void SoakClient::armRead()
{
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [this, connection = connection_](const asio::error_code &error) {
                           if (!error && connection == connection_)
                               onReadable();
                       });
}

void SoakClient::onReadable()
{
    asio::error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer_), error);
    if (error == asio::error::would_block) {
        armRead();
        return;
    }
    if (!call_) {
        if (!error)
            hooks_.unsolicited(target_.daemon);
        closeConnection();
        return;
    }
    if (error) {
        parser_.finish(error == asio::error::eof ? ConnectionClose::Orderly
                                                 : ConnectionClose::Failed);
        if (parser_.state() == ParseState::Complete)
            endCall(CallEnd::Complete);
        else
            endCall(parser_.started() ? CallEnd::Cut : CallEnd::NoAnswer);
        return;
    }
    onBytes({buffer_.data(), count});
}

void SoakClient::onBytes(std::string_view bytes)
{
    bytes.remove_prefix(parser_.feed(bytes));
    if (parser_.state() == ParseState::Reading) {
        armRead();
        return;
    }
    if (!bytes.empty())
        hooks_.unsolicited(target_.daemon);
    endCall(parser_.state() == ParseState::Complete ? CallEnd::Complete : CallEnd::Cut);
}

void SoakClient::endCall(CallEnd end)
{
    call_->end = end;
    call_->ended = steadyNow();
    call_ = nullptr;
    if (end == CallEnd::Complete && parser_.keepAlive())
        armRead();
    else
        closeConnection();
    think();
}

void SoakClient::closeConnection()
{
    ++connection_;
    asio::error_code ignored;
    socket_.close(ignored);
}

} // namespace cicadafork::test
