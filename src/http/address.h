#pragma once

// An IP address and port.
//
//   Result<Address> address = parseAddress("127.0.1.1:8080");

#include "base/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace cicadafork {

struct Address
{
    std::string ip; ///< IPv4 address in dotted form; names are not resolved.
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

/// Accepts "IPV4:PORT" with a port from 1 to 65535; fails with InvalidArgument otherwise.
Result<Address> parseAddress(std::string_view text);

std::string toString(const Address &address);

} // namespace cicadafork
