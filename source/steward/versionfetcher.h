/**
 * The task that has the newest named weights fetched: it reads the list of their pieces, and tells
 * the keeper of weights what is wanted and where else it is.
 */
#pragma once

#include "agent/weightkeeper.h"
#include "core/fleet/fleet.h"
#include "net/log.h"
#include "net/replicahooks.h"

#include <functional>
#include <optional>
#include <variant>

namespace greengageseam {

/** A configuration is in force. */
struct FetcherRoutes
{
    RouteTablePtr table;
};

/** Weights were named. */
struct FetcherNamed
{
    NamedVersion named;
};

/** Version that the backend server has loaded; 0 for none. */
struct FetcherLoaded
{
    std::uint64_t version = 0;
};

/** The weights that are held have changed. */
struct FetcherHolds
{
    std::set<Digest> complete;
};

/** The backend servers were listed; empty if they could not be. */
struct FetcherPeers
{
    std::vector<ReplicaEntry> entries;
};

/** The pieces of a version were listed, or could not be. */
struct FetcherListed
{
    std::uint64_t version = 0;
    Outcome<PieceList> list;
};

/** Time passes. */
struct FetcherTick
{ };

/** Messages to the fetcher. */
using FetcherCommand = std::variant<FetcherRoutes, FetcherNamed, FetcherLoaded, FetcherHolds,
                                    FetcherPeers, FetcherListed, FetcherTick>;

/** A version that is held whole and verified. */
struct HeldVersion
{
    ModelName model;
    std::uint64_t version = 0;
    Manifest manifest;
    /** Agents whose backend servers run the same weights. */
    std::vector<InstanceId> members;
};

/** What the fetcher is told at its start. */
struct FetcherOptions
{
    /** Name of this agent among those that exchange weights. */
    InstanceId self;
    ZoneName zone;
    /** The service of the backend server beside this agent. */
    ServiceName service;
    /** Port on which agents exchange weights. */
    std::uint16_t peerPort = 0;
};

/** What the fetcher deals with. */
struct FetcherHooks
{
    OpenOrigin openOrigin;
    /** Reads the list of backend servers, decoded. */
    std::function<Awaitable<Outcome<std::vector<ReplicaEntry>>>()> readReplicas;
    /** The task that holds the weights. */
    MailboxPtr<WeightCommand> weights;
    /** A version is held whole; it must not wait. */
    std::function<void(const HeldVersion &held)> held;
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
    void apply(const FetcherHolds &command);
    void apply(const FetcherPeers &command);
    void apply(const FetcherListed &command);
    void apply(const FetcherTick &command);
    void advance();
    bool isNeeded() const;
    void tellKeeper();
    void tellHeld();
    void forgetOld();
    void readPeers(Instant now);
    void readList(Instant now);
    std::vector<InstanceId> members() const;
    VersionPlaces placesOf(std::uint64_t version) const;
    Address originAddress() const;
    Awaitable<void> askPeers();
    Awaitable<void> askList(std::uint64_t version);
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
    /** Version to have; models begin with the first. */
    std::uint64_t m_wanted = 1;
    std::optional<std::uint64_t> m_loaded;
    /** Versions whose pieces are known, the wanted one and the one before it. */
    std::map<std::uint64_t, Known> m_known;
    std::set<Digest> m_complete;
    std::vector<ReplicaEntry> m_entries;
    Instant m_peersAskedAt;
    Instant m_listAskedAt;
    bool m_isAskingPeers = false;
    bool m_isAskingList = false;
    /** Whether the list was asked for since the version is wanted, with or without success. */
    bool m_arePeersKnown = false;
};

/** @returns the name of the agent beside a backend server, which is its machine's address */
InstanceId agentBeside(const Address &backend);

} // namespace greengageseam
