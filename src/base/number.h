#pragma once

// Numbers from text that must be nothing else.
//
//   std::optional<std::uint64_t> count = parseNumber<std::uint64_t>("42");
//   std::optional<std::uint32_t> digest = parseNumber<std::uint32_t>("00ff", 16);

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace cicadafork {

/// Nothing when any of the text is not part of the number, or the number does not fit the type. The
/// format is that of std::from_chars: a base for integers.
template <class Number, class... Format>
std::optional<Number> parseNumber(std::string_view text, Format... format)
{
    Number value{};
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, format...);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace cicadafork
