@0xd6a1f4b04c2e9f31;
# Entries of the streams `cell` and `intents`. Fields and record kinds are only
# added, never removed; a reader counts and skips kinds that it does not know.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rosemarytrail::state::schema");

struct Resources {
  millicores @0 :Int64;
  memoryMib @1 :Int64;
  accelerators @2 :Int64;
}

struct MemberJoined {
  member @0 :Text;
  peerAddress @1 :Text;
  apiAddress @2 :Text;
  region @3 :Text;
  zone @4 :Text;
  partitions @5 :UInt32;
}

struct MemberLeft {
  member @0 :Text;
}

struct DocumentPublished {
  name @0 :Text;
  replaces @1 :UInt64;
  content @2 :Text;
}

struct PartitionClaimed {
  partition @0 :UInt32;
  replaces @1 :UInt64;
}

struct VmAssigned {
  vm @0 :Text;
  partition @1 :UInt32;
  capacity @2 :Resources;
}

struct VmHandedOver {
  vm @0 :Text;
  from @1 :UInt32;
  epoch @2 :UInt64;
  to @3 :UInt32;
}

struct AllowanceHandedOver {
  team @0 :Text;
  from @1 :UInt32;
  epoch @2 :UInt64;
  to @3 :UInt32;
  amount @4 :Resources;
}

struct JobAccepted {
  job @0 :Text;
  team @1 :Text;
  partition @2 :UInt32;
  document @3 :Text;
  submission @4 :Text;
}

struct JobHandedOver {
  job @0 :Text;
  from @1 :UInt32;
  epoch @2 :UInt64;
  to @3 :UInt32;
}

struct JobCancelled {
  job @0 :Text;
}

struct TaskFinished {
  job @0 :Text;
  index @1 :UInt32;
  attempt @2 :UInt32;
  code @3 :UInt16;
}

struct TasksFinished {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  tasks @2 :List(TaskFinished);
}

struct JobRejected {
  job @0 :Text;
  partition @1 :UInt32;
  epoch @2 :UInt64;
  code @3 :UInt16;
}

struct VmDeclaredLost {
  vm @0 :Text;
}

struct IntentOpened {
  team @0 :Text;
  service @1 :Text;
  key @2 :Text;
  fingerprint @3 :UInt64;
}

struct IntentClosed {
  team @0 :Text;
  service @1 :Text;
  key @2 :Text;
  ran @3 :Bool;
  answered @4 :Bool;
  status @5 :UInt32;
  contentType @6 :Text;
  body @7 :Data;
}

struct PartitionSettled {
  partition @0 :UInt32;
  epoch @1 :UInt64;
}

struct Record {
  union {
    none @0 :Void;
    memberJoined @1 :MemberJoined;
    memberLeft @2 :MemberLeft;
    documentPublished @3 :DocumentPublished;
    partitionClaimed @4 :PartitionClaimed;
    vmAssigned @5 :VmAssigned;
    vmHandedOver @6 :VmHandedOver;
    allowanceHandedOver @7 :AllowanceHandedOver;
    jobAccepted @8 :JobAccepted;
    jobHandedOver @9 :JobHandedOver;
    jobCancelled @10 :JobCancelled;
    tasksFinished @11 :TasksFinished;
    jobRejected @12 :JobRejected;
    vmDeclaredLost @13 :VmDeclaredLost;
    intentOpened @14 :IntentOpened;
    intentClosed @15 :IntentClosed;
    partitionSettled @16 :PartitionSettled;
  }
}

struct Batch {
  # The version, writer and sequence fields are stable across versions.
  version @0 :UInt16;
  writer @1 :Text;
  sequence @2 :UInt64;
  records @3 :List(Record);
}
