#include "gateway/handover.h"

#include "base/hash.h"
#include "base/number.h"

#include <algorithm>
#include <tuple>

namespace cicadafork::gateway {

namespace {

constexpr int kHexadecimal = 16;
// Bounds what a peer can make this daemon remember; routes allow a few attempts.
constexpr std::size_t kMaxTried = 64;

unsigned countIn(const HeaderList &headers, const char *name)
{
    const std::string *text = headers.find(name);
    return text ? parseNumber<unsigned>(*text).value_or(0) : 0;
}

} // namespace

HandoverTerms readTerms(const HeaderList &headers)
{
    HandoverTerms terms;
    terms.attempts = countIn(headers, kHandoverAttempts);
    terms.retries = countIn(headers, kHandoverRetries);
    terms.readsTried = headers.find(kHandoverRetries) != nullptr;
    if (const std::string *tried = headers.find(kHandoverTried))
        terms.triedEndpoints = decodeTried(*tried);
    return terms;
}

std::string encodeTried(const std::vector<EndpointKey> &endpoints)
{
    std::string text;
    for (const EndpointKey endpoint : endpoints) {
        if (!text.empty())
            text += ',';
        text += hex64(endpoint);
    }
    return text;
}

std::vector<EndpointKey> decodeTried(std::string_view text)
{
    std::vector<EndpointKey> endpoints;
    while (!text.empty() && endpoints.size() < kMaxTried) {
        const std::size_t comma = std::min(text.find(','), text.size());
        if (const auto key = parseNumber<EndpointKey>(text.substr(0, comma), kHexadecimal))
            endpoints.push_back(*key);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return endpoints;
}

void removeHandoverFields(HeaderList &headers)
{
    for (const char *name :
         {kHandoverAttempts, kHandoverRetries, kHandoverTried, kHandoverConfig, kHandoverSends})
        headers.remove(name);
}

const HandoverPeer *choosePeer(const std::vector<HandoverPeer> &candidates,
                               std::uint64_t tieBreaker)
{
    const auto rank = [&](const HandoverPeer &peer) {
        return std::tuple(!peer.hasConfig, peer.hasAnswered, peer.inProgress, !peer.inOwnDomain,
                          mix64(fnv1a64(peer.ip) ^ tieBreaker));
    };
    const auto best = std::ranges::min_element(candidates, {}, rank);
    return best == candidates.end() || !best->hasConfig ? nullptr : &*best;
}

bool isPromiseOfNotRun(int status)
{
    // Misdirected Request, Service Unavailable, Too Many Requests and Request Timeout.
    return status == 421 || status == 503 || status == 429 || status == 408;
}

} // namespace cicadafork::gateway
