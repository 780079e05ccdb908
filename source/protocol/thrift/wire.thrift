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

/** Start of an agent's process and its monotonic clock, both in microseconds. */
struct Stamp {
  1: i64 startedAt;
  2: i64 clock;
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
  /** The agent's clock as the entry last heard it, in microseconds. */
  40: Stamp stamp;
  /** Key of the claim, as hexadecimal digits; empty without one. */
  41: string claimKey;
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
  40: Stamp stamp;
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
  /** Up to where the agent knows its neighbours; only in heartbeats. */
  19: optional i64 knownEpoch;
  20: optional i64 knownRevision;
  /** The agent's monotonic clock in microseconds. */
  40: i64 clock;
}

/** Changes of members between two revisions of one sender. */
struct MemberChanges {
  1: i64 epoch;
  /** 0 means that the changes are the whole. */
  2: i64 fromRevision;
  3: i64 toRevision;
  4: optional list<HeartbeatBody> changed;
  5: optional list<string> gone;
}

/** Answer to a heartbeat: what the agent needs of its zone. */
struct HeartbeatAck {
  1: i64 sequence;
  2: MemberChanges neighbours;
  /** An operator told the agent to drain. */
  3: optional bool drain;
  4: optional bool warm;
  /** Incarnation of a later process in the agent's slot. */
  5: optional i64 supersededBy;
}

/** Records of the configuration log, or a snapshot, each as the text that stands in the log. */
struct ConfigPush {
  1: i64 firstOffset;
  2: list<string> records;
  3: string snapshot;
  /** Identity of the log that the records stand in. */
  4: string logId;
}

/** Tells other entries which offset is in force. */
struct ConfigApplied {
  1: i64 appliedConfig;
}

/** Asks a peer that is ahead for its snapshot. */
struct ConfigWanted {
  1: i64 appliedConfig;
}

struct ChunkWanted {
  1: binary digest;
}

struct ChunkPart {
  1: binary bytes;
  2: bool last;
}

/** Asks a peer for the list of a version's pieces. */
struct ListWanted {
  1: string model;
  2: i64 version;
}

struct PieceList {
  1: string model;
  2: i64 version;
  3: i64 pieceBytes;
  4: list<binary> digests;
}

/** Asks an entry for the records of a topic of the platform's store. */
struct TopicWanted {
  1: string topic;
  2: i64 fromOffset;
  /** How long the answer may wait for new records, in microseconds. */
  3: i64 wait;
  /** Era of the store to which the offset belongs; absent if the store names none. */
  4: optional i64 era;
}

/** A record of a topic; without a value it removes the key. */
struct TopicRecord {
  1: string key;
  2: optional binary value;
}

struct TopicRecords {
  1: list<TopicRecord> records;
}

/** Part of the answer: TopicRecords in Thrift's compact protocol, cut into parts. */
struct TopicPart {
  /** False if the sender does not know the topic, or not well enough; then this is the only part. */
  1: bool available;
  /** The records are the newest ones of all keys, not only of those that have changed. */
  2: bool whole;
  3: i64 endOffset;
  4: binary bytes;
  5: bool last;
  /** The sender is reading the topic; then this is the only part. */
  6: bool pending;
  /** As of when the answer is complete, in microseconds from the arrival of the request. */
  7: i64 completeAsOf;
  /** Era of the store to which endOffset belongs; absent if the store names none. */
  8: optional i64 era;
}

/** Sign of life between entries. */
struct EntryAlive {
}

struct ConfigMark {
  1: i64 applied;
  2: binary tableDigest;
}

/** Sign of life of one agent. */
struct MemberPulse {
  1: i32 tag;
  2: i64 sequence;
  3: optional i32 inFlight;
  4: optional i32 queued;
  5: optional i32 configMark;
  6: optional i32 originUnits;
  /** The agent's monotonic clock in microseconds. */
  7: i64 clock;
}

struct DrainOrder {
  1: string instance;
  2: i64 startedAt;
}

/** What an entry tells the others of its zone. */
struct ZoneDigest {
  1: MemberChanges changes;
  2: list<ConfigMark> configs;
  3: list<MemberPulse> pulses;
  4: optional list<DrainOrder> drains;
  /** Instances that the list calls leaving, and since when. */
  5: optional list<DrainOrder> leaving;
}

struct DigestWanted {
}

struct ZoneCapacity {
  /** First bytes of the manifest's digest. */
  1: optional binary manifest;
  2: optional string serviceName;
  3: i32 usable;
  4: optional i32 inFlight;
  5: optional i32 queued;
}

/** What one zone tells another of itself. */
struct ZoneSummary {
  1: string zone;
  2: i64 madeAt;
  3: list<ZoneCapacity> capacities;
}

/** Which chunks of a manifest the sender offers, a bit for each. */
struct Have {
  1: binary manifest;
  2: binary bits;
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
  60: ConfigWanted configWanted;
  61: ConfigApplied configApplied;
  21: ZoneDigest zoneDigest;
  22: DigestWanted digestWanted;
  23: ZoneSummary zoneSummary;
  50: Have have;
  51: ListWanted listWanted;
  52: PieceList pieceList;
  53: TopicWanted topicWanted;
  54: TopicPart topicPart;
}

/** Stream 0 belongs to the link; the side that opened the link numbers the others. */
struct Frame {
  1: i64 stream;
  2: Body body;
}

struct NamedVersion {
  1: string model;
  2: i64 version;
  /** How long ago it was named, by the sender's estimate; absent if the sender does not say. */
  3: optional i32 ageMs;
}

/** A backend server of the list. */
struct ReplicaSeen {
  1: string id;
  2: string serviceName;
  3: string address;
  4: string zone;
  5: i32 slots;
  6: bool draining;
  7: i64 bornMs;
  8: string model;
  9: i64 version;
  10: optional i32 layersFrom;
  11: optional i32 layersTo;
  12: optional i64 layersVersion;
  13: optional i64 remainingColdMs;
}

/** Datagram between the entries of a zone: what a read of the list of backend servers brought. */
struct ListPassed {
  1: i64 fromOffset;
  2: i64 nextOffset;
  3: list<ReplicaSeen> changed;
  4: list<string> removed;
  /** Age of what the sender knows of the list, in microseconds. */
  5: i64 viewAge;
  /** Era of the store to which the offsets belong; absent if the store names none. */
  6: optional i64 era;
}

/** A part of what was passed on of the list; a receiver that does not know parts reads the list itself. */
struct ListPart {
  1: ListPassed passed;
  /** Number of this part, from 0, and how many there are. */
  2: i32 part;
  3: i32 partCount;
}

/** Requests that callers made at an entry for one service in the last second. */
struct ServiceDemand {
  1: string serviceName;
  2: i32 arrivals;
  /** Those of them that were turned away. */
  3: i32 turnedAway;
}

/** Datagram of an entry to an agent: send reports of load here for a while. */
struct LoadWanted {
  1: string instance;
  2: string zone;
  /** Checksum of the entries that the sender knows of. */
  3: i64 known;
  /** What the sender knows of the operator's doings; grows with each of them. */
  4: i64 news;
  /** The newest weights that the sender knows to be named, one for each model. */
  5: list<NamedVersion> named;
  /** Age in microseconds of what the sender knows of the operator's doings. */
  6: optional i64 viewAge;
  /** Whether the receiver is to answer with the entries that it has heard of, if they are others; absent means yes. */
  7: optional bool entriesWanted;
  8: optional list<ServiceDemand> demands;
  /** Era of the store to which news belongs; absent if the store names none. */
  9: optional i64 era;
}

/** An entry, as an agent has heard of it. */
struct EntrySite {
  1: string instance;
  2: string zone;
  3: string ip;
}

/** Datagram of an agent to an entry: the entries that the agent has heard of. */
struct EntriesSeen {
  1: list<EntrySite> entries;
}

/** Datagram of an agent to an entry: what the backend server beside it reports. */
struct LoadSeen {
  1: string backend;
  2: i64 bornMs;
  3: i64 weights;
  4: bool isOrderBusy;
  5: i32 waiting;
  6: i32 running;
  /** In thousandths. */
  7: i32 pace;
  /** Checksum of the entries that the sender knows of. */
  8: i64 known;
  /** What the sender has heard of the operator's doings; grows with each of them. */
  9: i64 news;
  /** Age in microseconds of the newest view of the operator's doings that the sender was told of. */
  10: optional i64 viewAge;
  /** Requests that the receiver may send until the next report while the backend server is contended. */
  11: optional i32 credits;
  /** How much longer the backend server stays cold, in milliseconds; absent if it is warm. */
  12: optional i64 remainingColdMs;
  /** The sender's monotonic clock in microseconds; only while the backend server is cold. */
  13: optional i64 sentAt;
  /** Era of the store to which news belongs; absent if the store names none. */
  14: optional i64 era;
}

/** A named version of weights, as an agent has heard of it. */
struct VersionHeard {
  1: string model;
  2: i64 version;
  /** For how long the agent has known it, in milliseconds. */
  3: i32 ageMs;
}

/** Datagram of an agent to an entry: named weights that the entry has shown not to know. */
struct VersionsHeard {
  1: list<VersionHeard> versions;
}

/** A part of a prompt that was in flight at a backend server that crashed. */
struct SuspectSeen {
  1: string part;
  /** How long ago its request was lost, in milliseconds. */
  2: i32 ageMs;
  3: i32 depth;
  4: bool wasSound;
  5: bool cleared;
}

/** An incarnation of a backend server that crashed. */
struct CrashSeen {
  1: string replica;
  2: i64 bornMs;
  3: list<SuspectSeen> suspects;
}

/** Datagram between entries: crashes that the sender knows of. */
struct CrashesSeen {
  1: list<CrashSeen> crashes;
}

/** Datagram between entries: whether both know of the same crashes. */
struct CrashesKnown {
  1: i64 checksum;
  2: bool reply;
}

/** One datagram. */
union Datagram {
  1: LoadWanted loadWanted;
  2: LoadSeen loadSeen;
  3: EntriesSeen entriesSeen;
  4: ListPassed listPassed;
  5: VersionsHeard versionsHeard;
  6: CrashesSeen crashesSeen;
  7: CrashesKnown crashesKnown;
  8: ListPart listPart;
}
