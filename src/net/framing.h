#pragma once

// Checks the framing bytes of HTTP/1.1 messages that the http_parser library accepts without a
// look: its packages are built without the strict mode, so that any byte passes for the end of a
// status line or of a chunk.
//
//   MessageFraming framing;
//   const auto head = admit(framing, bytes);   // nullopt: the bytes are no HTTP
//   framing.isChunked = ...;                   // once the head is complete
//   const auto body = admit(framing, rest);

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cicadafork {

enum class HeadPhase { EmptyLines, Line, LineFeed, LineStart, LastLineFeed, Done, Failed };

enum class ChunkPhase {
    Size,
    Extension,
    SizeLineFeed,
    Data,
    DataReturn,
    DataLineFeed,
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLineFeed,
    LastLineFeed,
    Done,
    Failed,
};

/// Position in a body in chunked coding.
struct ChunkFraming
{
    ChunkPhase phase = ChunkPhase::Size;
    unsigned sizeDigits = 0;
    std::uint64_t bytesLeft = 0; ///< Of the current chunk.
};

/// Moves on over bytes of a chunked body. Returns how many belong to it; the phase is Failed if
/// they break the coding (RFC 9112, section 7.1).
std::size_t advance(ChunkFraming &framing, std::string_view bytes);

/// Position in a message.
struct MessageFraming
{
    HeadPhase head = HeadPhase::EmptyLines;
    bool isChunked = false; ///< To be set when the head is complete.
    ChunkFraming chunks;
};

/// The part of the bytes that can be parsed next: those of the head first, then those of the body.
/// Returns nullopt if a line does not end with CR and LF, or goes on in the next line (obsolete
/// folding), or if the chunked coding is broken.
std::optional<std::string_view> admit(MessageFraming &framing, std::string_view bytes);

/// True for the characters of a field's name.
bool isTokenCharacter(char character);
/// Control characters other than tab could make another parser see additional header fields.
bool isControlCharacter(char character);

} // namespace cicadafork
