#include "core/placement/orderlease.h"

namespace greengageseam {

OrderDutyOptions OrderDutyOptions::withLeaseTime(Duration value) const
{
    OrderDutyOptions options = *this;
    options.leaseTime = value;
    return options;
}

OrderDutyOptions OrderDutyOptions::withLongestOrder(Duration value) const
{
    OrderDutyOptions options = *this;
    options.longestOrder = value;
    return options;
}

OrderDuty::OrderDuty(OrderDutyOptions options) : m_options(options) { }

OrderDuty OrderDuty::after(const DutyEvent &event, Instant now) const
{
    OrderDuty next = *this;
    if (isPaused(now)) {
        next.m_pausedUntil = now;
    }
    next.m_lastStep = now;
    std::visit([&](const auto &happened) { next.apply(happened); }, event);
    return next;
}

OrderPermission OrderDuty::permission(Instant now) const
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
    const bool isLeaseOver = now - m_checkedSince > m_options.leaseTime && !m_isLogSilent;
    if (isPaused(now) || m_checkedSince < m_pausedUntil || isLeaseOver) {
        return OrderPermission::CheckLog;
    }
    return OrderPermission::Granted;
}

void OrderDuty::apply(const IncarnationGranted &event)
{
    m_number = event.number;
    m_checkedSince = event.at;
    m_firstOrderAt = event.at;
    if (event.hasPredecessor) {
        m_firstOrderAt += m_options.leaseTime + m_options.longestOrder;
    }
}

void OrderDuty::apply(const IncarnationsChecked &event)
{
    m_isLogSilent = false;
    m_isSuperseded = m_isSuperseded || event.newestOther > m_number;
    m_checkedSince = std::max(m_checkedSince, event.since);
}

void OrderDuty::apply(const IncarnationsUnreadable &)
{
    m_isLogSilent = true;
}

void OrderDuty::apply(const DutyTick &) { }

bool OrderDuty::isPaused(Instant now) const
{
    return m_number.value != 0 && now - m_lastStep > m_options.pauseLimit;
}

} // namespace greengageseam
