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
class NaiveBook
{
public:
    ClaimPhase read(const ClaimMade &claim, ClaimPosition position, std::int64_t now)
    {
        const ClaimPhase phase = look(claim.key, claim.fingerprint, now);
        m_events.push_back({now, claim.key, Kind::Made, claim.fingerprint, position});
        return phase;
    }
    void read(const ClaimEnded &ended, std::int64_t now)
    {
        const Kind kind = ended.ran == Ran::Yes ? Kind::Ran : Kind::Lost;
        m_events.push_back({now, ended.key, kind, 0, {}});
    }
    void read(const ClaimReleased &released, std::int64_t now)
    {
        m_events.push_back({now, released.key, Kind::Released, 0, released.position});
    }

    /** Evaluates the history of one key; claims expire after a gap as long as the window. */
    ClaimPhase look(const ClaimKey &key, std::uint64_t fingerprint, std::int64_t now) const
    {
        std::vector<Event> made;
        ClaimPhase phase = ClaimPhase::InProgress;
        const auto forgetAt = [&](std::int64_t time) {
            if (!made.empty() && time - made.back().at >= window) {
                made.clear();
            }
        };
        for (const Event &event : m_events) {
            if (event.key != key) {
                continue;
            }
            forgetAt(event.at);
            if (event.kind == Kind::Made) {
                phase = made.empty() ? ClaimPhase::InProgress : phase;
                made.push_back(event);
            } else if (made.empty()) {
                continue;
            } else if (event.kind == Kind::Ran) {
                phase = ClaimPhase::Ended;
            } else if (event.kind == Kind::Lost) {
                phase = phase == ClaimPhase::Ended ? phase : ClaimPhase::OutcomeUnknown;
            } else if (made.size() == 1 && made.front().position == event.position
                       && phase == ClaimPhase::InProgress) {
                made.clear();
            }
        }
        forgetAt(now);
        if (made.empty()) {
            return ClaimPhase::First;
        }
        return made.front().fingerprint == fingerprint ? phase : ClaimPhase::OtherRequest;
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
class ClaimBookFixture
{
protected:
    static void compare(const std::vector<Step> &history)
    {
        ClaimBook book(ClaimBookOptions().withWindow(Duration(window)));
        NaiveBook twin;
        std::int64_t now = 0;
        std::uint64_t offset = 0;
        for (const Step &step : history) {
            now += step.pause;
            const ClaimKey key {0, step.key};
            if (step.kind <= 2) {
                const ClaimMade claim {key, step.fingerprint, 0};
                const ClaimPosition position {Offset {++offset}, 0};
                const ClaimPhase expected = twin.read(claim, position, now);
                RC_ASSERT(book.read(claim, position, at(now)).phase == expected);
            } else if (step.kind == 3) {
                const ClaimEnded ended {key, step.offset % 2 == 0 ? Ran::Yes : Ran::Unknown, {}};
                twin.read(ended, now);
                book.read(ended, at(now));
            } else if (step.kind == 4) {
                const ClaimReleased released {key, {Offset {step.offset}, 0}};
                twin.read(released, now);
                book.read(released, at(now));
            }
            const ClaimPhase expected = twin.look(key, step.fingerprint, now);
            RC_ASSERT(book.look(key, step.fingerprint, at(now)).phase == expected);
        }
    }
};

TEST_CASE_METHOD(ClaimBookFixture, "claimTable_randomHistory_matchesReference")
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
TEST_CASE_METHOD(ClaimBookFixture, "claimTable_manyReadersWithLags_neverAcceptTwoClaimsOfOneWindow")
{
    const bool holds = rc::check([] {
        const auto readers = *rc::gen::inRange<std::size_t>(2, 5);
        std::vector<ClaimBook> books(readers,
                                     ClaimBook(ClaimBookOptions().withWindow(Duration(window))));
        std::vector<std::int64_t> clocks(readers, 0);
        std::int64_t appendedAt = 0;
        std::int64_t lastWinAt = -10 * window;
        const auto claims = *rc::gen::inRange<std::uint64_t>(1, 40);
        for (std::uint64_t n = 1; n <= claims; ++n) {
            appendedAt += *rc::gen::inRange(0, window / 2);
            const auto owner = *rc::gen::inRange<std::size_t>(0, readers);
            for (std::size_t reader = 0; reader < readers; ++reader) {
                clocks[reader] = std::max(clocks[reader], appendedAt + *rc::gen::inRange(0, 30));
                const ClaimMade claim {{0, 7}, 1, n};
                const ClaimVerdict verdict =
                        books[reader].read(claim, {Offset {n}, 0}, at(clocks[reader]));
                if (reader == owner && verdict.phase == ClaimPhase::First) {
                    RC_ASSERT(clocks[reader] - lastWinAt >= window);
                    lastWinAt = appendedAt;
                }
            }
        }
    });
    REQUIRE(holds);
}

TEST_CASE_METHOD(ClaimBookFixture, "claimTable_windowAtFullRate_staysWithinMaxKeys")
{
    ClaimBook book;
    constexpr std::uint64_t perSecond = 200;
    for (std::uint64_t n = 0; n < 300'000; ++n) {
        const Instant now = Instant(std::chrono::seconds(n / perSecond));
        book.read(ClaimMade {{n, n}, 1, n}, {Offset {n + 1}, 0}, now);
        book.read(ClaimEnded {{n, n}, Ran::Yes, ClaimAnswer {200, "text/plain", "whole"}}, now);
    }
    REQUIRE(book.size() <= ClaimBookOptions().maxKeys);
}

/** Checks of idempotency keys. */
class CallerKeyFixture
{
protected:
    static Outcome<std::monostate> check(const std::string &key, WallTime now)
    {
        return settle([&]() -> Result<std::monostate> {
            BOOST_LEAF_CHECK(checkCallerKey(key, KeyOptions(), now));
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

TEST_CASE_METHOD(CallerKeyFixture, "idempotencyKey_olderThanWindow_isTooOld")
{
    REQUIRE(failureOf(check(keyMadeAt(now - 15 * 60 * 1000), m_now))->kind == ErrorKind::KeyTooOld);
    REQUIRE(failureOf(check(keyMadeAt(now - 12 * 60 * 1000), m_now)) == nullptr);
    REQUIRE(failureOf(check("order-17", m_now)) == nullptr);
}

TEST_CASE_METHOD(CallerKeyFixture, "idempotencyKey_fromTheFutureOrMalformed_isInvalid")
{
    for (const std::string &key : {keyMadeAt(now + 5 * 60 * 1000), std::string("two words"),
                                   std::string(300, 'a'), std::string()}) {
        REQUIRE(failureOf(check(key, m_now))->kind == ErrorKind::InvalidRequest);
    }
}

TEST_CASE_METHOD(CallerKeyFixture, "idempotencyKey_ofAnotherAccountOrService_isAnotherClaim")
{
    std::set<ClaimKey> keys;
    for (const char *account : {"huer", "rails"}) {
        for (const char *service : {"stitching", "booking"}) {
            keys.insert(claimKeyOf(AccountName(account), ServiceName(service), "k"));
        }
    }
    REQUIRE(keys.size() == 4);
    REQUIRE(claimKeyNamed(textOf(*keys.begin())) == *keys.begin());
}

} // namespace
} // namespace greengageseam
