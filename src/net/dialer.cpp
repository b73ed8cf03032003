#include "net/dialer.h"

#include <asio/post.hpp>

#include <optional>
#include <utility>

namespace cicadafork {

namespace {

using Tcp = asio::ip::tcp;

void connectFrom(Tcp::socket &socket, const std::optional<Tcp::endpoint> &local,
                 const Address &address, Dialer::Done done)
{
    asio::error_code error;
    const auto ip = asio::ip::make_address_v4(address.ip, error);
    if (!error && local)
        socket.open(Tcp::v4(), error);
    if (!error && local)
        socket.bind(*local, error);
    if (error) {
        asio::post(socket.get_executor(), [done = std::move(done), error] { done(error); });
        return;
    }
    socket.async_connect({ip, address.port}, std::move(done));
}

} // namespace

Dialer anyDialer()
{
    return {[](Tcp::socket &socket, const Address &address, Dialer::Done done) {
        connectFrom(socket, std::nullopt, address, std::move(done));
    }};
}

Dialer localDialer(const std::string &ip)
{
    return {[local = Tcp::endpoint(asio::ip::make_address_v4(ip), 0)](
                    Tcp::socket &socket, const Address &address, Dialer::Done done) {
        connectFrom(socket, local, address, std::move(done));
    }};
}

} // namespace cicadafork
