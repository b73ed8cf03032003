#include "net/answerroom.h"

#include "base/log.h"

#include <asio/post.hpp>

#include <algorithm>

namespace cicadafork {

AnswerRoom::AnswerRoom(asio::io_context &context, std::size_t limit)
    : context_(context)
    , limit_(limit)
{
}

void AnswerRoom::giveUpLargest()
{
    AnswerHold &largest = **std::ranges::max_element(
            holds_, {}, [](const AnswerHold *hold) { return hold->bytes_; });
    logEvent(LogLevel::Warning, "answer_given_up",
             {{"bytes", std::to_string(largest.bytes_)},
              {"held", std::to_string(used_)},
              {"limit", std::to_string(limit_)}});
    largest.resize(0);
    largest.isGivenUp_ = true;
    ++givenUp_;
    // Its owner may be in the middle of using the answer.
    asio::post(context_, largest.giveUp_);
}

AnswerHold::AnswerHold(AnswerRoom *room, std::function<void()> giveUp)
    : room_(room)
    , giveUp_(std::move(giveUp))
{
}

AnswerHold::~AnswerHold()
{
    resize(0);
}

void AnswerHold::resize(std::size_t bytes)
{
    if (!room_ || isGivenUp_ || bytes == bytes_)
        return;
    if (bytes_ == 0)
        room_->holds_.insert(this);
    else if (bytes == 0)
        room_->holds_.erase(this);
    room_->used_ += bytes;
    room_->used_ -= bytes_;
    bytes_ = bytes;
    while (room_->limit_ > 0 && room_->used_ > room_->limit_)
        room_->giveUpLargest();
}

} // namespace cicadafork
