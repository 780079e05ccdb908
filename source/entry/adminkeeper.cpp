#include "entry/adminkeeper.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 1024;
constexpr std::size_t maxWaiting = 1024;

} // namespace

AdminKeeper::AdminKeeper(const asio::any_io_executor &executor)
    : m_executor(executor), m_mailbox(makeMailbox<AdminCommand>(executor, mailboxCapacity))
{ }

void AdminKeeper::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> AdminKeeper::run()
{
    while (std::optional<AdminCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void AdminKeeper::apply(const ConfigView &command)
{
    m_view.config = command;
    if (!command.isReady()) {
        return;
    }
    std::erase_if(m_waiting, [&](const VerdictAsked &waiting) {
        const Verdict *verdict = command.state->verdictOn(waiting.change);
        return verdict != nullptr && (waiting.reply->post(*verdict), true);
    });
}

void AdminKeeper::apply(const FleetView &command)
{
    m_view.fleet = command;
}

void AdminKeeper::apply(const LogHealth &command)
{
    m_view.logAnswers = command.answers;
}

void AdminKeeper::apply(const AdminViewAsked &command)
{
    command.reply->post(m_view);
}

void AdminKeeper::apply(const VerdictAsked &command)
{
    const Verdict *verdict = nullptr;
    if (m_view.config.isReady()) {
        verdict = m_view.config.state->verdictOn(command.change);
    }
    if (verdict != nullptr) {
        command.reply->post(*verdict);
        return;
    }
    if (m_waiting.size() == maxWaiting) {
        m_waiting.erase(m_waiting.begin());
    }
    m_waiting.push_back(command);
}

} // namespace greengageseam
