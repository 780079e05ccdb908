/**
 * HTTP handler of the administration API under `/admin/v1/`.
 */
#pragma once

#include "entry/adminkeeper.h"
#include "net/httpserver.h"

#include <memory>
#include <optional>

namespace greengageseam {

/** Mailboxes and log hooks that the administration API uses. */
struct AdminChannels
{
    MailboxPtr<AdminCommand> keeper;
    MailboxPtr<FleetCommand> fleet;
    AppendToLog append;
    ReadLog readLog;
};

/** Handles requests of operators. Stateless except for its settings and its channels to tasks. */
class AdminDesk
{
public:
    AdminDesk(const asio::any_io_executor &executor, EntrySettings settings, AdminChannels channels,
              Log log);

    /** @returns true if @p path belongs to the administration API */
    static bool isAdminPath(const std::string &path);

    /** Handles one request, and returns when its response was sent. */
    Awaitable<void> handle(HttpExchange &exchange) const;

private:
    Awaitable<HttpResponse> answer(const HttpRequest &request) const;
    Awaitable<HttpResponse> answerChange(const HttpRequest &request, AdminView view,
                                         OperatorName author) const;
    Awaitable<HttpResponse> answerPost(const HttpRequest &request, AdminView view,
                                       Operator person) const;
    Awaitable<HttpResponse> answerAudit(const HttpRequest &request, ConfigView config) const;
    Awaitable<HttpResponse> accept(Change change) const;
    Awaitable<HttpResponse> drain(InstanceId instance) const;
    Awaitable<AdminView> currentView() const;
    Result<Operator> authenticate(const HttpRequest &request, const AdminView &view) const;

    asio::any_io_executor m_executor;
    EntrySettings m_settings;
    AdminChannels m_channels;
    Log m_log;
};

} // namespace greengageseam
