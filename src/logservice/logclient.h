#pragma once

// Client of the platform's append-only log service. When daemons append concurrently, the order of
// the offsets decides which record takes effect.
//
//   HttpLogClient log(settings.platform.log);
//   BOOST_LEAF_AUTO(offset, log.append("config", record, Millis(1000)));
//
// A failed append may still have stored the record: read the stream for it before appending again.

#include "base/clock.h"
#include "base/error.h"
#include "base/traffic.h"
#include "http/address.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cicadafork {

/// Position of a record in its stream; the first record of a stream has offset 0.
using Offset = std::uint64_t;

struct LogRecord
{
    Offset offset = 0;
    WallTime time; ///< When the log service stored the record.
    nlohmann::json data;
};

struct LogPage
{
    Offset first = 0; ///< Oldest offset that the service still stores.
    Offset next = 0;  ///< Offset to pass to the next read.
    std::vector<LogRecord> records;
    bool expired = false; ///< The requested offset is older than first; records is empty.
};

class LogClient
{
public:
    virtual ~LogClient() = default;

    /// Appends one record and returns its offset. Fails with DeadlineExceeded or Unavailable; the
    /// record may have been stored in either case.
    virtual Result<Offset> append(const std::string &stream, const nlohmann::json &data,
                                  Millis timeout)
            = 0;

    /// Reads up to limit records, starting at offset from. If there is none yet, the service waits
    /// up to wait for one; the request times out after wait + timeout.
    virtual Result<LogPage> read(const std::string &stream, Offset from, std::size_t limit,
                                 Millis wait, Millis timeout)
            = 0;
};

struct LogMeters
{
    TrafficMeter append;
    TrafficMeter read;
};

/// LogClient over HTTP. Thread-safe.
class HttpLogClient : public LogClient
{
public:
    explicit HttpLogClient(Address address, LogMeters meters = {})
        : address_(std::move(address))
        , meters_(meters)
    {
    }

    Result<Offset> append(const std::string &stream, const nlohmann::json &data,
                          Millis timeout) override;
    Result<LogPage> read(const std::string &stream, Offset from, std::size_t limit, Millis wait,
                         Millis timeout) override;

private:
    Address address_;
    LogMeters meters_;
};

} // namespace cicadafork
