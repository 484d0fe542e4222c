@0x9d5f2c7be1a84036;

# What operators ask a VM, and how VMs fetch documents from each other.
# Regenerate the C++ code after a change, from the folder of this file:
#     capnp compile -I/usr/include -oc++:generated control.capnp
# Fields may only be added, since two releases meet during a rollout.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cairnhead::control_schema");

enum VmState {
  joining @0;
  serving @1;
  leaving @2;
  viewExpired @3;
}

enum MemberStatus {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
}

enum FlowClass {
  feed @0;
  form @1;
  media @2;
}

enum Preference {
  continuity @0;
  balance @1;
}

enum Refusal {
  reset @0;
  http503 @1;
}

enum Condition {
  healthy @0;
  draining @1;
  shedding @2;
  failed @3;
}

enum Rule {
  ownPin @0;
  askOwner @1;
  askEarlierHolders @2;
  placeOpening @3;
  unknownDestination @4;
}

struct Endpoint {
  address @0 :UInt32;
  port @1 :UInt16;
  protocol @2 :UInt8;
}

struct DocumentStamp {
  name @0 :Text;
  version @1 :UInt64;
  # Below zero where it is not known.
  ageMilliseconds @2 :Int64 = -1;
}

struct PacketTotals {
  toUpstream @0 :UInt64;
  toPeer @1 :UInt64;
  dropped @2 :UInt64;
  refused @3 :UInt64;
}

struct Status {
  vm @0 :UInt32;
  failureDomain @1 :Text;
  state @2 :VmState;
  uptimeSeconds @3 :UInt64;
  pins @4 :UInt64;
  membersAlive @5 :UInt32;
  membersSuspect @6 :UInt32;
  membersDead @7 :UInt32;
  documents @8 :List(DocumentStamp);
  documentsGeneration @9 :UInt64;
  isReader @10 :Bool;
  packets @11 :PacketTotals;
  evacuatedDomains @12 :List(Text);
}

struct Member {
  vm @0 :UInt32;
  failureDomain @1 :Text;
  incarnation @2 :UInt64;
  status @3 :MemberStatus;
}

struct Service {
  name @0 :Text;
  address @1 :Endpoint;
  traffic @2 :FlowClass;
  prefer @3 :Preference;
  refusal @4 :Refusal;
  isIdempotent @5 :Bool;
  upstreams @6 :UInt32;
}

struct Upstream {
  id @0 :UInt32;
  name @1 :Text;
  failureDomain @2 :Text;
  flows @3 :UInt32;
  condition @4 :Condition;
  reportedLoadPermille @5 :UInt16;
  isEjected @6 :Bool;
  isCold @7 :Bool;
  slots @8 :UInt32;
  belief @9 :Belief;
}

enum Verdict {
  ready @0;
  avoided @1;
  unreachable @2;
  domainUnreachable @3;
  missing @4;
  gone @5;
  draining @6;
  evacuated @7;
  cold @8;
}

struct Belief {
  # Lengths of time are in milliseconds, below zero for none.
  verdict @0 :Verdict;
  loadPermille @1 :UInt32;
  unanswered @2 :UInt32;
  answeredAgo @3 :Int64 = -1;
  silentFor @4 :Int64 = -1;
  avoidedFor @5 :Int64 = -1;
  missingFor @6 :Int64 = -1;
  # An ejected upstream has the verdict "avoided" besides, as earlier releases
  # reject a verdict that they do not know.
  isEjected @7 :Bool;
  rating @8 :Rating;
}

struct Rating {
  # In thousandths of what is usual, of the answers, and of the slots.
  relativePermille @0 :UInt16;
  shortPermille @1 :UInt16;
  workPermille @2 :UInt16;
  isEjected @3 :Bool;
  # Milliseconds.
  inForceFor @4 :Int64;
}

struct Explanation {
  # An address of zero stands for "none".
  service @0 :Text;
  owner @1 :UInt32;
  backup @2 :UInt32;
  pinned @3 :UInt32;
  rule @4 :Rule;
  predicted @5 :UInt32;
  documentsGeneration @6 :UInt64;
  pool @7 :Text;
  candidates @8 :List(Upstream);
  wouldGet @9 :UInt32;
  documents @10 :List(DocumentStamp);
}

interface Control {
  status @0 () -> (status :Status);
  members @1 () -> (members :List(Member));
  services @2 () -> (services :List(Service));
  upstreams @3 () -> (upstreams :List(Upstream));
  explain @4 (source :Endpoint, destination :Endpoint)
      -> (explanation :Explanation);
}

enum FetchOutcome {
  found @0;
  # Not this version or a later one.
  notHeld @1;
  # The request's seal is not of an accepted key.
  notAuthentic @2;
  tooLarge @3;
}

interface Documents {
  # Seals are a key id, the purpose and a tag. That of the answer covers the
  # question with its nonce, so that an old answer fits no new question.
  # Of a registry's document, what changed after heldVersion may be given
  # instead of the whole; the seal need not cover it, as the text says so.
  fetch @0 (name :Text, leastVersion :UInt64, nonce :Data, seal :Data,
            heldVersion :UInt64)
      -> (outcome :FetchOutcome, version :UInt64, text :Data, seal :Data);
}
