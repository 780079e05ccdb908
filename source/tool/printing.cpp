#include "tool/printing.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <vector>

namespace greengageseam {

namespace json = boost::json;

namespace {

constexpr std::size_t maxColumns = 40;
constexpr std::size_t digestLength = 64;
constexpr std::size_t shownDigestDigits = 12;

/**
 * Prints text in lines of at most 40 columns, broken at blanks. Continuation lines are indented.
 */
void printWrapped(std::ostream &out, const std::string &text)
{
    std::size_t used = 0;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t end = std::min(text.find(' ', at), text.size());
        const std::string word = text.substr(at, end - at);
        if (used > 0 && used + 1 + word.size() > maxColumns) {
            out << "\n  ";
            used = 2;
        } else if (used > 0) {
            out << " ";
            ++used;
        }
        out << word;
        used += word.size();
        at = end + 1;
    }
    out << "\n";
}

/** Shortens a digest to its first digits, which identify it well enough; JSON shows all of them. */
std::string abbreviateDigest(const std::string &value)
{
    const bool isDigest = value.size() == digestLength
            && value.find_first_not_of("0123456789abcdef") == std::string::npos;
    return isDigest ? value.substr(0, shownDigestDigits) + ".." : value;
}

std::vector<json::object> objectsIn(const json::object &object, std::string_view key)
{
    std::vector<json::object> objects;
    const json::value *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_array()) {
        return objects;
    }
    for (const json::value &element : value->get_array()) {
        if (element.is_object()) {
            objects.push_back(element.get_object());
        }
    }
    return objects;
}

/** @returns a time in microseconds since 1970 as `2026-12-04 08:30:00` (UTC) */
std::string formatTime(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_number()) {
        return "";
    }
    const std::chrono::microseconds at(value->to_number<std::int64_t>());
    const std::time_t seconds = std::chrono::duration_cast<std::chrono::seconds>(at).count();
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::string text(maxColumns, '\0');
    text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts));
    return text;
}

void printRollout(std::ostream &out, const json::object &rollout)
{
    std::string line = textMember(rollout, "model") + " " + textMember(rollout, "version") + ": "
            + textMember(rollout, "serving") + " of " + textMember(rollout, "wanted")
            + " replicas serving";
    if (textMember(rollout, "done") == "false") {
        line += ", " + textMember(rollout, "seconds") + " s so far, "
                + textMember(rollout, "originBytes") + " origin bytes";
    }
    printWrapped(out, line);
}

void printAgent(std::ostream &out, const json::object &agent)
{
    std::string line = textMember(agent, "instance") + " " + textMember(agent, "phase")
            + ", offset " + textMember(agent, "offset");
    const std::string behind = textMember(agent, "behindSeconds");
    const std::string problem = textMember(agent, "trouble");
    line += behind.empty() ? "" : ", behind for " + behind + " s";
    line += problem.empty() ? "" : ", " + problem;
    printWrapped(out, line);
}

void printAlarms(std::ostream &out, const json::object &report)
{
    if (textMember(report, "ready") != "true") {
        printWrapped(out, "ALARM this entry has no active configuration");
    }
    if (textMember(report, "logAnswers") != "true") {
        printWrapped(out,
                     "ALARM the log has not answered for " + textMember(report, "logSilentSeconds")
                             + " s");
    }
    for (const json::object &alarm : objectsIn(report, "alarms")) {
        printWrapped(out,
                     "ALARM " + textMember(alarm, "detail") + " (" + textMember(alarm, "secondsAgo")
                             + " s ago)");
    }
}

} // namespace

std::string textMember(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr) {
        return "";
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

void printTable(std::ostream &out, const json::object &table)
{
    out << "offset " << textMember(table, "offset") << "\n";
    for (const json::object &cell : objectsIn(table, "cells")) {
        printWrapped(out,
                     textMember(cell, "path") + " = "
                             + abbreviateDigest(textMember(cell, "value")));
    }
}

void printReport(std::ostream &out, const json::object &report)
{
    printWrapped(out,
                 textMember(report, "entry") + ", zone " + textMember(report, "zone") + ", offset "
                         + textMember(report, "offset") + ", active for "
                         + textMember(report, "inForceSeconds") + " s");
    printAlarms(out, report);
    for (const json::object &rollout : objectsIn(report, "rollouts")) {
        printRollout(out, rollout);
    }
    for (const json::object &agent : objectsIn(report, "agents")) {
        printAgent(out, agent);
    }
    out << "origin bytes " << textMember(report, "originBytes") << "\n";
}

void printVerdict(std::ostream &out, const json::object &verdict)
{
    const std::string reason = textMember(verdict, "reason");
    out << "change " << textMember(verdict, "change") << "\n";
    printWrapped(out, textMember(verdict, "verdict") + (reason.empty() ? "" : ": " + reason));
}

void printHistory(std::ostream &out, const json::object &history)
{
    for (const json::object &change : objectsIn(history, "changes")) {
        printWrapped(out,
                     textMember(change, "offset") + " " + formatTime(change, "proposedAt") + " "
                             + textMember(change, "author"));
        printVerdict(out, change);
        if (const std::string note = textMember(change, "note"); !note.empty()) {
            printWrapped(out, "note: " + note);
        }
        for (const json::object &edit : objectsIn(change, "edits")) {
            printWrapped(out,
                         "  " + textMember(edit, "path") + " = "
                                 + abbreviateDigest(textMember(edit, "value")));
        }
    }
    if (const std::string reason = textMember(history, "incomplete"); !reason.empty()) {
        printWrapped(out, "incomplete: " + reason);
    }
}

} // namespace greengageseam
