/**
 * The task on an entry or an agent that has the target version of a model's weights fetched. It
 * obtains the list of the version's pieces, and informs the task that stores weights which versions
 * are wanted and where else they are placed.
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

/** A new configuration is in force. */
struct FetcherConfigChanged
{
    RouteTablePtr table;
};

/** The operator has announced a new target version. */
struct FetcherTargetVersionChanged
{
    TargetVersion named;
};

/** The versions that the relevant backend servers have loaded; 0 stands for none. */
struct FetcherLoadedVersionsChanged
{
    std::set<std::uint64_t> versions;
};

/** The set of live entries has changed. */
struct FetcherEntriesChanged
{
    std::vector<EntryLocation> entries;
};

/** The set of completely stored versions has changed. */
struct FetcherCompleteVersionsChanged
{
    std::set<Digest> complete;
};

/** The piece list of a version was received, or the request for it has failed. */
struct FetcherListReceived
{
    std::uint64_t version = 0;
    Outcome<PieceList> list;
};

/** The list of the target version may be corrupt and is to be read again. */
struct FetcherListDoubted
{
    /** The source that may have another list. */
    ChunkSource source;
    /** The manifest that the source has announced; empty if a piece does not match its digest. */
    Digest manifest;
};

/** A request from another process for the list of a version's pieces. */
struct FetcherListQuery
{
    ModelName model;
    std::uint64_t version = 0;
    /** Called with the list once it is known; it must not block. */
    std::function<void(const PieceList &list)> reply;
};

/** A periodic timer event. */
struct FetcherTick
{ };

/** The set of agents that may have weights to offer has changed. */
struct FetcherAgentsChanged
{
    std::vector<WeightPeer> agents;
};

/** Messages to the VersionFetcher. */
using FetcherCommand =
        std::variant<FetcherConfigChanged, FetcherTargetVersionChanged,
                     FetcherLoadedVersionsChanged, FetcherEntriesChanged, FetcherAgentsChanged,
                     FetcherCompleteVersionsChanged, FetcherListReceived, FetcherListDoubted,
                     FetcherListQuery, FetcherTick>;

/** A version whose weights are stored completely and verified. */
struct CompleteVersion
{
    ModelName model;
    std::uint64_t version = 0;
    Manifest manifest;
};

/** Configuration of VersionFetcher. */
struct FetcherOptions
{
    /** Name of this process among the peers: the IP address of its machine. */
    InstanceId self;
    ZoneName zone;
    /** The service whose model is fetched; empty to use the one that is configured. */
    ServiceName service;
    /** Whether this process brings weights into its zone and relays them, as entries do. */
    bool isSeeder = false;
    /** The port on which processes exchange weights. */
    std::uint16_t peerPort = 0;
};

/** Hook that reads a piece that is staged on the local machine. The bytes are not verified. */
using ReadStagedPiece =
        std::function<Awaitable<Outcome<std::string>>(ModelName model, std::uint32_t number)>;

/** The collaborators of VersionFetcher. */
struct FetcherHooks
{
    OpenOrigin openOrigin;
    /** Mailbox of the task that stores the weights. */
    MailboxPtr<WeightCommand> weights;
    ReadPeerList readPeerList;
    /** Reads a locally staged piece; empty if this process has no access to staged pieces. */
    ReadStagedPiece readStaged;
    /** Called once for each version that becomes complete; it must not block. */
    std::function<void(const CompleteVersion &complete)> onVersionCompleted;
};

/**
 * Has the target version of a model's weights fetched.
 *
 * @see WeightExchange
 */
class VersionFetcher : public std::enable_shared_from_this<VersionFetcher>
{
public:
    VersionFetcher(const asio::any_io_executor &executor, FetcherOptions options,
                   FetcherHooks hooks, Log log);

    /** @returns the mailbox for commands */
    const MailboxPtr<FetcherCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();
    /**
     * @param readPeer reads a chunk from a peer
     * @returns the hooks with which the task that stores weights reads manifests and chunks
     */
    WeightSources sources(ReadPeer readPeer);

private:
    /** A version of which at least one piece list is known. */
    struct KnownVersion
    {
        ListCandidates lists;
        bool isNotified = false;

        auto operator<=>(const KnownVersion &) const = default;
    };

    /** Where a piece is read from the origin. */
    struct NumberedPiece
    {
        ModelName model;
        std::uint64_t version = 0;
        std::uint32_t number = 0;
    };

    Awaitable<void> run();
    void apply(const FetcherConfigChanged &command);
    void apply(const FetcherTargetVersionChanged &command);
    void apply(const FetcherLoadedVersionsChanged &command);
    void apply(const FetcherEntriesChanged &command);
    void apply(const FetcherAgentsChanged &command);
    void apply(const FetcherCompleteVersionsChanged &command);
    void apply(const FetcherListReceived &command);
    void apply(const FetcherListDoubted &command);
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
    bool isComplete(const KnownVersion &known) const;
    bool isTargetComplete() const;
    PieceListFormat listFormat(std::uint64_t version) const;
    void requestListIfDue(Instant now);
    void reviewListIfDue(Instant now);
    std::optional<ChunkSource> nextListSource(Duration missingFor) const;
    void startListRequest(ChunkSource source, Digest announced);
    std::size_t listCount() const;
    std::vector<WeightPeer> peers() const;
    VersionPlacement placement() const;
    const Service *originService() const;
    Address originAddress() const;
    ZoneName originZone() const;
    Awaitable<void> requestList(std::uint64_t version, InstanceId peer);
    Awaitable<OriginResponse> readPiece(Chunk chunk);
    std::optional<NumberedPiece> findPiece(const Digest &digest) const;

    asio::any_io_executor m_executor;
    FetcherOptions m_options;
    FetcherHooks m_hooks;
    Log m_log;
    MailboxPtr<FetcherCommand> m_mailbox;
    RouteTablePtr m_table;
    ModelName m_model;
    WeightOriginHooks m_origin;
    Address m_originAddress;
    /** The version to fetch; the first version of a model is 1. */
    std::uint64_t m_targetVersion = 1;
    std::set<std::uint64_t> m_loadedVersions;
    /** Versions whose piece lists are known: the target version and at most one older one. */
    std::map<std::uint64_t, KnownVersion> m_knownVersions;
    std::set<Digest> m_complete;
    std::vector<EntryLocation> m_entries;
    std::vector<WeightPeer> m_agents;
    /** Requests from other processes for lists that are not known yet. */
    std::vector<FetcherListQuery> m_pendingListQueries;
    /** The version whose list is missing; m_listMissingSince is when that was noticed. */
    std::uint64_t m_missingListVersion = 0;
    Instant m_listMissingSince;
    std::uint32_t m_listAttempts = 0;
    /** Why the list of the target version is to be read again; empty if there is no reason. */
    std::optional<FetcherListDoubted> m_doubt;
    /** The manifest because of which the list is being read again; empty if there is none. */
    Digest m_announcedManifest;
    /** Manifests of peers because of which the list of the target version was read again. */
    std::set<Digest> m_reviewedManifests;
    Instant m_lastListRequestAt;
    bool m_isRequestingList = false;
};

/** @returns the name of the agent of a backend server: the IP address that both share */
InstanceId agentOfBackend(const Address &backend);

} // namespace greengageseam
