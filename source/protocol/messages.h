/**
 * Messages between the processes of the system, as immutable values.
 */
#pragma once

#include "core/common/common.h"
#include "core/fleet/pieces.h"
#include "core/fleet/topicposition.h"
#include "core/membership/membership.h"
#include "core/membership/membertable.h"
#include "core/once/agenttimestamp.h"
#include "core/weights/chunkbits.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace greengageseam {

/** Protocol version; the handshake rejects peers with a different version. */
constexpr std::int32_t protocolVersion = 1;

/** Number of a stream within a link. Stream 0 carries messages of the link as a whole. */
using StreamId = std::int64_t;

/** First handshake message, which both ends of a link send. */
struct HelloMessage
{
    std::int32_t version = protocolVersion;
    std::string role;
    InstanceId instance;
    ZoneName zone;
    /** Random challenge that the peer must include in its proof. */
    std::string nonce;

    auto operator<=>(const HelloMessage &) const = default;
};

/** Second handshake message: proves that the sender knows the shared secret. */
struct ProofMessage
{
    /** Message authentication code over the sender's hello and the peer's nonce. */
    Digest mac;

    auto operator<=>(const ProofMessage &) const = default;
};

/** Opens a stream: asks an agent to execute one attempt of a request. */
struct OpenMessage
{
    AttemptId attempt;
    RequestId request;
    ModelName model;
    /** Manifest of the version that must serve the request; empty for a plain service. */
    Digest manifest;
    /** Name of the plain service; empty for a model. */
    ServiceName service;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    /** Time remaining until the caller's deadline. */
    Duration remainingTime {};
    std::int32_t priority = 1;
    /** Initial flow-control window: bytes that the agent may send before it receives credit. */
    std::int64_t window = 0;
    /** Log offset of the claim of a non-idempotent request; 0 without a claim. */
    Offset claimOffset;
    /** Incarnation of the agent that may execute the attempt; 0 means any. */
    Offset incarnation;
    /** The agent's clock as last known to the entry before it created the attempt or its claim. */
    AgentTimestamp stamp;
    /** Key of the claim as text; empty without a claim. */
    std::string claimKey;

    auto operator<=>(const OpenMessage &) const = default;
};

/** Head of the backend server's response. */
struct HeadMessage
{
    std::int32_t status = 0;
    std::string contentType;

    auto operator<=>(const HeadMessage &) const = default;
};

/** Part of the response body. */
struct DataMessage
{
    std::string bytes;

    auto operator<=>(const DataMessage &) const = default;
};

/** Ends a complete response. A response without this message has been truncated. */
struct EndMessage
{
    /** Number of body bytes sent, for verification by the receiver. */
    std::int64_t length = 0;
    std::uint64_t checksum = 0;

    auto operator<=>(const EndMessage &) const = default;
};

/** Reports that the attempt failed. */
struct FailedMessage
{
    Failure failure;
    /** Whether the request was executed; may be more precise than the failure's kind implies. */
    ExecutionStatus ran = ExecutionStatus::Unknown;

    auto operator<=>(const FailedMessage &) const = default;
};

/** Flow control: extends the window, because the receiver has room for further bytes. */
struct CreditMessage
{
    std::int64_t bytes = 0;

    auto operator<=>(const CreditMessage &) const = default;
};

/** Cancels an attempt. If the attempt has not started, it never will. */
struct CancelMessage
{
    AttemptId attempt;
    /** Stamp of the attempt, as in its OpenMessage. */
    AgentTimestamp stamp;

    auto operator<=>(const CancelMessage &) const = default;
};

/** Response to a CancelMessage. */
struct CancelAckMessage
{
    /** Whether the attempt was executed, according to the agent's AttemptRegistry. */
    ExecutionStatus ran = ExecutionStatus::Unknown;

    auto operator<=>(const CancelAckMessage &) const = default;
};

/** Periodic status report of an agent. */
struct HeartbeatMessage
{
    Heartbeat heartbeat;
    /** Epoch of the entry, and its last revision of the neighbours that the agent has applied. */
    std::uint64_t knownEpoch = 0;
    std::uint64_t knownRevision = 0;

    auto operator<=>(const HeartbeatMessage &) const = default;
};

/** Response to a heartbeat. */
struct HeartbeatAckMessage
{
    std::uint64_t sequence = 0;
    /** Changes among the agents of the zone since the revision that the agent has. */
    MemberChanges neighbours;
    /** Whether an operator has ordered the agent to drain. */
    bool drain = false;
    /** Incarnation of a newer process that has taken over the agent's identity; 0 without one. */
    Offset supersededBy;
    /** Whether the entry has run long enough to have received heartbeats from the whole zone. */
    bool isWarm = false;

    auto operator<=>(const HeartbeatAckMessage &) const = default;
};

/** Sends configuration. Each record is the text as stored in the platform's log. */
struct ConfigPushMessage
{
    Offset firstOffset;
    std::vector<std::string> records;
    /** A complete snapshot as text; empty if the records suffice. */
    std::string snapshot;
    /** Identity of the log that contains the records. */
    std::string logId;

    auto operator<=>(const ConfigPushMessage &) const = default;
};

/** Announces to other entries which log offset the sender has applied. */
struct ConfigAppliedMessage
{
    Offset appliedOffset;

    auto operator<=>(const ConfigAppliedMessage &) const = default;
};

/** Requests a snapshot from a peer that is ahead; the response is a ConfigPushMessage. */
struct ConfigRequestMessage
{
    /** Log offset that the requester has applied. */
    Offset appliedOffset;

    auto operator<=>(const ConfigRequestMessage &) const = default;
};

/** Requests a chunk of weights from a peer. */
struct ChunkRequestMessage
{
    Digest digest;

    auto operator<=>(const ChunkRequestMessage &) const = default;
};

/** Part of a requested chunk. */
struct ChunkPartMessage
{
    std::string bytes;
    bool isLast = false;

    auto operator<=>(const ChunkPartMessage &) const = default;
};

/** Requests the list of a version's pieces; the peer responds as soon as it has the list. */
struct PieceListRequestMessage
{
    ModelName model;
    std::uint64_t version = 0;

    auto operator<=>(const PieceListRequestMessage &) const = default;
};

/** List of a version's pieces. */
struct PieceListMessage
{
    PieceList list;

    auto operator<=>(const PieceListMessage &) const = default;
};

/** Requests what has changed in a topic of the platform's store since a position. */
struct TopicRequestMessage
{
    /** Name of the topic in the log. */
    std::string topic;
    TopicPosition from;
    /** How long the peer may wait for records before it answers that there are none. */
    Duration wait {};

    auto operator<=>(const TopicRequestMessage &) const = default;
};

/** What a peer knows of a topic that it was asked for. */
enum class TopicAvailability {
    /** The peer does not know the topic, or its view is too old to be passed on. */
    Unavailable,
    /** The peer is reading the topic and will know it soon; its present view may be old. */
    Pending,
    /** The peer answers with its view. */
    Known
};

/** Part of the answer to a TopicRequestMessage. */
struct TopicPartMessage
{
    /** If the topic is not known, there are no further parts. */
    TopicAvailability availability = TopicAvailability::Unavailable;
    /** Whether the records are those of all keys. @see TopicChanges */
    bool isWhole = false;
    /** Position after the last record of the topic. */
    TopicPosition end;
    /** Part of the encoded records. @see encodeRecords */
    std::string bytes;
    bool isLast = false;
    /**
     * The time as of which the answer is complete, counted from the arrival of the request at the
     * peer, so that no clocks are compared. Negative if that was before the request arrived.
     */
    Duration completeAsOf {};

    auto operator<=>(const TopicPartMessage &) const = default;
};

/** Keep-alive between entries. */
struct EntryKeepAliveMessage
{
    auto operator<=>(const EntryKeepAliveMessage &) const = default;
};

/** Informs the other entries of the zone about the agents that send heartbeats to the sender. */
struct ZoneDigestMessage
{
    ZoneDigest digest;

    auto operator<=>(const ZoneDigestMessage &) const = default;
};

/** Requests a complete zone digest, because the sender has missed some. */
struct ZoneDigestRequestMessage
{
    auto operator<=>(const ZoneDigestRequestMessage &) const = default;
};

/** Summary of a zone's capacity for other zones. */
struct ZoneSummaryMessage
{
    ZoneSummary summary;

    auto operator<=>(const ZoneSummaryMessage &) const = default;
};

/** Announces which chunks of a manifest the agent offers to its peers. */
struct HaveMessage
{
    Digest manifest;
    ChunkBits bits;
    /** Whether the receiver should reply with a HaveMessage of its own. */
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
                     ZoneSummaryMessage, HaveMessage, PieceListRequestMessage, PieceListMessage,
                     TopicRequestMessage, TopicPartMessage>;

/** A message and the stream that it belongs to. */
struct StreamMessage
{
    StreamId stream = 0;
    Message message;

    auto operator<=>(const StreamMessage &) const = default;
};

} // namespace greengageseam
