@0xd3f1c0a7b5e29481;
# Messages between dotterelwheel's own processes.

struct Head {
  generation @0 :UInt64;
  digest @1 :Text;
}

struct Job {
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  attempt @2 :UInt32;
  head @3 :Head;
  workspace @4 :Text;
  route @5 :Text;
  target :union {
    version :group {
      name @6 :Text;
      weights @7 :Text;
      digest @8 :Text;
    }
    model @9 :Text;
    service @10 :Text;
  }
  priority @11 :UInt8;
  leftMicros @12 :UInt64;
  claimed @13 :Bool;
  claim @14 :UInt64;
  row @15 :Text;
  path @16 :Text;
  stream @17 :Bool;
  prefix @18 :UInt64;
}

interface Sink {
  # Receives one answer. Chunks are numbered from 0 without gaps.
  begin @0 (status :UInt16, contentType :Text) -> stream;
  chunk @1 (seq :UInt64, data :Data) -> stream;
  end @2 (end :Data) -> ();
  # `end` is the JSON form of the attempt's end.
}

interface Peer {
  # Offered by every process on its peer address.
  hello @0 (secret :Data, name :Text, incarnation :UInt64) -> (session :Session);
}

interface Session {
  head @0 (head :Head) -> (head :Head);
  # Exchanges the heads in force; the one behind fetches.
  blob @1 (digest :Text) -> (found :Bool, data :Data);
  # Returns the manifest or bucket with this digest, if it is held.
  dispatch @2 (job :Job, body :Data, sink :Sink) -> ();
  # Returns once the job is accepted into the queue or has ended; the answer goes to the sink.
  settle @3 (requestHigh :UInt64, requestLow :UInt64, attempt :UInt32) -> (outcome :Data);
  # Tells what became of an attempt; one never seen is recorded as refused first.
  cancel @4 (requestHigh :UInt64, requestLow :UInt64, attempt :UInt32) -> ();
  report @5 (seen :UInt64) -> (report :Data);
  # Returns the agent's report, or nothing if its number is not above `seen`.
  permit @6 (ask :Data) -> (grant :Data);
  # Asks the permit coordinator for a load permit.
  release @7 (id :UInt64) -> ();
  # Returns a load permit.
  dump @8 () -> (state :Text);
  # Returns the process's state as JSON.
}
