/**
 * HTTP handler of the administration API under `/admin/v1/`.
 */
#pragma once

#include "entry/adminmanager.h"
#include "net/httpserver.h"

#include <memory>
#include <optional>

namespace greengageseam {

/** Mailboxes and log hooks that the administration API uses. */
struct AdminChannels
{
    MailboxPtr<AdminCommand> manager;
    MailboxPtr<FleetCommand> fleet;
    AppendToLog append;
    ReadLog readLog;
};

/** Handles requests of operators. Stateless except for its settings and its channels to tasks. */
class AdminHandler
{
public:
    AdminHandler(const asio::any_io_executor &executor, EntrySettings settings,
                 AdminChannels channels, Log log);

    /** @returns true if @p path belongs to the administration API */
    static bool isAdminPath(const std::string &path);

    /** Handles one request, and returns when its response was sent. */
    Awaitable<void> handle(HttpExchange &exchange) const;

private:
    Awaitable<HttpResponse> handleRequest(const HttpRequest &request) const;
    Awaitable<HttpResponse> handleChange(const HttpRequest &request, AdminView view,
                                         OperatorName author) const;
    Awaitable<HttpResponse> handlePost(const HttpRequest &request, AdminView view,
                                       Operator user) const;
    Awaitable<HttpResponse> handleAudit(const HttpRequest &request, ConfigView config) const;
    Awaitable<HttpResponse> submitChange(ConfigChange change) const;
    Awaitable<HttpResponse> drainInstance(InstanceId instance) const;
    Awaitable<AdminView> currentView() const;
    Result<Operator> authenticate(const HttpRequest &request, const AdminView &view) const;

    asio::any_io_executor m_executor;
    EntrySettings m_settings;
    AdminChannels m_channels;
    Log m_log;
};

} // namespace greengageseam
