/**
 * Tests of the registry of backend servers, which copies the list of backend servers.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class ReplicaRegistryFixture
{
protected:
    static ReplicaEntry entry(const std::string &id, std::uint64_t startedAtMs = 1)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId(id);
        entry.service = ServiceName("pool");
        entry.address = Address("127.0.0.1:1");
        entry.startedAtMs = startedAtMs;
        return entry;
    }

    static Instant at(int ms) { return Instant(milliseconds(ms)); }

    /** Attempts to read the list without an answer, once a second. */
    void tryInVain(int fromMs, int toMs)
    {
        for (int ms = fromMs; ms <= toMs; ms += 1000) {
            m_registry.recordAttempt(at(ms));
        }
    }

    ReplicaRegistry m_registry;
};

TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_removalWhileReadsSucceed_removesAtOnce")
{
    m_registry.recordRead(at(0));
    m_registry.put(entry("a"));
    m_registry.recordRead(at(600));
    REQUIRE(m_registry.remove(ReplicaId("a"), at(600))->change == ReplicaChange::Gone);
    REQUIRE(m_registry.entries().empty());
}

TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_removalAfterOutage_keepsEntryForTheGracePeriod")
{
    m_registry.recordRead(at(0));
    m_registry.put(entry("a"));
    tryInVain(600, 7600);
    m_registry.recordRead(at(8000));
    REQUIRE(m_registry.remove(ReplicaId("a"), at(8000))->change == ReplicaChange::Lapsed);
    REQUIRE(m_registry.entries().size() == 1);
    REQUIRE(m_registry.expire(at(10'300)).size() == 1);
    REQUIRE(m_registry.entries().empty());
}

TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_lapsedEntryReturnsWithinGracePeriod_stays")
{
    m_registry.recordRead(at(0));
    m_registry.put(entry("a"));
    tryInVain(600, 7600);
    m_registry.recordRead(at(8000));
    m_registry.remove(ReplicaId("a"), at(8000));
    REQUIRE(m_registry.put(entry("a"))->change == ReplicaChange::Returned);
    REQUIRE(m_registry.expire(at(20'000)).empty());
}

TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_drainingEntryRemovedAfterOutage_isRemovedAtOnce")
{
    m_registry.recordRead(at(0));
    ReplicaEntry leaving = entry("a");
    leaving.isDraining = true;
    m_registry.put(leaving);
    tryInVain(600, 7600);
    m_registry.recordRead(at(8000));
    REQUIRE(m_registry.remove(ReplicaId("a"), at(8000))->change == ReplicaChange::Gone);
}

// The process was paused, or its read took long: others know since when the entry is missing.
TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_readLongAfterTheLastAttempt_removesAtOnce")
{
    m_registry.recordRead(at(0));
    m_registry.put(entry("a"));
    m_registry.recordAttempt(at(600));
    m_registry.recordRead(at(8000));
    REQUIRE(m_registry.remove(ReplicaId("a"), at(8000))->change == ReplicaChange::Gone);
    REQUIRE(m_registry.entries().empty());
}

TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_pausedAfterAnOutage_dropsTheGraceThatHasPassed")
{
    m_registry.recordRead(at(0));
    m_registry.put(entry("a"));
    tryInVain(600, 5600);
    m_registry.recordAttempt(at(8000));
    m_registry.recordRead(at(8100));
    REQUIRE(m_registry.remove(ReplicaId("a"), at(8100))->change == ReplicaChange::Lapsed);
    REQUIRE(m_registry.expire(at(8500)).size() == 1);
    REQUIRE(m_registry.entries().empty());
}

// After a cut, servers that leave must not be used once the process is connected again (review
// case 4). The cut ends right after the start of the read that fails last.
TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_lastReadOfACutHung_graceEndsWithTheReconnection")
{
    m_registry.recordRead(at(0));
    m_registry.put(entry("a"));
    for (const int ms : {600, 2200, 3800, 5400}) {
        m_registry.recordAttempt(at(ms));
    }
    m_registry.recordRead(at(5450));
    REQUIRE(m_registry.remove(ReplicaId("a"), at(5450))->change == ReplicaChange::Lapsed);
    REQUIRE(m_registry.nextExpiry() == at(6700));
    REQUIRE(m_registry.expire(at(6699)).empty());
    REQUIRE(m_registry.expire(at(6700)).size() == 1);
    REQUIRE_FALSE(m_registry.nextExpiry());
}

TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_lapsedEntryReturns_nothingIsLeftToExpire")
{
    m_registry.recordRead(at(0));
    m_registry.put(entry("a"));
    tryInVain(600, 7600);
    m_registry.recordRead(at(8000));
    m_registry.remove(ReplicaId("a"), at(8000));
    m_registry.put(entry("a"));
    REQUIRE_FALSE(m_registry.nextExpiry());
}

TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_sameIdWithOtherStartTime_isRestarted")
{
    m_registry.put(entry("a", 1));
    REQUIRE(m_registry.put(entry("a", 2))->change == ReplicaChange::Restarted);
}

TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_completeListLacksAnEntry_removesIt")
{
    m_registry.recordRead(at(0));
    m_registry.put(entry("a"));
    m_registry.put(entry("b"));
    const std::vector<ReplicaUpdate> updates = m_registry.retainOnly({ReplicaId("b")}, at(0));
    REQUIRE(updates == std::vector<ReplicaUpdate> {{ReplicaId("a"), ReplicaChange::Gone}});
}

// The copy from which the store came back still has a server that has left.
TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_removalWasLost_entryIsOutdatedUntilWritten")
{
    m_registry.put(entry("a"));
    m_registry.remove(ReplicaId("a"), at(600));
    m_registry.recordLoss(at(1200));
    REQUIRE(m_registry.isOutdated(entry("a")));
    REQUIRE_FALSE(m_registry.isOutdated(entry("a", 2)));
    m_registry.put(entry("a"));
    REQUIRE_FALSE(m_registry.isOutdated(entry("a")));
}

TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_noticeOfLeavingWasLost_entryIsOutdated")
{
    ReplicaEntry leaving = entry("a");
    leaving.isDraining = true;
    m_registry.put(leaving);
    m_registry.recordLoss(at(1200));
    REQUIRE(m_registry.isOutdated(entry("a")));
    REQUIRE_FALSE(m_registry.isOutdated(leaving));
    REQUIRE_FALSE(m_registry.isOutdated(entry("a", 2)));
}

TEST_CASE_METHOD(ReplicaRegistryFixture, "registry_registrationWasLost_isKeptForTheGracePeriod")
{
    m_registry.recordRead(at(0));
    m_registry.put(entry("a"));
    m_registry.recordRead(at(600));
    m_registry.recordLoss(at(600));
    REQUIRE(m_registry.retainOnly({}, at(600)).front().change == ReplicaChange::Lapsed);
    REQUIRE(m_registry.expire(at(2700)).empty());
    REQUIRE(m_registry.expire(at(2900)).size() == 1);
}

} // namespace
} // namespace greengageseam
