#pragma once

// Stand-ins of the platform: its store, a process of the deploy file, and replicas.
//
//   Store store("127.10.0.1");
//   store.put("keyed.op", "config", text);
//   Daemon daemon({.name = "front-a-1", .ip = "127.10.1.1", ...});
//   Replica replica({.id = "i-1", .service = "writer", ...}, store, record);

#include "net.h"

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace review {

/// The record of a case: a line for each thing that was sent, answered or run.
class Record
{
public:
    explicit Record(const std::string &path);

    void line(const std::string &text);
    /// A replica has got the request. `sound` tells whether it does its work on it.
    void notePassed(const std::string &requestId, bool sound);
    bool wasPassedToSound(const std::string &requestId);
    bool wasPassed(const std::string &requestId);

private:
    std::mutex mutex_;
    std::map<std::string, bool> passed_; ///< By request: to a sound replica too.
    std::ofstream file_;
    TimePoint start_ = Clock::now();
};

/// Accepts connections and serves each in a thread of its own until it is destroyed.
class ThreadedServer
{
public:
    using Serve = std::function<void(Socket &socket)>;

    ThreadedServer(const std::string &ip, Serve serve);
    ~ThreadedServer();

    const Address &address() const { return listener_.address(); }
    bool stopping() const { return stopping_; }

private:
    void run();

    Listener listener_;
    Serve serve_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> open_ = 0;
    std::thread thread_;
};

/// The platform's log, with the calls that a daemon makes.
class Store
{
public:
    explicit Store(const std::string &ip);

    const Address &address() const { return server_.address(); }
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Entry
    {
        std::string key;
        std::string value;
    };

    void serve(Socket &socket);
    std::string answer(const Message &request);
    std::string newest(const std::string &topic);
    std::string readFrom(const std::string &topic, std::size_t from, Millis wait);
    void append(const std::string &topic, std::string_view body);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<Entry>> topics_;
    std::atomic<bool> stopping_ = false;
    ThreadedServer server_;
};

struct DaemonOptions
{
    std::string root; ///< Of the repository.
    std::string work; ///< Folder for settings and logs.
    std::string name;
    std::string zone;
    std::string ip;
    std::uint16_t port = 0; ///< For callers; the next free ones are for the other listeners.
    std::uint16_t readyPort = 0;
    std::uint16_t controlPort = 0;
    std::uint16_t peerPort = 0;
    Address store;
    std::vector<std::string> zones;
    std::vector<std::string> seeds;
};

/// One process of the role in the deploy file.
class Daemon
{
public:
    explicit Daemon(DaemonOptions options);
    ~Daemon();

    void start();
    void signal(int number);
    /// True if the process has ended; collects it.
    bool hasEnded();
    bool isReady() const;
    Address callers() const { return {options_.ip, options_.port}; }
    const std::string &name() const { return options_.name; }
    /// Resident memory in bytes; 0 if the process has ended.
    std::size_t memory() const;

private:
    std::string renderedSettings() const;

    DaemonOptions options_;
    pid_t process_ = -1;
};

/// What a replica does with one request.
enum class Handling {
    Answer,
    Encode,     ///< Answers with a Content-Encoding that nobody asked for.
    DamageHead, ///< A byte of a field's name in the head is wrong.
    Stall,      ///< Begins an answer and sends no event.
};

struct ReplicaOptions
{
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    unsigned slots = 16;
    unsigned events = 30;      ///< Of each stream.
    Millis eventGap{20};       ///< Between two events.
    Millis commentInterval{0}; ///< A stalled stream gets a comment so often; 0 for none.
    bool streams = true;
    /// Chooses what to do with a request; counts from 1.
    std::function<Handling(unsigned number)> choose = [](unsigned) { return Handling::Answer; };
};

/// Whole body that every sound replica gives to the request with this id.
std::string soundBody(const std::string &requestId, unsigned events);

class Replica
{
public:
    Replica(ReplicaOptions options, Store &store, Record &record);
    ~Replica();

    unsigned requests() const { return requests_; }

private:
    void serve(Socket &socket);
    /// Returns false if the connection must end.
    bool answer(Socket &socket, const Message &request);
    bool stream(Socket &socket, const std::string &requestId, unsigned from, Millis prefill);
    bool stall(Socket &socket, const std::string &requestId);
    bool encoded(Socket &socket, const std::string &requestId);
    std::string head(const std::string &requestId, const std::string &framing) const;
    std::string recordText() const;
    void beat();

    ReplicaOptions options_;
    Store &store_;
    Record &record_;
    std::atomic<unsigned> requests_ = 0;
    std::atomic<unsigned> running_ = 0;
    std::atomic<bool> stopping_ = false;
    ThreadedServer server_;
    std::thread beats_;
};

struct CallOptions
{
    std::string method = "POST";
    std::string target;
    std::string host;
    std::string key;
    std::string requestId;
    Headers headers;
    std::string body;
    Millis deadline{10'000};
    /// The client leaves after this time without a further event.
    Millis patience{10'000};
    std::size_t uploadBytesPerSecond = 0; ///< 0 for no limit.
};

enum class CallEnd {
    Complete,   ///< An answer whose framing ended.
    Broken,     ///< The connection ended before that.
    ClientLeft, ///< The client's patience or deadline ended.
};

struct CallResult
{
    CallEnd end = CallEnd::Broken;
    int status = 0;
    bool badHead = false;
    bool kept = false; ///< The connection had carried a request before.
    std::optional<std::string> contentEncoding;
    std::string body;
    Millis took{0};
};

/// A client's connection, kept over several requests.
class Client
{
public:
    explicit Client(Address daemon)
        : daemon_(std::move(daemon))
    {
    }

    CallResult call(const CallOptions &options);

private:
    bool send(const CallOptions &options, TimePoint deadline);

    Address daemon_;
    Socket socket_;
    std::string buffer_;
    bool kept_ = false;
};

/// A request id that no other request of this run has.
std::string newRequestId();

/// Waits until all daemons answer that they are ready. Throws if they do not within 20 s.
void awaitReady(const std::vector<std::unique_ptr<Daemon>> &daemons);

/// Options of daemons on loopback addresses of this run, one for each zone in turn.
std::vector<DaemonOptions> daemonOptions(const std::string &root, const std::string &work,
                                         const Address &store, unsigned count);
/// The n-th loopback address of this run.
std::string loopback(unsigned number);

/// A configuration with the routes and services, and one tenant with the given key.
std::string configuration(const std::string &routes, const std::string &services,
                          const std::string &key);
/// The engine of a service with language models, as the site file describes it.
std::string engineService(const std::string &name);

bool troubleIsOn();

} // namespace review
