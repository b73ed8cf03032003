#include "claims/claimwire.h"

#include "base/json.h"
#include "claims/claimfold.h"

#include <array>
#include <utility>

namespace cicadafork {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<ClaimDecisionKind, const char *>, 6> kKindNames = {{
        {ClaimDecisionKind::Won, "won"},
        {ClaimDecisionKind::Duplicate, "duplicate"},
        {ClaimDecisionKind::InProgress, "in_progress"},
        {ClaimDecisionKind::MayHaveRun, "may_have_run"},
        {ClaimDecisionKind::KeyReused, "key_reused"},
        {ClaimDecisionKind::KeyInvalid, "key_invalid"},
}};

std::optional<ClaimDecision> decodeDecision(const Json &data)
{
    ClaimDecision decision;
    decision.attemptId = data.at("attempt").get<std::string>();
    const auto kind = data.at("kind").get<std::string>();
    bool known = false;
    for (const auto &[value, name] : kKindNames) {
        if (kind == name) {
            decision.kind = value;
            known = true;
        }
    }
    if (!known)
        return std::nullopt;
    decision.fencingNumber = data.at("offset").get<Offset>();
    decision.retryAfter = Millis(data.at("retry_after_ms").get<std::uint32_t>());
    if (decision.kind == ClaimDecisionKind::Duplicate)
        decision.outcome = decodeOutcome(data.at("outcome"));
    decision.error = claimError(decision.kind);
    return decision;
}

} // namespace

std::string encodeForwardedBatch(const ForwardedBatch &batch)
{
    Json data = encodeClaimBatch({batch.entries.begin(), batch.entries.end()});
    data["shard"] = batch.shard;
    data["time_ms"] = batch.time.count();
    return data.dump();
}

std::optional<ForwardedBatch> decodeForwardedBatch(const std::string &text)
{
    const Json data = parseJson(text);
    if (!data.is_object() || !data.contains("shard") || !data["shard"].is_number_unsigned()
        || !data.contains("time_ms") || !data["time_ms"].is_number_unsigned())
        return std::nullopt;
    ForwardedBatch batch;
    batch.shard = data["shard"].get<std::size_t>();
    batch.time = Millis(data["time_ms"].get<std::uint32_t>());
    for (ClaimLogEntry &entry : decodeClaimBatch(data)) {
        auto *claim = std::get_if<ClaimEntry>(&entry);
        if (!claim || claimShard(claim->key) != batch.shard)
            return std::nullopt;
        batch.entries.push_back(std::move(*claim));
    }
    if (batch.entries.empty())
        return std::nullopt;
    return batch;
}

std::string encodeForwardedVerdicts(const ForwardedVerdicts &verdicts)
{
    Json list = Json::array();
    for (const auto &[attemptId, decision] : verdicts) {
        for (const auto &[kind, name] : kKindNames) {
            if (decision.kind != kind)
                continue;
            Json data = {{"attempt", attemptId},
                         {"kind", name},
                         {"offset", decision.fencingNumber},
                         {"retry_after_ms", decision.retryAfter.count()}};
            if (decision.outcome)
                data["outcome"] = encodeOutcome(*decision.outcome);
            list.push_back(std::move(data));
        }
    }
    return Json{{"verdicts", std::move(list)}}.dump();
}

ForwardedVerdicts decodeForwardedVerdicts(const std::string &text)
{
    ForwardedVerdicts verdicts;
    const Json data = parseJson(text);
    if (!data.is_object() || !data.contains("verdicts") || !data["verdicts"].is_array())
        return verdicts;
    for (const Json &item : data["verdicts"]) {
        try {
            if (auto decision = decodeDecision(item))
                verdicts[decision->attemptId] = std::move(*decision);
        } catch (const Json::exception &) {
            continue;
        }
    }
    return verdicts;
}

} // namespace cicadafork
