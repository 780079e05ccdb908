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
        json::object agent {{"instance", member.lastHeartbeat.instance.text()},
                            {"zone", member.lastHeartbeat.zone.text()},
                            {"phase", textOf(member.phase)},
                            {"offset", member.lastHeartbeat.appliedConfig.value},
                            {"incarnation", member.lastHeartbeat.incarnation.value},
                            {"inFlight", member.lastHeartbeat.inFlight},
                            {"serving", member.lastHeartbeat.serving.size()},
                            {"trouble", member.lastHeartbeat.problem}};
        const auto behind = view.behindSince.find(member.lastHeartbeat.instance);
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
    for (const auto &[key, modelVersion] : view.config.state->table.modelVersions) {
        json::object rollout {{"model", key.model.text()},
                              {"version", key.version.text()},
                              {"serving", countServing(view.fleet, modelVersion.manifest)},
                              {"wanted", wantedReplicas(modelVersion, zone)}};
        const auto progress = view.rollouts.find(modelVersion.manifest);
        const bool isUnderReplicated =
                progress != view.rollouts.end() && progress->second.underReplicatedSince;
        rollout["done"] = !isUnderReplicated;
        if (isUnderReplicated) {
            rollout["seconds"] = secondsSince(*progress->second.underReplicatedSince, now);
            const std::uint64_t bytesAtStart = progress->second.originBytesAtStart;
            rollout["originBytes"] =
                    std::max(totalOriginBytes(view.fleet), bytesAtStart) - bytesAtStart;
        } else if (progress != view.rollouts.end()) {
            rollout["seconds"] =
                    std::chrono::duration<double>(progress->second.lastDuration).count();
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
    case ConfigAlarmKind::LogReset:
        return "new-beginning";
    case ConfigAlarmKind::UnreadableRecord:
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
                                       {"secondsAgo", secondsSince(raised.raisedAt, now)}});
    }
    return alarms;
}

} // namespace

json::object tableToJson(const ConfigState &state)
{
    json::array cells;
    for (const auto &[path, cell] : state.rawTable.cells()) {
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
    report["logAnswers"] = view.isLogAvailable;
    if (view.logUnavailableSince) {
        report["logSilentSeconds"] = secondsSince(*view.logUnavailableSince, now);
    }
    report["logFollowed"] = view.config.logStatus == LogStatus::Following;
    report["alarms"] = alarmsToJson(view, now);
    report["agents"] = agentsToJson(view, now);
    report["agentsBehind"] = view.behindSince.size();
    report["originBytes"] = totalOriginBytes(view.fleet);
    if (view.config.isReady()) {
        report["offset"] = view.config.state->applied.value;
        report["since"] = view.config.inForceSince.time_since_epoch().count();
        report["inForceSeconds"] = secondsSince(view.config.inForceSince, now);
        report["snapshotOffset"] = view.config.snapshotLag.lastIncluded.value;
        report["rollouts"] = rolloutsToJson(view, settings.zone, now);
    }
    return report;
}

} // namespace greengageseam
