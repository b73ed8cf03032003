#pragma once

// What daemons tell each other, in the messages of mesh.capnp.
//
//   fillJob(jobs[0], job, now);
//   const std::string bytes = encodeDatagram(message);
//   Job job = readJob(entry, sender, now);

#include "gateway/mesh.capnp.h"
#include "gateway/mesh.h"

#include <capnp/message.h>

#include <optional>
#include <string>
#include <vector>

namespace cicadafork::gateway {

/// The first byte of a datagram: whether its receiver passes it on in its failure domain.
inline constexpr char kDirect = 0;
inline constexpr char kRelay = 1;

/// The datagram of a message, marked kDirect.
std::string encodeDatagram(capnp::MallocMessageBuilder &message);

void fillStatus(wire::Datagram::Builder root, const MeshOptions &options, const MeshStatus &status);

/// Times are sent as durations from now, since clocks differ.
void fillJob(wire::Job::Builder target, const Job &job, TimePoint now);
Job readJob(wire::Job::Reader source, std::uint64_t owner, TimePoint now);

void fillEndpoint(wire::EndpointEntry::Builder entry, const EndpointRecord &record);
/// Nothing when the entry names no endpoint or its address cannot be read.
std::optional<EndpointRecord> readEndpoint(wire::EndpointEntry::Reader entry);

void fillConfigChange(wire::ConfigChange::Builder target, const ConfigChange &change);
ConfigChange readConfigChange(wire::ConfigChange::Reader source);

std::vector<EndpointUpdate> readEndpointUpdates(capnp::List<wire::EndpointEntry>::Reader entries);

} // namespace cicadafork::gateway
