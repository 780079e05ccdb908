#include "draftfleet.h"

#include <thread>

namespace review {

namespace {

constexpr double secondsBetweenRequests = 0.1;
constexpr int patienceMs = 6000;
constexpr double readySeconds = 10;
/** The rule asks for a quarter of the requests, before and after the fault. */
constexpr double servedBound = 0.25;

} // namespace

const std::vector<std::string> entryIps {"127.0.2.1", "127.0.2.2"};
const std::vector<std::string> agentIps {"127.0.1.1", "127.0.1.2"};

DraftClients::DraftClients(std::vector<std::string> entries, Record &record)
    : m_entries(std::move(entries)), m_record(record)
{ }

void DraftClients::run(double until)
{
    std::vector<std::thread> threads;
    for (int n = 0; now() < until; ++n) {
        threads.emplace_back([this, n] { request(n); });
        wait(secondsBetweenRequests);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

double DraftClients::servedShare(double from, double to)
{
    const std::lock_guard lock(m_mutex);
    int all = 0;
    int served = 0;
    for (const Sent &sent : m_sent) {
        const bool isCounted = sent.at >= from && sent.at < to;
        all += isCounted ? 1 : 0;
        served += isCounted && sent.status == 200 ? 1 : 0;
    }
    return all == 0 ? 0 : static_cast<double>(served) / all;
}

void DraftClients::request(int n)
{
    Sent sent {now(), 0};
    const auto connection = Connection::open(m_entries[static_cast<std::size_t>(n) % 2]);
    const std::string id = "attempt-" + std::to_string(n);
    if (connection) {
        connection->setReadTimeout(patienceMs);
        connection->send("POST /draft/plan HTTP/1.1\r\nHost: draft.example\r\nAttempt-Id: " + id
                         + "\r\nModel-Name: draft\r\nToken-Count: 900,100\r\nPrompt-Prefix: a1:40,"
                         + std::to_string(n)
                         + ":860\r\nRemaining-Time-Ms: 6000\r\nKey: key-of-school\r\n"
                           "Content-Length: 4\r\n\r\nplan");
        const auto answer = connection->receive();
        sent.status = answer ? answer->status() : 0;
    }
    m_record.line("client: " + id + " is answered " + std::to_string(sent.status));
    const std::lock_guard lock(m_mutex);
    m_sent.push_back(sent);
}

DraftFleet::DraftFleet(const std::string &folder, int entryPort, int agentPort, Record &record)
    : m_record(record), m_origin(record)
{
    m_store.put("keyed.op", "config", engineConfig(m_origin.address()));
    for (const std::string &ip : entryIps) {
        const NodeSpec spec {"entry", "front-" + ip, ip, m_store.address(), entryPort, "", ""};
        m_nodes.push_back(std::make_unique<Node>(spec, folder));
    }
    for (const std::string &ip : agentIps) {
        m_engines.push_back(std::make_unique<Engine>("i-" + ip, ip, 1, record));
        Engine &engine = *m_engines.back();
        const NodeSpec spec {"agent",   "side-" + ip,     ip,          m_store.address(),
                             agentPort, engine.address(), "model-pool"};
        m_nodes.push_back(std::make_unique<Node>(spec, folder));
        engine.registerAt(m_store);
    }
}

bool DraftFleet::start()
{
    for (const auto &node : m_nodes) {
        node->start();
    }
    return m_nodes[0]->waitUntilReady(readySeconds) && m_nodes[1]->waitUntilReady(readySeconds);
}

void DraftFleet::powerOff()
{
    m_record.line("all machines lose power");
    for (const auto &node : m_nodes) {
        node->kill();
    }
    for (const auto &engine : m_engines) {
        engine->restartEmpty();
    }
}

void DraftFleet::powerOn()
{
    for (const auto &node : m_nodes) {
        node->start();
    }
    m_record.line("all machines are back");
}

void DraftFleet::nameVersion(int version)
{
    const std::string number = std::to_string(version);
    m_store.put("keyed.op", "version/draft", R"({"model":"draft","version":)" + number + "}");
    m_record.line("operator: names version " + number);
}

std::vector<std::string> DraftFleet::frontAddresses() const
{
    return {m_nodes[0]->frontAddress(), m_nodes[1]->frontAddress()};
}

int playRecovery(DraftFleet &fleet, const RecoveryTrouble &trouble, Record &record)
{
    if (!fleet.start()) {
        return notRun;
    }
    const double startedAt = now();
    const double faultAt = startedAt + secondsBeforeNaming + secondsBeforeFault;
    const double backAt = faultAt + downSeconds;
    const double judgedFrom = backAt + recoverySeconds;
    DraftClients clients(fleet.frontAddresses(), record);
    std::thread traffic([&] { clients.run(judgedFrom + secondsJudged); });

    wait(secondsBeforeNaming);
    fleet.nameVersion(2);
    wait(faultAt - now());
    fleet.powerOff();
    wait(backAt - now());
    if (hasTrouble() && trouble.beforeBack) {
        trouble.beforeBack(fleet);
    }
    fleet.powerOn();
    wait(trouble.afterBackSeconds);
    if (hasTrouble() && trouble.afterBack) {
        trouble.afterBack(fleet);
    }
    traffic.join();

    const double before = clients.servedShare(startedAt, faultAt);
    const double after = clients.servedShare(judgedFrom, judgedFrom + secondsJudged);
    record.line("served before the fault: " + std::to_string(before)
                + ", of what was sent later than recoveryS after the machines were back: "
                + std::to_string(after));
    if (before < servedBound) {
        return notRun;
    }
    return after < servedBound ? ruleBroken : ruleHeld;
}

} // namespace review
