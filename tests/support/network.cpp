#include "support/network.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>

namespace cicadafork::test {

namespace {

// Below the range of ephemeral ports, so that no outgoing connection takes one.
constexpr std::uint16_t kFirstPort = 10'000;
constexpr std::uint32_t kHostsPerNet = 250;
constexpr std::uint32_t kMaxPorts = 20'000;

// Shared by all pools of the process, so that two pools never give out the same address.
std::atomic<std::uint32_t> counter{0};

bool isFree(const Address &address)
{
    const int socketHandle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socketHandle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    const bool free = bind(socketHandle, reinterpret_cast<sockaddr *>(&name), sizeof(name)) == 0;
    close(socketHandle);
    return free;
}

} // namespace

Address AddressPool::next()
{
    // 127.0.0.0/16 is left to programs with fixed addresses; 253 x 256 nets remain.
    const auto net = static_cast<std::uint32_t>(getpid()) % (253 * 256);
    while (used_ < kMaxPorts) {
        const std::uint32_t number = counter++;
        ++used_;
        const Address address{
                fmt::format("127.{}.{}.{}", 1 + net / 256, net % 256, 1 + number % kHostsPerNet),
                static_cast<std::uint16_t>(kFirstPort + number % kMaxPorts)};
        if (isFree(address))
            return address;
    }
    throw std::runtime_error("no free loopback address is left");
}

} // namespace cicadafork::test
