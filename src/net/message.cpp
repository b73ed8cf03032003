#include "net/message.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <unordered_set>

namespace cicadafork {

namespace {

char toLowerAscii(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

std::string toLowerAscii(std::string_view text)
{
    std::string lower(text);
    for (char &character : lower)
        character = toLowerAscii(character);
    return lower;
}

constexpr std::array<std::string_view, 8> kHopByHopFields
        = {"connection", "keep-alive",        "proxy-connection", "te",
           "trailer",    "transfer-encoding", "upgrade",          "expect"};

void appendFields(std::string &text, const HeaderList &headers)
{
    for (const HeaderField &field : headers.fields()) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
    text += "\r\n";
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

std::vector<std::string_view> tokensOf(std::string_view list)
{
    std::vector<std::string_view> tokens;
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        tokens.push_back(trimmed(list.substr(0, comma)));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return tokens;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right,
                              [](char a, char b) { return toLowerAscii(a) == toLowerAscii(b); });
}

void HeaderList::add(std::string name, std::string value)
{
    fields_.push_back({std::move(name), std::move(value)});
}

const std::string *HeaderList::find(std::string_view name) const
{
    for (const HeaderField &field : fields_) {
        if (equalsIgnoringCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

std::size_t HeaderList::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::ranges::count_if(fields_, [&](const HeaderField &field) {
        return equalsIgnoringCase(field.name, name);
    }));
}

bool HeaderList::listsToken(std::string_view name, std::string_view token) const
{
    return std::ranges::any_of(fields_, [&](const HeaderField &field) {
        return equalsIgnoringCase(field.name, name)
               && std::ranges::any_of(tokensOf(field.value), [&](std::string_view listed) {
                      return equalsIgnoringCase(listed, token);
                  });
    });
}

void HeaderList::remove(std::string_view name)
{
    std::erase_if(fields_,
                  [&](const HeaderField &field) { return equalsIgnoringCase(field.name, name); });
}

void HeaderList::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void HeaderList::removeHopByHop()
{
    // Both the fields and the names that they list may be many.
    std::unordered_set<std::string> names;
    for (const std::string_view name : kHopByHopFields)
        names.emplace(name);
    for (const HeaderField &field : fields_) {
        if (!equalsIgnoringCase(field.name, "connection"))
            continue;
        for (const std::string_view name : tokensOf(field.value))
            names.insert(toLowerAscii(name));
    }
    std::erase_if(fields_, [&](const HeaderField &field) {
        return names.contains(toLowerAscii(field.name));
    });
}

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string serializeResponseHead(int status, const HeaderList &headers)
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, reasonPhrase(status));
    appendFields(text, headers);
    return text;
}

std::string serializeRequestHead(std::string_view method, std::string_view target,
                                 const HeaderList &headers)
{
    std::string text;
    text.reserve(512);
    text += method;
    text += ' ';
    text += target;
    text += " HTTP/1.1\r\n";
    appendFields(text, headers);
    return text;
}

} // namespace cicadafork
