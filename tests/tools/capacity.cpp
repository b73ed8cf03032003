// Measures one arrangement of daemons and prints one line of JSON.
//
//   capacity --name daemons --daemons 45 --endpoints 75 --seconds 8
//
// Processor time is user plus system time of each process, so that other work on the machine does
// not count. The line holds the mean and the largest value over the daemons of the first domain.

#include "capacitysystem.h"
#include "http/client.h"
#include "support/systemclient.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <numeric>
#include <thread>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

constexpr Millis kSettle{4'000}; ///< For connections and the first statuses.
constexpr Millis kInForceLimit{12'000};
constexpr Millis kReturnLimit{30'000};
constexpr Millis kOutage{3'000}; ///< Longer than three heartbeat intervals at most sizes.

nlohmann::json summaryOf(std::vector<double> values)
{
    if (values.empty())
        return nullptr;
    std::sort(values.begin(), values.end());
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return {{"mean", sum / static_cast<double>(values.size())}, {"max", values.back()}};
}

double rate(const Sample &before, const Sample &after, std::size_t index, const std::string &metric)
{
    const auto value = [&](const DaemonSample &sample) {
        const auto found = sample.metrics.find(metric);
        return found == sample.metrics.end() ? 0.0 : found->second;
    };
    return (value(after.daemons[index]) - value(before.daemons[index]))
           / std::chrono::duration<double>(after.at - before.at).count();
}

/// Rates of every series of a metric by the value of its label kind, over the given daemons.
std::map<std::string, std::vector<double>> ratesByKind(const Sample &before, const Sample &after,
                                                       std::size_t count, const std::string &prefix)
{
    std::map<std::string, std::vector<double>> rates;
    for (const auto &[name, unused] : after.daemons.front().metrics) {
        const std::size_t kind = name.find("kind=\"");
        if (!name.starts_with(prefix) || kind == std::string::npos)
            continue;
        const std::string label = name.substr(kind + 6, name.find('"', kind + 6) - kind - 6);
        for (std::size_t i = 0; i < count; ++i)
            rates[label].push_back(rate(before, after, i, name));
    }
    return rates;
}

nlohmann::json describe(const Sample &before, const Sample &after, std::size_t count)
{
    const double seconds = std::chrono::duration<double>(after.at - before.at).count();
    nlohmann::json line;
    std::vector<double> processor;
    std::vector<double> memory;
    for (std::size_t i = 0; i < count; ++i) {
        processor.push_back((after.daemons[i].processorSeconds - before.daemons[i].processorSeconds)
                            * 100 / seconds);
        memory.push_back(after.daemons[i].residentMegabytes);
    }
    std::vector<double> alive;
    for (std::size_t i = 0; i < count; ++i)
        alive.push_back(after.daemons[i].metrics.at("cicadafork_peers_alive"));
    line["peers_alive"] = summaryOf(alive);
    line["core_percent"] = summaryOf(processor);
    line["memory_mb"] = summaryOf(memory);
    for (const char *direction : {"sent", "received"}) {
        std::vector<double> total(count, 0);
        const auto kinds = ratesByKind(
                before, after, count,
                fmt::format("cicadafork_control_bytes_total{{direction=\"{}\"", direction));
        for (const auto &[kind, values] : kinds) {
            const double mean = summaryOf(values)["mean"].get<double>();
            if (mean > 0)
                line["bytes_per_second"][direction][kind] = mean;
            for (std::size_t i = 0; i < count; ++i)
                total[i] += values[i];
        }
        line["bytes_per_second"][direction]["all"] = summaryOf(total);
    }
    for (const auto &[kind, values] :
         ratesByKind(before, after, count, "cicadafork_control_messages_total")) {
        const double mean = summaryOf(values)["mean"].get<double>();
        if (mean > 0)
            line["messages_per_second"][kind] = mean;
    }
    for (const char *call : {"append", "read"}) {
        const auto kinds = ratesByKind(
                before, after, after.daemons.size(),
                fmt::format("cicadafork_control_messages_total{{kind=\"log_{}\"", call));
        for (const auto &[kind, values] : kinds)
            line["system_per_second"][kind] = std::accumulate(values.begin(), values.end(), 0.0);
    }
    return line;
}

/// Streams at the first daemon until the flag is set; each stays open for the whole measurement.
class OpenStreams
{
public:
    OpenStreams(const Address &daemon, std::size_t count, Millis duration)
    {
        for (std::size_t i = 0; i < count; ++i) {
            threads_.emplace_back([this, daemon, duration, i] {
                const SystemClient client(daemon, kOperatorCredential);
                CompletionCall call;
                call.model = "streamed";
                call.prompt = makePrompt(100, i);
                call.maxTokens = 4000;
                call.timeout = duration + kSettle + kSettle;
                client.complete(call, [this](const std::string &) {
                    ++events_;
                    return !stop_.load();
                });
            });
        }
    }
    ~OpenStreams()
    {
        stop_ = true;
        for (std::jthread &thread : threads_)
            thread.join();
    }
    std::size_t events() const { return events_; }

private:
    std::atomic<bool> stop_{false};
    std::atomic<std::size_t> events_{0};
    std::vector<std::jthread> threads_;
};

nlohmann::json measureInForce(CapacitySystem &system, std::size_t probes)
{
    std::vector<double> times;
    std::size_t missed = 0;
    for (std::size_t i = 0; i < probes; ++i) {
        const TimePoint begin = steadyNow();
        const Offset next = system.appendChange();
        for (const auto &time : system.timesInForce(next, begin, kInForceLimit)) {
            if (time)
                times.push_back(static_cast<double>(time->count()));
            else
                ++missed;
        }
    }
    nlohmann::json line = {{"milliseconds", summaryOf(times)}, {"missed", missed}};
    return line;
}

nlohmann::json measureReturn(CapacitySystem &system, std::size_t count)
{
    const Sample steady = system.sample();
    system.killDaemons(count);
    std::this_thread::sleep_for(kOutage);
    const TimePoint begin = steadyNow();
    system.restartDaemons(count);
    const auto complete = system.waitUntilComplete(begin, kReturnLimit);
    std::this_thread::sleep_for(kSettle);
    const Sample after = system.sample();
    nlohmann::json line = {{"daemons", count}, {"complete_ms", nullptr}};
    if (complete)
        line["complete_ms"] = complete->count();
    std::vector<double> processor;
    double appends = 0;
    double reads = 0;
    double bytes = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const DaemonSample &one = after.daemons[i];
        processor.push_back(one.processorSeconds);
        for (const auto &[name, value] : one.metrics) {
            if (name.starts_with("cicadafork_control_bytes_total"))
                bytes += value;
            if (name == "cicadafork_control_messages_total{kind=\"log_append\"}")
                appends += value;
            if (name == "cicadafork_control_messages_total{kind=\"log_read\"}")
                reads += value;
        }
    }
    line["processor_seconds_each"] = summaryOf(processor);
    line["seconds_counted"] = std::chrono::duration<double>(after.at - begin).count();
    line["appends"] = appends;
    line["reads"] = reads;
    line["bytes_each"] = bytes / static_cast<double>(count);
    std::vector<double> others;
    for (std::size_t i = count; i < system.measured(); ++i) {
        others.push_back(after.daemons[i].processorSeconds - steady.daemons[i].processorSeconds);
    }
    line["processor_seconds_of_others"] = summaryOf(others);
    line["seconds_of_others"] = std::chrono::duration<double>(after.at - steady.at).count();
    return line;
}

cxxopts::Options commandLine()
{
    cxxopts::Options options("capacity", "Measures one arrangement of daemons.");
    const auto count
            = [](const char *value) { return cxxopts::value<std::size_t>()->default_value(value); };
    options.add_options()                                                                       //
            ("name", "name of the line", cxxopts::value<std::string>()->default_value("case"))  //
            ("daemons", "daemons of the measured domain", count("8"))                           //
            ("endpoints", "endpoints of the measured domain", count("6"))                       //
            ("domains", "failure domains", count("1"))                                          //
            ("far-endpoints", "endpoints of each further domain", count("0"))                   //
            ("far-unreachable", "entry VMs of each further domain that do not run", count("0")) //
            ("workspaces", "workspaces", count("10"))                                           //
            ("models", "models of each endpoint", count("4"))                                   //
            ("streams", "open streams at the first daemon", count("0"))                         //
            ("changes-per-minute", "configuration changes while measuring", count("0"))         //
            ("probes", "changes whose time until they are in force is measured", count("0"))    //
            ("return", "daemons that are killed and come back at once", count("0"))             //
            ("seconds", "length of the measurement", count("8"))                                //
            ("help", "print this text");
    return options;
}

int run(const cxxopts::ParseResult &parsed)
{
    const auto number = [&](const char *name) { return parsed[name].as<std::size_t>(); };
    CapacitySystem system({.daemons = number("daemons"),
                           .endpoints = number("endpoints"),
                           .domains = number("domains"),
                           .farEndpoints = number("far-endpoints"),
                           .farUnreachable = number("far-unreachable"),
                           .workspaces = number("workspaces"),
                           .models = number("models"),
                           .streams = number("streams")});
    system.start();
    const Millis duration = std::chrono::seconds(number("seconds"));
    nlohmann::json line;
    {
        const OpenStreams streams(system.daemonAddress(0), number("streams"), duration);
        std::this_thread::sleep_for(kSettle);
        const std::size_t eventsBefore = streams.events();
        const Sample before = system.sample();
        const std::size_t changes = number("changes-per-minute") * number("seconds") / 60;
        for (std::size_t i = 0; i < changes; ++i) {
            system.appendChange();
            std::this_thread::sleep_for(duration / static_cast<int>(changes));
        }
        std::this_thread::sleep_until(before.at + duration);
        const Sample after = system.sample();
        // Streams are all at the first daemon, so that the others do not tell their cost.
        line = describe(before, after, number("streams") > 0 ? 1 : system.measured());
        line["events_per_second"] = static_cast<double>(streams.events() - eventsBefore)
                                    / std::chrono::duration<double>(after.at - before.at).count();
    }
    for (const char *name : {"daemons", "endpoints", "domains", "far-endpoints", "far-unreachable",
                             "workspaces", "models", "streams", "changes-per-minute"})
        line["case"][name] = number(name);
    line["name"] = parsed["name"].as<std::string>();
    if (number("probes") > 0)
        line["in_force"] = measureInForce(system, number("probes"));
    if (number("return") > 0)
        line["return"] = measureReturn(system, number("return"));
    fmt::print("{}\n", line.dump());
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options = commandLine();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}", options.help());
            return EXIT_SUCCESS;
        }
        return run(parsed);
    } catch (const std::exception &exception) {
        fmt::print(stderr, "error: {}\n", exception.what());
        return EXIT_FAILURE;
    }
}
