#include "fleet.h"

#include "core/weights/weights.h"
#include "freeport.h"
#include "net/httpclient.h"
#include "protocol/jsontext.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace greengageseam {

namespace json = boost::json;

const std::string operatorToken = "operator-token";

namespace {

const std::string secretVariable = "GREENGAGESEAM_SECRET=a secret for tests only";
constexpr auto pollInterval = std::chrono::milliseconds(10);
constexpr std::size_t maxAnswerBytes = 64U * 1024 * 1024;

std::string makeFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("cannot create a directory for logs");
    }
    return path;
}

StringList joined(StringList commandLine, const StringList &more)
{
    commandLine.insert(commandLine.end(), more.begin(), more.end());
    return commandLine;
}

/** Merges flags: a flag in @p extra replaces the default of the same name. */
StringList overridden(const StringList &defaults, const StringList &extra)
{
    const auto nameOf = [](const std::string &flag) { return flag.substr(0, flag.find('=')); };
    StringList result;
    for (const std::string &flag : defaults) {
        bool isReplaced = false;
        for (const std::string &other : extra) {
            isReplaced = isReplaced || nameOf(other) == nameOf(flag);
        }
        if (!isReplaced) {
            result.push_back(flag);
        }
    }
    return joined(result, extra);
}

json::object parsedBody(const Outcome<HttpResponse> &answer)
{
    const auto *response = std::get_if<HttpResponse>(&answer);
    if (response == nullptr) {
        return {};
    }
    const Outcome<json::object> parsed = toOutcome([&] { return parseObject(response->body); });
    return failureOf(parsed) != nullptr ? json::object() : std::get<json::object>(parsed);
}

} // namespace

bool waitUntil(const std::function<bool()> &condition, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

Outcome<HttpResponse> callOnce(const Address &address, const HttpRequest &request, Duration timeout)
{
    asio::io_context context(1);
    Outcome<HttpResponse> result = Failure {};
    asio::co_spawn(context,
                   callHttp(context.get_executor(), address, request, timeout, maxAnswerBytes),
                   [&](const std::exception_ptr &error, Outcome<HttpResponse> answer) {
                       if (!error) {
                           result = std::move(answer);
                       }
                   });
    context.run();
    return result;
}

Fleet::Fleet(StringList environment)
    : m_environment(joined(std::move(environment), {secretVariable})), m_folder(makeFolder())
{ }

Fleet::~Fleet()
{
    m_members.clear();
    m_relays.clear();
    for (const int fd : m_reservations) {
        close(fd);
    }
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void Fleet::startPlatform(const StringList &extra)
{
    startStandin("platform", "platform", extra);
}

void Fleet::startEngine(const std::string &name, const StringList &extra)
{
    startStandin(name, "engine", extra);
}

void Fleet::startService(const std::string &name, const StringList &extra)
{
    startStandin(name, "service", extra);
}

void Fleet::startStandin(const std::string &name, const std::string &kind, const StringList &extra)
{
    const FleetAddresses addresses = reserve();
    const StringList commandLine {programPath("greengageseam-standin"), kind,
                                  "--listen=" + addresses.http.text(),
                                  "--admin=" + addresses.peerOrAdmin.text()};
    start(name, joined(commandLine, extra), addresses);
}

void Fleet::startEntry(const std::string &name, const std::string &zone, const StringList &extra)
{
    const FleetAddresses reserved = reserve();
    const std::string platform = addresses("platform").http.text();
    const StringList defaults {"--instance=" + name,
                               "--zone=" + zone,
                               "--listen=" + reserved.http.text(),
                               "--peer-listen=" + reserved.peerOrAdmin.text(),
                               "--log=" + platform,
                               "--list=" + platform,
                               "--log-level=debug",
                               "--bootstrap-token=" + digestOf(operatorToken).text()};
    const StringList commandLine {programPath("greengageseamd"), "--role=entry"};
    start(name, joined(commandLine, overridden(defaults, extra)), reserved);
    m_entriesByZone[zone].push_back(reserved.peerOrAdmin.text());
}

void Fleet::startAgent(const std::string &name, const std::string &zone, const std::string &backend,
                       const StringList &extra)
{
    const FleetAddresses reserved = reserve();
    const std::string platform = addresses("platform").http.text();
    std::string entries;
    for (const std::string &entry : m_entriesByZone[zone]) {
        entries += (entries.empty() ? "" : ",") + entry;
    }
    const StringList defaults {"--instance=" + name,
                               "--zone=" + zone,
                               "--listen=" + reserved.http.text(),
                               "--peer-listen=" + reserved.peerOrAdmin.text(),
                               "--entries=" + entries,
                               "--log=" + platform,
                               "--store=" + platform,
                               "--log-level=debug",
                               "--backend=" + addresses(backend).http.text()};
    const StringList commandLine {programPath("greengageseamd"), "--role=agent"};
    start(name, joined(commandLine, overridden(defaults, extra)), reserved);
}

void Fleet::restart(const std::string &name, const StringList &extra)
{
    Member &member = m_members.at(name);
    member.process.reset();
    start(name, overridden(member.commandLine, extra), member.addresses);
}

void Fleet::kill(const std::string &name)
{
    m_members.at(name).process->signal(SIGKILL);
    m_members.at(name).process->wait(defaultTimeout);
}

void Fleet::freeze(const std::string &name)
{
    m_members.at(name).process->signal(SIGSTOP);
}

void Fleet::thaw(const std::string &name)
{
    m_members.at(name).process->signal(SIGCONT);
}

void Fleet::requestStop(const std::string &name)
{
    m_members.at(name).process->signal(SIGTERM);
}

int Fleet::waitForExit(const std::string &name, Duration timeout)
{
    return m_members.at(name).process->wait(timeout);
}

pid_t Fleet::idOf(const std::string &name) const
{
    return m_members.at(name).process->id();
}

const FleetAddresses &Fleet::addresses(const std::string &name) const
{
    return m_members.at(name).addresses;
}

Relay &Fleet::relayTo(const Address &target)
{
    m_relays.push_back(std::make_unique<Relay>(target));
    return *m_relays.back();
}

std::string Fleet::logOf(const std::string &name) const
{
    std::ifstream file(m_folder + "/" + name + ".log");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

Outcome<HttpResponse> Fleet::admin(const std::string &entry, const std::string &method,
                                   const std::string &target, const std::string &body) const
{
    const HttpRequest request {
            method, target, {{"Authorization", "Bearer " + operatorToken}}, body};
    return callOnce(addresses(entry).http, request);
}

int Fleet::accept(const std::string &entry, const StringList &edits) const
{
    json::array array;
    for (const std::string &edit : edits) {
        const std::size_t n = edit.find('=');
        array.push_back(json::object {{"path", edit.substr(0, n)}, {"value", edit.substr(n + 1)}});
    }
    const std::string body = json::serialize(json::object {{"edits", array}});
    const Outcome<HttpResponse> answer = admin(entry, "POST", "/admin/v1/changes", body);
    const auto *response = std::get_if<HttpResponse>(&answer);
    return response == nullptr ? 0 : response->status;
}

json::object Fleet::report(const std::string &entry) const
{
    return parsedBody(admin(entry, "GET", "/admin/v1/report"));
}

std::uint64_t Fleet::offsetOf(const std::string &entry) const
{
    const json::object object = report(entry);
    const json::value *offset = object.if_contains("offset");
    return offset == nullptr ? 0 : offset->to_number<std::uint64_t>();
}

bool Fleet::isReady(const std::string &name) const
{
    const HttpRequest request {"GET", "/readyz", {}, {}};
    const Outcome<HttpResponse> answer = callOnce(addresses(name).http, request);
    const auto *response = std::get_if<HttpResponse>(&answer);
    return response != nullptr && response->status == 200;
}

void Fleet::setFaults(const std::string &name, const json::object &faults,
                      const std::string &service) const
{
    const std::string target = "/faults" + (service.empty() ? "" : "/" + service);
    const HttpRequest request {"POST", target, {}, json::serialize(faults)};
    if (failureOf(callOnce(addresses(name).peerOrAdmin, request)) != nullptr) {
        throw std::runtime_error(name + " does not accept faults");
    }
}

json::object Fleet::counts(const std::string &name) const
{
    const HttpRequest request {"GET", "/counts", {}, {}};
    return parsedBody(callOnce(addresses(name).peerOrAdmin, request));
}

Digest Fleet::publish(const std::string &bytes, std::size_t chunkBytes) const
{
    const Address store = addresses("platform").http;
    std::vector<Chunk> chunks;
    for (std::size_t at = 0; at < bytes.size(); at += chunkBytes) {
        const std::string chunk = bytes.substr(at, chunkBytes);
        chunks.push_back({digestOf(chunk), chunk.size()});
        callOnce(store, {"PUT", "/store/chunks/" + digestOf(chunk).text(), {}, chunk});
    }
    const Manifest manifest(chunks);
    callOnce(store, {"PUT", "/store/manifests/" + manifest.digest().text(), {}, manifest.text()});
    return manifest.digest();
}

Outcome<HttpResponse> Fleet::call(const std::string &entry, const std::string &target,
                                  const std::string &body, const std::string &key,
                                  const std::vector<HttpHeader> &headers) const
{
    HttpRequest request {"POST", target, headers, body};
    request.headers.push_back({"Authorization", "Bearer " + key});
    return callOnce(addresses(entry).http, request);
}

FleetAddresses Fleet::reserve()
{
    std::vector<Address> found;
    for (int n = 0; n < 2; ++n) {
        std::uint16_t port = 0;
        m_reservations.push_back(bindFreePort(port));
        found.emplace_back("127.0.0.1:" + std::to_string(port));
    }
    return {found[0], found[1]};
}

void Fleet::start(const std::string &name, StringList commandLine, const FleetAddresses &addresses)
{
    auto process =
            std::make_unique<Process>(commandLine, m_environment, m_folder + "/" + name + ".log");
    m_members.insert_or_assign(name,
                               Member {std::move(commandLine), addresses, std::move(process)});
    const HttpRequest request {"GET", "/healthz", {}, {}};
    const bool isUp =
            waitUntil([&] { return failureOf(callOnce(addresses.http, request)) == nullptr; });
    if (!isUp) {
        throw std::runtime_error(name + " did not start:\n" + logOf(name));
    }
}

} // namespace greengageseam
