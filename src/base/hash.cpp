#include "base/hash.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>

namespace cicadafork {

namespace {

constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

} // namespace

std::uint64_t fnv1a64(std::string_view bytes, std::uint64_t seed)
{
    std::uint64_t hash = seed;
    for (unsigned char byte : bytes) {
        hash ^= byte;
        hash *= kFnvPrime;
    }
    return hash;
}

std::uint64_t mix64(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31;
    return value;
}

std::vector<std::string> rendezvousOrder(std::string_view key,
                                         const std::vector<std::string> &members)
{
    const std::uint64_t keyHash = fnv1a64(key);
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(members.size());
    for (const std::string &member : members)
        weighted.emplace_back(mix64(keyHash ^ mix64(fnv1a64(member))), member);
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<std::string> order;
    order.reserve(weighted.size());
    for (auto &entry : weighted)
        order.push_back(std::move(entry.second));
    return order;
}

std::string sha256Hex(std::string_view bytes)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest);
    std::string text;
    text.reserve(2 * SHA256_DIGEST_LENGTH);
    for (unsigned char byte : digest)
        fmt::format_to(std::back_inserter(text), "{:02x}", byte);
    return text;
}

std::uint64_t sha256Prefix(std::initializer_list<std::string_view> fields)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                          EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view field : fields) {
        const std::uint64_t size = field.size();
        EVP_DigestUpdate(context.get(), &size, sizeof(size));
        EVP_DigestUpdate(context.get(), field.data(), field.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), sizeof(prefix));
    return prefix;
}

bool constantTimeEqual(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string hex64(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

} // namespace cicadafork
