#pragma once

// A bounded table of entities, keyed by id.
//
//   Table<std::string, EndpointRow> endpoints(4096);
//   if (EndpointRow *row = endpoints.insert("engine-1"))
//       row->state = EndpointState::Live;
//
// Every table has a limit, so that no stranger can make a process grow without bound. The owner
// decides what happens at the limit: insert() returns nullptr and changes nothing.
// A Table is not thread-safe; its owner module locks.

#include <cstddef>
#include <unordered_map>
#include <utility>

namespace cicadafork {

template <class Key, class Row>
class Table
{
public:
    explicit Table(std::size_t limit)
        : limit_(limit)
    {
    }

    /// Returns the row of the key, creating it if needed; nullptr when the table is full.
    Row *insert(const Key &key)
    {
        auto found = rows_.find(key);
        if (found != rows_.end())
            return &found->second;
        if (rows_.size() >= limit_) {
            ++rejected_;
            return nullptr;
        }
        return &rows_[key];
    }

    Row *find(const Key &key)
    {
        auto found = rows_.find(key);
        return found == rows_.end() ? nullptr : &found->second;
    }

    const Row *find(const Key &key) const
    {
        auto found = rows_.find(key);
        return found == rows_.end() ? nullptr : &found->second;
    }

    bool erase(const Key &key) { return rows_.erase(key) > 0; }

    /// Removes the rows for which predicate(key, row) holds; returns how many.
    template <class Predicate>
    std::size_t eraseIf(Predicate predicate)
    {
        return std::erase_if(rows_,
                             [&](auto &entry) { return predicate(entry.first, entry.second); });
    }

    template <class Visitor>
    void forEach(Visitor visitor)
    {
        for (auto &[key, row] : rows_)
            visitor(key, row);
    }

    template <class Visitor>
    void forEach(Visitor visitor) const
    {
        for (const auto &[key, row] : rows_)
            visitor(key, row);
    }

    void clear() { rows_.clear(); }
    std::size_t size() const { return rows_.size(); }
    bool empty() const { return rows_.empty(); }
    std::size_t limit() const { return limit_; }
    /// Number of insertions refused because the table was full.
    std::size_t rejected() const { return rejected_; }

private:
    std::unordered_map<Key, Row> rows_;
    std::size_t limit_;
    std::size_t rejected_ = 0;
};

} // namespace cicadafork
