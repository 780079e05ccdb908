/**
 * The course of one rollout of the benchmark.
 */
#pragma once

#include "net/http.h"
#include "net/mailbox.h"
#include "rolloutfleet.h"
#include "rolloutresult.h"

#include <string>
#include <vector>

namespace greengageseam {

/**
 * Runs one rollout on its own fleet: deploys a small first version, measures the latency of live
 * requests, then rolls out the second version while the live requests continue.
 */
class Rollout
{
public:
    Rollout(const asio::any_io_executor &executor, RolloutCase rolloutCase);

    /** Runs the rollout and prints its JSON line, or an error if the first version is not served.
     */
    Awaitable<void> run();

private:
    Awaitable<void> sleepFor(Duration time);
    Awaitable<std::string> sendRequest(Address address, HttpRequest request);
    Awaitable<Digest> publish(std::uint64_t size, std::size_t chunkBytes);
    std::vector<std::string> versionEdits(const std::string &version, const Digest &digest,
                                          int weight) const;
    Awaitable<bool> accept(std::vector<std::string> edits);
    Awaitable<bool> deployFirstVersion();
    Awaitable<std::size_t> countServing(Digest digest);
    Awaitable<void> queryEngine(Address engine, Digest digest, MailboxPtr<bool> reply);
    Awaitable<void> liveClient(std::size_t n);
    Awaitable<void> waitForRollout();
    Awaitable<double> originBytes();
    Awaitable<void> readAgentMetrics();

    asio::any_io_executor m_executor;
    RolloutCase m_case;
    RolloutFleet m_fleet;
    Digest m_firstManifest;
    Digest m_secondManifest;
    Instant m_startedAt;
    RolloutResult m_result;
    /** Latencies of the live requests since the last phase began, in seconds. */
    std::vector<double> m_latencies;
    bool m_isFinished = false;
};

} // namespace greengageseam
