#pragma once

// HTTP side of the engine stand-in: one thread steps the model, one thread per connection reads the
// progress of its stream.
//
//   EngineServer engine(options, gate);
//   engine.installRoutes(server);
//   engine.start();

#include "common/standin.h"
#include "standin-engine/enginemodel.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace cicadafork::standin {

struct EngineOptions
{
    std::string id = "engine-1";
    std::string role = "mixed";
    std::vector<std::string> models = {"base"};
    std::optional<Address> weights; ///< Without it, loads finish at once.
    EngineParameters parameters;
};

/// Set by POST /admin/faults; event faults name the sequence number they affect, -1 is off.
struct EngineFaults
{
    Millis late{0}; ///< Before the first event of a stream.
    std::int64_t crossedEvent = -1;
    std::int64_t truncateAfter = -1;
    std::int64_t duplicateEvent = -1;
    bool staleLoad = false;     ///< The load figures of the status keep their values.
    std::uint64_t gapEvery = 0; ///< Every Nth cache event is missing; 0 is off.
    bool ignoreFencing = false;
    bool leaving = false;         ///< The status says so, and new work is refused.
    bool announceLeaving = false; ///< The status says so, but new work is still accepted.
};

struct Execution
{
    std::uint64_t digest = 0;
    WallTime started;
    std::optional<WallTime> ended;
    StreamState state = StreamState::Prefill;
};

/// Reads the documented YAML file. Throws YAML::Exception on a malformed file or an unknown key.
EngineParameters loadEngineParameters(const std::string &path);

class EngineServer
{
public:
    EngineServer(EngineOptions options, FaultGate &gate);
    ~EngineServer();

    void installRoutes(HttpServer &server);
    void applyFaults(const nlohmann::json &faults);
    void start();
    void stop();
    void leave();
    /// Streams that have not ended.
    std::size_t liveStreams();

private:
    struct Reader
    {
        StreamKey key;
        std::uint64_t next = 0; ///< Sequence number of the next event.
        bool started = false;
        bool complete = false;
        std::uint64_t generation = 0; ///< Which of the stream's readers this is.
    };
    struct Batch
    {
        std::string text;
        bool done = false;
        bool broken = false; ///< The connection ends without a last event.
    };

    void stepLoop();
    void noteEnds(const std::vector<StreamKey> &keys);
    void publishStatus(TimePoint now);
    nlohmann::json loadFigures() const;

    void complete(const httplib::Request &request, httplib::Response &response);
    void resume(const httplib::Request &request, httplib::Response &response);
    void cancelStreams(const httplib::Request &request, httplib::Response &response);
    void createHold(const httplib::Request &request, httplib::Response &response);
    void renewHold(const httplib::Request &request, httplib::Response &response);
    void prefill(const httplib::Request &request, httplib::Response &response);
    void exportHold(const httplib::Request &request, httplib::Response &response);
    void importHold(const httplib::Request &request, httplib::Response &response);
    void order(const httplib::Request &request, httplib::Response &response);
    void loadModel(const std::string &name, const std::string &path);
    nlohmann::json status();
    nlohmann::json holds();
    nlohmann::json streams();
    nlohmann::json executions();
    nlohmann::json memory();
    nlohmann::json cacheEvents(std::uint64_t since);

    StreamState awaitAdmission(std::unique_lock<std::mutex> &lock, const StreamKey &key);
    void streamTo(httplib::Response &response, const StreamKey &key, std::uint64_t from);
    bool sendEvents(Reader &reader, httplib::DataSink &sink);
    Batch collect(Reader &reader);
    std::condition_variable &changeOf(const StreamKey &key);
    bool serves(const std::string &model) const;

    const EngineOptions options_;
    const std::string incarnation_;
    FaultGate &gate_;
    std::mutex mutex_;
    std::condition_variable work_;
    EngineState engine_;
    EngineFaults faults_;
    /// One per stream, so that a step wakes only the readers that have something to send.
    std::map<StreamKey, std::unique_ptr<std::condition_variable>> changes_;
    std::map<StreamKey, std::uint64_t> readers_;  ///< Generation of the newest reader.
    std::map<StreamKey, nlohmann::json> origins_; ///< Holder and incarnation.
    std::map<StreamKey, Execution> executions_;
    std::map<std::string, std::uint64_t> fencing_; ///< Highest number by entity.
    std::set<std::string> models_;
    std::set<std::string> loading_;
    std::string role_;
    nlohmann::json published_;
    nlohmann::json lastLoad_;
    TimePoint publishedAt_;
    std::uint64_t segments_ = 0;
    bool stopped_ = false;
    std::thread stepper_;
    std::vector<std::thread> loaders_;
};

} // namespace cicadafork::standin
