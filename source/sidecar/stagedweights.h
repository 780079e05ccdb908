/**
 * Writes and checks the pieces of weights that are staged on the local backend server.
 */
#pragma once

#include "exchange/versionfetcher.h"

namespace greengageseam {

/**
 * Hook that says whether the step is still in progress for which pieces are written or checked. It
 * is asked before each call to the backend server.
 */
using IsStepCurrent = std::function<bool()>;

/**
 * Access to the staged pieces for one step at a time. The backend server stores one copy per model,
 * so two steps that write at the same time would mix their versions: the caller starts a step only
 * after the coroutine of the one before has ended.
 */
class StagedWeights
{
public:
    /** @param weights the mailbox of the task that stores the weights */
    StagedWeights(const asio::any_io_executor &executor, ReplicaHooks replica,
                  MailboxPtr<WeightCommand> weights, Log log);

    /** Stages all pieces of a version. */
    Awaitable<VoidOutcome> stage(CompleteVersion version, IsStepCurrent isCurrent) const;
    /**
     * Reads back all staged pieces and verifies them. A corrupt piece is staged again and reread.
     * @returns the time at which the first read began, from which the age of the check counts
     */
    Awaitable<Outcome<Instant>> check(CompleteVersion version, IsStepCurrent isCurrent) const;

private:
    Awaitable<VoidOutcome> stageChunk(ModelName model, std::uint32_t number, Chunk chunk,
                                      IsStepCurrent isCurrent) const;
    Awaitable<VoidOutcome> checkChunk(CompleteVersion version, std::uint32_t number, Chunk chunk,
                                      IsStepCurrent isCurrent) const;

    asio::any_io_executor m_executor;
    ReplicaHooks m_replica;
    MailboxPtr<WeightCommand> m_weights;
    Log m_log;
};

} // namespace greengageseam
