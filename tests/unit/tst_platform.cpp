/**
 * Tests of the platform adapter: decoders of the platform's formats and the header field codec.
 */
#include "platform/platform.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class PlatformFixture
{
protected:
    static std::string settingsText()
    {
        return "nodeName=front-a-1\nzone=a\nregion=r\nzones.a=r\nzones.b=s\nip=127.0.0.1\n"
               "listenAddrs.front=127.0.0.1:8005\nlistenAddrs.ready=127.0.0.1:8002\n"
               "internalPortRange=7700,7715\nplatform.address=127.0.0.1:8007\n"
               "bounds.drainMs=2000\nbounds.graceS=8\nbounds.retryBudgetRatio=0.25\n"
               "limits.linkMbps=7.6\nnewField=whatever\n";
    }

    template <typename T>
    static std::string detailOf(const Outcome<T> &outcome)
    {
        const Failure *failure = failureOf(outcome);
        return failure == nullptr ? std::string() : failure->detail;
    }

    static HttpRequest request()
    {
        return {"POST",
                "/a/b?c=d",
                {{"Host", "a.example"},
                 {"Attempt-Id", "9c41"},
                 {"Token-Count", "1460,80"},
                 {"Remaining-Time-Ms", "6000"},
                 {"Key", "secret"},
                 {"Tenant-Name", "forged"},
                 {"Expected-Instance", "forged"},
                 {"Connection", "keep-alive, X-Hop"},
                 {"X-Hop", "1"},
                 {"Transfer-Encoding", "chunked"},
                 {"X-Other", "kept"}},
                "body"};
    }
};

TEST_CASE_METHOD(PlatformFixture, "decodeSettings_completeFile_isDecoded")
{
    const auto read = toOutcome([] { return decodeSettings(settingsText()); });
    REQUIRE(detailOf(read).empty());
    const auto &settings = std::get<NodeSettings>(read);
    REQUIRE(settings.instance.text() == "front-a-1");
    REQUIRE(settings.zoneRegions.size() == 2);
    REQUIRE(settings.firstPort == 7700);
    REQUIRE(settings.lastPort == 7715);
    REQUIRE(settings.bounds.drain == std::chrono::seconds(2));
    REQUIRE(settings.bounds.retryRatio == 0.25);
}

TEST_CASE_METHOD(PlatformFixture, "decodeSettings_boundsOfPlacement_areDecoded")
{
    const auto read = toOutcome([] {
        return decodeSettings(settingsText()
                              + "bounds.evacuateMs=4000\nbounds.coldOvershoot=1.5\n"
                                "bounds.coldSlack=7\nlimits.maxFds=4100\n");
    });
    REQUIRE(detailOf(read).empty());
    const auto &settings = std::get<NodeSettings>(read);
    REQUIRE(settings.bounds.evacuate == std::chrono::seconds(4));
    REQUIRE(settings.bounds.coldOvershoot == 1.5);
    REQUIRE(settings.bounds.coldSlack == 7);
    REQUIRE(settings.descriptorLimit == 4100);
}

TEST_CASE_METHOD(PlatformFixture, "decodeSettings_invalidValue_namesTheSetting")
{
    const auto read =
            toOutcome([] { return decodeSettings(settingsText() + "bounds.graceS=soon\n"); });
    REQUIRE_THAT(detailOf(read), Catch::Contains("bounds.graceS") && Catch::Contains("'soon'"));
}

TEST_CASE_METHOD(PlatformFixture, "decodeSettings_noStore_namesTheSetting")
{
    const auto read = toOutcome([] {
        return decodeSettings("nodeName=a\nzone=a\nip=1.2.3.4\n"
                              "internalPortRange=1,2\n");
    });
    REQUIRE_THAT(detailOf(read), Catch::Contains("platform.address"));
}

TEST_CASE_METHOD(PlatformFixture, "decodeConfig_routeAndTenant_areDecoded")
{
    const auto read = toOutcome([] {
        return decodeConfig(
                R"({"version":7,"routes":[{"name":"r","host":"A.example","pathPrefix":"/x/",)"
                R"("routeKind":"streaming","timeoutMs":6000,"targetLatencyMs":400,"priority":1,)"
                R"("trafficSplit":[{"service":"p","weight":90},{"service":"q","weight":10}],)"
                R"("maxAttempts":2,"streamResume":true,"gapAimMs":300}],"services":[{"name":"p",)"
                R"("engine":{"slots":16,"step_ms":6.73,"chunks":64,"models":[{"name":"m"}]}}],)"
                R"("tenants":[{"name":"t","apiKeys":["k"],"priority":1}]})");
    });
    REQUIRE(detailOf(read).empty());
    const auto &config = std::get<FleetConfig>(read);
    REQUIRE(config.version == 7);
    REQUIRE(config.routes.front().host == "a.example");
    REQUIRE(config.routes.front().kind == RouteKind::Streaming);
    REQUIRE(config.routes.front().targets.size() == 2);
    REQUIRE(config.routes.front().canResume);
    REQUIRE(config.services.at(ServiceName("p")).engine->model.text() == "m");
    REQUIRE(config.accounts->front().keys == std::vector<std::string> {"k"});
}

TEST_CASE_METHOD(PlatformFixture, "decodeConfig_regionsAndColdStart_areDecoded")
{
    const auto read = toOutcome([] {
        return decodeConfig(
                R"({"version":1,"routes":[{"host":"h","pathPrefix":"/","routeKind":"idempotent",
                "timeoutMs":100,"service":"s","allowedRegions":["north","south"]}],
                "services":[{"name":"s","coldStartS":3.5,"coldPerS":17,
                "engine":{"kvCapacityTokens":685000}}],
                "tenants":[{"name":"t","apiKeys":["k"],"allowedRegions":["north"]}]})");
    });
    REQUIRE(detailOf(read).empty());
    const auto &config = std::get<FleetConfig>(read);
    REQUIRE(config.routes.at(0).allowedRegions
            == AllowedRegions {RegionName("north"), RegionName("south")});
    REQUIRE(config.accounts->at(0).allowedRegions == AllowedRegions {RegionName("north")});
    const Service &service = config.services.at(ServiceName("s"));
    REQUIRE(service.coldStart == std::chrono::milliseconds(3500));
    REQUIRE(service.coldRequestsPerSecond == 17);
    REQUIRE(service.engine->memoryTokens == 685000);
}

TEST_CASE_METHOD(PlatformFixture, "decodeConfig_cannotBeRead_tellsThePlace")
{
    const auto syntax = toOutcome([] { return decodeConfig("{\"version\":1,\n \"routes\":]}"); });
    REQUIRE(detailOf(syntax).find("at line 2, column") != std::string::npos);
    const auto field = toOutcome(
            [] { return decodeConfig(R"({"version":1,"services":[{"name":"p"},{"name":7}]})"); });
    REQUIRE(detailOf(field) == "services[1].name must be a string");
}

TEST_CASE_METHOD(PlatformFixture, "decodeConfig_unknownRouteKind_isNonIdempotent")
{
    const auto read = toOutcome([] {
        return decodeConfig(R"({"version":1,"routes":[{"host":"h","pathPrefix":"/",)"
                            R"("routeKind":"novel","timeoutMs":1,"service":"p"}]})");
    });
    REQUIRE(std::get<FleetConfig>(read).routes.front().kind == RouteKind::NonIdempotent);
}

TEST_CASE_METHOD(PlatformFixture, "decodeReplica_invalidEntry_isRejected")
{
    const ReplicaId id("i-1");
    const std::vector<std::string> entries {
            "not json",
            "[]",
            R"({"service":"p","address":"127.0.0.1:1","zone":"a","slots":2,"state":"odd"})",
            R"({"service":"p","address":"nowhere","zone":"a","slots":2,"state":"ready"})",
            R"({"service":7,"address":"127.0.0.1:1","zone":"a","slots":2,"state":"ready"})",
            R"({"address":"127.0.0.1:1","zone":"a","slots":2,"state":"ready"})"};
    for (const std::string &entry : entries) {
        CAPTURE(entry);
        REQUIRE_FALSE(detailOf(toOutcome([&] { return decodeReplica(id, entry); })).empty());
    }
}

// A number that is out of range must not become another number that looks sound.
TEST_CASE_METHOD(PlatformFixture, "decodeReplica_numberOutOfRange_isRejected")
{
    const std::string field = GENERATE(
            as<std::string>(), R"("slots":4294967296)", R"("slots":4294967312)",
            R"("slots":2147483648)", R"("slots":1e999)", R"("slots":-1)", R"("slots":2.5)",
            R"("slots":2,"born":9223372036854775808)", R"("slots":2,"born":18446744073709551616)",
            R"("slots":2,"models":[{"name":"m","version":9223372036854775808}])",
            R"("slots":2,"layers":{"from":0,"to":4294967312,"version":1})",
            R"("slots":2,"layers":{"from":4294967296,"to":16,"version":1})",
            R"("slots":2,"layers":{"from":0,"to":16,"version":18446744073709551615})");
    CAPTURE(field);
    const std::string entry =
            R"({"service":"p","address":"127.0.0.1:1","zone":"a","state":"ready",)" + field + "}";
    const auto read = toOutcome([&] { return decodeReplica(ReplicaId("i-1"), entry); });
    REQUIRE_FALSE(detailOf(read).empty());
}

TEST_CASE_METHOD(PlatformFixture, "decodeReplica_portOutOfRangeOrDeeplyNested_isRejected")
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string entry = GENERATE_COPY(
            R"({"service":"p","address":"127.0.0.1:65536","zone":"a","slots":2,"state":"ready"})",
            R"({"service":"p","address":"127.0.0.1:99999999999999999999","zone":"a","slots":2,)"
            R"("state":"ready"})",
            R"({"service":"p","address":"127.0.0.1:-1","zone":"a","slots":2,"state":"ready"})",
            deep,
            R"({"service":"p","address":"127.0.0.1:1","zone":"a","slots":2,"state":"ready","x":)"
                    + deep + "}");
    CAPTURE(entry.substr(0, 100));
    const auto read = toOutcome([&] { return decodeReplica(ReplicaId("i-1"), entry); });
    REQUIRE_FALSE(detailOf(read).empty());
}

// The key of an entry becomes a header field of requests, where a line end would begin another.
TEST_CASE_METHOD(PlatformFixture, "decodeReplica_keyIsNoFieldValue_isRejected")
{
    const std::string id = GENERATE(as<std::string>(), "", "i-1\r\nTenant-Name: forged", "i\n1",
                                    "\x01", "\x7f", "\xff\xfe", std::string("i\0", 2));
    CAPTURE(id);
    const auto read = toOutcome([&] {
        return decodeReplica(
                ReplicaId(id),
                R"({"service":"p","address":"127.0.0.1:1","zone":"a","slots":2,"state":"ready"})");
    });
    REQUIRE_FALSE(detailOf(read).empty());
}

TEST_CASE_METHOD(PlatformFixture, "decodeReplica_engine_hasItsWeights")
{
    const auto read = toOutcome([] {
        return decodeReplica(ReplicaId("i-1"),
                             R"({"service":"p","address":"127.0.0.1:1","zone":"a","slots":16,)"
                             R"("state":"draining","born":5,"models":[{"name":"m","version":3}],)"
                             R"("layers":{"from":0,"to":16,"version":3}})");
    });
    const auto &entry = std::get<ReplicaEntry>(read);
    REQUIRE(entry.isDraining);
    REQUIRE(entry.startedAtMs == 5);
    REQUIRE(entry.loaded.runnableVersion() == 3);
}

TEST_CASE_METHOD(PlatformFixture, "decodeTail_recordAndRemoval_areDecoded")
{
    std::string bytes = std::string(7, '\0') + '\x2b' + std::string(8, '\0');
    bytes += std::string("\0\0\0\4\1ava", 8) + std::string("\0\0\0\2\1b", 6);
    std::uint64_t endOffset = 0;
    const auto read = toOutcome([&] { return decodeTail(bytes, {40}, endOffset); });
    REQUIRE(endOffset == 43);
    const auto &tail = std::get<KeyedBatch>(read);
    REQUIRE(tail.next.offset == 42);
    REQUIRE(tail.records[0] == KeyedRecord {"a", "va"});
    REQUIRE(tail.records[1] == KeyedRecord {"b", std::nullopt});
}

TEST_CASE_METHOD(PlatformFixture, "decodeTail_truncatedRecord_isRejected")
{
    const std::string bytes = std::string(16, '\0') + std::string("\0\0\0\x09\1a", 6);
    std::uint64_t endOffset = 0;
    REQUIRE_FALSE(detailOf(toOutcome([&] { return decodeTail(bytes, {}, endOffset); })).empty());
}

TEST_CASE_METHOD(PlatformFixture, "decodeSnapshotPage_validPage_isDecoded")
{
    bool hasMore = false;
    const auto read = toOutcome([&] {
        return decodeSnapshotPage(
                R"({"items":[{"key":"config","value":"eHk=","offset":4}],"hasMore":true,"end":6})",
                hasMore);
    });
    const auto &page = std::get<KeyedSnapshot>(read);
    REQUIRE(hasMore);
    REQUIRE(page.end.offset == 6);
    REQUIRE(page.records.front() == KeyedRecord {"config", "xy"});
}

TEST_CASE_METHOD(PlatformFixture, "decodeRequestMetadata_allFields_areDecoded")
{
    const RequestMetadata call = decodeRequestMetadata(request());
    REQUIRE(call.attemptId == "9c41");
    REQUIRE(call.promptTokens == 1460);
    REQUIRE(call.maxOutputTokens == 80);
    REQUIRE(call.remaining == std::chrono::seconds(6));
    REQUIRE(call.apiKey == "secret");
}

TEST_CASE_METHOD(PlatformFixture, "decodeRequestMetadata_promptParts_areDecodedInOrder")
{
    HttpRequest call = request();
    call.headers.push_back({"Prompt-Prefix", "5c1e07a2:800, 91BD3f06:410,e4402b7d:250"});
    REQUIRE(decodeRequestMetadata(call).promptParts
            == std::vector<PromptPart> {{PromptPartId("5c1e07a2"), 800},
                                        {PromptPartId("91bd3f06"), 410},
                                        {PromptPartId("e4402b7d"), 250}});
    REQUIRE_THAT(encodeUpstreamRequest(call, {}),
                 Catch::Contains("Prompt-Prefix: 5c1e07a2:800, 91BD3f06:410,e4402b7d:250\r\n"));
}

TEST_CASE_METHOD(PlatformFixture, "decodeRequestMetadata_malformedPromptParts_areNone")
{
    std::string many = "a:1";
    for (int n = 0; n < 32; ++n) {
        many += ",a:1";
    }
    const std::string malformed = GENERATE_COPY(
            std::string("5c1e"), std::string(":4"), std::string("5c1e:"), std::string("5c1e:x"),
            std::string("xyz:4"), std::string("5c1e:4,,5c1f:4"), std::string("5c1e:-4"),
            std::string(65, 'a') + ":4", many);
    CAPTURE(malformed);
    HttpRequest call = request();
    call.headers.push_back({"Prompt-Prefix", malformed});
    REQUIRE(decodeRequestMetadata(call).promptParts.empty());
}

TEST_CASE_METHOD(PlatformFixture, "encodeUpstreamRequest_callerRequest_omitsKeyAndForgedFields")
{
    UpstreamRequestMetadata fields;
    fields.replica = ReplicaId("i-1");
    fields.remaining = std::chrono::milliseconds(1500);
    fields.account = AccountName("ann");
    const std::string text = encodeUpstreamRequest(request(), fields);
    REQUIRE_THAT(text, Catch::StartsWith("POST /a/b?c=d HTTP/1.1\r\n"));
    REQUIRE_THAT(text, Catch::EndsWith("Content-Length: 4\r\n\r\n"));
    REQUIRE_THAT(text, Catch::Contains("Expected-Instance: i-1\r\n"));
    REQUIRE_THAT(text, Catch::Contains("Tenant-Name: ann\r\n"));
    REQUIRE_THAT(text, Catch::Contains("Remaining-Time-Ms: 1500\r\n"));
    REQUIRE_THAT(text, Catch::Contains("X-Other: kept\r\n"));
    REQUIRE_THAT(text, !Catch::Contains("secret") && !Catch::Contains("forged"));
    REQUIRE_THAT(text, !Catch::Contains("X-Hop") && !Catch::Contains("chunked"));
}

TEST_CASE_METHOD(PlatformFixture, "decodeResponseMetadata_rejection_isNotRun")
{
    HttpResponseHead head {503, {{"Not-Executed", "1"}}, true, 0};
    REQUIRE(decodeResponseMetadata(head).isNotExecuted);
    head = {421, {{"Replica-Id", "i-2"}}, true, 0};
    REQUIRE(decodeResponseMetadata(head).isNotExecuted);
    REQUIRE(decodeResponseMetadata(head).isMisdirected);
    head = {503, {}, true, 0};
    REQUIRE_FALSE(decodeResponseMetadata(head).isNotExecuted);
}

} // namespace
} // namespace greengageseam
