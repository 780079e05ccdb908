/**
 * Watchers of the platform's store: one for the operator's configurations and target versions, one
 * for the list of backend servers.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "edge/topicfollower.h"
#include "net/log.h"
#include "net/metrics.h"

#include <functional>

namespace greengageseam {

/** Decoders and event handlers for the operator's topic. The hooks must not block. */
struct OperatorHooks
{
    /** Decodes a configuration. */
    std::function<Result<FleetConfig>(std::string_view bytes)> decodeConfig;
    /** Decodes a target version of weights. */
    std::function<Result<NamedVersion>(std::string_view bytes)> decodeNamed;
    /** @returns whether the key is that of the configuration */
    std::function<bool(std::string_view key)> isConfig;
    /** @returns whether the key is that of a target version of weights */
    std::function<bool(std::string_view key)> isNamed;
    /** Called when a newer configuration applies. */
    std::function<void(RouteTablePtr table)> config;
    /**
     * Called when a newer target version was announced. isInitial tells whether it was announced
     * before this watcher read the topic for the first time.
     */
    std::function<void(const NamedVersion &named, bool isOld)> named;
    /** Called when the topic was read up to a higher offset. */
    std::function<void(std::uint64_t offset)> readUpTo;
};

/** Watches the topic of the operator. */
class OperatorFeed : public std::enable_shared_from_this<OperatorFeed>
{
public:
    OperatorFeed(const asio::any_io_executor &executor, TopicReader reader, FollowOptions options,
                 OperatorHooks hooks, Log log);

    /** Starts the task. */
    void start();
    /** Reads further if another process has read up to a higher offset than this watcher has. */
    void hearOf(std::uint64_t offset);
    /**
     * Abandons the read in progress and starts a new one. Call it after the store was unavailable,
     * because the old read may wait on a connection that never returns anything.
     */
    void readAnew();
    /**
     * Applies a target version that another process has read. It is ignored until this watcher has
     * read the topic once itself.
     */
    void hearNamed(const NamedVersion &named);

private:
    void take(const KeyedRecord &record, bool isOld);
    void takeNamed(const NamedVersion &named, bool isOld);
    void noteOffset(std::uint64_t offset);

    OperatorHooks m_hooks;
    Log m_log;
    std::shared_ptr<TopicFollower> m_follower;
    /** Version of the newest configuration. */
    std::uint64_t m_version = 0;
    /** Offset up to which the topic was read. */
    std::uint64_t m_offset = 0;
    /** Whether the topic was read once. */
    bool m_hasRead = false;
    /** The newest target version of the weights of each model. */
    std::map<ModelName, std::uint64_t> m_named;
};

/** Hooks of ReplicaWatcher. They must not block. */
struct ReplicaHooksOfFeed
{
    /** Decodes the entry of a backend server. */
    std::function<Result<ReplicaEntry>(const ReplicaId &id, std::string_view bytes)> decode;
    /** Called with the complete list when it has changed. */
    std::function<void(std::vector<ReplicaEntry> entries)> changed;
    /** Called with the delta after each incremental read of the list, even if it is empty. */
    std::function<void(const ListNews &news)> read;
    /** Called when the store is available again after a failure. */
    std::function<void()> regained;
};

/** Watches the list of backend servers. */
class ReplicaFeed : public std::enable_shared_from_this<ReplicaFeed>
{
public:
    /** @param pollInterval time between two reads of the list */
    ReplicaFeed(const asio::any_io_executor &executor, TopicReader reader, ReplicaHooksOfFeed hooks,
                Duration pause, Log log);

    /** Starts the task. */
    void start();
    /** @param relies whether another entry is expected to read the list and relay its deltas */
    void relyOnOthers(bool relies);
    /** Applies a delta that another entry has read and relayed. */
    void hear(const ListNews &news);

private:
    void takeWhole(const KeyedSnapshot &snapshot);
    void takeAdded(std::uint64_t from, const KeyedTail &tail);
    std::optional<ReplicaEntry> take(const KeyedRecord &record, Instant now);
    void takeOver(const ListNews &news);
    void expire(Instant now);
    void remove(const ReplicaId &id, Instant now);
    bool put(const ReplicaEntry &entry);
    void tell(const ReplicaNews &news);
    void publish();

    ReplicaHooksOfFeed m_hooks;
    Log m_log;
    std::shared_ptr<TopicFollower> m_follower;
    ReplicaBook m_book;
    std::vector<ReplicaEntry> m_published;
    bool m_isPublished = false;
};

} // namespace greengageseam
