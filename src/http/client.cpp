#include "http/client.h"

#include "base/json.h"
#include "net/headrules.h"
#include "net/wholebody.h"

#include <fmt/format.h>

namespace cicadafork {

namespace {

HttpTimeouts singleTimeout(Millis timeout)
{
    return {timeout, timeout, timeout};
}

HttpResponseHead toHead(const httplib::Response &response)
{
    HttpResponseHead head;
    head.status = response.status;
    for (const auto &[name, value] : response.headers)
        head.headers.add(name, value);
    head.bodyEndsAtClose = statesNoLength(head);
    head.isHttp10 = response.version == "HTTP/1.0";
    return head;
}

Result<HttpReply> toReply(const Address &address, const std::string &path,
                          const httplib::Result &result)
{
    if (result) {
        ResponseCheck check;
        if (check.checkHead(*result))
            check.noteBody(result->body);
        if (!check.fault())
            return HttpReply{result->status, result->body, result->headers};
        return fail(ErrorCode::Unavailable,
                    fmt::format("{}{}: invalid answer: {}", toString(address), path, check.fault()),
                    "check the server at this address; it sends damaged responses");
    }
    const bool timedOut = result.error() == httplib::Error::Read
                          || result.error() == httplib::Error::ConnectionTimeout;
    return fail(
            timedOut ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable,
            fmt::format("{}{}: {}", toString(address), path, httplib::to_string(result.error())),
            "check that the server at this address runs and can be reached");
}

/// Bytes of header lines: name, colon, space, value, line end.
std::size_t headerBytes(const httplib::Headers &headers)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size() + 4;
    return bytes;
}

/// Counts a call; an answer that did not arrive whole counts with the request only.
void count(const TrafficMeter &meter, const std::string &path, const std::string &body,
           const httplib::Result &result, const httplib::Headers &headers)
{
    // Request line, and the headers that the library adds: Host, User-Agent, Accept, Connection
    // and, with a body, Content-Type and Content-Length.
    constexpr std::size_t kRequestBytes = 120;
    constexpr std::size_t kBodyHeaderBytes = 55;
    constexpr std::size_t kStatusLineBytes = 19;
    meter.addMessage();
    meter.addSent(kRequestBytes + path.size() + headerBytes(headers)
                  + (body.empty() ? 0 : kBodyHeaderBytes + body.size()));
    if (result)
        meter.addReceived(kStatusLineBytes + headerBytes(result->headers) + result->body.size());
}

Result<nlohmann::json> toJson(const Address &address, const std::string &path,
                              const HttpReply &reply)
{
    auto parsed = parseJson(reply.body);
    if (reply.status == 200 && !parsed.is_discarded())
        return parsed;
    return fail(ErrorCode::Unavailable,
                fmt::format("{}{} answered with status {}", toString(address), path, reply.status),
                "check the state of the server at this address");
}

} // namespace

bool ResponseCheck::checkHead(const httplib::Response &response)
{
    const HttpResponseHead head = toHead(response);
    headFault_ = headFault(head);
    const bool isSuccess = head.status / 100 == 2;
    if (!headFault_ && isSuccess)
        headFault_ = bodyFault(head, BodyKind::Any);
    if (head.bodyEndsAtClose)
        undeclaredChunks_.emplace();
    return !headFault_;
}

void ResponseCheck::noteBody(std::string_view bytes)
{
    if (undeclaredChunks_ && advance(*undeclaredChunks_, bytes) < bytes.size())
        undeclaredChunks_.reset();
}

const char *ResponseCheck::fault() const
{
    if (headFault_)
        return headFault_;
    const bool isChunked = undeclaredChunks_ && undeclaredChunks_->phase == ChunkPhase::Done;
    return isChunked ? "undeclared_chunks" : nullptr;
}

std::unique_ptr<httplib::Client> makeHttpClient(const Address &address, HttpTimeouts timeouts)
{
    auto client = std::make_unique<httplib::Client>(address.ip, address.port);
    client->set_connection_timeout(timeouts.connect);
    client->set_read_timeout(timeouts.read);
    client->set_write_timeout(timeouts.write);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(false);
    return client;
}

Result<HttpReply> httpGet(const Address &address, const std::string &path, Millis timeout,
                          const TrafficMeter &meter, const httplib::Headers &headers)
{
    auto client = makeHttpClient(address, singleTimeout(timeout));
    const auto result = client->Get(path, headers);
    count(meter, path, "", result, headers);
    return toReply(address, path, result);
}

Result<HttpReply> httpPost(const Address &address, const std::string &path, const std::string &body,
                           Millis timeout, const httplib::Headers &headers,
                           const TrafficMeter &meter)
{
    auto client = makeHttpClient(address, singleTimeout(timeout));
    const auto result = client->Post(path, headers, body, "application/json");
    count(meter, path, body, result, headers);
    return toReply(address, path, result);
}

Result<HttpReply> httpDelete(const Address &address, const std::string &path, Millis timeout)
{
    return toReply(address, path, makeHttpClient(address, singleTimeout(timeout))->Delete(path));
}

Result<nlohmann::json> getJson(const Address &address, const std::string &path, Millis timeout,
                               const TrafficMeter &meter)
{
    BOOST_LEAF_AUTO(reply, httpGet(address, path, timeout, meter));
    return toJson(address, path, reply);
}

Result<nlohmann::json> postJson(const Address &address, const std::string &path,
                                const nlohmann::json &body, Millis timeout,
                                const TrafficMeter &meter)
{
    BOOST_LEAF_AUTO(reply, httpPost(address, path, body.dump(), timeout, {}, meter));
    return toJson(address, path, reply);
}

} // namespace cicadafork
