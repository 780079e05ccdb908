#include "rolloutfleet.h"

#include "core/common/hashing.h"
#include "freeport.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace greengageseam {

const std::string benchToken = "operator-token";

namespace {

constexpr std::size_t peersPerOtherZone = 4;
constexpr int userTimeField = 13;
constexpr std::size_t lastLogBytes = 2000;

std::filesystem::path executableFolder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

} // namespace

std::string nameOf(const RolloutCase &rolloutCase)
{
    return rolloutCase.policy + "-" + std::to_string(rolloutCase.originCopies) + "-"
            + std::to_string(rolloutCase.replicas) + "-zones" + std::to_string(rolloutCase.zones);
}

RolloutFleet::RolloutFleet(const asio::any_io_executor &executor, RolloutCase rolloutCase)
    : m_executor(executor), m_case(std::move(rolloutCase)),
      m_folder((std::filesystem::temp_directory_path() / "rollout-XXXXXX").string())
{
    if (mkdtemp(m_folder.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder for logs");
    }
    const std::string standin = executableFolder() / "greengageseam-standin";
    m_platform = reservePorts(zoneName(0));
    spawn(m_platform,
          {standin, "platform", "--listen=" + m_platform.httpAddress.text(),
           "--admin=" + m_platform.secondAddress.text(),
           "--origin-rate=" + std::to_string(m_case.originRate)});
    for (std::size_t zone = 0; zone < m_case.zones; ++zone) {
        m_entries.push_back(reservePorts(zoneName(zone)));
        FleetProcess &entry = m_entries.back();
        spawn(entry,
              {executableFolder() / "greengageseamd", "--role=entry",
               "--instance=" + zoneName(zone) + "-entry", "--zone=" + zoneName(zone),
               "--listen=" + entry.httpAddress.text(),
               "--peer-listen=" + entry.secondAddress.text(),
               "--log=" + m_platform.httpAddress.text(), "--list=" + m_platform.httpAddress.text(),
               "--log-level=error", "--bootstrap-token=" + digestOf(benchToken).text()});
    }
    for (std::size_t n = 0; n < m_case.replicas; ++n) {
        m_engines.push_back(reservePorts(zoneName(n % m_case.zones)));
        m_agents.push_back(reservePorts(zoneName(n % m_case.zones)));
    }
    for (std::size_t n = 0; n < m_case.replicas; ++n) {
        startEngine(n);
        startAgent(n);
    }
}

RolloutFleet::~RolloutFleet()
{
    std::vector<FleetProcess> all {m_platform};
    for (const auto *group : {&m_entries, &m_engines, &m_agents}) {
        all.insert(all.end(), group->begin(), group->end());
    }
    for (const FleetProcess &process : all) {
        kill(process.pid, SIGKILL);
    }
    for (const FleetProcess &process : all) {
        waitpid(process.pid, nullptr, 0);
    }
    for (const int fd : m_reservedPorts) {
        close(fd);
    }
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

FleetProcess RolloutFleet::reservePorts(const std::string &zone)
{
    FleetProcess process;
    process.zone = ZoneName(zone);
    for (Address *address : {&process.httpAddress, &process.secondAddress}) {
        std::uint16_t port = 0;
        m_reservedPorts.push_back(bindFreePort(port));
        *address = Address("127.0.0.1:" + std::to_string(port));
    }
    return process;
}

void RolloutFleet::spawn(FleetProcess &process, std::vector<std::string> command)
{
    std::vector<char *> arguments;
    for (std::string &field : command) {
        arguments.push_back(field.data());
    }
    arguments.push_back(nullptr);
    std::string secret = "GREENGAGESEAM_SECRET=a secret for the bench only";
    char *environment[] = {secret.data(), nullptr};
    const std::string log = m_folder + "/log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(&process.pid, arguments.front(), &actions, nullptr,
                                   arguments.data(), environment);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
}

void RolloutFleet::startEngine(std::size_t n)
{
    FleetProcess &engine = m_engines[n];
    spawn(engine,
          {executableFolder() / "greengageseam-standin", "engine",
           "--listen=" + engine.httpAddress.text(), "--admin=" + engine.secondAddress.text(),
           "--load-ms=0"});
}

void RolloutFleet::startAgent(std::size_t n)
{
    const std::size_t zone = n % m_case.zones;
    FleetProcess &agent = m_agents[n];
    std::vector<std::string> command {executableFolder() / "greengageseam-bench",
                                      "rollout-agent",
                                      m_case.policy,
                                      "--role=agent",
                                      "--instance=agent" + std::to_string(n),
                                      "--zone=" + zoneName(zone),
                                      "--listen=" + agent.httpAddress.text(),
                                      "--peer-listen=" + agent.secondAddress.text(),
                                      "--entries=" + m_entries[zone].secondAddress.text(),
                                      "--log=" + m_platform.httpAddress.text(),
                                      "--store=" + storeAddressFor(zone).text(),
                                      "--backend=" + m_engines[n].httpAddress.text(),
                                      "--link-rate=" + std::to_string(m_case.linkRate),
                                      "--store-zone=" + zoneName(0)};
    if (m_case.zones > 1) {
        command.push_back("--far-peers=" + otherZonePeersOf(zone));
    }
    spawn(agent, std::move(command));
}

std::string RolloutFleet::zoneName(std::size_t n) const
{
    return "zone" + std::to_string(n);
}

/**
 * @returns the --far-peers value for a zone: a few agents of each other zone, through simulated
 *          links
 */
std::string RolloutFleet::otherZonePeersOf(std::size_t zone)
{
    std::string &peers = m_otherZonePeers[zone];
    if (!peers.empty()) {
        return peers;
    }
    for (std::size_t other = 0; other < m_case.zones; ++other) {
        for (std::size_t k = 0; other != zone && k < peersPerOtherZone; ++k) {
            const std::size_t n = other + k * m_case.zones;
            if (n >= m_case.replicas) {
                continue;
            }
            const Address port =
                    linkBetween(zone, other).openPort(m_agents[n].secondAddress, zone < other);
            peers += (peers.empty() ? "" : ",") + zoneName(other) + "/agent" + std::to_string(n)
                    + "@" + port.text();
        }
    }
    return peers;
}

Address RolloutFleet::storeAddressFor(std::size_t zone)
{
    if (zone == 0) {
        return m_platform.httpAddress;
    }
    Address &store = m_storeAddresses[zone];
    if (store.isEmpty()) {
        store = linkBetween(zone, 0).openPort(m_platform.httpAddress, false);
    }
    return store;
}

SimulatedZoneLink &RolloutFleet::linkBetween(std::size_t left, std::size_t right)
{
    auto &link = m_links[std::minmax(left, right)];
    if (!link) {
        link = std::make_shared<SimulatedZoneLink>(m_executor, m_case.zoneLink);
    }
    return *link;
}

std::string RolloutFleet::lastLogLines() const
{
    std::ifstream file(m_folder + "/log");
    const std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return text.substr(text.size() - std::min(text.size(), lastLogBytes));
}

double RolloutFleet::agentCpuSeconds() const
{
    double ticks = 0;
    for (const FleetProcess &agent : m_agents) {
        std::ifstream file("/proc/" + std::to_string(agent.pid) + "/stat");
        std::string field;
        for (int n = 0; n <= userTimeField + 1 && file >> field; ++n) {
            ticks += n >= userTimeField ? std::stod(field) : 0;
        }
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::uint64_t RolloutFleet::maxAgentResidentBytes() const
{
    std::uint64_t largest = 0;
    for (const FleetProcess &agent : m_agents) {
        std::ifstream file("/proc/" + std::to_string(agent.pid) + "/statm");
        std::uint64_t size = 0;
        std::uint64_t resident = 0;
        file >> size >> resident;
        largest = std::max(largest, resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)));
    }
    return largest;
}

} // namespace greengageseam
