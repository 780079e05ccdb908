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

#include "entry/admindesk.h"
#include "entry/adminkeeper.h"
#include "entry/callerdesk.h"
#include "entry/claimkeeper.h"
#include "entry/entrysettings.h"
#include "entry/fleetkeeper.h"
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
