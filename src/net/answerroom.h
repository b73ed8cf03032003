#pragma once

// Room for the bytes of answers that a process holds: those that have arrived and are not passed
// on yet, and those that their receivers have not taken.
//
//   AnswerRoom room(context, limit);
//   AnswerHold hold(&room, [weak = weak_from_this()] { ... });   // gives the answer up
//   hold.resize(bytes);
//
// Answers the load of servers that send without end and of receivers that do not read. Beyond the
// limit the largest answer is given up, so answers of usual size go on beside those without end.

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_set>

namespace cicadafork {

class AnswerHold;

class AnswerRoom
{
public:
    /// The limit is in bytes; 0: unlimited.
    AnswerRoom(asio::io_context &context, std::size_t limit);
    AnswerRoom(const AnswerRoom &) = delete;
    AnswerRoom &operator=(const AnswerRoom &) = delete;

    std::size_t used() const { return used_; }
    /// Number of answers that were given up since the start.
    std::uint64_t givenUp() const { return givenUp_; }

private:
    friend class AnswerHold;

    void giveUpLargest();

    asio::io_context &context_;
    std::size_t limit_;
    std::size_t used_ = 0;
    std::uint64_t givenUp_ = 0;
    std::unordered_set<AnswerHold *> holds_; ///< Those that hold bytes.
};

/// The bytes of one answer. The room must outlive it.
class AnswerHold
{
public:
    /// `giveUp` is called on a later turn of the event loop, also when the hold exists no more. A
    /// null room is unlimited.
    AnswerHold(AnswerRoom *room, std::function<void()> giveUp);
    ~AnswerHold();
    AnswerHold(const AnswerHold &) = delete;
    AnswerHold &operator=(const AnswerHold &) = delete;

    /// Does nothing once the answer is given up.
    void resize(std::size_t bytes);

private:
    friend class AnswerRoom;

    AnswerRoom *room_;
    std::function<void()> giveUp_;
    std::size_t bytes_ = 0;
    bool isGivenUp_ = false;
};

} // namespace cicadafork
