/**
 * A TCP relay that can be cut, stalled and slowed, to stand for a link between two processes.
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

/** Relays connections to one target on a thread of its own; safe to steer from the test's thread.
 */
class Relay
{
public:
    explicit Relay(const Address &target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /** @returns where to connect instead of the target */
    const Address &address() const { return m_address; }
    /** Resets all connections and accepts none until mend(). */
    void cut();
    /** Passes nothing on, in silence, until mend(). */
    void stall();
    /** Ends a cut or a stall. */
    void restore();
    /** Delays each piece of data, each way. */
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
