/**
 * The budget of a process for its callers' connections: carries out what core/fleet/memorybudget
 * decides, and counts and logs it.
 */
#pragma once

#include "core/fleet/memorybudget.h"
#include "net/log.h"
#include "net/metrics.h"

#include <functional>
#include <memory>
#include <set>
#include <string_view>

namespace greengageseam {

/** Hook that closes a connection, whose bytes no longer count. */
using CloseForRoom = std::function<void()>;

/** Budget shared by all connections of a process. */
class ProcessBudget
{
public:
    ProcessBudget(BudgetLimits limits, std::shared_ptr<Metrics> metrics, Log log);

    /** Adds a connection that holds nothing. */
    HolderId add(CloseForRoom closeForRoom);
    /** Removes a connection with all that it holds. */
    void remove(HolderId id);
    void setPhase(HolderId id, HolderPhase phase);
    /** Bytes have arrived on a connection. */
    void recordProgress(HolderId id);
    /**
     * Counts a refusal once until the connection finds room or begins something else, since an
     * answer asks again and again.
     * @returns whether the connection may hold further bytes, which are added then
     */
    bool hold(HolderId id, std::size_t bytes);
    /** Adds bytes that are in memory already, also if they exceed the budget. */
    void holdInAnyCase(HolderId id, std::size_t bytes);
    void release(HolderId id, std::size_t bytes);
    /**
     * Closes idle connections if the sockets would exceed the limit.
     * @param sockets number of sockets that are about to be opened
     * @param requests number of requests in progress
     * @returns whether there is room for them
     */
    bool makeRoomForSockets(std::size_t sockets, std::size_t requests);
    /** Writes what is held now to the metrics, which are about to be read. */
    void updateGauges();

private:
    void closeAll(const HoldDecision &decision, std::string_view cause);
    void countRefusal(std::string_view cause);
    void recordPressure(std::string_view cause);

    MemoryBudget m_budget;
    std::map<HolderId, CloseForRoom> m_closers;
    /** Connections whose refusal was counted. */
    std::set<HolderId> m_refused;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    /** When the last line about a full budget was logged. */
    Instant m_loggedAt {};
    /** Connections that were refused or closed since then. */
    std::size_t m_unlogged = 0;
};

using ProcessBudgetPtr = std::shared_ptr<ProcessBudget>;

/** Makes a budget for connections that have limits of their own and need no further ones. */
ProcessBudgetPtr makeUnlimitedBudget(Log log);

/** Bytes that a connection holds for one purpose; released on destruction. */
class HeldBytes
{
public:
    HeldBytes(ProcessBudgetPtr budget, HolderId holder);
    ~HeldBytes();
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    /** Changes the number of bytes. @returns false, without a change, if there is no room */
    bool resize(std::size_t bytes);
    /** Raises the number of bytes to that of bytes that are in memory already. */
    void growInAnyCase(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    ProcessBudgetPtr m_budget;
    HolderId m_holder;
    std::size_t m_bytes = 0;
};

using HeldBytesPtr = std::shared_ptr<HeldBytes>;

} // namespace greengageseam
