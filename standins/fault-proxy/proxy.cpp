#include "fault-proxy/proxy.h"

#include <asio/ip/address.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <deque>
#include <stdexcept>
#include <vector>

namespace cicadafork::standin {

namespace {

using Tcp = asio::ip::tcp;

// A direction that is frozen or full looks at its state this often.
constexpr Millis kPoll{10};

constexpr std::size_t kBufferBytes = 32 * 1024;

Tcp::endpoint toEndpoint(const Address &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

// Bytes that one direction holds back; the source is not read further above it.
constexpr std::size_t kMaxQueuedBytes = 4 * 1024 * 1024;

// Bytes that are on their way; no bytes stand for the end of the input.
struct Piece
{
    TimePoint due;
    std::vector<char> bytes;
};

// One direction of a connection. Reading and writing run side by side, so that a delay adds latency
// without limiting the throughput.
struct Direction
{
    Direction(asio::io_context &io, Tcp::socket &source, Tcp::socket &sink, bool towardsTarget)
        : readTimer(io)
        , writeTimer(io)
        , from(source)
        , to(sink)
        , toTarget(towardsTarget)
    {
    }

    asio::steady_timer readTimer;
    asio::steady_timer writeTimer;
    Tcp::socket &from;
    Tcp::socket &to;
    bool toTarget;
    std::array<char, kBufferBytes> buffer{};
    std::deque<Piece> queue;
    std::size_t queuedBytes = 0;
    bool writing = false;
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
        keepSourceIp();
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
        for (Direction *direction : {&toTarget_, &toClient_}) {
            direction->readTimer.cancel();
            direction->writeTimer.cancel();
        }
        proxy_.connections_.erase(shared_from_this());
    }

private:
    // Daemons accept peers by their source address, which a link does not change.
    void keepSourceIp()
    {
        asio::error_code error;
        const Tcp::endpoint client = client_.remote_endpoint(error);
        target_.open(Tcp::v4(), error);
        target_.bind({client.address(), 0}, error);
    }

    bool isCut(const Direction &direction) const
    {
        return direction.toTarget ? proxy_.faults_.cutToTarget : proxy_.faults_.cutToClient;
    }

    template <class Next>
    void at(asio::steady_timer &timer, TimePoint time, Next next)
    {
        timer.expires_at(time);
        timer.async_wait([self = shared_from_this(), next](asio::error_code error) {
            if (!error && self->client_.is_open())
                next();
        });
    }

    void readNext(Direction &direction)
    {
        if (proxy_.faults_.freeze || direction.queuedBytes > kMaxQueuedBytes) {
            return at(direction.readTimer, steadyNow() + kPoll,
                      [this, &direction] { readNext(direction); });
        }
        direction.from.async_read_some(
                asio::buffer(direction.buffer),
                [self = shared_from_this(), &direction](asio::error_code error, std::size_t bytes) {
                    if (!self->client_.is_open())
                        return;
                    const char *data = direction.buffer.data();
                    self->enqueue(direction, {data, data + (error ? 0 : bytes)});
                    if (!error)
                        self->readNext(direction);
                });
    }

    void enqueue(Direction &direction, std::vector<char> bytes)
    {
        direction.queuedBytes += bytes.size();
        direction.queue.push_back({steadyNow() + proxy_.faults_.delay, std::move(bytes)});
        if (!direction.writing)
            writeNext(direction);
    }

    void writeNext(Direction &direction)
    {
        direction.writing = !direction.queue.empty();
        if (!direction.writing)
            return;
        at(direction.writeTimer, direction.queue.front().due,
           [this, &direction] { forward(direction); });
    }

    // Bytes that were read before a freeze began wait here, so that none passes during it.
    void forward(Direction &direction)
    {
        if (proxy_.faults_.freeze) {
            return at(direction.writeTimer, steadyNow() + kPoll,
                      [this, &direction] { forward(direction); });
        }
        std::vector<char> bytes = std::move(direction.queue.front().bytes);
        direction.queue.pop_front();
        direction.queuedBytes -= bytes.size();
        if (bytes.empty())
            return endOfInput(direction);
        if (isCut(direction))
            return writeNext(direction);
        write(direction, std::move(bytes));
    }

    void write(Direction &direction, std::vector<char> bytes)
    {
        const std::uint64_t limit = proxy_.faults_.dropAfterBytes;
        const bool last = limit != 0 && forwarded_ + bytes.size() >= limit;
        if (last)
            bytes.resize(limit > forwarded_ ? limit - forwarded_ : 0);
        forwarded_ += bytes.size();
        auto data = std::make_shared<std::vector<char>>(std::move(bytes));
        asio::async_write(direction.to, asio::buffer(*data),
                          [self = shared_from_this(), &direction, last,
                           data](asio::error_code error, std::size_t) {
                              if (error || last)
                                  return self->close(false);
                              self->writeNext(direction);
                          });
    }

    // A close travels on like data: it is lost on a cut or half-open link.
    void endOfInput(Direction &direction)
    {
        if (proxy_.faults_.halfOpen || isCut(direction))
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
