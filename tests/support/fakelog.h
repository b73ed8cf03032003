#pragma once

// In-memory log service with fault injection.
//
//   FakeLog log(seed);
//   log.setFaults({.lostAnswers = 0.2, .lostAppends = 0.1});
//
// Thread-safe. The faults are reproducible from the seed and the sequence of calls.

#include "logservice/logclient.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>

namespace cicadafork::test {

/// Probability of each fault, from 0 to 1.
struct FakeLogFaults
{
    double lostAnswers = 0;       ///< The append takes effect and fails.
    double lostAppends = 0;       ///< The append fails without effect.
    double duplicatedAppends = 0; ///< The append takes effect twice.
    double failedReads = 0;
};

class FakeLog : public LogClient
{
public:
    explicit FakeLog(std::uint64_t seed = 1)
        : random_(seed)
    {
    }

    void setFaults(FakeLogFaults faults)
    {
        const std::lock_guard lock(mutex_);
        faults_ = faults;
    }

    /// While down, every call fails and has no effect.
    void setDown(bool down)
    {
        const std::lock_guard lock(mutex_);
        down_ = down;
    }

    /// Expires the records of a stream before the offset.
    void expire(const std::string &stream, Offset first)
    {
        const std::lock_guard lock(mutex_);
        first_[stream] = first;
    }

    /// All appended records, including expired ones.
    std::vector<LogRecord> records(const std::string &stream) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = streams_.find(stream);
        return found == streams_.end() ? std::vector<LogRecord>{} : found->second;
    }

    Result<Offset> append(const std::string &stream, const nlohmann::json &data, Millis) override
    {
        const std::lock_guard lock(mutex_);
        if (down_ || occurs(faults_.lostAppends))
            return fail(ErrorCode::Unavailable, "append lost", "retry");
        auto &records = streams_[stream];
        const Offset offset = records.size();
        records.push_back({offset, wallNow(), data});
        if (occurs(faults_.duplicatedAppends))
            records.push_back({offset + 1, wallNow(), data});
        appended_.notify_all();
        if (occurs(faults_.lostAnswers))
            return fail(ErrorCode::DeadlineExceeded, "answer lost", "look for the record");
        return offset;
    }

    Result<LogPage> read(const std::string &stream, Offset from, std::size_t limit, Millis wait,
                         Millis) override
    {
        std::unique_lock lock(mutex_);
        if (down_ || occurs(faults_.failedReads))
            return fail(ErrorCode::Unavailable, "read failed", "retry");
        appended_.wait_for(lock, wait, [&] { return streams_[stream].size() > from; });
        const auto &records = streams_[stream];
        LogPage page;
        page.first = first_[stream];
        page.expired = from < page.first;
        page.next = page.expired ? page.first : from;
        if (page.expired)
            return page;
        for (Offset i = from; i < records.size() && page.records.size() < limit; ++i)
            page.records.push_back(records[i]);
        page.next = from + page.records.size();
        return page;
    }

private:
    bool occurs(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    mutable std::mutex mutex_;
    std::condition_variable appended_;
    std::mt19937_64 random_;
    FakeLogFaults faults_;
    bool down_ = false;
    std::map<std::string, std::vector<LogRecord>> streams_;
    std::map<std::string, Offset> first_;
};

} // namespace cicadafork::test
