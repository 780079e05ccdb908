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

json::array agentsToJson(const AdminView &view)
{
    json::array agents;
    for (const Member &member : view.fleet.members) {
        agents.push_back(json::object {{"instance", member.last.instance.text()},
                                       {"phase", textOf(member.phase)},
                                       {"offset", member.last.appliedConfig.value},
                                       {"incarnation", member.last.incarnation.value},
                                       {"inFlight", member.last.inFlight},
                                       {"serving", member.last.serving.size()},
                                       {"trouble", member.last.trouble}});
    }
    return agents;
}

std::size_t countServing(const FleetView &fleet, const Digest &manifest)
{
    return static_cast<std::size_t>(
            std::count_if(fleet.members.begin(), fleet.members.end(), [&](const Member &member) {
                const auto &serving = member.last.serving;
                return member.phase == MemberPhase::Usable
                        && std::find(serving.begin(), serving.end(), manifest) != serving.end();
            }));
}

json::array rolloutsToJson(const AdminView &view, const ZoneName &zone)
{
    json::array rollouts;
    for (const auto &[key, row] : view.config.state->table.rows) {
        const auto wanted = row.replicas.find(zone);
        rollouts.push_back(
                json::object {{"model", key.model.text()},
                              {"version", key.version.text()},
                              {"serving", countServing(view.fleet, row.manifest)},
                              {"wanted", wanted == row.replicas.end() ? 0U : wanted->second}});
    }
    return rollouts;
}

std::uint64_t originBytes(const FleetView &fleet)
{
    std::uint64_t sum = 0;
    for (const Member &member : fleet.members) {
        sum += member.last.originBytes;
    }
    return sum;
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

json::object reportToJson(const AdminView &view, const ZoneName &zone)
{
    json::object report {{"zone", zone.text()}, {"ready", view.config.isReady()}};
    report["logAnswers"] = view.logAnswers;
    json::array alarms;
    for (const ConfigAlarm &alarm : view.config.alarms) {
        alarms.push_back(json::object {{"offset", alarm.offset.value}, {"detail", alarm.detail}});
    }
    report["alarms"] = std::move(alarms);
    report["agents"] = agentsToJson(view);
    report["originBytes"] = originBytes(view.fleet);
    if (view.config.isReady()) {
        report["offset"] = view.config.state->applied.value;
        report["since"] = view.config.since.time_since_epoch().count();
        report["rollouts"] = rolloutsToJson(view, zone);
    }
    return report;
}

} // namespace greengageseam
