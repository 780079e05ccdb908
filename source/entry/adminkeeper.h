/**
 * The task behind the administration API: it knows the configuration and the zone, and tells
 * proposers what became of their changes.
 */
#pragma once

#include "core/config/config.h"
#include "entry/entrysettings.h"
#include "entry/fleetkeeper.h"
#include "net/http.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "platform/platform.h"

#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace greengageseam {

/** What an answer of the API is made from. */
struct AdminView
{
    ConfigView config;
    FleetView fleet;
    bool logAnswers = true;
};

/** Whether the log answers, as its tail found out. */
struct LogHealth
{
    bool answers = false;
};

/** Asks for the newest view. */
struct AdminViewAsked
{
    MailboxPtr<AdminView> reply;
};

/** Asks for the verdict on a change as soon as there is one. */
struct VerdictAsked
{
    ChangeId change;
    MailboxPtr<Verdict> reply;
};

/** Messages to the keeper. */
using AdminCommand = std::variant<ConfigView, FleetView, LogHealth, AdminViewAsked, VerdictAsked>;

/** Keeps what the administration API answers from. */
class AdminKeeper : public std::enable_shared_from_this<AdminKeeper>
{
public:
    explicit AdminKeeper(const asio::any_io_executor &executor);

    /** @returns where to send commands */
    const MailboxPtr<AdminCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const ConfigView &command);
    void apply(const FleetView &command);
    void apply(const LogHealth &command);
    void apply(const AdminViewAsked &command);
    void apply(const VerdictAsked &command);

    asio::any_io_executor m_executor;
    MailboxPtr<AdminCommand> m_mailbox;
    AdminView m_view;
    std::vector<VerdictAsked> m_waiting;
};

} // namespace greengageseam
