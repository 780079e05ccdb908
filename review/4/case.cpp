/**
 * Case 4: replicas leave shortly after a cut between a zone and the store has healed. The entries
 * of the zone go on sending to them for longer than drainMs.
 *
 * Usage: case FOLDER RECORD
 */
#include "../platform.h"

#include <algorithm>
#include <thread>

namespace review {
namespace {

constexpr int cuts = 8;
/** The site cuts zones off for 5.5 s. */
constexpr double cutSeconds = 4;
/** When a replica leaves, after the cut has healed. */
constexpr double leavesAfter = 0.5;
/** bounds.drainMs and bounds.stableWindowMs of the settings. */
constexpr double drainSeconds = 2;
constexpr double stableSeconds = 3;
constexpr double secondsAfterCut = 6;
constexpr double secondsBetweenRequests = 0.02;
constexpr double workSeconds = 0.015;
constexpr int patienceMs = 1000;
const std::vector<std::string> entryIps {"127.0.2.1", "127.0.2.2"};

/** A replica of the service "floor-desk", which serves on after it has left the store's list. */
class Desk
{
public:
    explicit Desk(std::string id)
        : m_id(std::move(id)),
          m_server("127.0.0.1", [this](const HttpMessage &request, const Connection &) {
              return handle(request);
          })
    { }

    const std::string &id() const { return m_id; }

    std::string entry() const
    {
        return R"({"service":"floor-desk","address":")" + m_server.address()
                + R"(","zone":"herning-a","version":"v1","slots":6,"state":"ready",)"
                + R"("coldLeftMs":0,"sequence":1,"born":1790000000000})";
    }

    /** @returns the requests that arrived from a time on, with their times */
    std::vector<std::pair<double, std::string>> arrivedSince(double time)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::pair<double, std::string>> late;
        std::copy_if(m_arrivals.begin(), m_arrivals.end(), std::back_inserter(late),
                     [time](const auto &arrival) { return arrival.first >= time; });
        return late;
    }

private:
    std::string handle(const HttpMessage &request)
    {
        const std::string id = request.field("Attempt-Id");
        const std::string echo = "Attempt-Id: " + id + "\r\n";
        if (request.field("Expected-Instance") != m_id) {
            return response("421 Misdirected Request", echo + "Replica-Id: " + m_id + "\r\n", "");
        }
        {
            const std::lock_guard lock(m_mutex);
            m_arrivals.emplace_back(now(), id);
        }
        wait(workSeconds);
        return response("200 OK", echo + "Server-Seal: " + m_id + "\r\n", "done");
    }

    std::string m_id;
    std::mutex m_mutex;
    std::vector<std::pair<double, std::string>> m_arrivals;
    Server m_server;
};

/** Looks up orders one after the other on one connection until the time is over. */
void runClient(const std::string &entry, int number, double until)
{
    auto connection = Connection::open(entry);
    for (int n = 0; connection && now() < until; ++n) {
        connection->setReadTimeout(patienceMs);
        connection->send("GET /floor/status HTTP/1.1\r\nHost: floor.example\r\nAttempt-Id: "
                         + std::to_string(number) + "-" + std::to_string(n)
                         + "\r\nRemaining-Time-Ms: 600\r\nKey: key-of-school\r\n\r\n");
        if (!connection->receive()) {
            connection = Connection::open(entry);
        }
        wait(secondsBetweenRequests);
    }
}

std::string deskConfig()
{
    return R"({"version":7,"routes":[{"name":"r-status","host":"floor.example",)"
           R"("pathPrefix":"/floor/","routeKind":"idempotent","timeoutMs":600,)"
           R"("targetLatencyMs":120,"priority":2,"service":"floor-desk","maxAttempts":2,)"
           R"("anonymous":false}],"services":[{"name":"floor-desk","healthPath":"/health",)"
           R"("maxConnections":100,"protocol":"h1","tls":false}],"limits":{)"
           R"("maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000},"tenants":[{"name":"school",)"
           R"("apiKeys":["key-of-school"]}]})";
}

/** Ends the process while the stand-ins, whose threads go on, still exist. */
[[noreturn]] void run(const std::string &folder, Record &record)
{
    Store store;
    store.put("keyed.op", "config", deskConfig());
    std::vector<std::unique_ptr<Desk>> desks;
    const auto addDesk = [&] {
        desks.push_back(std::make_unique<Desk>("i-" + std::to_string(desks.size() + 1)));
        store.put("keyed.servers", desks.back()->id(), desks.back()->entry());
        record.line("store: " + desks.back()->id() + " is there");
    };
    for (int n = 0; n < 3; ++n) {
        addDesk();
    }
    const int port = freePorts(entryIps, portsNeeded);
    std::vector<std::unique_ptr<Node>> nodes;
    for (const std::string &ip : entryIps) {
        const NodeSpec spec {"entry", "front-" + ip, ip, store.address(), port, "", ""};
        nodes.push_back(std::make_unique<Node>(spec, folder));
        nodes.back()->start();
    }
    if (!nodes[0]->waitUntilReady(10) || !nodes[1]->waitUntilReady(10)) {
        finish(notRun);
    }
    const double end = now() + cuts * (cutSeconds + secondsAfterCut) + 1;
    std::vector<std::thread> clients;
    for (int n = 0; n < 6; ++n) {
        const std::string entry = nodes[static_cast<std::size_t>(n) % 2]->frontAddress();
        clients.emplace_back([entry, n, end] { runClient(entry, n, end); });
    }

    std::size_t lateRequests = 0;
    for (std::size_t n = 0; n < cuts; ++n) {
        if (hasTrouble()) {
            record.line("network: the zone is cut off from the store");
            store.cutOff(true);
        }
        wait(cutSeconds);
        store.cutOff(false);
        const double healedAt = now();
        record.line("network: no cut");
        wait(leavesAfter);
        addDesk();
        Desk &leaving = *desks[n];
        store.put("keyed.servers", leaving.id(), "");
        const double leftAt = now();
        record.line("store: acknowledges that " + leaving.id() + " is gone");
        wait(secondsAfterCut - leavesAfter);
        const double judgedFrom = std::max(leftAt + drainSeconds, healedAt + stableSeconds);
        const auto late = leaving.arrivedSince(judgedFrom);
        lateRequests += late.size();
        record.line(leaving.id() + ": " + std::to_string(leaving.arrivedSince(leftAt).size())
                    + " requests since then, too late: " + std::to_string(late.size())
                    + (late.empty() ? std::string()
                                    : ", the last " + std::to_string(late.back().first - leftAt)
                                       + " s after the acknowledgement, "
                                       + std::to_string(late.back().first - healedAt)
                                       + " s after the cut: " + late.back().second));
    }
    record.line("requests that reached replicas too late: " + std::to_string(lateRequests));
    finish(lateRequests > 0 ? ruleBroken : ruleHeld);
}

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    if (argc != 3) {
        return review::notRun;
    }
    review::Record record(argv[2]);
    review::run(argv[1], record);
}
