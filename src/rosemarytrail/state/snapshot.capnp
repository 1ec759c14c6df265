@0xb3c7e2f1908d4a65;
# State of the cell after applying all entries before `nextOffset`.

using Cxx = import "/capnp/c++.capnp";
using Record = import "record.capnp";
$Cxx.namespace("rosemarytrail::state::schema");

struct Member {
  joined @0 :UInt64;
  details @1 :Record.MemberJoined;
}

struct MemberChange {
  number @0 :UInt64;
  member @1 :Text;
  region @2 :Text;
  kind @3 :UInt8;
}

struct FormerHolder {
  holder @0 :Text;
  epoch @1 :UInt64;
}

struct Partition {
  holder @0 :Text;
  epoch @1 :UInt64;
  settled @2 :Bool;
  former @3 :List(FormerHolder);
  formerLost @4 :Bool;
}

struct Vm {
  vm @0 :Text;
  partition @1 :UInt32;
  assigned @2 :UInt64;
  lost @3 :UInt64;
  capacity @4 :Record.Resources;
}

struct Document {
  name @0 :Text;
  content @1 :Text;
  revision @2 :UInt64;
}

struct Allowances {
  team @0 :Text;
  parts @1 :List(Record.Resources);
}

struct WithdrawnKey {
  key @0 :Text;
  hashes @1 :List(Text);
}

struct JobSpec {
  name @0 :Text;
  team @1 :Text;
  policy @2 :UInt8;
  service @3 :Text;
  tasks @4 :UInt32;
  request @5 :Record.Resources;
  runTimeUs @6 :Int64;
  urgent @7 :Bool;
  priority @8 :UInt8;
  maxAttempts @9 :UInt32;
  checkpointable @10 :Bool;
}

struct Job {
  job @0 :Text;
  spec @1 :JobSpec;
  submission @2 :Text;
  partition @3 :UInt32;
  accepted @4 :UInt64;
  phase @5 :UInt8;
  code @6 :UInt16;
  finished @7 :List(Outcome);
}

struct Outcome {
  index @0 :UInt32;
  code @1 :UInt16;
}

struct Writer {
  writer @0 :Text;
  sequence @1 :UInt64;
  offset @2 :UInt64;
}

struct Count {
  code @0 :UInt16;
  count @1 :UInt64;
}

struct Snapshot {
  version @0 :UInt16;
  nextOffset @1 :UInt64;
  members @2 :List(Member);
  partitions @3 :List(Partition);
  vms @4 :List(Vm);
  documents @5 :List(Document);
  allowances @6 :List(Allowances);
  withdrawn @7 :List(WithdrawnKey);
  # Ended jobs by time of their end, then open jobs by their record number.
  jobs @8 :List(Job);
  writers @9 :List(Writer);
  passedOver @10 :List(Count);
  historyBase @11 :List(MemberChange);
  history @12 :List(MemberChange);
  historyDropped @13 :UInt64;
}
