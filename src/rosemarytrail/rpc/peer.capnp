# Protocol between the daemons of a cell. The generated code is committed.
# To regenerate it, run in this directory:
#   capnp compile -oc++:generated peer.capnp
@0xd1c4f0a86b7e2935;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rosemarytrail::rpc::wire");

struct Resources {
  millicores @0 :Int64;
  memoryMib @1 :Int64;
  accelerators @2 :Int64;
}

struct TeamUsage {
  team @0 :Text;
  used @1 :Resources;
  queued @2 :Resources;
}

struct Endpoint {
  service @0 :Text;
  vm @1 :Text;
  zone @2 :Text;
  address @3 :Text;
  slots @4 :UInt32;
  connections @5 :UInt32;
  busySlots @6 :UInt32;
  leaving @7 :Bool;
}

struct PartitionSummary {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  free @2 :Resources;
  capacity @3 :Resources;
  largestRoom @4 :Resources;
  vms @5 :UInt32;
  queuedTasks @6 :UInt32;
  runningTasks @7 :UInt32;
  settled @8 :Bool;
  teams @9 :List(TeamUsage);
  endpoints @10 :List(Endpoint);
}

struct Heartbeat {
  sender @0 :Text;
  nextOffset @1 :UInt64;
  draining @2 :Bool;
  partitions @3 :List(PartitionSummary);
  # All partitions if `base` is zero, else those changed since heartbeat `base`.
  number @4 :UInt32;
  # Sequence number of the heartbeat in its direction of the connection.
  base @5 :UInt32;
  held @6 :List(UInt16);
  # Numbers of all partitions that the sender holds; empty if `base` is zero.
}

struct LogEntry {
  offset @0 :UInt64;
  payload @1 :Data;
}

struct JobStatus {
  job @0 :Text;
  name @1 :Text;
  team @2 :Text;
  policy @3 :Text;
  phase @4 :Text;
  partition @5 :UInt32;
  tasks @6 :UInt32;
  queued @7 :UInt32;
  running @8 :UInt32;
  succeeded @9 :UInt32;
  failed @10 :UInt32;
  waitsFor @11 :UInt16;
  waitDetail @12 :Text;
  waitsSinceMicroseconds @13 :Int64;
  fromHolder @14 :Bool;
  vms @15 :List(Text);
}

struct CancelOutcome {
  code @0 :UInt16;
  inEffect @1 :Bool;
  recorded @2 :Bool;
}

interface Peer {
  exchange @0 (mine :Heartbeat, full :Bool) -> (theirs :Heartbeat);
  # If `full` is set, the base of the response is zero.
  relay @1 (from :UInt64, bytes :UInt64) -> (entries :List(LogEntry));
  status @2 (job :Text) -> (held :Bool, status :JobStatus);
  cancel @3 (job :Text) -> (outcome :CancelOutcome);
}
