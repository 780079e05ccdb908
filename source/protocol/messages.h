/**
 * Messages between the system's own processes, as values that tasks pass to each other.
 */
#pragma once

#include "core/common/common.h"
#include "core/fleet/pieces.h"
#include "core/membership/membership.h"
#include "core/membership/membertable.h"
#include "core/once/agenttimestamp.h"
#include "core/weights/chunkbits.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace greengageseam {

/** Version of the protocol; peers with another one are refused in the hello. */
constexpr std::int32_t protocolVersion = 1;

/** Number of a stream within a link; stream 0 belongs to the link itself. */
using StreamId = std::int64_t;

/** First message of both sides of a link. */
struct HelloMessage
{
    std::int32_t version = protocolVersion;
    std::string role;
    InstanceId instance;
    ZoneName zone;
    /** Random text that the other side has to answer with a proof. */
    std::string nonce;

    auto operator<=>(const HelloMessage &) const = default;
};

/** Shows that the sender knows the shared secret. */
struct ProofMessage
{
    Digest mac;

    auto operator<=>(const ProofMessage &) const = default;
};

/** Hands one attempt to run a request to an agent. */
struct OpenMessage
{
    AttemptId attempt;
    RequestId request;
    ModelName model;
    /** Version that has to serve the request; empty for a plain service. */
    Digest manifest;
    /** Plain service; empty for a model. */
    ServiceName service;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    /** Time until the caller's deadline. */
    Duration remainingTime {};
    std::int32_t priority = 1;
    /** Bytes that the receiver may send before it gets credit. */
    std::int64_t window = 0;
    /** Offset of the claim of a call that must not be repeated; 0 without one. */
    Offset claimOffset;
    /** Incarnation of the agent that the attempt is meant for; 0 means any. */
    Offset incarnation;
    /** The agent's clock as the entry knew it before it made the attempt, or its claim. */
    AgentTimestamp stamp;
    /** Key of the claim as text; empty without one. */
    std::string claimKey;

    auto operator<=>(const OpenMessage &) const = default;
};

/** The backend server's answer begins. */
struct HeadMessage
{
    std::int32_t status = 0;
    std::string contentType;

    auto operator<=>(const HeadMessage &) const = default;
};

/** Part of an answer. */
struct DataMessage
{
    std::string bytes;

    auto operator<=>(const DataMessage &) const = default;
};

/** The whole answer was sent; an answer without this mark is broken off. */
struct EndMessage
{
    std::int64_t length = 0;
    std::uint64_t checksum = 0;

    auto operator<=>(const EndMessage &) const = default;
};

/** The attempt failed. */
struct FailedMessage
{
    Failure failure;
    /** Whether the call ran; may say more than the failure's kind does. */
    ExecutionStatus ran = ExecutionStatus::Unknown;

    auto operator<=>(const FailedMessage &) const = default;
};

/** The receiver of a stream has room for so many more bytes. */
struct CreditMessage
{
    std::int64_t bytes = 0;

    auto operator<=>(const CreditMessage &) const = default;
};

/** The sender no longer wants the answer. An attempt that has not started then never will. */
struct CancelMessage
{
    AttemptId attempt;
    /** The stamp that the attempt carried. */
    AgentTimestamp stamp;

    auto operator<=>(const CancelMessage &) const = default;
};

/** Answer to a cancel. */
struct CancelAckMessage
{
    /** Whether the attempt ran, as the agent's ledger says. */
    ExecutionStatus ran = ExecutionStatus::Unknown;

    auto operator<=>(const CancelAckMessage &) const = default;
};

/** An agent tells of itself. */
struct HeartbeatMessage
{
    Heartbeat heartbeat;
    /** Life of the entry and revision up to which the agent knows its neighbours. */
    std::uint64_t knownEpoch = 0;
    std::uint64_t knownRevision = 0;

    auto operator<=>(const HeartbeatMessage &) const = default;
};

/** Answer to a heartbeat. */
struct HeartbeatAckMessage
{
    std::uint64_t sequence = 0;
    /** What changed among the agents of the zone since the revision that the agent knows. */
    MemberChanges neighbours;
    /** Whether an operator wants the agent to drain. */
    bool drain = false;
    /** Incarnation of a later process in the agent's slot; 0 without one. */
    Offset supersededBy;
    /** Whether the entry has had time to hear of the whole zone. */
    bool isWarm = false;

    auto operator<=>(const HeartbeatAckMessage &) const = default;
};

/** Configuration for an agent, each record as the text that stands in the platform's log. */
struct ConfigPushMessage
{
    Offset firstOffset;
    std::vector<std::string> records;
    /** A whole snapshot as text; empty if the records suffice. */
    std::string snapshot;
    /** Identity of the log that the records stand in. */
    std::string logId;

    auto operator<=>(const ConfigPushMessage &) const = default;
};

/** Tells other entries which offset is in force at the sender. */
struct ConfigAppliedMessage
{
    Offset appliedOffset;

    auto operator<=>(const ConfigAppliedMessage &) const = default;
};

/** Asks a peer that is ahead for its snapshot; it comes as a ConfigPushMessage. */
struct ConfigRequestMessage
{
    /** What is in force at the asker. */
    Offset appliedOffset;

    auto operator<=>(const ConfigRequestMessage &) const = default;
};

/** Asks a peer for a chunk of weights. */
struct ChunkRequestMessage
{
    Digest digest;

    auto operator<=>(const ChunkRequestMessage &) const = default;
};

/** Part of a chunk. */
struct ChunkPartMessage
{
    std::string bytes;
    bool isLast = false;

    auto operator<=>(const ChunkPartMessage &) const = default;
};

/** Asks a peer for the list of a version's pieces; it answers once it has it. */
struct PieceListRequestMessage
{
    ModelName model;
    std::uint64_t version = 0;

    auto operator<=>(const PieceListRequestMessage &) const = default;
};

/** The list of a version's pieces. */
struct PieceListMessage
{
    PieceList list;

    auto operator<=>(const PieceListMessage &) const = default;
};

/** Sign of life between entries. */
struct EntryKeepAliveMessage
{
    auto operator<=>(const EntryKeepAliveMessage &) const = default;
};

/** An entry tells the others of its zone of the agents that it hears. */
struct ZoneDigestMessage
{
    ZoneDigest digest;

    auto operator<=>(const ZoneDigestMessage &) const = default;
};

/** The sender missed digests and asks for the whole. */
struct ZoneDigestRequestMessage
{
    auto operator<=>(const ZoneDigestRequestMessage &) const = default;
};

/** What one zone tells another of itself. */
struct ZoneSummaryMessage
{
    ZoneSummary summary;

    auto operator<=>(const ZoneSummaryMessage &) const = default;
};

/** Says which chunks of a manifest an agent offers to its peers. */
struct HaveMessage
{
    Digest manifest;
    ChunkBits bits;
    /** Whether the receiver is to answer with its own. */
    bool isReplyRequested = false;

    auto operator<=>(const HaveMessage &) const = default;
};

/** Any message. */
using Message =
        std::variant<HelloMessage, ProofMessage, OpenMessage, HeadMessage, DataMessage, EndMessage,
                     FailedMessage, CreditMessage, CancelMessage, CancelAckMessage,
                     HeartbeatMessage, HeartbeatAckMessage, ConfigPushMessage, ConfigAppliedMessage,
                     ConfigRequestMessage, ChunkRequestMessage, ChunkPartMessage,
                     EntryKeepAliveMessage, ZoneDigestMessage, ZoneDigestRequestMessage,
                     ZoneSummaryMessage, HaveMessage, PieceListRequestMessage, PieceListMessage>;

/** A message with the stream that it belongs to. */
struct StreamMessage
{
    StreamId stream = 0;
    Message message;

    auto operator<=>(const StreamMessage &) const = default;
};

} // namespace greengageseam
