#include "net/listenprobe.h"

#include <utility>

namespace cicadafork {

struct ListenProbe::State
{
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    Done done; ///< Empty once it was called or the probe is destroyed.

    State(asio::io_context &context, Done whenDone)
        : socket(context)
        , timer(context)
        , done(std::move(whenDone))
    {
    }

    void finish(ProbeResult result)
    {
        const Done callback = std::exchange(done, nullptr);
        asio::error_code ignored;
        timer.cancel();
        socket.close(ignored);
        if (callback)
            callback(result);
    }
};

ListenProbe::ListenProbe(asio::io_context &context, const Dialer &dialer, const Address &address,
                         Millis timeout, Done done)
    : state_(std::make_shared<State>(context, std::move(done)))
{
    state_->timer.expires_after(timeout);
    state_->timer.async_wait([state = state_](const asio::error_code &cancelled) {
        if (!cancelled)
            state->finish(ProbeResult::Unknown);
    });
    dialer.connect(state_->socket, address, [state = state_](const asio::error_code &failed) {
        if (!failed)
            state->finish(ProbeResult::Listens);
        else if (failed == asio::error::connection_refused)
            state->finish(ProbeResult::Refused);
        else
            state->finish(ProbeResult::Unknown);
    });
}

ListenProbe::~ListenProbe()
{
    state_->done = nullptr;
    state_->finish(ProbeResult::Unknown);
}

} // namespace cicadafork
