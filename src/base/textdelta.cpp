#include "base/textdelta.h"

#include "base/hash.h"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <optional>
#include <unordered_map>

namespace cicadafork {

namespace {

// Blocks of the base that are looked up. Shorter ones find more, and cost more lookups.
constexpr std::size_t kBlock = 16;
// The lowest bit of a step's number: a range of the base, or new bytes.
constexpr std::uint64_t kCopy = 1;
constexpr unsigned kBitsPerByte = 7;
constexpr unsigned kMaxShift = 63;

std::uint64_t blockHash(const char *bytes)
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    std::memcpy(&first, bytes, sizeof(first));
    std::memcpy(&second, bytes + sizeof(first), sizeof(second));
    return mix64(first ^ mix64(second));
}

void appendNumber(std::string &out, std::uint64_t value)
{
    while (value >> kBitsPerByte) {
        out += static_cast<char>(0x80 | (value & 0x7f));
        value >>= kBitsPerByte;
    }
    out += static_cast<char>(value);
}

std::optional<std::uint64_t> takeNumber(std::string_view &in)
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift <= kMaxShift && !in.empty(); shift += kBitsPerByte) {
        const auto byte = static_cast<std::uint8_t>(in.front());
        in.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if (!(byte & 0x80))
            return value;
    }
    return std::nullopt;
}

void appendCopy(std::string &out, std::size_t from, std::size_t length)
{
    if (length == 0)
        return;
    appendNumber(out, static_cast<std::uint64_t>(length) << 1 | kCopy);
    appendNumber(out, from);
}

void appendNew(std::string &out, std::string_view bytes)
{
    if (bytes.empty())
        return;
    appendNumber(out, static_cast<std::uint64_t>(bytes.size()) << 1);
    out += bytes;
}

std::size_t commonPrefix(std::string_view left, std::string_view right)
{
    const auto end = std::mismatch(left.begin(), left.end(), right.begin(), right.end());
    return static_cast<std::size_t>(end.first - left.begin());
}

std::size_t commonSuffix(std::string_view left, std::string_view right)
{
    const auto end = std::mismatch(left.rbegin(), left.rend(), right.rbegin(), right.rend());
    return static_cast<std::size_t>(end.first - left.rbegin());
}

/// Steps for the part between what both texts begin and end with.
void appendMiddle(std::string &out, std::string_view base, std::size_t baseBegin,
                  std::size_t baseEnd, std::string_view target)
{
    std::unordered_map<std::uint64_t, std::size_t> blocks;
    for (std::size_t at = baseBegin; at + kBlock <= baseEnd; at += kBlock)
        blocks.emplace(blockHash(base.data() + at), at);
    std::size_t literal = 0;
    std::size_t at = 0;
    while (at + kBlock <= target.size()) {
        const auto found = blocks.find(blockHash(target.data() + at));
        const std::size_t length = found == blocks.end() ? 0
                                                         : commonPrefix(base.substr(found->second),
                                                                        target.substr(at));
        if (length < kBlock) {
            ++at;
            continue;
        }
        // The match may begin before the block.
        const std::size_t earlier
                = commonSuffix(base.substr(0, found->second), target.substr(literal, at - literal));
        appendNew(out, target.substr(literal, at - earlier - literal));
        appendCopy(out, found->second - earlier, length + earlier);
        at += length;
        literal = at;
    }
    appendNew(out, target.substr(literal));
}

} // namespace

std::string makeDelta(std::string_view base, std::string_view target)
{
    const std::size_t prefix = commonPrefix(base, target);
    const std::size_t suffix = commonSuffix(base.substr(prefix), target.substr(prefix));
    std::string out;
    appendCopy(out, 0, prefix);
    appendMiddle(out, base, prefix, base.size() - suffix,
                 target.substr(prefix, target.size() - suffix - prefix));
    appendCopy(out, base.size() - suffix, suffix);
    return out;
}

Result<std::string> applyDelta(std::string_view base, std::string_view delta, std::size_t maxBytes)
{
    const auto invalid = [] {
        return fail(ErrorCode::InvalidArgument, "the difference does not fit the text",
                    "read the whole text instead");
    };
    std::string out;
    while (!delta.empty()) {
        const auto head = takeNumber(delta);
        if (!head)
            return invalid();
        const std::uint64_t length = *head >> 1;
        if (length > maxBytes - out.size())
            return invalid();
        if (*head & kCopy) {
            const auto from = takeNumber(delta);
            if (!from || *from > base.size() || length > base.size() - *from)
                return invalid();
            out += base.substr(*from, length);
        } else {
            if (length > delta.size())
                return invalid();
            out += delta.substr(0, length);
            delta.remove_prefix(length);
        }
    }
    return out;
}

} // namespace cicadafork
