/**
 * Mailboxes: the only way in which tasks talk to each other.
 *
 * A process runs its tasks as coroutines on one thread. Each task alone touches its sockets and its
 * state; others send it messages through a mailbox of bounded size.
 */
#pragma once

#include "core/common/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>

namespace greengageseam {

namespace asio = boost::asio;

/** Coroutine of a task. */
template <typename T>
using Awaitable = asio::awaitable<T>;

/** Completion token that gives errors as values. */
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/** A bounded queue of messages with one receiver. */
template <typename T>
class Mailbox
{
public:
    /**
     * @param executor where the receiver runs
     * @param capacity how many messages wait at most
     */
    Mailbox(const asio::any_io_executor &executor, std::size_t capacity)
        : m_channel(executor, capacity)
    { }

    /** Posts a message without waiting. @returns false if the mailbox is full or closed */
    bool post(T message)
    {
        return m_channel.try_send(boost::system::error_code(),
                                  std::optional<T>(std::move(message)));
    }

    /** Sends a message and waits for room. @returns false if the mailbox is closed */
    Awaitable<bool> send(T message)
    {
        auto [ec] = co_await m_channel.async_send(boost::system::error_code(),
                                                  std::optional<T>(std::move(message)), asTuple);
        co_return !ec;
    }

    /** Waits for a message. @returns nothing if the mailbox is closed and empty */
    Awaitable<std::optional<T>> receive()
    {
        auto [ec, message] = co_await m_channel.async_receive(asTuple);
        if (ec) {
            co_return std::nullopt;
        }
        co_return std::move(message);
    }

    /**
     * Waits for a message for a limited time. A message that comes at the very end may be lost, so
     * the receiver must give up the mailbox when it gets nothing.
     * @returns nothing if the time is over or the mailbox is closed
     */
    Awaitable<std::optional<T>> receiveWithin(Duration timeout)
    {
        using namespace asio::experimental::awaitable_operators;
        asio::steady_timer timer(m_channel.get_executor(), timeout);
        auto first = co_await (receive() || timer.async_wait(asTuple));
        if (first.index() == 0) {
            co_return std::get<0>(std::move(first));
        }
        co_return std::nullopt;
    }

    /** @returns whether the mailbox takes messages */
    bool isOpen() const { return m_channel.is_open(); }

    /** Takes no more messages; those that wait can still be received. */
    void close() { m_channel.close(); }

private:
    asio::experimental::channel<void(boost::system::error_code, std::optional<T>)> m_channel;
};

/** Address of a mailbox, which several tasks may hold. */
template <typename T>
using MailboxPtr = std::shared_ptr<Mailbox<T>>;

/** @returns a new mailbox */
template <typename T>
MailboxPtr<T> makeMailbox(const asio::any_io_executor &executor, std::size_t capacity)
{
    return std::make_shared<Mailbox<T>>(executor, capacity);
}

} // namespace greengageseam
