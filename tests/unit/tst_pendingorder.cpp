/**
 * Tests of PendingOrder: which reports settle an order without an answer.
 * labels: unit
 */
#include "core/fleet/pendingorder.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class PendingOrderFixture
{
protected:
    PendingOrderFixture()
    {
        m_report.startedAtMs = 7;
        m_report.acceptedOrders = 4;
        m_report.loaded.version = 2;
    }

    PendingOrder m_order {3, 7, 4};
    ReplicaReport m_report;
};

TEST_CASE_METHOD(PendingOrderFixture, "pendingOrder_nothingHasChanged_isNotSettled")
{
    REQUIRE_FALSE(m_order.isSettledBy(m_report));
}

TEST_CASE_METHOD(PendingOrderFixture, "pendingOrder_reportIsOlderThanTheOrder_isNotSettled")
{
    m_report.acceptedOrders = 3;
    REQUIRE_FALSE(m_order.isSettledBy(m_report));
}

TEST_CASE_METHOD(PendingOrderFixture, "pendingOrder_oneMoreOrderWasAccepted_isSettled")
{
    m_report.acceptedOrders = 5;
    REQUIRE(m_order.isSettledBy(m_report));
}

TEST_CASE_METHOD(PendingOrderFixture, "pendingOrder_backendServerRestarted_isSettled")
{
    m_report.startedAtMs = 8;
    m_report.acceptedOrders = 0;
    REQUIRE(m_order.isSettledBy(m_report));
}

TEST_CASE_METHOD(PendingOrderFixture, "pendingOrder_versionIsLoaded_isSettled")
{
    m_report.loaded.version = 3;
    REQUIRE(m_order.isSettledBy(m_report));
}

} // namespace
} // namespace greengageseam
