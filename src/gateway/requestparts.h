#pragma once

// The parts of a request on which endpoints may crash.
//
//   const RequestParts parts = requestParts(exchange.request, exchange.fields, "depot");

#include "gateway/crashevidence.h"
#include "gateway/protocol.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cicadafork::gateway {

/// The same for requests that do the same at an endpoint: those with the same path, workspace,
/// prompt and body. Deadlines, request ids and other header fields do not count.
std::uint64_t requestDigest(const HttpRequest &request, const CallerFields &fields,
                            std::string_view workspace);

/// The parts of the prompt that other requests may share, and the request as a whole.
RequestParts requestParts(const HttpRequest &request, const CallerFields &fields,
                          std::string_view workspace);

/// True if this daemon may send a request on trial: the first one by rendezvous hashing, so that
/// all daemons choose the same.
bool ownsTrial(const RequestPart &request, std::uint64_t daemon,
               const std::vector<std::uint64_t> &daemons);

} // namespace cicadafork::gateway
