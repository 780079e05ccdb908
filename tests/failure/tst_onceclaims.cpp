/**
 * Tests with real processes that calls which must not be repeated are executed at most once. The
 * plain service counts its executions, so that a duplicate after a retry, crash or freeze is found.
 * labels: failure promise-4
 */
#include "core/common/hashing.h"
#include "fleet.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace greengageseam {
namespace {

const std::string commitPath = "/services/stitching/commits";

/** Two entries, and two agents in front of one plain service whose commits are not idempotent. */
class ClaimFixture
{
protected:
    ClaimFixture()
    {
        m_fleet.startPlatform();
        m_fleet.startService("service");
        for (const char *entry : {"entry1", "entry2"}) {
            m_fleet.startEntry(entry, "fyn", {"--request-limit=8", "--drain-notice=1"});
        }
        for (const char *agent : {"agent1", "agent2"}) {
            m_fleet.startAgent(agent, "fyn", "service", {"--service=stitching"});
        }
        REQUIRE(waitUntil([&] { return m_fleet.isReady("entry1") && m_fleet.isReady("entry2"); }));
        REQUIRE(m_fleet.accept("entry1",
                               {"service/stitching/non-idempotent=POST /commits",
                                "account/caps/key=" + digestOf("caps-key").text()})
                == 200);
        for (const char *entry : {"entry1", "entry2"}) {
            REQUIRE(waitUntil([&] { return status(commit(entry, "warm-up", "")) == 200; }));
        }
    }

    Outcome<HttpResponse> commit(const std::string &entry, const std::string &body,
                                 const std::string &key) const
    {
        std::vector<HttpHeader> headers;
        if (!key.empty()) {
            headers.push_back({"Idempotency-Key", key});
        }
        return m_fleet.call(entry, commitPath, body, "caps-key", headers);
    }

    static int status(const Outcome<HttpResponse> &answer)
    {
        const auto *response = std::get_if<HttpResponse>(&answer);
        return response == nullptr ? 0 : response->status;
    }

    static bool reportsNotRun(const Outcome<HttpResponse> &answer)
    {
        const auto *response = std::get_if<HttpResponse>(&answer);
        return response != nullptr && response->body.find(R"("ran":"no")") != std::string::npos;
    }

    /** @returns how often the service executed a call with this body */
    std::uint64_t runsOf(const std::string &body) const
    {
        const boost::json::object counts = m_fleet.counts("service");
        const boost::json::object &runs = counts.at("runs").as_object();
        return runs.contains(body) ? runs.at(body).to_number<std::uint64_t>() : 0;
    }

    Fleet m_fleet;
};

TEST_CASE_METHOD(ClaimFixture, "claim_sameKeyAtTwoEntriesAtOnce_runsOnceAndBothGetTheResponse")
{
    for (int n = 0; n < 20; ++n) {
        const std::string text = "run " + std::to_string(n);
        std::vector<std::thread> callers;
        for (int caller = 0; caller < 4; ++caller) {
            callers.emplace_back([&, caller] {
                commit(caller % 2 == 0 ? "entry1" : "entry2", text, "key-" + std::to_string(n));
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        REQUIRE(runsOf(text) == 1);
        REQUIRE(waitUntil([&] {
            const auto answer = commit("entry2", text, "key-" + std::to_string(n));
            return status(answer) == 200
                    && std::get<HttpResponse>(answer).body.find(text) != std::string::npos;
        }));
        REQUIRE(runsOf(text) == 1);
    }
}

TEST_CASE_METHOD(ClaimFixture, "claim_keyOfAnotherRequest_isRefusedAsNotRun")
{
    REQUIRE(status(commit("entry1", "first", "k")) == 200);
    REQUIRE(waitUntil([&] { return status(commit("entry2", "first", "k")) == 200; }));
    const auto answer = commit("entry2", "second", "k");
    REQUIRE(status(answer) == 400);
    REQUIRE(runsOf("second") == 0);
}

TEST_CASE_METHOD(ClaimFixture, "claim_logOutage_refusesAsNotRunAndRunsAfterwards")
{
    m_fleet.setFaults("platform", {{"outage", true}}, "log");
    const auto refused = commit("entry1", "in the outage", "k1");
    REQUIRE(reportsNotRun(refused));
    REQUIRE(runsOf("in the outage") == 0);
    REQUIRE(status(commit("entry1", "without a key", "")) == 200);
    m_fleet.setFaults("platform", {{"outage", false}}, "log");
    REQUIRE(waitUntil([&] { return status(commit("entry2", "in the outage", "k1")) == 200; }));
    REQUIRE(runsOf("in the outage") == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_lostAppendResponses_runsOnce")
{
    for (int n = 0; n < 10; ++n) {
        const std::string text = "lost-" + std::to_string(n);
        m_fleet.setFaults("platform", {{"loseAnswers", 1}}, "log");
        commit("entry1", text, text);
        Outcome<HttpResponse> last;
        const bool isAnswered = waitUntil([&] {
            last = commit("entry2", text, text);
            return status(last) == 200;
        });
        CAPTURE(std::get<HttpResponse>(last).body, n, m_fleet.logOf("entry1"));
        REQUIRE(isAnswered);
        REQUIRE(runsOf(text) == 1);
    }
}

TEST_CASE_METHOD(ClaimFixture, "claim_entryColdStart_replaysEarlierResponse")
{
    REQUIRE(status(commit("entry1", "before", "k2")) == 200);
    REQUIRE(waitUntil([&] { return status(commit("entry2", "before", "k2")) == 200; }));
    m_fleet.kill("entry1");
    m_fleet.restart("entry1");
    REQUIRE(waitUntil([&] { return status(commit("entry1", "before", "k2")) == 200; }));
    REQUIRE(runsOf("before") == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_entryFrozenPastHandOffLimit_isRefusedByTheAgent")
{
    // The claim is in the log, and its holder is frozen until agents reject it as too old.
    m_fleet.setFaults("platform", {{"delayMs", 400}}, "log");
    std::thread caller([&] { commit("entry1", "late", "k3"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    m_fleet.freeze("entry1");
    m_fleet.setFaults("platform", {{"delayMs", 0}}, "log");
    std::this_thread::sleep_for(std::chrono::seconds(32));
    m_fleet.thaw("entry1");
    caller.join();
    REQUIRE(runsOf("late") == 0);
    REQUIRE(waitUntil([&] { return status(commit("entry2", "late", "k3")) == 200; }));
    REQUIRE(runsOf("late") == 1);
}

TEST_CASE_METHOD(ClaimFixture, "claim_randomKillsAndFreezesWithRepeatingCallers_nothingRunsTwice")
{
    constexpr int callers = 8;
    constexpr int callsPerCaller = 250;
    const std::vector<Address> entries {m_fleet.addresses("entry1").http,
                                        m_fleet.addresses("entry2").http};
    std::atomic<int> remaining {callers};
    std::atomic<int> falseRefusals {0};
    std::atomic<int> mismatchedResponses {0};
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::set<std::string> alwaysRefused;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int n = 0; n < callsPerCaller; ++n) {
                const bool isKeyed = n % 2 == 0;
                const std::string text = "c" + std::to_string(caller) + "-" + std::to_string(n);
                HttpRequest request {
                        "POST", commitPath, {{"Authorization", "Bearer caps-key"}}, text};
                if (isKeyed) {
                    request.headers.push_back({"Idempotency-Key", text});
                }
                bool wasAlwaysRefused = true;
                for (int i = 0; i < (isKeyed ? 4 : 1); ++i) {
                    const auto answer = callOnce(entries[static_cast<std::size_t>(n + i) % 2],
                                                 request, std::chrono::seconds(3));
                    wasAlwaysRefused = wasAlwaysRefused && reportsNotRun(answer);
                    if (status(answer) == 200) {
                        mismatchedResponses +=
                                std::get<HttpResponse>(answer).body.find("\"" + text + "\"")
                                == std::string::npos;
                        break;
                    }
                    std::this_thread::sleep_for(std::chrono::milliseconds(40));
                }
                if (wasAlwaysRefused) {
                    const std::lock_guard lock(mutex);
                    alwaysRefused.insert(text);
                }
            }
            --remaining;
        });
    }
    std::mt19937 random(20261204);
    const std::vector<std::string> victims {"entry1", "entry2", "agent1", "agent2"};
    while (remaining > 0) {
        const std::string &victim = victims[random() % victims.size()];
        if (random() % 2 == 0) {
            m_fleet.kill(victim);
            std::this_thread::sleep_for(std::chrono::milliseconds(random() % 300));
            m_fleet.restart(victim);
        } else {
            m_fleet.freeze(victim);
            std::this_thread::sleep_for(std::chrono::milliseconds(random() % 800));
            m_fleet.thaw(victim);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(400 + random() % 800));
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const boost::json::object counts = m_fleet.counts("service");
    std::size_t ran = 0;
    for (const auto &[body, n] : counts.at("runs").as_object()) {
        if (body.starts_with("c")) {
            ++ran;
            CAPTURE(std::string(body));
            REQUIRE(n.to_number<int>() == 1);
            falseRefusals += static_cast<int>(alwaysRefused.count(std::string(body)));
        }
    }
    REQUIRE(falseRefusals == 0);
    REQUIRE(mismatchedResponses == 0);
    WARN("executed " << ran << " of " << callers * callsPerCaller << ", refused on every attempt "
                     << alwaysRefused.size());
    REQUIRE(ran > callers * callsPerCaller / 4);
}

} // namespace
} // namespace greengageseam
