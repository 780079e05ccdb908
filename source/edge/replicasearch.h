/**
 * The search for a backend server on behalf of one request, and what it found.
 */
#pragma once

#include "edge/dispatcher.h"

#include <memory>
#include <optional>

namespace greengageseam {

/** A lease that was found for a request. Releases it unless an attempt takes it. */
class OfferedLease
{
public:
    /** @param promptTokens those of the request that the lease was found for */
    OfferedLease(ReplicaLease lease, double promptTokens, MailboxPtr<DispatchCommand> dispatcher);
    ~OfferedLease();
    OfferedLease(const OfferedLease &) = delete;
    OfferedLease &operator=(const OfferedLease &) = delete;

    /** Hands the lease to an attempt, which releases it. */
    ReplicaLease take();

private:
    /** Empty once it was taken. */
    std::optional<ReplicaLease> m_lease;
    double m_promptTokens;
    MailboxPtr<DispatchCommand> m_dispatcher;
};

/** A search has ended. */
struct SearchEnded
{
    /** The number of the search. */
    std::uint64_t search = 0;
    /** Null if no lease was found. */
    std::shared_ptr<OfferedLease> lease;
    /** Why none was found; empty also if the search was given up. */
    std::optional<ReplicaUnavailable> unavailable;
};

/** Where the dispatcher answers a search. Closing it gives the search up. */
using SearchReply = MailboxPtr<std::variant<ReplicaLease, ReplicaUnavailable>>;

/**
 * Waits for the end of a search that was sent to the dispatcher.
 *
 * @param search the number of the search
 * @param promptTokens those of the request
 */
Awaitable<SearchEnded> awaitSearch(std::uint64_t search, double promptTokens, SearchReply reply,
                                   MailboxPtr<DispatchCommand> dispatcher);

} // namespace greengageseam
