/**
 * Client of the platform's append-only log.
 */
#pragma once

#include "core/common/common.h"
#include "net/mailbox.h"

#include <functional>
#include <string>
#include <vector>

namespace greengageseam {

/** A record as it stands in the log. */
struct LogRecord
{
    Offset offset;
    std::string text;

    auto operator<=>(const LogRecord &) const = default;
};

/** What one read of the log gave. */
struct LogBatch
{
    /** Identity of the log; another one means that the log began anew. */
    std::string logId;
    /** Offset of the oldest record that is still kept. */
    Offset firstOffset;
    /** Offset that the next append will get. */
    Offset nextOffset;
    std::vector<LogRecord> records;

    auto operator<=>(const LogBatch &) const = default;
};

/** What to read: records from an offset on, waiting a while if there are none yet. */
struct LogQuery
{
    std::string stream;
    Offset fromOffset;
    std::uint32_t maxRecords = 256;
    Duration pollTimeout {};

    auto operator<=>(const LogQuery &) const = default;
};

/**
 * Hook that appends a record.
 * @returns its offset; PlatformUnavailable if nothing was appended, OutcomeUnknown if it may have
 */
using AppendToLog = std::function<Awaitable<Outcome<Offset>>(std::string stream, std::string text)>;

/** Hook that reads records. @returns PlatformUnavailable if the log does not answer */
using ReadLog = std::function<Awaitable<Outcome<LogBatch>>(LogQuery query)>;

/** Name of the stream on which operators publish configuration. */
extern const std::string configStream;
/** Name of the stream on which agents register their incarnations. */
extern const std::string incarnationStream;

/** Speaks to the log service over HTTP. */
class LogClient
{
public:
    /** @param limit time for one call, without the wait of a read */
    LogClient(const asio::any_io_executor &executor, Address address, Duration timeout);

    /** @see AppendToLog */
    Awaitable<Outcome<Offset>> append(std::string stream, std::string text) const;
    /** @see ReadLog */
    Awaitable<Outcome<LogBatch>> read(LogQuery query) const;

    /** @returns append() as a hook */
    AppendToLog appender() const;
    /** @returns read() as a hook */
    ReadLog reader() const;

private:
    asio::any_io_executor m_executor;
    Address m_address;
    Duration m_timeout;
};

} // namespace greengageseam
