#include "edge/replicasearch.h"

namespace greengageseam {

OfferedLease::OfferedLease(ReplicaLease lease, double promptTokens,
                           MailboxPtr<DispatchCommand> dispatcher)
    : m_lease(std::move(lease)), m_promptTokens(promptTokens), m_dispatcher(std::move(dispatcher))
{ }

OfferedLease::~OfferedLease()
{
    if (!m_lease) {
        return;
    }
    LeaseReleased released;
    released.lease = m_lease->id;
    released.replica = m_lease->replica.id;
    released.address = m_lease->replica.address;
    released.promptTokens = m_promptTokens;
    if (m_lease->connection) {
        // How long its server keeps it open is not known here.
        m_lease->connection->abort();
    }
    m_dispatcher->post(std::move(released));
}

ReplicaLease OfferedLease::take()
{
    ReplicaLease lease = std::move(*m_lease);
    m_lease.reset();
    return lease;
}

Awaitable<SearchEnded> awaitSearch(std::uint64_t search, double promptTokens, SearchReply reply,
                                   MailboxPtr<DispatchCommand> dispatcher)
{
    auto answer = co_await reply->receive();
    SearchEnded ended;
    ended.search = search;
    if (!answer) {
        co_return ended;
    }
    if (auto *lease = std::get_if<ReplicaLease>(&*answer)) {
        ended.lease = std::make_shared<OfferedLease>(std::move(*lease), promptTokens, dispatcher);
    } else {
        ended.unavailable = std::get<ReplicaUnavailable>(*answer);
    }
    co_return ended;
}

} // namespace greengageseam
