#include "net/peerlinkhandle.h"

namespace greengageseam {

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

} // namespace greengageseam
