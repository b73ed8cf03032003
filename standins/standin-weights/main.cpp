// Stand-in of the platform's weight store. All downloads share one rate limit.

#include "common/standin.h"

#include <atomic>
#include <mutex>

using namespace cicadafork;
using namespace cicadafork::standin;

namespace {

constexpr std::size_t kPieceBytes = 64 * 1024;

struct WeightState
{
    std::mutex mutex;
    double bytesPerSecond = 1e9;
    std::size_t bytes = 1024 * 1024; ///< Size of every version of every model.
    TimePoint nextPiece;
};

// Books one piece of the shared bandwidth and returns when it may be sent.
TimePoint bookPiece(WeightState &state, std::size_t bytes)
{
    const std::lock_guard lock(state.mutex);
    const auto cost
            = static_cast<std::int64_t>(1e6 * static_cast<double>(bytes) / state.bytesPerSecond);
    state.nextPiece = std::max(state.nextPiece, steadyNow()) + Micros(cost);
    return state.nextPiece;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-weights", "Stand-in of the platform's weight store");
    addCommonFlags(options);
    const auto flags = parseFlags(options, argc, argv);
    blockSignals();
    FaultGate gate;
    WeightState state;
    HttpServer server(serverOptions(flags));
    installFaults(
            server, gate,
            [&](const nlohmann::json &faults) {
                const std::lock_guard lock(state.mutex);
                state.bytesPerSecond
                        = std::max(1.0, faults.value("bytes_per_second", state.bytesPerSecond));
                state.bytes = faults.value("model_bytes", state.bytes);
            },
            flags);
    server.routes().Get("/weights/([^/]+)/([^/]+)", gate.guard([&](const auto &, auto &response) {
        std::unique_lock lock(state.mutex);
        const std::size_t size = state.bytes;
        lock.unlock();
        response.set_content_provider(size, "application/octet-stream",
                                      [&](std::size_t, std::size_t left, httplib::DataSink &sink) {
                                          const std::size_t bytes = std::min(left, kPieceBytes);
                                          std::this_thread::sleep_until(bookPiece(state, bytes));
                                          const std::string piece(bytes, 'w');
                                          return !gate.stopped()
                                                 && sink.write(piece.data(), piece.size());
                                      });
    }));
    return serveUntilSignal(server, gate, "standin-weights");
}
