/**
 * The entry role on the platform: accepts requests from callers and proxies them to backend
 * servers.
 */
#pragma once

#include "edge/adapter.h"
#include "edge/callerserver.h"
#include "edge/dispatcher.h"
#include "edge/loadlistener.h"
#include "edge/relayedreader.h"
#include "edge/storewatchers.h"
#include "edge/topicrelay.h"
#include "exchange/weightexchange.h"
#include "net/httpserver.h"

#include <map>

namespace greengageseam {

/** Creates the tasks of an entry and connects them to each other. */
class Edge
{
public:
    /** @param secret shared by all processes of the deployment */
    Edge(const asio::any_io_executor &executor, NodeSettings settings, PlatformAdapter adapter,
         std::string secret, Log log);

    /** Starts all tasks. @returns InvalidRequest if an address cannot be used */
    Result<void> start();
    /** Called after the settings were read again. No setting of an entry changes at run time. */
    void reload(const NodeSettings &settings);
    /**
     * Shuts down gracefully: fails the readiness check, waits until the load balancer has noticed,
     * stops accepting connections, and waits for requests in progress within the grace period.
     */
    Awaitable<void> shutDown();

private:
    void makeTopicRelay();
    void makeWatchers();
    void makeReplicaWatcher();
    Result<void> makeLoadListener();
    void makeQuarantine();
    Result<void> startExchange();
    void onReplicasChanged(std::vector<ReplicaEntry> entries);
    bool isReady() const;
    Awaitable<void> handle(HttpExchange &exchange);

    asio::any_io_executor m_executor;
    NodeSettings m_settings;
    PlatformAdapter m_adapter;
    std::string m_secret;
    Log m_log;
    std::shared_ptr<Metrics> m_metrics;
    std::shared_ptr<Dispatcher> m_dispatcher;
    std::shared_ptr<PromptQuarantine> m_quarantine;
    ProcessBudgetPtr m_budget;
    std::shared_ptr<CallerServer> m_callerServer;
    std::shared_ptr<HttpServer> m_readinessServer;
    std::shared_ptr<HttpServer> m_controlServer;
    std::shared_ptr<TopicRelay> m_topicRelay;
    std::shared_ptr<RelayedReader> m_operatorReader;
    std::shared_ptr<OperatorWatcher> m_operatorWatcher;
    std::shared_ptr<ReplicaWatcher> m_replicaWatcher;
    std::shared_ptr<LoadListener> m_loadListener;
    std::shared_ptr<WeightExchange> m_exchange;
    Instant m_startedAt;
    RouteTablePtr m_routes;
    /** The target version of each model. */
    std::map<ModelName, AnnounceTargetVersion> m_targetVersions;
    std::vector<ReplicaEntry> m_replicaEntries;
    bool m_hasReplicaList = false;
    bool m_isDraining = false;
};

} // namespace greengageseam
