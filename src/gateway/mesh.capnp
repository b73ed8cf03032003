# Datagrams between gateway daemons. Each datagram is self-contained. The sender's next full list of
# jobs corrects the effects of datagrams that were lost, late or duplicated.
@0xb1f0c3a27de94856;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cicadafork::gateway::wire");

struct Part {
  endpoint @0 :UInt64;
  readMicros @1 :UInt32;
  writes @2 :Bool;
  memoryTokens @3 :UInt32;
}

struct Job {
  number @0 :UInt32;
  promptTokens @1 :UInt32;
  answerTokens @2 :UInt32;
  maxEventGapMs @3 :UInt32;
  # Time until the prefill is expected to end, counted from the sending of the datagram.
  readInMicros @4 :UInt32;
  started @5 :Bool;
  parts @6 :List(Part);
  # Time until its first event is due, counted likewise.
  dueInMicros @7 :UInt32;
  # Hash of the name of the workspace that it belongs to; 0 for none.
  workspace @8 :UInt32;
}

struct Member {
  name @0 :Text;
  ip @1 :Text;
}

struct EndpointEntry {
  id @0 :Text;
  bornMs @1 :Int64;
  service @2 :Text;
  address @3 :Text;
  failureDomain @4 :Text;
  slots @5 :UInt32;
  draining @6 :Bool;
  # The endpoint was removed; only id, bornMs, revision, storeEra and goneMs are set.
  gone @7 :Bool;
  # Rises with each write of the endpoint.
  revision @8 :UInt64;
  # Era of the platform's store in which this was read.
  storeEra @9 :UInt64;
  # Time since it was removed.
  goneMs @10 :UInt32;
  # Time for which it is still cold when this is sent; 0 if it is not. With revision 0, it has just
  # said so in an answer to the sender, and the entry says nothing else.
  coldMs @11 :UInt32;
}

# Load of an endpoint of the sender's failure domain, as the sender knows it.
struct EndpointLoad {
  endpoint @0 :UInt64;
  sequences @1 :UInt32;
  decodingSequences @2 :UInt32;
  helperPrefills @3 :UInt32;
  pendingPrefillMicros @4 :UInt32;
  contextTokens @5 :UInt64;
  kvTokens @6 :UInt64;
  # 0 when there is no stream.
  shortestEventGapMs @7 :UInt32;
  # The largest value when no prefill is pending.
  prefillSlackMicros @8 :UInt32;
}

# The last order of the operators to evacuate a failure domain, or to end that.
struct Evacuation {
  failureDomain @0 :Text;
  # Position in the platform's store.
  era @1 :UInt64;
  offset @2 :UInt64;
  inForce @3 :Bool;
}

# The difference between two versions of the configuration.
struct ConfigChange {
  base @0 :UInt64;
  version @1 :UInt64;
  textHash @2 :UInt64;
  delta @3 :Data;
}

# An endpoint that has crashed.
struct EndpointCrash {
  endpoint @0 :UInt64;
  agoMs @1 :UInt32;
  # The shared parts of the prompt of each request that may have caused it.
  suspects @2 :List(List(UInt64));
  # Time since a request was last refused because of it.
  neededAgoMs @3 :UInt32;
  # The digest of each of these requests; 0 if only its parts are suspected.
  requests @4 :List(UInt64);
  # Digests of those that were sent to it after another endpoint had crashed with them.
  sentAgain @5 :List(UInt64);
}

# A limit of requests that an endpoint has stated, for all daemons together.
struct EndpointLimit {
  endpoint @0 :UInt64;
  requestsPerSecond @1 :Float64;
  # It states no limit any more.
  ended @2 :Bool;
  agoMs @3 :UInt32;
}

# A request that waits for an endpoint.
struct WaitingRank {
  priority @0 :Int32;
  # Time until the first event is late; negative if it is late already.
  dueInMicros @1 :Int64;
  # Random number that decides between requests that are due at about the same time.
  tie @2 :UInt32;
}

# Requests of the sender that wait for the endpoints of a service.
struct ServiceDemand {
  # Hash of the name.
  service @0 :UInt32;
  waiting @1 :UInt32;
  # Those that come first.
  first @2 :List(WaitingRank);
}

struct Datagram {
  # Name and failure domain are sent with full lists of jobs only.
  name @0 :Text;
  ip @1 :Text;
  failureDomain @2 :Text;
  # Random number chosen at the start of the sender's process.
  incarnation @3 :UInt64;
  configVersion @4 :UInt64;
  # Position in the platform's list of endpoints up to which the sender is current, and a digest of
  # the endpoints it knows.
  endpointsPosition @5 :UInt64;
  endpointsDigest @14 :UInt64;
  jobs @6 :List(Job);
  started @7 :List(UInt32);
  ended @8 :List(UInt32);
  # Jobs of the sender numbered coversFrom to coversTo (inclusive) that are not listed have ended.
  coversFrom @9 :UInt32;
  coversTo @10 :UInt32;
  # Some of the members that the sender knows; sent with full lists of jobs.
  members @11 :List(Member);
  # The sender is shutting down.
  leaving @12 :Bool;
  # The receiver must reply with its full list of jobs.
  wantsReply @13 :Bool;
  # The sender's last reads of the store got no answer.
  storeLost @16 :Bool;
  # Changes of endpoints that the sender has just read from the store.
  endpointChanges @15 :List(EndpointEntry);
  # The change of the configuration that the sender has just read from the store.
  configChange @17 :ConfigChange;
  # Sent to other failure domains of a large fleet, which do not hear of each job.
  loads @18 :List(EndpointLoad);
  # The era of endpointsPosition, and the newest era of the platform's store that the sender knows.
  endpointsEra @19 :UInt64;
  storeEra @20 :UInt64;
  # The sender keeps endpoints whose records are missing, so what it knows is not the state of the
  # store at endpointsPosition. The changes that it sends are.
  endpointsIncomplete @21 :Bool;
  # Keys of endpoints that have said that they leave. They are hashes of the id and the incarnation.
  leavingEndpoints @22 :List(UInt64);
  # All that the sender knows; sent with full lists of jobs, and when one has changed.
  evacuations @23 :List(Evacuation);
  # Those that the sender has just noticed; some of the ones that matter, with full lists of jobs.
  crashes @24 :List(EndpointCrash);
  # Parts of prompts on which an answer has just ended well.
  clearedParts @25 :List(UInt64);
  # Digests of requests of which an answer has just ended well.
  clearedRequests @27 :List(UInt64);
  # Those that have changed; some of all, with full lists of jobs.
  limits @26 :List(EndpointLimit);
  # The sender can connect to no endpoint of these services.
  servicesOutOfReach @28 :List(Text);
  # All requests of the sender that wait; absent if none does.
  demands @29 :List(ServiceDemand);
}

# The answer to a daemon that pulls missing state from a peer.
struct SharedState {
  configVersion @0 :UInt64;
  # The record as the platform stores it; empty when configChange is set or nothing is newer.
  configText @1 :Text;
  endpointsPosition @2 :UInt64;
  # All endpoints of the groups in endpointGroups, and those of them that have left lately.
  endpoints @3 :List(EndpointEntry);
  endpointGroups @4 :List(UInt8);
  configChange @5 :ConfigChange;
  endpointsEra @6 :UInt64;
}
