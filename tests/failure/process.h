/**
 * Child process of a test.
 */
#pragma once

#include "core/common/time.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace greengageseam {

/** @returns the path of a program of this project */
std::string programPath(const std::string &name);

/** Starts a program; the destructor kills it if it still runs. */
class Process
{
public:
    /**
     * @param commandLine path of the program and its arguments
     * @param environment environment variables in the form NAME=value
     * @param logFile file to which the standard output and error are appended
     */
    Process(const std::vector<std::string> &commandLine,
            const std::vector<std::string> &environment, const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /** Sends a signal, unless the process has already been waited for. */
    void signal(int number) const;
    /**
     * Waits for the process to end.
     * @returns the exit code, 128 plus the number of the signal that killed the process, or -1 if
     * it still runs after the timeout
     */
    int wait(Duration timeout);
    /** @returns the process id */
    pid_t id() const { return m_pid; }

private:
    pid_t m_pid = 0;
    bool m_isReaped = false;
    int m_exitCode = -1;
};

} // namespace greengageseam
