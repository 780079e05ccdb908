/**
 * An entry on the platform that runs as a process of its own.
 */
#pragma once

#include "core/common/ids.h"
#include "process.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace greengageseam {

/** Starts `greengageseam-fleetd entry` on free loopback ports; the destructor kills it. */
class EdgeProcess
{
public:
    /**
     * @param context used to look for free ports
     * @param store address of the platform's store
     * @param settings further lines of the settings file, which override the defaults
     */
    EdgeProcess(boost::asio::io_context &context, const Address &store,
                const std::string &settings = {});
    ~EdgeProcess();
    EdgeProcess(const EdgeProcess &) = delete;
    EdgeProcess &operator=(const EdgeProcess &) = delete;

    const Address &frontAddress() const { return m_frontAddress; }
    const Address &readyAddress() const { return m_readyAddress; }
    /** @returns the address at which the entry serves its metrics */
    const Address &metricsAddress() const { return m_metricsAddress; }
    /** @returns the address at which the entry accepts links of other processes */
    const Address &peerAddress() const { return m_peerAddress; }
    /** @returns the process id */
    pid_t id() const { return m_process->id(); }
    void signal(int number) const { m_process->signal(number); }
    /** @returns the exit code, or -1 if the process still runs */
    int exitCode() { return m_process->wait(Duration::zero()); }
    /** @returns the lines of its log so far that contain a text */
    std::string logLines(const std::string &text) const;

private:
    Address m_frontAddress;
    Address m_readyAddress;
    Address m_metricsAddress;
    Address m_peerAddress;
    /** Path of the settings file and the log, without their suffixes. */
    std::string m_path;
    std::unique_ptr<Process> m_process;
};

} // namespace greengageseam
