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
    Result<void> startHttp(const LogClient &logClient);
    Result<void> startPeers();
    void makePeerEntries();
    LinkHooks acceptedLinkHooks() const;
    void onEntryMessage(const HelloMessage &peer, const Message &message);
    void onLinkedEntries(const std::vector<LinkedEntry> &entries);
    void startConfigurationTasks();
    void makeConfiguration(const LogClient &logClient);
    PeerIdentity identity() const;
    Awaitable<void> flushClaims();
    Awaitable<void> handle(HttpExchange &exchange);
    Awaitable<HttpResponse> answerHealth(const std::string &path) const;
    Awaitable<void> followList();

    asio::any_io_executor m_executor;
    EntrySettings m_settings;
    Log m_log;
    std::shared_ptr<Metrics> m_metrics;
    std::shared_ptr<ConfigKeeper> m_config;
    std::shared_ptr<LogTail> m_tail;
    std::shared_ptr<SnapshotWriter> m_snapshots;
    std::shared_ptr<FleetKeeper> m_fleet;
    std::shared_ptr<PeerEntries> m_peers;
    std::shared_ptr<Router> m_router;
    std::shared_ptr<AdminKeeper> m_admin;
    std::shared_ptr<ClaimKeeper> m_claims;
    std::shared_ptr<CallerDesk> m_callerDesk;
    std::shared_ptr<AdminDesk> m_adminDesk;
    std::shared_ptr<HttpServer> m_http;
    std::shared_ptr<PeerListener> m_listener;
};

} // namespace greengageseam
