#include "net/processbudget.h"

#include "net/clock.h"

namespace greengageseam {

namespace {

/** Shortest time between two log lines about a full budget. */
constexpr auto logInterval = std::chrono::seconds(1);
constexpr std::string_view memoryCause = "memory";
constexpr std::string_view socketsCause = "sockets";

} // namespace

ProcessBudget::ProcessBudget(BudgetLimits limits, std::shared_ptr<Metrics> metrics, Log log)
    : m_budget(limits), m_metrics(std::move(metrics)), m_log(std::move(log))
{ }

HolderId ProcessBudget::add(CloseForRoom closeForRoom)
{
    const HolderId id = m_budget.add(monotonicNow());
    m_closers.emplace(id, std::move(closeForRoom));
    return id;
}

void ProcessBudget::remove(HolderId id)
{
    m_budget.remove(id);
    m_closers.erase(id);
    m_refused.erase(id);
}

void ProcessBudget::setPhase(HolderId id, HolderPhase phase)
{
    m_budget.setPhase(id, phase, monotonicNow());
    m_refused.erase(id);
}

void ProcessBudget::recordProgress(HolderId id)
{
    m_budget.recordProgress(id, monotonicNow());
}

bool ProcessBudget::hold(HolderId id, std::size_t bytes)
{
    const HoldDecision decision = m_budget.hold(id, bytes, monotonicNow());
    closeAll(decision, memoryCause);
    if (decision.isGranted) {
        m_refused.erase(id);
    } else if (m_closers.contains(id) && m_refused.insert(id).second) {
        countRefusal(memoryCause);
    }
    return decision.isGranted;
}

void ProcessBudget::holdInAnyCase(HolderId id, std::size_t bytes)
{
    closeAll(m_budget.holdInAnyCase(id, bytes, monotonicNow()), memoryCause);
}

void ProcessBudget::release(HolderId id, std::size_t bytes)
{
    m_budget.release(id, bytes);
}

bool ProcessBudget::makeRoomForSockets(std::size_t sockets, std::size_t requests)
{
    const HoldDecision decision = m_budget.makeRoomForSockets(sockets, requests, monotonicNow());
    closeAll(decision, socketsCause);
    return decision.isGranted;
}

void ProcessBudget::closeAll(const HoldDecision &decision, std::string_view cause)
{
    for (const HolderId id : decision.closed) {
        const auto it = m_closers.find(id);
        if (it == m_closers.end()) {
            continue;
        }
        const CloseForRoom closeForRoom = std::move(it->second);
        m_closers.erase(it);
        m_metrics->count("budget_closes_total", "Connections closed to make room for others",
                         {{"cause", std::string(cause)}});
        recordPressure(cause);
        closeForRoom();
    }
}

void ProcessBudget::countRefusal(std::string_view cause)
{
    m_metrics->count("budget_refusals_total", "Requests and answers for which there was no room",
                     {{"cause", std::string(cause)}});
    recordPressure(cause);
}

void ProcessBudget::recordPressure(std::string_view cause)
{
    ++m_unlogged;
    const Instant now = monotonicNow();
    if (now - m_loggedAt < logInterval) {
        return;
    }
    m_log.warning("budget.full",
                  {{"cause", cause},
                   {"held_bytes", m_budget.heldBytes()},
                   {"connections", m_budget.connections()},
                   {"refused_or_closed", m_unlogged}});
    m_loggedAt = now;
    m_unlogged = 0;
}

void ProcessBudget::updateGauges()
{
    m_metrics->set("budget_held_bytes", "Bytes held for connections of callers",
                   static_cast<double>(m_budget.heldBytes()));
    m_metrics->set("caller_connections", "Open connections of callers",
                   static_cast<double>(m_budget.connections()));
}

ProcessBudgetPtr makeUnlimitedBudget(Log log)
{
    return std::make_shared<ProcessBudget>(BudgetLimits(), std::make_shared<Metrics>(),
                                           std::move(log));
}

HeldBytes::HeldBytes(ProcessBudgetPtr budget, HolderId holder)
    : m_budget(std::move(budget)), m_holder(holder)
{ }

HeldBytes::~HeldBytes()
{
    m_budget->release(m_holder, m_bytes);
}

bool HeldBytes::resize(std::size_t bytes)
{
    if (bytes > m_bytes && !m_budget->hold(m_holder, bytes - m_bytes)) {
        return false;
    }
    if (bytes < m_bytes) {
        m_budget->release(m_holder, m_bytes - bytes);
    }
    m_bytes = bytes;
    return true;
}

void HeldBytes::growInAnyCase(std::size_t bytes)
{
    if (bytes > m_bytes) {
        m_budget->holdInAnyCase(m_holder, bytes - m_bytes);
        m_bytes = bytes;
    }
}

} // namespace greengageseam
