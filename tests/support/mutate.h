#pragma once

// Mutations of valid input, for tests of parsers.
//
//   fuzz(7, inputs, [&](const std::string &text) { parseStatement(text); });

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace cicadafork::test {

inline constexpr Millis kFuzzTime{2000};
inline constexpr std::size_t kMaxFuzzBytes = 64 * 1024;

/// Changes one to four places: bytes, ranges, numbers, and values that parsers handle badly.
inline std::string mutate(std::string text, std::mt19937_64 &random)
{
    static const std::array<std::string, 22> tokens = {"-1",
                                                       "1e308",
                                                       "18446744073709551615",
                                                       "18446744073709551616",
                                                       "9223372036854775807",
                                                       "-9223372036854775808",
                                                       "0.5",
                                                       "null",
                                                       "true",
                                                       "[]",
                                                       "{}",
                                                       "\"\"",
                                                       "\"\\ud800\"",
                                                       "\xff\xfe",
                                                       "\r\n\r\n",
                                                       std::string(1, '\0'),
                                                       "'",
                                                       "\"",
                                                       std::string(300, '['),
                                                       std::string(5000, 'a'),
                                                       "&a [*a, *a]",
                                                       "Content-Length: -5"};
    const auto place = [&](std::size_t size) { return size == 0 ? 0 : random() % size; };
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes; ++i) {
        const std::size_t at = place(text.size() + 1);
        const std::size_t length = place(std::min<std::size_t>(text.size() - at + 1, 40));
        const std::string &token = tokens[random() % tokens.size()];
        switch (random() % 6) {
        case 0:
            if (at < text.size())
                text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.insert(at, token);
            break;
        case 4: {
            const std::size_t begin = text.find_first_of("0123456789", at);
            if (begin == std::string::npos)
                break;
            const std::size_t end = text.find_first_not_of("0123456789", begin);
            text.replace(begin, (end == std::string::npos ? text.size() : end) - begin, token);
            break;
        }
        default:
            text.replace(at, length, token);
        }
    }
    text.resize(std::min(text.size(), kMaxFuzzBytes));
    return text;
}

/// Feeds mutations of the inputs for kFuzzTime; the same seed gives the same sequence.
inline std::size_t fuzz(std::uint64_t seed, const std::vector<std::string> &inputs,
                        const std::function<void(const std::string &)> &parse)
{
    std::mt19937_64 random(seed);
    const TimePoint end = steadyNow() + kFuzzTime;
    std::size_t runs = 0;
    for (; steadyNow() < end; ++runs)
        parse(mutate(inputs[random() % inputs.size()], random));
    return runs;
}

} // namespace cicadafork::test
