#include "core/placement/orderlease.h"

namespace greengageseam {

OrderLeaseOptions OrderLeaseOptions::withLeaseTime(Duration value) const
{
    OrderLeaseOptions options = *this;
    options.leaseTime = value;
    return options;
}

OrderLeaseOptions OrderLeaseOptions::withMaxOrderTime(Duration value) const
{
    OrderLeaseOptions options = *this;
    options.maxOrderTime = value;
    return options;
}

OrderLease::OrderLease(OrderLeaseOptions options) : m_options(options) { }

OrderLease OrderLease::after(const OrderLeaseEvent &event, Instant now) const
{
    OrderLease next = *this;
    if (isPaused(now)) {
        next.m_pausedUntil = now;
    }
    next.m_lastStep = now;
    std::visit([&](const auto &happened) { next.apply(happened); }, event);
    return next;
}

OrderPermission OrderLease::permission(Instant now) const
{
    if (m_isSuperseded) {
        return OrderPermission::Superseded;
    }
    if (m_number.value == 0) {
        return OrderPermission::NoNumber;
    }
    if (now < m_firstOrderAt) {
        return OrderPermission::WaitForPredecessor;
    }
    const bool isLeaseOver = now - m_lastCheckStart > m_options.leaseTime && !m_isLogUnavailable;
    if (isPaused(now) || m_lastCheckStart < m_pausedUntil || isLeaseOver) {
        return OrderPermission::CheckLog;
    }
    return OrderPermission::Granted;
}

void OrderLease::apply(const IncarnationGranted &event)
{
    m_number = event.number;
    m_lastCheckStart = event.at;
    m_firstOrderAt = event.at;
    if (event.hasPredecessor) {
        m_firstOrderAt += m_options.leaseTime + m_options.maxOrderTime;
    }
}

void OrderLease::apply(const IncarnationsChecked &event)
{
    m_isLogUnavailable = false;
    m_isSuperseded = m_isSuperseded || event.newestOther > m_number;
    m_lastCheckStart = std::max(m_lastCheckStart, event.readStart);
}

void OrderLease::apply(const IncarnationsUnreadable &)
{
    m_isLogUnavailable = true;
}

void OrderLease::apply(const OrderLeaseTick &) { }

bool OrderLease::isPaused(Instant now) const
{
    return m_number.value != 0 && now - m_lastStep > m_options.pauseLimit;
}

} // namespace greengageseam
