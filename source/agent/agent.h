/**
 * agent: the process in the slot of a backend server, the only gate to it.
 *
 * Tasks: EntryLinks (heartbeats and configuration), Gate (admission), an Attempt for each request
 * in progress, WeightKeeper (weights), Placer (which versions belong here), EngineKeeper (orders),
 * ConfigKeeper (the fold). This class only connects them.
 */
#pragma once

#include "agent/agentsettings.h"
#include "agent/enginemanager.h"
#include "agent/entrylinks.h"
#include "agent/gate.h"
#include "agent/incarnationmanager.h"
#include "agent/placer.h"
#include "agent/weightmanager.h"
#include "logservice/logservice.h"
#include "net/httpserver.h"
#include "net/metrics.h"

#include <memory>

namespace greengageseam {

/** Builds the tasks of an agent and connects them by their mailboxes. */
class Agent : public std::enable_shared_from_this<Agent>
{
public:
    /** @param policy how weights are distributed */
    Agent(const asio::any_io_executor &executor, AgentSettings settings, Log log,
          TransferPolicy policy = swarmPolicy());

    /** Opens the sockets and starts all tasks. @returns InvalidRequest if an address is taken */
    Result<void> start();
    /** Takes no new work, and returns when no request is in progress or the limit has passed. */
    Awaitable<void> shutDown();

private:
    void onLinkMessage(const PeerLinkHandle &link, StreamMessage message);
    void onConfig(const ConfigView &view);
    void onPeerMessage(const PeerLinkHandle &link, StreamMessage message);
    void onNeighboursChanged(const std::vector<Heartbeat> &neighbours);
    void onAssignment(const Assignment &assignment);
    void onWeightStatus(const WeightStatus &status);
    void onGateStatus(const GateStatus &status);
    ReadInstanceList listReader() const;
    void makeWeightTasks(const PeerIdentity &identity);
    void startEngineTasks();
    void makeIncarnationManager();
    void onOrderLeaseEvent(const OrderLeaseEvent &event);

    asio::any_io_executor m_executor;
    AgentSettings m_settings;
    Log m_log;
    TransferPolicy m_policy;
    std::set<ZoneName> m_reachableZones;
    std::shared_ptr<Metrics> m_metrics;
    LogClient m_logClient;
    std::shared_ptr<ConfigManager> m_configManager;
    std::shared_ptr<Gate> m_gate;
    std::shared_ptr<WeightManager> m_weightManager;
    std::shared_ptr<ChunkLinks> m_chunkLinks;
    std::shared_ptr<ChunkServer> m_chunkServer;
    bool m_isLoadHigh = false;
    std::shared_ptr<EngineManager> m_engineManager;
    std::shared_ptr<IncarnationManager> m_incarnationManager;
    Offset m_incarnationNumber;
    std::shared_ptr<EntryLinks> m_entryLinks;
    std::shared_ptr<Placer> m_placer;
    std::shared_ptr<HttpServer> m_httpServer;
    std::shared_ptr<PeerListener> m_peerListener;
};

} // namespace greengageseam
