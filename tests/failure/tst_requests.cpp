/**
 * Guards against truncated and mixed-up responses while processes are killed, frozen, restarted and
 * shut down under load. Each response is checked against its request.
 * labels: failure promise-2 promise-3 promise-6
 */
#include "core/common/hashing.h"
#include "fleet.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace greengageseam {
namespace {

const std::vector<std::string> engineNames {"engine1", "engine2", "engine3", "engine4"};
constexpr int attemptsPerRequest = 40;

/** Results counted by the callers. */
struct Tally
{
    std::atomic<int> answered {0};
    std::atomic<int> wrong {0};
    std::atomic<int> refused {0};
    std::atomic<int> disconnected {0};
};

/** Two entries, four engines with their agents, and callers that verify each response. */
class RequestFixture
{
protected:
    RequestFixture()
    {
        m_fleet.startPlatform();
        for (const std::string &engine : engineNames) {
            m_fleet.startEngine(engine, {"--token-us=300"});
        }
        for (const char *entry : {"entry1", "entry2"}) {
            m_fleet.startEntry(entry, "fyn", {"--request-limit=8", "--drain-notice=1"});
        }
        for (const std::string &engine : engineNames) {
            m_fleet.startAgent(agentOf(engine), "fyn", engine);
        }
        REQUIRE(waitUntil([&] { return m_fleet.isReady("entry1") && m_fleet.isReady("entry2"); }));
        m_manifest = m_fleet.publish(std::string(100'000, 'w'), 65'536);
        REQUIRE(m_fleet.accept("entry1",
                               {"model/drafts/v1/manifest=" + m_manifest.text(),
                                "model/drafts/v1/weight/zone/fyn=1",
                                "model/drafts/v1/replicas/fyn=4",
                                "account/caps/key=" + digestOf("caps-key").text()})
                == 200);
        for (const std::string &engine : engineNames) {
            REQUIRE(waitUntil([&] { return serves(engine); }));
        }
        for (const char *entry : {"entry1", "entry2"}) {
            m_entries.push_back(m_fleet.addresses(entry).http);
            REQUIRE(waitUntil([&] { return sendRequest(m_entries.back(), "warm-up", false); }));
        }
        m_tally.refused = 0;
        m_tally.disconnected = 0;
        m_refusals.clear();
    }

    static std::string agentOf(const std::string &engine)
    {
        return "agent" + engine.substr(std::string("engine").size());
    }

    bool serves(const std::string &engine) const
    {
        const HttpRequest request {"GET", "/state", {}, {}};
        const auto answer = callOnce(m_fleet.addresses(engine).http, request);
        const auto *state = std::get_if<HttpResponse>(&answer);
        return state != nullptr
                && state->body.find(R"("serving":[")" + m_manifest.text()) != std::string::npos;
    }

    /** @returns the number of requests running on all engines */
    std::int64_t runningAtEngines() const
    {
        std::int64_t running = 0;
        for (const std::string &engine : engineNames) {
            running += m_fleet.counts(engine).at("running").to_number<std::int64_t>();
        }
        return running;
    }

    bool sendRequest(const Address &entry, const std::string &prompt, bool isStreamed,
                     int tokens = 3)
    {
        const std::string body = R"({"model":"drafts","prompt":")" + prompt + R"(","max_tokens":)"
                + std::to_string(tokens) + (isStreamed ? R"(,"stream":true})" : "}");
        const HttpRequest request {
                "POST", "/v1/completions", {{"Authorization", "Bearer caps-key"}}, body};
        const auto answer = callOnce(entry, request, std::chrono::seconds(10));
        const auto *response = std::get_if<HttpResponse>(&answer);
        if (response == nullptr) {
            ++m_tally.disconnected;
            return false;
        }
        if (response->status != 200) {
            ++m_tally.refused;
            recordRefusal(body, *response);
            return false;
        }
        ++m_tally.answered;
        m_tally.wrong += !isComplete(response->body, digestOf(body).text(), isStreamed, tokens);
        return true;
    }

    /**
     * Every part of a response must contain the digest of the request and of the version, and a
     * streamed response must contain all its tokens and the end mark.
     */
    bool isComplete(const std::string &text, const std::string &echo, bool isStreamed,
                    int tokens) const
    {
        const int parts = isStreamed ? tokens : 1;
        return countOf(text, echo) == parts && countOf(text, m_manifest.text()) == parts
                && (!isStreamed || text.ends_with("data: [DONE]\n\n"));
    }

    static int countOf(const std::string &text, const std::string &wanted)
    {
        int n = 0;
        for (auto at = text.find(wanted); at != std::string::npos; at = text.find(wanted, at + 1)) {
            ++n;
        }
        return n;
    }

    void recordRefusal(const std::string &body, const HttpResponse &response)
    {
        const std::lock_guard lock(m_mutex);
        m_refusals.emplace_back(body, response.body);
    }

    /**
     * Runs callers in parallel until each has made its calls. A call is retried at the other entry
     * when it fails.
     * @param meanwhile called repeatedly until all callers have finished
     */
    void call(int callers, int callsEach, const std::function<void()> &meanwhile)
    {
        std::atomic<int> remainingCallers {callers};
        std::vector<std::thread> threads;
        for (int caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, caller] {
                for (int n = 0; n < callsEach; ++n) {
                    const std::string prompt = std::to_string(caller) + "-" + std::to_string(n);
                    const auto entry = static_cast<std::size_t>(caller + n) % m_entries.size();
                    bool isAnswered = false;
                    for (int i = 0; i < attemptsPerRequest && !isAnswered; ++i) {
                        const auto next = (entry + static_cast<std::size_t>(i)) % m_entries.size();
                        isAnswered = sendRequest(m_entries[next], prompt, n % 3 == 0);
                        const auto pause = std::chrono::milliseconds(isAnswered ? 0 : 30);
                        std::this_thread::sleep_for(pause);
                    }
                }
                --remainingCallers;
            });
        }
        while (remainingCallers > 0) {
            meanwhile();
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

    Fleet m_fleet;
    Digest m_manifest;
    std::vector<Address> m_entries;
    Tally m_tally;
    std::mutex m_mutex;
    std::vector<std::pair<std::string, std::string>> m_refusals;
};

TEST_CASE_METHOD(RequestFixture,
                 "requests_randomKillsFreezesAndRestarts_noResponseIsMixedUpOrTruncated")
{
    constexpr int calls = 20'000;
    constexpr int callers = 16;
    std::mt19937 random(20261204);
    const std::vector<std::string> victims {"entry1", "agent1", "agent2",
                                            "entry2", "agent3", "agent4"};
    call(callers, calls / callers, [&] {
        const std::string &victim = victims[random() % victims.size()];
        const auto kind = random() % 3;
        if (kind == 0) {
            m_fleet.kill(victim);
            std::this_thread::sleep_for(std::chrono::milliseconds(random() % 200));
            m_fleet.restart(victim);
        } else if (kind == 1) {
            m_fleet.freeze(victim);
            std::this_thread::sleep_for(std::chrono::milliseconds(random() % 600));
            m_fleet.thaw(victim);
        } else {
            m_fleet.setFaults(engineNames[random() % engineNames.size()], {{"restart", true}});
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(500 + random() % 700));
    });
    const int answered = m_tally.answered;
    WARN("answered " << answered << ", refused " << m_tally.refused << ", disconnected "
                     << m_tally.disconnected);
    REQUIRE(m_tally.wrong == 0);
    REQUIRE(answered >= calls * 99 / 100);
}

TEST_CASE_METHOD(RequestFixture, "requests_gracefulStopsUnderLoad_noResponseIsTruncated")
{
    std::size_t next = 0;
    call(8, 1000, [&] {
        const std::string &engine = engineNames[next++ % engineNames.size()];
        const std::string agent = agentOf(engine);
        m_fleet.requestStop(agent);
        REQUIRE(m_fleet.waitForExit(agent) == 0);
        m_fleet.restart(agent);
        waitUntil([&] { return serves(engine); });
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    });
    for (const auto &[body, refusal] : m_refusals) {
        CAPTURE(body, refusal, m_refusals.size(), m_fleet.logOf("entry1"));
        REQUIRE(refusal.find(R"("ran":"no")") != std::string::npos);
    }
    WARN("answered " << m_tally.answered << ", refused " << m_tally.refused);
    REQUIRE(m_tally.disconnected == 0);
    REQUIRE(m_tally.wrong == 0);
}

TEST_CASE_METHOD(RequestFixture, "entry_sigtermUnderLoad_finishesRequestsBeforeExit")
{
    std::thread slow([&] { sendRequest(m_entries[0], "long", true, 6000); });
    const bool isRunning = waitUntil([&] { return runningAtEngines() > 0; });
    m_fleet.requestStop("entry1");
    const bool isUnready = waitUntil([&] { return !m_fleet.isReady("entry1"); });
    const bool isServed = sendRequest(m_entries[0], "in the notice", false);
    const int exitCode = m_fleet.waitForExit("entry1");
    slow.join();
    CAPTURE(m_refusals);
    REQUIRE(isRunning);
    REQUIRE(isUnready);
    REQUIRE(isServed);
    REQUIRE(exitCode == 0);
    REQUIRE(m_tally.disconnected == 0);
    REQUIRE(m_tally.refused == 0);
    REQUIRE(m_tally.wrong == 0);
}

} // namespace
} // namespace greengageseam
