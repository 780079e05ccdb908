/**
 * TCP relay that simulates network faults between two processes.
 */
#pragma once

#include "core/common/common.h"
#include "net/mailbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <thread>

namespace greengageseam {

/**
 * Relays TCP connections to one target and can cut, stall and delay them. The relay runs in its own
 * thread; all public functions may be called from the thread of the test.
 */
class Relay
{
public:
    explicit Relay(const Address &target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /** @returns the address to connect to instead of the target */
    const Address &address() const { return m_address; }
    /** Resets all connections, and rejects new ones until restore(). */
    void cut();
    /** Keeps connections open but forwards no data until restore(). */
    void stall();
    /** Ends cut() and stall(). */
    void restore();
    /** Delays each forwarded block of data, in both directions. */
    void setDelay(Duration delay);

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    Awaitable<void> acceptLoop();
    Awaitable<void> connect(Socket client);
    Awaitable<void> pump(Socket from, Socket to);

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    Address m_address;
    std::set<Socket> m_sockets;
    bool m_isCut = false;
    bool m_isStalled = false;
    Duration m_delay {};
    std::thread m_thread;
};

} // namespace greengageseam
