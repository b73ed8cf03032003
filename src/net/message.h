#pragma once

// Value types for HTTP/1.1 messages.
//
//   HeaderList headers;
//   headers.add("Content-Type", "application/json");
//   if (const std::string *host = headers.find("host"))
//       ...

#include "net/bodyroom.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadafork {

struct HeaderField
{
    std::string name;
    std::string value;
};

/// Compares two strings, ignoring the case of ASCII letters.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Header fields in the order in which they were added. Names are case-insensitive.
class HeaderList
{
public:
    void add(std::string name, std::string value);
    /// Value of the first field with this name, or nullptr if there is none.
    const std::string *find(std::string_view name) const;
    /// Number of fields with this name.
    std::size_t count(std::string_view name) const;
    /// True if one of the fields with this name lists the token; values are separated by commas.
    bool listsToken(std::string_view name, std::string_view token) const;
    /// Removes all fields with this name.
    void remove(std::string_view name);
    /// Replaces all fields with this name by a single one.
    void set(std::string name, std::string value);
    /// Removes the hop-by-hop fields, including those that the Connection field lists.
    void removeHopByHop();

    const std::vector<HeaderField> &fields() const { return fields_; }
    std::vector<HeaderField> &fields() { return fields_; }

private:
    std::vector<HeaderField> fields_;
};

struct HttpRequest
{
    std::string method;
    std::string target; ///< Path and query as received.
    HeaderList headers;
    std::string body;
    bool keepAlive = true;
    bool acceptsChunked = true;           ///< False for HTTP/1.0 callers.
    std::shared_ptr<const BodyHold> hold; ///< Room for the body; null if it needs none.
};

struct HttpResponseHead
{
    int status = 0;
    HeaderList headers;
    /// The response has neither Content-Length nor chunked encoding, so its body extends to the end
    /// of the connection.
    bool bodyEndsAtClose = false;
    bool isHttp10 = false;
};

/// Reason phrase of a status code; "Status" for codes that are not in the table.
const char *reasonPhrase(int status);

/// Status line and header fields, including the blank line.
std::string serializeResponseHead(int status, const HeaderList &headers);
/// Request line and header fields, including the blank line.
std::string serializeRequestHead(std::string_view method, std::string_view target,
                                 const HeaderList &headers);

} // namespace cicadafork
