#include "gateway/eventbuffer.h"

namespace cicadafork::gateway {

namespace {

// Typical events are a few hundred bytes; the memory of a larger one is freed after it.
constexpr std::size_t kKeptCapacity = 64 * 1024;

/// Length of the blank line at the begin of the text; 0 if there is none.
std::size_t blankLineSize(std::string_view text)
{
    for (const std::string_view blankLine : {"\n", "\r\n"}) {
        if (text.starts_with(blankLine))
            return blankLine.size();
    }
    return 0;
}

/// True if more bytes are needed to tell whether a blank line begins.
bool mayBecomeBlankLine(std::string_view text)
{
    return text.empty() || text == "\r";
}

} // namespace

void append(EventBuffer &buffer, std::string_view bytes)
{
    // What is left of the bytes after a taken event came with the last call, so moving it costs no
    // more than that call did.
    buffer.bytes.erase(0, buffer.taken);
    buffer.searched -= buffer.taken;
    buffer.taken = 0;
    if (buffer.bytes.empty() && buffer.bytes.capacity() > kKeptCapacity)
        buffer.bytes.shrink_to_fit();
    buffer.bytes += bytes;
}

std::string takeEvent(EventBuffer &buffer)
{
    const std::string_view bytes = buffer.bytes;
    while (true) {
        const std::size_t lineEnd = bytes.find('\n', buffer.searched);
        if (lineEnd == std::string_view::npos) {
            buffer.searched = bytes.size();
            return {};
        }
        const std::string_view next = bytes.substr(lineEnd + 1);
        if (const std::size_t size = blankLineSize(next)) {
            const std::size_t end = lineEnd + 1 + size;
            std::string event(bytes.substr(buffer.taken, end - buffer.taken));
            buffer.taken = end;
            buffer.searched = end;
            return event;
        }
        if (mayBecomeBlankLine(next)) {
            buffer.searched = lineEnd;
            return {};
        }
        buffer.searched = lineEnd + 1;
    }
}

std::string_view rest(const EventBuffer &buffer)
{
    return std::string_view(buffer.bytes).substr(buffer.taken);
}

} // namespace cicadafork::gateway
