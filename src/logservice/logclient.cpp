#include "logservice/logclient.h"

#include "base/json.h"
#include "http/client.h"

#include <fmt/format.h>

namespace cicadafork {

namespace {

constexpr int kStatusGone = 410;

std::string streamPath(const std::string &stream)
{
    return "/streams/" + stream;
}

Result<LogPage> malformedPage(const std::string &path)
{
    return fail(ErrorCode::Unavailable,
                fmt::format("log service returned a malformed page for {}", path),
                "check that the log address names the platform's log service");
}

} // namespace

Result<Offset> HttpLogClient::append(const std::string &stream, const nlohmann::json &data,
                                     Millis timeout)
{
    BOOST_LEAF_AUTO(reply, postJson(address_, streamPath(stream), data, timeout, meters_.append));
    if (!reply.contains("offset") || !reply["offset"].is_number_unsigned()) {
        return fail(ErrorCode::Unavailable, "log service returned no offset for an append",
                    "check that the log address names the platform's log service");
    }
    return reply["offset"].get<Offset>();
}

Result<LogPage> HttpLogClient::read(const std::string &stream, Offset from, std::size_t limit,
                                    Millis wait, Millis timeout)
{
    const std::string path = fmt::format("{}?from={}&limit={}&wait_ms={}", streamPath(stream), from,
                                         limit, wait.count());
    BOOST_LEAF_AUTO(reply, httpGet(address_, path, wait + timeout, meters_.read));
    const auto body = parseJson(reply.body);
    const bool known = reply.status == 200 || reply.status == kStatusGone;
    if (!known || !body.is_object() || !body.contains("first"))
        return malformedPage(path);
    LogPage page;
    try {
        page.first = body.at("first").get<Offset>();
        page.expired = reply.status == kStatusGone;
        page.next = page.expired ? page.first : body.at("next").get<Offset>();
        if (page.expired)
            return page;
        for (const auto &entry : body.at("records")) {
            page.records.push_back({entry.at("offset").get<Offset>(),
                                    fromEpoch(Millis(entry.at("time_ms").get<std::int64_t>())),
                                    entry.at("data")});
        }
    } catch (const nlohmann::json::exception &) {
        return malformedPage(path);
    }
    return page;
}

} // namespace cicadafork
