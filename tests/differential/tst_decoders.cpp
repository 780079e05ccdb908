/**
 * Fuzz tests of all decoders with random and mutated input: a decoder must not crash, and each
 * rejection must carry a specific error kind and a detail text.
 * labels: fuzz
 */
#include "core/weights/weights.h"
#include "daemon/settings.h"
#include "entry/callerhandler.h"
#include "net/endpoint.h"
#include "protocol/protocol.h"

#include <catch2/catch.hpp>
#include <functional>
#include <rapidcheck.h>

namespace greengageseam {
namespace {

constexpr int inputsPerDecoder = 10'000;

/** Feeds a decoder with random bytes and with mutated valid input. */
class DecoderFixture
{
protected:
    using Decode = std::function<VoidOutcome(const std::string &)>;

    /** Wraps a decoder so that only its success or failure is returned. */
    template <typename Step>
    static Decode decoderOf(Step step)
    {
        return [step](const std::string &bytes) -> VoidOutcome {
            const auto outcome = toOutcome([&] { return step(bytes); });
            const Failure *failure = failureOf(outcome);
            return failure == nullptr ? VoidOutcome(std::monostate()) : VoidOutcome(*failure);
        };
    }

    static std::string mutated(std::string bytes)
    {
        const int changes = *rc::gen::inRange(1, 6);
        for (int n = 0; n < changes && !bytes.empty(); ++n) {
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                bytes[at] = *rc::gen::arbitrary<char>();
                break;
            case 1:
                bytes.erase(at, 1);
                break;
            case 2:
                bytes.insert(at, 1, *rc::gen::arbitrary<char>());
                break;
            default:
                bytes.resize(at);
                break;
            }
        }
        return bytes;
    }

    static void requireRobust(const Decode &decode, const std::vector<std::string> &samples)
    {
        for (const std::string &sample : samples) {
            REQUIRE(failureOf(decode(sample)) == nullptr);
        }
        rc::detail::TestParams params = rc::detail::configuration().testParams;
        params.maxSuccess = inputsPerDecoder;
        params.disableShrinking = true;
        const auto property = [&] {
            const auto random = rc::gen::container<std::string>(rc::gen::arbitrary<char>());
            const bool isRandom = *rc::gen::weightedElement<bool>({{1, true}, {3, false}});
            const std::string input = isRandom ? *random : mutated(*rc::gen::elementOf(samples));
            const VoidOutcome settled = decode(input);
            if (const Failure *failure = failureOf(settled)) {
                RC_ASSERT(failure->kind != ErrorKind::Internal);
                RC_ASSERT(!failure->detail.empty());
            }
        };
        const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
        REQUIRE(result.is<rc::detail::SuccessResult>());
    }
};

TEST_CASE_METHOD(DecoderFixture, "decoder_frames_rejectMalformedInputWithErrorKind")
{
    Heartbeat heartbeat;
    heartbeat.instance = InstanceId("i");
    heartbeat.serving = {digestOf("a")};
    OpenMessage open;
    open.body = "body";
    std::vector<std::string> samples;
    for (const Message &message : std::vector<Message> {
                 HelloMessage {}, open, DataMessage {"x"}, EndMessage {1, 2},
                 FailedMessage {{ErrorKind::Draining, "d"}, ExecutionStatus::NotExecuted},
                 HeartbeatMessage {heartbeat}, ConfigPushMessage {Offset {1}, {"a", "b"}, "c"},
                 ChunkPartMessage {"p", true}}) {
        samples.push_back(encodeFrame({1, message}).substr(frameHeaderBytes));
    }
    requireRobust(decoderOf([](const std::string &bytes) { return decodeFrame(bytes); }), samples);
}

TEST_CASE_METHOD(DecoderFixture, "decoder_frameHeaders_rejectLengthsAboveLimit")
{
    const auto decode = decoderOf([](const std::string &bytes) -> Result<std::size_t> {
        FrameHeader header {};
        std::copy_n(bytes.begin(), std::min(bytes.size(), header.size()), header.begin());
        BOOST_LEAF_AUTO(n, frameLength(header));
        if (n > maxFrameBytes) {
            return fail(ErrorKind::Internal, "a length above the limit was accepted");
        }
        return n;
    });
    requireRobust(decode, {std::string("\0\0\0\x10", 4)});
}

TEST_CASE_METHOD(DecoderFixture, "decoder_logRecords_malformedInputBecomesRubbishRecord")
{
    ConfigChange change;
    change.id = ChangeId("c");
    change.edits = {{CellPath("limit/origin-copies"), "2"}, {CellPath("limit/x"), std::nullopt}};
    const ConfigState state = foldRecord(ConfigState(), {Offset {1}, change}).state;
    const auto decode = [](const std::string &text) -> VoidOutcome {
        const ConfigEvent event = decodeConfigEvent(text);
        const auto *rubbish = std::get_if<UnreadableRecord>(&event);
        if (rubbish != nullptr) {
            return Failure {ErrorKind::InvalidRequest, rubbish->reason};
        }
        foldRecord(ConfigState(), {Offset {1}, event});
        return std::monostate();
    };
    requireRobust(decode, {encodeChange(change), encodeSnapshot(makeSnapshot(state))});
}

TEST_CASE_METHOD(DecoderFixture, "decoder_tables_rejectInvalidCellsWithErrorKind")
{
    const auto decode = decoderOf([](const std::string &text) {
        const std::size_t n = std::min(text.find('='), text.size());
        const std::string value = n < text.size() ? text.substr(n + 1) : "";
        const Cell cell {value, ChangeId("c"), OperatorName("o"), Offset {1}};
        return compileTable(RawTable({{CellPath(text.substr(0, n)), cell}}));
    });
    const std::string digest = digestOf("x").text();
    requireRobust(decode,
                  {"model/drafts/v1/manifest=" + digest, "account/caps/key=" + digest,
                   "service/stitching/non-idempotent=POST /commits,PUT /a",
                   "operator/ann/token=" + digest, "limit/origin-copies=3"});
}

TEST_CASE_METHOD(DecoderFixture, "decoder_manifests_rejectMalformedInputWithErrorKind")
{
    const auto decode =
            decoderOf([](const std::string &text) { return parseManifest(text, digestOf(text)); });
    const Manifest manifest({{digestOf("a"), 3}, {digestOf("b"), 5}});
    requireRobust(decode, {manifest.text(), ""});
}

TEST_CASE_METHOD(DecoderFixture, "decoder_callerRequests_rejectInvalidBodiesWithErrorKind")
{
    const auto decode = decoderOf([](const std::string &body) {
        const HttpRequest request {
                "POST", "/v1/chat/completions", {{"Authorization", "Bearer key"}}, body};
        return parseCallerRequest(request, RequestId("r"));
    });
    requireRobust(decode, {R"({"model":"drafts","stream":true,"messages":[{"role":"user"}]})"});
}

TEST_CASE_METHOD(DecoderFixture, "decoder_requestTargets_rejectInvalidPathsWithErrorKind")
{
    const auto decode = decoderOf([](const std::string &target) {
        const HttpRequest request {
                "POST", "/services/" + target, {{"Authorization", "Bearer key"}}, ""};
        return parseCallerRequest(request, RequestId("r"));
    });
    requireRobust(decode, {"stitching/commits?a=b"});
}

TEST_CASE_METHOD(DecoderFixture, "decoder_settings_rejectInvalidArgumentsWithErrorKind")
{
    const auto decode = decoderOf([](const std::string &line) {
        std::vector<std::string> words;
        std::size_t at = 0;
        while (at < line.size()) {
            const std::size_t n = std::min(line.find('\n', at), line.size());
            words.push_back(line.substr(at, n - at));
            at = n + 1;
        }
        return readSettings(words, Environment());
    });
    requireRobust(decode,
                  {"--role=entry\n--instance=e\n--zone=z\n--listen=127.0.0.1:1\n"
                   "--peer-listen=127.0.0.1:2\n--log=127.0.0.1:3\n--list=127.0.0.1:4\n"
                   "--secret=sixteen letters."});
}

} // namespace
} // namespace greengageseam
