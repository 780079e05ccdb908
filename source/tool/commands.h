/**
 * The commands of the command-line tool, each a client of the administration API.
 */
#pragma once

#include "core/common/common.h"
#include "net/mailbox.h"

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/** Where the tool speaks to, and how it prints. */
struct ToolSettings
{
    Address entry;
    Address store;
    std::string token;
    /** Print JSON instead of text. */
    bool asJson = false;

    auto operator<=>(const ToolSettings &) const = default;
};

/** Exit codes, which the help lists. */
enum class ToolExit { Done = 0, Failed = 1, Usage = 2, Conflict = 3, Unknown = 4 };

/** One call of the administration API. */
struct AdminApiCall
{
    std::string method;
    std::string target;
    std::string body;

    auto operator<=>(const AdminApiCall &) const = default;
};

/** What the API answered. */
struct AdminResponse
{
    int status = 0;
    boost::json::object body;
};

/** Calls the administration API. @returns the answer with any status, or why there was none */
Awaitable<Outcome<AdminResponse>> callAdmin(const asio::any_io_executor &executor,
                                            const ToolSettings &settings, AdminApiCall call);

/** Prints the table. */
Awaitable<ToolExit> showTable(asio::any_io_executor executor, ToolSettings settings);
/** Prints the report. */
Awaitable<ToolExit> showReport(asio::any_io_executor executor, ToolSettings settings);
/** Prints the newest changes, of one cell or all, from the entry's memory. */
Awaitable<ToolExit> showHistory(asio::any_io_executor executor, ToolSettings settings,
                                std::string cell);
/** Prints the changes that the log still keeps, by cell and author. */
Awaitable<ToolExit> showAudit(asio::any_io_executor executor, ToolSettings settings,
                              std::string cell, std::string author);
/** Prints what became of a change. */
Awaitable<ToolExit> showChange(asio::any_io_executor executor, ToolSettings settings,
                               std::string id);
/** A change as an operator asks for it. */
struct ChangeRequest
{
    /** `path=value` each; `path=` clears the cell. */
    std::vector<std::string> edits;
    std::string note;
    /** Identifier of the change, the same in a retry; empty for a new one. */
    std::string id;
    /** Offset of the table that the operator looked at; without it, the entry's newest. */
    std::optional<std::uint64_t> base;
    /** Only says what would become of the change. */
    bool isDryRun = false;

    auto operator<=>(const ChangeRequest &) const = default;
};

/** Proposes (dry run) or accepts a change. */
Awaitable<ToolExit> sendChange(asio::any_io_executor executor, ToolSettings settings,
                               ChangeRequest change);
/** Drains an instance. */
Awaitable<ToolExit> drainInstance(asio::any_io_executor executor, ToolSettings settings,
                                  std::string instance);
/**
 * Publishes a file as weights: splits it into chunks, stores those that the store lacks, then the
 * manifest, and prints the manifest's digest.
 */
Awaitable<ToolExit> publishFile(asio::any_io_executor executor, ToolSettings settings,
                                std::string file, std::uint64_t chunkBytes);

} // namespace greengageseam
