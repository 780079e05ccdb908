/**
 * The claim of one request, from its acquisition before the first attempt to its outcome.
 * @see ClaimManager
 */
#pragma once

#include "entry/callerrequest.h"
#include "entry/claimmanager.h"
#include "protocol/messages.h"

#include <optional>

namespace greengageseam {

/** Claims one non-idempotent request, and tells the claim's task how the request ended. */
class RequestClaim
{
public:
    /** @param claims the mailbox of the ClaimManager */
    RequestClaim(const asio::any_io_executor &executor, MailboxPtr<ClaimCommand> claims);

    /**
     * Claims a request that has an idempotency key.
     * @param account account of the caller; like @p request, it must outlive the call
     * @param deadline deadline of the request
     * @returns whether the request may run; if so, this object holds the claim
     */
    Awaitable<ClaimReply> acquire(const AccountName &account, const CallerRequest &request,
                                  Instant deadline);
    /** @returns whether the request is claimed */
    bool isHeld() const { return m_grant.has_value(); }
    /** @returns whether a held claim is too old to start an attempt */
    bool isExpired() const;
    /** Adds a held claim to the message that starts an attempt. */
    void addTo(OpenMessage &open) const;
    /**
     * Records the outcome in the claim log, for a caller that repeats the request. A request that
     * was not executed releases its claim instead. Does nothing if no claim is held.
     */
    void finish(ExecutionStatus ran, std::optional<StoredResponse> response);

private:
    asio::any_io_executor m_executor;
    MailboxPtr<ClaimCommand> m_claims;
    /** Empty if the request was not claimed. */
    std::optional<ClaimGrant> m_grant;
};

} // namespace greengageseam
