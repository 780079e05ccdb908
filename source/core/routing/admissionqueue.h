/**
 * Bounded admission queue of requests that wait for a backend server: strict priority between
 * levels, round robin among client accounts within a level.
 *
 * It is modified in place, like AttemptRegistry.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace greengageseam {

/** A queued request. */
struct QueuedRequest
{
    std::uint64_t ticket = 0;
    AccountName account;
    /** 0 is the highest priority. */
    std::uint32_t priority = 1;
    /** Latest time at which the request can be started. */
    Instant startDeadline;

    auto operator<=>(const QueuedRequest &) const = default;
};

/** Options of the queue. */
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
     * Queues a request, unless its expected wait exceeds its start deadline.
     * @returns the ticket of the rejected request: its own, or that of a request that was evicted
     * to make room; empty if no request was rejected
     */
    std::optional<std::uint64_t> push(const QueuedRequest &request, Instant now);

    /** @returns the next request: highest priority first, round robin among accounts */
    std::optional<QueuedRequest> pop(Instant now);

    /** Removes the requests whose start deadline has passed. @returns their tickets */
    std::vector<std::uint64_t> expire(Instant now);

    std::size_t size() const { return m_size; }
    /** @returns the expected wait of a new request of this account at the recent rate of pops */
    Duration expectedWait(const AccountName &account, std::uint32_t priority) const;

private:
    using AccountQueue = std::deque<QueuedRequest>;
    struct PriorityLevel
    {
        /** Invariant: no queue in it is empty. */
        std::map<AccountName, AccountQueue> accountQueues;
        /** Accounts in round-robin order; exactly those of accountQueues. */
        std::deque<AccountName> accountOrder;
        std::size_t size = 0;
    };

    std::optional<std::uint64_t> evictFor(const QueuedRequest &request);
    void removeAccountQueue(PriorityLevel &level, const AccountName &account);
    void recordPop(Instant now);

    QueueOptions m_options;
    std::map<std::uint32_t, PriorityLevel> m_levels;
    std::size_t m_size = 0;
    /** Mean time in seconds between two pops while requests are queued; 0 while unknown. */
    double m_meanPopInterval = 0;
    std::optional<Instant> m_lastPop;
};

} // namespace greengageseam
