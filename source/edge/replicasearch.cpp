#include "edge/replicasearch.h"

namespace greengageseam {

OfferedLease::OfferedLease(ReplicaLease lease, MailboxPtr<DispatchCommand> dispatcher)
    : m_lease(std::move(lease)), m_dispatcher(std::move(dispatcher))
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
    released.connection = m_lease->connection;
    m_dispatcher->post(std::move(released));
}

ReplicaLease OfferedLease::take()
{
    ReplicaLease lease = std::move(*m_lease);
    m_lease.reset();
    return lease;
}

Awaitable<SearchEnded> awaitSearch(std::uint64_t search, SearchReply reply,
                                   MailboxPtr<DispatchCommand> dispatcher)
{
    auto answer = co_await reply->receive();
    SearchEnded ended;
    ended.search = search;
    if (!answer) {
        co_return ended;
    }
    if (auto *lease = std::get_if<ReplicaLease>(&*answer)) {
        ended.lease = std::make_shared<OfferedLease>(std::move(*lease), dispatcher);
    } else {
        ended.unavailable = std::get<ReplicaUnavailable>(*answer);
    }
    co_return ended;
}

} // namespace greengageseam
