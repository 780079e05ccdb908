/**
 * Link over which a process requests the changes of a topic from an entry, which may be another one
 * for each request.
 */
#pragma once

#include "core/fleet/compactedtopic.h"
#include "net/peerlink.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace greengageseam {

/** Role that a process presents on the links over which it requests topics. */
constexpr std::string_view topicLinkRole = "topic";

/** The answer to a request for a topic; empty if the entry asked will know more soon. */
using TopicAnswer = Outcome<std::optional<TopicChanges>>;

/**
 * Makes one request at a time, and keeps the link to the entry that was asked last. Must be created
 * with std::make_shared.
 */
class TopicLink : public std::enable_shared_from_this<TopicLink>
{
public:
    /**
     * @param topic name of the topic in requests
     * @param identity what this process presents to entries
     * @param peerPort TCP port on which entries accept links
     */
    TopicLink(const asio::any_io_executor &executor, std::string topic, PeerIdentity identity,
              std::uint16_t peerPort, Log log);

    /**
     * Requests the changes from a position on.
     * @param entry IP address of the entry
     * @param wait how long the entry may hold the request while it has nothing new
     * @returns the changes, with a time of this process as of which they are complete; empty if the
     *     entry is still reading the topic; NotReady if it declines, since it lacks the topic or
     * its view is too old; PlatformUnavailable if it cannot be reached or stops answering
     */
    Awaitable<TopicAnswer> request(InstanceId entry, TopicPosition from, Duration wait);
    /**
     * Closes the link, so that an answer in transit does not go on using the network. A request in
     * progress fails.
     */
    void close(const std::string &reason);
    /** @returns whether a part of the answer in progress was received, but not the last one */
    bool hasPartialAnswer() const { return m_hasPartialAnswer; }

private:
    Awaitable<Outcome<PeerLinkHandle>> linkTo(InstanceId entry);
    Awaitable<TopicAnswer> receiveAnswer(MailboxPtr<StreamEvent> events, Duration wait);

    asio::any_io_executor m_executor;
    std::string m_topic;
    PeerIdentity m_identity;
    std::uint16_t m_peerPort;
    Log m_log;
    PeerLinkHandle m_link;
    /** The entry that m_link leads to. */
    InstanceId m_linkedEntry;
    /** Number of the latest link; earlier ones are closed. */
    std::uint64_t m_linkId = 0;
    /** Receives the answer to the request in progress. */
    MailboxPtr<StreamEvent> m_events;
    bool m_hasPartialAnswer = false;
};

} // namespace greengageseam
