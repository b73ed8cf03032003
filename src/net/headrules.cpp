#include "net/headrules.h"

#include "net/framing.h"

#include <algorithm>
#include <string_view>

namespace cicadafork {

namespace {

constexpr int kLeastStatus = 100;
constexpr int kLargestStatus = 599;
constexpr int kLeastFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool mayHaveBody(int status)
{
    return status >= kLeastFinalStatus && status != kNoContent;
}

/// True for decimal digits, also with blanks after them.
bool isNumber(std::string_view value)
{
    const std::size_t end = value.find_last_not_of(" \t");
    return end != std::string_view::npos
           && value.substr(0, end + 1).find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

bool isWellFormed(const HeaderList &headers)
{
    for (const HeaderField &field : headers.fields()) {
        if (field.name.empty() || !std::ranges::all_of(field.name, isTokenCharacter)
            || std::ranges::any_of(field.value, isControlCharacter))
            return false;
    }
    const std::string *coding = headers.find("transfer-encoding");
    const std::size_t lengths = headers.count("content-length");
    if (!coding)
        return lengths == 0 || (lengths == 1 && isNumber(*headers.find("content-length")));
    return lengths == 0 && headers.count("transfer-encoding") == 1
           && equalsIgnoringCase(*coding, "chunked");
}

const char *headFault(const HttpResponseHead &head)
{
    if (head.status < kLeastStatus || head.status > kLargestStatus)
        return "status";
    if (!isWellFormed(head.headers))
        return "fields";
    // No request asks for another protocol.
    if (head.status == kSwitchingProtocols)
        return "upgrade";
    const bool isChunked = head.headers.find("transfer-encoding") != nullptr;
    if (isChunked && head.isHttp10)
        return "coding";
    const std::string *length = head.headers.find("content-length");
    if (!mayHaveBody(head.status) && (isChunked || (length && *length != "0")))
        return "body";
    // Only the end of its connection can delimit such a body, so its server has to announce it. A
    // server that does not may have stated a length or chunks in a field that was damaged.
    if (head.bodyEndsAtClose && !head.isHttp10 && !head.headers.listsToken("connection", "close"))
        return "no_length";
    return nullptr;
}

bool statesNoLength(const HttpResponseHead &head)
{
    return mayHaveBody(head.status) && head.status != kNotModified
           && !head.headers.find("content-length") && !head.headers.find("transfer-encoding");
}

} // namespace cicadafork
