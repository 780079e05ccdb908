/**
 * Real processes on loopback for failure tests: starts them, hurts them, asks them.
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

/** Command-line words. */
using StringList = std::vector<std::string>;

/** Where a process of the fleet is reached. */
struct FleetAddresses
{
    /** HTTP of the system; for stand-ins, where the system reaches them. */
    Address http;
    /** Links of the system; for stand-ins, the admin port. */
    Address peerOrAdmin;

    auto operator<=>(const FleetAddresses &) const = default;
};

/** How long tests wait for what has to happen; far more than it takes. */
constexpr auto defaultTimeout = std::chrono::seconds(30);

/** Token that counts as an operator's in a fleet. */
extern const std::string operatorToken;

/** Waits for a condition. @returns false if it does not hold within the limit */
bool waitUntil(const std::function<bool()> &condition, Duration timeout = defaultTimeout);

/** Makes one HTTP call and waits for its whole answer. */
Outcome<HttpResponse> callOnce(const Address &address, const HttpRequest &request,
                               Duration timeout = defaultTimeout);

/** The processes of one test. All are ended when it goes out of scope. */
class Fleet
{
public:
    Fleet();
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Starts the platform's stand-in, called `platform`. */
    void startPlatform(const StringList &extra = {});
    /** Starts a stand-in of an engine. */
    void startEngine(const std::string &name, const StringList &extra = {});
    /** Starts a stand-in of a plain service. */
    void startService(const std::string &name, const StringList &extra = {});
    /** Starts an entry. @param extra further flags; a flag given here goes before the default */
    void startEntry(const std::string &name, const std::string &zone, const StringList &extra = {});
    /** Starts an agent for a backend server; it beats to all entries of its zone so far. */
    void startAgent(const std::string &name, const std::string &zone, const std::string &backend,
                    const StringList &extra = {});

    /** Starts a process again that has ended, with the same words and ports. */
    void restart(const std::string &name, const StringList &extra = {});
    /** Ends a process at once (SIGKILL). */
    void kill(const std::string &name);
    /** Stops a process' time (SIGSTOP). */
    void freeze(const std::string &name);
    /** Lets a frozen process go on (SIGCONT). */
    void thaw(const std::string &name);
    /** Asks a process to shut down (SIGTERM) without waiting. */
    void requestStop(const std::string &name);
    /** @returns the exit code of a process that was asked to stop; -1 if it does not end */
    int waitForExit(const std::string &name, Duration timeout = defaultTimeout);

    /** @returns where a process is reached */
    const FleetAddresses &addresses(const std::string &name) const;
    /** @returns a relay to a target, which can be cut and delayed; it lives as long as the fleet */
    Relay &relayTo(const Address &target);
    /** @returns the log lines of a process so far */
    std::string logOf(const std::string &name) const;

    /** Calls the administration API of an entry as an operator. */
    Outcome<HttpResponse> admin(const std::string &entry, const std::string &method,
                                const std::string &target, const std::string &body = {}) const;
    /** Accepts edits, each `path=value`. @returns the HTTP status, 0 without an answer */
    int accept(const std::string &entry, const StringList &edits) const;
    /** @returns the report of an entry; empty if it does not answer */
    boost::json::object report(const std::string &entry) const;
    /** @returns the applied offset at an entry; 0 if it does not answer */
    std::uint64_t offsetOf(const std::string &entry) const;
    /** @returns whether `/readyz` of an entry or agent says ready */
    bool isReady(const std::string &name) const;
    /** Switches faults of a stand-in. @param service `log`, `store` or `list` of the platform */
    void setFaults(const std::string &name, const boost::json::object &faults,
                   const std::string &service = {}) const;
    /** @returns what a stand-in counted */
    boost::json::object counts(const std::string &name) const;
    /** Stores weights at the platform. @returns the manifest's digest */
    Digest publish(const std::string &bytes, std::size_t chunkBytes) const;
    /** Sends a caller's request. */
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
    void start(const std::string &name, StringList commandLine, const FleetAddresses &addresses);

    std::string m_folder;
    /** Bound but not listening, so that no other process is given these ports. */
    std::vector<int> m_reservations;
    std::map<std::string, Member> m_members;
    std::map<std::string, StringList> m_entriesByZone;
    std::vector<std::unique_ptr<Relay>> m_relays;
};

} // namespace greengageseam
