#include "core/routing/admissionqueue.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr double paceShare = 0.05;
constexpr double microsecondsPerSecond = 1e6;

} // namespace

QueueOptions QueueOptions::withCapacity(std::size_t value) const
{
    QueueOptions options = *this;
    options.capacity = value;
    return options;
}

std::optional<std::uint64_t> AdmissionQueue::push(const WaitingRequest &request, Instant now)
{
    if (now + expectedWait(request.account, request.priority) > request.startBy) {
        return request.ticket;
    }
    std::optional<std::uint64_t> refused;
    if (m_size >= m_options.capacity) {
        refused = displaceFor(request);
        if (refused == request.ticket) {
            return refused;
        }
    }
    if (m_size == 0) {
        m_lastPop = now;
    }
    Level &level = m_levels[request.priority];
    Line &line = level.lines[request.account];
    if (line.empty()) {
        level.turns.push_back(request.account);
    }
    line.push_back(request);
    ++level.size;
    ++m_size;
    return refused;
}

std::optional<WaitingRequest> AdmissionQueue::pop(Instant now)
{
    if (m_size == 0) {
        return std::nullopt;
    }
    Level &level = m_levels.begin()->second;
    const AccountName account = level.turns.front();
    level.turns.pop_front();
    Line &line = level.lines[account];
    const WaitingRequest request = line.front();
    line.pop_front();
    --level.size;
    --m_size;
    if (line.empty()) {
        level.lines.erase(account);
    } else {
        level.turns.push_back(account);
    }
    if (level.size == 0) {
        m_levels.erase(m_levels.begin());
    }
    countPop(now);
    return request;
}

std::vector<std::uint64_t> AdmissionQueue::expire(Instant now)
{
    std::vector<std::uint64_t> tickets;
    for (auto level = m_levels.begin(); level != m_levels.end();) {
        std::vector<AccountName> emptied;
        for (auto &[account, line] : level->second.lines) {
            level->second.size -= std::erase_if(line, [&](const WaitingRequest &request) {
                const bool isLate = request.startBy < now;
                if (isLate) {
                    tickets.push_back(request.ticket);
                }
                return isLate;
            });
            if (line.empty()) {
                emptied.push_back(account);
            }
        }
        for (const AccountName &account : emptied) {
            removeLine(level->second, account);
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
        const auto line = level.lines.find(account);
        const std::size_t own = line == level.lines.end() ? 0 : line->second.size();
        const std::size_t accounts = level.lines.size() + (own == 0 ? 1 : 0);
        ahead += levelPriority < priority ? level.size : std::min(level.size, own * accounts);
    }
    return Duration(static_cast<Duration::rep>(static_cast<double>(ahead) * m_secondsPerPop
                                               * microsecondsPerSecond));
}

/**
 * Evicts the newest request of the account with the longest queue at the lowest priority. The
 * request itself is rejected instead if all others have a higher priority or, at equal priority, if
 * its own account's queue would become as long as the longest.
 */
std::optional<std::uint64_t> AdmissionQueue::displaceFor(const WaitingRequest &request)
{
    const auto last = m_levels.empty() ? m_levels.end() : std::prev(m_levels.end());
    if (last == m_levels.end() || last->first < request.priority) {
        return request.ticket;
    }
    Level &level = last->second;
    const auto longest = std::max_element(level.lines.begin(), level.lines.end(),
                                          [](const auto &left, const auto &right) {
                                              return left.second.size() < right.second.size();
                                          });
    const auto own = level.lines.find(request.account);
    const std::size_t ownSize = own == level.lines.end() ? 0 : own->second.size();
    if (last->first == request.priority && longest->second.size() <= ownSize + 1) {
        return request.ticket;
    }
    const std::uint64_t ticket = longest->second.back().ticket;
    longest->second.pop_back();
    --level.size;
    --m_size;
    if (longest->second.empty()) {
        removeLine(level, longest->first);
    }
    if (level.size == 0) {
        m_levels.erase(last);
    }
    return ticket;
}

void AdmissionQueue::removeLine(Level &level, const AccountName &account)
{
    std::erase(level.turns, account);
    level.lines.erase(account);
}

void AdmissionQueue::countPop(Instant now)
{
    if (m_lastPop) {
        const double seconds = std::chrono::duration<double>(now - *m_lastPop).count();
        m_secondsPerPop += (m_secondsPerPop == 0 ? 1 : paceShare) * (seconds - m_secondsPerPop);
    }
    m_lastPop = now;
}

} // namespace greengageseam
