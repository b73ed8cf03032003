#pragma once

// Hashes: FNV-1a for identities that need speed, SHA-256 for credentials and requests.
//
//   std::vector<std::string> order = rendezvousOrder("endpoint-7", members);
//   bool mine = !order.empty() && order.front() == selfId;

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace cicadafork {

/// Start value of a 64-bit FNV-1a hash.
inline constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;

/// 64-bit FNV-1a; pass an earlier result as seed to continue over more bytes.
std::uint64_t fnv1a64(std::string_view bytes, std::uint64_t seed = kFnvOffset);

/// Mixes all bits of a 64-bit value, so that similar inputs give unrelated outputs.
std::uint64_t mix64(std::uint64_t value);

/// Members sorted by descending rendezvous weight for the key. The first is the owner; when it
/// leaves, only its keys move.
std::vector<std::string> rendezvousOrder(std::string_view key,
                                         const std::vector<std::string> &members);

/// SHA-256 as 64 lower-case hex digits.
std::string sha256Hex(std::string_view bytes);

/// The first 64 bits of the SHA-256 of the fields. Fields that differ only in where one ends give
/// different results.
std::uint64_t sha256Prefix(std::initializer_list<std::string_view> fields);

/// Compares without a data-dependent early exit; for credentials.
bool constantTimeEqual(std::string_view left, std::string_view right);

/// 16 lower-case hex digits.
std::string hex64(std::uint64_t value);

} // namespace cicadafork
