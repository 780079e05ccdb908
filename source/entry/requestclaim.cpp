#include "entry/requestclaim.h"

#include "core/common/hashing.h"
#include "net/clock.h"

namespace greengageseam {

namespace {

/** Largest age of a claim when an attempt starts; far below the retention window of claims. */
constexpr auto maxClaimAge = std::chrono::seconds(30);

} // namespace

RequestClaim::RequestClaim(const asio::any_io_executor &executor, MailboxPtr<ClaimCommand> claims)
    : m_executor(executor), m_claims(std::move(claims))
{ }

Awaitable<ClaimReply> RequestClaim::acquire(const AccountName &account,
                                            const CallerRequest &request, Instant deadline)
{
    const std::string &key = request.idempotencyKey;
    const auto keyCheck = toOutcome([&]() -> Result<std::monostate> {
        BOOST_LEAF_CHECK(checkIdempotencyKey(key, IdempotencyKeyOptions(), wallNow()));
        return std::monostate();
    });
    if (const Failure *failure = failureOf(keyCheck)) {
        co_return ClaimRejection {*failure, descriptorFor(failure->kind).ran};
    }
    const auto replies = makeMailbox<ClaimReply>(m_executor, 1);
    const std::uint64_t fingerprint =
            checksumOf(request.routeQuery.method + "\n" + request.path + "\n" + request.body, 0);
    const ClaimKey claimKey = makeClaimKey(account, request.routeQuery.service, key);
    if (!m_claims->post(ClaimRequest {claimKey, fingerprint, deadline, replies})) {
        const Failure failure {ErrorKind::Overloaded, "the entry's claim queue is full"};
        co_return ClaimRejection {failure, ExecutionStatus::NotExecuted};
    }
    std::optional<ClaimReply> reply = co_await replies->receive();
    if (const auto *granted = std::get_if<ClaimGrant>(&*reply)) {
        m_grant = *granted;
    }
    co_return std::move(*reply);
}

bool RequestClaim::isExpired() const
{
    return m_grant && monotonicNow() - m_grant->claimedAt > maxClaimAge;
}

void RequestClaim::addTo(OpenMessage &open) const
{
    if (m_grant) {
        open.claimOffset = m_grant->position.offset;
        open.claimKey = textOf(m_grant->key);
    }
}

void RequestClaim::finish(ExecutionStatus ran, std::optional<StoredResponse> response)
{
    if (!m_grant) {
        return;
    }
    if (ran == ExecutionStatus::NotExecuted) {
        m_claims->post(ClaimReleased {m_grant->key, m_grant->position});
        return;
    }
    m_claims->post(ClaimFinished {m_grant->key, ran, std::move(response)});
}

} // namespace greengageseam
