#include "peer/peerloop.h"

#include <future>

namespace cicadafork {

PeerLoop::PeerLoop()
{
    std::promise<void> ready;
    thread_ = std::thread([this, &ready] {
        auto io = kj::setupAsyncIo();
        auto stopped = kj::newPromiseAndCrossThreadFulfiller<void>();
        io_ = &io;
        executor_ = kj::getCurrentThreadExecutor().addRef();
        stop_ = kj::mv(stopped.fulfiller);
        ready.set_value();
        stopped.promise.wait(io.waitScope);
    });
    ready.get_future().wait();
}

PeerLoop::~PeerLoop()
{
    stop_->fulfill();
    thread_.join();
}

} // namespace cicadafork
