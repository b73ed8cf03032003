#include "gateway/requestparts.h"

#include "base/hash.h"

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

} // namespace cicadafork::gateway
