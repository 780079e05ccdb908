/**
 * Tasks that follow the platform's store: what the operator writes, and the list of backend
 * servers.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "edge/topicfollower.h"
#include "net/log.h"
#include "net/metrics.h"

#include <functional>

namespace greengageseam {

/** What the operator writes, as far as a process follows it; the hooks must not wait. */
struct OperatorHooks
{
    /** Decodes a configuration. */
    std::function<Result<FleetConfig>(std::string_view bytes)> decodeConfig;
    /** Decodes named weights. */
    std::function<Result<TargetVersion>(std::string_view bytes)> decodeTargetVersion;
    /** @returns whether a record holds the configuration */
    std::function<bool(std::string_view key)> isConfig;
    /** @returns whether a record names weights */
    std::function<bool(std::string_view key)> isTargetVersion;
    /** A newer configuration is in force. */
    std::function<void(RouteTablePtr table)> onConfig;
    /** Weights were named. @p isOld whether that was before this process began to follow */
    std::function<void(const TargetVersion &targetVersion, bool isInitial)> onTargetVersion;
    /** The topic was read up to a higher offset. */
    std::function<void(std::uint64_t offset)> onOffsetAdvanced;
};

/** Follows what the operator writes. */
class OperatorWatcher : public std::enable_shared_from_this<OperatorWatcher>
{
public:
    OperatorWatcher(const asio::any_io_executor &executor, TopicReader reader,
                    FollowOptions options, OperatorHooks hooks, Log log);

    /** Starts the task. */
    void start();
    /** Somebody has read up to an offset; reads on if that is beyond what was read here. */
    void catchUpTo(std::uint64_t offset);
    /** The store was away; a read that waits may wait on a connection that has fallen silent. */
    void restartRead();
    /** Somebody has read that weights were named; believed once the topic was read here. */
    void applyPeerTargetVersion(const TargetVersion &targetVersion);

private:
    void applyRecord(const KeyedRecord &record, bool isInitial);
    void applyTargetVersion(const TargetVersion &targetVersion, bool isInitial);
    void advanceOffset(std::uint64_t offset);

    OperatorHooks m_hooks;
    Log m_log;
    std::shared_ptr<TopicFollower> m_follower;
    std::uint64_t m_configVersion = 0;
    /** Offset up to which the topic was read. */
    std::uint64_t m_offset = 0;
    bool m_hasSnapshot = false;
    std::map<ModelName, std::uint64_t> m_targetVersions;
};

/** What the feed of backend servers tells; the hooks must not wait. */
struct ReplicaWatcherHooks
{
    /** Decodes an entry. */
    std::function<Result<ReplicaEntry>(const ReplicaId &id, std::string_view bytes)> decode;
    /** The list has changed. */
    std::function<void(std::vector<ReplicaEntry> entries)> onChanged;
    /** The list was read on, and brought this. */
    std::function<void(const ReplicaListDelta &update)> onDelta;
    /** The store can be read again after it could not be. */
    std::function<void()> onStoreRecovered;
};

/** Follows the list of backend servers. */
class ReplicaWatcher : public std::enable_shared_from_this<ReplicaWatcher>
{
public:
    /** @param pause between two reads of the list */
    ReplicaWatcher(const asio::any_io_executor &executor, TopicReader reader,
                   ReplicaWatcherHooks hooks, Duration pollInterval, Log log);

    /** Starts the task. */
    void start();
    /** Whether another entry is expected to read the list and to pass on what is new. */
    void relyOnPeers(bool relies);
    /** Another entry has read the list. */
    void applyPeerDelta(const ReplicaListDelta &update);

private:
    void applySnapshot(const KeyedSnapshot &snapshot);
    void applyTail(std::uint64_t from, const KeyedBatch &tail);
    std::optional<ReplicaEntry> applyRecord(const KeyedRecord &record, Instant now);
    void applyDelta(const ReplicaListDelta &update);
    void expire(Instant now);
    void remove(const ReplicaId &id, Instant now);
    bool put(const ReplicaEntry &entry);
    void logChange(const ReplicaUpdate &update);
    void publish();

    ReplicaWatcherHooks m_hooks;
    Log m_log;
    std::shared_ptr<TopicFollower> m_follower;
    ReplicaRegistry m_replicas;
    std::vector<ReplicaEntry> m_published;
    bool m_isPublished = false;
};

} // namespace greengageseam
