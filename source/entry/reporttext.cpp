/**
 * JSON responses of the administration API.
 */
#include "entry/reporttext.h"

#include <algorithm>

namespace greengageseam {

namespace json = boost::json;

namespace {

std::string_view textOf(MemberPhase phase)
{
    switch (phase) {
    case MemberPhase::Usable:
        return "usable";
    case MemberPhase::Suspect:
        return "silent";
    case MemberPhase::Draining:
        break;
    }
    return "draining";
}

/** @returns the seconds since @p at, rounded down */
std::int64_t secondsSince(WallTime at, WallTime now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now - at).count();
}

json::array agentsToJson(const AdminView &view, WallTime now)
{
    json::array agents;
    for (const Member &member : view.fleet.members) {
        json::object agent {{"instance", member.last.instance.text()},
                            {"zone", member.last.zone.text()},
                            {"phase", textOf(member.phase)},
                            {"offset", member.last.appliedConfig.value},
                            {"incarnation", member.last.incarnation.value},
                            {"inFlight", member.last.inFlight},
                            {"serving", member.last.serving.size()},
                            {"trouble", member.last.trouble}};
        const auto behind = view.behindSince.find(member.last.instance);
        if (behind != view.behindSince.end()) {
            agent["behindSeconds"] = secondsSince(behind->second, now);
        }
        agents.push_back(std::move(agent));
    }
    return agents;
}

json::array rolloutsToJson(const AdminView &view, const ZoneName &zone, WallTime now)
{
    json::array rollouts;
    for (const auto &[key, row] : view.config.state->table.rows) {
        json::object rollout {{"model", key.model.text()},
                              {"version", key.version.text()},
                              {"serving", countServing(view.fleet, row.manifest)},
                              {"wanted", wantedIn(row, zone)}};
        const auto clock = view.rollouts.find(row.manifest);
        const bool isShort = clock != view.rollouts.end() && clock->second.shortSince;
        rollout["done"] = !isShort;
        if (isShort) {
            rollout["seconds"] = secondsSince(*clock->second.shortSince, now);
            const std::uint64_t before = clock->second.originBytesBefore;
            rollout["originBytes"] = std::max(originBytes(view.fleet), before) - before;
        } else if (clock != view.rollouts.end()) {
            rollout["seconds"] = std::chrono::duration<double>(clock->second.took).count();
        }
        rollouts.push_back(std::move(rollout));
    }
    return rollouts;
}

std::string_view textOf(ConfigAlarmKind kind)
{
    switch (kind) {
    case ConfigAlarmKind::Gap:
        return "gap";
    case ConfigAlarmKind::NewBeginning:
        return "new-beginning";
    case ConfigAlarmKind::Rubbish:
        return "rubbish";
    case ConfigAlarmKind::SnapshotMismatch:
        break;
    }
    return "snapshot-mismatch";
}

json::array alarmsToJson(const AdminView &view, WallTime now)
{
    json::array alarms;
    for (const RaisedAlarm &raised : view.config.alarms) {
        alarms.push_back(json::object {{"kind", textOf(raised.alarm.kind)},
                                       {"offset", raised.alarm.offset.value},
                                       {"detail", raised.alarm.detail},
                                       {"secondsAgo", secondsSince(raised.at, now)}});
    }
    return alarms;
}

} // namespace

json::object tableToJson(const ConfigState &state)
{
    json::array cells;
    for (const auto &[path, cell] : state.sheet.cells()) {
        cells.push_back(json::object {{"path", path.text()},
                                      {"value", cell.value},
                                      {"author", cell.author.text()},
                                      {"change", cell.change.text()},
                                      {"at", cell.changedAt.value}});
    }
    return {{"offset", state.applied.value}, {"cells", std::move(cells)}};
}

json::object reportToJson(const AdminView &view, const EntrySettings &settings, WallTime now)
{
    json::object report {{"entry", settings.instance.text()},
                         {"zone", settings.zone.text()},
                         {"ready", view.config.isReady()}};
    report["logAnswers"] = view.logAnswers;
    if (view.logSilentSince) {
        report["logSilentSeconds"] = secondsSince(*view.logSilentSince, now);
    }
    report["logFollowed"] = view.config.trust == LogTrust::Followed;
    report["alarms"] = alarmsToJson(view, now);
    report["agents"] = agentsToJson(view, now);
    report["agentsBehind"] = view.behindSince.size();
    report["originBytes"] = originBytes(view.fleet);
    if (view.config.isReady()) {
        report["offset"] = view.config.state->applied.value;
        report["since"] = view.config.since.time_since_epoch().count();
        report["inForceSeconds"] = secondsSince(view.config.since, now);
        report["snapshotOffset"] = view.config.need.covers.value;
        report["rollouts"] = rolloutsToJson(view, settings.zone, now);
    }
    return report;
}

} // namespace greengageseam
