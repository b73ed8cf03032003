#include "gateway/blockedrecord.h"

#include "base/json.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

constexpr std::string_view kKeyPrefix = "blocked-parts/";

} // namespace

std::string blockedKey(const BlockedParts &blocked)
{
    return std::string(kKeyPrefix) + toString(blocked.parts);
}

bool isBlockedKey(std::string_view key)
{
    return key.starts_with(kKeyPrefix);
}

std::string blockedRecord(const CrashEvidence &evidence, const BlockedParts &blocked, TimePoint now,
                          WallTime wallNow)
{
    nlohmann::json json;
    json["parts"] = nlohmann::json::array();
    json["requests"] = nlohmann::json::array();
    for (const RequestPart &part : blocked.parts)
        json[part.kind == RequestPartKind::Whole ? "requests" : "parts"].push_back(part.id);
    json["crashes"] = nlohmann::json::array();
    for (const EndpointCrash &crash : crashesExplainedBy(evidence, blocked)) {
        const auto ago = std::chrono::duration_cast<Millis>(now - crash.at);
        json["crashes"].push_back({{"endpoint", crash.endpoint},
                                   {"at_ms", (sinceEpoch(wallNow) - ago).count()},
                                   {"sent_again", !crash.sentAgain.empty()}});
    }
    return json.dump();
}

Result<std::vector<EndpointCrash>> readBlockedRecord(const std::string &text, TimePoint now,
                                                     WallTime wallNow)
{
    const nlohmann::json json = parseJson(text);
    std::vector<EndpointCrash> crashes;
    try {
        RequestParts parts = promptParts(json.at("parts").get<std::vector<PromptPartId>>());
        RequestParts requests;
        for (const auto digest : json.value("requests", std::vector<std::uint64_t>()))
            requests.push_back(wholeRequest(digest));
        parts.insert(parts.end(), requests.begin(), requests.end());
        Millis newest{0};
        for (const nlohmann::json &entry : json.at("crashes"))
            newest = std::max(newest, Millis(entry.at("at_ms").get<Millis::rep>()));
        // The times between the crashes count, whatever the clocks say.
        const Millis newestAgo
                = std::clamp(sinceEpoch(wallNow) - newest, Millis(0), kCrashLifetime);
        for (const nlohmann::json &entry : json.at("crashes")) {
            const Millis before = newest - Millis(entry.at("at_ms").get<Millis::rep>());
            crashes.push_back({entry.at("endpoint").get<EndpointKey>(),
                               now - newestAgo - std::min(before, kCrashLifetime),
                               {parts},
                               now,
                               entry.value("sent_again", false) ? requests : RequestParts()});
        }
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorCode::InvalidArgument, error.what(),
                    "delete the record; the daemons write it again if they need it");
    }
    return crashes;
}

} // namespace cicadafork::gateway
