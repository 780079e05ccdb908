/**
 * The HTML page of the report.
 */
#include "entry/reporttext.h"

namespace greengageseam {

namespace json = boost::json;

namespace {

const std::string pageHead = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
                             "<meta name=\"viewport\" content=\"width=device-width\">"
                             "<title>greengageseam</title><style>"
                             "body{font:16px sans-serif;margin:.6em}td{padding:.1em .5em 0 0}"
                             ".bad{color:#b00020;font-weight:bold}</style></head><body>";

std::string escaped(std::string_view text)
{
    std::string html;
    for (const char c : text) {
        switch (c) {
        case '&':
            html += "&amp;";
            break;
        case '<':
            html += "&lt;";
            break;
        case '>':
            html += "&gt;";
            break;
        case '"':
            html += "&quot;";
            break;
        default:
            html.push_back(c);
        }
    }
    return html;
}

/** @returns a member of a JSON object as escaped HTML text; empty if it is missing */
std::string member(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr) {
        return "";
    }
    return escaped(value->is_string() ? std::string(value->get_string()) : json::serialize(*value));
}

std::string bad(const std::string &text)
{
    return "<p class=\"bad\">" + text + "</p>";
}

std::string rolloutRow(const json::object &rollout)
{
    const bool isDone = member(rollout, "done") == "true";
    std::string row = "<tr><td>" + member(rollout, "model") + " " + member(rollout, "version")
            + "</td><td>" + member(rollout, "serving") + " of " + member(rollout, "wanted")
            + "</td><td>";
    if (isDone) {
        row += "serves";
    } else {
        row += member(rollout, "seconds") + " s, " + member(rollout, "originBytes")
                + " origin bytes";
    }
    return row + "</td></tr>";
}

std::string agentRow(const json::object &agent)
{
    const std::string behind = member(agent, "behindSeconds");
    std::string row = "<tr><td>" + member(agent, "instance") + "</td><td>" + member(agent, "phase")
            + "</td><td>offset " + member(agent, "offset");
    if (!behind.empty()) {
        row += " <span class=\"bad\">behind " + behind + " s</span>";
    }
    return row + "</td><td>" + member(agent, "trouble") + "</td></tr>";
}

template <typename MakeRow>
std::string table(const json::object &report, std::string_view key, MakeRow makeRow)
{
    std::string html = "<table>";
    const json::value *rows = report.if_contains({key.data(), key.size()});
    if (rows != nullptr && rows->is_array()) {
        for (const json::value &row : rows->get_array()) {
            html += makeRow(row.get_object());
        }
    }
    return html + "</table>";
}

std::string alarms(const json::object &report)
{
    std::string html;
    if (member(report, "ready") != "true") {
        html += bad("this entry has no configuration");
    }
    if (member(report, "logAnswers") != "true") {
        html += bad("the log has not responded for " + member(report, "logSilentSeconds") + " s");
    }
    for (const json::value &alarm : report.at("alarms").as_array()) {
        html += bad(member(alarm.get_object(), "detail") + " ("
                    + member(alarm.get_object(), "secondsAgo") + " s ago)");
    }
    return html;
}

} // namespace

std::string reportPage(const json::object &report)
{
    std::string html = pageHead + "<p>" + member(report, "entry") + ", zone "
            + member(report, "zone") + "</p>";
    html += alarms(report);
    html += "<p>offset " + member(report, "offset") + " in force since "
            + member(report, "inForceSeconds") + " s; " + member(report, "agentsBehind")
            + " agents are behind</p>";
    html += table(report, "rollouts", rolloutRow);
    html += table(report, "agents", agentRow);
    return html + "<p>origin bytes " + member(report, "originBytes") + "</p></body></html>\n";
}

} // namespace greengageseam
