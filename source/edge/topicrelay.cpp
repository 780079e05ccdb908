#include "edge/topicrelay.h"

#include "net/clock.h"
#include "net/ticker.h"
#include "protocol/framecodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;
constexpr std::size_t maxPendingRequests = 256;
/** Maximum size of an encoded answer. */
constexpr std::size_t maxAnswerBytes = maxFrameBytes;
/** Size of a part of an answer. */
constexpr std::size_t partBytes = 64 * 1024;
/**
 * Time without a successful read after which this entry counts as cut off from the store. It must
 * be longer than the interval at which the list of backend servers is read.
 */
constexpr auto confirmationLifetime = std::chrono::milliseconds(1500);
constexpr auto tickPeriod = std::chrono::milliseconds(100);
constexpr auto maxWait = std::chrono::seconds(5);

} // namespace

TopicRelay::TopicRelay(const asio::any_io_executor &executor, std::string topic,
                       std::function<bool()> isProgressing)
    : m_executor(executor), m_name(std::move(topic)), m_isProgressing(std::move(isProgressing)),
      m_mailbox(makeMailbox<TopicRelayCommand>(executor, mailboxCapacity))
{ }

void TopicRelay::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(RelayTick {});
        return true;
    });
}

Awaitable<void> TopicRelay::run()
{
    while (std::optional<TopicRelayCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void TopicRelay::apply(const TopicRequested &command)
{
    // A peer has one read in progress. It has given up an earlier one that still waits here.
    std::erase_if(m_pending, [&](const PendingRequest &pending) {
        return pending.command.link.peer().instance == command.link.peer().instance;
    });
    const Duration wait = std::clamp<Duration>(command.request.wait, Duration::zero(), maxWait);
    const bool isLostOrRefused = m_topic != nullptr && !isAvailable() && !m_isProgressing();
    if (isLostOrRefused || command.request.topic != m_name || hasChangesFor(command)
        || wait == Duration::zero() || m_pending.size() >= maxPendingRequests) {
        answer(command);
        return;
    }
    m_pending.push_back({command, monotonicNow() + wait});
}

void TopicRelay::apply(const TopicUpdated &command)
{
    m_topic = command.topic;
    m_isFromStore = command.isFromStore;
    m_confirmedAt = monotonicNow();
    answerDueRequests();
}

void TopicRelay::apply(const StoreReached &)
{
    if (m_isFromStore) {
        m_confirmedAt = monotonicNow();
    }
}

void TopicRelay::apply(const TopicReadFailed &)
{
    m_isFromStore = false;
}

void TopicRelay::apply(const RelayTick &)
{
    answerDueRequests();
}

bool TopicRelay::isAvailable() const
{
    return m_topic != nullptr && monotonicNow() - m_confirmedAt < confirmationLifetime;
}

bool TopicRelay::hasChangesFor(const TopicRequested &command) const
{
    return m_topic != nullptr && m_topic->endOffset() > command.request.from;
}

/** Until the topic was read once, requests wait for it rather than turn to the store as well. */
void TopicRelay::answerDueRequests()
{
    const Instant now = monotonicNow();
    const bool isLost = m_topic != nullptr && !isAvailable() && !m_isProgressing();
    std::erase_if(m_pending, [&](const PendingRequest &pending) {
        const bool isDue = isLost || now >= pending.deadline || hasChangesFor(pending.command);
        if (isDue) {
            answer(pending.command);
        }
        return isDue;
    });
}

void TopicRelay::answer(const TopicRequested &command) const
{
    const TopicPartMessage unavailable {false, false, 0, {}, true};
    const bool isKnownTopic = command.request.topic == m_name;
    if (isKnownTopic && !isAvailable() && m_isProgressing()) {
        // The peer should ask again: a read of its own would take longer.
        command.link.post(
                command.stream,
                TopicPartMessage {true, false, command.request.from, encodeRecords({}), true});
        return;
    }
    if (!isKnownTopic || !isAvailable()) {
        command.link.post(command.stream, unavailable);
        return;
    }
    const TopicChanges changes = m_topic->changesSince(command.request.from);
    const std::string bytes = encodeRecords(changes.records);
    if (bytes.size() > maxAnswerBytes) {
        command.link.post(command.stream, unavailable);
        return;
    }
    for (std::size_t sent = 0; sent < bytes.size(); sent += partBytes) {
        const bool isLast = sent + partBytes >= bytes.size();
        command.link.post(command.stream,
                          TopicPartMessage {true, changes.isWhole, changes.endOffset,
                                            bytes.substr(sent, partBytes), isLast});
    }
}

} // namespace greengageseam
