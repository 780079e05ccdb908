/**
 * The task of an entry that passes a topic of the platform's store on to other processes of its
 * zone, so that they need not read the store themselves.
 */
#pragma once

#include "core/fleet/topicview.h"
#include "edge/topicfollower.h"
#include "net/mailbox.h"
#include "net/peerlink.h"

#include <functional>
#include <memory>
#include <optional>
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
    TopicView view;
};

/** Periodic check of the requests that wait. */
struct RelayTick
{ };

/** Messages to the task. */
using TopicRelayCommand = std::variant<TopicRequested, TopicUpdated, RelayTick>;

/** Options of TopicRelay. */
struct TopicRelayOptions
{
    /** Name of the topic in the log. */
    std::string topic;
    /**
     * Age from which the view of this entry is not passed on. It must be longer than the time
     * between two reads of the topic.
     */
    Duration maxViewAge = std::chrono::milliseconds(1000);
    /** Time after which peers are no longer asked to wait for a read that is being received. */
    Duration maxProgressTime = std::chrono::milliseconds(2700);

    auto operator<=>(const TopicRelayOptions &) const = default;
};

/**
 * Answers the requests of peers with the view of this entry: as soon as it changes or is confirmed.
 * It declines if its view is too old, so that it does not hold back peers that can read a newer
 * one.
 */
class TopicRelay : public std::enable_shared_from_this<TopicRelay>
{
public:
    /** @param progress returns what the read in progress is likely to bring */
    TopicRelay(const asio::any_io_executor &executor, TopicRelayOptions options,
               std::function<ReadProgress()> progress);

    /** @returns the mailbox that takes commands */
    const MailboxPtr<TopicRelayCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** A request that waits for changes. */
    struct PendingRequest
    {
        TopicRequested command;
        Instant arrivedAt;
        Instant deadline;
    };

    Awaitable<void> run();
    void apply(const TopicRequested &command);
    void apply(const TopicUpdated &command);
    void apply(const RelayTick &command);
    TopicAvailability availability(Instant now) const;
    TopicAvailability availabilityFor(const TopicRequested &command, Instant now) const;
    void recordProgress(Instant now);
    bool hasChangesFor(const TopicRequested &command) const;
    void answer(const PendingRequest &pending) const;
    void answerDueRequests();

    asio::any_io_executor m_executor;
    TopicRelayOptions m_options;
    std::function<ReadProgress()> m_progress;
    MailboxPtr<TopicRelayCommand> m_mailbox;
    /** Empty until the topic was read. */
    std::optional<TopicView> m_view;
    /** Since when the read in progress is being received; empty if it is not. */
    std::optional<Instant> m_receivingSince;
    std::vector<PendingRequest> m_pending;
};

} // namespace greengageseam
