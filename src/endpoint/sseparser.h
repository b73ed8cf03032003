#pragma once

// Incremental parser of server-sent events.
//
//   SseParser parser(1 << 20);
//   bool wellFormed = parser.feed(bytes, [&](const SseEvent &event) { return true; });
//
// Comments and unknown fields are skipped. feed() returns false when an event exceeds the limit or
// the handler returned false.

#include <functional>
#include <string>
#include <string_view>

namespace cicadafork {

struct SseEvent
{
    std::string id;
    std::string type; ///< Empty for a plain message.
    std::string data;
};

class SseParser
{
public:
    explicit SseParser(std::size_t maxEventBytes)
        : maxEventBytes_(maxEventBytes)
    {
    }

    bool feed(std::string_view bytes, const std::function<bool(const SseEvent &)> &handler);

private:
    bool takeLine(const std::function<bool(const SseEvent &)> &handler);

    std::size_t maxEventBytes_;
    std::string line_;
    SseEvent event_;
};

} // namespace cicadafork
