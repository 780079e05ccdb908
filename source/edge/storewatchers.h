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
    std::function<Result<TargetVersion>(std::string_view bytes)> decodeNamed;
    /** @returns whether a record holds the configuration */
    std::function<bool(std::string_view key)> isConfig;
    /** @returns whether a record names weights */
    std::function<bool(std::string_view key)> isNamed;
    /** A newer configuration is in force. */
    std::function<void(RouteTablePtr table)> config;
    /** Weights were named. @p isOld whether that was before this process began to follow */
    std::function<void(const TargetVersion &named, bool isOld)> named;
    /** The topic was read up to a higher offset. */
    std::function<void(std::uint64_t offset)> readUpTo;
};

/** Follows what the operator writes. */
class OperatorFeed : public std::enable_shared_from_this<OperatorFeed>
{
public:
    OperatorFeed(const asio::any_io_executor &executor, TopicReader reader, FollowOptions options,
                 OperatorHooks hooks, Log log);

    /** Starts the task. */
    void start();
    /** Somebody has read up to an offset; reads on if that is beyond what was read here. */
    void hearOf(std::uint64_t offset);
    /** The store was away; a read that waits may wait on a connection that has fallen silent. */
    void readAnew();
    /** Somebody has read that weights were named; believed once the topic was read here. */
    void hearNamed(const TargetVersion &named);

private:
    void take(const KeyedRecord &record, bool isOld);
    void takeNamed(const TargetVersion &named, bool isOld);
    void noteOffset(std::uint64_t offset);

    OperatorHooks m_hooks;
    Log m_log;
    std::shared_ptr<TopicFollower> m_follower;
    std::uint64_t m_version = 0;
    /** Offset up to which the topic was read. */
    std::uint64_t m_offset = 0;
    bool m_hasRead = false;
    std::map<ModelName, std::uint64_t> m_named;
};

/** What the feed of backend servers tells; the hooks must not wait. */
struct ReplicaHooksOfFeed
{
    /** Decodes an entry. */
    std::function<Result<ReplicaEntry>(const ReplicaId &id, std::string_view bytes)> decode;
    /** The list has changed. */
    std::function<void(std::vector<ReplicaEntry> entries)> changed;
    /** The list was read on, and brought this. */
    std::function<void(const ReplicaListDelta &news)> read;
    /** The store can be read again after it could not be. */
    std::function<void()> regained;
};

/** Follows the list of backend servers. */
class ReplicaFeed : public std::enable_shared_from_this<ReplicaFeed>
{
public:
    /** @param pause between two reads of the list */
    ReplicaFeed(const asio::any_io_executor &executor, TopicReader reader, ReplicaHooksOfFeed hooks,
                Duration pause, Log log);

    /** Starts the task. */
    void start();
    /** Whether another entry is expected to read the list and to pass on what is new. */
    void relyOnOthers(bool relies);
    /** Another entry has read the list. */
    void hear(const ReplicaListDelta &news);

private:
    void takeWhole(const KeyedSnapshot &snapshot);
    void takeAdded(std::uint64_t from, const KeyedBatch &tail);
    std::optional<ReplicaEntry> take(const KeyedRecord &record, Instant now);
    void takeOver(const ReplicaListDelta &news);
    void expire(Instant now);
    void remove(const ReplicaId &id, Instant now);
    bool put(const ReplicaEntry &entry);
    void tell(const ReplicaUpdate &news);
    void publish();

    ReplicaHooksOfFeed m_hooks;
    Log m_log;
    std::shared_ptr<TopicFollower> m_follower;
    ReplicaRegistry m_book;
    std::vector<ReplicaEntry> m_published;
    bool m_isPublished = false;
};

} // namespace greengageseam
