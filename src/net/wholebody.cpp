#include "net/wholebody.h"

#include <string_view>

namespace cicadafork {

namespace {

/// True if the field is missing, or names the media type of server-sent events.
bool mayBeEvents(const HeaderList &headers)
{
    const std::string *type = headers.find("content-type");
    if (!type)
        return true;
    const std::string_view text = std::string_view(*type).substr(0, type->find(';'));
    const std::size_t last = text.find_last_not_of(" \t");
    return last != std::string_view::npos
           && equalsIgnoringCase(text.substr(0, last + 1), "text/event-stream");
}

} // namespace

const char *bodyFault(const HttpResponseHead &head, BodyKind kind)
{
    constexpr int kPartialContent = 206;
    if (head.headers.find("content-encoding"))
        return "encoded";
    if (head.status == kPartialContent || head.headers.find("content-range"))
        return "partial";
    if (kind == BodyKind::Events && !mayBeEvents(head.headers))
        return "no_events";
    return nullptr;
}

} // namespace cicadafork
