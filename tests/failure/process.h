/**
 * A child process of a test.
 */
#pragma once

#include "core/common/time.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace greengageseam {

/** Starts a program and ends it with its scope. */
class Process
{
public:
    /**
     * @param words the program's path and its arguments
     * @param environment variables as NAME=value
     * @param logFile where its output goes, appended
     */
    Process(const std::vector<std::string> &commandLine,
            const std::vector<std::string> &environment, const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /** Sends a signal. */
    void signal(int number) const;
    /** @returns the exit code, 128 plus the signal that ended it, or -1 if it runs on */
    int wait(Duration timeout);
    /** @returns the process' id */
    pid_t id() const { return m_pid; }

private:
    pid_t m_pid = 0;
    bool m_isReaped = false;
    int m_exitCode = -1;
};

} // namespace greengageseam
