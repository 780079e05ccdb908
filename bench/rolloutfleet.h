/**
 * The processes of one rollout: stand-ins, entries, and agents over paced links.
 */
#pragma once

#include "net/mailbox.h"
#include "simulatedzonelink.h"

#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace greengageseam {

/** One case of the bench. */
struct RolloutCase
{
    std::string policy = "swarm";
    std::uint32_t originCopies = 1;
    std::size_t replicas = 4;
    std::size_t zones = 1;
    std::uint64_t bytes = 0;
    std::size_t chunkBytes = 0;
    /** Bytes a second of each machine's link, each way. */
    std::uint64_t linkRate = 0;
    /** Bytes a second of the origin, over all readers. */
    std::uint64_t originRate = 0;
    /** Links between zones; unused with one zone. */
    SimulatedZoneLinkOptions zoneLink;

    auto operator<=>(const RolloutCase &) const = default;
};

/** A process of the fleet. */
struct FleetProcess
{
    pid_t pid = 0;
    ZoneName zone;
    Address httpAddress;
    /** Link address; for stand-ins the admin port. */
    Address secondAddress;
};

/** Starts the processes, and ends them with its scope. */
class RolloutFleet
{
public:
    RolloutFleet(const asio::any_io_executor &executor, RolloutCase rolloutCase);
    ~RolloutFleet();
    RolloutFleet(const RolloutFleet &) = delete;
    RolloutFleet &operator=(const RolloutFleet &) = delete;

    const FleetProcess &platform() const { return m_platform; }
    const std::vector<FleetProcess> &entries() const { return m_entries; }
    const std::vector<FleetProcess> &engines() const { return m_engines; }
    const std::vector<FleetProcess> &agents() const { return m_agents; }
    /** @returns the last log lines of all processes */
    std::string lastLogLines() const;
    /** @returns the processor time of all agents so far in seconds */
    double agentCpuSeconds() const;
    /** @returns the resident memory of the largest agent in bytes */
    std::uint64_t maxAgentResidentBytes() const;

private:
    FleetProcess reservePorts(const std::string &zone);
    void spawn(FleetProcess &process, std::vector<std::string> command);
    void startEngine(std::size_t n);
    void startAgent(std::size_t n);
    std::string zoneName(std::size_t n) const;
    std::string otherZonePeersOf(std::size_t zone);
    Address storeAddressFor(std::size_t zone);
    SimulatedZoneLink &linkBetween(std::size_t left, std::size_t right);

    asio::any_io_executor m_executor;
    RolloutCase m_case;
    std::string m_folder;
    FleetProcess m_platform;
    std::vector<FleetProcess> m_entries;
    std::vector<FleetProcess> m_engines;
    std::vector<FleetProcess> m_agents;
    std::map<std::pair<std::size_t, std::size_t>, std::shared_ptr<SimulatedZoneLink>> m_links;
    std::map<std::size_t, std::string> m_otherZonePeers;
    std::map<std::size_t, Address> m_storeAddresses;
    std::vector<int> m_reservedPorts;
};

/** Token that counts as an operator's in the bench. */
extern const std::string benchToken;

} // namespace greengageseam
