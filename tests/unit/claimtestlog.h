#pragma once

// An in-memory log whose appends fail as the test specifies.
//
//   ScriptedLog log;
//   log.failNext({AppendFault::LoseReply});
//
// Thread-safe.

#include "logservice/logclient.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace cicadafork {

enum class AppendFault {
    None,
    LoseReply, ///< The record is stored and the call fails.
    Refuse,    ///< Nothing is stored and the call fails.
    Delay,     ///< The call fails; the record is stored by storeDelayed().
    Duplicate, ///< The record is stored twice.
};

class ScriptedLog : public LogClient
{
public:
    Result<Offset> append(const std::string &stream, const nlohmann::json &data,
                          Millis timeout) override
    {
        (void)timeout;
        std::lock_guard lock(mutex_);
        ++appends_;
        if (down_)
            return unavailable();
        AppendFault fault = AppendFault::None;
        if (!faults_.empty()) {
            fault = faults_.front();
            faults_.pop_front();
        }
        if (fault == AppendFault::Refuse)
            return unavailable();
        if (fault == AppendFault::Delay) {
            delayed_.emplace_back(stream, data);
            return unavailable();
        }
        const Offset offset = store(stream, data);
        if (fault == AppendFault::Duplicate)
            store(stream, data);
        if (fault == AppendFault::LoseReply)
            return unavailable();
        return offset;
    }

    Result<LogPage> read(const std::string &stream, Offset from, std::size_t limit, Millis wait,
                         Millis timeout) override
    {
        (void)timeout;
        std::unique_lock lock(mutex_);
        ++reads_;
        if (down_)
            return unavailable();
        changed_.wait_for(lock, wait, [&] { return down_ || end(stream) > from; });
        LogPage page;
        page.first = first_[stream];
        page.next = from;
        if (from < page.first) {
            page.expired = true;
            page.next = page.first;
            return page;
        }
        for (const LogRecord &record : streams_[stream]) {
            if (record.offset >= from && page.records.size() < limit) {
                page.records.push_back(record);
                page.next = record.offset + 1;
            }
        }
        return page;
    }

    /// Faults of the next appends, in order.
    void failNext(std::deque<AppendFault> faults)
    {
        std::lock_guard lock(mutex_);
        faults_ = std::move(faults);
    }

    void storeDelayed()
    {
        std::lock_guard lock(mutex_);
        for (const auto &[stream, data] : delayed_)
            store(stream, data);
        delayed_.clear();
    }

    void setDown(bool down)
    {
        std::lock_guard lock(mutex_);
        down_ = down;
        changed_.notify_all();
    }

    /// Drops the records below an offset, as the log does when they expire.
    void expire(const std::string &stream, Offset first)
    {
        std::lock_guard lock(mutex_);
        first_[stream] = first;
        std::erase_if(streams_[stream], [&](const LogRecord &r) { return r.offset < first; });
    }

    /// Moves the timestamps of the stored records back.
    void backdate(const std::string &stream, Millis by)
    {
        std::lock_guard lock(mutex_);
        for (LogRecord &record : streams_[stream])
            record.time -= by;
    }

    std::vector<LogRecord> records(const std::string &stream)
    {
        std::lock_guard lock(mutex_);
        return streams_[stream];
    }

    int appends()
    {
        std::lock_guard lock(mutex_);
        return appends_;
    }

    int reads()
    {
        std::lock_guard lock(mutex_);
        return reads_;
    }

private:
    static boost::leaf::error_id unavailable()
    {
        return fail(ErrorCode::Unavailable, "the test log is unavailable", "retry");
    }

    Offset end(const std::string &stream)
    {
        const auto &records = streams_[stream];
        return records.empty() ? first_[stream] : records.back().offset + 1;
    }

    Offset store(const std::string &stream, const nlohmann::json &data)
    {
        const Offset offset = end(stream);
        streams_[stream].push_back({offset, wallNow(), data});
        changed_.notify_all();
        return offset;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<LogRecord>> streams_;
    std::map<std::string, Offset> first_;
    std::deque<AppendFault> faults_;
    std::vector<std::pair<std::string, nlohmann::json>> delayed_;
    bool down_ = false;
    int appends_ = 0;
    int reads_ = 0;
};

} // namespace cicadafork
