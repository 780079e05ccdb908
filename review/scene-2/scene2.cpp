#include "scene2.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace review {

namespace {

constexpr int callTimeoutS = 4;
constexpr int readyAttempts = 200;
constexpr int readyPauseMs = 50;
/** Below the range from which the kernel takes ports for connections. */
constexpr int firstFreePort = 12000;
constexpr int lastFreePort = 31000;
constexpr int portAttempts = 1000;
constexpr std::size_t readBytes = 64 * 1024;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

std::uint16_t portOf(int descriptor)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/** @returns whether a port of loopback is free */
bool canBind(int type, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    const int result = ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    ::close(descriptor);
    return result == 0;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    static const std::string digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            const unsigned byte =
                    i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U;
            group = group << 8U | byte;
        }
        for (std::size_t k = 0; k < 4; ++k) {
            const bool isPadding = i + k > bytes.size();
            text += isPadding ? '=' : digits[group >> (18U - 6U * k) & 63U];
        }
    }
    return text;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::stringstream rest(mark == std::string::npos ? std::string() : target.substr(mark + 1));
    for (std::string part; std::getline(rest, part, '&');) {
        const std::size_t n = part.find('=');
        query[part.substr(0, n)] = n == std::string::npos ? std::string() : part.substr(n + 1);
    }
    return query;
}

std::ofstream &recordFile()
{
    static std::ofstream file;
    return file;
}

std::mutex &recordMutex()
{
    static std::mutex mutex;
    return mutex;
}

} // namespace

std::string Message::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::string Message::word(std::size_t position) const
{
    std::stringstream words(firstLine);
    std::string word;
    for (std::size_t i = 0; i <= position; ++i) {
        words >> word;
    }
    return word;
}

int Message::status() const
{
    return std::atoi(word(1).c_str());
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

void Connection::shutDown() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

bool Connection::fill()
{
    std::string bytes(readBytes, '\0');
    const ssize_t n = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
        return false;
    }
    m_unread.append(bytes, 0, static_cast<std::size_t>(n));
    return true;
}

std::optional<Message> Connection::read(bool isResponse)
{
    std::size_t end = m_unread.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
        end = m_unread.find("\r\n\r\n");
    }
    Message message;
    std::stringstream head(m_unread.substr(0, end));
    m_unread.erase(0, end + 4);
    std::getline(head, message.firstLine);
    for (std::string line; std::getline(head, line);) {
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const std::size_t from = line.find_first_not_of(' ', colon + 1);
        const std::size_t to = line.find_last_not_of("\r ");
        message.headers[name] =
                from == std::string::npos ? std::string() : line.substr(from, to + 1 - from);
    }
    const bool isChunked = message.header("transfer-encoding") == "chunked";
    if (isResponse && isChunked) {
        while (m_unread.find("\r\n0\r\n\r\n") == std::string::npos && fill()) { }
        message.body = m_unread;
        return message;
    }
    const auto length =
            static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
    while (m_unread.size() < length) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    message.body = m_unread.substr(0, length);
    m_unread.erase(0, length);
    return message;
}

bool Connection::write(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n =
                ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

Server::Server(Handler handler) : m_handler(std::move(handler)) { }

Server::~Server()
{
    close();
}

void Server::open()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    ::bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    ::listen(listener, SOMAXCONN);
    m_port = portOf(listener);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_listener = listener;
    ++m_threads;
    std::thread([this, listener] { acceptLoop(listener); }).detach();
}

void Server::close()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_listener >= 0) {
        ::shutdown(m_listener, SHUT_RDWR);
    }
    for (const Connection *connection : m_connections) {
        connection->shutDown();
    }
    m_ended.wait(lock, [this] { return m_threads == 0; });
}

void Server::acceptLoop(int listener)
{
    while (true) {
        const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            break;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_threads;
        std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    ::close(listener);
    m_listener = -1;
    --m_threads;
    m_ended.notify_all();
}

void Server::serve(int descriptor)
{
    {
        Connection connection(descriptor);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_connections.insert(&connection);
        }
        while (const std::optional<Message> message = connection.read(false)) {
            const std::string answer = m_handler(*message);
            if (answer.empty() || !connection.write(answer)) {
                break;
            }
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.erase(&connection);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_threads;
    m_ended.notify_all();
}

void StoreData::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_topics[topic].push_back({key, value});
    m_changed.notify_all();
}

std::string StoreData::answer(const Message &call)
{
    const std::string target = call.word(1);
    auto query = queryOf(target);
    const std::string fields = "Content-Type: application/json\r\nStore-Era: 1\r\n";
    if (target.starts_with("/-/log-newest")) {
        return answerOf(200, fields, newest(query["topic"]));
    }
    if (target.starts_with("/-/log-read")) {
        const auto from = static_cast<std::size_t>(std::atoll(query["from"].c_str()));
        return answerOf(200, fields,
                        tail(query["topic"], from, std::atoi(query["waitMs"].c_str())));
    }
    return answerOf(404, fields, "{}");
}

std::string StoreData::newest(const std::string &topic)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::vector<Record> &records = m_topics[topic];
    std::map<std::string, std::pair<std::string, std::size_t>> values;
    for (std::size_t i = 0; i < records.size(); ++i) {
        values[records[i].key] = {records[i].value, i};
    }
    std::string items;
    for (const auto &[key, value] : values) {
        if (value.first.empty()) {
            continue;
        }
        items += items.empty() ? "" : ",";
        items += R"({"key":")" + key + R"(","value":")" + base64(value.first) + R"(","offset":)"
                + std::to_string(value.second) + "}";
    }
    return R"({"items":[)" + items + R"(],"hasMore":false,"end":)" + std::to_string(records.size())
            + "}";
}

std::string StoreData::tail(const std::string &topic, std::size_t from, int waitMs)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::vector<Record> &records = m_topics[topic];
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs),
                       [&] { return records.size() > from; });
    std::string bytes = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
        const std::string content =
                bigEndian(records[i].key.size(), 1) + records[i].key + records[i].value;
        bytes += bigEndian(content.size(), 4) + content;
    }
    return bytes;
}

Process::Process(std::vector<std::string> command, std::vector<std::string> environment,
                 std::string logPath)
{
    std::vector<char *> arguments;
    std::vector<char *> variables;
    for (std::string &argument : command) {
        arguments.push_back(argument.data());
    }
    for (std::string &variable : environment) {
        variables.push_back(variable.data());
    }
    arguments.push_back(nullptr);
    variables.push_back(nullptr);
    m_id = ::fork();
    if (m_id == 0) {
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(arguments.front(), arguments.data(), variables.data());
        ::_exit(127);
    }
}

Process::~Process()
{
    ::kill(m_id, SIGKILL);
    ::waitpid(m_id, nullptr, 0);
}

void Process::signal(int number) const
{
    ::kill(m_id, number);
}

std::uint16_t freePorts(std::uint16_t count)
{
    static std::mt19937 random(std::random_device {}());
    std::uniform_int_distribution<int> ports(firstFreePort, lastFreePort);
    for (int attempt = 0; attempt < portAttempts; ++attempt) {
        const auto first = static_cast<std::uint16_t>(ports(random));
        bool isFree = true;
        for (std::uint16_t n = 0; n < count && isFree; ++n) {
            const auto port = static_cast<std::uint16_t>(first + n);
            isFree = canBind(SOCK_STREAM, port) && canBind(SOCK_DGRAM, port);
        }
        if (isFree) {
            return first;
        }
    }
    return 0;
}

std::int64_t elapsedMs()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - begin)
            .count();
}

void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void openRecord(const std::string &path)
{
    recordFile().open(path, std::ios::trunc);
}

void record(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(recordMutex());
    const std::string text = std::to_string(elapsedMs()) + " ms  " + line;
    recordFile() << text << std::endl;
    std::cout << text << std::endl;
}

std::optional<Message> call(const std::string &address, const std::string &request)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    Connection connection(descriptor);
    const timeval timeout {callTimeoutS, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    const std::string port = address.substr(address.find(':') + 1);
    sockaddr_in peer = loopback(static_cast<std::uint16_t>(std::atoi(port.c_str())));
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&peer), sizeof(peer)) != 0
        || !connection.write(request)) {
        return std::nullopt;
    }
    return connection.read(true);
}

std::string answerOf(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool awaitReady(const std::string &readyAddress)
{
    for (int i = 0; i < readyAttempts; ++i) {
        const auto answer = call(readyAddress, "GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n");
        if (answer && answer->status() == 200) {
            return true;
        }
        sleepMs(readyPauseMs);
    }
    return false;
}

} // namespace review
