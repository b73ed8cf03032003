#include "http/address.h"

#include "base/number.h"

#include <asio/ip/address_v4.hpp>
#include <fmt/format.h>

namespace cicadafork {

Result<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon != std::string_view::npos) {
        const std::string ip(text.substr(0, colon));
        const std::string_view portText = text.substr(colon + 1);
        const auto port = parseNumber<unsigned>(portText);
        asio::error_code invalidIp;
        asio::ip::make_address_v4(ip, invalidIp);
        const bool portIsValid = port && *port >= 1 && *port <= 65535;
        if (!invalidIp && portIsValid)
            return Address{ip, static_cast<std::uint16_t>(*port)};
    }
    return fail(ErrorCode::InvalidArgument, fmt::format("'{}' is not an address", text),
                "write an IPv4 address and a port, for example 127.0.0.1:8080");
}

std::string toString(const Address &address)
{
    return fmt::format("{}:{}", address.ip, address.port);
}

} // namespace cicadafork
