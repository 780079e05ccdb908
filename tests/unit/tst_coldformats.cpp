/**
 * Tests of how the remaining cold time of a backend server is read from its health and transmitted.
 */
#include "platform/enginecalls.h"
#include "protocol/datagramcodec.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class ColdFormatsFixture
{
protected:
    static std::optional<Duration> coldLeft(int status, std::vector<HttpHeader> headers)
    {
        const HttpResponse response {status, "", std::move(headers), ""};
        const auto read = toOutcome([&] { return decodeColdLeft(response); });
        const auto *left = std::get_if<Duration>(&read);
        return left == nullptr ? std::nullopt : std::optional<Duration>(*left);
    }
};

TEST_CASE_METHOD(ColdFormatsFixture, "health_statesColdTime_isRead")
{
    REQUIRE(coldLeft(200, {{"cold-remaining-ms", "4200"}}) == Duration(milliseconds(4200)));
    REQUIRE(coldLeft(503, {{"Cold-Remaining-Ms", "0"}}) == Duration());
}

TEST_CASE_METHOD(ColdFormatsFixture, "health_statesNoValidColdTime_tellsNothingUnlessHealthy")
{
    REQUIRE(coldLeft(200, {}) == Duration());
    REQUIRE_FALSE(coldLeft(503, {}));
    REQUIRE_FALSE(coldLeft(200, {{"Cold-Remaining-Ms", "-1"}}));
    REQUIRE_FALSE(coldLeft(200, {{"Cold-Remaining-Ms", "soon"}}));
}

TEST_CASE_METHOD(ColdFormatsFixture, "loadReport_ofColdServer_isDecodedAsEncoded")
{
    LoadReport report;
    report.backend = Address("127.0.0.1:80");
    report.credits = 2;
    report.coldLeft = milliseconds(4200);
    report.sentAt = Duration(123'456);
    const auto read = toOutcome([&] { return decodeDatagram(encodeDatagram(report)); });
    REQUIRE(std::get<LoadReport>(std::get<Datagram>(read)) == report);
}

} // namespace
} // namespace greengageseam
