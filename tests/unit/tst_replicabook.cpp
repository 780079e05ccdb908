/**
 * Tests of the registry of backend servers, which copies the list of backend servers.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class ReplicaBookFixture
{
protected:
    static ReplicaEntry entry(const std::string &id, std::uint64_t born = 1)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId(id);
        entry.service = ServiceName("pool");
        entry.address = Address("127.0.0.1:1");
        entry.bornMs = born;
        return entry;
    }

    static Instant at(int ms) { return Instant(milliseconds(ms)); }

    ReplicaBook m_book;
};

TEST_CASE_METHOD(ReplicaBookFixture, "registry_removalWhileReadsSucceed_removesAtOnce")
{
    m_book.beginRead(at(0));
    m_book.put(entry("a"));
    m_book.beginRead(at(600));
    REQUIRE(m_book.remove(ReplicaId("a"), at(600))->change == ReplicaChange::Gone);
    REQUIRE(m_book.entries().empty());
}

TEST_CASE_METHOD(ReplicaBookFixture, "registry_removalAfterOutage_keepsEntryForTheGracePeriod")
{
    m_book.beginRead(at(0));
    m_book.put(entry("a"));
    m_book.beginRead(at(8000));
    REQUIRE(m_book.remove(ReplicaId("a"), at(8000))->change == ReplicaChange::Lapsed);
    REQUIRE(m_book.entries().size() == 1);
    REQUIRE(m_book.expire(at(10'300)).size() == 1);
    REQUIRE(m_book.entries().empty());
}

TEST_CASE_METHOD(ReplicaBookFixture, "registry_lapsedEntryReturnsWithinGracePeriod_stays")
{
    m_book.beginRead(at(0));
    m_book.put(entry("a"));
    m_book.beginRead(at(8000));
    m_book.remove(ReplicaId("a"), at(8000));
    REQUIRE(m_book.put(entry("a"))->change == ReplicaChange::Returned);
    REQUIRE(m_book.expire(at(20'000)).empty());
}

TEST_CASE_METHOD(ReplicaBookFixture, "registry_drainingEntryRemovedAfterOutage_isRemovedAtOnce")
{
    m_book.beginRead(at(0));
    ReplicaEntry leaving = entry("a");
    leaving.isDraining = true;
    m_book.put(leaving);
    m_book.beginRead(at(8000));
    REQUIRE(m_book.remove(ReplicaId("a"), at(8000))->change == ReplicaChange::Gone);
}

TEST_CASE_METHOD(ReplicaBookFixture, "registry_sameIdWithOtherStartTime_isRestarted")
{
    m_book.put(entry("a", 1));
    REQUIRE(m_book.put(entry("a", 2))->change == ReplicaChange::Restarted);
}

TEST_CASE_METHOD(ReplicaBookFixture, "registry_completeListLacksAnEntry_removesIt")
{
    m_book.beginRead(at(0));
    m_book.put(entry("a"));
    m_book.put(entry("b"));
    const std::vector<ReplicaNews> news = m_book.retain({ReplicaId("b")}, at(0));
    REQUIRE(news == std::vector<ReplicaNews> {{ReplicaId("a"), ReplicaChange::Gone}});
}

} // namespace
} // namespace greengageseam
