/**
 * HTTP client of the platform's append-only log.
 */
#pragma once

#include "core/common/common.h"
#include "net/mailbox.h"

#include <functional>
#include <string>
#include <vector>

namespace greengageseam {

/** A record of the log. */
struct LogRecord
{
    Offset offset;
    std::string text;

    auto operator<=>(const LogRecord &) const = default;
};

/** Result of one read of the log. */
struct LogBatch
{
    /** Identity of the log; it changes if the log is reset. */
    std::string logId;
    /** Offset of the oldest retained record. */
    Offset firstOffset;
    /** Offset that the next append will get. */
    Offset nextOffset;
    std::vector<LogRecord> records;

    auto operator<=>(const LogBatch &) const = default;
};

/** Parameters of a read: records from an offset on, with a long-poll timeout if there are none. */
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
 * @returns the record's offset; PlatformUnavailable if the record was not appended, OutcomeUnknown
 * if it may have been appended
 */
using AppendToLog = std::function<Awaitable<Outcome<Offset>>(std::string stream, std::string text)>;

/** Hook that reads records. @returns the records, or PlatformUnavailable if the read failed */
using ReadLog = std::function<Awaitable<Outcome<LogBatch>>(LogQuery query)>;

/** Name of the stream on which operators publish configuration. */
extern const std::string configStream;
/** Name of the stream on which agents register their incarnations. */
extern const std::string incarnationStream;

/** Calls the log service over HTTP. */
class LogClient
{
public:
    /** @param timeout time limit for one call, without the long-poll timeout of a read */
    LogClient(const asio::any_io_executor &executor, Address address, Duration timeout);

    /** @see AppendToLog */
    Awaitable<Outcome<Offset>> append(std::string stream, std::string text) const;
    /** @see ReadLog */
    Awaitable<Outcome<LogBatch>> read(LogQuery query) const;

    /** @returns append() as a hook that holds a copy of this client */
    AppendToLog appender() const;
    /** @returns read() as a hook that holds a copy of this client */
    ReadLog reader() const;

private:
    asio::any_io_executor m_executor;
    Address m_address;
    Duration m_timeout;
};

} // namespace greengageseam
