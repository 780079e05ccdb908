#include "sidecar/stagedweights.h"

#include "core/common/hashing.h"
#include "net/clock.h"

namespace greengageseam {

namespace {

constexpr int maxReadsOfPiece = 3;

Failure stepAbandoned()
{
    return {ErrorKind::ChangeConflict, "the step was abandoned"};
}

} // namespace

StagedWeights::StagedWeights(const asio::any_io_executor &executor, ReplicaHooks replica,
                             MailboxPtr<WeightCommand> weights, Log log)
    : m_executor(executor), m_replica(std::move(replica)), m_weights(std::move(weights)),
      m_log(std::move(log))
{ }

Awaitable<VoidOutcome> StagedWeights::stage(CompleteVersion version, IsStepCurrent isCurrent) const
{
    std::uint32_t number = 0;
    for (const Chunk &chunk : version.manifest.chunks()) {
        const VoidOutcome staged = co_await stageChunk(version.model, number, chunk, isCurrent);
        if (failureOf(staged) != nullptr) {
            co_return staged;
        }
        ++number;
    }
    co_return std::monostate();
}

Awaitable<Outcome<Instant>> StagedWeights::check(CompleteVersion version,
                                                 IsStepCurrent isCurrent) const
{
    const Instant begin = monotonicNow();
    std::uint32_t number = 0;
    for (const Chunk &chunk : version.manifest.chunks()) {
        const VoidOutcome checked = co_await checkChunk(version, number, chunk, isCurrent);
        if (const Failure *failure = failureOf(checked)) {
            co_return *failure;
        }
        ++number;
    }
    co_return begin;
}

Awaitable<VoidOutcome> StagedWeights::stageChunk(ModelName model, std::uint32_t number, Chunk chunk,
                                                 IsStepCurrent isCurrent) const
{
    if (!isCurrent()) {
        co_return stepAbandoned();
    }
    const auto reply = makeMailbox<Outcome<ChunkBytes>>(m_executor, 1);
    WeightCommand read = ChunkQuery {chunk.digest, reply};
    co_await m_weights->send(std::move(read));
    const std::optional<Outcome<ChunkBytes>> bytes = co_await reply->receive();
    if (!bytes || failureOf(*bytes) != nullptr) {
        co_return Failure {ErrorKind::NotFound, "a chunk to stage is no longer stored"};
    }
    if (!isCurrent()) {
        co_return stepAbandoned();
    }
    const VoidOutcome staged =
            co_await m_replica.stagePiece(model, number, std::get<ChunkBytes>(*bytes));
    co_return staged;
}

Awaitable<VoidOutcome> StagedWeights::checkChunk(CompleteVersion version, std::uint32_t number,
                                                 Chunk chunk, IsStepCurrent isCurrent) const
{
    for (int i = 0; i < maxReadsOfPiece; ++i) {
        if (!isCurrent()) {
            co_return stepAbandoned();
        }
        const Outcome<std::string> staged = co_await m_replica.readStaged(version.model, number);
        if (!isCurrent()) {
            co_return stepAbandoned();
        }
        const Failure *readFailure = failureOf(staged);
        const std::string seen = readFailure != nullptr
                ? readFailure->detail
                : digestOf(std::get<std::string>(staged)).text();
        if (readFailure == nullptr && seen == chunk.digest.text()) {
            co_return std::monostate();
        }
        m_log.warning("weights.piece-corrupt",
                      {{"version", version.version}, {"piece", number}, {"seen", seen}});
        const VoidOutcome restaged = co_await stageChunk(version.model, number, chunk, isCurrent);
        if (failureOf(restaged) != nullptr) {
            co_return restaged;
        }
    }
    co_return Failure {ErrorKind::CorruptData,
                       "a staged piece is still corrupt after it was staged again"};
}

} // namespace greengageseam
