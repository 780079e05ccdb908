/**
 * Task that watches the list of backend servers in the platform's store. It keeps the list, applies
 * the deltas that other entries relay, and publishes each change.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "edge/topicfollower.h"
#include "net/log.h"
#include "net/timer.h"

#include <functional>
#include <memory>

namespace greengageseam {

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
    void applyTail(TopicPosition from, const KeyedBatch &tail);
    bool isOutdated(const KeyedRecord &record) const;
    std::optional<ReplicaEntry> decode(const KeyedRecord &record) const;
    ReplicaListDelta applyRecord(const KeyedRecord &record, ReplicaListDelta delta, Instant now);
    void applyDelta(const ReplicaListDelta &update);
    void expire(Instant now);
    void scheduleExpiry();
    void remove(const ReplicaId &id, Instant now);
    bool put(const ReplicaEntry &entry);
    void logChange(const ReplicaUpdate &update);
    void publish();

    asio::any_io_executor m_executor;
    ReplicaWatcherHooks m_hooks;
    Log m_log;
    /** Detects pauses, during which deltas of peers may have waited. */
    ListeningHistory m_listening;
    std::shared_ptr<TopicFollower> m_follower;
    ReplicaRegistry m_replicas;
    /** Era of the store in which the list was read last; empty before the first read. */
    std::optional<std::uint64_t> m_era;
    /** Runs until m_expiresAt. */
    Timer m_expiryTimer;
    /** End of the next grace period of a removed entry; empty if none is kept. */
    std::optional<Instant> m_expiresAt;
    std::vector<ReplicaEntry> m_published;
    bool m_isPublished = false;
};

} // namespace greengageseam
