#pragma once

// Encodes and decodes the messages of mesh.capnp, which gateway daemons send each other.
//
//   fillJob(jobs[0], job, now);
//   const std::string bytes = encodeDatagram(message);
//   Job job = readJob(entry, sender, now);

#include "gateway/mesh.capnp.h"
#include "gateway/mesh.h"

#include <capnp/message.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadafork::gateway {

/// The first byte of a datagram: whether its receiver relays it within its failure domain.
inline constexpr char kDirect = 0;
inline constexpr char kRelay = 1;

/// Encodes the message as a datagram marked kDirect.
std::string encodeDatagram(capnp::MallocMessageBuilder &message);

void fillStatus(wire::Datagram::Builder root, const MeshOptions &options, const MeshStatus &status);

std::vector<overload::ServiceDemand> readDemands(wire::Datagram::Reader root, TimePoint now);

/// At most kMaxServicesOutOfReach.
std::set<std::string> readServicesOutOfReach(wire::Datagram::Reader root);

/// Times are encoded as durations from now, since the daemons' clocks differ.
void fillJob(wire::Job::Builder target, const Job &job, TimePoint now);
Job readJob(wire::Job::Reader source, std::uint64_t owner, TimePoint now);

void fillLoad(wire::EndpointLoad::Builder target, const ReportedLoad &load);
ReportedLoad readLoad(wire::EndpointLoad::Reader source);

void fillEndpoint(wire::EndpointEntry::Builder entry, const EndpointRecord &record);
/// Nothing when the entry has no endpoint id or its address cannot be parsed.
std::optional<EndpointRecord> readEndpoint(wire::EndpointEntry::Reader entry);

/// Writes nothing if there are none.
void fillEvacuations(wire::Datagram::Builder root, const Evacuations &evacuations);
/// At most kMaxEvacuations.
std::vector<Evacuation> readEvacuations(capnp::List<wire::Evacuation>::Reader entries);

void fillCrash(wire::EndpointCrash::Builder target, const EndpointCrash &crash, TimePoint now);
/// Reads no more parts than a crash may have.
EndpointCrash readCrash(wire::EndpointCrash::Reader source, TimePoint now);
/// Writes nothing if there are none.
void fillCrashes(wire::Datagram::Builder root, const std::vector<EndpointCrash> &crashes,
                 TimePoint now);
/// Writes the parts of prompts and the digests of whole requests into a list each.
void fillClearedParts(wire::Datagram::Builder root, const RequestParts &parts);
/// At most kMaxSuspectParts of each kind.
RequestParts readClearedParts(wire::Datagram::Reader root);

/// Writes nothing if there are none.
void fillLimits(wire::Datagram::Builder root, const std::vector<EndpointLimit> &limits,
                TimePoint now);
/// The entry says only for how long the endpoint is cold, as it has stated in an answer.
bool statesOnlyCold(const EndpointRecord &record);
EndpointLimit readLimit(wire::EndpointLimit::Reader source, TimePoint now);

void fillConfigChange(wire::ConfigChange::Builder target, const ConfigChange &change);
ConfigChange readConfigChange(wire::ConfigChange::Reader source);

void fillEndpointUpdate(wire::EndpointEntry::Builder entry, const EndpointUpdate &update);

/// Skips entries that readEndpoint() cannot decode.
std::vector<EndpointUpdate> readEndpointUpdates(capnp::List<wire::EndpointEntry>::Reader entries);

} // namespace cicadafork::gateway
