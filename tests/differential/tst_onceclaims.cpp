/**
 * Compares the claim table with a reference model that keeps the full history, and tests
 * idempotency keys.
 * labels: differential promise-4
 */
#include "core/once/once.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>
#include <vector>

namespace greengageseam {
namespace {

constexpr int window = 100;

Instant at(std::int64_t microseconds)
{
    return Instant(Duration(microseconds));
}

/** Reference model: keeps all records, and evaluates them from the start on each lookup. */
class ReferenceClaimTable
{
public:
    ClaimPhase apply(const ClaimCreated &claim, ClaimPosition position, std::int64_t now)
    {
        const ClaimPhase phase = lookup(claim.key, claim.fingerprint, now);
        m_events.push_back({now, claim.key, Kind::Made, claim.fingerprint, position});
        return phase;
    }
    void apply(const ClaimFinished &finished, std::int64_t now)
    {
        const Kind kind = finished.ran == ExecutionStatus::Executed ? Kind::Ran : Kind::Lost;
        m_events.push_back({now, finished.key, kind, 0, {}});
    }
    void apply(const ClaimReleased &released, std::int64_t now)
    {
        m_events.push_back({now, released.key, Kind::Released, 0, released.position});
    }

    /** Evaluates the history of one key; claims expire after a gap as long as the window. */
    ClaimPhase lookup(const ClaimKey &key, std::uint64_t fingerprint, std::int64_t now) const
    {
        std::vector<Event> made;
        ClaimPhase phase = ClaimPhase::InProgress;
        const auto expireAt = [&](std::int64_t time) {
            if (!made.empty() && time - made.back().at >= window) {
                made.clear();
            }
        };
        for (const Event &event : m_events) {
            if (event.key != key) {
                continue;
            }
            expireAt(event.at);
            if (event.kind == Kind::Made) {
                phase = made.empty() ? ClaimPhase::InProgress : phase;
                made.push_back(event);
            } else if (made.empty()) {
                continue;
            } else if (event.kind == Kind::Ran) {
                phase = ClaimPhase::Finished;
            } else if (event.kind == Kind::Lost) {
                phase = phase == ClaimPhase::Finished ? phase : ClaimPhase::OutcomeUnknown;
            } else if (made.size() == 1 && made.front().position == event.position
                       && phase == ClaimPhase::InProgress) {
                made.clear();
            }
        }
        expireAt(now);
        if (made.empty()) {
            return ClaimPhase::First;
        }
        return made.front().fingerprint == fingerprint ? phase : ClaimPhase::FingerprintMismatch;
    }

private:
    enum class Kind { Made, Ran, Lost, Released };
    struct Event
    {
        std::int64_t at;
        ClaimKey key;
        Kind kind;
        std::uint64_t fingerprint;
        ClaimPosition position;
    };
    std::vector<Event> m_events;
};

/** One step of a random history. */
struct Step
{
    int kind = 0;
    std::uint64_t key = 0;
    std::uint64_t fingerprint = 0;
    int pause = 0;
    std::uint64_t offset = 0;
};

rc::Gen<Step> steps()
{
    return rc::gen::build<Step>(
            rc::gen::set(&Step::kind, rc::gen::inRange(0, 6)),
            rc::gen::set(&Step::key, rc::gen::inRange<std::uint64_t>(0, 3)),
            rc::gen::set(&Step::fingerprint,
                         rc::gen::weightedElement<std::uint64_t>({{9, 1}, {1, 2}})),
            rc::gen::set(&Step::pause, rc::gen::weightedElement<int>({{6, 3}, {2, 40}, {1, 120}})),
            rc::gen::set(&Step::offset, rc::gen::inRange<std::uint64_t>(1, 40)));
}

/** Applies the same history to a claim table and to the reference. */
class ClaimTableFixture
{
protected:
    static void compare(const std::vector<Step> &history)
    {
        ClaimTable table(ClaimTableOptions().withWindow(Duration(window)));
        ReferenceClaimTable reference;
        std::int64_t now = 0;
        std::uint64_t offset = 0;
        for (const Step &step : history) {
            now += step.pause;
            const ClaimKey key {0, step.key};
            if (step.kind <= 2) {
                const ClaimCreated claim {key, step.fingerprint, 0};
                const ClaimPosition position {Offset {++offset}, 0};
                const ClaimPhase expected = reference.apply(claim, position, now);
                RC_ASSERT(table.apply(claim, position, at(now)).phase == expected);
            } else if (step.kind == 3) {
                const ClaimFinished finished {key,
                                              step.offset % 2 == 0 ? ExecutionStatus::Executed
                                                                   : ExecutionStatus::Unknown,
                                              {}};
                reference.apply(finished, now);
                table.apply(finished, at(now));
            } else if (step.kind == 4) {
                const ClaimReleased released {key, {Offset {step.offset}, 0}};
                reference.apply(released, now);
                table.apply(released, at(now));
            }
            const ClaimPhase expected = reference.lookup(key, step.fingerprint, now);
            RC_ASSERT(table.lookup(key, step.fingerprint, at(now)).phase == expected);
        }
    }
};

TEST_CASE_METHOD(ClaimTableFixture, "claimTable_randomHistory_matchesReference")
{
    const bool isSame = rc::check([] {
        const auto length = *rc::gen::inRange(1, 60);
        compare(*rc::gen::container<std::vector<Step>>(length, steps()));
    });
    REQUIRE(isSame);
}

/**
 * Several processes read the same claims with random delays. Guards against two claims of one key
 * that both count as the first within a window, so that a call is executed twice.
 */
TEST_CASE_METHOD(ClaimTableFixture,
                 "claimTable_manyReadersWithLags_neverAcceptTwoClaimsOfOneWindow")
{
    const bool holds = rc::check([] {
        const auto readers = *rc::gen::inRange<std::size_t>(2, 5);
        std::vector<ClaimTable> tables(
                readers, ClaimTable(ClaimTableOptions().withWindow(Duration(window))));
        std::vector<std::int64_t> clocks(readers, 0);
        std::int64_t appendedAt = 0;
        std::int64_t lastFirstAt = -10 * window;
        const auto claims = *rc::gen::inRange<std::uint64_t>(1, 40);
        for (std::uint64_t n = 1; n <= claims; ++n) {
            appendedAt += *rc::gen::inRange(0, window / 2);
            const auto owner = *rc::gen::inRange<std::size_t>(0, readers);
            for (std::size_t reader = 0; reader < readers; ++reader) {
                clocks[reader] = std::max(clocks[reader], appendedAt + *rc::gen::inRange(0, 30));
                const ClaimCreated claim {{0, 7}, 1, n};
                const ClaimStatus verdict =
                        tables[reader].apply(claim, {Offset {n}, 0}, at(clocks[reader]));
                if (reader == owner && verdict.phase == ClaimPhase::First) {
                    RC_ASSERT(clocks[reader] - lastFirstAt >= window);
                    lastFirstAt = appendedAt;
                }
            }
        }
    });
    REQUIRE(holds);
}

TEST_CASE_METHOD(ClaimTableFixture, "claimTable_windowAtFullRate_staysWithinMaxKeys")
{
    ClaimTable table;
    constexpr std::uint64_t perSecond = 200;
    for (std::uint64_t n = 0; n < 300'000; ++n) {
        const Instant now = Instant(std::chrono::seconds(n / perSecond));
        table.apply(ClaimCreated {{n, n}, 1, n}, {Offset {n + 1}, 0}, now);
        table.apply(ClaimFinished {{n, n},
                                   ExecutionStatus::Executed,
                                   StoredResponse {200, "text/plain", "whole"}},
                    now);
    }
    REQUIRE(table.size() <= ClaimTableOptions().maxKeys);
}

/** Checks of idempotency keys. */
class IdempotencyKeyFixture
{
protected:
    static Outcome<std::monostate> check(const std::string &key, WallTime now)
    {
        return toOutcome([&]() -> Result<std::monostate> {
            BOOST_LEAF_CHECK(checkIdempotencyKey(key, IdempotencyKeyOptions(), now));
            return std::monostate();
        });
    }

    static std::string keyMadeAt(std::int64_t milliseconds)
    {
        char buf[40];
        std::snprintf(buf, sizeof buf, "%08llx-%04llx-7abc-8def-0123456789ab",
                      static_cast<unsigned long long>(milliseconds >> 16),
                      static_cast<unsigned long long>(milliseconds & 0xffff));
        return buf;
    }

    static constexpr std::int64_t now = 1'790'000'000'000;
    WallTime m_now {std::chrono::milliseconds(now)};
};

TEST_CASE_METHOD(IdempotencyKeyFixture, "idempotencyKey_olderThanWindow_isTooOld")
{
    REQUIRE(failureOf(check(keyMadeAt(now - 15 * 60 * 1000), m_now))->kind == ErrorKind::KeyTooOld);
    REQUIRE(failureOf(check(keyMadeAt(now - 12 * 60 * 1000), m_now)) == nullptr);
    REQUIRE(failureOf(check("order-17", m_now)) == nullptr);
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "idempotencyKey_fromTheFutureOrMalformed_isInvalid")
{
    for (const std::string &key : {keyMadeAt(now + 5 * 60 * 1000), std::string("two words"),
                                   std::string(300, 'a'), std::string()}) {
        REQUIRE(failureOf(check(key, m_now))->kind == ErrorKind::InvalidRequest);
    }
}

TEST_CASE_METHOD(IdempotencyKeyFixture, "idempotencyKey_ofAnotherAccountOrService_isAnotherClaim")
{
    std::set<ClaimKey> keys;
    for (const char *account : {"huer", "rails"}) {
        for (const char *service : {"stitching", "booking"}) {
            keys.insert(makeClaimKey(AccountName(account), ServiceName(service), "k"));
        }
    }
    REQUIRE(keys.size() == 4);
    REQUIRE(parseClaimKey(textOf(*keys.begin())) == *keys.begin());
}

} // namespace
} // namespace greengageseam
