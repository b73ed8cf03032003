#pragma once

// An endpoint, peer or store whose bytes the test writes.
//
//   RawServer server(context, addresses.next());
//   server.onRequest = [](const RawServer::Received &request) {
//       RawServer::write(request.connection, RawServer::answer(request.requestId, "body"));
//   };

#include "http/address.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cicadafork::test {

using Socket = std::shared_ptr<asio::ip::tcp::socket>;

/// Requests may have a body with a length.
class RawServer
{
public:
    struct Received
    {
        Socket connection;
        std::string text;
        std::string requestId;
    };

    RawServer(asio::io_context &context, const Address &address)
        : acceptor_(context, {asio::ip::make_address_v4(address.ip), address.port})
    {
        accept();
    }

    /// An answer to the request, or to another one.
    static std::string answer(const std::string &requestId, const std::string &body,
                              const std::string &status = "200 OK", bool sealed = true)
    {
        return fmt::format("HTTP/1.1 {}\r\n{}{}Content-Length: {}\r\n\r\n{}", status,
                           requestId.empty() ? "" : "Request-Id: " + requestId + "\r\n",
                           sealed ? "Response-Seal: s\r\n" : "", body.size(), body);
    }

    static void write(const Socket &connection, const std::string &bytes)
    {
        asio::error_code ignored;
        asio::write(*connection, asio::buffer(bytes), ignored);
    }

    /// Ends the connection with a TCP reset.
    static void reset(const Socket &connection)
    {
        asio::error_code ignored;
        connection->set_option(asio::socket_base::linger(true, 0), ignored);
        connection->close(ignored);
    }

    std::function<void(const Received &)> onRequest;
    bool readsBodies = true; ///< Else nothing is read of a connection after the head of a request.
    std::vector<Received> received;
    unsigned connections = 0;

private:
    void accept()
    {
        acceptor_.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++connections;
            sockets_.push_back(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            read(sockets_.back(), std::make_shared<std::string>());
            accept();
        });
    }

    void read(const Socket &socket, const std::shared_ptr<std::string> &input)
    {
        asio::async_read_until(
                *socket, asio::dynamic_buffer(*input), "\r\n\r\n",
                [this, socket, input](const asio::error_code &error, std::size_t size) {
                    if (error)
                        return;
                    Received request{socket, input->substr(0, size), {}};
                    input->erase(0, size);
                    constexpr std::string_view kName = "Request-Id: ";
                    const std::size_t at = request.text.find(kName);
                    if (at != std::string::npos)
                        request.requestId = request.text.substr(
                                at + kName.size(), request.text.find('\r', at) - at - kName.size());
                    received.push_back(request);
                    if (onRequest)
                        onRequest(request);
                    if (readsBodies)
                        read(socket, input);
                });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::vector<Socket> sockets_;
};

} // namespace cicadafork::test
