/**
 * Tests of the eras of the platform's store, and of the positions within them.
 */
#include "core/fleet/storeeras.h"
#include "core/fleet/topicposition.h"
#include "platform/keyedstore.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class StoreErasFixture
{
protected:
    static Outcome<std::optional<std::uint64_t>> decode(const std::string &text)
    {
        return decodeEra({{"Content-Type", "x"}, {"store-era", text}});
    }

    StoreEras m_eras;
};

TEST_CASE_METHOD(StoreErasFixture, "accept_eraRises_earlierOneIsRejected")
{
    REQUIRE(m_eras.accept(3) == Outcome<std::uint64_t>(std::uint64_t {3}));
    REQUIRE(m_eras.accept(4) == Outcome<std::uint64_t>(std::uint64_t {4}));
    const auto late = m_eras.accept(3);
    REQUIRE(failureOf(late)->kind == ErrorKind::PlatformUnavailable);
}

// A store that names no era, or stops doing so, is served as before.
TEST_CASE_METHOD(StoreErasFixture, "accept_noEra_belongsToTheNewestOne")
{
    REQUIRE(m_eras.accept(std::nullopt) == Outcome<std::uint64_t>(std::uint64_t {0}));
    REQUIRE(failureOf(m_eras.accept(2)) == nullptr);
    REQUIRE(m_eras.accept(std::nullopt) == Outcome<std::uint64_t>(std::uint64_t {2}));
}

TEST_CASE_METHOD(StoreErasFixture, "decodeEra_notANumber_isRejected")
{
    const std::string text = GENERATE("", "-1", "1x", "99999999999999999999", " 1");
    REQUIRE(failureOf(decode(text))->kind == ErrorKind::PlatformUnavailable);
}

TEST_CASE_METHOD(StoreErasFixture, "decodeEra_fieldInAnyCaseOrAbsent_isRead")
{
    REQUIRE(std::get<std::optional<std::uint64_t>>(decode("7")) == 7);
    REQUIRE(std::get<std::optional<std::uint64_t>>(decodeEra({})) == std::nullopt);
}

TEST_CASE_METHOD(StoreErasFixture, "position_ofALaterEra_comesAfterAnyOffsetBefore")
{
    REQUIRE(TopicPosition {0, 2} > TopicPosition {900, 1});
    REQUIRE(TopicPosition {5, 2} < TopicPosition {6, 2});
}

} // namespace
} // namespace greengageseam
