/**
 * A zone whose entries and agents exchange membership messages without sockets.
 */
#pragma once

#include "core/membership/membership.h"
#include "protocol/messages.h"

#include <boost/json.hpp>
#include <map>
#include <string>
#include <vector>

namespace greengageseam {

/** Numbers of entries and agents of a zone, and of other zones. */
struct ZoneSize
{
    std::size_t entries;
    std::size_t agents;
    std::size_t otherZones;
};

/** Cost of all nodes of one kind. */
struct Cost
{
    std::size_t bytes = 0;
    std::size_t messages = 0;
    /** CPU time. */
    double seconds = 0;
};

/** Membership state of an entry, without sockets. */
struct SimulatedEntry
{
    MemberTable memberTable;
    MemberChangeLog neighbours {1};
    /** Agents that send their heartbeats to this entry. */
    MemberChangeLog localMembers {1};
    /** Last revision of them that was sent to the other entries. */
    std::uint64_t sentRevision = 0;
    std::vector<Heartbeat> heartbeatsSinceDigest;
    std::map<std::size_t, RemoteMembers> remoteMembers;
};

/** Membership state of an agent. */
struct SimulatedAgent
{
    Heartbeat heartbeat;
    std::vector<std::size_t> entries;
    std::map<std::size_t, RemoteMembers> neighbours;
};

/** Simulates a zone in steps of one second. Every message is encoded and decoded. */
class SimulatedZone
{
public:
    explicit SimulatedZone(ZoneSize size);

    /**
     * Exchanges the messages of one second.
     * @param percent share of the agents whose stored weights change
     */
    void runSecond(int second, int percent);
    /** Starts the measurement again. */
    void resetCosts();
    /** @returns the JSON line of a case, with the cost of a node and second since resetCosts() */
    boost::json::object costs(const std::string &name, int seconds) const;

private:
    SimulatedAgent makeAgent(std::size_t n) const;
    static std::uint64_t score(std::size_t agent, std::size_t entry);
    static Message transmit(const Message &message, Cost &sender, Cost &receiver);
    void sendHeartbeats(SimulatedAgent &agent, std::size_t n, int second, int percent);
    HeartbeatAckMessage acknowledge(SimulatedEntry &entry, const HeartbeatMessage &beat);
    void applyHeartbeat(SimulatedEntry &entry, const Heartbeat &heartbeat,
                        HeartbeatSource from) const;
    void sendDigest(std::size_t from);
    void sendSummaries();
    double broadcastBytes() const;

    ZoneSize m_size;
    std::vector<SimulatedEntry> m_entries;
    std::vector<SimulatedAgent> m_agents;
    Instant m_now;
    Cost m_entryCost;
    Cost m_agentCost;
    std::size_t m_summaryBytes = 0;
    int m_second = 0;
};

} // namespace greengageseam
