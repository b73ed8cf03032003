#pragma once

// Encoding of the records of a claims stream. One record is a batch of entries, written by one
// append.
//
//   log.append(claimStream(shard), encodeClaimBatch(entries), timeout);
//   std::vector<ClaimLogEntry> entries = decodeClaimBatch(record.data);

#include "claims/claimservice.h"

#include <variant>
#include <vector>

namespace cicadafork {

inline constexpr std::size_t kClaimShards = 16;

/// Identity of a claimed key.
struct ClaimKey
{
    std::string workspace;
    std::string key; ///< Lower-case UUIDv7.
};

struct ClaimEntry
{
    ClaimKey key;
    std::string requestSha256;
    std::string attemptId;
    std::string memberId;
    std::string incarnation;
    WallTime created;      ///< Wall-clock time of the writer, for diagnosis only.
    Millis validity{0};    ///< The writer dispatches only within this time after it began to claim.
    Millis requestTime{0}; ///< Time until the request's deadline when it was claimed.
};

struct WithdrawnEntry
{
    ClaimKey key;
    std::string attemptId;
};

struct DoneEntry
{
    ClaimKey key;
    std::string attemptId;
    StoredOutcome outcome;
};

using ClaimLogEntry = std::variant<ClaimEntry, WithdrawnEntry, DoneEntry>;

std::size_t claimShard(const ClaimKey &key);
std::string claimStream(std::size_t shard);

nlohmann::json encodeClaimBatch(const std::vector<ClaimLogEntry> &entries);
/// Skips entries that are malformed or of an unknown type, which a newer version may have written.
std::vector<ClaimLogEntry> decodeClaimBatch(const nlohmann::json &data);

nlohmann::json encodeOutcome(const StoredOutcome &outcome);
/// Throws nlohmann::json::exception when a field is missing or has the wrong type.
StoredOutcome decodeOutcome(const nlohmann::json &data);

} // namespace cicadafork
