#pragma once

// A small deployment on loopback addresses for the cases of the second review: the platform's
// store, replicas, clients, and daemons that run as separate processes. Everything but the daemons
// runs on threads of the case's own process.
//
//   Store store({ip, 8223});
//   Daemon daemon(settings);         // started with the command of deploy/system.toml
//   Client client(daemon.front());   // one kept connection
//   Answer answer = client.send(request);

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace testbed {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Endpoint
{
    std::string ip;
    int port = 0;
};

std::string toString(const Endpoint &endpoint);

/// A request or a response.
struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// The value of the first field with this name, in any case; nothing if there is none.
    std::optional<std::string> find(std::string_view name) const;
};

/// A connected socket; closed when it is destroyed.
class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// False if the connection ends before the head is complete.
    bool readHead(Message &message);
    /// Reads the body of a request or response that states a length or chunks.
    bool readBody(Message &message, const std::function<void(std::string_view)> &received = {});
    bool write(std::string_view bytes);
    /// Closes with a TCP reset.
    void reset();
    /// True if the other side has closed the connection.
    bool isClosed() const;
    /// Reads fail when nothing has come for this long.
    void setReadTimeout(Millis timeout);
    std::string remoteIp() const;

private:
    bool readMore();
    bool readExactly(std::size_t count, const std::function<void(std::string_view)> &received,
                     std::string &body);
    bool readLine(std::string &line);

    int descriptor_ = -1;
    std::string buffer_;
};

/// Null if the connection cannot be made in time.
std::unique_ptr<Connection> connectTo(const Endpoint &to, Millis timeout = Millis(1000));

/// Serves each connection on a thread of its own, one request at a time.
class Server
{
public:
    /// Returns false if the connection must be closed.
    using Handler = std::function<bool(Connection &, const Message &)>;

    Server(Endpoint address, Handler handler);

    /// Ends all connections and listens no more, as the kernel does for a process that crashes.
    void stop();
    /// Listens again.
    void start();
    /// From now on nothing that these hosts send arrives, on open connections or new ones.
    void cutOff(const std::vector<std::string> &ips);
    void heal();

private:
    /// Sockets of the server, shared with the threads that use them.
    struct Sockets
    {
        std::mutex mutex;
        int listener = -1;
        bool stopped = false;
        std::vector<int> open;
    };

    Endpoint address_;
    Handler handler_;
    std::shared_ptr<Sockets> sockets_;
};

std::string response(int status, std::vector<std::pair<std::string, std::string>> fields,
                     const std::string &body);

/// The platform's store: a log with keyed topics, as the users' pages describe it.
class Store
{
public:
    explicit Store(const Endpoint &address);

    /// An empty value deletes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// Answers 503 to the calls of these hosts.
    void turnAway(std::set<std::string> ips);
    /// Calls for the records of the replicas since the last time that this was asked, by host.
    std::map<std::string, unsigned> takeReads();

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    bool onRequest(Connection &connection, const Message &request);
    std::string read(const std::string &topic, std::size_t from, Millis wait);
    std::string newest(const std::string &topic);
    void append(const std::string &topic, std::string_view bytes);

    std::mutex mutex_;
    std::condition_variable grown_;
    std::map<std::string, std::vector<Record>> topics_;
    std::set<std::string> turnedAway_;
    std::map<std::string, unsigned> reads_;
    std::unique_ptr<Server> server_;
};

/// Lines with the time since the start of the case, in record.txt and, for a few, on the screen.
class Journal
{
public:
    explicit Journal(const std::string &path);
    void note(const std::string &line);
    void say(const std::string &line);

private:
    std::mutex mutex_;
    std::FILE *file_ = nullptr;
    Clock::time_point start_ = Clock::now();
};

/// One machine with a daemon.
struct Machine
{
    std::string name;
    std::string ip;
    std::string zone;
};

/// Renders deploy/gateway.yaml with the fields of the platform and starts the daemon with the
/// command of deploy/system.toml. The platform starts it again when it ends, and kills it when it
/// uses more memory than the machine has.
class Daemon
{
public:
    Daemon(Machine machine, const std::vector<Machine> &all, const Endpoint &store,
           const std::string &folder, Journal &journal);
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;
    ~Daemon();

    const Machine &machine() const { return machine_; }
    Endpoint front() const { return {machine_.ip, 8227}; }
    bool isReady() const;
    /// Times at which the process ended by itself or was killed for its memory.
    unsigned ends() const { return ends_; }
    std::size_t peakMb() const { return peakMb_; }
    pid_t process() const { return process_; }

private:
    void start();
    void watch();

    Machine machine_;
    std::string settings_;
    std::string log_;
    Journal &journal_;
    std::atomic<pid_t> process_{0};
    std::atomic<unsigned> ends_{0};
    std::atomic<std::size_t> peakMb_{0};
    std::atomic<bool> stopping_{false};
    std::thread watcher_;
};

/// Kills all daemons and exits with 2 when the case has run for this long.
void limitRun(Millis limit);

/// What a client saw of one request.
struct Answer
{
    int status = 0;        ///< 0 if no head came.
    bool complete = false; ///< The whole body came.
    std::string body;
    Message head;
    Millis took{0};
};

/// One kept connection of a client, opened when it is needed.
class Client
{
public:
    explicit Client(Endpoint front)
        : front_(std::move(front))
    {
    }
    /// True if the next request goes on a connection that has carried one.
    bool isKept() const { return connection_ && carried_ > 0; }
    Answer send(const Message &request, Millis patience);

private:
    Endpoint front_;
    std::unique_ptr<Connection> connection_;
    unsigned carried_ = 0;
};

std::string newRequestId();

/// A free loopback network for this run: 127.x.y.0.
std::string freeNetwork();

} // namespace testbed
