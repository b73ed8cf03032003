#pragma once

// TCP link to a server that resets one connection at a chosen point.
//
//   ResettingLink link(context, addresses.next(), server.address);
//   link.resetAt({.inAnswer = true, .after = "HTTP/1.1 2"});
//   ... a request over the link ...
//   CHECK_TRUE(link.hasReset());

#include "http/address.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace cicadafork::test {

struct ResetPoint
{
    bool inAnswer = false;  ///< Else in the request.
    std::string after = {}; ///< The last bytes that pass; empty: the first ones do not.
};

class ResettingLink
{
public:
    ResettingLink(asio::io_context &context, const Address &listen, const Address &target);

    /// The next connection that reaches the point is reset on both sides.
    void resetAt(ResetPoint point) { point_ = std::move(point); }
    bool hasReset() const { return !point_; }
    const Address &address() const { return address_; }

private:
    struct Direction
    {
        explicit Direction(asio::io_context &context)
            : source(context)
        {
        }
        asio::ip::tcp::socket source;
        std::string seen; ///< Since the last piece in the other direction.
        std::array<char, 16384> buffer{};
    };
    struct Connection
    {
        explicit Connection(asio::io_context &context)
            : request(context)
            , answer(context)
        {
        }
        Direction request;
        Direction answer;
    };

    void acceptNext();
    void forward(const std::shared_ptr<Connection> &connection, bool answer);
    static void reset(Connection &connection);

    asio::io_context &context_;
    const Address address_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    std::optional<ResetPoint> point_;
};

} // namespace cicadafork::test
