/**
 * Round-trip tests of the frames that processes exchange over links.
 */
#include "protocol/framecodec.h"

#include "core/common/hashing.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

/** Encodes a message as a frame and decodes the frame. */
class FrameFixture
{
protected:
    static Outcome<StreamMessage> roundTrip(const StreamMessage &message)
    {
        const std::string frame = encodeFrame(message);
        return toOutcome(
                [&] { return decodeFrame(std::string_view(frame).substr(frameHeaderBytes)); });
    }
};

TEST_CASE_METHOD(FrameFixture, "frame_openMessage_roundTrips")
{
    OpenMessage open;
    open.attempt = AttemptId("a1");
    open.manifest = digestOf("weights");
    open.body = std::string("\0\x01\xff", 3);
    open.remainingTime = std::chrono::seconds(3);
    open.claimOffset = Offset {7};
    open.stamp = {WallTime(Duration(5)), Instant(Duration(9))};
    open.claimKey = "k1";
    const StreamMessage message {5, open};
    REQUIRE(std::get<StreamMessage>(roundTrip(message)) == message);
}

TEST_CASE_METHOD(FrameFixture, "frame_heartbeat_roundTrips")
{
    Heartbeat heartbeat;
    heartbeat.instance = InstanceId("i1");
    heartbeat.serving = {digestOf("one"), digestOf("two")};
    heartbeat.tableDigest = digestOf("table");
    heartbeat.isDraining = true;
    const StreamMessage message {0, HeartbeatMessage {heartbeat}};
    REQUIRE(std::get<StreamMessage>(roundTrip(message)) == message);
}

TEST_CASE_METHOD(FrameFixture, "frame_configMessages_roundTrip")
{
    ConfigPushMessage push;
    push.firstOffset = Offset {7};
    push.records = {"a", "b"};
    push.snapshot = "s";
    push.logId = "log";
    for (const Message &message : {Message(push), Message(ConfigRequestMessage {Offset {9}}),
                                   Message(ConfigAppliedMessage {Offset {8}})}) {
        const StreamMessage sent {0, message};
        REQUIRE(std::get<StreamMessage>(roundTrip(sent)) == sent);
    }
}

TEST_CASE_METHOD(FrameFixture, "frame_membershipMessages_roundTrip")
{
    Heartbeat heartbeat;
    heartbeat.instance = InstanceId("i1");
    heartbeat.startedAt = WallTime(std::chrono::seconds(5));
    heartbeat.stored = {digestOf("one")};
    const MemberChanges changes {~std::uint64_t {0}, 3, 5, {heartbeat}, {InstanceId("i2")}};
    const ZoneDigest digest {changes,
                             {{Offset {4}, digestOf("table")}},
                             {{~std::uint32_t {0}, 7, 1, 0, 0, 2}},
                             {{InstanceId("i3"), heartbeat.startedAt}},
                             {{InstanceId("i4"), heartbeat.startedAt}}};
    const ZoneSummary summary {
            ZoneName("z"),
            heartbeat.startedAt,
            {{Digest("0123456789abcdef"), {}, 3, 2, 1}, {{}, ServiceName("s"), 1, 0, 0}}};
    const std::vector<Message> messages {HeartbeatMessage {heartbeat, 1, 2},
                                         HeartbeatAckMessage {1, changes, true, Offset {8}, true},
                                         ZoneDigestMessage {digest},
                                         ZoneSummaryMessage {summary},
                                         ZoneDigestRequestMessage {},
                                         EntryKeepAliveMessage {}};
    for (const Message &message : messages) {
        REQUIRE(std::get<StreamMessage>(roundTrip({0, message})).message == message);
    }
}
TEST_CASE_METHOD(FrameFixture, "frame_haveMessage_roundTrips")
{
    const ChunkBits bits(std::vector<bool> {true, false, true});
    const StreamMessage message {0, HaveMessage {digestOf("manifest"), bits, true}};
    REQUIRE(std::get<StreamMessage>(roundTrip(message)) == message);
}

TEST_CASE_METHOD(FrameFixture, "frame_malformedBytes_isProtocolViolation")
{
    const auto decoded = toOutcome([] { return decodeFrame("this is no frame"); });
    REQUIRE(failureOf(decoded)->kind == ErrorKind::ProtocolViolation);
}

TEST_CASE_METHOD(FrameFixture, "frame_pieceListMessages_roundTrip")
{
    const PieceList list {ModelName("m"), 3, 32768, {digestOf("one"), digestOf("two")}};
    for (const Message &message :
         {Message(PieceListRequestMessage {ModelName("m"), 3}), Message(PieceListMessage {list})}) {
        const StreamMessage sent {7, message};
        REQUIRE(std::get<StreamMessage>(roundTrip(sent)) == sent);
    }
}

TEST_CASE_METHOD(FrameFixture, "frame_topicMessages_roundTrip")
{
    const TopicRequestMessage request {"operator", {7, 2}, std::chrono::milliseconds(700)};
    const TopicPartMessage part {
            TopicAvailability::Known,     true, {9, 2},
            std::string("\0\x01\xff", 3), true, std::chrono::milliseconds(-300)};
    const TopicPartMessage pending {TopicAvailability::Pending, false, {}, {}, true, {}};
    const TopicPartMessage unavailable {TopicAvailability::Unavailable, false, {}, {}, true, {}};
    for (const Message &message :
         {Message(request), Message(part), Message(pending), Message(unavailable)}) {
        const StreamMessage sent {7, message};
        REQUIRE(std::get<StreamMessage>(roundTrip(sent)) == sent);
    }
}

TEST_CASE_METHOD(FrameFixture, "records_encodedAndDecoded_areEqual")
{
    const std::vector<KeyedRecord> records {
            {"config", std::string(400'000, '\xff')}, {"version/m", std::nullopt}, {"empty", ""}};
    for (const auto &sent : {records, std::vector<KeyedRecord> {}}) {
        const auto decoded = toOutcome([&] { return decodeRecords(encodeRecords(sent)); });
        REQUIRE(std::get<std::vector<KeyedRecord>>(decoded) == sent);
    }
}

TEST_CASE_METHOD(FrameFixture, "records_truncated_areAProtocolViolation")
{
    const std::string bytes = encodeRecords({{"config", "value"}});
    const auto decoded =
            toOutcome([&] { return decodeRecords(bytes.substr(0, bytes.size() / 2)); });
    REQUIRE(failureOf(decoded)->kind == ErrorKind::ProtocolViolation);
}

} // namespace
} // namespace greengageseam
