/**
 * Fuzz test that feeds mutated input to every decoder of the platform's formats. No input may crash
 * a decoder, and each rejection must have a detail text and an error kind other than Internal.
 * labels: fuzz
 */
#include "platform/platform.h"
#include "protocol/datagramcodec.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>

namespace greengageseam {
namespace {

constexpr int inputsEach = 10'000;
constexpr std::uint32_t seed = 20261204;

class PlatformDecodersFixture
{
protected:
    static CrashReport crashReport()
    {
        ReportedCrash crash {{ReplicaId("i-1"), 1'700'000'000'000}, {}};
        crash.suspects.push_back(
                {PromptPartId("5c1e07a2"), std::chrono::milliseconds(70), 0, true, true});
        crash.suspects.push_back(
                {PromptPartId("91bd"), std::chrono::milliseconds(0), 1, false, false});
        return CrashReport {{crash, {{ReplicaId("i-2"), 0}, {}}}};
    }

    /** @returns the input with one to six random changes */
    std::string mutated(std::string bytes)
    {
        const std::size_t changes = 1 + m_random() % 6;
        for (std::size_t n = 0; n < changes && !bytes.empty(); ++n) {
            const std::size_t at = m_random() % bytes.size();
            switch (m_random() % 4) {
            case 0:
                bytes[at] = static_cast<char>(m_random());
                break;
            case 1:
                bytes.erase(at, 1 + m_random() % 8);
                break;
            case 2:
                bytes.insert(at, 1, static_cast<char>(m_random()));
                break;
            default:
                bytes.resize(at);
                break;
            }
        }
        return bytes;
    }

    /** Checks that a decoder accepts the valid input, and rejects or decodes mutants of it. */
    template <typename Decode>
    void checkMutants(const std::string &valid, Decode decode)
    {
        const auto original = toOutcome([&] { return decode(valid); });
        REQUIRE(failureOf(original) == nullptr);
        int refused = 0;
        for (int n = 0; n < inputsEach; ++n) {
            const std::string bytes = mutated(valid);
            const auto outcome = toOutcome([&] { return decode(bytes); });
            if (const Failure *failure = failureOf(outcome)) {
                ++refused;
                REQUIRE_FALSE(failure->detail.empty());
                REQUIRE(failure->kind != ErrorKind::Internal);
            }
        }
        REQUIRE(refused > inputsEach / 20);
    }

    std::mt19937 m_random {seed};
};

TEST_CASE_METHOD(PlatformDecodersFixture, "decodeConfig_mutatedInput_isRejectedOrDecoded")
{
    checkMutants(
            R"({"version":7,"routes":[{"name":"r","host":"a","pathPrefix":"/x/","routeKind":"streaming",)"
            R"("timeoutMs":6000,"targetLatencyMs":400,"priority":1,"trafficSplit":[{"service":"p",)"
            R"("weight":90}],"maxAttempts":2,"streamResume":true,"gapAimMs":300}],"services":[{"name":)"
            R"("p","engine":{"slots":16,"step_ms":6.73,"usual":{"prompt":9,"answer":8},"models":[{)"
            R"("name":"m"}]}}],"limits":{"maxHeaderBytes":1},"tenants":[{"name":"t","apiKeys":["k"]}]})",
            decodeConfig);
}

TEST_CASE_METHOD(PlatformDecodersFixture, "decodeNamedVersion_mutatedInput_isRejectedOrDecoded")
{
    checkMutants(R"({"model":"m","version":2})", decodeNamedVersion);
}

TEST_CASE_METHOD(PlatformDecodersFixture, "decodeReplica_mutatedInput_isRejectedOrDecoded")
{
    checkMutants(
            R"({"service":"p","address":"127.0.0.1:1","zone":"a","slots":16,"state":"ready","born":5,)"
            R"("models":[{"name":"m","version":3}],"layers":{"from":0,"to":16,"version":3}})",
            [](const std::string &bytes) { return decodeReplica(ReplicaId("i"), bytes); });
}

TEST_CASE_METHOD(PlatformDecodersFixture, "decodeReport_mutatedInput_isRejectedOrDecoded")
{
    checkMutants(
            R"({"born":5,"models":[{"name":"m","version":1}],"layers":{"from":0,"to":16,"version":1},)"
            R"("busy":false,"sequence":2,"waiting":1,"running":12,"pace":1.5})",
            decodeReport);
}

TEST_CASE_METHOD(PlatformDecodersFixture, "decodePieceList_mutatedInput_isRejectedOrDecoded")
{
    checkMutants(
            R"({"model":"m","version":2,"chunkBytes":32768,"layers":16,"digests":["9f2c","07be"]})",
            decodePieceList);
}

TEST_CASE_METHOD(PlatformDecodersFixture, "decodeSnapshotPage_mutatedInput_isRejectedOrDecoded")
{
    bool hasMore = false;
    checkMutants(R"({"items":[{"key":"config","value":"eHk=","offset":4}],"hasMore":true,"end":6})",
                 [&](const std::string &bytes) { return decodeSnapshotPage(bytes, hasMore); });
}

TEST_CASE_METHOD(PlatformDecodersFixture, "decodeTail_mutatedInput_isRejectedOrDecoded")
{
    const std::string bytes =
            std::string(16, '\0') + std::string("\0\0\0\4\1ava", 8) + std::string("\0\0\0\2\1b", 6);
    checkMutants(bytes, [](const std::string &input) {
        std::uint64_t endOffset = 0;
        return decodeTail(input, {}, endOffset);
    });
}

TEST_CASE_METHOD(PlatformDecodersFixture, "decodeSettings_mutatedInput_isRejectedOrDecoded")
{
    checkMutants(
            "nodeName=a\nzone=a\nip=127.0.0.1\nlistenAddrs.front=127.0.0.1:80\n"
            "internalPortRange=7700,7715\nplatform.address=127.0.0.1:8007\nbounds.drainMs=2000\n",
            decodeSettings);
}

TEST_CASE_METHOD(PlatformDecodersFixture, "decodeDatagram_mutatedInput_isRejectedOrDecoded")
{
    LoadReport report;
    report.backend = Address("127.0.0.1:1");
    report.weightsVersion = 3;
    report.running = 7;
    report.credits = 2;
    checkMutants(encodeDatagram(report), decodeDatagram);
    LoadSubscription demanding {InstanceId("a"), ZoneName("b"), 7, 9};
    demanding.demands = {{ServiceName("pool"), 12, 3}};
    checkMutants(encodeDatagram(demanding), decodeDatagram);
    checkMutants(encodeDatagram(LoadSubscription {InstanceId("a"), ZoneName("b"), 7, 9}),
                 decodeDatagram);
    ReplicaEntry entry;
    entry.id = ReplicaId("i-1");
    entry.address = Address("127.0.0.1:1");
    entry.loaded.layers = LayerRange {0, 16, 2};
    checkMutants(encodeDatagram(ReplicaListDelta {{1}, {2}, {entry}, {ReplicaId("i-2")}}),
                 decodeDatagram);
    checkMutants(encodeDatagram(KnownEntries {{{InstanceId("a"), ZoneName("b"), "127.0.0.1"}}}),
                 decodeDatagram);
    checkMutants(encodeDatagram(KnownTargetVersions {
                         {{{ModelName("m"), 2}, std::chrono::milliseconds(700)}}}),
                 decodeDatagram);
    checkMutants(encodeDatagram(crashReport()), decodeDatagram);
    checkMutants(encodeDatagram(CrashDigest {UINT64_MAX, true}), decodeDatagram);
}

TEST_CASE_METHOD(PlatformDecodersFixture, "datagram_eachKind_isUnchangedByARoundTrip")
{
    LoadReport report;
    report.backend = Address("127.0.0.1:1");
    report.startedAtMs = 1'700'000'000'000;
    report.weightsVersion = 3;
    report.hasOrderInProgress = true;
    report.waiting = 2;
    report.running = 7;
    report.slowdown = 1.5;
    report.entriesChecksum = UINT64_MAX;
    report.operatorPosition = {12, 3};
    report.credits = 3;
    const std::vector<Datagram> all {
            report,
            LoadSubscription {InstanceId("a"), ZoneName("b"), UINT64_MAX, 9},
            KnownEntries {{{InstanceId("a"), ZoneName("b"), "127.0.0.1"}}},
            KnownTargetVersions {{{{ModelName("m"), 2}, std::chrono::milliseconds(700)},
                                  {{ModelName("n"), 9}, maxKnownVersionAge}}},
            crashReport(),
            CrashDigest {UINT64_MAX, true},
            CrashDigest {}};
    for (const Datagram &datagram : all) {
        const auto read = toOutcome([&] { return decodeDatagram(encodeDatagram(datagram)); });
        REQUIRE(std::get<Datagram>(read) == datagram);
    }
}

TEST_CASE_METHOD(PlatformDecodersFixture, "datagram_ofAnUnknownKind_isRejected")
{
    const std::string bytes("\x9c\x15\x02\0\0", 5);
    const auto read = toOutcome([&] { return decodeDatagram(bytes); });
    REQUIRE(failureOf(read)->kind == ErrorKind::ProtocolViolation);
}

// Processes of an earlier landing send these bytes.
TEST_CASE_METHOD(PlatformDecodersFixture, "datagram_ofAnEarlierLanding_isDecoded")
{
    const std::string subscription("\x1c\x18\x01"
                                   "e\x18\x01"
                                   "a\x16\x06\x16\x08\x19\x1c\x18\x01"
                                   "m\x16\x0a\0\0\0",
                                   21);
    const auto wanted = toOutcome([&] { return decodeDatagram(subscription); });
    REQUIRE(std::get<Datagram>(wanted)
            == Datagram(LoadSubscription {InstanceId("e"),
                                          ZoneName("a"),
                                          3,
                                          {4},
                                          {{{ModelName("m"), 5}, maxKnownVersionAge}}}));
    LoadReport report;
    report.backend = Address("b");
    report.weightsVersion = 3;
    report.slowdown = 1.5;
    report.operatorPosition = {12};
    const std::string bytes("\x2c\x18\x01"
                            "b\x16\0\x16\x06\x12\x15\0\x15\0\x15\xb8\x17\x16\0\x16\x18\0\0",
                            22);
    const auto seen = toOutcome([&] { return decodeDatagram(bytes); });
    REQUIRE(std::get<Datagram>(seen) == Datagram(report));
    REQUIRE(encodeDatagram(report) == bytes);
}

TEST_CASE_METHOD(PlatformDecodersFixture, "datagram_negativeTargetVersion_isRejected")
{
    for (const Datagram &datagram :
         {Datagram(LoadSubscription {
                  InstanceId("a"), ZoneName("b"), 7, {9}, {{ModelName("m"), UINT64_MAX}}}),
          Datagram(KnownTargetVersions {{{{ModelName("m"), UINT64_MAX}, Duration()}}})}) {
        const auto read = toOutcome([&] { return decodeDatagram(encodeDatagram(datagram)); });
        REQUIRE(failureOf(read)->kind == ErrorKind::ProtocolViolation);
    }
}

} // namespace
} // namespace greengageseam
