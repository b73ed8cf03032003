#include "base/ids.h"

#include <fmt/format.h>

#include <cstdint>
#include <random>

namespace cicadafork {

namespace {

std::mt19937_64 &threadRandom()
{
    thread_local std::mt19937_64 random = [] {
        std::random_device device;
        std::seed_seq seeds{device(), device(), device(), device()};
        return std::mt19937_64(seeds);
    }();
    return random;
}

int hexDigit(char character)
{
    if (character >= '0' && character <= '9')
        return character - '0';
    if (character >= 'a' && character <= 'f')
        return character - 'a' + 10;
    if (character >= 'A' && character <= 'F')
        return character - 'A' + 10;
    return -1;
}

} // namespace

std::string newUuidV7(WallTime now)
{
    const auto millis = static_cast<std::uint64_t>(sinceEpoch(now).count()) & 0xffffffffffffULL;
    const std::uint64_t high = threadRandom()();
    const std::uint64_t low = threadRandom()();
    return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", millis >> 16, millis & 0xffff,
                       high & 0xfff, 0x8000 | ((high >> 12) & 0x3fff), low & 0xffffffffffffULL);
}

std::optional<WallTime> uuidV7Time(std::string_view text)
{
    constexpr std::size_t kUuidLength = 36;
    if (text.size() != kUuidLength)
        return std::nullopt;
    std::uint64_t millis = 0;
    int digits = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (i == 8 || i == 13 || i == 18 || i == 23) {
            if (text[i] != '-')
                return std::nullopt;
            continue;
        }
        const int digit = hexDigit(text[i]);
        if (digit < 0)
            return std::nullopt;
        if (digits++ < 12)
            millis = millis << 4 | static_cast<std::uint64_t>(digit);
    }
    constexpr std::size_t kVersionIndex = 14;
    constexpr std::size_t kVariantIndex = 19;
    if (text[kVersionIndex] != '7' || (hexDigit(text[kVariantIndex]) & 0xc) != 0x8)
        return std::nullopt;
    // The wall clock counts nanoseconds in 64 bits, which end in the year 2262.
    if (millis > static_cast<std::uint64_t>(sinceEpoch(WallTime::max()).count()))
        return std::nullopt;
    return fromEpoch(Millis(millis));
}

} // namespace cicadafork
