#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <mutex>
#include <netinet/tcp.h>
#include <set>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t readBytes = 65536;
constexpr int backlog = 512;
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

sockaddr_in socketAddress(const std::string &host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(' ');
    return first == std::string::npos ? std::string() : text.substr(first);
}

} // namespace

std::string HttpMessage::field(const std::string &name) const
{
    for (const auto &[key, value] : fields) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

int HttpMessage::status() const
{
    const std::size_t space = firstLine.find(' ');
    return space == std::string::npos
            ? 0
            : static_cast<int>(std::strtol(firstLine.c_str() + space, nullptr, decimal));
}

std::string HttpMessage::target() const
{
    const std::size_t first = firstLine.find(' ');
    const std::size_t second = firstLine.find(' ', first + 1);
    return firstLine.substr(first + 1, second - first - 1);
}

std::string HttpMessage::parameter(const std::string &name) const
{
    const std::string path = target();
    const std::size_t query = path.find('?');
    std::string rest = query == std::string::npos ? "" : "&" + path.substr(query + 1);
    const std::size_t at = rest.find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    rest = rest.substr(at + name.size() + 2);
    return rest.substr(0, rest.find('&'));
}

Connection::Connection(int handle) : m_handle(handle)
{
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    close(m_handle);
}

std::unique_ptr<Connection> Connection::open(const std::string &address)
{
    const std::size_t colon = address.find(':');
    const int port = static_cast<int>(std::strtol(address.c_str() + colon + 1, nullptr, decimal));
    const sockaddr_in peer = socketAddress(address.substr(0, colon), port);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(handle);
    if (connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0) {
        return nullptr;
    }
    return connection;
}

void Connection::setReadTimeout(int milliseconds) const
{
    constexpr int perSecond = 1000;
    const timeval time {milliseconds / perSecond, (milliseconds % perSecond) * perSecond};
    setsockopt(m_handle, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool Connection::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(m_handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

void Connection::shutDown() const
{
    shutdown(m_handle, SHUT_RDWR);
}

bool Connection::fill()
{
    std::string bytes(readBytes, '\0');
    const ssize_t n = recv(m_handle, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
        return false;
    }
    m_buffer.append(bytes, 0, static_cast<std::size_t>(n));
    return true;
}

std::optional<std::string> Connection::takeLine()
{
    std::size_t end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n");
    }
    std::string line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

std::optional<std::string> Connection::takeBytes(std::size_t count)
{
    while (m_buffer.size() < count) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    std::string bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return bytes;
}

std::optional<std::string> Connection::takeChunks()
{
    std::string body;
    while (true) {
        const auto line = takeLine();
        if (!line) {
            return std::nullopt;
        }
        const auto size =
                static_cast<std::size_t>(std::strtoul(line->c_str(), nullptr, hexadecimal));
        const auto bytes = takeBytes(size);
        const auto end = bytes ? takeLine() : std::nullopt;
        if (!end) {
            return std::nullopt;
        }
        if (size == 0) {
            return body;
        }
        body += *bytes;
    }
}

std::optional<HttpMessage> Connection::receive()
{
    HttpMessage message;
    auto line = takeLine();
    if (!line) {
        return std::nullopt;
    }
    message.firstLine = *line;
    for (line = takeLine(); line && !line->empty(); line = takeLine()) {
        const std::size_t colon = std::min(line->find(':'), line->size() - 1);
        message.fields.emplace_back(line->substr(0, colon), trimmed(line->substr(colon + 1)));
    }
    if (!line) {
        return std::nullopt;
    }
    const std::string length = message.field("Content-Length");
    std::optional<std::string> body = std::string();
    if (message.field("Transfer-Encoding") == "chunked") {
        body = takeChunks();
    } else if (!length.empty()) {
        body = takeBytes(std::strtoul(length.c_str(), nullptr, decimal));
    }
    if (!body) {
        return std::nullopt;
    }
    message.body = std::move(*body);
    return message;
}

/** What the threads of a server share. */
struct Server::State
{
    Handler handler;
    int listener = -1;
    std::mutex mutex;
    std::set<int> handles;

    void serve(int handle)
    {
        {
            const std::lock_guard lock(mutex);
            handles.insert(handle);
        }
        Connection connection(handle);
        while (const auto request = connection.receive()) {
            const std::string answer = handler(*request, connection);
            if (answer.empty() || !connection.send(answer)) {
                break;
            }
        }
        const std::lock_guard lock(mutex);
        handles.erase(handle);
    }
};

Server::Server(const std::string &host, Handler handler) : m_state(std::make_shared<State>())
{
    m_state->handler = std::move(handler);
    m_state->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress(host, 0);
    socklen_t size = sizeof(address);
    if (bind(m_state->listener, reinterpret_cast<sockaddr *>(&address), size) != 0
        || listen(m_state->listener, backlog) != 0
        || getsockname(m_state->listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("no free port on " + host);
    }
    m_address = host + ":" + std::to_string(ntohs(address.sin_port));
    std::thread([state = m_state] {
        while (true) {
            const int handle = accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle >= 0) {
                std::thread([state, handle] { state->serve(handle); }).detach();
            }
        }
    }).detach();
}

void Server::dropConnections()
{
    const std::lock_guard lock(m_state->mutex);
    for (const int handle : m_state->handles) {
        shutdown(handle, SHUT_RDWR);
    }
}

std::string response(const std::string &status, const std::string &extraFields,
                     const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + extraFields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int freePorts(const std::vector<std::string> &hosts, int count)
{
    constexpr int lowest = 21000;
    constexpr int highest = 31000;
    const int start = lowest + getpid() * count % (highest - lowest);
    for (int base = start; base < highest + lowest; base += count) {
        bool isFree = true;
        for (const std::string &host : hosts) {
            for (int n = 0; n < count && isFree; ++n) {
                const sockaddr_in address = socketAddress(host, base + n);
                const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                isFree = bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                        == 0;
                close(handle);
            }
        }
        if (isFree) {
            return base;
        }
    }
    throw std::runtime_error("no free ports");
}

} // namespace review
