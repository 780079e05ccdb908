#include "crowd.h"

#include "net/endpoint.h"
#include "protocol/framecodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>

namespace greengageseam {

const std::string chunkedField = "Transfer-Encoding: chunked\r\n";

namespace {

constexpr std::size_t pieceBytes = 64UL * 1024;

std::string folderOf(pid_t id)
{
    return "/proc/" + std::to_string(id);
}

} // namespace

struct CallerCrowd::Member
{
    explicit Member(const asio::any_io_executor &executor) : socket(executor) { }

    static Awaitable<void> play(std::shared_ptr<Member> member, Address address,
                                std::shared_ptr<const CallerScript> script);

    asio::ip::tcp::socket socket;
    /** Whether everything was sent, or the connection was closed. */
    bool isDone = false;
};

Awaitable<void> CallerCrowd::Member::play(std::shared_ptr<Member> member, Address address,
                                          std::shared_ptr<const CallerScript> script)
{
    const auto endpoint = toOutcome([&] { return parseEndpoint(address); });
    auto [ec] = co_await member->socket.async_connect(std::get<asio::ip::tcp::endpoint>(endpoint),
                                                      asTuple);
    if (!ec) {
        auto [error, n] =
                co_await asio::async_write(member->socket, asio::buffer(script->opening), asTuple);
        ec = error;
    }
    std::size_t sent = 0;
    while (!ec && sent < script->repeatedBytes && !script->repeated.empty()) {
        const std::size_t size = std::min(script->repeated.size(), script->repeatedBytes - sent);
        auto [error, n] = co_await asio::async_write(
                member->socket, asio::buffer(script->repeated.data(), size), asTuple);
        ec = error;
        sent += n;
    }
    member->isDone = true;
}

std::string pieceOf(const std::string &text)
{
    std::string piece;
    while (piece.size() + text.size() <= pieceBytes) {
        piece += text;
    }
    return piece;
}

std::string lengthField(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::string frameHeader(std::size_t bytes)
{
    std::string header;
    for (std::size_t n = frameHeaderBytes; n > 0; --n) {
        header.push_back(static_cast<char>(bytes >> (8 * (n - 1)) & 0xffU));
    }
    return header;
}

void CallerCrowd::add(std::size_t callers, const Address &address, const CallerScript &script)
{
    const auto shared = std::make_shared<const CallerScript>(script);
    for (std::size_t n = 0; n < callers; ++n) {
        m_members.push_back(std::make_shared<Member>(m_context.get_executor()));
        asio::co_spawn(m_context, Member::play(m_members.back(), address, shared), asio::detached);
    }
}

bool CallerCrowd::isDone() const
{
    return std::all_of(m_members.begin(), m_members.end(),
                       [](const auto &member) { return member->isDone; });
}

std::size_t peakMemoryKb(pid_t id)
{
    const std::string field = "VmHWM:";
    std::ifstream file(folderOf(id) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(field)) {
            return std::stoul(line.substr(field.size()));
        }
    }
    return 0;
}

std::size_t openSockets(pid_t id)
{
    std::size_t count = 0;
    std::error_code ec;
    for (const auto &it : std::filesystem::directory_iterator(folderOf(id) + "/fd", ec)) {
        std::error_code ignored;
        const std::string target = std::filesystem::read_symlink(it.path(), ignored).string();
        count += target.starts_with("socket:") ? 1 : 0;
    }
    return count;
}

} // namespace greengageseam
