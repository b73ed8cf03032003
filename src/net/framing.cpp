#include "net/framing.h"

#include <algorithm>

namespace cicadafork {

namespace {

// Longer sizes do not fit into 64 bits, apart from leading zeros.
constexpr unsigned kMaxSizeDigits = 16;

std::optional<unsigned> hexDigit(char character)
{
    if (character >= '0' && character <= '9')
        return character - '0';
    if (character >= 'a' && character <= 'f')
        return character - 'a' + 10;
    if (character >= 'A' && character <= 'F')
        return character - 'A' + 10;
    return std::nullopt;
}

HeadPhase phaseAfter(HeadPhase phase, char character)
{
    const bool isReturn = character == '\r';
    const bool isLineFeed = character == '\n';
    switch (phase) {
    case HeadPhase::EmptyLines:
        // A request may follow empty lines.
        if (isReturn || isLineFeed)
            return HeadPhase::EmptyLines;
        return HeadPhase::Line;
    case HeadPhase::Line:
        if (isLineFeed)
            return HeadPhase::Failed;
        return isReturn ? HeadPhase::LineFeed : HeadPhase::Line;
    case HeadPhase::LineFeed:
        return isLineFeed ? HeadPhase::LineStart : HeadPhase::Failed;
    case HeadPhase::LineStart:
        if (isLineFeed || character == ' ' || character == '\t')
            return HeadPhase::Failed;
        return isReturn ? HeadPhase::LastLineFeed : HeadPhase::Line;
    case HeadPhase::LastLineFeed:
        return isLineFeed ? HeadPhase::Done : HeadPhase::Failed;
    case HeadPhase::Done:
    case HeadPhase::Failed:
        break;
    }
    return phase;
}

ChunkPhase phaseAfterSizeCharacter(ChunkFraming &framing, char character)
{
    if (const auto digit = hexDigit(character)) {
        framing.bytesLeft = framing.bytesLeft * 16 + *digit;
        return ++framing.sizeDigits <= kMaxSizeDigits ? ChunkPhase::Size : ChunkPhase::Failed;
    }
    if (framing.sizeDigits == 0)
        return ChunkPhase::Failed;
    if (character == ';')
        return ChunkPhase::Extension;
    return character == '\r' ? ChunkPhase::SizeLineFeed : ChunkPhase::Failed;
}

/// For all phases but Data, which has a length.
ChunkPhase phaseAfter(ChunkFraming &framing, char character)
{
    const bool isReturn = character == '\r';
    const bool isLineFeed = character == '\n';
    switch (framing.phase) {
    case ChunkPhase::Size:
        return phaseAfterSizeCharacter(framing, character);
    case ChunkPhase::Extension:
        if (isReturn)
            return ChunkPhase::SizeLineFeed;
        return isControlCharacter(character) ? ChunkPhase::Failed : ChunkPhase::Extension;
    case ChunkPhase::SizeLineFeed:
        if (!isLineFeed)
            return ChunkPhase::Failed;
        return framing.bytesLeft > 0 ? ChunkPhase::Data : ChunkPhase::TrailerStart;
    case ChunkPhase::DataReturn:
        return isReturn ? ChunkPhase::DataLineFeed : ChunkPhase::Failed;
    case ChunkPhase::DataLineFeed:
        framing.sizeDigits = 0;
        return isLineFeed ? ChunkPhase::Size : ChunkPhase::Failed;
    case ChunkPhase::TrailerStart:
        if (isReturn)
            return ChunkPhase::LastLineFeed;
        return isTokenCharacter(character) ? ChunkPhase::TrailerName : ChunkPhase::Failed;
    case ChunkPhase::TrailerName:
        if (character == ':')
            return ChunkPhase::TrailerValue;
        return isTokenCharacter(character) ? ChunkPhase::TrailerName : ChunkPhase::Failed;
    case ChunkPhase::TrailerValue:
        if (isReturn)
            return ChunkPhase::TrailerLineFeed;
        return isControlCharacter(character) ? ChunkPhase::Failed : ChunkPhase::TrailerValue;
    case ChunkPhase::TrailerLineFeed:
        return isLineFeed ? ChunkPhase::TrailerStart : ChunkPhase::Failed;
    case ChunkPhase::LastLineFeed:
        return isLineFeed ? ChunkPhase::Done : ChunkPhase::Failed;
    case ChunkPhase::Data:
    case ChunkPhase::Done:
    case ChunkPhase::Failed:
        break;
    }
    return framing.phase;
}

} // namespace

bool isTokenCharacter(char character)
{
    const bool alphanumeric = (character >= 'a' && character <= 'z')
                              || (character >= 'A' && character <= 'Z')
                              || (character >= '0' && character <= '9');
    return alphanumeric
           || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool isControlCharacter(char character)
{
    return (static_cast<unsigned char>(character) < ' ' && character != '\t') || character == 0x7f;
}

std::size_t advance(ChunkFraming &framing, std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size() && framing.phase != ChunkPhase::Done
           && framing.phase != ChunkPhase::Failed) {
        if (framing.phase != ChunkPhase::Data) {
            framing.phase = phaseAfter(framing, bytes[used++]);
            continue;
        }
        const std::uint64_t count = std::min<std::uint64_t>(framing.bytesLeft, bytes.size() - used);
        used += static_cast<std::size_t>(count);
        framing.bytesLeft -= count;
        if (framing.bytesLeft == 0)
            framing.phase = ChunkPhase::DataReturn;
    }
    return used;
}

std::optional<std::string_view> admit(MessageFraming &framing, std::string_view bytes)
{
    if (framing.head != HeadPhase::Done) {
        std::size_t used = 0;
        while (used < bytes.size() && framing.head != HeadPhase::Done
               && framing.head != HeadPhase::Failed)
            framing.head = phaseAfter(framing.head, bytes[used++]);
        if (framing.head == HeadPhase::Failed)
            return std::nullopt;
        return bytes.substr(0, used);
    }
    if (framing.isChunked) {
        advance(framing.chunks, bytes);
        if (framing.chunks.phase == ChunkPhase::Failed)
            return std::nullopt;
    }
    return bytes;
}

} // namespace cicadafork
