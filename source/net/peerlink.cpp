#include "net/peerlink.h"

#include "core/common/hashing.h"
#include "net/clock.h"
#include "protocol/framecodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace greengageseam {

namespace beast = boost::beast;

namespace {

constexpr std::size_t commandCapacity = 4096;
constexpr auto handshakeTimeout = std::chrono::seconds(3);
constexpr auto writeTimeout = std::chrono::seconds(15);
constexpr auto acceptRetryDelay = std::chrono::milliseconds(20);
constexpr int nonceWords = 4;
/** The accepting end of a link numbers the streams that it opens above this value. */
constexpr StreamId firstAcceptorStream = StreamId {1} << 48;

/**
 * End of a link. It is part of the proof, so that a proof cannot be replayed to its sender
 * (reflection attack).
 */
enum class LinkEnd { Dialer, Acceptor };

using TcpStream = std::shared_ptr<beast::tcp_stream>;

std::string makeNonce()
{
    std::string nonce;
    for (int i = 0; i < nonceWords; ++i) {
        nonce += std::to_string(randomNumber()) + ".";
    }
    return nonce;
}

Digest proofOf(const std::string &secret, const HelloMessage &localHello,
               const std::string &peerNonce, LinkEnd end)
{
    const std::string text = std::string(end == LinkEnd::Dialer ? "dial" : "accept") + "\n"
            + localHello.role + "\n" + localHello.instance.text() + "\n" + localHello.zone.text()
            + "\n" + localHello.nonce + "\n" + peerNonce;
    return hmacSha256(secret, text);
}

Awaitable<bool> writeFrame(const TcpStream &stream, StreamMessage message)
{
    const std::string bytes = encodeFrame(message);
    auto [ec, n] = co_await asio::async_write(*stream, asio::buffer(bytes), asTuple);
    co_return !ec;
}

Awaitable<Outcome<StreamMessage>> readFrame(const TcpStream &stream)
{
    FrameHeader header {};
    auto [headerError, headerBytes] =
            co_await asio::async_read(stream->socket(), asio::buffer(header), asTuple);
    if (headerError) {
        co_return Failure {ErrorKind::AnswerBroken, headerError.message()};
    }
    const Outcome<std::size_t> length = toOutcome([&] { return frameLength(header); });
    if (const Failure *failure = failureOf(length)) {
        co_return *failure;
    }
    std::string bytes(std::get<std::size_t>(length), '\0');
    auto [bodyError, bodyBytes] =
            co_await asio::async_read(stream->socket(), asio::buffer(bytes), asTuple);
    if (bodyError) {
        co_return Failure {ErrorKind::AnswerBroken, bodyError.message()};
    }
    co_return toOutcome([&] { return decodeFrame(bytes); });
}

/** Reads a frame that must contain a certain type of handshake message. */
template <typename Expected>
Awaitable<Outcome<Expected>> readHandshakeMessage(const TcpStream &stream)
{
    Outcome<StreamMessage> frame = co_await readFrame(stream);
    if (const Failure *failure = failureOf(frame)) {
        co_return *failure;
    }
    auto *expected = std::get_if<Expected>(&std::get<StreamMessage>(frame).message);
    if (expected == nullptr) {
        co_return Failure {ErrorKind::ProtocolViolation, "unexpected message during the handshake"};
    }
    co_return std::move(*expected);
}

Awaitable<Outcome<HelloMessage>> performHandshake(const TcpStream &stream,
                                                  const PeerIdentity &identity, LinkEnd end)
{
    const HelloMessage localHello {protocolVersion, identity.role, identity.instance, identity.zone,
                                   makeNonce()};
    StreamMessage hello {0, localHello};
    if (!co_await writeFrame(stream, hello)) {
        co_return Failure {ErrorKind::AnswerBroken, "the hello message could not be sent"};
    }
    Outcome<HelloMessage> receivedHello = co_await readHandshakeMessage<HelloMessage>(stream);
    if (const Failure *failure = failureOf(receivedHello)) {
        co_return *failure;
    }
    const HelloMessage peer = std::get<HelloMessage>(receivedHello);
    if (peer.version != protocolVersion) {
        co_return Failure {ErrorKind::ProtocolViolation,
                           "the peer uses unsupported protocol version "
                                   + std::to_string(peer.version)};
    }
    StreamMessage proof {0, ProofMessage {proofOf(identity.secret, localHello, peer.nonce, end)}};
    if (!co_await writeFrame(stream, proof)) {
        co_return Failure {ErrorKind::AnswerBroken, "the proof message could not be sent"};
    }
    const Outcome<ProofMessage> receivedProof = co_await readHandshakeMessage<ProofMessage>(stream);
    if (const Failure *failure = failureOf(receivedProof)) {
        co_return *failure;
    }
    const LinkEnd peerEnd = end == LinkEnd::Dialer ? LinkEnd::Acceptor : LinkEnd::Dialer;
    const Digest expected = proofOf(identity.secret, peer, localHello.nonce, peerEnd);
    if (!equalInConstantTime(expected.text(), std::get<ProofMessage>(receivedProof).mac.text())) {
        co_return Failure {ErrorKind::Unauthenticated, "the peer does not know the secret"};
    }
    co_return peer;
}

/** Performs the handshake and cancels it when the timeout expires. */
Awaitable<Outcome<HelloMessage>>
handshakeWithTimeout(TcpStream stream, const PeerIdentity &identity, LinkEnd end, Duration timeout)
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer(stream->get_executor(), timeout);
    auto first = co_await (performHandshake(stream, identity, end) || timer.async_wait(asTuple));
    if (first.index() == 0) {
        co_return std::get<0>(std::move(first));
    }
    co_return Failure {ErrorKind::DeadlineExceeded, "the handshake timed out"};
}

/** Task of one link, the sole owner of its socket and its table of streams. */
class LinkTask : public std::enable_shared_from_this<LinkTask>
{
public:
    LinkTask(TcpStream stream, PeerLinkHandle handle, MailboxPtr<LinkCommand> commands,
             LinkHooks hooks, Log log)
        : m_stream(std::move(stream)), m_handle(std::move(handle)), m_commands(std::move(commands)),
          m_hooks(std::move(hooks)), m_log(std::move(log))
    { }

    void start()
    {
        const auto executor = m_stream->get_executor();
        asio::co_spawn(
                executor, [self = shared_from_this()] { return self->readLoop(); }, asio::detached);
        asio::co_spawn(
                executor, [self = shared_from_this()] { return self->commandLoop(); },
                asio::detached);
    }

private:
    Awaitable<void> readLoop()
    {
        while (!m_isClosed) {
            Outcome<StreamMessage> frame = co_await readFrame(m_stream);
            if (const Failure *failure = failureOf(frame)) {
                closeLink(failure->detail);
                co_return;
            }
            deliver(std::move(std::get<StreamMessage>(frame)));
        }
    }

    void deliver(StreamMessage message)
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

    Awaitable<void> commandLoop()
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

    Awaitable<void> write(std::string bytes)
    {
        m_stream->expires_after(writeTimeout);
        auto [ec, n] = co_await asio::async_write(*m_stream, asio::buffer(bytes), asTuple);
        m_stream->expires_never();
        if (ec) {
            closeLink("writing to the peer failed or timed out");
        }
    }

    void apply(const LinkCommand &command)
    {
        if (const auto *listen = std::get_if<SubscribeStream>(&command)) {
            m_streams.insert_or_assign(listen->stream, listen->mailbox);
        } else if (const auto *forget = std::get_if<UnsubscribeStream>(&command)) {
            m_streams.erase(forget->stream);
        } else if (const auto *close = std::get_if<CloseLink>(&command)) {
            closeLink(close->reason);
        } else if (const auto *finish = std::get_if<FinishLink>(&command)) {
            m_finishReply = finish->reply;
            beast::error_code ec;
            m_stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
        }
    }

    void closeLink(const std::string &reason)
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        m_log.debug("link.ended", {{"peer", m_handle.peer().instance.text()}, {"reason", reason}});
        m_stream->close();
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
    void dropCommands(const LinkClosed &closed)
    {
        asio::co_spawn(
                m_stream->get_executor(),
                [self = shared_from_this(), closed] { return self->drainCommands(closed); },
                asio::detached);
    }

    Awaitable<void> drainCommands(LinkClosed closed)
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

    TcpStream m_stream;
    PeerLinkHandle m_handle;
    MailboxPtr<LinkCommand> m_commands;
    LinkHooks m_hooks;
    Log m_log;
    std::map<StreamId, MailboxPtr<StreamEvent>> m_streams;
    /** Set during a graceful close, until the peer has read everything. */
    MailboxPtr<LinkFinished> m_finishReply;
    bool m_isClosed = false;
};

PeerLinkHandle startLink(TcpStream stream, const HelloMessage &peer, const LinkHooks &hooks,
                         const Log &log, LinkEnd end)
{
    const auto commands = makeMailbox<LinkCommand>(stream->get_executor(), commandCapacity);
    PeerLinkHandle handle(peer, commands, end == LinkEnd::Dialer ? 0 : firstAcceptorStream);
    if (hooks.onStarted) {
        hooks.onStarted(handle);
    }
    std::make_shared<LinkTask>(std::move(stream), handle, commands, hooks, log)->start();
    return handle;
}

void setNoDelay(beast::tcp_stream &stream)
{
    beast::error_code ec;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
}

} // namespace

PeerLinkHandle::PeerLinkHandle(HelloMessage peer, MailboxPtr<LinkCommand> commands,
                               StreamId firstStream)
    : m_peer(std::move(peer)), m_commands(std::move(commands)),
      m_lastStreamId(std::make_shared<StreamId>(firstStream))
{ }

StreamId PeerLinkHandle::nextStream() const
{
    return ++*m_lastStreamId;
}

bool PeerLinkHandle::subscribe(StreamId stream, const MailboxPtr<StreamEvent> &mailbox) const
{
    return m_commands->post(SubscribeStream {stream, mailbox});
}

bool PeerLinkHandle::post(StreamId stream, Message message) const
{
    return m_commands->post(SendOnLink {{stream, std::move(message)}});
}

Awaitable<bool> PeerLinkHandle::send(StreamId stream, Message message) const
{
    LinkCommand command = SendOnLink {{stream, std::move(message)}};
    co_return co_await m_commands->send(std::move(command));
}

void PeerLinkHandle::unsubscribe(StreamId stream) const
{
    m_commands->post(UnsubscribeStream {stream});
}

void PeerLinkHandle::close(std::string reason) const
{
    m_commands->post(CloseLink {std::move(reason)});
}

bool PeerLinkHandle::finish(const MailboxPtr<LinkFinished> &reply) const
{
    return m_commands->post(FinishLink {reply});
}

Awaitable<Outcome<PeerLinkHandle>> dialPeer(const asio::any_io_executor &executor,
                                            const Address &address, const PeerIdentity &identity,
                                            LinkHooks hooks, Duration timeout, Log log)
{
    const Outcome<asio::ip::tcp::endpoint> endpoint =
            toOutcome([&] { return parseEndpoint(address); });
    if (const Failure *failure = failureOf(endpoint)) {
        co_return *failure;
    }
    auto stream = std::make_shared<beast::tcp_stream>(executor);
    stream->expires_after(timeout);
    auto [ec] =
            co_await stream->async_connect(std::get<asio::ip::tcp::endpoint>(endpoint), asTuple);
    stream->expires_never();
    if (ec) {
        co_return Failure {ErrorKind::NoBackendServer, address.text() + ": " + ec.message()};
    }
    setNoDelay(*stream);
    const Outcome<HelloMessage> peer =
            co_await handshakeWithTimeout(stream, identity, LinkEnd::Dialer, timeout);
    if (const Failure *failure = failureOf(peer)) {
        co_return *failure;
    }
    co_return startLink(std::move(stream), std::get<HelloMessage>(peer), hooks, log,
                        LinkEnd::Dialer);
}

PeerListener::PeerListener(const asio::any_io_executor &executor, PeerIdentity identity,
                           LinkHooks hooks, Log log)
    : m_executor(executor), m_identity(std::move(identity)), m_hooks(std::move(hooks)),
      m_log(std::move(log)), m_acceptor(executor)
{ }

Result<Address> PeerListener::listen(const Address &address)
{
    BOOST_LEAF_CHECK(openAcceptor(m_acceptor, address));
    return addressOf(m_acceptor.local_endpoint());
}

void PeerListener::start()
{
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->acceptLoop(); }, asio::detached);
}

void PeerListener::stop()
{
    beast::error_code ec;
    m_acceptor.close(ec);
}

Awaitable<void> PeerListener::finish(Duration timeout)
{
    const Instant deadline = monotonicNow() + timeout;
    std::vector<MailboxPtr<LinkFinished>> replies;
    for (const auto &[number, link] : m_links) {
        const auto reply = makeMailbox<LinkFinished>(m_executor, 1);
        if (link.finish(reply)) {
            replies.push_back(reply);
        }
    }
    for (const auto &reply : replies) {
        const Duration remaining = std::max<Duration>(deadline - monotonicNow(), Duration::zero());
        co_await reply->receiveWithin(remaining);
    }
}

/** Performs the handshake on an accepted connection and starts its link. */
Awaitable<void> PeerListener::acceptLink(TcpStream stream)
{
    setNoDelay(*stream);
    const Outcome<HelloMessage> peer =
            co_await handshakeWithTimeout(stream, m_identity, LinkEnd::Acceptor, handshakeTimeout);
    if (const Failure *failure = failureOf(peer)) {
        m_log.warning("link.refused", {{"reason", failure->detail}});
        co_return;
    }
    const LinkHooks hooks = makeLinkHooks();
    m_links[m_lastLinkId] = startLink(std::move(stream), std::get<HelloMessage>(peer), hooks, m_log,
                                      LinkEnd::Acceptor);
}

/** Returns the owner's hooks, extended to remove the link from m_links when it closes. */
LinkHooks PeerListener::makeLinkHooks()
{
    LinkHooks hooks = m_hooks;
    hooks.onClosed = [self = weak_from_this(), onClosed = m_hooks.onClosed,
                      number = ++m_lastLinkId](const PeerLinkHandle &link,
                                               const LinkClosed &closed) {
        if (const auto listener = self.lock()) {
            listener->m_links.erase(number);
        }
        onClosed(link, closed);
    };
    return hooks;
}

Awaitable<void> PeerListener::acceptLoop()
{
    asio::steady_timer pause(m_executor);
    while (m_acceptor.is_open()) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec) {
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(asTuple);
            continue;
        }
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        asio::co_spawn(
                m_executor,
                [self = shared_from_this(), stream] { return self->acceptLink(stream); },
                asio::detached);
    }
}

} // namespace greengageseam
