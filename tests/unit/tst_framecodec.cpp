/**
 * Tests of the frames between processes.
 */
#include "protocol/framecodec.h"

#include "core/common/hashing.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

/** Encodes and decodes again. */
class FrameFixture
{
protected:
    static Outcome<StreamMessage> roundTrip(const StreamMessage &message)
    {
        const std::string frame = encodeFrame(message);
        return settle(
                [&] { return decodeFrame(std::string_view(frame).substr(frameHeaderBytes)); });
    }
};

TEST_CASE_METHOD(FrameFixture, "frame_openMessage_comesBackEqual")
{
    OpenMessage open;
    open.attempt = AttemptId("a1");
    open.manifest = digestOf("weights");
    open.body = std::string("\0\x01\xff", 3);
    open.timeLeft = std::chrono::seconds(3);
    open.claim = Offset {7};
    const StreamMessage message {5, open};
    REQUIRE(std::get<StreamMessage>(roundTrip(message)) == message);
}

TEST_CASE_METHOD(FrameFixture, "frame_heartbeat_comesBackEqual")
{
    Heartbeat heartbeat;
    heartbeat.instance = InstanceId("i1");
    heartbeat.serving = {digestOf("one"), digestOf("two")};
    heartbeat.tableDigest = digestOf("table");
    heartbeat.isDraining = true;
    const StreamMessage message {0, HeartbeatMessage {heartbeat}};
    REQUIRE(std::get<StreamMessage>(roundTrip(message)) == message);
}

TEST_CASE_METHOD(FrameFixture, "frame_have_comesBackEqual")
{
    const ChunkBits bits(std::vector<bool> {true, false, true});
    const StreamMessage message {0, HaveMessage {digestOf("manifest"), bits, 7, true}};
    REQUIRE(std::get<StreamMessage>(roundTrip(message)) == message);
}

TEST_CASE_METHOD(FrameFixture, "frame_rubbish_isProtocolViolation")
{
    const auto decoded = settle([] { return decodeFrame("this is no frame"); });
    REQUIRE(failureOf(decoded)->kind == ErrorKind::ProtocolViolation);
}

} // namespace
} // namespace greengageseam
