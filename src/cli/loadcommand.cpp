#include "cli/loadcommand.h"

#include "cli/commands.h"
#include "loadgen/generate.h"
#include "loadgen/report.h"
#include "loadgen/runner.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <optional>

namespace cicadafork {

namespace {

/// Each worker is a thread and holds one prompt.
constexpr std::size_t kMaxWorkers = 2048;

int usageError(const std::string &message)
{
    fmt::print(stderr, "cicadafork load: {}\nrun 'cicadafork load --help' for the options\n",
               message);
    return ExitUsage;
}

/// Accepts a number of seconds or milliseconds with its unit, for example "60s".
Millis parseDuration(const std::string &text)
{
    std::size_t end = 0;
    const long value = std::stol(text, &end);
    const std::string unit = text.substr(end);
    if (value <= 0 || value > 86'400'000 || (unit != "s" && unit != "ms"))
        throw std::invalid_argument("use a number with the unit s or ms");
    return unit == "s" ? std::chrono::seconds(value) : Millis(value);
}

int writeGenerated(const GenerateOptions &options, const std::string &path)
{
    const auto trace = capture([&] { return generateTrace(options); });
    if (!trace)
        return usageError(fmt::format("{}; {}", trace.error().message, trace.error().remedy));
    std::ofstream file(path);
    file << formatTrace(*trace);
    file.close();
    if (!file) {
        fmt::print(stderr, "cicadafork load: cannot write {}; check the directory\n", path);
        return ExitFailure;
    }
    fmt::print(stderr, "{} requests written to {}\n", trace->size(), path);
    return ExitSuccess;
}

int replay(const cxxopts::ParseResult &parsed)
{
    if (!parsed.count("target") || !parsed.count("out"))
        return usageError("--trace needs --target and --out");
    const auto trace = capture([&] { return readTrace(parsed["trace"].as<std::string>()); });
    if (!trace)
        return usageError(fmt::format("{}; {}", trace.error().message, trace.error().remedy));
    LoadOptions options;
    options.progress = true;
    options.workers = std::clamp<std::size_t>(parsed["workers"].as<std::size_t>(), 1, kMaxWorkers);
    for (const std::string &text : parsed["target"].as<std::vector<std::string>>()) {
        const auto address = capture([&] { return parseAddress(text); });
        if (!address)
            return usageError(address.error().message);
        options.targets.push_back(*address);
    }
    std::optional<double> idealShort;
    if (parsed.count("ideal-short-ms"))
        idealShort = parsed["ideal-short-ms"].as<double>();
    if (idealShort && !(*idealShort > 0))
        return usageError("--ideal-short-ms must be above 0");
    const auto results = runLoad(*trace, options);
    const nlohmann::json run = summarise(*trace, results, idealShort);
    const auto written = capture([&] {
        return writeReport(run, parsed["seed"].as<std::uint64_t>(),
                           parsed["out"].as<std::string>());
    });
    if (!written) {
        fmt::print(stderr, "cicadafork load: {}; {}\n", written.error().message,
                   written.error().remedy);
        return ExitFailure;
    }
    fmt::print("{}", formatRunTable(run));
    return run["unexpected"] == 0 ? ExitSuccess : ExitFailure;
}

int runParsed(const cxxopts::ParseResult &parsed)
{
    if (parsed.count("trace"))
        return replay(parsed);
    if (!parsed.count("generate") || !parsed.count("write"))
        return usageError("name --trace, or --generate and --write");
    GenerateOptions options;
    options.profile = parsed["generate"].as<std::string>();
    options.rate = parsed["rate"].as<double>();
    options.seed = parsed["seed"].as<std::uint64_t>();
    options.arrivals = parsed["bursty"].as<bool>() ? Arrivals::Bursty : Arrivals::Poisson;
    try {
        options.duration = parseDuration(parsed["duration"].as<std::string>());
    } catch (const std::exception &problem) {
        return usageError(fmt::format("wrong --duration: {}", problem.what()));
    }
    return writeGenerated(options, parsed["write"].as<std::string>());
}

} // namespace

int runLoadCommand(int argc, char **argv)
{
    cxxopts::Options options("cicadafork load", "Replays or generates a trace of requests.");
    auto add = options.add_options();
    add("trace", "trace to replay", cxxopts::value<std::string>());
    add("target", "IPV4:PORT of each daemon, used in turn",
        cxxopts::value<std::vector<std::string>>());
    add("out", "directory of the report", cxxopts::value<std::string>());
    add("workers", "most requests in progress at once",
        cxxopts::value<std::size_t>()->default_value("512"));
    add("ideal-short-ms", "unloaded time to first token of 1k prompts, for their slowdown",
        cxxopts::value<double>());
    add("generate", "profile of the trace: karri-ridge or coop", cxxopts::value<std::string>());
    add("duration", "length, for example 60s", cxxopts::value<std::string>()->default_value("60s"));
    add("rate", "mean requests per second", cxxopts::value<double>()->default_value("10"));
    add("bursty", "arrivals in bursts instead of Poisson arrivals");
    add("seed", "seed of the trace", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("write", "file to write", cxxopts::value<std::string>());
    add("help", "print this text");
    // Accepts "--target A B C": what follows the first address is positional.
    options.parse_positional("target");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            fmt::print("{}", options.help());
            return ExitSuccess;
        }
        return runParsed(parsed);
    } catch (const std::exception &problem) {
        return usageError(problem.what());
    }
}

} // namespace cicadafork
