/**
 * Test fixture that runs a fleet of real processes on loopback. Tests can kill, freeze and restart
 * the processes, inject faults, and query them.
 */
#pragma once

#include "core/common/common.h"
#include "net/http.h"
#include "process.h"
#include "relay.h"

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace greengageseam {

/** Command-line arguments, or edits of the form `path=value`. */
using StringList = std::vector<std::string>;

/** Addresses of a process of the fleet. */
struct FleetAddresses
{
    /** HTTP address; for stand-ins, the address that the system connects to. */
    Address http;
    /** Address for links between processes; for stand-ins, the admin port. */
    Address peerOrAdmin;

    auto operator<=>(const FleetAddresses &) const = default;
};

/** Default timeout for conditions that must occur; far longer than they normally take. */
constexpr auto defaultTimeout = std::chrono::seconds(30);

/** Token of the operator in every fleet. */
extern const std::string operatorToken;

/** Waits for a condition. @returns false if the condition is not met within the timeout */
bool waitUntil(const std::function<bool()> &condition, Duration timeout = defaultTimeout);

/** Sends one HTTP request and waits for the complete response. */
Outcome<HttpResponse> callOnce(const Address &address, const HttpRequest &request,
                               Duration timeout = defaultTimeout);

/** The processes of one test. The destructor kills all of them. */
class Fleet
{
public:
    /** @param environment variables of all processes, in the form NAME=value */
    explicit Fleet(StringList environment = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Starts the stand-in of the platform under the name `platform`. */
    void startPlatform(const StringList &extra = {});
    /** Starts a stand-in of an engine. @param extra further flags */
    void startEngine(const std::string &name, const StringList &extra = {});
    /** Starts a stand-in of a plain service. @param extra further flags */
    void startService(const std::string &name, const StringList &extra = {});
    /** Starts an entry. @param extra further flags, which override the defaults */
    void startEntry(const std::string &name, const std::string &zone, const StringList &extra = {});
    /**
     * Starts an agent for a backend server. The agent sends heartbeats to all entries of its zone
     * that have been started before.
     * @param backend name of the engine or service
     * @param extra further flags, which override the defaults
     */
    void startAgent(const std::string &name, const std::string &zone, const std::string &backend,
                    const StringList &extra = {});

    /**
     * Starts a process again with the same arguments and ports. A process that still runs is killed
     * first.
     * @param extra flags that override the previous ones
     */
    void restart(const std::string &name, const StringList &extra = {});
    /** Kills a process (SIGKILL) and waits until it has ended. */
    void kill(const std::string &name);
    /** Suspends a process (SIGSTOP). */
    void freeze(const std::string &name);
    /** Resumes a suspended process (SIGCONT). */
    void thaw(const std::string &name);
    /** Requests graceful shutdown of a process (SIGTERM) without waiting for it. */
    void requestStop(const std::string &name);
    /** @returns the exit code of a process, or -1 if it does not end within the timeout */
    int waitForExit(const std::string &name, Duration timeout = defaultTimeout);

    /** @returns the process id of a process */
    pid_t idOf(const std::string &name) const;
    /** @returns the addresses of a process */
    const FleetAddresses &addresses(const std::string &name) const;
    /** Creates a relay to a target. It exists as long as the fleet. @see Relay */
    Relay &relayTo(const Address &target);
    /** @returns the output of a process so far */
    std::string logOf(const std::string &name) const;

    /** Sends a request to the administration API of an entry, with the operator's token. */
    Outcome<HttpResponse> admin(const std::string &entry, const std::string &method,
                                const std::string &target, const std::string &body = {}) const;
    /**
     * Submits a change of the configuration.
     * @param edits edits of the form `path=value`
     * @returns the HTTP status, or 0 if there was no response
     */
    int accept(const std::string &entry, const StringList &edits) const;
    /** @returns the report of an entry; empty if it does not respond */
    boost::json::object report(const std::string &entry) const;
    /** @returns the log offset that an entry has applied; 0 if it does not respond */
    std::uint64_t offsetOf(const std::string &entry) const;
    /** @returns whether `/readyz` of an entry or agent reports ready */
    bool isReady(const std::string &name) const;
    /**
     * Injects or clears faults of a stand-in.
     * @param faults members as in Faults::with()
     * @param service `log`, `store` or `list` for the platform, empty for other stand-ins
     */
    void setFaults(const std::string &name, const boost::json::object &faults,
                   const std::string &service = {}) const;
    /** @returns the counters of a stand-in */
    boost::json::object counts(const std::string &name) const;
    /** Uploads weights to the platform's store. @returns the digest of the manifest */
    Digest publish(const std::string &bytes, std::size_t chunkBytes) const;
    /** Sends a request to an entry as a caller with the given API key. */
    Outcome<HttpResponse> call(const std::string &entry, const std::string &target,
                               const std::string &body, const std::string &key,
                               const std::vector<HttpHeader> &headers = {}) const;

private:
    struct Member
    {
        StringList commandLine;
        FleetAddresses addresses;
        std::unique_ptr<Process> process;
    };

    FleetAddresses reserve();
    void startStandin(const std::string &name, const std::string &kind, const StringList &extra);
    void start(const std::string &name, StringList commandLine, const FleetAddresses &addresses);

    StringList m_environment;
    std::string m_folder;
    /** Sockets that are bound but not listening, so that no other process gets these ports. */
    std::vector<int> m_reservations;
    std::map<std::string, Member> m_members;
    std::map<std::string, StringList> m_entriesByZone;
    std::vector<std::unique_ptr<Relay>> m_relays;
};

} // namespace greengageseam
