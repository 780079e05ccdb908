/**
 * Decides whether a process may hold bytes for a connection, and which connections are closed when
 * memory or file descriptors run short.
 */
#pragma once

#include "core/common/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace greengageseam {

/** A connection or an answer that holds no more than this counts as small. */
constexpr std::size_t smallHolderBytes = 64UL * 1024;

/** What the machine or the operator lets a process use. */
struct ProcessLimits
{
    /** Memory in megabytes; 0 if unknown. */
    std::uint32_t memoryMb = 0;
    /** Open file descriptors; 0 if unknown. */
    std::uint32_t descriptors = 0;

    auto operator<=>(const ProcessLimits &) const = default;
};

/** The most sockets of callers, unless a process sets another number. */
constexpr std::size_t defaultMaxSockets = 2000;

/** Limits of a process for all its connections together. */
struct BudgetLimits
{
    /** Bytes that all connections may hold; 0 for no limit. */
    std::size_t bytes = 0;
    /** Sockets of callers and of their requests at backend servers; 0 for no limit. */
    std::size_t sockets = 0;

    auto operator<=>(const BudgetLimits &) const = default;
};

/**
 * Derives the limits from those of the machine, with a reserve for the rest of the process.
 * @param memoryMb memory limit of the process in megabytes; 0 if unknown
 * @param descriptors limit of open file descriptors; 0 if unknown
 * @param maxSockets the most sockets, however many descriptors there are
 */
BudgetLimits budgetLimits(std::uint32_t memoryMb, std::uint32_t descriptors,
                          std::size_t maxSockets = defaultMaxSockets);

/** Identifies a connection that holds bytes. */
using HolderId = std::uint64_t;

/** What a connection does, as far as closing it is concerned. */
enum class HolderPhase {
    /** It is idle, or a request is being read: nothing has run. */
    Reading,
    /** A request is in progress; closing the connection would lose its answer. */
    Serving,
    /** An answer is being written. */
    Responding,
};

/** What a connection holds. */
struct Holder
{
    std::size_t bytes = 0;
    HolderPhase phase = HolderPhase::Reading;
    /** When bytes last moved on the connection. */
    Instant progressAt;

    auto operator<=>(const Holder &) const = default;
};

/** Whether bytes may be held, and which connections must be closed for it. */
struct HoldDecision
{
    bool isGranted = false;
    std::vector<HolderId> closed;

    auto operator<=>(const HoldDecision &) const = default;
};

/**
 * The bytes and sockets that a process holds for its connections. Changes in place, since it is
 * used for each part of a request that arrives.
 *
 * The connection that holds most without progress is closed first. A part of the bytes is reserved
 * for connections that hold little, so that an ordinary request always finds room.
 */
class MemoryBudget
{
public:
    explicit MemoryBudget(BudgetLimits limits) : m_limits(limits) { }

    /** Adds a connection that holds nothing. */
    HolderId add(Instant now);
    /** Removes a connection with all that it holds. */
    void remove(HolderId id);
    void setPhase(HolderId id, HolderPhase phase, Instant now);
    /** Bytes have arrived on a connection. */
    void recordProgress(HolderId id, Instant now);
    /**
     * Decides whether a connection may hold further bytes, and adds them if it may. Connections
     * that are to be closed no longer count.
     */
    HoldDecision hold(HolderId id, std::size_t bytes, Instant now);
    /** Adds bytes that are in memory already, also if they exceed the budget. */
    HoldDecision holdInAnyCase(HolderId id, std::size_t bytes, Instant now);
    /** The connection no longer holds bytes that were granted before. */
    void release(HolderId id, std::size_t bytes);
    /**
     * Decides whether there is room for further sockets.
     * @param requests number of requests in progress, each of which may use a socket of its own
     */
    HoldDecision makeRoomForSockets(std::size_t sockets, std::size_t requests, Instant now);

    /** @returns the bytes that all connections hold */
    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t connections() const { return m_holders.size(); }

private:
    /** @returns the connection to be closed so that another one may hold bytes; 0 if there is none
     */
    HolderId stalledHolder(HolderId except, Instant now) const;
    HolderId largestReader(HolderId except) const;
    HolderId longestIdle(Instant now) const;
    void addBytes(Holder &holder, std::size_t bytes, Instant now);

    BudgetLimits m_limits;
    std::map<HolderId, Holder> m_holders;
    std::size_t m_heldBytes = 0;
    HolderId m_lastId = 0;
};

} // namespace greengageseam
