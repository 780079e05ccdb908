/**
 * Task that watches the operator's topic in the platform's store. It applies configurations and
 * target versions of weights, and dates each target version, from which its time limit counts.
 */
#pragma once

#include "core/fleet/fleet.h"
#include "edge/topicfollower.h"
#include "net/log.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

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
    /** @returns the zone whose evacuation a key requests; empty if the key is another one */
    std::function<std::optional<ZoneName>(std::string_view key)> evacuatedZone;
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
    /** Called when the set of zones that the operator has evacuated has changed; may be empty. */
    std::function<void(const std::set<ZoneName> &zones)> onEvacuationsChanged;
    /** Called when the topic was read up to a later position. */
    std::function<void(TopicPosition position)> onPositionAdvanced;
    /**
     * Called when what was applied is known to be complete as of a later time; may be empty.
     * Whatever was read is applied first.
     */
    std::function<void(Instant completeAsOf)> onConfirmed;
    /**
     * Called like onConfirmed, but only if the newest configuration could be read, and the store
     * had time to get back what it may have lost, so that nothing newer was ever accepted; may be
     * empty.
     */
    std::function<void(Instant completeAsOf)> onCurrent;
};

/** Watches the topic of the operator. */
class OperatorWatcher : public std::enable_shared_from_this<OperatorWatcher>
{
public:
    /**
     * @param rewriteTime time in which the operator writes again what the store has lost when it
     *     begins another era
     */
    OperatorWatcher(const asio::any_io_executor &executor, TopicReader reader,
                    FollowOptions options, Duration rewriteTime, OperatorHooks hooks, Log log);

    /** Starts the task. */
    void start();
    /** Reads further if another process has read up to a later position than this watcher has. */
    void catchUpTo(TopicPosition position);
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
    bool mayHaveWaited() const;
    void applyRecords(const std::vector<KeyedRecord> &records, bool isInitial,
                      Instant completeAsOf);
    void confirm(Instant completeAsOf);
    void applyRecord(const KeyedRecord &record, bool isInitial);
    void applyEvacuationRecords(const std::vector<KeyedRecord> &records);
    void forgetLostEvacuations();
    void publishEvacuations();
    void applyTargetVersion(const TargetVersion &targetVersion, VersionSource source,
                            bool isInitial, Duration age);
    void logTargetVersion(const TargetVersion &targetVersion, VersionSource source, Duration age,
                          DateBasis basis) const;
    void advanceTo(TopicPosition position);

    asio::any_io_executor m_executor;
    Duration m_rewriteTime;
    OperatorHooks m_hooks;
    Log m_log;
    std::shared_ptr<TopicFollower> m_follower;
    ListeningHistory m_listening;
    /** Version of the newest configuration. */
    std::uint64_t m_configVersion = 0;
    /** Whether the store has a configuration that cannot be read. */
    bool m_isConfigUnreadable = false;
    /** Position up to which the topic was read. */
    TopicPosition m_position;
    /** Until then the store may lack records that it has accepted. */
    Instant m_mayLackUntil;
    /** Whether the topic was read once. */
    bool m_hasSnapshot = false;
    /** Every change that was accepted before this time was applied. Never decreases. */
    Instant m_completeAsOf;
    /** The newest target version of a model, and the earliest time at which it can be announced. */
    struct DatedVersion
    {
        std::uint64_t version = 0;
        Instant earliest;
    };

    std::map<ModelName, DatedVersion> m_targetVersions;
    /** Zones to whose backend servers the operator wants nothing to be sent. */
    std::set<ZoneName> m_evacuatedZones;
    /** Those of them that the store knows. */
    std::set<ZoneName> m_storedEvacuations;
    /** Those that were in force when the store lost records; they count until m_mayLackUntil. */
    std::set<ZoneName> m_lostEvacuations;
};

} // namespace greengageseam
