/**
 * Authentication of operators, and the resources of the administration API.
 */
#include "entry/admindesk.h"

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
constexpr auto verdictLimit = std::chrono::seconds(5);
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
        response.status = answerFor(ErrorKind::ChangeConflict).httpStatus;
    } else if (verdict.kind == VerdictKind::Invalid) {
        response.status = answerFor(ErrorKind::InvalidConfiguration).httpStatus;
    }
    return response;
}

Result<Change> readChange(const HttpRequest &request, const OperatorName &author, Offset current)
{
    BOOST_LEAF_AUTO(object, parseObject(request.body));
    BOOST_LEAF_AUTO(array, arrayMember(object, "edits"));
    BOOST_LEAF_AUTO(edits, editsFromJson(array));
    Change change;
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
    const Verdict *verdict = state.verdictOn(id);
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
std::optional<HttpResponse> answerKnown(const ConfigState &state, const Change &change)
{
    if (change.base > state.applied) {
        return problemResponse({ErrorKind::NotReady,
                                "offset " + std::to_string(change.base.value)
                                        + " is not applied here yet; this entry has applied offset "
                                        + std::to_string(state.applied.value)});
    }
    const Verdict *known = state.verdictOn(change.id);
    if (known == nullptr) {
        return std::nullopt;
    }
    if (known->edits != change.edits || known->author != change.author) {
        return problemResponse({ErrorKind::ChangeConflict,
                                "change id " + change.id.text()
                                        + " belongs to a different change by "
                                        + known->author.text()});
    }
    return verdictResponse(*known);
}

bool hasOperator(const Table &table)
{
    return std::any_of(table.operators.begin(), table.operators.end(),
                       [](const auto &entry) { return entry.second.role == Role::Operator; });
}

} // namespace

AdminDesk::AdminDesk(const asio::any_io_executor &executor, EntrySettings settings,
                     AdminChannels channels, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_channels(std::move(channels)),
      m_log(std::move(log))
{ }

bool AdminDesk::isAdminPath(const std::string &path)
{
    return path.starts_with(adminPrefix);
}

Awaitable<void> AdminDesk::handle(HttpExchange &exchange) const
{
    HttpResponse response = co_await answer(exchange.request());
    co_await exchange.respond(std::move(response));
}

Awaitable<HttpResponse> AdminDesk::answer(const HttpRequest &request) const
{
    const AdminView view = co_await currentView();
    const std::string path = request.path();
    const Outcome<Operator> who = settle([&] { return authenticate(request, view); });
    if (const Failure *failure = failureOf(who)) {
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
        AdminView seen = view;
        Operator person = std::get<Operator>(who);
        co_return co_await answerPost(request, std::move(seen), std::move(person));
    }
    const ConfigState &state = *view.config.state;
    if (request.method == "GET" && path == "/admin/v1/table") {
        co_return jsonResponse(tableToJson(state));
    }
    if (request.method == "GET" && path == "/admin/v1/history") {
        co_return historyResponse(request, state);
    }
    if (request.method == "GET" && path == "/admin/v1/audit") {
        co_return co_await answerAudit(request, view.config);
    }
    if (request.method == "GET" && path.starts_with(changesPath + "/")) {
        co_return changeResponse(state, ChangeId(path.substr(changesPath.size() + 1)));
    }
    co_return problemResponse({ErrorKind::NotFound, path + " is not part of the API"});
}

Awaitable<HttpResponse> AdminDesk::answerPost(const HttpRequest &request, AdminView view,
                                              Operator person) const
{
    const std::string path = request.path();
    if (person.role != Role::Operator) {
        co_return problemResponse({ErrorKind::Forbidden, "role viewer does not permit changes"});
    }
    if (path == changesPath) {
        co_return co_await answerChange(request, view, person.name);
    }
    if (path.starts_with(instancesPrefix) && path.ends_with(drainSuffix)) {
        const std::size_t n = path.size() - instancesPrefix.size() - drainSuffix.size();
        co_return co_await drain(InstanceId(path.substr(instancesPrefix.size(), n)));
    }
    co_return problemResponse({ErrorKind::NotFound, path + " is not part of the API"});
}

Awaitable<HttpResponse> AdminDesk::answerAudit(const HttpRequest &request, ConfigView config) const
{
    ReadLog read = m_channels.readLog;
    ConfigView known = config;
    AuditFilter filter = filterOf(request);
    const AuditTrail trail =
            co_await readAudit(std::move(read), std::move(known), std::move(filter));
    json::array verdicts;
    for (const Verdict &verdict : trail.verdicts) {
        verdicts.push_back(verdictToJson(verdict));
    }
    co_return jsonResponse({{"offset", config.state->applied.value},
                            {"from", trail.from.value},
                            {"incomplete", trail.incomplete},
                            {"changes", std::move(verdicts)}});
}

Awaitable<HttpResponse> AdminDesk::answerChange(const HttpRequest &request, AdminView view,
                                                OperatorName author) const
{
    const ConfigState &state = *view.config.state;
    const Outcome<Change> read = settle([&] { return readChange(request, author, state.applied); });
    if (const Failure *failure = failureOf(read)) {
        co_return problemResponse(*failure);
    }
    const auto &change = std::get<Change>(read);
    if (const std::optional<HttpResponse> known = answerKnown(state, change)) {
        co_return *known;
    }
    if (view.config.trust != LogTrust::Followed) {
        co_return problemResponse({ErrorKind::PlatformUnavailable,
                                   "the configuration log was reset or truncated; the current "
                                   "configuration is kept and changes are rejected"});
    }
    const Offset next {state.applied.value + 1};
    const Verdict preview = judgeChange(state, change, next);
    const bool isDryRun = request.parameter("dry-run") == "true";
    if (isDryRun || preview.kind != VerdictKind::Accepted) {
        co_return verdictResponse(preview);
    }
    co_return co_await accept(change);
}

/** Appends the change, and responds only after its record was read back and evaluated. */
Awaitable<HttpResponse> AdminDesk::accept(Change change) const
{
    const auto reply = makeMailbox<Verdict>(m_executor, 1);
    AdminCommand asked = VerdictAsked {change.id, reply};
    co_await m_channels.keeper->send(std::move(asked));
    const Outcome<Offset> appended = co_await m_channels.append(configStream, encodeChange(change));
    const Failure *failure = failureOf(appended);
    if (failure != nullptr && failure->kind == ErrorKind::PlatformUnavailable) {
        co_return problemResponse(*failure);
    }
    const std::optional<Verdict> verdict = co_await reply->receiveWithin(verdictLimit);
    if (!verdict) {
        const json::object unknown {{"change", change.id.text()},
                                    {"verdict", "unknown"},
                                    {"reason", "the log does not respond; query the change later"}};
        co_return jsonResponse(unknown, statusAccepted);
    }
    co_return verdictResponse(*verdict);
}

Awaitable<HttpResponse> AdminDesk::drain(InstanceId instance) const
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

Awaitable<AdminView> AdminDesk::currentView() const
{
    const auto reply = makeMailbox<AdminView>(m_executor, 1);
    AdminCommand asked = AdminViewAsked {reply};
    co_await m_channels.keeper->send(std::move(asked));
    co_return *(co_await reply->receive());
}

Result<Operator> AdminDesk::authenticate(const HttpRequest &request, const AdminView &view) const
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
    const Table empty;
    const Table &table = view.config.isReady() ? view.config.state->table : empty;
    if (const Operator *person = table.operatorWithToken(digest)) {
        return *person;
    }
    if (!m_settings.bootstrapToken.isEmpty() && digest == m_settings.bootstrapToken
        && !hasOperator(table)) {
        return Operator {OperatorName("bootstrap"), digest, Role::Operator};
    }
    return fail(ErrorKind::Unauthenticated, "the token does not belong to an operator");
}

} // namespace greengageseam
