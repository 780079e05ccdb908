/**
 * The processes of one rollout: stand-ins, entries, and agents with rate-limited links.
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

/** Parameters of one case of the benchmark. */
struct RolloutCase
{
    std::string policy = "swarm";
    /** Maximum number of copies to read from the origin. */
    std::uint32_t originCopies = 1;
    std::size_t replicas = 4;
    std::size_t zones = 1;
    /** Size of the weights. */
    std::uint64_t bytes = 0;
    std::size_t chunkBytes = 0;
    /** Bytes per second of each machine's link, in each direction. */
    std::uint64_t linkRate = 0;
    /** Bytes per second of the origin, shared by all readers. */
    std::uint64_t originRate = 0;
    /** Properties of the links between zones; unused with one zone. */
    SimulatedZoneLinkOptions zoneLink;

    auto operator<=>(const RolloutCase &) const = default;
};

/** @returns policy, origin copies, replicas and zones, for example swarm-1-48-zones1 */
std::string nameOf(const RolloutCase &rolloutCase);

/** A process of the fleet. */
struct FleetProcess
{
    pid_t pid = 0;
    ZoneName zone;
    Address httpAddress;
    /** Address for peer links; for stand-ins, of the administration port. */
    Address secondAddress;
};

/** Starts the processes in the constructor, and kills them in the destructor. */
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
    /** @returns the last log lines of all processes, which share one log file */
    std::string lastLogLines() const;
    /** @returns the CPU time that all agents have used so far, in seconds */
    double agentCpuSeconds() const;
    /** @returns the largest resident memory of an agent, in bytes */
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

/** Bootstrap token with which the benchmark authenticates as an operator. */
extern const std::string benchToken;

} // namespace greengageseam
