#include "core/routing/admissionqueue.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr double popIntervalWeight = 0.05;
constexpr double microsecondsPerSecond = 1e6;

} // namespace

QueueOptions QueueOptions::withCapacity(std::size_t value) const
{
    QueueOptions options = *this;
    options.capacity = value;
    return options;
}

std::optional<std::uint64_t> AdmissionQueue::push(const QueuedRequest &request, Instant now)
{
    if (now + expectedWait(request.account, request.priority) > request.startDeadline) {
        return request.ticket;
    }
    std::optional<std::uint64_t> rejected;
    if (m_size >= m_options.capacity) {
        rejected = evictFor(request);
        if (rejected == request.ticket) {
            return rejected;
        }
    }
    if (m_size == 0) {
        m_lastPop = now;
    }
    PriorityLevel &level = m_levels[request.priority];
    AccountQueue &accountQueue = level.accountQueues[request.account];
    if (accountQueue.empty()) {
        level.accountOrder.push_back(request.account);
    }
    accountQueue.push_back(request);
    ++level.size;
    ++m_size;
    return rejected;
}

std::optional<QueuedRequest> AdmissionQueue::pop(Instant now)
{
    if (m_size == 0) {
        return std::nullopt;
    }
    PriorityLevel &level = m_levels.begin()->second;
    const AccountName account = level.accountOrder.front();
    level.accountOrder.pop_front();
    AccountQueue &accountQueue = level.accountQueues[account];
    const QueuedRequest request = accountQueue.front();
    accountQueue.pop_front();
    --level.size;
    --m_size;
    if (accountQueue.empty()) {
        level.accountQueues.erase(account);
    } else {
        level.accountOrder.push_back(account);
    }
    if (level.size == 0) {
        m_levels.erase(m_levels.begin());
    }
    recordPop(now);
    return request;
}

std::vector<std::uint64_t> AdmissionQueue::expire(Instant now)
{
    std::vector<std::uint64_t> tickets;
    for (auto level = m_levels.begin(); level != m_levels.end();) {
        std::vector<AccountName> emptied;
        for (auto &[account, accountQueue] : level->second.accountQueues) {
            level->second.size -= std::erase_if(accountQueue, [&](const QueuedRequest &request) {
                const bool isExpired = request.startDeadline < now;
                if (isExpired) {
                    tickets.push_back(request.ticket);
                }
                return isExpired;
            });
            if (accountQueue.empty()) {
                emptied.push_back(account);
            }
        }
        for (const AccountName &account : emptied) {
            removeAccountQueue(level->second, account);
        }
        level = level->second.size == 0 ? m_levels.erase(level) : std::next(level);
    }
    m_size -= tickets.size();
    return tickets;
}

Duration AdmissionQueue::expectedWait(const AccountName &account, std::uint32_t priority) const
{
    std::size_t ahead = 0;
    for (const auto &[levelPriority, level] : m_levels) {
        if (levelPriority > priority) {
            break;
        }
        const auto accountQueue = level.accountQueues.find(account);
        const std::size_t sameAccount =
                accountQueue == level.accountQueues.end() ? 0 : accountQueue->second.size();
        const std::size_t accounts = level.accountQueues.size() + (sameAccount == 0 ? 1 : 0);
        ahead += levelPriority < priority ? level.size
                                          : std::min(level.size, sameAccount * accounts);
    }
    return Duration(static_cast<Duration::rep>(static_cast<double>(ahead) * m_meanPopInterval
                                               * microsecondsPerSecond));
}

/**
 * Evicts the newest request of the account with the longest queue at the lowest priority. The
 * request itself is rejected instead if all others have a higher priority or, at equal priority, if
 * its own account's queue would become as long as the longest.
 */
std::optional<std::uint64_t> AdmissionQueue::evictFor(const QueuedRequest &request)
{
    const auto last = m_levels.empty() ? m_levels.end() : std::prev(m_levels.end());
    if (last == m_levels.end() || last->first < request.priority) {
        return request.ticket;
    }
    PriorityLevel &level = last->second;
    const auto longest = std::max_element(level.accountQueues.begin(), level.accountQueues.end(),
                                          [](const auto &left, const auto &right) {
                                              return left.second.size() < right.second.size();
                                          });
    const auto sameAccount = level.accountQueues.find(request.account);
    const std::size_t sameAccountSize =
            sameAccount == level.accountQueues.end() ? 0 : sameAccount->second.size();
    if (last->first == request.priority && longest->second.size() <= sameAccountSize + 1) {
        return request.ticket;
    }
    const std::uint64_t ticket = longest->second.back().ticket;
    longest->second.pop_back();
    --level.size;
    --m_size;
    if (longest->second.empty()) {
        removeAccountQueue(level, longest->first);
    }
    if (level.size == 0) {
        m_levels.erase(last);
    }
    return ticket;
}

void AdmissionQueue::removeAccountQueue(PriorityLevel &level, const AccountName &account)
{
    std::erase(level.accountOrder, account);
    level.accountQueues.erase(account);
}

void AdmissionQueue::recordPop(Instant now)
{
    if (m_lastPop) {
        const double seconds = std::chrono::duration<double>(now - *m_lastPop).count();
        m_meanPopInterval +=
                (m_meanPopInterval == 0 ? 1 : popIntervalWeight) * (seconds - m_meanPopInterval);
    }
    m_lastPop = now;
}

} // namespace greengageseam
