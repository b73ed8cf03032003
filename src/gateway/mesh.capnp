# Datagrams between gateway daemons. Every datagram stands alone: one that is lost, late or repeated
# is repaired by the next full list of the sender's jobs.
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
  # Time until the prompt is expected to be read, from the sending of the datagram.
  readInMicros @4 :UInt32;
  started @5 :Bool;
  parts @6 :List(Part);
  # Time until its first event stops being on time.
  dueInMicros @7 :UInt32;
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
  # The endpoint has left; the other fields may be empty.
  gone @7 :Bool;
}

# How a version of the configuration differs from an earlier one.
struct ConfigChange {
  base @0 :UInt64;
  version @1 :UInt64;
  textHash @2 :UInt64;
  delta @3 :Data;
}

struct Datagram {
  # Name and failure domain come with full lists only.
  name @0 :Text;
  ip @1 :Text;
  failureDomain @2 :Text;
  # Random number of the sender's process.
  incarnation @3 :UInt64;
  configVersion @4 :UInt64;
  # Position in the platform's list of endpoints up to which the sender has read, and a digest of
  # the endpoints that it knows.
  endpointsPosition @5 :UInt64;
  endpointsDigest @14 :UInt64;
  jobs @6 :List(Job);
  started @7 :List(UInt32);
  ended @8 :List(UInt32);
  # Jobs of the sender with numbers from coversFrom to coversTo that are not listed have ended.
  coversFrom @9 :UInt32;
  coversTo @10 :UInt32;
  # Some of the members that the sender knows; sent with heartbeats.
  members @11 :List(Member);
  # The process ends soon.
  leaving @12 :Bool;
  # The receiver is asked to send a heartbeat back.
  wantsReply @13 :Bool;
  # The store did not answer the sender's last reads.
  storeLost @16 :Bool;
  # Changes of endpoints that the sender has just read.
  endpointChanges @15 :List(EndpointEntry);
  # The version of the configuration that the sender has just read.
  configChange @17 :ConfigChange;
}

# What a daemon that misses something takes from a peer.
struct SharedState {
  configVersion @0 :UInt64;
  # The record as the platform holds it; empty when the difference is there, or nothing is newer.
  configText @1 :Text;
  endpointsPosition @2 :UInt64;
  # All endpoints of the groups below.
  endpoints @3 :List(EndpointEntry);
  endpointGroups @4 :List(UInt8);
  configChange @5 :ConfigChange;
}
