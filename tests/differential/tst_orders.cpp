/**
 * Tests of OrderLease with a simulated log, a holder that is paused, and its successor. They guard
 * against an order of a superseded holder that takes effect after its successor's first order.
 */
#include "core/placement/orderlease.h"

#include <catch2/catch.hpp>
#include <optional>
#include <rapidcheck/catch.h>

namespace greengageseam {
namespace {

/** Simulates holders of one slot, and the log that they read when their lease requires it. */
class OrderLeaseFixture
{
protected:
    static constexpr auto step = std::chrono::milliseconds(250);
    static constexpr auto maxOrderTime = std::chrono::seconds(5);

    /** Runs one step of a holder. @returns whether it may send an order */
    static bool tryOrder(OrderLease &lease, Instant now, bool isLogUp, Offset newestOther)
    {
        lease = lease.after(OrderLeaseTick {}, now);
        if (lease.permission(now) == OrderPermission::CheckLog) {
            lease = isLogUp ? lease.after(IncarnationsChecked {now, newestOther}, now)
                            : lease.after(IncarnationsUnreadable {}, now);
        }
        return lease.permission(now) == OrderPermission::Granted;
    }

    static OrderLease granted(std::uint64_t number, bool hasPredecessor, Instant now)
    {
        OrderLease lease;
        lease = lease.after(IncarnationGranted {Offset {number}, hasPredecessor, now}, now);
        return lease.after(IncarnationsChecked {now, Offset {0}}, now);
    }
};

TEST_CASE_METHOD(OrderLeaseFixture,
                 "orderLease_predecessorFreezesAndWakes_neverOrdersAfterSuccessor")
{
    rc::prop("no order of the predecessor takes effect after the successor's first", [] {
        const int replacedAt = *rc::gen::inRange(20, 40);
        const int frozenFrom = replacedAt - *rc::gen::inRange(9, 18);
        const int frozenUntil = replacedAt + *rc::gen::inRange(0, 80);
        const int outageFrom = *rc::gen::inRange(0, 160);
        const int outageUntil = outageFrom + *rc::gen::inRange(0, 80);
        OrderLease first = granted(1, false, Instant());
        OrderLease second;
        std::optional<Instant> lastOfFirst;
        std::optional<Instant> firstOfSecond;
        for (int i = 0; i < 240; ++i) {
            const Instant now = Instant() + i * step;
            const bool isLogUp = i < outageFrom || i >= outageUntil || i == replacedAt;
            if (i == replacedAt) {
                second = granted(2, true, now);
            }
            const bool isFrozen = i >= frozenFrom && i < frozenUntil;
            if (!isFrozen && tryOrder(first, now, isLogUp, Offset {i >= replacedAt ? 2U : 0U})) {
                lastOfFirst = now;
            }
            if (i > replacedAt && tryOrder(second, now, isLogUp, Offset {1}) && !firstOfSecond) {
                firstOfSecond = now;
            }
        }
        RC_ASSERT(firstOfSecond.has_value());
        RC_ASSERT(!lastOfFirst || *lastOfFirst + maxOrderTime <= *firstOfSecond);
    });
}

TEST_CASE_METHOD(OrderLeaseFixture, "orderLease_logOutageWithoutPause_holderMayContinue")
{
    OrderLease lease = granted(1, false, Instant());
    for (int i = 0; i < 400; ++i) {
        REQUIRE(tryOrder(lease, Instant() + i * step, false, Offset {0}));
    }
}

TEST_CASE_METHOD(OrderLeaseFixture, "orderLease_pausedInLogOutage_sendsNoOrderUntilTheLogIsRead")
{
    OrderLease lease = granted(1, false, Instant());
    const Instant woken = Instant() + std::chrono::seconds(30);
    REQUIRE_FALSE(tryOrder(lease, woken, false, Offset {0}));
    REQUIRE_FALSE(tryOrder(lease, woken + step, false, Offset {0}));
    REQUIRE(tryOrder(lease, woken + 2 * step, true, Offset {0}));
}

TEST_CASE_METHOD(OrderLeaseFixture, "orderLease_withoutNumber_sendsNoOrder")
{
    OrderLease lease;
    REQUIRE_FALSE(tryOrder(lease, Instant() + step, true, Offset {0}));
}

} // namespace
} // namespace greengageseam
