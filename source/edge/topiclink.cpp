#include "edge/topiclink.h"

#include "net/clock.h"
#include "protocol/framecodec.h"

namespace greengageseam {

namespace {

/** Time for connecting to an entry, and again for the handshake. */
constexpr auto connectTimeout = std::chrono::milliseconds(400);
/** Time within which an entry must begin its answer, in addition to the time that it may wait. */
constexpr auto answerTimeout = std::chrono::milliseconds(500);
/** Time within which the next part of an answer must arrive. */
constexpr auto partTimeout = std::chrono::milliseconds(1000);
/** Number of events of one answer that may be queued. */
constexpr std::size_t eventCapacity = 256;
constexpr std::size_t maxAnswerBytes = maxFrameBytes;

Failure unavailable(std::string reason)
{
    return {ErrorKind::PlatformUnavailable, std::move(reason)};
}

} // namespace

TopicLink::TopicLink(const asio::any_io_executor &executor, std::string topic,
                     PeerIdentity identity, std::uint16_t peerPort, Log log)
    : m_executor(executor), m_topic(std::move(topic)), m_identity(std::move(identity)),
      m_peerPort(peerPort), m_log(std::move(log))
{ }

Awaitable<TopicAnswer> TopicLink::request(InstanceId entry, TopicPosition from, Duration wait)
{
    const Outcome<PeerLinkHandle> linked = co_await linkTo(entry);
    if (const Failure *failure = failureOf(linked)) {
        co_return *failure;
    }
    const auto &link = std::get<PeerLinkHandle>(linked);
    const StreamId stream = link.nextStream();
    const auto events = makeMailbox<StreamEvent>(m_executor, eventCapacity);
    m_events = events;
    link.subscribe(stream, events);
    link.post(stream, TopicRequestMessage {m_topic, from, wait});
    const TopicAnswer answer = co_await receiveAnswer(events, wait);
    m_hasPartialAnswer = false;
    link.unsubscribe(stream);
    if (const Failure *failure = failureOf(answer)) {
        const bool hasDeclined = failure->kind == ErrorKind::NotReady;
        if (events == m_events && !hasDeclined) {
            close(failure->detail);
        }
        co_return Failure {failure->kind, entry.text() + ": " + failure->detail};
    }
    co_return answer;
}

/**
 * The request has arrived at the entry after it was sent, so an answer that is complete as of a
 * time after its arrival is complete as of the same time after its sending.
 */
Awaitable<TopicAnswer> TopicLink::receiveAnswer(MailboxPtr<StreamEvent> events, Duration wait)
{
    const Instant sentAt = monotonicNow();
    std::string bytes;
    Duration timeout = wait + answerTimeout;
    while (true) {
        const std::optional<StreamEvent> event = co_await events->receiveWithin(timeout);
        const auto *message = event ? std::get_if<Message>(&*event) : nullptr;
        const auto *part = message == nullptr ? nullptr : std::get_if<TopicPartMessage>(message);
        if (part == nullptr) {
            co_return unavailable(event ? "the link was closed" : "no answer in time");
        }
        if (part->availability == TopicAvailability::Unavailable) {
            co_return Failure {ErrorKind::NotReady, "the topic is not available there"};
        }
        if (part->availability == TopicAvailability::Pending) {
            co_return std::nullopt;
        }
        m_hasPartialAnswer = !part->isLast;
        timeout = partTimeout;
        bytes += part->bytes;
        if (bytes.size() > maxAnswerBytes) {
            co_return unavailable("the answer is too large");
        }
        if (part->isLast) {
            const auto records = toOutcome([&] { return decodeRecords(bytes); });
            if (const Failure *failure = failureOf(records)) {
                co_return unavailable(failure->detail);
            }
            co_return TopicChanges {std::get<std::vector<KeyedRecord>>(records), part->isWhole,
                                    part->end, sentAt + part->completeAsOf};
        }
    }
}

Awaitable<Outcome<PeerLinkHandle>> TopicLink::linkTo(InstanceId entry)
{
    if (m_link && m_linkedEntry == entry) {
        co_return m_link;
    }
    close("another entry is preferred");
    const std::uint64_t linkId = m_linkId;
    LinkHooks hooks;
    hooks.onMessage = [](const PeerLinkHandle &, const StreamMessage &) { };
    hooks.onClosed = [weak = weak_from_this(), linkId](const PeerLinkHandle &, const LinkClosed &) {
        const auto self = weak.lock();
        if (self && self->m_linkId == linkId) {
            self->close("the link was closed");
        }
    };
    const Address address(entry.text() + ":" + std::to_string(m_peerPort));
    const Outcome<PeerLinkHandle> dialed =
            co_await dialPeer(m_executor, address, m_identity, hooks, connectTimeout, m_log);
    if (const Failure *failure = failureOf(dialed)) {
        co_return unavailable(failure->detail);
    }
    const auto &link = std::get<PeerLinkHandle>(dialed);
    if (m_linkId != linkId) {
        link.close("another entry is preferred");
        co_return unavailable("the link was given up for another one");
    }
    m_link = link;
    m_linkedEntry = entry;
    co_return link;
}

void TopicLink::close(const std::string &reason)
{
    ++m_linkId;
    if (m_link) {
        m_link.close(reason);
        m_link = {};
    }
    if (m_events) {
        m_events->post(StreamEvent(LinkClosed {reason}));
        m_events.reset();
    }
}

} // namespace greengageseam
