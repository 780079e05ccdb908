/**
 * The task on an entry or an agent that has the target version of a model's weights fetched. It
 * obtains the list of the version's pieces, and informs the task that stores weights which versions
 * are wanted and where else they are placed.
 */
#pragma once

#include "agent/weightkeeper.h"
#include "core/fleet/fleet.h"
#include "exchange/peerlists.h"
#include "net/log.h"
#include "net/replicahooks.h"

#include <functional>
#include <optional>
#include <variant>

namespace greengageseam {

/** A new configuration is in force. */
struct FetcherRoutes
{
    RouteTablePtr table;
};

/** The operator named a new target version. */
struct FetcherNamed
{
    NamedVersion named;
};

/** The versions that the relevant backend servers have loaded; 0 stands for none. */
struct FetcherLoaded
{
    std::set<std::uint64_t> versions;
};

/** The set of live entries has changed. */
struct FetcherEntries
{
    std::vector<EntrySite> entries;
};

/** The set of completely stored versions has changed. */
struct FetcherHolds
{
    std::set<Digest> complete;
};

/** The piece list of a version was received, or the request for it has failed. */
struct FetcherListed
{
    std::uint64_t version = 0;
    Outcome<PieceList> list;
};

/** A request from another process for the list of a version's pieces. */
struct FetcherAsked
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
struct FetcherAgents
{
    std::vector<WeightPeer> agents;
};

/** A message to the mailbox of VersionFetcher. */
using FetcherCommand =
        std::variant<FetcherRoutes, FetcherNamed, FetcherLoaded, FetcherEntries, FetcherAgents,
                     FetcherHolds, FetcherListed, FetcherAsked, FetcherTick>;

/** A version whose weights are stored completely and verified. */
struct HeldVersion
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
    bool isSource = false;
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
    std::function<void(const HeldVersion &held)> held;
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
    /** A version whose piece list is known. */
    struct Known
    {
        PieceList list;
        Manifest manifest;
        Digest digest;
        bool isTold = false;
    };

    Awaitable<void> run();
    void apply(const FetcherRoutes &command);
    void apply(const FetcherNamed &command);
    void apply(const FetcherLoaded &command);
    void apply(const FetcherEntries &command);
    void apply(const FetcherAgents &command);
    void apply(const FetcherHolds &command);
    void apply(const FetcherListed &command);
    void apply(const FetcherAsked &command);
    void apply(const FetcherTick &command);
    void advance();
    bool isNeeded() const;
    bool isAtHand() const;
    void tellPeers();
    void tellKeeper();
    void answerAskers();
    std::vector<InstanceId> entriesOfZone() const;
    void tellHeld();
    void forgetOld();
    void readList(Instant now);
    std::vector<WeightPeer> peers() const;
    VersionPlaces places() const;
    const Service *originService() const;
    Address originAddress() const;
    ZoneName originZone() const;
    Awaitable<void> askList(std::uint64_t version, InstanceId peer);
    Awaitable<OriginAnswer> readPiece(Chunk chunk);

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
    std::uint64_t m_wanted = 1;
    std::set<std::uint64_t> m_loaded;
    /** Versions whose piece lists are known: the target version and the previous one. */
    std::map<std::uint64_t, Known> m_known;
    std::set<Digest> m_complete;
    std::vector<EntrySite> m_entries;
    std::vector<WeightPeer> m_agents;
    /** Requests from other processes for lists that are not known yet. */
    std::vector<FetcherAsked> m_askers;
    /** The version whose list is missing; m_listMissingSince is when that was noticed. */
    std::uint64_t m_missing = 0;
    Instant m_missingSince;
    std::uint32_t m_listTries = 0;
    Instant m_listAskedAt;
    bool m_isAskingList = false;
};

/** @returns the name of the agent of a backend server: the IP address that both share */
InstanceId agentBeside(const Address &backend);

} // namespace greengageseam
