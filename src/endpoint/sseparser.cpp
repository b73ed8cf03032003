#include "endpoint/sseparser.h"

namespace cicadafork {

bool SseParser::feed(std::string_view bytes, const std::function<bool(const SseEvent &)> &handler)
{
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        line_ += bytes.substr(0, end);
        if (line_.size() + event_.data.size() > maxEventBytes_)
            return false;
        if (end == std::string_view::npos)
            return true;
        bytes.remove_prefix(end + 1);
        if (!takeLine(handler))
            return false;
    }
    return true;
}

bool SseParser::takeLine(const std::function<bool(const SseEvent &)> &handler)
{
    std::string line;
    line.swap(line_);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    if (line.empty()) {
        SseEvent event;
        std::swap(event, event_);
        return event.data.empty() || handler(event);
    }
    const auto colon = line.find(':');
    if (colon == 0)
        return true;
    const std::string field = line.substr(0, colon);
    std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.erase(0, 1);
    if (field == "id")
        event_.id = value;
    else if (field == "event")
        event_.type = value;
    else if (field == "data")
        event_.data += event_.data.empty() ? value : "\n" + value;
    return true;
}

} // namespace cicadafork
