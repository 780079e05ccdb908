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
struct WaitingRequest
{
    std::uint64_t ticket = 0;
    AccountName account;
    /** 0 is the most important. */
    std::uint32_t priority = 1;
    /** Time at which it must have been started. */
    Instant startBy;

    auto operator<=>(const WaitingRequest &) const = default;
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
    std::optional<std::uint64_t> push(const WaitingRequest &request, Instant now);

    /** @returns the next request: most important first, accounts in turn */
    std::optional<WaitingRequest> pop(Instant now);

    /** Removes those that can no longer be started in time. @returns their tickets */
    std::vector<std::uint64_t> expire(Instant now);

    std::size_t size() const { return m_size; }
    /** @returns how long a new request of this account would wait, at the pace of late */
    Duration expectedWait(const AccountName &account, std::uint32_t priority) const;

private:
    using Line = std::deque<WaitingRequest>;
    struct Level
    {
        /** Invariant: no line is empty. */
        std::map<AccountName, Line> lines;
        /** Accounts in the order of their turns; those of the lines and no others. */
        std::deque<AccountName> turns;
        std::size_t size = 0;
    };

    std::optional<std::uint64_t> displaceFor(const WaitingRequest &request);
    void removeLine(Level &level, const AccountName &account);
    void countPop(Instant now);

    QueueOptions m_options;
    std::map<std::uint32_t, Level> m_levels;
    std::size_t m_size = 0;
    /** Mean time between two pops while requests wait; 0 while unknown. */
    double m_secondsPerPop = 0;
    std::optional<Instant> m_lastPop;
};

} // namespace greengageseam
