/**
 * The agent beside a model engine on the users' platform: weights, orders and reports of load.
 */
#pragma once

#include "edge/adapter.h"
#include "edge/storewatchers.h"
#include "exchange/weightexchange.h"
#include "sidecar/loadreporter.h"
#include "sidecar/replicaprobe.h"
#include "sidecar/weightinstaller.h"

namespace greengageseam {

/** Brings the tasks of the agent together. */
class Sidecar
{
public:
    /** @param secret that all processes of the deployment share */
    Sidecar(const asio::any_io_executor &executor, NodeSettings settings, PlatformAdapter adapter,
            std::string secret, Log log);

    /** Starts all tasks. @returns InvalidRequest if an address cannot be used */
    Result<void> start();
    /** Settings that were read again; nothing of them changes while the process runs. */
    void reload(const NodeSettings &settings);
    /** Ends the links to other agents. */
    Awaitable<void> shutDown();

private:
    void makeWeightTasks();
    void makeOperatorWatcher();
    void onReport(const std::optional<ReplicaReport> &report);
    void reportLoad();
    Awaitable<Outcome<std::vector<ReplicaEntry>>> readReplicas() const;

    asio::any_io_executor m_executor;
    NodeSettings m_settings;
    PlatformAdapter m_adapter;
    std::string m_secret;
    Log m_log;
    std::shared_ptr<Metrics> m_metrics;
    std::shared_ptr<WeightExchange> m_exchange;
    std::shared_ptr<WeightInstaller> m_installer;
    std::shared_ptr<ReplicaProbe> m_probe;
    std::shared_ptr<LoadReporter> m_loadReporter;
    std::shared_ptr<OperatorWatcher> m_operatorWatcher;
    /** The newest report of the backend server. */
    std::optional<ReplicaReport> m_report;
    /** The backend server is to load weights, and should get nothing new. */
    bool m_isDraining = false;
    std::optional<LoadReport> m_lastSentLoad;
    Instant m_lastSentAt;
};

} // namespace greengageseam
