/**
 * The commands of the operators' tool. All of them call the administration API of an entry, except
 * for publishFile(), which writes to the weight store.
 */
#pragma once

#include "core/common/common.h"
#include "net/mailbox.h"

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/** Addresses, credentials and output format of the tool. */
struct ToolSettings
{
    /** HTTP address of an entry; empty for commands that use only the weight store. */
    Address entry;
    /** Address of the weight store; empty for commands that use only an entry. */
    Address store;
    /** The operator's bearer token. */
    std::string token;
    /** Whether to print JSON instead of text. */
    bool asJson = false;

    auto operator<=>(const ToolSettings &) const = default;
};

/** Exit codes of the tool, which its usage text documents. */
enum class ToolExit { Done = 0, Failed = 1, Usage = 2, Conflict = 3, Unknown = 4 };

/** A request to the administration API. */
struct AdminApiCall
{
    std::string method;
    /** Path and query. */
    std::string target;
    std::string body;

    auto operator<=>(const AdminApiCall &) const = default;
};

/** A response of the administration API. */
struct AdminResponse
{
    int status = 0;
    boost::json::object body;
};

/**
 * Calls the administration API.
 * @returns the response, whatever its status, or the failure if there is no valid JSON response
 */
Awaitable<Outcome<AdminResponse>> callAdmin(const asio::any_io_executor &executor,
                                            const ToolSettings &settings, AdminApiCall call);

/** Prints the configuration table. */
Awaitable<ToolExit> showTable(asio::any_io_executor executor, ToolSettings settings);
/** Prints the report on rollouts, agents and alarms. */
Awaitable<ToolExit> showReport(asio::any_io_executor executor, ToolSettings settings);
/**
 * Prints the newest changes, which the entry keeps in memory.
 * @param cell path of the cell to which the output is limited; empty for all
 */
Awaitable<ToolExit> showHistory(asio::any_io_executor executor, ToolSettings settings,
                                std::string cell);
/**
 * Prints all changes that the log still contains.
 * @param cell path of the cell to which the output is limited; empty for all
 * @param author operator to whose changes the output is limited; empty for all
 */
Awaitable<ToolExit> showAudit(asio::any_io_executor executor, ToolSettings settings,
                              std::string cell, std::string author);
/** Prints the verdict on a change. */
Awaitable<ToolExit> showChange(asio::any_io_executor executor, ToolSettings settings,
                               std::string id);
/** A change of the configuration as requested on the command line. */
struct ChangeRequest
{
    /** Edits of the form `path=value`; `path=` clears the cell. */
    std::vector<std::string> edits;
    /** Reason for the change. */
    std::string note;
    /** Identifier of the change, which a retry repeats; empty to have one generated. */
    std::string id;
    /** Offset of the table that the change is based on; if empty, the entry's newest. */
    std::optional<std::uint64_t> base;
    /** Whether to report only the expected verdict without making the change. */
    bool isDryRun = false;

    auto operator<=>(const ChangeRequest &) const = default;
};

/** Proposes (dry run) or accepts a change, and prints the verdict. */
Awaitable<ToolExit> sendChange(asio::any_io_executor executor, ToolSettings settings,
                               ChangeRequest change);
/** Orders an instance to drain. */
Awaitable<ToolExit> drainInstance(asio::any_io_executor executor, ToolSettings settings,
                                  std::string instance);
/**
 * Publishes a file as weights: splits it into chunks, uploads the chunks that the store does not
 * have and then the manifest, and prints the digest of the manifest.
 * @param file path of the file
 * @param chunkBytes size of each chunk but the last
 */
Awaitable<ToolExit> publishFile(asio::any_io_executor executor, ToolSettings settings,
                                std::string file, std::uint64_t chunkBytes);

} // namespace greengageseam
