#include "http/client.h"

#include "base/json.h"

#include <fmt/format.h>

namespace cicadafork {

namespace {

HttpTimeouts singleTimeout(Millis timeout)
{
    return {timeout, timeout, timeout};
}

Result<HttpReply> toReply(const Address &address, const std::string &path,
                          const httplib::Result &result)
{
    if (result)
        return HttpReply{result->status, result->body, result->headers};
    const bool timedOut = result.error() == httplib::Error::Read
                          || result.error() == httplib::Error::ConnectionTimeout;
    return fail(
            timedOut ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable,
            fmt::format("{}{}: {}", toString(address), path, httplib::to_string(result.error())),
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

Result<HttpReply> httpGet(const Address &address, const std::string &path, Millis timeout)
{
    auto client = makeHttpClient(address, singleTimeout(timeout));
    return toReply(address, path, client->Get(path));
}

Result<HttpReply> httpPost(const Address &address, const std::string &path, const std::string &body,
                           Millis timeout, const httplib::Headers &headers)
{
    auto client = makeHttpClient(address, singleTimeout(timeout));
    return toReply(address, path, client->Post(path, headers, body, "application/json"));
}

Result<nlohmann::json> getJson(const Address &address, const std::string &path, Millis timeout)
{
    BOOST_LEAF_AUTO(reply, httpGet(address, path, timeout));
    return toJson(address, path, reply);
}

Result<nlohmann::json> postJson(const Address &address, const std::string &path,
                                const nlohmann::json &body, Millis timeout)
{
    BOOST_LEAF_AUTO(reply, httpPost(address, path, body.dump(), timeout));
    return toJson(address, path, reply);
}

} // namespace cicadafork
