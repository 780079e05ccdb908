/**
 * The agent: the process beside a backend server, through which all requests to it pass.
 *
 * An agent consists of tasks that own their state and exchange messages through mailboxes:
 * - EntryLinks sends heartbeats to the zone's entries and receives the configuration from them.
 * - ConfigManager applies the records of the configuration log.
 * - Gate admits attempts, and an Attempt task runs each of them.
 * - Placer computes which model versions belong on the engine.
 * - WeightManager fetches, verifies and stores weights, and exchanges them with other agents
 *   through ChunkLinks and ChunkServer.
 * - EngineManager polls the engine, and sends it orders to load and unload versions.
 * - IncarnationManager registers this process in the log, and detects a successor.
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

/** Creates the tasks of an agent and connects their mailboxes. It makes no decisions itself. */
class Agent : public std::enable_shared_from_this<Agent>
{
public:
    /**
     * @param executor runs all tasks of the agent
     * @param settings settings from the command line and the environment
     * @param log logger with the fields that identify the instance
     * @param policy how the source of each weight chunk is chosen
     */
    Agent(const asio::any_io_executor &executor, AgentSettings settings, Log log,
          TransferPolicy policy = swarmPolicy());

    /** Opens the sockets and starts all tasks. @returns InvalidRequest if an address is in use */
    Result<void> start();
    /**
     * Rejects new attempts, and returns when none is in progress or AgentSettings::drainTimeout has
     * passed.
     */
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
    /** Makes the budget for connections and attempts: what the weights leave of the limits. */
    ProcessBudgetPtr makeBudget(const HttpServerOptions &options) const;
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
    ProcessBudgetPtr m_budget;
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
