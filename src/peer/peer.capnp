# Messages between daemons. Fields are only ever added, with new numbers; a change that an older
# daemon must not misread raises protocolVersion.
@0xc6a5d1f09b7e3c42;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cicadafork::wire");

const protocolVersion :UInt32 = 2;
# Oldest version that this one can talk to.
const oldestVersion :UInt32 = 2;
# Version 1 reads a brief report as one of an endpoint without models.

interface Bootstrap {
  # The first message of a connection. Fails unless the member is known at the caller's address.
  hello @0 (version :UInt32, memberId :Text, incarnation :Text)
      -> (version :UInt32, memberId :Text, incarnation :Text, peer :Peer);
}

interface Peer {
  heartbeat @0 (digest :Digest) -> (reply :DigestReply);
  pushConfig @1 (update :Text) -> (nextOffset :UInt64);
  pullConfig @2 (from :UInt64) -> (update :Text);
  claim @3 (batch :Data) -> (outcome :Outcome);
  noteStream @4 (requestId :Text, endpointId :Text) -> ();
  # The endpoint id is empty when the stream is not known.
  findStream @5 (requestId :Text) -> (endpointId :Text);
  runQuery @6 (text :Text) -> (outcome :Outcome);
  dump @7 () -> (outcome :Outcome);
}

struct Outcome {
  union {
    value @0 :Data;
    error @1 :Error;
  }
}

struct Error {
  code @0 :UInt16;
  message @1 :Text;
  remedy @2 :Text;
}

struct EndpointStatus {
  incarnation @0 :Text;
  leaving @1 :Bool;
  role @2 :Text;
  models @3 :List(Text);
  running @4 :UInt32;
  waiting @5 :UInt32;
  waitingTokens @6 :UInt64;
  kvUsedTokens @7 :UInt64;
  kvCapacityTokens @8 :UInt64;
  reportedAtMs @9 :Int64;
}

struct EndpointReport {
  endpointId @0 :Text;
  ageMs @1 :UInt32;
  status @2 :EndpointStatus;
  # The status lacks incarnation, role, models and capacity: they are those with this hash.
  brief @3 :Bool;
  detailsHash @4 :UInt64;
}

struct SentLoad {
  endpointId @0 :Text;
  requests @1 :UInt32;
  tokens @2 :UInt64;
}

struct MemberSummary {
  id @0 :Text;
  incarnation @1 :Text;
  ageMs @2 :UInt32;
  leaving @3 :Bool;
  configOffset @4 :UInt64;
}

struct Digest {
  memberId @0 :Text;
  incarnation @1 :Text;
  sequence @2 :UInt64;
  leaving @3 :Bool;
  intervalMs @4 :UInt32;
  configOffset @5 :UInt64;
  requestsInProgress @6 :UInt32;
  echoIncarnation @7 :Text;
  echoClockMs @8 :Int64;
  echoAgeMs @9 :UInt32;
  reports @10 :List(EndpointReport);
  sent @11 :List(SentLoad);
  members @12 :List(MemberSummary);
}

struct DigestReply {
  incarnation @0 :Text;
  clockMs @1 :Int64;
  configOffset @2 :UInt64;
}
