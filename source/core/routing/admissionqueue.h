/**
 * Requests that wait for a backend server: bounded, by priority, fair among client accounts.
 *
 * It changes in place, like AttemptLedger.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace greengageseam {

/** A request that waits. */
struct QueuedRequest
{
    std::uint64_t ticket = 0;
    AccountName account;
    /** 0 is the most important. */
    std::uint32_t priority = 1;
    /** Time at which it must have been started. */
    Instant startDeadline;

    auto operator<=>(const QueuedRequest &) const = default;
};

/** Bounds of the queue. */
struct QueueOptions
{
    std::size_t capacity = 1024;

    QueueOptions withCapacity(std::size_t value) const;
    auto operator<=>(const QueueOptions &) const = default;
};

/** The queue for one pool of backend servers. */
class AdmissionQueue
{
public:
    explicit AdmissionQueue(QueueOptions options = {}) : m_options(options) { }

    /**
     * Lets a request wait, unless it cannot be started in time at the pace of late.
     * @returns the ticket that is refused for it: its own, or that of a less important one that it
     * displaced; nothing if all fit
     */
    std::optional<std::uint64_t> push(const QueuedRequest &request, Instant now);

    /** @returns the next request: most important first, accounts in turn */
    std::optional<QueuedRequest> pop(Instant now);

    /** Removes those that can no longer be started in time. @returns their tickets */
    std::vector<std::uint64_t> expire(Instant now);

    std::size_t size() const { return m_size; }
    /** @returns how long a new request of this account would wait, at the pace of late */
    Duration expectedWait(const AccountName &account, std::uint32_t priority) const;

private:
    using AccountQueue = std::deque<QueuedRequest>;
    struct PriorityLevel
    {
        /** Invariant: no line is empty. */
        std::map<AccountName, AccountQueue> accountQueues;
        /** Accounts in the order of their turns; those of the lines and no others. */
        std::deque<AccountName> accountOrder;
        std::size_t size = 0;
    };

    std::optional<std::uint64_t> evictFor(const QueuedRequest &request);
    void removeAccountQueue(PriorityLevel &level, const AccountName &account);
    void recordPop(Instant now);

    QueueOptions m_options;
    std::map<std::uint32_t, PriorityLevel> m_levels;
    std::size_t m_size = 0;
    /** Mean time between two pops while requests wait; 0 while unknown. */
    double m_meanPopInterval = 0;
    std::optional<Instant> m_lastPop;
};

} // namespace greengageseam
