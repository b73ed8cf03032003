#include "testbed.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace testbed {

namespace {

// limits.memoryMb of the machines of a small deployment.
constexpr std::size_t kMemoryMb = 260;
constexpr Millis kMemoryCheckInterval{10};
constexpr Millis kRestartDelay{300};
constexpr int kBacklog = 512;

/// The processes of the daemons, for the end of a run that takes too long.
std::mutex processesMutex;
std::set<pid_t> processes;

sockaddr_in socketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    return address;
}

bool sameName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::string base64(std::string_view bytes)
{
    constexpr const char *kDigits
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::string_view part = bytes.substr(i, 3);
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = (bits << 8) | (j < part.size() ? static_cast<unsigned char>(part[j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= part.size() ? kDigits[(bits >> (18 - 6 * j)) & 63] : '=';
    }
    return text;
}

void appendBigEndian(std::string &bytes, std::uint64_t value, int count)
{
    for (int shift = 8 * (count - 1); shift >= 0; shift -= 8)
        bytes += static_cast<char>((value >> shift) & 0xff);
}

std::string parameter(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string item
                = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (item.starts_with(name + "="))
            return item.substr(name.size() + 1);
        at = end;
    }
    return {};
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/// Replaces a section of the template by its rendering for each zone.
void renderZones(std::string &text, const std::vector<std::string> &zones,
                 const std::string &region)
{
    const std::string begin = "{{#zones}}";
    const std::string end = "{{/zones}}";
    const std::size_t from = text.find(begin);
    const std::size_t to = text.find(end);
    if (from == std::string::npos || to == std::string::npos)
        return;
    const std::string section = text.substr(from + begin.size(), to - from - begin.size());
    std::string rendered;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        std::string item = section;
        replaceAll(item, "{{@}}", zones[i]);
        replaceAll(item, "{{.}}", region);
        replaceAll(item, "{{,}}", i + 1 < zones.size() ? "," : "");
        rendered += item;
    }
    text.replace(from, to + end.size() - from, rendered);
}

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::size_t residentMb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

} // namespace

std::string toString(const Endpoint &endpoint)
{
    return endpoint.ip + ":" + std::to_string(endpoint.port);
}

std::optional<std::string> Message::find(std::string_view name) const
{
    for (const auto &[field, value] : fields) {
        if (sameName(field, name))
            return value;
    }
    return std::nullopt;
}

Connection::~Connection()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

bool Connection::readMore()
{
    char bytes[16 * 1024];
    const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::readLine(std::string &line)
{
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!readMore())
            return false;
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
}

bool Connection::readHead(Message &message)
{
    message = {};
    std::string line;
    if (!readLine(line))
        return false;
    std::istringstream first(line);
    if (line.starts_with("HTTP/")) {
        std::string version;
        first >> version >> message.status;
    } else {
        first >> message.method >> message.target;
    }
    while (readLine(line) && !line.empty()) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
    }
    return line.empty();
}

bool Connection::readExactly(std::size_t count,
                             const std::function<void(std::string_view)> &received,
                             std::string &body)
{
    while (count > 0) {
        if (buffer_.empty() && !readMore())
            return false;
        const std::string part = buffer_.substr(0, count);
        buffer_.erase(0, part.size());
        count -= part.size();
        body += part;
        if (received)
            received(part);
    }
    return true;
}

bool Connection::readBody(Message &message, const std::function<void(std::string_view)> &received)
{
    if (const auto length = message.find("Content-Length"))
        return readExactly(std::stoul(*length), received, message.body);
    if (!message.find("Transfer-Encoding"))
        return true;
    for (std::string line; readLine(line);) {
        const std::size_t size = std::stoul(line, nullptr, 16);
        std::string end;
        if (!readExactly(size, received, message.body) || !readLine(end))
            return false;
        if (size == 0)
            return true;
    }
    return false;
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void Connection::reset()
{
    const linger now{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::close(descriptor_);
    descriptor_ = -1;
}

bool Connection::isClosed() const
{
    char byte = 0;
    const ssize_t count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::setReadTimeout(Millis timeout)
{
    const timeval time{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

std::string Connection::remoteIp() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getpeername(descriptor_, reinterpret_cast<sockaddr *>(&address), &size);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
    return text;
}

std::unique_ptr<Connection> connectTo(const Endpoint &to, Millis timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(to);
    auto connection = std::make_unique<Connection>(descriptor);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd ready{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&ready, 1, static_cast<int>(timeout.count())) != 1
            || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return connection;
}

Server::Server(Endpoint address, Handler handler)
    : address_(std::move(address))
    , handler_(std::move(handler))
{
    start();
}

void Server::stop()
{
    const std::lock_guard lock(sockets_->mutex);
    sockets_->stopped = true;
    ::shutdown(sockets_->listener, SHUT_RDWR);
    for (const int descriptor : sockets_->open)
        ::shutdown(descriptor, SHUT_RDWR);
}

void Server::start()
{
    sockets_ = std::make_shared<Sockets>();
    sockets_->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(sockets_->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in local = socketAddress(address_);
    if (::bind(sockets_->listener, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0
        || ::listen(sockets_->listener, kBacklog) != 0)
        throw std::runtime_error("cannot listen on " + toString(address_));
    std::thread([sockets = sockets_, handler = handler_] {
        for (;;) {
            const int descriptor = ::accept4(sockets->listener, nullptr, nullptr, SOCK_CLOEXEC);
            {
                const std::lock_guard lock(sockets->mutex);
                if (sockets->stopped) {
                    ::close(descriptor);
                    ::close(sockets->listener);
                    return;
                }
                if (descriptor < 0)
                    continue;
                sockets->open.push_back(descriptor);
            }
            const int on = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([descriptor, sockets, handler] {
                Connection connection(descriptor);
                for (Message request; connection.readHead(request);) {
                    if (!connection.readBody(request) || !handler(connection, request))
                        break;
                }
                const std::lock_guard lock(sockets->mutex);
                std::erase(sockets->open, descriptor);
            }).detach();
        }
    }).detach();
}

void Server::cutOff(const std::vector<std::string> &ips)
{
    // A socket filter that drops what comes from these addresses; it is part of this server's
    // sockets alone, and connections that are accepted later inherit it.
    constexpr unsigned kSourceAddress = static_cast<unsigned>(SKF_NET_OFF) + 12;
    std::vector<sock_filter> code = {BPF_STMT(BPF_LD | BPF_W | BPF_ABS, kSourceAddress)};
    for (const std::string &ip : ips) {
        code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(inet_addr(ip.c_str())), 0, 1));
        code.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
    }
    code.push_back(BPF_STMT(BPF_RET | BPF_K, 0xffffffff));
    const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
    const std::lock_guard lock(sockets_->mutex);
    std::vector<int> all = sockets_->open;
    all.push_back(sockets_->listener);
    for (const int descriptor : all) {
        if (::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) != 0)
            throw std::runtime_error("cannot drop packets at a socket");
    }
}

void Server::heal()
{
    const int unused = 0;
    const std::lock_guard lock(sockets_->mutex);
    std::vector<int> all = sockets_->open;
    all.push_back(sockets_->listener);
    for (const int descriptor : all)
        ::setsockopt(descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}

std::string response(int status, std::vector<std::pair<std::string, std::string>> fields,
                     const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    fields.emplace_back("Content-Length", std::to_string(body.size()));
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "\r\n" + body;
}

Store::Store(const Endpoint &address)
    : server_(std::make_unique<Server>(address,
                                       [this](Connection &connection, const Message &request) {
                                           return onRequest(connection, request);
                                       }))
{
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    topics_[topic].push_back({key, value});
    grown_.notify_all();
}

void Store::turnAway(std::set<std::string> ips)
{
    const std::lock_guard lock(mutex_);
    turnedAway_ = std::move(ips);
    grown_.notify_all();
}

std::map<std::string, unsigned> Store::takeReads()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(reads_, {});
}

bool Store::onRequest(Connection &connection, const Message &request)
{
    const std::string topic = parameter(request.target, "topic");
    const std::string caller = connection.remoteIp();
    const auto isTurnedAway = [&] {
        const std::lock_guard lock(mutex_);
        return turnedAway_.contains(caller);
    };
    const std::string refusal = response(503, {{"Store-Era", "1"}}, {});
    if (isTurnedAway())
        return connection.write(refusal);
    if (topic == "keyed.servers") {
        const std::lock_guard lock(mutex_);
        ++reads_[caller];
    }
    std::string body;
    std::string type = "application/json";
    if (request.target.starts_with("/cicadafork/log-newest")) {
        body = newest(topic);
    } else if (request.target.starts_with("/cicadafork/log-read")) {
        const std::string wait = parameter(request.target, "waitMs");
        body = read(topic, std::stoul(parameter(request.target, "from")),
                    Millis(wait.empty() ? 0 : std::stol(wait)));
        type = "application/octet-stream";
    } else if (request.target.starts_with("/cicadafork/log-append")) {
        append(topic, request.body);
        body = "{}";
    } else {
        return connection.write(response(404, {}, {}));
    }
    if (isTurnedAway())
        return connection.write(refusal);
    return connection.write(response(200, {{"Store-Era", "1"}, {"Content-Type", type}}, body));
}

std::string Store::read(const std::string &topic, std::size_t from, Millis wait)
{
    std::unique_lock lock(mutex_);
    grown_.wait_for(lock, wait, [&] { return topics_[topic].size() > from; });
    const std::vector<Record> &records = topics_[topic];
    std::string bytes;
    appendBigEndian(bytes, records.size(), 8);
    appendBigEndian(bytes, 0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
        const Record &record = records[i];
        appendBigEndian(bytes, 1 + record.key.size() + record.value.size(), 4);
        bytes += static_cast<char>(record.key.size());
        bytes += record.key + record.value;
    }
    return bytes;
}

std::string Store::newest(const std::string &topic)
{
    const std::lock_guard lock(mutex_);
    const std::vector<Record> &records = topics_[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < records.size(); ++i)
        last[records[i].key] = i;
    std::string items;
    for (const auto &[key, index] : last) {
        if (records[index].value.empty())
            continue;
        items += std::string(items.empty() ? "" : ",") + R"({"key":")" + key + R"(","value":")"
                 + base64(records[index].value) + R"(","offset":)" + std::to_string(index) + "}";
    }
    return R"({"items":[)" + items + R"(],"hasMore":false,"end":)" + std::to_string(records.size())
           + "}";
}

void Store::append(const std::string &topic, std::string_view bytes)
{
    while (bytes.size() >= 5) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < 4; ++i)
            size = (size << 8) | static_cast<unsigned char>(bytes[i]);
        const std::string_view record = bytes.substr(4, size);
        bytes.remove_prefix(std::min(bytes.size(), 4 + size));
        if (record.empty())
            continue;
        const auto keySize = static_cast<unsigned char>(record.front());
        put(topic, std::string(record.substr(1, keySize)),
            std::string(record.substr(std::min<std::size_t>(record.size(), 1U + keySize))));
    }
}

Journal::Journal(const std::string &path)
    : file_(std::fopen(path.c_str(), "w"))
{
    if (!file_)
        throw std::runtime_error("cannot write " + path);
}

void Journal::note(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> at = Clock::now() - start_;
    std::fprintf(file_, "%8.3f %s\n", at.count(), line.c_str());
    std::fflush(file_);
}

void Journal::say(const std::string &line)
{
    note(line);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
}

Daemon::Daemon(Machine machine, const std::vector<Machine> &all, const Endpoint &store,
               const std::string &folder, Journal &journal)
    : machine_(std::move(machine))
    , settings_(folder + "/" + machine_.name + ".yaml")
    , log_(folder + "/" + machine_.name + ".log")
    , journal_(journal)
{
    std::string text = fileText("deploy/gateway.yaml");
    std::vector<std::string> zones;
    std::string seeds;
    for (const Machine &other : all) {
        if (std::ranges::find(zones, other.zone) == zones.end())
            zones.push_back(other.zone);
        seeds += (seeds.empty() ? "" : ",") + other.ip + ":8229";
    }
    renderZones(text, zones, "southwest-wa");
    const std::map<std::string, std::string> fields = {{"nodeName", machine_.name},
                                                       {"zone", machine_.zone},
                                                       {"region", "southwest-wa"},
                                                       {"listen.front", machine_.ip + ":8227"},
                                                       {"listen.ready", machine_.ip + ":8220"},
                                                       {"listen.control", machine_.ip + ":8229"},
                                                       {"ip", machine_.ip},
                                                       {"portRange.0", "7340"},
                                                       {"platform.address", toString(store)},
                                                       {"seedAddrs", seeds},
                                                       {"bounds.retryBudgetRatio", "0.2"},
                                                       {"bounds.budgetSlack", "104"},
                                                       {"bounds.budgetWindowS", "10"},
                                                       {"bounds.graceS", "8"},
                                                       {"limits.maxFds", "4200"}};
    for (const auto &[name, value] : fields)
        replaceAll(text, "{{" + name + "}}", value);
    // On the users' machines, sysinfo() reports the memory of the machine.
    text += "memory_mb: " + std::to_string(kMemoryMb) + "\n";
    std::ofstream(settings_) << text;
    start();
    watcher_ = std::thread([this] { watch(); });
}

Daemon::~Daemon()
{
    stopping_ = true;
    ::kill(process_, SIGKILL);
    watcher_.join();
}

void Daemon::start()
{
    std::string variable = "CICADAFORK_SETTINGS=" + settings_;
    std::string program = "target/cicadafork";
    std::string role = "gateway";
    char *const arguments[] = {program.data(), role.data(), nullptr};
    char *const environment[] = {variable.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t process = 0;
    const int error
            = ::posix_spawn(&process, program.c_str(), &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + program);
    process_ = process;
    {
        const std::lock_guard lock(processesMutex);
        processes.insert(process);
    }
    journal_.note("daemon " + machine_.name + " started, process " + std::to_string(process));
}

void Daemon::watch()
{
    while (!stopping_) {
        int status = 0;
        if (::waitpid(process_, &status, WNOHANG) == process_) {
            {
                const std::lock_guard lock(processesMutex);
                processes.erase(process_);
            }
            if (stopping_)
                return;
            ++ends_;
            journal_.say("daemon " + machine_.name + " ended, wait status "
                         + std::to_string(status));
            std::this_thread::sleep_for(kRestartDelay);
            if (stopping_)
                return;
            start();
            continue;
        }
        const std::size_t used = residentMb(process_);
        peakMb_ = std::max(peakMb_.load(), used);
        if (used > kMemoryMb) {
            journal_.say("daemon " + machine_.name + " uses " + std::to_string(used) + " MB of "
                         + std::to_string(kMemoryMb) + ": killed");
            ::kill(process_, SIGKILL);
        }
        std::this_thread::sleep_for(kMemoryCheckInterval);
    }
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
}

bool Daemon::isReady() const
{
    const auto connection = connectTo({machine_.ip, 8220}, Millis(200));
    if (!connection
        || !connection->write("GET /cicadafork/ready HTTP/1.1\r\nHost: ready\r\n"
                              "Connection: close\r\n\r\n"))
        return false;
    connection->setReadTimeout(Millis(500));
    Message answer;
    return connection->readHead(answer) && answer.status == 200;
}

void limitRun(Millis limit)
{
    std::thread([limit] {
        std::this_thread::sleep_for(limit);
        const std::lock_guard lock(processesMutex);
        for (const pid_t process : processes)
            ::kill(process, SIGKILL);
        std::fprintf(stderr, "the case took too long\n");
        std::_Exit(2);
    }).detach();
}

Answer Client::send(const Message &request, Millis patience)
{
    const auto begin = Clock::now();
    Answer answer;
    if (!connection_) {
        connection_ = connectTo(front_);
        carried_ = 0;
    }
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.fields)
        text += name + ": " + value + "\r\n";
    if (!request.body.empty() || request.method == "POST")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n" + request.body;
    bool keeps = false;
    if (connection_ && connection_->write(text)) {
        connection_->setReadTimeout(patience);
        if (connection_->readHead(answer.head)) {
            answer.status = answer.head.status;
            answer.complete = connection_->readBody(answer.head);
            answer.body = answer.head.body;
            const auto close = answer.head.find("Connection");
            keeps = answer.complete && (!close || *close != "close");
        }
    }
    ++carried_;
    if (!keeps)
        connection_.reset();
    answer.took = std::chrono::duration_cast<Millis>(Clock::now() - begin);
    return answer;
}

std::string newRequestId()
{
    static std::atomic<std::uint64_t> next{(std::uint64_t{std::random_device()()} << 24) + 1};
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(next++));
    return text;
}

std::string freeNetwork()
{
    std::random_device random;
    return "127." + std::to_string(1 + random() % 250) + "." + std::to_string(1 + random() % 250)
           + ".";
}

} // namespace testbed
