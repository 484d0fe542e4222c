@0xb7c1d3a94e02f865;

# What entry VMs send each other over UDP. Regenerate the C++ code after a
# change, from the folder of this file:
#     capnp compile -I/usr/include -oc++:generated peer.capnp
# Fields may only be added, since VMs of two releases talk to each other while
# a release is rolled out.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cairnhead::peer_schema");

enum MemberStatus {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
}

enum PinState {
  opening @0;
  established @1;
  closing @2;
}

enum ListingKind {
  request @0;
  answer @1;
}

enum UpstreamCondition {
  healthy @0;
  draining @1;
  shedding @2;
  failed @3;
}

enum FrameRole {
  toOwner @0;
  storeBackup @1;
  secondChance @2;
  adopt @3;
  exhausted @4;
}

struct MemberUpdate {
  vm @0 :UInt32;
  domain @1 :UInt32;
  life @2 :UInt64;
  status @3 :MemberStatus;
}

struct PinClaim {
  flow @0 :UInt64;
  service @1 :UInt32;
  upstream @2 :UInt32;
  state @3 :PinState;
}

struct DocumentStamp {
  name @0 :Text;
  version @1 :UInt64;
}

struct UpstreamReport {
  upstream @0 :UInt32;
  ageMilliseconds @1 :UInt32;
  loadPermille @2 :UInt16;
  condition @3 :UpstreamCondition;
}

struct Ping {
  sequence @0 :UInt32;
  documentsDigest @1 :UInt64;
  updates @2 :List(MemberUpdate);
}

struct PingAnswer {
  sequence @0 :UInt32;
  subject @1 :UInt32;
  documentsDigest @2 :UInt64;
  updates @3 :List(MemberUpdate);
}

struct PingRequest {
  sequence @0 :UInt32;
  target @1 :UInt32;
  updates @2 :List(MemberUpdate);
}

struct MemberListing {
  kind @0 :ListingKind;
  members @1 :List(MemberUpdate);
}

struct DocumentListing {
  kind @0 :ListingKind;
  documents @1 :List(DocumentStamp);
  completeUpTo @2 :UInt64;
}

enum RegistryDocument {
  routes @0;
  upstreams @1;
  evacuations @2;
}

struct RegistryChange {
  document @0 :RegistryDocument;
  version @1 :UInt64;
  origin @2 :UInt32;
  text @3 :Data;
}

struct ReadingHeartbeat {
  documentsDigest @0 :UInt64;
  completeUpTo @1 :UInt64;
}

struct ReadingAttempt {
}

struct JoinRequest {
  domain @0 :UInt32;
  isReferred @1 :Bool;
  attempt @2 :UInt32;
  hasDocuments @3 :Bool;
}

struct JoinReferral {
  holders @0 :List(UInt32);
  isToRead @1 :Bool;
}

struct FlowLookup {
  flow @0 :UInt64;
  named @1 :UInt32;
  acknowledged @2 :UInt32;
}

struct FlowBinding {
  flow @0 :UInt64;
  upstream @1 :UInt32;
  acknowledged @2 :UInt32;
}

enum RequestOutcome {
  answered @0;
  shortAnswer @1;
  unanswered @2;
}

struct RequestObservation {
  upstream @0 :UInt32;
  answerMilliseconds @1 :UInt32;
  relativePermille @2 :UInt16;
  outcome @3 :RequestOutcome;
}

struct UpstreamObservationListing {
  observations @0 :List(RequestObservation);
  usualSampledPermille @1 :UInt16 = 1000;
  notableSampledPermille @2 :UInt16 = 1000;
}

struct AnnouncedRating {
  upstream @0 :UInt32;
  relativePermille @1 :UInt16;
  shortPermille @2 :UInt16;
  workPermille @3 :UInt16;
  lifetimeMilliseconds @4 :UInt16;
  isEjected @5 :Bool;
}

struct UpstreamRatingListing {
  origin @0 :UInt32;
  sequence @1 :UInt32;
  ratings @2 :List(AnnouncedRating);
}

struct ControlMessage {
  sender @0 :UInt32;
  union {
    # A message of a kind that this release does not know reads as an unknown
    # discriminant, and is refused.
    ping @1 :Ping;
    pingAnswer @2 :PingAnswer;
    pingRequest @3 :PingRequest;
    memberListing @4 :MemberListing;
    documentListing @5 :DocumentListing;
    pinBatch @6 :List(PinClaim);
    upstreamReports @7 :List(UpstreamReport);
    registryChange @8 :RegistryChange;
    readingHeartbeat @9 :ReadingHeartbeat;
    joinRequest @10 :JoinRequest;
    joinReferral @11 :JoinReferral;
    readingAttempt @12 :ReadingAttempt;
    flowLookup @13 :FlowLookup;
    flowBinding @14 :FlowBinding;
    upstreamObservations @15 :UpstreamObservationListing;
    upstreamRatings @16 :UpstreamRatingListing;
  }
}

struct FrameHeader {
  # The claim stands inline: a frame travels with each forwarded packet, and
  # a pointer would cost eight bytes more.
  sender @0 :UInt32;
  role @1 :FrameRole;
  hasClaim @2 :Bool;
  claimState @3 :UInt8;
  claimFlow @4 :UInt64;
  claimService @5 :UInt32;
  claimUpstream @6 :UInt32;
  visited @7 :List(UInt32);
}
