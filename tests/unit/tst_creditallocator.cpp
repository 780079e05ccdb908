/**
 * Tests of the credits that the agent of a contended backend server hands out to entries.
 */
#include "core/fleet/creditallocator.h"

#include <catch2/catch.hpp>
#include <set>

namespace greengageseam {
namespace {

class CreditAllocatorFixture
{
protected:
    static std::vector<CreditClaim> claims(int n, std::uint32_t arrivals)
    {
        std::vector<CreditClaim> result;
        for (int i = 0; i < n; ++i) {
            result.push_back({InstanceId("entry-" + std::to_string(i)), true, arrivals, 0});
        }
        return result;
    }

    /** @returns the credits of each entry after a number of reports with one credit each */
    std::map<InstanceId, std::uint32_t> allocateOneByOne(int reports,
                                                         const std::vector<CreditClaim> &claims)
    {
        std::map<InstanceId, std::uint32_t> sum;
        for (int i = 0; i < reports; ++i) {
            for (const auto &[entry, credits] : m_allocator.allocate(1, claims)) {
                sum[entry] += credits;
            }
        }
        return sum;
    }

    CreditAllocator m_allocator {7};
};

TEST_CASE_METHOD(CreditAllocatorFixture, "isContended_fewSlotsInUse_isFalse")
{
    REQUIRE_FALSE(isContended({8, 4}));
    REQUIRE(isContended({8, 5}));
    REQUIRE(isContended({8, 24}));
}

TEST_CASE_METHOD(CreditAllocatorFixture, "availableCredits_someSlotsInUse_areTheOthers")
{
    REQUIRE(availableCredits({8, 5}) == 3);
    REQUIRE(availableCredits({8, 8}) == 0);
    REQUIRE(availableCredits({8, 24}) == 0);
}

TEST_CASE_METHOD(CreditAllocatorFixture, "availableCredits_slotsUnknown_isZero")
{
    REQUIRE(availableCredits({0, 0}) == 0);
}

TEST_CASE_METHOD(CreditAllocatorFixture, "allocate_fewerCreditsThanEntries_entriesTakeTurns")
{
    const auto sum = allocateOneByOne(60, claims(20, 10));
    REQUIRE(sum.size() == 20);
    for (const auto &[entry, credits] : sum) {
        REQUIRE(credits == 3);
    }
}

TEST_CASE_METHOD(CreditAllocatorFixture, "allocate_oneEntryHasMostCallers_receivesInProportion")
{
    std::vector<CreditClaim> unequal = claims(3, 10);
    unequal.front().arrivals = 60;
    const auto sum = allocateOneByOne(80, unequal);
    REQUIRE(sum.at(unequal.front().entry) >= 58);
    REQUIRE(sum.at(unequal.back().entry) >= 9);
}

TEST_CASE_METHOD(CreditAllocatorFixture, "allocate_noEntryHasCallers_allTakeTurns")
{
    REQUIRE(allocateOneByOne(5, claims(5, 0)).size() == 5);
}

TEST_CASE_METHOD(CreditAllocatorFixture, "allocate_otherZoneTurnsAwayNoMore_receivesNothing")
{
    std::vector<CreditClaim> both = claims(2, 10);
    both.back().isSameZone = false;
    both.front().turnedAwayShare = 0.4;
    both.back().turnedAwayShare = 0.45;
    REQUIRE_FALSE(allocateOneByOne(20, both).contains(both.back().entry));
}

// The servers of a zone are lost, and its entries have no others than those of other zones.
TEST_CASE_METHOD(CreditAllocatorFixture, "allocate_otherZoneTurnsAwayAll_receivesItsShare")
{
    std::vector<CreditClaim> both = claims(2, 10);
    both.back().isSameZone = false;
    both.back().turnedAwayShare = 1;
    const auto sum = allocateOneByOne(20, both);
    REQUIRE(sum.at(both.back().entry) >= 9);
    REQUIRE(sum.at(both.front().entry) >= 9);
}

TEST_CASE_METHOD(CreditAllocatorFixture, "allocate_entryHasGone_othersReceiveItsCredits")
{
    std::vector<CreditClaim> all = claims(4, 10);
    allocateOneByOne(40, all);
    all.pop_back();
    const auto sum = allocateOneByOne(30, all);
    for (const auto &[entry, credits] : sum) {
        REQUIRE(credits == 10);
    }
}

TEST_CASE_METHOD(CreditAllocatorFixture, "allocate_severalServers_differentEntriesComeFirst")
{
    std::set<InstanceId> first;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        CreditAllocator allocator(seed);
        first.insert(allocator.allocate(1, claims(20, 10)).begin()->first);
    }
    REQUIRE(first.size() >= 5);
}

TEST_CASE_METHOD(CreditAllocatorFixture, "allocate_noClaims_isEmpty")
{
    REQUIRE(m_allocator.allocate(8, {}).empty());
}

} // namespace
} // namespace greengageseam
