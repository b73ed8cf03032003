#pragma once

// The thread of the kj event loop that carries all RPC of a daemon.
//
//   PeerLoop loop;
//   PeerServer server(loop, ...);
//   PeerClient client(loop, ...);
//
// Destroy server and client before the loop.

#include <kj/async-io.h>

#include <functional>
#include <thread>

namespace cicadafork {

class PeerLoop
{
public:
    PeerLoop();
    ~PeerLoop();
    PeerLoop(const PeerLoop &) = delete;
    PeerLoop &operator=(const PeerLoop &) = delete;

    /// Runs a function on the loop from another thread and returns its result, waiting for it when
    /// it is a promise. The function itself must not block. Throws what it throws.
    template <class Function>
    auto run(Function &&function)
    {
        return executor_->executeSync(std::forward<Function>(function));
    }

    /// For use on the loop only.
    kj::AsyncIoContext &io() { return *io_; }

private:
    kj::AsyncIoContext *io_ = nullptr;
    kj::Own<const kj::Executor> executor_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
    std::thread thread_;
};

} // namespace cicadafork
