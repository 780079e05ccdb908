/**
 * The task that has the newest named weights fetched, on an entry or an agent: it reads the list of
 * their pieces, and tells the keeper of weights what is wanted and where else it is.
 */
#pragma once

#include "agent/weightmanager.h"
#include "core/fleet/fleet.h"
#include "exchange/peerlists.h"
#include "net/log.h"
#include "net/replicahooks.h"

#include <functional>
#include <optional>
#include <variant>

namespace greengageseam {

/** A configuration is in force. */
struct FetcherConfigChanged
{
    RouteTablePtr table;
};

/** Weights were named. */
struct FetcherTargetVersionChanged
{
    TargetVersion named;
};

/** Versions that the backend servers in question have loaded; 0 for none. */
struct FetcherLoadedVersionsChanged
{
    std::set<std::uint64_t> versions;
};

/** The entries that are known to run. */
struct FetcherEntriesChanged
{
    std::vector<EntryLocation> entries;
};

/** The weights that are held have changed. */
struct FetcherCompleteVersionsChanged
{
    std::set<Digest> complete;
};

/** The pieces of a version were listed, or could not be. */
struct FetcherListReceived
{
    std::uint64_t version = 0;
    Outcome<PieceList> list;
};

/** Another process asks for the list of a version's pieces. */
struct FetcherListQuery
{
    ModelName model;
    std::uint64_t version = 0;
    /** Gets the list once it is known; it must not wait. */
    std::function<void(const PieceList &list)> reply;
};

/** Time passes. */
struct FetcherTick
{ };

/** Agents that may hold weights. */
struct FetcherAgentsChanged
{
    std::vector<WeightPeer> agents;
};

/** Messages to the fetcher. */
using FetcherCommand = std::variant<FetcherConfigChanged, FetcherTargetVersionChanged,
                                    FetcherLoadedVersionsChanged, FetcherEntriesChanged,
                                    FetcherAgentsChanged, FetcherCompleteVersionsChanged,
                                    FetcherListReceived, FetcherListQuery, FetcherTick>;

/** A version that is held whole and verified. */
struct CompleteVersion
{
    ModelName model;
    std::uint64_t version = 0;
    Manifest manifest;
};

/** What the fetcher is told at its start. */
struct FetcherOptions
{
    /** Name of this process among those that exchange weights: its machine's address. */
    InstanceId self;
    ZoneName zone;
    /** The service whose model is meant; empty for the one that there is. */
    ServiceName service;
    /** Whether it passes weights on, as entries do, or only takes them. */
    bool isSeeder = false;
    /** Port on which weights are exchanged. */
    std::uint16_t peerPort = 0;
};

/** Hook that reads a piece that is staged at hand, not verified. */
using ReadStagedPiece =
        std::function<Awaitable<Outcome<std::string>>(ModelName model, std::uint32_t number)>;

/** What the fetcher deals with. */
struct FetcherHooks
{
    OpenOrigin openOrigin;
    /** The task that holds the weights. */
    MailboxPtr<WeightCommand> weights;
    ReadPeerList readPeerList;
    /** Reads a piece that is staged at hand; empty if none can be. */
    ReadStagedPiece readStaged;
    /** A version is held whole; it must not wait. */
    std::function<void(const CompleteVersion &complete)> onVersionCompleted;
};

/** Has weights fetched. */
class VersionFetcher : public std::enable_shared_from_this<VersionFetcher>
{
public:
    VersionFetcher(const asio::any_io_executor &executor, FetcherOptions options,
                   FetcherHooks hooks, Log log);

    /** @returns where to send commands */
    const MailboxPtr<FetcherCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();
    /** @returns how a manifest and chunks are read from the origin, for the keeper of weights */
    WeightSources sources(ReadPeer readPeer);

private:
    /** A version whose pieces are known. */
    struct KnownVersion
    {
        PieceList list;
        Manifest manifest;
        Digest digest;
        bool isNotified = false;
    };

    Awaitable<void> run();
    void apply(const FetcherConfigChanged &command);
    void apply(const FetcherTargetVersionChanged &command);
    void apply(const FetcherLoadedVersionsChanged &command);
    void apply(const FetcherEntriesChanged &command);
    void apply(const FetcherAgentsChanged &command);
    void apply(const FetcherCompleteVersionsChanged &command);
    void apply(const FetcherListReceived &command);
    void apply(const FetcherListQuery &command);
    void apply(const FetcherTick &command);
    void advance();
    bool isNeeded() const;
    bool isStagedLocally() const;
    void sendPeers();
    void sendWantedVersions();
    void answerListQueries();
    std::vector<InstanceId> entriesOfZone() const;
    void notifyCompleteVersions();
    void evictOldVersions();
    void requestListIfDue(Instant now);
    std::vector<WeightPeer> peers() const;
    VersionPlacement placement() const;
    const Service *originService() const;
    Address originAddress() const;
    ZoneName originZone() const;
    Awaitable<void> requestList(std::uint64_t version, InstanceId peer);
    Awaitable<OriginResponse> readPiece(Chunk chunk);

    asio::any_io_executor m_executor;
    FetcherOptions m_options;
    FetcherHooks m_hooks;
    Log m_log;
    MailboxPtr<FetcherCommand> m_mailbox;
    RouteTablePtr m_table;
    ModelName m_model;
    WeightOriginHooks m_origin;
    Address m_originAddress;
    /** Version to have; models begin with the first. */
    std::uint64_t m_targetVersion = 1;
    std::set<std::uint64_t> m_loadedVersions;
    /** Versions whose pieces are known, the wanted one and the one before it. */
    std::map<std::uint64_t, KnownVersion> m_knownVersions;
    std::set<Digest> m_complete;
    std::vector<EntryLocation> m_entries;
    std::vector<WeightPeer> m_agents;
    /** Those that wait for a list that is not known yet. */
    std::vector<FetcherListQuery> m_pendingListQueries;
    /** Version whose list is missing, and since when. */
    std::uint64_t m_missingListVersion = 0;
    Instant m_listMissingSince;
    std::uint32_t m_listAttempts = 0;
    Instant m_lastListRequestAt;
    bool m_isRequestingList = false;
};

/** @returns the name of the agent beside a backend server, which is its machine's address */
InstanceId agentOfBackend(const Address &backend);

} // namespace greengageseam
