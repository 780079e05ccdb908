/**
 * Sends a cancellation over a new link and reads the execution status from its acknowledgement.
 */
#include "entry/attemptquery.h"

namespace greengageseam {

namespace {

constexpr auto connectTimeout = std::chrono::milliseconds(700);
constexpr auto responseTimeout = std::chrono::milliseconds(700);
constexpr std::size_t maxActiveQueries = 64;
constexpr std::size_t responseCapacity = 4;

/** Queries execution statuses, with a limit on the number of concurrent queries. */
class AttemptQuery
{
public:
    AttemptQuery(const asio::any_io_executor &executor, PeerIdentity identity, Log log)
        : m_executor(executor), m_identity(std::move(identity)), m_log(std::move(log))
    { }

    Awaitable<ExecutionStatus> queryStatus(RouteGrant grant, AttemptId attempt)
    {
        if (m_activeQueries >= maxActiveQueries) {
            co_return ExecutionStatus::Unknown;
        }
        ++m_activeQueries;
        const ExecutionStatus status = co_await queryOverNewLink(grant, attempt);
        --m_activeQueries;
        co_return status;
    }

private:
    Awaitable<ExecutionStatus> queryOverNewLink(const RouteGrant &grant, const AttemptId &attempt)
    {
        LinkHooks hooks;
        hooks.onMessage = [](const PeerLinkHandle &, const StreamMessage &) { };
        hooks.onClosed = [](const PeerLinkHandle &, const LinkClosed &) { };
        const Outcome<PeerLinkHandle> dialed = co_await dialPeer(
                m_executor, grant.peerAddress, m_identity, hooks, connectTimeout, m_log);
        if (failureOf(dialed) != nullptr) {
            co_return ExecutionStatus::Unknown;
        }
        const auto &link = std::get<PeerLinkHandle>(dialed);
        const StreamId stream = link.nextStream();
        const auto response = makeMailbox<StreamEvent>(m_executor, responseCapacity);
        link.subscribe(stream, response);
        link.post(stream, CancelMessage {attempt, grant.agentTimestamp});
        const std::optional<StreamEvent> event = co_await response->receiveWithin(responseTimeout);
        link.close("the attempt query is complete");
        co_return executionStatusIn(event);
    }

    static ExecutionStatus executionStatusIn(const std::optional<StreamEvent> &event)
    {
        const Message *message = event ? std::get_if<Message>(&*event) : nullptr;
        const auto *ack = message ? std::get_if<CancelAckMessage>(message) : nullptr;
        return ack == nullptr ? ExecutionStatus::Unknown : ack->ran;
    }

    asio::any_io_executor m_executor;
    PeerIdentity m_identity;
    Log m_log;
    std::size_t m_activeQueries = 0;
};

} // namespace

QueryExecutionStatus makeAttemptQuery(const asio::any_io_executor &executor, PeerIdentity identity,
                                      Log log)
{
    const auto query =
            std::make_shared<AttemptQuery>(executor, std::move(identity), std::move(log));
    return [query](RouteGrant grant, AttemptId attempt) {
        return query->queryStatus(std::move(grant), std::move(attempt));
    };
}

} // namespace greengageseam
