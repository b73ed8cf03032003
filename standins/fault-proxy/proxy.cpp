#include "fault-proxy/proxy.h"

#include <asio/ip/address.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <stdexcept>

namespace cicadafork::standin {

namespace {

using Tcp = asio::ip::tcp;

// A frozen direction looks at the fault this often.
constexpr Millis kFreezePoll{10};

constexpr std::size_t kBufferBytes = 32 * 1024;

Tcp::endpoint toEndpoint(const Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

// One direction of a connection.
struct Direction
{
    Direction(asio::io_context &io, Tcp::socket &source, Tcp::socket &sink, bool towardsTarget)
        : timer(io)
        , from(source)
        , to(sink)
        , toTarget(towardsTarget)
    {
    }

    asio::steady_timer timer;
    Tcp::socket &from;
    Tcp::socket &to;
    bool toTarget;
    std::array<char, kBufferBytes> buffer{};
};

} // namespace

class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    ProxyConnection(Proxy &proxy, Tcp::socket client)
        : proxy_(proxy)
        , client_(std::move(client))
        , target_(proxy.io_)
        , toTarget_(proxy.io_, client_, target_, true)
        , toClient_(proxy.io_, target_, client_, false)
    {
    }

    void start()
    {
        target_.async_connect(proxy_.target_, [self = shared_from_this()](asio::error_code error) {
            if (error)
                return self->close(true);
            asio::error_code ignored;
            self->target_.set_option(Tcp::no_delay(true), ignored);
            self->client_.set_option(Tcp::no_delay(true), ignored);
            self->readNext(self->toTarget_);
            self->readNext(self->toClient_);
        });
    }

    // Closes both sides; a reset discards unsent bytes and is seen as ECONNRESET.
    void close(bool reset)
    {
        asio::error_code ignored;
        for (Tcp::socket *socket : {&client_, &target_}) {
            if (reset)
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        toTarget_.timer.cancel();
        toClient_.timer.cancel();
        proxy_.connections_.erase(shared_from_this());
    }

private:
    bool isCut(const Direction &direction) const
    {
        return direction.toTarget ? proxy_.faults_.cutToTarget : proxy_.faults_.cutToClient;
    }

    template <class Next>
    void after(Direction &direction, Millis delay, Next next)
    {
        direction.timer.expires_after(delay);
        direction.timer.async_wait([self = shared_from_this(), next](asio::error_code error) {
            if (!error && self->client_.is_open())
                next();
        });
    }

    void readNext(Direction &direction)
    {
        if (proxy_.faults_.freeze)
            return after(direction, kFreezePoll, [this, &direction] { readNext(direction); });
        direction.from.async_read_some(
                asio::buffer(direction.buffer),
                [self = shared_from_this(), &direction](asio::error_code error, std::size_t bytes) {
                    if (error)
                        return self->endOfInput(direction);
                    self->delayed(direction, bytes);
                });
    }

    // Bytes that were read before a freeze began wait here, so that none passes during it.
    void delayed(Direction &direction, std::size_t bytes)
    {
        after(direction, proxy_.faults_.delay,
              [this, &direction, bytes] { forward(direction, bytes); });
    }

    void forward(Direction &direction, std::size_t bytes)
    {
        if (proxy_.faults_.freeze) {
            return after(direction, kFreezePoll,
                         [this, &direction, bytes] { forward(direction, bytes); });
        }
        if (isCut(direction))
            return readNext(direction);
        const std::uint64_t limit = proxy_.faults_.dropAfterBytes;
        const bool last = limit != 0 && forwarded_ + bytes >= limit;
        if (last)
            bytes = limit > forwarded_ ? limit - forwarded_ : 0;
        forwarded_ += bytes;
        asio::async_write(
                direction.to, asio::buffer(direction.buffer.data(), bytes),
                [self = shared_from_this(), &direction, last](asio::error_code error, std::size_t) {
                    if (error || last)
                        return self->close(false);
                    self->readNext(direction);
                });
    }

    // A close travels on like data: it is lost on a cut or half-open link.
    void endOfInput(Direction &direction)
    {
        if (!client_.is_open() || proxy_.faults_.halfOpen || isCut(direction))
            return;
        asio::error_code ignored;
        direction.to.shutdown(Tcp::socket::shutdown_send, ignored);
        if (++ended_ == 2)
            close(false);
    }

    Proxy &proxy_;
    Tcp::socket client_;
    Tcp::socket target_;
    Direction toTarget_;
    Direction toClient_;
    std::uint64_t forwarded_ = 0;
    int ended_ = 0;
};

void applyProxyFaults(ProxyFaults &faults, const nlohmann::json &change)
{
    faults.delay = Millis(change.value("delay_ms", faults.delay.count()));
    faults.freeze = change.value("freeze", faults.freeze);
    faults.halfOpen = change.value("half_open", faults.halfOpen);
    faults.dropAfterBytes = change.value("drop_after_bytes", faults.dropAfterBytes);
    if (!change.contains("cut"))
        return;
    const auto cut = change.at("cut").get<std::string>();
    if (cut != "none" && cut != "both" && cut != "to_target" && cut != "to_client")
        throw std::invalid_argument("cut is none, both, to_target or to_client");
    faults.cutToTarget = cut == "both" || cut == "to_target";
    faults.cutToClient = cut == "both" || cut == "to_client";
}

Proxy::Proxy(asio::io_context &io, const Address &listen, const Address &target,
             ProxyFaults &faults)
    : io_(io)
    , acceptor_(io, toEndpoint(listen))
    , target_(toEndpoint(target))
    , faults_(faults)
{
    acceptNext();
}

Proxy::~Proxy() = default;

void Proxy::resetAll()
{
    const auto open = connections_;
    for (const auto &connection : open)
        connection->close(true);
}

void Proxy::acceptNext()
{
    acceptor_.async_accept([this](asio::error_code error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            auto connection = std::make_shared<ProxyConnection>(*this, std::move(socket));
            connections_.insert(connection);
            connection->start();
        }
        acceptNext();
    });
}

} // namespace cicadafork::standin
