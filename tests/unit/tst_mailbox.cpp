/**
 * Tests of what happens to those who wait at a mailbox when it closes.
 */
#include "net/mailbox.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class MailboxFixture
{
protected:
    MailboxFixture() : m_mailbox(makeMailbox<int>(m_context.get_executor(), 1)) { }

    /** Sends a message, and records how that ended. */
    static Awaitable<void> send(MailboxPtr<int> mailbox, std::optional<bool> &isSent)
    {
        const bool result = co_await mailbox->send(2);
        isSent = result;
    }

    /** Receives a message, and records whether there was one. */
    static Awaitable<void> receive(MailboxPtr<int> mailbox, std::optional<bool> &isReceived)
    {
        const std::optional<int> message = co_await mailbox->receive();
        isReceived = message.has_value();
    }

    asio::io_context m_context;
    MailboxPtr<int> m_mailbox;
};

// A task that waited for room in a mailbox that nobody reads any more was never resumed.
TEST_CASE_METHOD(MailboxFixture, "close_senderWaitsForRoom_isTold")
{
    std::optional<bool> isSent;
    REQUIRE(m_mailbox->post(1));
    asio::co_spawn(m_context, send(m_mailbox, isSent), asio::detached);
    m_context.poll();
    REQUIRE_FALSE(isSent.has_value());
    m_mailbox->close();
    m_context.restart();
    m_context.poll();
    REQUIRE(isSent == false);
}

TEST_CASE_METHOD(MailboxFixture, "close_receiverWaits_isTold")
{
    std::optional<bool> isReceived;
    asio::co_spawn(m_context, receive(m_mailbox, isReceived), asio::detached);
    m_context.poll();
    m_mailbox->close();
    m_context.restart();
    m_context.poll();
    REQUIRE(isReceived == false);
}

// The end of an answer that had arrived was lost when the link it came on closed.
TEST_CASE_METHOD(MailboxFixture, "close_messageIsQueued_canStillBeReceived")
{
    std::optional<bool> isReceived;
    REQUIRE(m_mailbox->post(1));
    m_mailbox->close();
    asio::co_spawn(m_context, receive(m_mailbox, isReceived), asio::detached);
    m_context.poll();
    REQUIRE(isReceived == true);
    isReceived.reset();
    asio::co_spawn(m_context, receive(m_mailbox, isReceived), asio::detached);
    m_context.restart();
    m_context.poll();
    REQUIRE(isReceived == false);
}

TEST_CASE_METHOD(MailboxFixture, "close_done_rejectsMessages")
{
    m_mailbox->close();
    REQUIRE_FALSE(m_mailbox->isOpen());
    REQUIRE_FALSE(m_mailbox->post(1));
}

} // namespace
} // namespace greengageseam
