#pragma once

// HTTP/1.1 messages as plain values.
//
//   HeaderList headers;
//   headers.add("Content-Type", "application/json");
//   if (const std::string *host = headers.find("host"))
//       ...

#include <cstdint>
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

/// Compares ASCII letters without case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Header fields in their order; names compare without case.
class HeaderList
{
public:
    void add(std::string name, std::string value);
    /// First field of the name, nullptr when there is none.
    const std::string *find(std::string_view name) const;
    /// How many fields have the name.
    std::size_t count(std::string_view name) const;
    /// Removes every field of the name.
    void remove(std::string_view name);
    /// Removes every field of the name and adds one.
    void set(std::string name, std::string value);
    /// Removes the fields that concern one connection only, those that Connection names included.
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
    bool acceptsChunked = true; ///< False for HTTP/1.0 callers.
};

struct HttpResponseHead
{
    int status = 0;
    HeaderList headers;
    /// Neither a length nor chunks: the body ends with the connection.
    bool bodyEndsAtClose = false;
};

/// Reason phrase of a status code; "Status" for one without a name here.
const char *reasonPhrase(int status);

/// Status line and header fields with the blank line.
std::string serializeResponseHead(int status, const HeaderList &headers);
/// Request line and header fields with the blank line.
std::string serializeRequestHead(std::string_view method, std::string_view target,
                                 const HeaderList &headers);

} // namespace cicadafork
