/**
 * Reads a topic of the platform's store through the entries of the zone, and from the store itself
 * only if this process is the one that reads it for the others, or if the others do not have it.
 */
#pragma once

#include "core/fleet/entryregistry.h"
#include "core/fleet/topicsource.h"
#include "core/fleet/topicview.h"
#include "edge/topicfollower.h"
#include "edge/topiclink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengageseam {

/** Name of the operator's topic in requests between processes. */
constexpr std::string_view operatorTopicName = "operator";

/** Options of RelayedReader. */
struct RelayedReaderOptions
{
    /** Name of the topic in requests to entries. */
    std::string topic;
    /** Identity that this process presents to entries; the instance is its IP address. */
    PeerIdentity identity;
    /** TCP port on which entries accept links. */
    std::uint16_t peerPort = 0;
    /**
     * Whether the store is asked only for newer records once the topic is known, even if a snapshot
     * is due. Suits a process that reads at long intervals.
     */
    bool continuesSnapshots = false;
    /** Decides which records stay in force although the store has lost them; may be empty. */
    KeepsRecord keeps;
    /** Maximum time for which the first read waits until other entries are known. */
    Duration startTimeout = std::chrono::seconds(5);
};

/** Hook that receives what is known of a topic after each read, even if nothing has changed. */
using TopicViewObserver = std::function<void(const TopicView &view)>;

/**
 * Reads of one topic, one at a time. It remembers what was read, so that only changes are requested
 * from entries. Must be created with std::make_shared.
 */
class RelayedReader : public std::enable_shared_from_this<RelayedReader>
{
public:
    /**
     * @param store reads the topic from the store
     * @param onRead called after each successful read; may be empty, must not block
     */
    RelayedReader(const asio::any_io_executor &executor, RelayedReaderOptions options,
                  TopicReader store, TopicViewObserver onRead, Log log);

    /** @returns the hooks through which a TopicFollower reads */
    TopicReader reader();
    /** Replaces the running entries, from all zones. */
    void setEntries(const std::vector<EntryLocation> &entries);
    /**
     * Limits the time for which the first read waits until other entries are known. Call it when
     * entries are being looked for.
     */
    void limitWaitForEntries();
    /** @returns whether processes that read from this one should wait for the read in progress */
    ReadProgress progress() const;
    /** @returns whether the read in progress is from the store itself */
    bool isReadingStore() const;

private:
    /** A read in progress. */
    struct Request
    {
        std::uint64_t readId = 0;
        /** Position of the first record to read. */
        TopicPosition from;
        Duration wait {};
        bool isSnapshot = false;
    };

    Awaitable<Outcome<KeyedSnapshot>> readSnapshot();
    Awaitable<Outcome<KeyedBatch>> readTail(TopicPosition from, Duration wait);
    /** The result of a read; empty if the source will know the topic soon. */
    using ReadResult = Outcome<std::optional<TopicView>>;

    Awaitable<std::optional<Failure>> update(Request request);
    Awaitable<ReadResult> readFrom(TopicSource source, Request request);
    Awaitable<ReadResult> readFromStore(Request request);
    Awaitable<ReadResult> readFromEntry(InstanceId entry, Request request);
    Awaitable<void> waitForEntries(std::uint64_t readId);
    std::uint64_t startRead();
    void cancelRead();
    void recordResult(const TopicView &view);
    TopicSource chooseSource();
    TopicSource choiceAfter(std::uint32_t failures) const;
    bool mayInterrupt() const;
    void recordFailure(const TopicSource &source, const Failure &failure);
    bool isReceiving() const;
    bool isReadingFromEntry() const;

    asio::any_io_executor m_executor;
    RelayedReaderOptions m_options;
    TopicReader m_store;
    TopicViewObserver m_onRead;
    Log m_log;
    /** What was read so far; empty until the first read. */
    std::optional<TopicView> m_view;
    /** The entries of the zone in the order of zoneReaderOrder(). */
    std::vector<InstanceId> m_entries;
    /** Number of sources that have failed or declined since a read last succeeded. */
    std::uint32_t m_failures = 0;
    /** Entries that have not answered at all, with the time until which they are passed over. */
    std::map<InstanceId, Instant> m_silentUntil;
    /** Source of the latest read; empty before the first read. */
    std::optional<TopicSource> m_source;
    /** Why the next read may use another source. */
    std::string m_reason = "start";
    /** Id of the latest read; earlier ones were given up. */
    std::uint64_t m_readId = 0;
    bool m_isReading = false;
    /** When the latest read of the store began. */
    Instant m_storeReadAt;
    /** Whether the store has not failed this process since it last answered it. */
    bool m_isStoreUsable = true;
    /** Whether the read in progress was interrupted because another source is now preferred. */
    bool m_isRedirected = false;
    std::shared_ptr<TopicLink> m_link;
    Instant m_startDeadline;
    Timer m_startTimer;
};

} // namespace greengageseam
