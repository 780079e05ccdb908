/**
 * The sidecar: the agent process beside a backend server on the platform. It fetches and installs
 * weights, sends orders to load them, and reports the load of the backend server to entries.
 */
#pragma once

#include "edge/adapter.h"
#include "edge/operatorwatcher.h"
#include "edge/relayedreader.h"
#include "exchange/weightexchange.h"
#include "sidecar/coldprobe.h"
#include "sidecar/loadreporter.h"
#include "sidecar/replicaprobe.h"
#include "sidecar/weightinstaller.h"

namespace greengageseam {

/** Creates and connects the tasks of the sidecar. */
class Sidecar
{
public:
    /** @param secret the secret that all processes of the deployment share */
    Sidecar(const asio::any_io_executor &executor, NodeSettings settings, PlatformAdapter adapter,
            std::string secret, Log log);

    /** Starts all tasks. @returns InvalidRequest if it cannot listen on an address */
    Result<void> start();
    /** Handles reloaded settings. No setting takes effect before the process restarts. */
    void reload(const NodeSettings &settings);
    /** Closes the links to other processes, with a timeout. */
    Awaitable<void> shutDown();

private:
    void makeWeightTasks();
    void makeOperatorWatcher();
    void applyColdStartRules(const Service &service);
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
    std::shared_ptr<ColdProbe> m_coldProbe;
    std::shared_ptr<LoadReporter> m_loadReporter;
    std::shared_ptr<RelayedReader> m_operatorReader;
    std::shared_ptr<OperatorWatcher> m_operatorWatcher;
    /** The latest report of the backend server. */
    std::optional<ReplicaReport> m_report;
    /** Whether the backend server is about to load weights and should receive no new requests. */
    bool m_isDraining = false;
};

} // namespace greengageseam
