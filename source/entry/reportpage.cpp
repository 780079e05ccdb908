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
std::string escapedMember(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr) {
        return "";
    }
    return escaped(value->is_string() ? std::string(value->get_string()) : json::serialize(*value));
}

std::string errorParagraph(const std::string &text)
{
    return "<p class=\"bad\">" + text + "</p>";
}

std::string rolloutRow(const json::object &rollout)
{
    const bool isDone = escapedMember(rollout, "done") == "true";
    std::string row = "<tr><td>" + escapedMember(rollout, "model") + " "
            + escapedMember(rollout, "version") + "</td><td>" + escapedMember(rollout, "serving")
            + " of " + escapedMember(rollout, "wanted") + "</td><td>";
    if (isDone) {
        row += "serves";
    } else {
        row += escapedMember(rollout, "seconds") + " s, " + escapedMember(rollout, "originBytes")
                + " origin bytes";
    }
    return row + "</td></tr>";
}

std::string agentRow(const json::object &agent)
{
    const std::string behind = escapedMember(agent, "behindSeconds");
    std::string row = "<tr><td>" + escapedMember(agent, "instance") + "</td><td>"
            + escapedMember(agent, "phase") + "</td><td>offset " + escapedMember(agent, "offset");
    if (!behind.empty()) {
        row += " <span class=\"bad\">behind " + behind + " s</span>";
    }
    return row + "</td><td>" + escapedMember(agent, "trouble") + "</td></tr>";
}

template <typename MakeRow>
std::string tableHtml(const json::object &report, std::string_view key, MakeRow makeRow)
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

std::string alarmsHtml(const json::object &report)
{
    std::string html;
    if (escapedMember(report, "ready") != "true") {
        html += errorParagraph("this entry has no active configuration");
    }
    if (escapedMember(report, "logAnswers") != "true") {
        html += errorParagraph("the log has not answered for "
                               + escapedMember(report, "logSilentSeconds") + " s");
    }
    for (const json::value &alarm : report.at("alarms").as_array()) {
        html += errorParagraph(escapedMember(alarm.get_object(), "detail") + " ("
                               + escapedMember(alarm.get_object(), "secondsAgo") + " s ago)");
    }
    return html;
}

} // namespace

std::string reportPage(const json::object &report)
{
    std::string html = pageHead + "<p>" + escapedMember(report, "entry") + ", zone "
            + escapedMember(report, "zone") + "</p>";
    html += alarmsHtml(report);
    html += "<p>offset " + escapedMember(report, "offset") + " in force for "
            + escapedMember(report, "inForceSeconds") + " s; "
            + escapedMember(report, "agentsBehind") + " agents are behind</p>";
    html += tableHtml(report, "rollouts", rolloutRow);
    html += tableHtml(report, "agents", agentRow);
    return html + "<p>origin bytes " + escapedMember(report, "originBytes")
            + "</p></body></html>\n";
}

} // namespace greengageseam
