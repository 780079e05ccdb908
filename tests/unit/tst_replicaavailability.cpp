/**
 * Tests of the reasons for which a backend server gets no requests.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class ReplicaAvailabilityFixture
{
protected:
    static constexpr HealthOptions options {};
    Instant m_now {milliseconds(1000)};
    ReplicaAvailability m_fresh;
};

TEST_CASE_METHOD(ReplicaAvailabilityFixture, "availability_leaving_holdsWhateverFollows")
{
    const ReplicaAvailability leaving = m_fresh.leaving()
                                                .listed(false)
                                                .succeeded(m_now, options)
                                                .paused(m_now, milliseconds(1));
    const Instant later = m_now + std::chrono::hours(1);
    REQUIRE(leaving.at(later).cause(later) == UnavailableCause::Leaving);
    REQUIRE_FALSE(leaving.isInService(later));
}

TEST_CASE_METHOD(ReplicaAvailabilityFixture, "availability_paused_endsAfterItsTime")
{
    const ReplicaAvailability paused = m_fresh.paused(m_now, milliseconds(1500));
    REQUIRE(paused.cause(m_now + milliseconds(1499)) == UnavailableCause::Paused);
    REQUIRE(paused.isInService(m_now));
    REQUIRE(paused.allowedInFlight(m_now) == 0);
    REQUIRE_FALSE(paused.cause(m_now + milliseconds(1500)));
}

TEST_CASE_METHOD(ReplicaAvailabilityFixture, "availability_secondPause_neverShortensTheFirst")
{
    const ReplicaAvailability paused =
            m_fresh.paused(m_now, milliseconds(900)).paused(m_now, milliseconds(100));
    REQUIRE(paused.pausedUntil() == m_now + milliseconds(900));
}

TEST_CASE_METHOD(ReplicaAvailabilityFixture, "availability_absurdPause_isBounded")
{
    const ReplicaAvailability paused = m_fresh.paused(m_now, std::chrono::hours(300'000));
    REQUIRE(paused.pausedUntil() == m_now + maxReplicaPause);
    REQUIRE(m_fresh.paused(m_now, milliseconds(-5)) == m_fresh);
}

TEST_CASE_METHOD(ReplicaAvailabilityFixture, "availability_afterAPause_limitGrowsWithEachAnswer")
{
    ReplicaAvailability state = m_fresh.paused(m_now, milliseconds(500));
    state = state.succeeded(m_now, options);
    const Instant later = m_now + milliseconds(500);
    for (const std::uint32_t limit : {1U, 2U, 4U, 8U}) {
        REQUIRE(state.allowedInFlight(later) == limit);
        state = state.succeeded(later, options);
    }
    REQUIRE(state.allowedInFlight(later) == BackendHealth::unbounded);
}

TEST_CASE_METHOD(ReplicaAvailabilityFixture, "availability_severalCauses_namesTheGravest")
{
    ReplicaAvailability state = m_fresh.rejected(m_now, milliseconds(60));
    REQUIRE(state.cause(m_now) == UnavailableCause::RecentRejection);
    state = state.paused(m_now, milliseconds(500));
    REQUIRE(state.cause(m_now) == UnavailableCause::Paused);
    for (std::uint32_t n = 0; n < options.consecutiveFailures; ++n) {
        state = state.failed(m_now, options);
    }
    REQUIRE(state.cause(m_now) == UnavailableCause::Ejected);
    state = state.listed(true);
    REQUIRE(state.cause(m_now) == UnavailableCause::Draining);
    REQUIRE(state.leaving().cause(m_now) == UnavailableCause::Leaving);
}

} // namespace
} // namespace greengageseam
