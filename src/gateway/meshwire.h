#pragma once

// Endpoint records in the messages between daemons.
//
//   fillEndpoint(list[0], record);
//   if (auto record = readEndpoint(entry))
//       table.update(*record, now);

#include "gateway/mesh.capnp.h"
#include "gateway/model.h"

#include <optional>

namespace cicadafork::gateway {

void fillEndpoint(wire::EndpointEntry::Builder entry, const EndpointRecord &record);

/// Nothing when the entry names no endpoint or its address cannot be read.
std::optional<EndpointRecord> readEndpoint(wire::EndpointEntry::Reader entry);

} // namespace cicadafork::gateway
