#include "protocol/framecodec.h"

#include "core/common/hashing.h"
#include "protocol/generated/wire_types.h"
#include "protocol/membershipcodec.h"
#include "protocol/wireposition.h"

#include <memory>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace greengageseam {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr int maxNesting = 8;
constexpr unsigned byteBits = 8;
constexpr unsigned byteMask = 0xff;

wire::Stamp stampToWire(const AgentTimestamp &stamp)
{
    wire::Stamp wireStamp;
    wireStamp.startedAt = stamp.startedAt.time_since_epoch().count();
    wireStamp.clock = stamp.clock.time_since_epoch().count();
    return wireStamp;
}

AgentTimestamp stampFromWire(const wire::Stamp &stamp)
{
    return {WallTime(Duration(stamp.startedAt)), Instant(Duration(stamp.clock))};
}

ExecutionStatus parseRan(const std::string &name)
{
    if (name == textOf(ExecutionStatus::NotExecuted)) {
        return ExecutionStatus::NotExecuted;
    }
    return name == textOf(ExecutionStatus::Executed) ? ExecutionStatus::Executed
                                                     : ExecutionStatus::Unknown;
}

/** Encodes each type of message into its field of the Thrift union. */
class BodyEncoder
{
public:
    explicit BodyEncoder(wire::Body &body) : m_body(body) { }

    void operator()(const HelloMessage &message)
    {
        wire::Hello hello;
        hello.protocolVersion = message.version;
        hello.role = message.role;
        hello.instance = message.instance.text();
        hello.zone = message.zone.text();
        hello.nonce = message.nonce;
        m_body.__set_hello(hello);
    }

    void operator()(const ProofMessage &message)
    {
        wire::Proof proof;
        proof.mac = message.mac.text();
        m_body.__set_proof(proof);
    }

    void operator()(const OpenMessage &message)
    {
        wire::Open open;
        open.attempt = message.attempt.text();
        open.request = message.request.text();
        open.model = message.model.text();
        open.manifest = message.manifest.text();
        open.serviceName = message.service.text();
        open.method = message.method;
        open.path = message.path;
        open.contentType = message.contentType;
        open.body = message.body;
        open.timeLeft = message.remainingTime.count();
        open.priority = message.priority;
        open.window = message.window;
        open.claimOffset = toWire(message.claimOffset);
        open.incarnation = toWire(message.incarnation);
        open.__set_stamp(stampToWire(message.stamp));
        open.claimKey = message.claimKey;
        m_body.__set_open(open);
    }

    void operator()(const HeadMessage &message)
    {
        wire::Head head;
        head.status = message.status;
        head.contentType = message.contentType;
        m_body.__set_head(head);
    }

    void operator()(const DataMessage &message)
    {
        wire::Data data;
        data.bytes = message.bytes;
        m_body.__set_data(data);
    }

    void operator()(const EndMessage &message)
    {
        wire::End end;
        end.length = message.length;
        end.checksum = static_cast<std::int64_t>(message.checksum);
        m_body.__set_answerEnd(end);
    }

    void operator()(const FailedMessage &message)
    {
        wire::Failed failed;
        failed.kind = std::string(descriptorFor(message.failure.kind).name);
        failed.ran = std::string(textOf(message.ran));
        failed.detail = message.failure.detail;
        m_body.__set_failed(failed);
    }

    void operator()(const CreditMessage &message)
    {
        wire::Credit credit;
        credit.bytes = message.bytes;
        m_body.__set_credit(credit);
    }

    void operator()(const CancelMessage &message)
    {
        wire::Cancel cancel;
        cancel.attempt = message.attempt.text();
        cancel.__set_stamp(stampToWire(message.stamp));
        m_body.__set_cancel(cancel);
    }

    void operator()(const CancelAckMessage &message)
    {
        wire::CancelSeen seen;
        seen.ran = std::string(textOf(message.ran));
        m_body.__set_cancelSeen(seen);
    }

    void operator()(const HeartbeatMessage &message)
    {
        wire::HeartbeatBody body = toWire(message.heartbeat);
        body.__set_knownEpoch(static_cast<std::int64_t>(message.knownEpoch));
        body.__set_knownRevision(static_cast<std::int64_t>(message.knownRevision));
        m_body.__set_heartbeat(body);
    }

    void operator()(const HeartbeatAckMessage &message)
    {
        wire::HeartbeatAck ack;
        ack.sequence = static_cast<std::int64_t>(message.sequence);
        ack.neighbours = toWire(message.neighbours);
        ack.__set_drain(message.drain);
        ack.__set_warm(message.isWarm);
        ack.supersededBy = toWire(message.supersededBy);
        ack.__isset.supersededBy = message.supersededBy.value != 0;
        m_body.__set_heartbeatAck(ack);
    }

    void operator()(const ConfigPushMessage &message)
    {
        wire::ConfigPush push;
        push.firstOffset = toWire(message.firstOffset);
        push.records = message.records;
        push.snapshot = message.snapshot;
        push.logId = message.logId;
        m_body.__set_configPush(push);
    }

    void operator()(const ChunkRequestMessage &message)
    {
        wire::ChunkWanted wanted;
        wanted.digest = packDigest(message.digest);
        m_body.__set_chunkWanted(wanted);
    }

    void operator()(const ChunkPartMessage &message)
    {
        wire::ChunkPart part;
        part.bytes = message.bytes;
        part.last = message.isLast;
        m_body.__set_chunkPart(part);
    }

    void operator()(const PieceListRequestMessage &message)
    {
        wire::ListWanted wanted;
        wanted.model = message.model.text();
        wanted.version = static_cast<std::int64_t>(message.version);
        m_body.__set_listWanted(wanted);
    }

    void operator()(const PieceListMessage &message)
    {
        wire::PieceList list;
        list.model = message.list.model.text();
        list.version = static_cast<std::int64_t>(message.list.version);
        list.pieceBytes = static_cast<std::int64_t>(message.list.pieceBytes);
        list.digests = packDigests(message.list.digests);
        m_body.__set_pieceList(list);
    }

    void operator()(const TopicRequestMessage &message)
    {
        wire::TopicWanted wanted;
        wanted.topic = message.topic;
        wanted.fromOffset = static_cast<std::int64_t>(message.from.offset);
        setEra(wanted, message.from.era);
        wanted.wait = message.wait.count();
        m_body.__set_topicWanted(wanted);
    }

    void operator()(const TopicPartMessage &message)
    {
        wire::TopicPart part;
        part.available = message.availability == TopicAvailability::Known;
        part.pending = message.availability == TopicAvailability::Pending;
        part.whole = message.isWhole;
        part.endOffset = static_cast<std::int64_t>(message.end.offset);
        setEra(part, message.end.era);
        part.bytes = message.bytes;
        part.last = message.isLast;
        part.completeAsOf = message.completeAsOf.count();
        m_body.__set_topicPart(part);
    }

    void operator()(const EntryKeepAliveMessage &) { m_body.__set_entryAlive({}); }

    void operator()(const ConfigAppliedMessage &message)
    {
        wire::ConfigApplied applied;
        applied.appliedConfig = toWire(message.appliedOffset);
        m_body.__set_configApplied(applied);
    }

    void operator()(const ConfigRequestMessage &message)
    {
        wire::ConfigWanted wanted;
        wanted.appliedConfig = toWire(message.appliedOffset);
        m_body.__set_configWanted(wanted);
    }

    void operator()(const ZoneDigestMessage &message)
    {
        m_body.__set_zoneDigest(toWire(message.digest));
    }

    void operator()(const ZoneDigestRequestMessage &) { m_body.__set_digestWanted({}); }

    void operator()(const ZoneSummaryMessage &message)
    {
        m_body.__set_zoneSummary(toWire(message.summary));
    }

    void operator()(const HaveMessage &message)
    {
        wire::Have have;
        have.manifest = packDigest(message.manifest);
        have.bits = message.bits.packed();
        have.wanted = message.isReplyRequested;
        m_body.__set_have(have);
    }

private:
    wire::Body &m_body;
};

Message openFromWire(const wire::Open &open)
{
    OpenMessage message;
    message.attempt = AttemptId(open.attempt);
    message.request = RequestId(open.request);
    message.model = ModelName(open.model);
    message.manifest = Digest(open.manifest);
    message.service = ServiceName(open.serviceName);
    message.method = open.method;
    message.path = open.path;
    message.contentType = open.contentType;
    message.body = open.body;
    message.remainingTime = Duration(open.timeLeft);
    message.priority = open.priority;
    message.window = open.window;
    message.claimOffset = toOffset(open.claimOffset);
    message.incarnation = toOffset(open.incarnation);
    message.stamp = stampFromWire(open.stamp);
    message.claimKey = open.claimKey;
    return message;
}

Message heartbeatFromWire(const wire::HeartbeatBody &body)
{
    return HeartbeatMessage {fromWire(body), static_cast<std::uint64_t>(body.knownEpoch),
                             static_cast<std::uint64_t>(body.knownRevision)};
}

Message pieceListFromWire(const wire::PieceList &list)
{
    return PieceListMessage {{ModelName(list.model), static_cast<std::uint64_t>(list.version),
                              static_cast<std::uint64_t>(list.pieceBytes),
                              unpackDigests(list.digests)}};
}

Message topicRequestFromWire(const wire::TopicWanted &wanted)
{
    return TopicRequestMessage {wanted.topic, positionOf(wanted, wanted.fromOffset),
                                Duration(wanted.wait)};
}

Message topicPartFromWire(const wire::TopicPart &part)
{
    const TopicAvailability unknown =
            part.pending ? TopicAvailability::Pending : TopicAvailability::Unavailable;
    return TopicPartMessage {part.available ? TopicAvailability::Known : unknown,
                             part.whole,
                             positionOf(part, part.endOffset),
                             part.bytes,
                             part.last,
                             Duration(part.completeAsOf)};
}

Message ackFromWire(const wire::HeartbeatAck &ack)
{
    return HeartbeatAckMessage {static_cast<std::uint64_t>(ack.sequence), fromWire(ack.neighbours),
                                ack.drain, toOffset(ack.supersededBy), ack.warm};
}

Result<Message> messageFromWire(const wire::Body &body)
{
    const auto &isset = body.__isset;
    if (isset.hello) {
        return HelloMessage {body.hello.protocolVersion, body.hello.role,
                             InstanceId(body.hello.instance), ZoneName(body.hello.zone),
                             body.hello.nonce};
    }
    if (isset.proof) {
        return ProofMessage {Digest(body.proof.mac)};
    }
    if (isset.open) {
        return openFromWire(body.open);
    }
    if (isset.head) {
        return HeadMessage {body.head.status, body.head.contentType};
    }
    if (isset.data) {
        return DataMessage {body.data.bytes};
    }
    if (isset.answerEnd) {
        return EndMessage {body.answerEnd.length,
                           static_cast<std::uint64_t>(body.answerEnd.checksum)};
    }
    if (isset.failed) {
        return FailedMessage {{errorKindFromName(body.failed.kind), body.failed.detail},
                              parseRan(body.failed.ran)};
    }
    if (isset.credit) {
        return CreditMessage {body.credit.bytes};
    }
    if (isset.cancel) {
        return CancelMessage {AttemptId(body.cancel.attempt), stampFromWire(body.cancel.stamp)};
    }
    if (isset.cancelSeen) {
        return CancelAckMessage {parseRan(body.cancelSeen.ran)};
    }
    if (isset.heartbeat) {
        return heartbeatFromWire(body.heartbeat);
    }
    if (isset.heartbeatAck) {
        return ackFromWire(body.heartbeatAck);
    }
    if (isset.configPush) {
        return ConfigPushMessage {toOffset(body.configPush.firstOffset), body.configPush.records,
                                  body.configPush.snapshot, body.configPush.logId};
    }
    if (isset.chunkWanted) {
        return ChunkRequestMessage {unpackDigest(body.chunkWanted.digest)};
    }
    if (isset.chunkPart) {
        return ChunkPartMessage {body.chunkPart.bytes, body.chunkPart.last};
    }
    if (isset.listWanted) {
        return PieceListRequestMessage {ModelName(body.listWanted.model),
                                        static_cast<std::uint64_t>(body.listWanted.version)};
    }
    if (isset.pieceList) {
        return pieceListFromWire(body.pieceList);
    }
    if (isset.topicWanted) {
        return topicRequestFromWire(body.topicWanted);
    }
    if (isset.topicPart) {
        return topicPartFromWire(body.topicPart);
    }
    if (isset.entryAlive) {
        return EntryKeepAliveMessage {};
    }
    if (isset.configWanted) {
        return ConfigRequestMessage {toOffset(body.configWanted.appliedConfig)};
    }
    if (isset.configApplied) {
        return ConfigAppliedMessage {toOffset(body.configApplied.appliedConfig)};
    }
    if (isset.zoneDigest) {
        return ZoneDigestMessage {fromWire(body.zoneDigest)};
    }
    if (isset.digestWanted) {
        return ZoneDigestRequestMessage {};
    }
    if (isset.zoneSummary) {
        return ZoneSummaryMessage {fromWire(body.zoneSummary)};
    }
    if (isset.have) {
        return HaveMessage {unpackDigest(body.have.manifest), ChunkBits(body.have.bits),
                            body.have.wanted};
    }
    return fail(ErrorKind::ProtocolViolation, "a frame contains no known message");
}

std::shared_ptr<TConfiguration> boundedThriftConfiguration()
{
    return std::make_shared<TConfiguration>(static_cast<int>(maxFrameBytes),
                                            static_cast<int>(maxFrameBytes), maxNesting);
}

} // namespace

std::string encodeFrame(const StreamMessage &message)
{
    wire::Frame frame;
    frame.stream = message.stream;
    std::visit(BodyEncoder(frame.body), message.message);
    frame.__isset.body = true;
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    frame.write(&protocol);
    const std::string bytes = buffer->getBufferAsString();
    std::string framed;
    framed.reserve(frameHeaderBytes + bytes.size());
    for (std::size_t i = frameHeaderBytes; i > 0; --i) {
        framed.push_back(static_cast<char>(bytes.size() >> (byteBits * (i - 1)) & byteMask));
    }
    return framed + bytes;
}

Result<std::size_t> frameLength(const FrameHeader &header)
{
    std::size_t n = 0;
    for (const unsigned char byte : header) {
        n = n << byteBits | byte;
    }
    if (n == 0 || n > maxFrameBytes) {
        return fail(ErrorKind::ProtocolViolation,
                    "a frame of " + std::to_string(n) + " bytes; the allowed range is 1 to "
                            + std::to_string(maxFrameBytes));
    }
    return n;
}

Result<StreamMessage> decodeFrame(std::string_view bytes)
{
    const auto buffer = std::make_shared<TMemoryBuffer>(boundedThriftConfiguration());
    buffer->resetBuffer(reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())),
                        static_cast<std::uint32_t>(bytes.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    wire::Frame frame;
    try {
        frame.read(&protocol);
    } catch (const std::exception &e) {
        return fail(ErrorKind::ProtocolViolation, std::string("malformed frame: ") + e.what());
    }
    BOOST_LEAF_AUTO(message, messageFromWire(frame.body));
    return StreamMessage {frame.stream, std::move(message)};
}

std::string encodeRecords(const std::vector<KeyedRecord> &records)
{
    wire::TopicRecords wireRecords;
    for (const KeyedRecord &record : records) {
        wire::TopicRecord &wireRecord = wireRecords.records.emplace_back();
        wireRecord.key = record.key;
        if (record.value) {
            wireRecord.__set_value(*record.value);
        }
    }
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    wireRecords.write(&protocol);
    return buffer->getBufferAsString();
}

Result<std::vector<KeyedRecord>> decodeRecords(std::string_view bytes)
{
    const auto buffer = std::make_shared<TMemoryBuffer>(boundedThriftConfiguration());
    buffer->resetBuffer(reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())),
                        static_cast<std::uint32_t>(bytes.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    wire::TopicRecords wireRecords;
    try {
        wireRecords.read(&protocol);
    } catch (const std::exception &e) {
        return fail(ErrorKind::ProtocolViolation, std::string("malformed records: ") + e.what());
    }
    std::vector<KeyedRecord> records;
    for (const wire::TopicRecord &record : wireRecords.records) {
        const bool hasValue = record.__isset.value;
        records.push_back({record.key, hasValue ? std::optional(record.value) : std::nullopt});
    }
    return records;
}

} // namespace greengageseam
