#pragma once

// Loopback addresses for one test run.
//
//   AddressPool addresses;
//   Address log = addresses.next();

#include "http/address.h"

#include <cstdint>

namespace cicadafork::test {

/// Gives out addresses of 127.x.y.0/24, where x.y comes from the process id, so that test programs
/// that run at the same time do not collide. Every address was free when it was given out.
class AddressPool
{
public:
    Address next();

private:
    std::uint32_t used_ = 0;
};

} // namespace cicadafork::test
