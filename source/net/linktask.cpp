#include "net/linktask.h"

#include "protocol/framecodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t commandCapacity = 4096;
constexpr auto writeTimeout = std::chrono::seconds(15);
/** The accepting end of a link numbers the streams that it opens above this value. */
constexpr StreamId firstAcceptorStream = StreamId {1} << 48;

} // namespace

LinkTask::LinkTask(LinkSocket socket, PeerLinkHandle handle, MailboxPtr<LinkCommand> commands,
                   LinkHooks hooks, Log log)
    : m_socket(std::move(socket)), m_handle(std::move(handle)), m_commands(std::move(commands)),
      m_hooks(std::move(hooks)), m_log(std::move(log))
{ }

void LinkTask::start()
{
    const auto executor = m_socket->get_executor();
    asio::co_spawn(
            executor, [self = shared_from_this()] { return self->readLoop(); }, asio::detached);
    asio::co_spawn(
            executor, [self = shared_from_this()] { return self->commandLoop(); }, asio::detached);
}

Awaitable<void> LinkTask::readLoop()
{
    while (!m_isClosed) {
        Outcome<StreamMessage> frame = co_await readFrame(m_socket);
        if (const Failure *failure = failureOf(frame)) {
            closeLink(failure->detail);
            co_return;
        }
        deliver(std::move(std::get<StreamMessage>(frame)));
    }
}

void LinkTask::deliver(StreamMessage message)
{
    const auto it = m_streams.find(message.stream);
    if (it == m_streams.end()) {
        m_hooks.onMessage(m_handle, std::move(message));
        return;
    }
    if (!it->second->isOpen()) {
        // The owner has finished, but its command to unsubscribe has not arrived yet.
        m_streams.erase(it);
    } else if (!it->second->post(StreamEvent(std::move(message.message)))) {
        closeLink("the peer exceeded the flow-control window of a stream");
    }
}

Awaitable<void> LinkTask::commandLoop()
{
    while (!m_isClosed) {
        std::optional<LinkCommand> command = co_await m_commands->receive();
        if (!command || m_isClosed) {
            break;
        }
        const auto *send = std::get_if<SendOnLink>(&*command);
        if (send == nullptr) {
            apply(*command);
            continue;
        }
        std::string bytes = encodeFrame(send->message);
        co_await write(std::move(bytes));
    }
    closeLink("the command queue of the link is closed");
}

Awaitable<void> LinkTask::write(std::string bytes)
{
    m_socket->expires_after(writeTimeout);
    auto [ec, n] = co_await asio::async_write(*m_socket, asio::buffer(bytes), asTuple);
    m_socket->expires_never();
    if (ec) {
        closeLink("writing to the peer failed or timed out");
    }
}

void LinkTask::apply(const LinkCommand &command)
{
    if (const auto *listen = std::get_if<SubscribeStream>(&command)) {
        m_streams.insert_or_assign(listen->stream, listen->mailbox);
    } else if (const auto *forget = std::get_if<UnsubscribeStream>(&command)) {
        m_streams.erase(forget->stream);
    } else if (const auto *close = std::get_if<CloseLink>(&command)) {
        closeLink(close->reason);
    } else if (const auto *finish = std::get_if<FinishLink>(&command)) {
        m_finishReply = finish->reply;
        boost::beast::error_code ec;
        m_socket->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    }
}

void LinkTask::closeLink(const std::string &reason)
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_log.debug("link.ended", {{"peer", m_handle.peer().instance.text()}, {"reason", reason}});
    m_socket->close();
    m_commands->close();
    const LinkClosed closed {reason};
    dropCommands(closed);
    for (const auto &[stream, mailbox] : m_streams) {
        mailbox->post(StreamEvent(closed));
        mailbox->close();
    }
    m_streams.clear();
    if (m_finishReply) {
        m_finishReply->post(LinkFinished {});
    }
    m_hooks.onClosed(m_handle, closed);
}

/** Notifies the senders of commands that are still queued that the link has closed. */
void LinkTask::dropCommands(const LinkClosed &closed)
{
    asio::co_spawn(
            m_socket->get_executor(),
            [self = shared_from_this(), closed] { return self->drainCommands(closed); },
            asio::detached);
}

Awaitable<void> LinkTask::drainCommands(LinkClosed closed)
{
    while (std::optional<LinkCommand> command = co_await m_commands->receive()) {
        if (const auto *listen = std::get_if<SubscribeStream>(&*command)) {
            listen->mailbox->post(StreamEvent(closed));
            listen->mailbox->close();
        } else if (const auto *finish = std::get_if<FinishLink>(&*command)) {
            finish->reply->post(LinkFinished {});
        }
    }
}

PeerLinkHandle startLink(LinkSocket socket, const HelloMessage &peer, const LinkHooks &hooks,
                         const Log &log, LinkEnd end)
{
    const auto commands = makeMailbox<LinkCommand>(socket->get_executor(), commandCapacity);
    PeerLinkHandle handle(peer, commands, end == LinkEnd::Dialer ? 0 : firstAcceptorStream);
    if (hooks.onStarted) {
        hooks.onStarted(handle);
    }
    std::make_shared<LinkTask>(std::move(socket), handle, commands, hooks, log)->start();
    return handle;
}

void disableNagle(boost::beast::tcp_stream &socket)
{
    boost::beast::error_code ec;
    socket.socket().set_option(asio::ip::tcp::no_delay(true), ec);
}

} // namespace greengageseam
