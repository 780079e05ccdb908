#include "platform.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point startedAt = Clock::now();

std::mutex &childrenMutex()
{
    static std::mutex mutex;
    return mutex;
}

std::set<pid_t> &children()
{
    static std::set<pid_t> set;
    return set;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    constexpr int bitsPerByte = 8;
    std::string text;
    for (int n = bytes - 1; n >= 0; --n) {
        text.push_back(static_cast<char>(value >> (bitsPerByte * n) & 0xffU));
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        const std::size_t used = std::min<std::size_t>(3, bytes.size() - n);
        for (std::size_t i = 0; i < 3; ++i) {
            group = group << 8U | (i < used ? static_cast<unsigned char>(bytes[n + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            const std::uint32_t digit = group >> (18U - 6U * i) & 63U;
            text.push_back(i <= used ? digits[digit] : '=');
        }
    }
    return text;
}

} // namespace

double now()
{
    return std::chrono::duration<double>(Clock::now() - startedAt).count();
}

void wait(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void Record::line(const std::string &text)
{
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%9.3f ", now());
    const std::lock_guard lock(m_mutex);
    m_file << time.data() << text << "\n" << std::flush;
}

Store::Store()
    : m_server("127.0.0.1",
               [this](const HttpMessage &request, const Connection &) { return handle(request); })
{ }

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].emplace_back(key, value);
    m_changed.notify_all();
}

void Store::cutOff(bool isCut)
{
    m_cuts += isCut ? 1 : 0;
    m_isCut = isCut;
}

/** Of a connection that was cut, nothing more is heard; the thread that serves it stays. */
std::string Store::handle(const HttpMessage &request)
{
    constexpr double longerThanAnyCase = 1000;
    const int cutsBefore = m_cuts;
    const bool isLost = m_isCut;
    const std::string text = isLost ? std::string() : answer(request);
    if (isLost || m_cuts != cutsBefore) {
        wait(longerThanAnyCase);
    }
    return text;
}

std::string Store::answer(const HttpMessage &request)
{
    const std::string topic = request.parameter("topic");
    if (request.target().starts_with("/-/log-newest")) {
        return newest(topic);
    }
    if (request.target().starts_with("/-/log-read")) {
        const std::size_t from = std::strtoul(request.parameter("from").c_str(), nullptr, 10);
        return tail(topic, from, std::atoi(request.parameter("waitMs").c_str()));
    }
    return response("404 Not Found", "", "");
}

std::string Store::newest(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::pair<std::string, std::size_t>> records;
    const auto &log = m_topics[topic];
    for (std::size_t n = 0; n < log.size(); ++n) {
        records[log[n].first] = {log[n].second, n};
    }
    std::string items;
    for (const auto &[key, record] : records) {
        if (record.first.empty()) {
            continue;
        }
        items += items.empty() ? "" : ",";
        items += R"({"key":")" + key + R"(","value":")" + base64(record.first) + R"(","offset":)"
                + std::to_string(record.second) + "}";
    }
    return response("200 OK", "Content-Type: application/json\r\n",
                    R"({"items":[)" + items + R"(],"hasMore":false,"end":)"
                            + std::to_string(log.size()) + "}");
}

std::string Store::tail(const std::string &topic, std::size_t from, int waitMs)
{
    std::unique_lock lock(m_mutex);
    const auto &log = m_topics[topic];
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return log.size() > from; });
    std::string body = bigEndian(log.size(), 8) + bigEndian(0, 8);
    for (std::size_t n = from; n < log.size(); ++n) {
        const std::string content =
                bigEndian(log[n].first.size(), 1) + log[n].first + log[n].second;
        body += bigEndian(content.size(), 4) + content;
    }
    return response("200 OK", "Content-Type: application/octet-stream\r\n", body);
}

Node::Node(NodeSpec spec, std::string folder) : m_spec(std::move(spec)), m_folder(std::move(folder))
{
    std::ofstream file(m_folder + "/" + m_spec.name + ".conf");
    const bool isEntry = m_spec.role == "entry";
    file << "nodeName=" << m_spec.name << "\nrole=" << m_spec.role << "\nip=" << m_spec.ip
         << "\nzone=herning-a\nregion=jylland\nzones.herning-a=jylland\ninternalPortRange="
         << m_spec.firstPort << "," << m_spec.firstPort + 15
         << "\ninitialStart=true\nlimits.cores=1\nlimits.maxFds=4100\nlimits.diskMb=0"
         << "\nlimits.memoryMb=" << (isEntry ? entryMemoryMb : 128)
         << "\nlimits.linkMbps=" << (isEntry ? "1000.0" : "7.6")
         << "\ndiscovery=platform\nentryMode=virtual_ip\nheartbeatMs=1200"
         << "\nbounds.addrReuseS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000"
         << "\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200"
         << "\nbounds.configApplyMs=2000\nbounds.recoveryS=12\nbounds.retryBudgetRatio=0.2"
         << "\nbounds.retryWindowS=10\nbounds.retrySlack=102\nbounds.version_ms=8000"
         << "\nplatform.address=" << m_spec.store << "\nplatform.form=log\n";
    if (isEntry) {
        file << "machineClass=front\nserves=front,control\nlistenAddrs.front="
             << address(frontOffset) << "\nlistenAddrs.ready=" << address(readyOffset)
             << "\nlistenAddrs.control=" << address(readyOffset + 1) << "\n";
    } else {
        file << "machineClass=side\nserves=side\napp=" << m_spec.app
             << "\nservice=" << m_spec.service << "\n";
    }
}

Node::~Node()
{
    kill();
}

std::string Node::address(int offset) const
{
    return m_spec.ip + ":" + std::to_string(m_spec.firstPort + offset);
}

std::string Node::frontAddress() const
{
    return address(frontOffset);
}

void Node::start()
{
    const std::string program = "target/greengageseam-fleetd";
    const std::string config = "GREENGAGESEAM_CONFIG=" + m_folder + "/" + m_spec.name + ".conf";
    const std::string secret = "GREENGAGESEAM_SECRET=a-text-that-all-processes-share";
    const std::string log = m_folder + "/" + m_spec.name + ".log";
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        std::array<char *, 3> arguments {const_cast<char *>(program.c_str()),
                                         const_cast<char *>(m_spec.role.c_str()), nullptr};
        std::array<char *, 3> environment {const_cast<char *>(config.c_str()),
                                           const_cast<char *>(secret.c_str()), nullptr};
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(notRun);
    }
    const std::lock_guard lock(childrenMutex());
    children().insert(m_pid);
}

void Node::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Node::kill()
{
    if (m_pid <= 0) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    const std::lock_guard lock(childrenMutex());
    children().erase(m_pid);
    m_pid = 0;
}

bool Node::waitUntilReady(double seconds) const
{
    const double end = now() + seconds;
    while (now() < end) {
        const auto connection = Connection::open(address(readyOffset));
        if (connection && connection->send("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")) {
            const auto answer = connection->receive();
            if (answer && answer->status() == 200) {
                return true;
            }
        }
        wait(0.05);
    }
    return false;
}

long Node::residentKb() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::strtol(line.c_str() + 6, nullptr, 10);
        }
    }
    return 0;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void finish(int code)
{
    {
        const std::lock_guard lock(childrenMutex());
        for (const pid_t child : children()) {
            ::kill(child, SIGKILL);
            waitpid(child, nullptr, 0);
        }
        children().clear();
    }
    std::fflush(nullptr);
    _exit(code);
}

} // namespace review
