#include "claims/claimrecord.h"

#include "base/hash.h"

#include <fmt/format.h>

namespace cicadafork {

namespace {

using Json = nlohmann::json;

/// JSON strings must be UTF-8; serializing any other bytes throws.
bool isUtf8(const std::string &text)
{
    try {
        return !Json(text).dump().empty();
    } catch (const Json::type_error &) {
        return false;
    }
}

Json commonFields(const char *type, const ClaimKey &key, const std::string &attemptId)
{
    return {{"type", type}, {"workspace", key.workspace}, {"key", key.key}, {"attempt", attemptId}};
}

Json encode(const ClaimEntry &entry)
{
    Json data = commonFields("claim", entry.key, entry.attemptId);
    data["sha256"] = entry.requestSha256;
    data["member"] = entry.memberId;
    data["incarnation"] = entry.incarnation;
    data["created_ms"] = sinceEpoch(entry.created).count();
    data["validity_ms"] = entry.validity.count();
    data["request_ms"] = entry.requestTime.count();
    return data;
}

Json encode(const WithdrawnEntry &entry)
{
    return commonFields("withdrawn", entry.key, entry.attemptId);
}

Json encode(const DoneEntry &entry)
{
    Json data = commonFields("done", entry.key, entry.attemptId);
    data["outcome"] = encodeOutcome(entry.outcome);
    return data;
}

ClaimEntry decodeClaim(const Json &data, ClaimKey key, std::string attemptId)
{
    ClaimEntry entry;
    entry.key = std::move(key);
    entry.attemptId = std::move(attemptId);
    entry.requestSha256 = data.at("sha256").get<std::string>();
    entry.memberId = data.at("member").get<std::string>();
    entry.incarnation = data.at("incarnation").get<std::string>();
    entry.created = fromEpoch(Millis(data.at("created_ms").get<std::int64_t>()));
    entry.validity = Millis(data.at("validity_ms").get<std::uint32_t>());
    entry.requestTime = Millis(data.at("request_ms").get<std::uint32_t>());
    return entry;
}

} // namespace

std::size_t claimShard(const ClaimKey &key)
{
    return mix64(fnv1a64(key.key, fnv1a64(key.workspace))) % kClaimShards;
}

std::string claimStream(std::size_t shard)
{
    return fmt::format("claims-{}", shard);
}

Json encodeOutcome(const StoredOutcome &outcome)
{
    Json data = {{"ran", outcome.ran},
                 {"status", outcome.status},
                 {"content_type", isUtf8(outcome.contentType) ? outcome.contentType : ""},
                 {"truncated", outcome.truncated}};
    if (isUtf8(outcome.body))
        data["body"] = outcome.body;
    else
        data["body_bytes"] = std::vector<std::uint8_t>(outcome.body.begin(), outcome.body.end());
    return data;
}

StoredOutcome decodeOutcome(const Json &data)
{
    StoredOutcome outcome;
    outcome.ran = data.at("ran").get<bool>();
    outcome.status = data.at("status").get<int>();
    outcome.contentType = data.at("content_type").get<std::string>();
    if (data.contains("body_bytes")) {
        const auto bytes = data["body_bytes"].get<std::vector<std::uint8_t>>();
        outcome.body.assign(bytes.begin(), bytes.end());
    } else {
        outcome.body = data.at("body").get<std::string>();
    }
    outcome.truncated = data.at("truncated").get<bool>();
    return outcome;
}

Json encodeClaimBatch(const std::vector<ClaimLogEntry> &entries)
{
    Json list = Json::array();
    for (const ClaimLogEntry &entry : entries)
        list.push_back(std::visit([](const auto &value) { return encode(value); }, entry));
    return {{"entries", std::move(list)}};
}

std::vector<ClaimLogEntry> decodeClaimBatch(const Json &data)
{
    std::vector<ClaimLogEntry> entries;
    if (!data.is_object() || !data.contains("entries") || !data["entries"].is_array())
        return entries;
    for (const Json &item : data["entries"]) {
        try {
            const auto type = item.at("type").get<std::string>();
            ClaimKey key{item.at("workspace").get<std::string>(),
                         item.at("key").get<std::string>()};
            auto attempt = item.at("attempt").get<std::string>();
            if (type == "claim")
                entries.emplace_back(decodeClaim(item, std::move(key), std::move(attempt)));
            else if (type == "withdrawn")
                entries.emplace_back(WithdrawnEntry{std::move(key), std::move(attempt)});
            else if (type == "done")
                entries.emplace_back(DoneEntry{std::move(key), std::move(attempt),
                                               decodeOutcome(item.at("outcome"))});
        } catch (const Json::exception &) {
            continue;
        }
    }
    return entries;
}

} // namespace cicadafork
