/**
 * Authentication of operators, and the resources of the administration API.
 */
#include "entry/adminhandler.h"

#include "core/common/hashing.h"
#include "entry/adminaudit.h"
#include "entry/reporttext.h"
#include "net/clock.h"
#include "protocol/configcodec.h"

#include <algorithm>

namespace greengageseam {

namespace json = boost::json;

namespace {

const std::string adminPrefix = "/admin/v1/";
const std::string reportPagePath = "/admin/v1/report.html";
const std::string changesPath = "/admin/v1/changes";
const std::string instancesPrefix = "/admin/v1/instances/";
const std::string drainSuffix = "/drain";
constexpr auto verdictTimeout = std::chrono::seconds(5);
constexpr int statusAccepted = 202;

HttpResponse jsonResponse(const json::object &object, int status = 200)
{
    return {status, "application/json", {}, json::serialize(object) + "\n"};
}

/** @returns the verdict as JSON; with an error status if the change conflicts or is invalid */
HttpResponse verdictResponse(const Verdict &verdict)
{
    HttpResponse response = jsonResponse(verdictToJson(verdict));
    if (verdict.kind == VerdictKind::Conflict) {
        response.status = descriptorFor(ErrorKind::ChangeConflict).httpStatus;
    } else if (verdict.kind == VerdictKind::Invalid) {
        response.status = descriptorFor(ErrorKind::InvalidConfiguration).httpStatus;
    }
    return response;
}

Result<ConfigChange> parseChange(const HttpRequest &request, const OperatorName &author,
                                 Offset current)
{
    BOOST_LEAF_AUTO(object, parseObject(request.body));
    BOOST_LEAF_AUTO(array, arrayMember(object, "edits"));
    BOOST_LEAF_AUTO(edits, editsFromJson(array));
    ConfigChange change;
    change.id = ChangeId(makeUniqueId());
    change.author = author;
    change.base = current;
    change.proposedAt = wallNow();
    change.edits = edits;
    if (object.contains("id")) {
        BOOST_LEAF_AUTO(id, stringMember(object, "id"));
        change.id = ChangeId(id);
    }
    if (object.contains("base")) {
        BOOST_LEAF_AUTO(base, numberMember(object, "base"));
        change.base = Offset {base};
    }
    if (object.contains("note")) {
        BOOST_LEAF_AUTO(note, stringMember(object, "note"));
        change.note = note;
    }
    return change;
}

AuditFilter filterOf(const HttpRequest &request)
{
    return {request.parameter("cell").value_or(""), request.parameter("author").value_or("")};
}

HttpResponse historyResponse(const HttpRequest &request, const ConfigState &state)
{
    const AuditFilter filter = filterOf(request);
    json::array verdicts;
    for (const Verdict &verdict : state.verdicts) {
        if (filter.matches(verdict)) {
            verdicts.push_back(verdictToJson(verdict));
        }
    }
    return jsonResponse({{"offset", state.applied.value}, {"changes", std::move(verdicts)}});
}

HttpResponse changeResponse(const ConfigState &state, const ChangeId &id)
{
    const Verdict *verdict = state.verdictFor(id);
    if (verdict == nullptr) {
        return problemResponse(
                {ErrorKind::NotFound, "change " + id.text() + " is unknown at this entry"});
    }
    return jsonResponse(verdictToJson(*verdict));
}

/**
 * Handles changes that need no evaluation: a resent change gets its earlier verdict, and a change
 * whose base offset this entry has not applied yet is rejected as NotReady.
 * @returns empty if the change is new and has to be evaluated
 */
std::optional<HttpResponse> responseForKnownChange(const ConfigState &state,
                                                   const ConfigChange &change)
{
    if (change.base > state.applied) {
        return problemResponse({ErrorKind::NotReady,
                                "offset " + std::to_string(change.base.value)
                                        + " is not applied here yet; this entry has applied offset "
                                        + std::to_string(state.applied.value)});
    }
    const Verdict *existing = state.verdictFor(change.id);
    if (existing == nullptr) {
        return std::nullopt;
    }
    if (existing->edits != change.edits || existing->author != change.author) {
        return problemResponse({ErrorKind::ChangeConflict,
                                "change id " + change.id.text()
                                        + " belongs to a different change by "
                                        + existing->author.text()});
    }
    return verdictResponse(*existing);
}

bool hasOperator(const ConfigTable &table)
{
    return std::any_of(table.operators.begin(), table.operators.end(),
                       [](const auto &entry) { return entry.second.role == Role::Operator; });
}

} // namespace

AdminHandler::AdminHandler(const asio::any_io_executor &executor, EntrySettings settings,
                           AdminChannels channels, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_channels(std::move(channels)),
      m_log(std::move(log))
{ }

bool AdminHandler::isAdminPath(const std::string &path)
{
    return path.starts_with(adminPrefix);
}

Awaitable<void> AdminHandler::handle(HttpExchange &exchange) const
{
    HttpResponse response = co_await handleRequest(exchange.request());
    co_await exchange.respond(std::move(response));
}

Awaitable<HttpResponse> AdminHandler::handleRequest(const HttpRequest &request) const
{
    const AdminView view = co_await currentView();
    const std::string path = request.path();
    const Outcome<Operator> authenticated = toOutcome([&] { return authenticate(request, view); });
    if (const Failure *failure = failureOf(authenticated)) {
        HttpResponse response = problemResponse(*failure);
        if (path == reportPagePath) {
            response.headers.push_back({"WWW-Authenticate", "Basic realm=\"greengageseam\""});
        }
        co_return response;
    }
    if (request.method == "GET" && path == "/admin/v1/report") {
        co_return jsonResponse(reportToJson(view, m_settings, wallNow()));
    }
    if (request.method == "GET" && path == reportPagePath) {
        const json::object report = reportToJson(view, m_settings, wallNow());
        co_return HttpResponse {200, "text/html; charset=utf-8", {}, reportPage(report)};
    }
    if (!view.config.isReady()) {
        co_return problemResponse({ErrorKind::NotReady, "this entry has no configuration yet"});
    }
    if (request.method == "POST") {
        AdminView viewCopy = view;
        Operator user = std::get<Operator>(authenticated);
        co_return co_await handlePost(request, std::move(viewCopy), std::move(user));
    }
    const ConfigState &state = *view.config.state;
    if (request.method == "GET" && path == "/admin/v1/table") {
        co_return jsonResponse(tableToJson(state));
    }
    if (request.method == "GET" && path == "/admin/v1/history") {
        co_return historyResponse(request, state);
    }
    if (request.method == "GET" && path == "/admin/v1/audit") {
        co_return co_await handleAudit(request, view.config);
    }
    if (request.method == "GET" && path.starts_with(changesPath + "/")) {
        co_return changeResponse(state, ChangeId(path.substr(changesPath.size() + 1)));
    }
    co_return problemResponse({ErrorKind::NotFound, path + " is not part of the API"});
}

Awaitable<HttpResponse> AdminHandler::handlePost(const HttpRequest &request, AdminView view,
                                                 Operator user) const
{
    const std::string path = request.path();
    if (user.role != Role::Operator) {
        co_return problemResponse({ErrorKind::Forbidden, "role viewer does not permit changes"});
    }
    if (path == changesPath) {
        co_return co_await handleChange(request, view, user.name);
    }
    if (path.starts_with(instancesPrefix) && path.ends_with(drainSuffix)) {
        const std::size_t n = path.size() - instancesPrefix.size() - drainSuffix.size();
        co_return co_await drainInstance(InstanceId(path.substr(instancesPrefix.size(), n)));
    }
    co_return problemResponse({ErrorKind::NotFound, path + " is not part of the API"});
}

Awaitable<HttpResponse> AdminHandler::handleAudit(const HttpRequest &request,
                                                  ConfigView config) const
{
    ReadLog read = m_channels.readLog;
    ConfigView existing = config;
    AuditFilter filter = filterOf(request);
    const AuditTrail trail =
            co_await readAudit(std::move(read), std::move(existing), std::move(filter));
    json::array verdicts;
    for (const Verdict &verdict : trail.verdicts) {
        verdicts.push_back(verdictToJson(verdict));
    }
    co_return jsonResponse({{"offset", config.state->applied.value},
                            {"from", trail.firstOffset.value},
                            {"incomplete", trail.incompleteReason},
                            {"changes", std::move(verdicts)}});
}

Awaitable<HttpResponse> AdminHandler::handleChange(const HttpRequest &request, AdminView view,
                                                   OperatorName author) const
{
    const ConfigState &state = *view.config.state;
    const Outcome<ConfigChange> read =
            toOutcome([&] { return parseChange(request, author, state.applied); });
    if (const Failure *failure = failureOf(read)) {
        co_return problemResponse(*failure);
    }
    const auto &change = std::get<ConfigChange>(read);
    if (const std::optional<HttpResponse> existing = responseForKnownChange(state, change)) {
        co_return *existing;
    }
    if (view.config.logStatus != LogStatus::Following) {
        co_return problemResponse({ErrorKind::PlatformUnavailable,
                                   "the configuration log was reset or truncated; the current "
                                   "configuration is kept and changes are rejected"});
    }
    const Offset nextOffset {state.applied.value + 1};
    const Verdict preview = evaluateChange(state, change, nextOffset);
    const bool isDryRun = request.parameter("dry-run") == "true";
    if (isDryRun || preview.kind != VerdictKind::Accepted) {
        co_return verdictResponse(preview);
    }
    co_return co_await submitChange(change);
}

/** Appends the change, and responds only after its record was read back and evaluated. */
Awaitable<HttpResponse> AdminHandler::submitChange(ConfigChange change) const
{
    const auto reply = makeMailbox<Verdict>(m_executor, 1);
    AdminCommand query = VerdictQuery {change.id, reply};
    co_await m_channels.manager->send(std::move(query));
    const Outcome<Offset> appended = co_await m_channels.append(configStream, encodeChange(change));
    const Failure *failure = failureOf(appended);
    if (failure != nullptr && failure->kind == ErrorKind::PlatformUnavailable) {
        co_return problemResponse(*failure);
    }
    const std::optional<Verdict> verdict = co_await reply->receiveWithin(verdictTimeout);
    if (!verdict) {
        const json::object unknown {{"change", change.id.text()},
                                    {"verdict", "unknown"},
                                    {"reason", "the log does not respond; query the change later"}};
        co_return jsonResponse(unknown, statusAccepted);
    }
    co_return verdictResponse(*verdict);
}

Awaitable<HttpResponse> AdminHandler::drainInstance(InstanceId instance) const
{
    const auto reply = makeMailbox<bool>(m_executor, 1);
    FleetCommand command = DrainAgent {instance, reply};
    co_await m_channels.fleet->send(std::move(command));
    const std::optional<bool> isKnown = co_await reply->receive();
    if (!isKnown.value_or(false)) {
        co_return problemResponse(
                {ErrorKind::NotFound, "instance " + instance.text() + " is unknown in this zone"});
    }
    m_log.info("instance.drain", {{"drained", instance.text()}});
    co_return jsonResponse({{"instance", instance.text()}, {"draining", true}});
}

Awaitable<AdminView> AdminHandler::currentView() const
{
    const auto reply = makeMailbox<AdminView>(m_executor, 1);
    AdminCommand query = AdminViewQuery {reply};
    co_await m_channels.manager->send(std::move(query));
    co_return *(co_await reply->receive());
}

Result<Operator> AdminHandler::authenticate(const HttpRequest &request, const AdminView &view) const
{
    std::optional<std::string> token = request.bearerToken();
    if (!token && request.path() == reportPagePath) {
        token = request.basicPassword();
    }
    if (!token) {
        return fail(ErrorKind::Unauthenticated,
                    "header 'Authorization: Bearer <token>' is missing");
    }
    const Digest digest = digestOf(*token);
    const ConfigTable empty;
    const ConfigTable &table = view.config.isReady() ? view.config.state->table : empty;
    if (const Operator *user = table.operatorWithToken(digest)) {
        return *user;
    }
    if (!m_settings.bootstrapToken.isEmpty() && digest == m_settings.bootstrapToken
        && !hasOperator(table)) {
        return Operator {OperatorName("bootstrap"), digest, Role::Operator};
    }
    return fail(ErrorKind::Unauthenticated, "the token does not belong to an operator");
}

} // namespace greengageseam
