#include "gateway/requestparts.h"

#include "base/hash.h"

#include <algorithm>

namespace cicadafork::gateway {

std::uint64_t requestDigest(const HttpRequest &request, const CallerFields &fields,
                            std::string_view workspace)
{
    const std::string *host = request.headers.find("host");
    return sha256Prefix({host ? *host : std::string_view(), request.method, request.target,
                         workspace, fields.prompt, request.body});
}

RequestParts requestParts(const HttpRequest &request, const CallerFields &fields,
                          std::string_view workspace)
{
    RequestParts parts = promptParts(fields.sharedPromptParts);
    parts.push_back(wholeRequest(requestDigest(request, fields, workspace)));
    return parts;
}

bool ownsTrial(const RequestPart &request, std::uint64_t daemon,
               const std::vector<std::uint64_t> &daemons)
{
    const auto weight = [&](std::uint64_t candidate) { return mix64(request.id ^ candidate); };
    return std::ranges::none_of(
            daemons, [&](std::uint64_t other) { return weight(other) > weight(daemon); });
}

} // namespace cicadafork::gateway
