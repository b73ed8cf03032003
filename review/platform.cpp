#include "platform.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

// The figures of the small deployment's settings.
constexpr const char *kRetryRatio = "0.2";
constexpr const char *kRetrySlack = "104";
constexpr const char *kRetryWindowS = "10";
constexpr const char *kGraceS = "8";
constexpr const char *kMaxFds = "4200";
constexpr const char *kRegion = "southwest-wa";
constexpr Millis kHeartbeat{1200};
constexpr Millis kAnswerTimeout{20'000};
constexpr Millis kReadyTimeout{20'000};
// Of the engine that the site file describes.
constexpr double kPrefillTokensPerMs = 256;
constexpr double kPrefillMsPerMillionPairs = 0.0917;

bool waitReadable(const Socket &socket, Millis timeout)
{
    pollfd waited{socket.descriptor(), POLLIN, 0};
    return poll(&waited, 1, static_cast<int>(timeout.count())) > 0;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text += static_cast<char>((value >> shift) & 0xff);
    return text;
}

std::string littleEndian(std::uint32_t value, int bytes)
{
    std::string text;
    for (int i = 0; i < bytes; ++i)
        text += static_cast<char>((value >> (8 * i)) & 0xff);
    return text;
}

std::uint32_t crc32(std::string_view bytes)
{
    std::uint32_t crc = 0xffffffff;
    for (const char byte : bytes) {
        crc ^= static_cast<unsigned char>(byte);
        for (int bit = 0; bit < 8; ++bit)
            crc = (crc >> 1) ^ ((crc & 1) != 0 ? 0xedb88320 : 0);
    }
    return ~crc;
}

/// The bytes in the gzip format, without compression.
std::string gzipStored(std::string_view bytes)
{
    const auto size = static_cast<std::uint32_t>(bytes.size());
    const std::string header("\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff", 10);
    return header + '\x01' + littleEndian(size, 2) + littleEndian(~size, 2) + std::string(bytes)
           + littleEndian(crc32(bytes), 4) + littleEndian(size, 4);
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    std::size_t at = query == std::string::npos ? query : target.find(name + "=", query);
    if (at == std::string::npos)
        return {};
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}

std::string plainAnswer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n"
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(std::string_view bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string eventText(const std::string &requestId, unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of "
           + requestId + "\n\n";
}

std::uint64_t randomNumber()
{
    static std::mutex mutex;
    static std::mt19937_64 generator{std::random_device{}()};
    const std::lock_guard lock(mutex);
    return generator();
}

std::string hex(std::uint64_t value)
{
    std::ostringstream text;
    text << std::hex << value;
    return text.str();
}

Millis prefillTime(const Message &request)
{
    const auto count = findHeader(request.headers, "Token-Count");
    const double tokens = count ? std::strtod(count->c_str(), nullptr) : 0;
    const double millionPairs = tokens * tokens / 2 / 1e6;
    return Millis(static_cast<Millis::rep>(tokens / kPrefillTokensPerMs
                                           + millionPairs * kPrefillMsPerMillionPairs));
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

std::string fileText(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

Record::Record(const std::string &path)
    : file_(path, std::ios::trunc)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    const auto at = std::chrono::duration_cast<Millis>(Clock::now() - start_).count();
    file_ << at << " ms " << text << '\n' << std::flush;
}

void Record::notePassed(const std::string &requestId, bool sound)
{
    const std::lock_guard lock(mutex_);
    bool &toSound = passed_[requestId];
    toSound = toSound || sound;
}

bool Record::wasPassedToSound(const std::string &requestId)
{
    const std::lock_guard lock(mutex_);
    const auto found = passed_.find(requestId);
    return found != passed_.end() && found->second;
}

bool Record::wasPassed(const std::string &requestId)
{
    const std::lock_guard lock(mutex_);
    return passed_.contains(requestId);
}

ThreadedServer::ThreadedServer(const std::string &ip, Serve serve)
    : listener_(ip)
    , serve_(std::move(serve))
    , thread_([this] { run(); })
{
}

ThreadedServer::~ThreadedServer()
{
    stopping_ = true;
    thread_.join();
    while (open_ > 0)
        std::this_thread::sleep_for(Millis(10));
}

void ThreadedServer::run()
{
    while (!stopping_) {
        Socket accepted = listener_.accept();
        if (!accepted.open())
            continue;
        ++open_;
        std::thread([this, socket = std::move(accepted)]() mutable {
            serve_(socket);
            socket.close();
            --open_;
        }).detach();
    }
}

Store::Store(const std::string &ip)
    : server_(ip, [this](Socket &socket) { serve(socket); })
{
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    topics_[topic].push_back({key, value});
    changed_.notify_all();
}

void Store::serve(Socket &socket)
{
    std::string buffer;
    while (!server_.stopping()) {
        if (buffer.empty() && !waitReadable(socket, Millis(100)))
            continue;
        const auto request = readMessage(socket, buffer, Clock::now() + kAnswerTimeout);
        if (!request || !request->complete)
            return;
        if (!socket.write(answer(*request), Clock::now() + kAnswerTimeout))
            return;
    }
}

std::string Store::answer(const Message &request)
{
    const std::string target = request.target();
    const std::string topic = queryValue(target, "topic");
    if (target.starts_with("/cicadafork/log-newest"))
        return newest(topic);
    if (target.starts_with("/cicadafork/log-read")) {
        const auto from = std::strtoul(queryValue(target, "from").c_str(), nullptr, 10);
        const auto wait = std::strtol(queryValue(target, "waitMs").c_str(), nullptr, 10);
        return readFrom(topic, from, Millis(wait));
    }
    if (!target.starts_with("/cicadafork/log-append"))
        return plainAnswer(404, {});
    append(topic, request.body);
    return plainAnswer(200, "{}");
}

std::string Store::newest(const std::string &topic)
{
    const std::lock_guard lock(mutex_);
    const std::vector<Entry> &entries = topics_[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < entries.size(); ++i)
        last[entries[i].key] = i;
    std::string items;
    for (const auto &[key, offset] : last) {
        if (entries[offset].value.empty())
            continue;
        items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\""
                 + base64(entries[offset].value) + "\",\"offset\":" + std::to_string(offset) + "}";
    }
    return plainAnswer(200, "{\"items\":[" + items + "],\"hasMore\":false,\"end\":"
                                    + std::to_string(entries.size()) + "}");
}

std::string Store::readFrom(const std::string &topic, std::size_t from, Millis wait)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait,
                      [&] { return topics_[topic].size() > from || server_.stopping(); });
    const std::vector<Entry> &entries = topics_[topic];
    std::string body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < entries.size(); ++i) {
        const std::string content
                = static_cast<char>(entries[i].key.size()) + entries[i].key + entries[i].value;
        body += bigEndian(content.size(), 4) + content;
    }
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void Store::append(const std::string &topic, std::string_view body)
{
    while (body.size() > 4) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < 4; ++i)
            size = (size << 8) | static_cast<unsigned char>(body[i]);
        const std::string_view content = body.substr(4, size);
        const auto keySize = static_cast<unsigned char>(content.front());
        put(topic, std::string(content.substr(1, keySize)),
            std::string(content.substr(1 + keySize)));
        body.remove_prefix(std::min(body.size(), 4 + size));
    }
}

Daemon::Daemon(DaemonOptions options)
    : options_(std::move(options))
{
    start();
}

Daemon::~Daemon()
{
    if (hasEnded())
        return;
    signal(SIGKILL);
    waitpid(process_, nullptr, 0);
}

std::string Daemon::renderedSettings() const
{
    std::string text = fileText(options_.root + "/deploy/gateway.yaml");
    std::string zones;
    for (const std::string &zone : options_.zones)
        zones += (zones.empty() ? "\"" : ",\"") + zone + "\": \"" + kRegion + "\"";
    std::string seeds;
    for (const std::string &seed : options_.seeds)
        seeds += (seeds.empty() ? "" : ",") + Address{seed, options_.controlPort}.text();
    const auto at = [this](std::uint16_t port) { return Address{options_.ip, port}.text(); };
    const std::vector<std::pair<std::string, std::string>> fields = {
            {"{{#zones}}\"{{@}}\": \"{{.}}\"{{,}}{{/zones}}", zones},
            {"{{nodeName}}", options_.name},
            {"{{zone}}", options_.zone},
            {"{{region}}", kRegion},
            {"{{listen.front}}", at(options_.port)},
            {"{{listen.ready}}", at(options_.readyPort)},
            {"{{listen.control}}", at(options_.controlPort)},
            {"{{ip}}", options_.ip},
            {"{{portRange.0}}", std::to_string(options_.peerPort)},
            {"{{platform.address}}", options_.store.text()},
            {"{{seedAddrs}}", seeds},
            {"{{bounds.retryBudgetRatio}}", kRetryRatio},
            {"{{bounds.budgetSlack}}", kRetrySlack},
            {"{{bounds.budgetWindowS}}", kRetryWindowS},
            {"{{bounds.graceS}}", kGraceS},
            {"{{limits.maxFds}}", kMaxFds},
    };
    for (const auto &[from, to] : fields)
        replaceAll(text, from, to);
    return text;
}

void Daemon::start()
{
    const std::string settings = options_.work + "/" + options_.name + ".conf";
    const std::string log = options_.work + "/" + options_.name + ".log";
    std::ofstream(settings) << renderedSettings();
    process_ = fork();
    if (process_ < 0)
        throw std::runtime_error("cannot start a process");
    if (process_ > 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // The command of the deploy file, started in the root of the repository.
    if (chdir(options_.root.c_str()) == 0) {
        setenv("CICADAFORK_SETTINGS", settings.c_str(), 1);
        execl("target/cicadafork", "target/cicadafork", "gateway", nullptr);
    }
    _exit(127);
}

void Daemon::signal(int number)
{
    if (process_ > 0)
        kill(process_, number);
}

bool Daemon::hasEnded()
{
    if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = -1;
    return process_ < 0;
}

bool Daemon::isReady() const
{
    const TimePoint deadline = Clock::now() + Millis(500);
    Socket socket = connectTo({options_.ip, options_.readyPort}, deadline);
    if (!socket.open()
        || !socket.write("GET /cicadafork/ready HTTP/1.1\r\nHost: ready\r\n\r\n", deadline))
        return false;
    std::string buffer;
    const auto answer = readMessage(socket, buffer, deadline);
    return answer && answer->status() == 200;
}

std::size_t Daemon::memory() const
{
    std::ifstream file("/proc/" + std::to_string(process_) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return file ? resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

std::string soundBody(const std::string &requestId, unsigned events)
{
    std::string body;
    for (unsigned i = 1; i <= events; ++i)
        body += eventText(requestId, i);
    return body;
}

Replica::Replica(ReplicaOptions options, Store &store, Record &record)
    : options_(std::move(options))
    , store_(store)
    , record_(record)
    , server_(options_.ip, [this](Socket &socket) { serve(socket); })
    , beats_([this] { beat(); })
{
}

Replica::~Replica()
{
    stopping_ = true;
    beats_.join();
}

void Replica::beat()
{
    for (unsigned number = 1; !stopping_; ++number) {
        store_.put("keyed.servers", options_.id,
                   "{\"service\":\"" + options_.service + "\",\"address\":\""
                           + server_.address().text() + "\",\"zone\":\"" + options_.zone
                           + "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots)
                           + ",\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":"
                           + std::to_string(number) + "}");
        const TimePoint next = Clock::now() + kHeartbeat;
        while (!stopping_ && Clock::now() < next)
            std::this_thread::sleep_for(Millis(50));
    }
}

void Replica::serve(Socket &socket)
{
    std::string buffer;
    while (!server_.stopping()) {
        if (buffer.empty() && !waitReadable(socket, Millis(100)))
            continue;
        const auto request = readMessage(socket, buffer, Clock::now() + kAnswerTimeout);
        if (!request || !request->complete || !answer(socket, *request))
            return;
    }
}

std::string Replica::head(const std::string &requestId, const std::string &framing) const
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + requestId
           + "\r\nResponse-Seal: " + options_.id + "." + requestId + "\r\n" + framing + "\r\n";
}

bool Replica::answer(Socket &socket, const Message &request)
{
    const TimePoint timeout = Clock::now() + kAnswerTimeout;
    const std::string target = request.target();
    if (target == "/health")
        return socket.write(plainAnswer(200, {}), timeout);
    if (target == "/cicadafork/report")
        return socket.write(plainAnswer(200, "{\"tickets\":[]}"), timeout);
    if (target == "/cicadafork/order")
        return socket.write(plainAnswer(409, "{}"), timeout);
    const std::string id = findHeader(request.headers, "Request-Id").value_or("");
    const auto expected = findHeader(request.headers, "Expect-Instance");
    if (expected && *expected != options_.id)
        return socket.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + options_.id
                                    + "\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n",
                            timeout);
    if (running_ >= options_.slots)
        return socket.write("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: " + id
                                    + "\r\nContent-Length: 0\r\n\r\n",
                            timeout);
    const Handling handling = options_.choose(++requests_);
    const auto lastEvent = findHeader(request.headers, "Last-Event-Id");
    const unsigned from
            = lastEvent ? static_cast<unsigned>(std::strtoul(lastEvent->c_str(), nullptr, 10)) : 0;
    record_.notePassed(id, handling == Handling::Answer);
    const std::array<const char *, 4> handlings = {"answers", "answers with a content encoding",
                                                   "answers with a damaged head", "stalls"};
    record_.line("replica " + options_.id + " got " + id + " after event " + std::to_string(from)
                 + " and " + handlings.at(static_cast<std::size_t>(handling)));
    ++running_;
    bool goesOn = false;
    switch (handling) {
    case Handling::Stall:
        goesOn = stall(socket, id);
        break;
    case Handling::Encode:
        goesOn = encoded(socket, id);
        break;
    case Handling::DamageHead: {
        // A space in place of the hyphen of "Content-Type".
        std::string text = head(id, "Transfer-Encoding: chunked\r\n");
        text[text.find("Content-Type") + 7] = ' ';
        goesOn = socket.write(text + chunk(soundBody(id, options_.events)) + "0\r\n\r\n", timeout);
        break;
    }
    case Handling::Answer:
        goesOn = stream(socket, id, from, prefillTime(request));
        break;
    }
    --running_;
    return goesOn;
}

bool Replica::stream(Socket &socket, const std::string &requestId, unsigned from, Millis prefill)
{
    const TimePoint timeout = Clock::now() + kAnswerTimeout;
    const auto closed = [&] {
        if (!socket.closedByPeer() && !stopping_)
            return false;
        record_.line("replica " + options_.id + " lost the connection of " + requestId);
        return true;
    };
    for (const TimePoint end = Clock::now() + prefill; Clock::now() < end;) {
        std::this_thread::sleep_for(std::min(Millis(10), prefill));
        if (closed())
            return false;
    }
    if (!socket.write(head(requestId, "Transfer-Encoding: chunked\r\n"), timeout))
        return false;
    for (unsigned i = from + 1; i <= options_.events; ++i) {
        if (closed() || !socket.write(chunk(eventText(requestId, i)), timeout))
            return false;
        std::this_thread::sleep_for(options_.eventGap);
    }
    record_.line("replica " + options_.id + " ended " + requestId);
    return socket.write("0\r\n\r\n", timeout);
}

bool Replica::stall(Socket &socket, const std::string &requestId)
{
    const TimePoint timeout = Clock::now() + kAnswerTimeout;
    const bool comments = options_.commentInterval > Millis(0);
    if (comments && !socket.write(head(requestId, "Transfer-Encoding: chunked\r\n"), timeout))
        return false;
    TimePoint next = Clock::now() + options_.commentInterval;
    while (!stopping_ && !socket.closedByPeer()) {
        std::this_thread::sleep_for(Millis(10));
        if (!comments || Clock::now() < next)
            continue;
        next += options_.commentInterval;
        if (!socket.write(chunk(":\n\n"), timeout))
            break;
    }
    record_.line("replica " + options_.id + " lost the connection of " + requestId);
    return false;
}

bool Replica::encoded(Socket &socket, const std::string &requestId)
{
    return socket.write(head(requestId, "Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n")
                                + chunk(gzipStored(soundBody(requestId, options_.events)))
                                + "0\r\n\r\n",
                        Clock::now() + kAnswerTimeout);
}

bool Client::send(const CallOptions &options, TimePoint deadline)
{
    kept_ = socket_.open() && !socket_.closedByPeer();
    if (!kept_) {
        buffer_.clear();
        socket_ = connectTo(daemon_, Clock::now() + Millis(1000));
    }
    if (!socket_.open())
        return false;
    std::string head = options.method + " " + options.target + " HTTP/1.1\r\nHost: " + options.host
                       + "\r\nRequest-Id: " + options.requestId
                       + "\r\nDeadline-Ms: " + std::to_string(options.deadline.count())
                       + "\r\nAuthorization: Token " + options.key + "\r\n";
    for (const auto &[name, value] : options.headers)
        head += name + ": " + value + "\r\n";
    if (options.method != "GET")
        head += "Content-Length: " + std::to_string(options.body.size()) + "\r\n";
    if (!socket_.write(head + "\r\n", deadline))
        return false;
    if (options.uploadBytesPerSecond == 0)
        return socket_.write(options.body, deadline);
    constexpr unsigned kSlicesPerSecond = 20;
    const std::size_t slice
            = std::max<std::size_t>(1, options.uploadBytesPerSecond / kSlicesPerSecond);
    TimePoint next = Clock::now();
    for (std::size_t at = 0; at < options.body.size(); at += slice) {
        if (!socket_.write(std::string_view(options.body).substr(at, slice), deadline))
            return false;
        next += Millis(1000 / kSlicesPerSecond);
        std::this_thread::sleep_until(next);
    }
    return true;
}

CallResult Client::call(const CallOptions &options)
{
    const TimePoint start = Clock::now();
    const TimePoint leaves = start + std::min(options.deadline, options.patience);
    CallResult result;
    const auto finish = [&](CallEnd end) {
        result.end = end;
        result.kept = kept_;
        result.took = std::chrono::duration_cast<Millis>(Clock::now() - start);
        if (end != CallEnd::Complete)
            socket_.close();
        return result;
    };
    if (!send(options, leaves))
        return finish(Clock::now() < leaves ? CallEnd::Broken : CallEnd::ClientLeft);
    const auto answer = readMessage(socket_, buffer_, leaves);
    if (!answer)
        return finish(Clock::now() < leaves ? CallEnd::Broken : CallEnd::ClientLeft);
    result.status = answer->status();
    result.badHead = answer->badHead;
    result.contentEncoding = findHeader(answer->headers, "Content-Encoding");
    result.body = answer->body;
    const auto connection = findHeader(answer->headers, "Connection");
    if (!answer->complete)
        return finish(answer->ended ? CallEnd::Broken : CallEnd::ClientLeft);
    finish(CallEnd::Complete);
    if (connection && *connection == "close")
        socket_.close();
    return result;
}

std::string newRequestId()
{
    return hex(randomNumber());
}

void awaitReady(const std::vector<std::unique_ptr<Daemon>> &daemons)
{
    const TimePoint deadline = Clock::now() + kReadyTimeout;
    const auto ready = [](const auto &daemon) { return daemon->isReady(); };
    while (!std::ranges::all_of(daemons, ready)) {
        if (Clock::now() > deadline)
            throw std::runtime_error("a daemon does not become ready");
        std::this_thread::sleep_for(Millis(100));
    }
}

std::string loopback(unsigned number)
{
    static const std::uint64_t random = randomNumber();
    return "127." + std::to_string(16 + random % 200) + "." + std::to_string((random >> 32) % 250)
           + "." + std::to_string(number);
}

std::vector<DaemonOptions> daemonOptions(const std::string &root, const std::string &work,
                                         const Address &store, unsigned count)
{
    const std::vector<std::string> zones = {"bunbury-hall", "busselton-hall", "augusta-hall"};
    std::vector<std::string> ips;
    for (unsigned i = 0; i < count; ++i)
        ips.push_back(loopback(11 + i));
    const std::uint16_t port = freePort(ips);
    const std::uint16_t readyPort = freePort(ips);
    const std::uint16_t controlPort = freePort(ips);
    const std::uint16_t peerPort = freePort(ips);
    std::vector<DaemonOptions> list;
    for (unsigned i = 0; i < count; ++i) {
        const std::string &zone = zones[i % zones.size()];
        list.push_back({.root = root,
                        .work = work,
                        .name = "front-" + zone + "-" + std::to_string(1 + i / zones.size()),
                        .zone = zone,
                        .ip = ips[i],
                        .port = port,
                        .readyPort = readyPort,
                        .controlPort = controlPort,
                        .peerPort = peerPort,
                        .store = store,
                        .zones = zones,
                        .seeds = {ips.begin(), ips.begin() + std::min<std::ptrdiff_t>(count, 3)}});
    }
    return list;
}

std::string configuration(const std::string &routes, const std::string &services,
                          const std::string &key)
{
    return "{\"version\":1,\"routes\":[" + routes + "],\"services\":[" + services
           + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
             "\"tenants\":[{\"name\":\"estate\",\"apiKeys\":[\""
           + key + "\"],\"priority\":1}]}";
}

std::string engineService(const std::string &name)
{
    return "{\"name\":\"" + name
           + "\",\"healthPath\":\"/health\",\"maxConns\":364,\"protocol\":\"h1\",\"tls\":false,"
             "\"engine\":{\"slots\":16,\"kvCapacity\":450000,\"kvTokenBytes\":327680,"
             "\"linkMbps\":400000.0,\"stride\":46,\"models\":[{\"name\":\"m\"}],"
             "\"step_ms\":0.925,\"per_seq_ms\":0.00483,\"context_per_k\":0.00254,"
             "\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,"
             "\"report_lag_ms\":200.0,\"loadsPerS\":0.0,\"loads_at_once\":8,\"delays\":[],"
             "\"usual\":{\"prompt\":13229,\"answer\":1541},\"hopMs\":0.1}}";
}

bool troubleIsOn()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::strcmp(trouble, "0") != 0;
}

} // namespace review
