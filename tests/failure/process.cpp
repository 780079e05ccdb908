#include "process.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace greengageseam {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(5);
constexpr int signalBase = 128;

std::vector<char *> pointersTo(const std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (const std::string &text : texts) {
        pointers.push_back(const_cast<char *>(text.c_str()));
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

std::string programPath(const std::string &name)
{
    return std::string(GGS_BIN_FOLDER) + "/" + name;
}

Process::Process(const std::vector<std::string> &commandLine,
                 const std::vector<std::string> &environment, const std::string &logFile)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), flags, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char *> arguments = pointersTo(commandLine);
    std::vector<char *> variables = pointersTo(environment);
    const int failed = posix_spawn(&m_pid, arguments.front(), &actions, nullptr, arguments.data(),
                                   variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + commandLine.front());
    }
}

Process::~Process()
{
    if (!m_isReaped) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void Process::signal(int number) const
{
    if (!m_isReaped) {
        ::kill(m_pid, number);
    }
}

int Process::wait(Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!m_isReaped) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_isReaped = true;
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
        } else if (std::chrono::steady_clock::now() >= deadline) {
            return -1;
        } else {
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return m_exitCode;
}

} // namespace greengageseam
