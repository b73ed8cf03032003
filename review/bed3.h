#pragma once

// A small deployment for the scripts of the cases 11 to 15: the daemons are processes that are
// started as the deploy file says; the store, the replicas and the clients are stand-ins in this
// program, on loopback addresses and the real clock.
//
//   Bed bed(argc, argv, {.daemons = 2, .config = kConfig});
//   bed.addReplica("i-1", "pool");
//   bed.start();
//   bed.at(Millis(3000), [&] { bed.send({.target = "/note/x", .prompt = "a:40,b:400"}); });
//   bed.runUntil(Millis(60'000));

#include "base/clock.h"
#include "http/address.h"
#include "net/upstream.h"
#include "support/network.h"
#include "support/platformstandin.h"
#include "support/process.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadafork::review {

using test::EndpointStandin;

struct BedOptions
{
    unsigned daemons = 2;
    unsigned zones = 1;   ///< The daemons are in them by turns.
    std::string config;   ///< The operator's first configuration.
    double slack = 104;   ///< bounds.budgetSlack
    bool trouble = false; ///< Set from TROUBLE in the environment.
};

struct SendOptions
{
    std::string target;
    std::string body = {};
    std::string prompt = {}; ///< Prompt-Prefix; none if it is empty.
    unsigned promptTokens = 2000;
    std::string key = "k1";
    Millis deadline{2000};
    std::optional<std::size_t> daemon = {}; ///< Else the next one in rotation.
};

/// One client attempt.
struct Call
{
    std::string id;
    std::size_t daemon = 0;
    TimePoint sentAt{};
    TimePoint endedAt{};
    int status = 0;
    bool complete = false;
    bool saysLeaving = false;
    std::optional<double> limit; ///< The Server-Limit in its answer.
    std::string body;
    std::unique_ptr<UpstreamCall> call;
};

/// A request that has reached a replica.
struct Arrival
{
    std::string replica;
    std::string requestId;
    std::int64_t born = 0;
    TimePoint at{};
    bool ran = false;
};

struct Replica
{
    std::string id;
    std::string service;
    Address address;
    std::int64_t born = 0;
    std::uint64_t seq = 0;
    std::string state = "ready";
    bool reachesStore = true;
    TimePoint nextBeat{};
    std::size_t logRead = 0;
    std::unique_ptr<EndpointStandin> server; ///< Null while it is down.
};

class Bed
{
public:
    Bed(int argc, char **argv, BedOptions options);
    ~Bed();
    Bed(const Bed &) = delete;
    Bed &operator=(const Bed &) = delete;

    bool trouble() const { return options_.trouble; }

    /// Called for each start of a replica, before it takes requests.
    std::function<void(Replica &replica)> prepare;

    void addReplica(const std::string &id, const std::string &service);
    Replica &replica(const std::string &id);
    std::vector<Replica> &replicas() { return replicas_; }
    /// All connections of the replica end, and nothing listens at its address.
    void crash(Replica &replica);
    /// A new incarnation under the same id, at the same address.
    void restart(Replica &replica);
    /// Writes the entry of the replica, with a higher `seq`, if it reaches the store.
    void beat(Replica &replica);

    /// Starts the daemons and waits until all are ready and know each other. Ends the program with
    /// status 2 if they do not become so.
    void start();
    void terminate(std::size_t daemon) { signal(daemon, SIGTERM); }
    void kill(std::size_t daemon) { signal(daemon, SIGKILL); }
    bool running(std::size_t daemon) { return daemons_[daemon].process->running(); }
    void startDaemon(std::size_t daemon);
    /// Since the last start of the daemon or the last signal to it.
    Millis undisturbedFor(std::size_t daemon, TimePoint at) const;
    /// In rotation at the load balancer.
    bool inRotation(std::size_t daemon) const { return daemons_[daemon].inRotation; }

    test::StoreStandin &store() { return store_; }

    Call &send(const SendOptions &options);
    std::deque<Call> &calls() { return calls_; }
    const Call *findCall(const std::string &id) const;
    const std::vector<Arrival> &arrivals() const { return arrivals_; }

    /// Time since start() has returned.
    Millis elapsed() const;
    Millis since(TimePoint time) const;
    void at(Millis time, std::function<void()> action);
    void every(Millis first, Millis interval, Millis end, const std::function<void()> &action);
    void runUntil(Millis time);
    void record(const std::string &line);
    /// Writes the line to the record and to standard output.
    void report(const std::string &line);

private:
    struct Daemon
    {
        std::string ip;
        std::string settings;
        std::string log;
        std::unique_ptr<test::ChildProcess> process;
        TimePoint disturbedAt{};
        bool inRotation = false;
        unsigned misses = 0;
        std::unique_ptr<UpstreamCall> probe;
    };

    void signal(std::size_t daemon, int number);
    void writeSettings(const Daemon &daemon, std::size_t number);
    void step();
    void collectArrivals();
    void probeReadiness();
    bool knowsAll(std::size_t daemon);

    BedOptions options_;
    std::string program_;
    std::string directory_;
    std::ofstream record_;
    asio::io_context context_;
    test::AddressPool addresses_;
    Address storeAddress_;
    test::StoreStandin store_;
    UpstreamPool pool_;
    std::vector<Replica> replicas_;
    std::vector<Daemon> daemons_;
    std::deque<Call> calls_;
    std::map<std::string, Call *> callById_;
    std::vector<Arrival> arrivals_;
    std::multimap<TimePoint, std::function<void()>> later_;
    TimePoint startedAt_{};
    TimePoint nextProbe_{};
    std::size_t rotation_ = 0;
};

/// The configuration of a small deployment: a language model pool with the route /note/ (a stream
/// that may not be resumed), and a plain service with the routes /ping/ (unsafe) and /ack/ (safe).
extern const char *const kSmallConfig;

} // namespace cicadafork::review
