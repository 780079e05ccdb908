/**
 * Messages between the system's own processes. Each frame is a length of four bytes, big-endian,
 * and one Frame in Thrift's compact protocol.
 */
namespace cpp greengageseam.wire

/** First message of both sides. The nonce is answered by a Proof. */
struct Hello {
  1: i32 protocolVersion;
  2: string role;
  3: string instance;
  4: string zone;
  5: string nonce;
}

/** Shows that the sender knows the shared secret. */
struct Proof {
  1: string mac;
}

/** Opens a stream: one attempt to run a request. */
struct Open {
  1: string attempt;
  2: string request;
  3: string model;
  4: string manifest;
  5: string serviceName;
  6: string method;
  7: string path;
  8: string contentType;
  9: binary body;
  /** Time that is left, in microseconds. */
  10: i64 timeLeft;
  11: i32 priority;
  12: i64 window;
  /** Offset of the claim of a call that must not be repeated; 0 without one. */
  13: i64 claimOffset;
  /** Incarnation of the agent that the attempt is meant for; 0 means any. */
  14: i64 incarnation;
}

/** The backend server's answer begins. */
struct Head {
  1: i32 status;
  2: string contentType;
}

struct Data {
  1: binary bytes;
}

/** The whole answer has been sent. */
struct End {
  1: i64 length;
  2: i64 checksum;
}

struct Failed {
  1: string kind;
  2: string ran;
  3: string detail;
}

/** The receiver has room for so many more bytes. */
struct Credit {
  1: i64 bytes;
}

struct Cancel {
  1: string attempt;
}

/** Whether the attempt ran, as the agent's ledger says. */
struct CancelSeen {
  1: string ran;
}

struct HeartbeatBody {
  1: string instance;
  2: string zone;
  3: string peerAddress;
  4: i32 kind;
  5: string serviceName;
  6: i64 incarnation;
  7: i64 sequence;
  8: i64 startedAt;
  9: bool draining;
  10: list<binary> serving;
  11: list<binary> holding;
  12: i32 slots;
  13: i32 inFlight;
  14: i32 queued;
  15: i64 appliedConfig;
  16: binary tableDigest;
  17: i64 originBytes;
  18: string trouble;
}

/** Answer to a heartbeat: what the agent needs of its zone. */
struct HeartbeatAck {
  1: i64 sequence;
  2: list<HeartbeatBody> neighbours;
  /** An operator told the agent to drain. */
  3: bool drain;
}

/** Records of the configuration log, or a snapshot, each as the text that stands in the log. */
struct ConfigPush {
  1: i64 firstOffset;
  2: list<string> records;
  3: string snapshot;
}

struct ChunkWanted {
  1: binary digest;
}

struct ChunkPart {
  1: binary bytes;
  2: bool last;
}

/** Sign of life between entries. */
struct EntryAlive {
}

/** Which chunks of a manifest the sender offers, a bit for each. */
struct Have {
  1: binary manifest;
  2: binary bits;
  3: i64 servedBytes;
  /** The receiver is to answer with its own. */
  4: bool wanted;
}

union Body {
  1: Hello hello;
  2: Proof proof;
  3: Open open;
  4: Head head;
  5: Data data;
  6: End answerEnd;
  7: Failed failed;
  8: Credit credit;
  9: Cancel cancel;
  10: CancelSeen cancelSeen;
  11: HeartbeatBody heartbeat;
  12: HeartbeatAck heartbeatAck;
  13: ConfigPush configPush;
  14: ChunkWanted chunkWanted;
  15: ChunkPart chunkPart;
  20: EntryAlive entryAlive;
  50: Have have;
}

/** Stream 0 belongs to the link; the side that opened the link numbers the others. */
struct Frame {
  1: i64 stream;
  2: Body body;
}
