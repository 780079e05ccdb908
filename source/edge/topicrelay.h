/**
 * The task of an entry that passes a topic of the platform's store on to other processes of its
 * zone, so that they need not read the store themselves.
 */
#pragma once

#include "core/fleet/compactedtopic.h"
#include "net/mailbox.h"
#include "net/peerlink.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace greengageseam {

/** A peer requests what has changed in the topic. */
struct TopicRequested
{
    TopicRequestMessage request;
    /** Link and stream on which to answer. */
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** This entry has read the topic successfully, even if nothing has changed. */
struct TopicUpdated
{
    CompactedTopicPtr topic;
    /** Whether it was read from the store itself, not from another entry. */
    bool isFromStore = false;
};

/** This entry has read another topic of the store successfully. */
struct StoreReached
{ };

/** This entry could not read the topic from the store, whatever it hears of other topics. */
struct TopicReadFailed
{ };

/** Periodic check of the requests that wait. */
struct RelayTick
{ };

/** Messages to the task. */
using TopicRelayCommand =
        std::variant<TopicRequested, TopicUpdated, StoreReached, TopicReadFailed, RelayTick>;

/**
 * Answers the requests of peers: with the changes as soon as there are any, that there are none
 * when the peer's time is over, or that the topic is not available here. It is not available if
 * this entry has lost touch with the store, so that it does not hold back peers that have not.
 */
class TopicRelay : public std::enable_shared_from_this<TopicRelay>
{
public:
    /**
     * @param topic name of the topic in the log
     * @param isProgressing returns whether a read is in progress that will bring the topic
     */
    TopicRelay(const asio::any_io_executor &executor, std::string topic,
               std::function<bool()> isProgressing);

    /** @returns the mailbox that takes commands */
    const MailboxPtr<TopicRelayCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** A request that waits for changes. */
    struct PendingRequest
    {
        TopicRequested command;
        Instant deadline;
    };

    Awaitable<void> run();
    void apply(const TopicRequested &command);
    void apply(const TopicUpdated &command);
    void apply(const StoreReached &command);
    void apply(const TopicReadFailed &command);
    void apply(const RelayTick &command);
    /** @returns whether this entry knows the topic and is in touch with the store */
    bool isAvailable() const;
    bool hasChangesFor(const TopicRequested &command) const;
    void answer(const TopicRequested &command) const;
    void answerDueRequests();

    asio::any_io_executor m_executor;
    std::string m_name;
    std::function<bool()> m_isProgressing;
    MailboxPtr<TopicRelayCommand> m_mailbox;
    /** Null until the topic was read. */
    CompactedTopicPtr m_topic;
    /** Whether the latest read of the topic was from the store, and successful. */
    bool m_isFromStore = false;
    /** When this entry was last in touch with the store, itself or through others. */
    Instant m_confirmedAt;
    std::vector<PendingRequest> m_pending;
};

} // namespace greengageseam
