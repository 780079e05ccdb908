/**
 * entry: the process between callers and agents; also the one that operators speak to.
 *
 * Tasks: a connection for each caller with a Forwarder for each request, Router (admission and
 * choice), FleetKeeper (the zone's agents), PeerEntries (links to other entries), LogTail,
 * ConfigKeeper and SnapshotWriter (configuration), AdminKeeper (administration). This class only
 * connects them.
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

/** Builds the tasks of an entry and connects them by their mailboxes. */
class Entry : public std::enable_shared_from_this<Entry>
{
public:
    Entry(const asio::any_io_executor &executor, EntrySettings settings, Log log);

    /** Opens the sockets and starts all tasks. @returns InvalidRequest if an address is taken */
    Result<void> start();
    /**
     * Says that it is not ready, serves callers until the balancer has had time to move, then takes
     * no new requests, and returns when none is in progress or the limit has passed.
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
