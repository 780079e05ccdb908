#include "core/fleet/pendingqueue.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace greengageseam {

namespace {

/**
 * Lowest share of the requests of a route, account or prompt size to serve, relative to the share
 * served of all requests. It is above the required quarter, because a request that is due may still
 * find no backend server.
 */
constexpr double minShare = 0.35;
/** Weight of one request in the moving average of the share that is served. */
constexpr double averageWeight = 1.0 / 64;
/** Weight of one request in the moving average of its level. */
constexpr double levelWeight = 1.0 / 16;
/** Weight with which a request lets the averages of other levels return to 1. */
constexpr double recoveryWeight = 1.0 / 512;
/** A level of which a smaller share is served needs more free slots. */
constexpr double amplyServed = 0.95;
/** Time after the last turned-away request of a level for which slots are kept free for it. */
constexpr Duration turnedAwayMemory = std::chrono::seconds(2);
/** Limit of the requests that are due, so that they do not come in a burst later. */
constexpr double maxDue = 3;
/** At most one in so many slots of a service is kept free for requests that wait. */
constexpr std::uint32_t slotsPerReservation = 10;

/** @returns a number that is equal for prompts of similar length */
std::uint64_t sizeClass(double promptTokens)
{
    return std::bit_width(static_cast<std::uint64_t>(std::max(0.0, promptTokens)));
}

} // namespace

std::array<PendingQueue::Group, 3> PendingQueue::groupsOf(const PendingRequest &request)
{
    return {Group {0, request.route.text()}, Group {1, request.account.text()},
            Group {2, std::to_string(sizeClass(request.promptTokens))}};
}

void PendingQueue::push(const PendingRequest &request)
{
    if (request.priority.isRanked() && request.mayReserve) {
        ++m_reservations[{request.service, request.regions}][request.priority.level];
    }
    ++m_levelSizes[request.service][request.priority.level];
    m_waiting.emplace(request.id, request);
}

void PendingQueue::remove(std::uint64_t id)
{
    const auto it = m_waiting.find(id);
    if (it == m_waiting.end()) {
        return;
    }
    const PendingRequest &request = it->second;
    if (request.priority.isRanked() && request.mayReserve) {
        auto &levels = m_reservations.at({request.service, request.regions});
        if (--levels.at(request.priority.level) == 0) {
            levels.erase(request.priority.level);
        }
    }
    auto &sizes = m_levelSizes.at(request.service);
    if (--sizes.at(request.priority.level) == 0) {
        sizes.erase(request.priority.level);
    }
    m_waiting.erase(it);
}

std::vector<std::uint64_t> PendingQueue::order(Instant now) const
{
    std::map<ServiceName, std::vector<const PendingRequest *>> ranked;
    for (auto it = m_waiting.rbegin(); it != m_waiting.rend(); ++it) {
        if (it->second.priority.isRanked()) {
            ranked[it->second.service].push_back(&it->second);
        }
    }
    std::map<ServiceName, std::vector<std::uint64_t>> ordered;
    for (auto &[service, requests] : ranked) {
        ordered[service] = orderOf(std::move(requests), now);
        std::reverse(ordered[service].begin(), ordered[service].end());
    }
    // Requests of a service change places only among themselves, so others are not affected.
    std::vector<std::uint64_t> result;
    result.reserve(m_waiting.size());
    for (auto it = m_waiting.rbegin(); it != m_waiting.rend(); ++it) {
        if (!it->second.priority.isRanked()) {
            result.push_back(it->first);
            continue;
        }
        std::vector<std::uint64_t> &next = ordered.at(it->second.service);
        result.push_back(next.back());
        next.pop_back();
    }
    return result;
}

/** @param requests requests of one service, the newest first */
std::vector<std::uint64_t> PendingQueue::orderOf(std::vector<const PendingRequest *> requests,
                                                 Instant now) const
{
    using Place = std::tuple<bool, std::uint32_t, bool, std::size_t, std::uint64_t>;
    std::map<std::pair<std::uint32_t, AccountName>, std::size_t> turns;
    std::vector<std::pair<Place, std::uint64_t>> places;
    for (const PendingRequest *request : requests) {
        const std::uint32_t level = request->priority.level;
        const std::size_t turn = turns[{level, request->account}]++;
        const Place place {!isBelowShare(*request), level, now >= request->lateAfter, turn,
                           UINT64_MAX - request->id};
        places.emplace_back(place, request->id);
    }
    std::sort(places.begin(), places.end());
    std::vector<std::uint64_t> ids;
    ids.reserve(places.size());
    for (const auto &[place, id] : places) {
        ids.push_back(id);
    }
    return ids;
}

bool PendingQueue::hasMoreUrgent(const PendingRequest &request, Instant now) const
{
    return request.priority.isRanked() && request.priority.level > 0
            && (reservationsBefore(request) > 0 || isMoreUrgentTurnedAway(request, now));
}

std::set<RegionRule> PendingQueue::rulesBefore(const PendingRequest &request)
{
    return {RegionRule(), request.regions};
}

std::uint64_t PendingQueue::reservationsBefore(const PendingRequest &request) const
{
    std::uint64_t sum = 0;
    for (const RegionRule &rule : rulesBefore(request)) {
        const auto levels = m_reservations.find({request.service, rule});
        if (levels == m_reservations.end()) {
            continue;
        }
        for (const auto &[level, count] : levels->second) {
            sum += level < request.priority.level ? count : 0;
        }
    }
    return sum;
}

bool PendingQueue::isMoreUrgentTurnedAway(const PendingRequest &request, Instant now) const
{
    const auto shares = m_shares.find(request.service);
    if (shares == m_shares.end()) {
        return false;
    }
    const auto isShort = [&](const auto &it) {
        const auto &[level, outcome] = it;
        return level < request.priority.level && outcome.servedShare < amplyServed
                && now - outcome.turnedAwayAt < turnedAwayMemory;
    };
    const std::set<RegionRule> rules = rulesBefore(request);
    return std::any_of(rules.begin(), rules.end(), [&](const RegionRule &rule) {
        const auto levels = shares->second.servedByLevel.find(rule);
        return levels != shares->second.servedByLevel.end()
                && std::any_of(levels->second.begin(), levels->second.end(), isShort);
    });
}

bool PendingQueue::mustYield(const PendingRequest &request, const SlotSupply &supply,
                             Instant now) const
{
    if (!hasMoreUrgent(request, now) || isBelowShare(request)) {
        return false;
    }
    const std::uint64_t most = supply.slots / slotsPerReservation;
    // The other entries are likely to have as many, and see the same free slots.
    const std::uint64_t needed = reservationsBefore(request) * supply.entries;
    const std::uint64_t forWaiting = std::min(needed, std::max<std::uint64_t>(1, most));
    // Slots that are kept free before they are needed become credits for the entry that needs one.
    // The only free slot of a small service is not kept, as nobody may come for it.
    const std::uint64_t ahead = isMoreUrgentTurnedAway(request, now) ? most : 0;
    const std::uint64_t reserved = std::max(forWaiting, ahead);
    return reserved > 0 && supply.free <= reserved;
}

std::optional<std::uint64_t> PendingQueue::displacedBy(const PendingRequest &request) const
{
    if (!request.priority.isRanked()) {
        return std::nullopt;
    }
    std::map<std::pair<std::uint32_t, AccountName>, std::vector<std::uint64_t>> groups;
    for (const auto &[id, waiting] : m_waiting) {
        if (waiting.service == request.service && !waiting.isRetry) {
            groups[{waiting.priority.level, waiting.account}].push_back(id);
        }
    }
    if (groups.empty()) {
        return std::nullopt;
    }
    const std::uint32_t last = groups.rbegin()->first.first;
    const auto longest = std::max_element(
            groups.begin(), groups.end(), [last](const auto &left, const auto &right) {
                return std::pair(left.first.first == last, left.second.size())
                        < std::pair(right.first.first == last, right.second.size());
            });
    const auto own = groups.find({request.priority.level, request.account});
    const std::size_t ownSize = own == groups.end() ? 0 : own->second.size();
    const bool isDisplaced = request.priority.level < last
            || (request.priority.level == last && ownSize + 1 < longest->second.size());
    return isDisplaced ? std::optional(longest->second.front()) : std::nullopt;
}

std::size_t PendingQueue::waitingAhead(const PendingRequest &request) const
{
    const auto sizes = m_levelSizes.find(request.service);
    std::size_t sum = 0;
    if (sizes != m_levelSizes.end()) {
        for (const auto &[level, size] : sizes->second) {
            sum += level <= request.priority.level ? size : 0;
        }
    }
    return sum - (m_waiting.contains(request.id) ? 1 : 0);
}

void PendingQueue::recordArrival(const PendingRequest &request)
{
    if (!request.priority.isRanked()) {
        return;
    }
    Shares &shares = m_shares[request.service];
    for (const Group &group : groupsOf(request)) {
        double &due = shares.due[group];
        due = std::min(maxDue, due + minShare * shares.servedShare);
    }
}

void PendingQueue::withdrawArrival(const PendingRequest &request)
{
    const auto shares = m_shares.find(request.service);
    if (!request.priority.isRanked() || shares == m_shares.end()) {
        return;
    }
    for (const Group &group : groupsOf(request)) {
        double &due = shares->second.due[group];
        due = std::max(0.0, due - minShare * shares->second.servedShare);
    }
}

void PendingQueue::recordServed(const PendingRequest &request)
{
    recordEnd(request, std::nullopt);
}

void PendingQueue::recordTurnedAway(const PendingRequest &request, Instant now)
{
    recordEnd(request, now);
}

/** @param turnedAwayAt empty if the request was served */
void PendingQueue::recordEnd(const PendingRequest &request, std::optional<Instant> turnedAwayAt)
{
    const bool wasServed = !turnedAwayAt;
    if (!request.priority.isRanked()) {
        return;
    }
    Shares &shares = m_shares[request.service];
    shares.servedShare += averageWeight * ((wasServed ? 1 : 0) - shares.servedShare);
    auto &levels = shares.servedByLevel[request.regions];
    Level &own = levels[request.priority.level];
    own.turnedAwayAt = turnedAwayAt.value_or(own.turnedAwayAt);
    for (auto &[level, outcome] : levels) {
        const bool isOwn = level == request.priority.level;
        const double weight = isOwn ? levelWeight : recoveryWeight;
        outcome.servedShare += weight * ((isOwn && !wasServed ? 0 : 1) - outcome.servedShare);
    }
    for (const Group &group : groupsOf(request)) {
        double &due = shares.due[group];
        due = std::max(0.0, due - (wasServed ? 1 : 0));
    }
}

bool PendingQueue::isBelowShare(const PendingRequest &request) const
{
    const auto shares = m_shares.find(request.service);
    if (shares == m_shares.end()) {
        return false;
    }
    const auto groups = groupsOf(request);
    return std::any_of(groups.begin(), groups.end(), [&](const Group &group) {
        const auto due = shares->second.due.find(group);
        return due != shares->second.due.end() && due->second >= 1;
    });
}

} // namespace greengageseam
