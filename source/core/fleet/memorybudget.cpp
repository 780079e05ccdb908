#include "core/fleet/memorybudget.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace greengageseam {

namespace {

constexpr std::size_t bytesPerMegabyte = 1024UL * 1024;
/** Memory of the process besides its connections: code, configuration, lists, and weights. */
constexpr std::size_t reservedBytes = 36 * bytesPerMegabyte;
/** The smallest budget, for processes whose limit is below the reserve. */
constexpr std::size_t minBudgetBytes = 4 * bytesPerMegabyte;
/** Share of the rest, in percent: allocations are rounded up, and small ones are fragmented. */
constexpr std::size_t budgetPercent = 70;
constexpr std::size_t percent = 100;
/** Part of the budget that is reserved for connections that hold little. */
constexpr std::size_t smallHoldersPart = 8;
/** Descriptors that the platform reserves for files. */
constexpr std::size_t fileDescriptors = 200;
/** Sockets for the store, agents, other entries, readiness, metrics, and idle backend servers. */
constexpr std::size_t reservedSockets = 128;
constexpr std::size_t minSockets = 16;
/** Time without progress after which a request that is being read is closed for others. */
constexpr auto stalledReadTime = std::chrono::milliseconds(300);
/** The same for an answer that is being written, whose request has run. */
constexpr auto stalledWriteTime = std::chrono::milliseconds(1000);

bool isStalled(const Holder &holder, Instant now)
{
    switch (holder.phase) {
    case HolderPhase::Reading:
        return now - holder.progressAt >= stalledReadTime;
    case HolderPhase::Responding:
        return now - holder.progressAt >= stalledWriteTime;
    case HolderPhase::Serving:
        break;
    }
    return false;
}

} // namespace

BudgetLimits budgetLimits(std::uint32_t memoryMb, std::uint32_t descriptors, std::size_t maxSockets)
{
    BudgetLimits limits;
    if (memoryMb > 0) {
        const std::size_t total = memoryMb * bytesPerMegabyte;
        const std::size_t rest = total - std::min(total, reservedBytes);
        limits.bytes = std::max(minBudgetBytes, rest * budgetPercent / percent);
    }
    if (descriptors > 0) {
        const std::size_t reserved =
                std::min<std::size_t>(descriptors, fileDescriptors + reservedSockets);
        limits.sockets = std::clamp(descriptors - reserved, minSockets, maxSockets);
    }
    return limits;
}

HolderId MemoryBudget::add(Instant now)
{
    Holder holder;
    holder.progressAt = now;
    m_holders.emplace(++m_lastId, holder);
    return m_lastId;
}

void MemoryBudget::remove(HolderId id)
{
    const auto it = m_holders.find(id);
    if (it != m_holders.end()) {
        m_heldBytes -= it->second.bytes;
        m_holders.erase(it);
    }
}

void MemoryBudget::setPhase(HolderId id, HolderPhase phase, Instant now)
{
    const auto it = m_holders.find(id);
    if (it != m_holders.end()) {
        it->second.phase = phase;
        it->second.progressAt = now;
    }
}

void MemoryBudget::recordProgress(HolderId id, Instant now)
{
    const auto it = m_holders.find(id);
    if (it != m_holders.end()) {
        it->second.progressAt = now;
    }
}

HoldDecision MemoryBudget::hold(HolderId id, std::size_t bytes, Instant now)
{
    HoldDecision decision;
    const auto it = m_holders.find(id);
    if (it == m_holders.end()) {
        return decision;
    }
    const bool isSmall = it->second.bytes + bytes <= smallHolderBytes;
    // The request of an answer has run, so that a refusal would lose work.
    const bool isAnswer = it->second.phase != HolderPhase::Reading;
    const std::size_t reserve = isSmall || isAnswer ? 0 : m_limits.bytes / smallHoldersPart;
    while (m_limits.bytes > 0 && m_heldBytes + bytes + reserve > m_limits.bytes) {
        HolderId victim = stalledHolder(id, now);
        if (victim == 0 && isSmall) {
            victim = largestReader(id);
        }
        if (victim == 0) {
            return decision;
        }
        remove(victim);
        decision.closed.push_back(victim);
    }
    addBytes(it->second, bytes, now);
    decision.isGranted = true;
    return decision;
}

HoldDecision MemoryBudget::holdInAnyCase(HolderId id, std::size_t bytes, Instant now)
{
    HoldDecision decision = hold(id, bytes, now);
    const auto it = m_holders.find(id);
    if (!decision.isGranted && it != m_holders.end()) {
        addBytes(it->second, bytes, now);
    }
    return decision;
}

void MemoryBudget::addBytes(Holder &holder, std::size_t bytes, Instant now)
{
    holder.bytes += bytes;
    holder.progressAt = now;
    m_heldBytes += bytes;
}

void MemoryBudget::release(HolderId id, std::size_t bytes)
{
    const auto it = m_holders.find(id);
    if (it != m_holders.end()) {
        const std::size_t released = std::min(bytes, it->second.bytes);
        it->second.bytes -= released;
        m_heldBytes -= released;
    }
}

HoldDecision MemoryBudget::makeRoomForSockets(std::size_t sockets, std::size_t requests,
                                              Instant now)
{
    HoldDecision decision;
    while (m_limits.sockets > 0 && m_holders.size() + requests + sockets > m_limits.sockets) {
        const HolderId victim = longestIdle(now);
        if (victim == 0) {
            return decision;
        }
        remove(victim);
        decision.closed.push_back(victim);
    }
    decision.isGranted = true;
    return decision;
}

HolderId MemoryBudget::stalledHolder(HolderId except, Instant now) const
{
    HolderId chosen = 0;
    std::size_t most = 0;
    for (const auto &[id, holder] : m_holders) {
        if (id != except && holder.bytes > most && isStalled(holder, now)) {
            chosen = id;
            most = holder.bytes;
        }
    }
    return chosen;
}

HolderId MemoryBudget::largestReader(HolderId except) const
{
    HolderId chosen = 0;
    std::size_t most = 0;
    for (const auto &[id, holder] : m_holders) {
        if (id != except && holder.phase == HolderPhase::Reading && holder.bytes > most) {
            chosen = id;
            most = holder.bytes;
        }
    }
    return chosen;
}

/** Connections without a request go first, then those whose request is stalled. */
HolderId MemoryBudget::longestIdle(Instant now) const
{
    HolderId chosen = 0;
    std::optional<std::pair<bool, Instant>> best;
    for (const auto &[id, holder] : m_holders) {
        const bool hasBytes = holder.bytes > 0;
        if (holder.phase != HolderPhase::Reading || (hasBytes && !isStalled(holder, now))) {
            continue;
        }
        const std::pair<bool, Instant> rank {hasBytes, holder.progressAt};
        if (!best || rank < *best) {
            best = rank;
            chosen = id;
        }
    }
    return chosen;
}

} // namespace greengageseam
