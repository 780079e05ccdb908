/**
 * What the scripts of the second review share: a store, a backend server and a caller that follow
 * the users' pages, and the processes under test. One thread serves each connection.
 */
#pragma once

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

using Headers = std::map<std::string, std::string>;

/** A message of HTTP/1.1. The first line is kept as it is; names of headers are in lower case. */
struct Message
{
    std::string firstLine;
    Headers headers;
    std::string body;

    std::string header(const std::string &name) const;
    /** @returns the word of the first line at a position */
    std::string word(std::size_t position) const;
    int status() const;
};

/** A connected socket with its unread bytes. */
class Connection
{
public:
    explicit Connection(int descriptor) : m_descriptor(descriptor) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** @returns the next message with its body; empty if the connection ended before */
    std::optional<Message> read(bool isResponse);
    bool write(const std::string &bytes) const;
    void shutDown() const;

private:
    bool fill();

    int m_descriptor;
    std::string m_unread;
};

/** Accepts connections on a free loopback port, and closes all of them with the listener. */
class Server
{
public:
    /** Answers one message. @returns the bytes of the answer; empty to close the connection */
    using Handler = std::function<std::string(const Message &)>;

    explicit Server(Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** Starts to listen. */
    void open();
    /** Stops to listen, and closes the connections. */
    void close();
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void acceptLoop(int listener);
    void serve(int descriptor);

    Handler m_handler;
    std::mutex m_mutex;
    std::set<Connection *> m_connections;
    std::condition_variable m_ended;
    int m_listener = -1;
    int m_threads = 0;
    std::uint16_t m_port = 0;
};

/** The topics of the platform's store, which outlive the server at which they are read. */
class StoreData
{
public:
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /** Answers a call of an instance. */
    std::string answer(const Message &call);

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    std::string newest(const std::string &topic);
    std::string tail(const std::string &topic, std::size_t from, int waitMs);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Record>> m_topics;
};

/** A process under test, which is killed with its object. */
class Process
{
public:
    Process(std::vector<std::string> command, std::vector<std::string> environment,
            std::string logPath);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;

private:
    pid_t m_id = -1;
};

/** @returns the first of a number of consecutive ports that are free on loopback */
std::uint16_t freePorts(std::uint16_t count);
/** @returns milliseconds since the first call */
std::int64_t elapsedMs();
void sleepMs(int ms);
/** Writes a line to the record of the case, and to the standard output. */
void record(const std::string &line);
/** Opens the file that record() writes to. */
void openRecord(const std::string &path);
/** @returns the answer to a request; empty if there was none within its time */
std::optional<Message> call(const std::string &address, const std::string &request);
/** @returns the bytes of an answer */
std::string answerOf(int status, const std::string &fields, const std::string &body);
/** Waits until an instance says that it is ready. @returns whether it did so in time */
bool awaitReady(const std::string &readyAddress);

} // namespace review
