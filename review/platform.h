/**
 * Stand-in for the platform: its metadata store, and the starting and killing of processes.
 */
#pragma once

#include "net.h"

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <sys/types.h>

namespace review {

/** @returns seconds since the start of the case */
double now();
/** Waits for a time in seconds. */
void wait(double seconds);

/** Writes the record of a case, one line for each event with its time. */
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path) { }
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/** The store: topics of keyed records, which are only appended to. */
class Store
{
public:
    Store();

    const std::string &address() const { return m_server.address(); }
    /** @param value the new value; empty to delete the record */
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /** While the machines are cut off, whatever they send is lost, and so are the answers. */
    void cutOff(bool isCut);

private:
    std::string handle(const HttpMessage &request);
    std::string answer(const HttpMessage &request);
    std::string newest(const std::string &topic);
    std::string tail(const std::string &topic, std::size_t from, int waitMs);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isCut = false;
    std::atomic<int> m_cuts = 0;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> m_topics;
    Server m_server;
};

/** What the settings file of a process says, apart from what is the same for all. */
struct NodeSpec
{
    std::string role;
    std::string name;
    std::string ip;
    std::string store;
    int firstPort = 0;
    /** Address and service of the replica beside an agent. */
    std::string app;
    std::string service;
};

/** Limit on the memory of an entry, as in the deployment's settings. */
constexpr long entryMemoryMb = 260;
/** Offset of the port for callers, and of the one for the readiness probe, from the first port. */
constexpr int frontOffset = 20;
constexpr int readyOffset = 21;
/** Number of consecutive ports that the processes of a case need on each of their addresses. */
constexpr int portsNeeded = 24;

/**
 * A process of the project, started with the command of the deploy file. It is killed at the end,
 * or when the case itself ends.
 */
class Node
{
public:
    Node(NodeSpec spec, std::string folder);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();
    /** SIGKILL, as when the machine loses power. */
    void kill();
    void signal(int number) const;
    /** @returns whether the readiness probe is answered with 200 before the time is over */
    bool waitUntilReady(double seconds) const;
    /** @returns the memory that the process has in use, in kB */
    long residentKb() const;
    std::string frontAddress() const;
    pid_t id() const { return m_pid; }

private:
    std::string address(int offset) const;

    NodeSpec m_spec;
    std::string m_folder;
    pid_t m_pid = 0;
};

/** @returns whether the disruption is to be made: TROUBLE is not 0 */
bool hasTrouble();

/** Exit codes of a case. */
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRun = 2;

/** Kills the children and ends the process, without waiting for threads of stand-ins. */
[[noreturn]] void finish(int code);

} // namespace review
