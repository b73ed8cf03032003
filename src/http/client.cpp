#include "http/client.h"

#include "base/json.h"

#include <fmt/format.h>

namespace cicadafork {

namespace {

HttpTimeouts singleTimeout(Millis timeout)
{
    return {timeout, timeout, timeout};
}

/// Bytes of header lines: name, colon, space, value, line end.
std::size_t headerBytes(const httplib::Headers &headers)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size() + 4;
    return bytes;
}

/// Counts a call; an answer that did not arrive whole, so that there is no reply, counts with the
/// request only.
void count(const TrafficMeter &meter, const std::string &path, const std::string &body,
           const HttpReply *reply, const httplib::Headers &headers)
{
    // Request line, and the headers that are added: Host, Connection and, with a body, Content-Type
    // and Content-Length.
    constexpr std::size_t kRequestBytes = 60;
    constexpr std::size_t kBodyHeaderBytes = 55;
    constexpr std::size_t kStatusLineBytes = 19;
    meter.addMessage();
    meter.addSent(kRequestBytes + path.size() + headerBytes(headers)
                  + (body.empty() ? 0 : kBodyHeaderBytes + body.size()));
    if (reply)
        meter.addReceived(kStatusLineBytes + headerBytes(reply->headers) + reply->body.size());
}

Result<HttpReply> call(const Address &address, const std::string &method, const std::string &path,
                       const std::string &body, Millis timeout,
                       const httplib::Headers &headers = {}, const TrafficMeter &meter = {})
{
    BlockingRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    for (const auto &[name, value] : headers)
        request.headers.add(name, value);
    HttpReply reply;
    BlockingHandlers handlers;
    handlers.head = [&reply](const HttpResponseHead &head) {
        reply.status = head.status;
        for (const HeaderField &field : head.headers.fields())
            reply.headers.emplace(field.name, field.value);
        return true;
    };
    handlers.body = [&reply](std::string_view bytes) {
        reply.body += bytes;
        return true;
    };
    BlockingCall blockingCall(address, singleTimeout(timeout));
    const CallEnd end = blockingCall.run(request, handlers);
    const bool answered = end == CallEnd::Answered;
    count(meter, path, body, answered ? &reply : nullptr, headers);
    if (answered)
        return reply;
    const std::string name = toString(address) + path;
    if (const char *fault = blockingCall.fault())
        return fail(ErrorCode::Unavailable, fmt::format("{}: invalid answer: {}", name, fault),
                    "check the server at this address; it sends damaged responses");
    const bool isSent = end != CallEnd::NotConnected;
    return fail(isSent ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable,
                fmt::format("{}: {}", name,
                            isSent ? "no whole answer arrived" : "no connection could be opened"),
                "check that the server at this address runs and can be reached");
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
    return call(address, "GET", path, {}, timeout, headers, meter);
}

Result<HttpReply> httpPost(const Address &address, const std::string &path, const std::string &body,
                           Millis timeout, const httplib::Headers &headers,
                           const TrafficMeter &meter)
{
    return call(address, "POST", path, body, timeout, headers, meter);
}

Result<HttpReply> httpDelete(const Address &address, const std::string &path, Millis timeout)
{
    return call(address, "DELETE", path, {}, timeout);
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
