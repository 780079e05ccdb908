/**
 * Mailboxes, through which tasks send messages to each other.
 *
 * A process runs its tasks as coroutines on one thread. A task is the sole owner of its sockets and
 * its state; other tasks communicate with it only through its mailbox, whose size is bounded.
 */
#pragma once

#include "net/timer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>

namespace greengageseam {

namespace asio = boost::asio;

/** Return type of the coroutines that tasks run. */
template <typename T>
using Awaitable = asio::awaitable<T>;

/** Completion token that returns error codes as values instead of throwing them. */
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** A bounded message queue with one receiver. */
template <typename T>
class Mailbox
{
public:
    /**
     * @param executor executor that the receiver runs on
     * @param capacity maximum number of queued messages
     */
    Mailbox(const asio::any_io_executor &executor, std::size_t capacity)
        : m_channel(executor, capacity)
    { }

    /** Queues a message without waiting. @returns false if the mailbox is full or closed */
    bool post(T message)
    {
        return !m_isClosed
                && m_channel.try_send(boost::system::error_code(),
                                      std::optional<T>(std::move(message)));
    }

    /** Queues a message, waiting for room if necessary. @returns false if the mailbox is closed */
    Awaitable<bool> send(T message)
    {
        if (m_isClosed) {
            co_return false;
        }
        auto [ec] = co_await m_channel.async_send(boost::system::error_code(),
                                                  std::optional<T>(std::move(message)), asTuple);
        co_return !ec;
    }

    /** Waits for a message. @returns an empty optional if the mailbox is closed and empty */
    Awaitable<std::optional<T>> receive()
    {
        if (m_isClosed && !m_channel.ready()) {
            co_return std::nullopt;
        }
        auto [ec, message] = co_await m_channel.async_receive(asTuple);
        if (ec) {
            co_return std::nullopt;
        }
        co_return std::move(message);
    }

    /**
     * Waits for a message for a limited time. A message that arrives at the same moment as the
     * timeout may be lost, so the receiver must stop using the mailbox when this returns an empty
     * optional.
     * @returns the message, or an empty optional on timeout or if the mailbox is closed
     */
    Awaitable<std::optional<T>> receiveWithin(Duration timeout)
    {
        using namespace asio::experimental::awaitable_operators;
        Timer timer(m_channel.get_executor(), timeout);
        auto first = co_await (receive() || timer.async_wait(asTuple));
        if (first.index() == 0) {
            co_return std::get<0>(std::move(first));
        }
        co_return std::nullopt;
    }

    /** @returns whether the mailbox accepts messages */
    bool isOpen() const { return !m_isClosed; }

    /**
     * Rejects further messages, and ends the waits of the receiver and of senders. Messages that
     * are queued can still be received.
     */
    void close()
    {
        // A closed channel would discard the queued messages, and leave its senders waiting.
        m_isClosed = true;
        m_channel.cancel();
    }

private:
    asio::experimental::channel<void(boost::system::error_code, std::optional<T>)> m_channel;
    bool m_isClosed = false;
};

/** Shared handle of a mailbox, for the receiver and any number of senders. */
template <typename T>
using MailboxPtr = std::shared_ptr<Mailbox<T>>;

/** Creates a mailbox; the parameters are those of its constructor. */
template <typename T>
MailboxPtr<T> makeMailbox(const asio::any_io_executor &executor, std::size_t capacity)
{
    return std::make_shared<Mailbox<T>>(executor, capacity);
}

} // namespace greengageseam
