/**
 * The entry process: accepts HTTP requests of callers, forwards them to agents, and serves the
 * administration API.
 *
 * Tasks of the process: one per caller connection, with a Forwarder for each request; Router
 * (admission and load balancing); FleetManager (agents of the zone); PeerEntries (links to other
 * entries); LogFollower, ConfigManager and SnapshotWriter (configuration); ClaimManager
 * (idempotency claims); AdminManager (administration). The class Entry only creates the tasks and
 * connects their mailboxes.
 */
#pragma once

#include "entry/adminhandler.h"
#include "entry/adminmanager.h"
#include "entry/callerhandler.h"
#include "entry/claimmanager.h"
#include "entry/entrysettings.h"
#include "entry/fleetmanager.h"
#include "entry/peerentries.h"
#include "entry/router.h"
#include "logservice/logservice.h"
#include "net/httpserver.h"
#include "net/metrics.h"

#include <memory>

namespace greengageseam {

/** Creates the tasks of an entry process and connects them through their mailboxes. */
class Entry : public std::enable_shared_from_this<Entry>
{
public:
    Entry(const asio::any_io_executor &executor, EntrySettings settings, Log log);

    /**
     * Opens the listening sockets and starts all tasks.
     * @returns InvalidRequest if an address is already in use
     */
    Result<void> start();
    /**
     * Shuts the entry down gracefully.
     *
     * Reports "not ready" and keeps serving for EntrySettings::drainNotice, so that the load
     * balancer in front can redirect its traffic. Then stops accepting requests, and returns when
     * none is in progress or EntrySettings::drainTimeout has passed.
     */
    Awaitable<void> shutDown();

private:
    Result<void> startHttpServer(const LogClient &logClient);
    Result<void> startPeerListener();
    void makePeerEntries();
    LinkHooks acceptedLinkHooks() const;
    void onEntryMessage(const HelloMessage &peer, const Message &message);
    void onLinkedEntriesChanged(const std::vector<LinkedEntry> &entries);
    void startConfigurationTasks();
    void makeConfigurationTasks(const LogClient &logClient);
    PeerIdentity identity() const;
    Awaitable<void> flushClaims();
    Awaitable<void> handle(HttpExchange &exchange);
    Awaitable<HttpResponse> handleHealthRequest(const std::string &path) const;
    Awaitable<void> pollInstanceList();

    asio::any_io_executor m_executor;
    EntrySettings m_settings;
    Log m_log;
    std::shared_ptr<Metrics> m_metrics;
    ProcessBudgetPtr m_budget;
    std::shared_ptr<ConfigManager> m_configManager;
    std::shared_ptr<LogFollower> m_logFollower;
    std::shared_ptr<SnapshotWriter> m_snapshotWriter;
    std::shared_ptr<FleetManager> m_fleetManager;
    std::shared_ptr<PeerEntries> m_peerEntries;
    std::shared_ptr<Router> m_router;
    std::shared_ptr<AdminManager> m_adminManager;
    std::shared_ptr<ClaimManager> m_claimManager;
    std::shared_ptr<CallerHandler> m_callerHandler;
    std::shared_ptr<AdminHandler> m_adminHandler;
    std::shared_ptr<HttpServer> m_httpServer;
    std::shared_ptr<PeerListener> m_peerListener;
};

} // namespace greengageseam
