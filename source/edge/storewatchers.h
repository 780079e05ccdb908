/**
 * Watchers of the platform's store: one for the operator's configurations and target versions, one
 * for the list of backend servers.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "edge/topicfollower.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/timer.h"

#include <functional>

namespace greengageseam {

/** Where a watcher learned of a target version. */
enum class VersionSource { Store, Agent, Entry };

/** Decoders and event handlers for the operator's topic. The hooks must not block. */
struct OperatorHooks
{
    /** Decodes a configuration. */
    std::function<Result<FleetConfig>(std::string_view bytes)> decodeConfig;
    /** Decodes a target version of weights. */
    std::function<Result<TargetVersion>(std::string_view bytes)> decodeTargetVersion;
    /** @returns whether the key is that of the configuration */
    std::function<bool(std::string_view key)> isConfig;
    /** @returns whether the key is that of a target version of weights */
    std::function<bool(std::string_view key)> isTargetVersion;
    /** Called when a newer configuration applies. */
    std::function<void(RouteTablePtr table)> onConfig;
    /**
     * Called when a newer target version was announced, and again when it turns out to be older
     * than it was said to be. isInitial tells whether it was announced before this watcher read the
     * topic for the first time. The age is the longest time since the announcement that is
     * possible: the time for which another process has known the version, or since which this one's
     * view of the topic was complete.
     */
    std::function<void(const TargetVersion &targetVersion, bool isInitial, Duration age)>
            onTargetVersion;
    /** Called when the topic was read up to a higher offset. */
    std::function<void(std::uint64_t offset)> onOffsetAdvanced;
    /**
     * Called when what was applied is known to be complete as of a later time; may be empty.
     * Whatever was read is applied first.
     */
    std::function<void(Instant completeAsOf)> onConfirmed;
};

/** Watches the topic of the operator. */
class OperatorWatcher : public std::enable_shared_from_this<OperatorWatcher>
{
public:
    OperatorWatcher(const asio::any_io_executor &executor, TopicReader reader,
                    FollowOptions options, OperatorHooks hooks, Log log);

    /** Starts the task. */
    void start();
    /** Reads further if another process has read up to a higher offset than this watcher has. */
    void catchUpTo(std::uint64_t offset);
    /**
     * Abandons the read in progress and starts a new one. Call it after the store was unavailable,
     * because the old read may wait on a connection that never returns anything.
     */
    void restartRead();
    /**
     * Applies a target version that another process knows. It is ignored until this watcher has
     * read the topic once itself.
     * @param age time for which the other process has known it
     */
    void applyPeerTargetVersion(const TargetVersion &targetVersion, VersionSource source,
                                Duration age);
    /**
     * Records that another process has passed on all target versions that were announced before a
     * time, so that a version that is heard of later was announced after it.
     */
    void confirmPeerView(Instant completeAsOf);

    /** Records that nobody can read the topic now, so that changes are newer than that. */
    void recordOutage();

private:
    void recordRunning();
    void applyRecords(const std::vector<KeyedRecord> &records, bool isInitial,
                      Instant completeAsOf);
    void confirm(Instant completeAsOf);
    void applyRecord(const KeyedRecord &record, bool isInitial);
    void applyTargetVersion(const TargetVersion &targetVersion, VersionSource source,
                            bool isInitial, Duration age);
    void logTargetVersion(const TargetVersion &targetVersion, VersionSource source, Duration age,
                          DateBasis basis) const;
    void advanceOffset(std::uint64_t offset);

    asio::any_io_executor m_executor;
    OperatorHooks m_hooks;
    Log m_log;
    std::shared_ptr<TopicFollower> m_follower;
    ListeningHistory m_listening;
    /** Version of the newest configuration. */
    std::uint64_t m_configVersion = 0;
    /** Offset up to which the topic was read. */
    std::uint64_t m_offset = 0;
    /** Whether the topic was read once. */
    bool m_hasSnapshot = false;
    /** Every change that was accepted before this time was applied. Never decreases. */
    Instant m_completeAsOf;
    /** Views of peers that are received before this time do not count. */
    Instant m_ignorePeerViewsUntil;
    /** The newest target version of a model, and the earliest time at which it can be announced. */
    struct DatedVersion
    {
        std::uint64_t version = 0;
        Instant earliest;
    };

    std::map<ModelName, DatedVersion> m_targetVersions;
};

/** Hooks of ReplicaWatcher. They must not block. */
struct ReplicaWatcherHooks
{
    /** Decodes the entry of a backend server. */
    std::function<Result<ReplicaEntry>(const ReplicaId &id, std::string_view bytes)> decode;
    /** Called with the complete list when it has changed. */
    std::function<void(std::vector<ReplicaEntry> entries)> onChanged;
    /** Called with the delta after each incremental read of the list, even if it is empty. */
    std::function<void(const ReplicaListDelta &update)> onDelta;
    /** Called when the store is available again after a failure. */
    std::function<void()> onStoreRecovered;
};

/** Watches the list of backend servers. Must be created with std::make_shared. */
class ReplicaWatcher : public std::enable_shared_from_this<ReplicaWatcher>
{
public:
    /** @param pollInterval time between two reads of the list */
    ReplicaWatcher(const asio::any_io_executor &executor, TopicReader reader,
                   ReplicaWatcherHooks hooks, Duration pollInterval, Log log,
                   ReplicaRegistryOptions registryOptions = {});

    /** Starts the task. */
    void start();
    /**
     * @param rank number of entries that are expected to read the list and relay its deltas before
     *     this one does so; 0 if this entry reads the list
     */
    void relyOnPeers(std::size_t rank);
    /** Applies a delta that another entry has read and relayed. */
    void applyPeerDelta(const ReplicaListDelta &update);

private:
    TopicReader recordAttempts(TopicReader reader);
    void applySnapshot(const KeyedSnapshot &snapshot);
    void applyTail(std::uint64_t from, const KeyedBatch &tail);
    std::optional<ReplicaEntry> decode(const KeyedRecord &record) const;
    ReplicaListDelta applyRecord(const KeyedRecord &record, ReplicaListDelta delta, Instant now);
    void applyDelta(const ReplicaListDelta &update);
    void expire(Instant now);
    void scheduleExpiry();
    void remove(const ReplicaId &id, Instant now);
    bool put(const ReplicaEntry &entry);
    void logChange(const ReplicaUpdate &update);
    void publish();

    ReplicaWatcherHooks m_hooks;
    Log m_log;
    std::shared_ptr<TopicFollower> m_follower;
    ReplicaRegistry m_replicas;
    /** Runs until m_expiresAt. */
    Timer m_expiryTimer;
    /** End of the next grace period of a removed entry; empty if none is kept. */
    std::optional<Instant> m_expiresAt;
    std::vector<ReplicaEntry> m_published;
    bool m_isPublished = false;
};

} // namespace greengageseam
