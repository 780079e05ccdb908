/**
 * Failure tests of priority: what an entry that has no free slot serves first, and what it tells
 * backend servers.
 * labels: failure platform
 */
#include "scriptedfleet.h"

namespace greengageseam {
namespace {

const std::string whole = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n"
                          "Content-Length: 5\r\n\r\nwhole";
constexpr auto answerTime = std::chrono::milliseconds(250);
/** Requests that an entry sends to a server of one slot while it assumes five other entries. */
constexpr std::size_t sentAtOnce = 2;

class PriorityFleet : public ScriptedFleet
{
protected:
    /** Starts an entry with one server, and a route for each of two path prefixes. */
    void startRoutes(int urgent, int other)
    {
        m_script->answers = {{whole, AfterAnswer::Keeps, {}, answerTime}};
        m_store.put("keyed.op", "config",
                    R"({"version":1,"routes":[)" + route("u", urgent) + "," + route("o", other)
                            + R"(],"services":[{"name":"p"}],)"
                              R"("tenants":[{"name":"ann","apiKeys":["key"]}]})");
        list("i-1", m_first.address(), 1, "ready", 1);
        startEntry();
    }

    static std::string route(const std::string &name, int priority)
    {
        return R"({"name":")" + name + R"(","host":"a.example","pathPrefix":"/)" + name
                + R"(/","routeKind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":2500,)"
                  R"("service":"p","maxAttempts":1,"priority":)"
                + std::to_string(priority) + "}";
    }

    /** Sends a request whose answer is not waited for. */
    void begin(const std::string &routeName, const std::string &attemptId)
    {
        std::string text = requestText(attemptId);
        text.replace(text.find("/x/"), 3, "/" + routeName + "/");
        m_received.emplace_back();
        asio::co_spawn(m_context,
                       exchange(m_context.get_executor(), m_settings.frontAddress, text,
                                m_received.back()),
                       asio::detached);
        runFor(std::chrono::milliseconds(20));
    }

    /** @returns the attempt ids in the order in which requests reached the server */
    std::vector<std::string> arrivals(std::size_t n)
    {
        REQUIRE(waitUntil([&] { return m_script->requests.size() >= n; }));
        std::vector<std::string> ids;
        for (const std::string &head : m_script->requests) {
            ids.push_back(fieldOf(head, "Attempt-Id"));
        }
        return ids;
    }

    void fillServer()
    {
        for (std::size_t n = 0; n < sentAtOnce; ++n) {
            begin("o", "fill-" + std::to_string(n));
        }
        REQUIRE(m_script->requests.size() == sentAtOnce);
    }

    std::deque<std::optional<CallerResponse>> m_received;
};

TEST_CASE_METHOD(PriorityFleet, "entry_noSlotIsFree_nextSlotGoesToTheMostUrgentRequest")
{
    startRoutes(0, 2);
    fillServer();
    begin("o", "older");
    begin("u", "urgent");
    begin("o", "newer");
    REQUIRE(arrivals(sentAtOnce + 1).at(sentAtOnce) == "urgent");
    REQUIRE(fieldOf(m_script->requests.at(0), "Request-Priority") == "1");
    REQUIRE(fieldOf(m_script->requests.at(sentAtOnce), "Request-Priority") == "0");
}

TEST_CASE_METHOD(PriorityFleet, "entry_allRoutesHaveOnePriority_nextSlotGoesToTheNewestRequest")
{
    startRoutes(2, 2);
    fillServer();
    begin("o", "older");
    begin("u", "other-route");
    begin("o", "newer");
    REQUIRE(arrivals(sentAtOnce + 1).at(sentAtOnce) == "newer");
    for (const std::string &head : m_script->requests) {
        REQUIRE(fieldOf(head, "Request-Priority").empty());
    }
}

} // namespace
} // namespace greengageseam
