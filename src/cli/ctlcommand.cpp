#include "cli/ctlcommand.h"

#include "base/json.h"
#include "cli/commands.h"
#include "http/client.h"
#include "query/resulttable.h"
#include "query/statement.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>

namespace cicadafork {

namespace {

constexpr Millis kWaitPollInterval{200};

struct CtlOptions
{
    Address address;
    std::string credential;
    std::string operatorName;
    bool json = false;
    bool dryRun = false;
    Millis wait{0};
    Millis timeout{3000};
};

int reportError(const std::string &message, const std::string &remedy, ExitCode code)
{
    fmt::print(stderr, "error: {}\nremedy: {}\n", message, remedy);
    return code;
}

Result<nlohmann::json> runStatement(const CtlOptions &options, const std::string &statement)
{
    const nlohmann::json body = {{"statement", statement},
                                 {"dry_run", options.dryRun},
                                 {"timeout_ms", options.timeout.count()}};
    const httplib::Headers headers = {{"Authorization", "Bearer " + options.credential},
                                      {"X-Operator-Name", options.operatorName}};
    // The daemon needs its own timeout to name the members that did not answer.
    constexpr Millis kAnswerMargin{2000};
    BOOST_LEAF_AUTO(reply, httpPost(options.address, "/v1/operator", body.dump(),
                                    options.timeout + kAnswerMargin, headers));
    auto json = parseJson(reply.body);
    if (json.is_discarded()) {
        return fail(ErrorCode::Unavailable,
                    fmt::format("the daemon answered with status {} and no JSON", reply.status),
                    "check that the address is the caller address of a cicadafork daemon");
    }
    if (json.contains("execution")) {
        return fail(ErrorCode::PermissionDenied, json.value("detail", "refused"),
                    json.value("remedy", "check the credential"));
    }
    return json;
}

/// What a failed statement means for a script.
ExitCode exitCodeOf(const std::string &errorCode)
{
    if (errorCode == toString(ErrorCode::InvalidArgument))
        return ExitUsage;
    if (errorCode == toString(ErrorCode::Unavailable))
        return ExitUnreachable;
    return errorCode == toString(ErrorCode::DeadlineExceeded) ? ExitUnknown : ExitFailure;
}

int reportJsonError(const nlohmann::json &error)
{
    return reportError(error.value("message", "unknown answer"), error.value("remedy", ""),
                       exitCodeOf(error.value("code", "")));
}

/// Members in force of a change by failure domain, as "domain 2/3".
struct ForceProgress
{
    bool complete = true;
    std::string text;
    std::string behind; ///< Members that do not have the change, or did not answer.
};

Result<ForceProgress> progressOf(const ResultTable &table, std::uint64_t version)
{
    const auto columnOf = [&](const char *name) {
        return static_cast<std::size_t>(std::find(table.columns.begin(), table.columns.end(), name)
                                        - table.columns.begin());
    };
    const std::size_t domainColumn = columnOf("failure_domain");
    const std::size_t offsetColumn = columnOf("next_offset");
    if (domainColumn == table.columns.size() || offsetColumn == table.columns.size()) {
        return fail(ErrorCode::Unavailable, "the daemon does not report configuration offsets",
                    "run the same version of cicadafork on all entry VMs");
    }
    const std::size_t memberColumn = columnOf("entry_vm");
    std::map<std::string, std::pair<int, int>> domains;
    std::string behind;
    for (const auto &row : table.rows) {
        auto &[inForce, members] = domains[row[domainColumn]];
        ++members;
        // A member that did not answer has "unknown", which counts as 0.
        const bool reached = std::strtoull(row[offsetColumn].c_str(), nullptr, 10) >= version;
        inForce += reached ? 1 : 0;
        if (!reached && memberColumn < row.size())
            behind += fmt::format("{}{}", behind.empty() ? "" : ", ", row[memberColumn]);
    }
    ForceProgress progress;
    progress.behind = behind;
    for (const auto &[domain, counts] : domains) {
        progress.complete = progress.complete && counts.first == counts.second;
        progress.text += fmt::format("{}{} {}/{}", progress.text.empty() ? "" : ", ", domain,
                                     counts.first, counts.second);
    }
    return progress;
}

/// Polls until the version is in force at every listed member.
int waitUntilInForce(const CtlOptions &options, std::uint64_t version)
{
    const TimePoint deadline = steadyNow() + options.wait;
    std::string lastText;
    std::string behind = "no daemon answered";
    while (steadyNow() < deadline) {
        const auto progress = capture([&]() -> Result<ForceProgress> {
            BOOST_LEAF_AUTO(json, runStatement(options, "show configuration"));
            BOOST_LEAF_AUTO(table, resultTableFromJson(json.value("table", nlohmann::json())));
            return progressOf(table, version);
        });
        if (progress && progress->text != lastText) {
            lastText = progress->text;
            fmt::print(stderr, "in force: {}\n", lastText);
        }
        if (progress)
            behind = progress->behind;
        if (progress && progress->complete)
            return ExitSuccess;
        std::this_thread::sleep_for(kWaitPollInterval);
    }
    return reportError(
            fmt::format("accepted, but not in force everywhere after {} s; behind or silent: {}",
                        options.wait.count() / 1000, behind),
            "the change takes force when these members can be reached, or ends with them; watch "
            "'show configuration'",
            ExitNotInForce);
}

int printVerdict(const CtlOptions &options, const nlohmann::json &verdict,
                 const std::vector<std::string> &notes)
{
    if (options.json)
        fmt::print("{}\n", verdict.dump());
    if (!verdict.value("accepted", false)) {
        return reportJsonError(verdict.value("error", nlohmann::json::object()));
    }
    for (const std::string &note : notes)
        fmt::print(stderr, "note: {}\n", note);
    const auto version = verdict.value("version", std::uint64_t{0});
    if (!options.json)
        fmt::print("{}\n", options.dryRun ? "would be accepted; nothing was changed"
                                          : fmt::format("accepted, version {}", version));
    // Before the progress of --wait, which goes to standard error.
    std::fflush(stdout);
    if (options.wait > Millis(0) && !options.dryRun)
        return waitUntilInForce(options, version);
    return ExitSuccess;
}

/// Keeps the columns that fit a terminal when the statement names none.
void keepShortColumns(ResultTable &table, const ShowStatement &show)
{
    if (!show.columns.empty() || show.allColumns)
        return;
    ShowStatement selection;
    selection.limit = table.rows.size();
    for (const std::string &column : defaultColumns(show.subject))
        selection.columns.push_back({column, 0});
    // A daemon of another version may lack a column; the whole table is shown then.
    (void)capture([&] { return applyShow(table, selection); });
}

int printTable(const CtlOptions &options, const nlohmann::json &json, const ShowStatement *show)
{
    auto table = capture([&] { return resultTableFromJson(json); });
    if (!table)
        return reportError(table.error().message, table.error().remedy, ExitFailure);
    if (options.json) {
        fmt::print("{}\n", json.dump());
        return ExitSuccess;
    }
    if (show)
        keepShortColumns(*table, *show);
    fmt::print("{}", show ? formatTable(*table) : formatRecords(*table));
    return ExitSuccess;
}

/// An answer that was lost says nothing about a command that was sent.
int reportUnanswered(const Error &error, bool command)
{
    if (error.code == ErrorCode::PermissionDenied)
        return reportError(error.message, error.remedy, ExitFailure);
    if (!command || error.message.find("connection") != std::string::npos)
        return reportError(error.message, error.remedy, ExitUnreachable);
    return reportError(error.message + "; the command may have been accepted",
                       "look at 'show history' through another daemon before you repeat it",
                       ExitUnknown);
}

int runOne(const CtlOptions &options, const std::string &text)
{
    // Parsed here first, so that a typing error needs no daemon.
    const auto statement = capture([&] { return parseStatement(text); });
    if (!statement) {
        return reportError(fmt::format("{}\n  {}", statement.error().message, text),
                           statement.error().remedy, ExitUsage);
    }
    const auto *show = std::get_if<ShowStatement>(&*statement);
    const bool command = std::holds_alternative<CommandStatement>(*statement);
    const auto json = capture([&] { return runStatement(options, text); });
    if (!json)
        return reportUnanswered(json.error(), command);
    if (json->contains("table"))
        return printTable(options, json->at("table"), show);
    if (json->contains("verdict")) {
        return printVerdict(options, json->at("verdict"),
                            json->value("notes", std::vector<std::string>()));
    }
    return reportJsonError(json->value("error", nlohmann::json::object()));
}

int runFile(const CtlOptions &options, const std::string &path)
{
    std::ifstream file(path);
    if (path != "-" && !file)
        return reportError("cannot read " + path, "check the path", ExitUsage);
    std::istream &input = path == "-" ? std::cin : file;
    std::string line;
    for (int number = 1; std::getline(input, line); ++number) {
        const std::size_t begin = line.find_first_not_of(" \t\r");
        if (begin == std::string::npos || line[begin] == '#')
            continue;
        const std::string statement
                = line.substr(begin, line.find_last_not_of(" \t\r") - begin + 1);
        const int code = runOne(options, statement);
        if (code == ExitSuccess)
            continue;
        fmt::print(stderr, "stopped at {}:{}; the lines after it were not run\n", path, number);
        return code;
    }
    return ExitSuccess;
}

std::string environmentValue(const char *name)
{
    const char *value = std::getenv(name);
    return value ? value : "";
}

cxxopts::Options ctlCommandLine()
{
    cxxopts::Options options("cicadafork ctl", "Runs an operator's statement on a daemon.");
    options.positional_help("ADDRESS [STATEMENT]");
    options.add_options()                                                                       //
            ("address", "caller address of any daemon, IP:PORT", cxxopts::value<std::string>()) //
            ("statement", "query or command", cxxopts::value<std::string>()->default_value("")) //
            ("file", "run every line of a file, - for standard input; stops at the first failure",
             cxxopts::value<std::string>()->default_value("")) //
            ("credential",
             "operator credential; default: environment variable CICADAFORK_CREDENTIAL",
             cxxopts::value<std::string>()->default_value("")) //
            ("name", "operator's name for the history; default: environment variable USER",
             cxxopts::value<std::string>()->default_value("")) //
            ("json", "print JSON")                             //
            ("dry-run", "check a command, change nothing")     //
            ("wait", "wait until a change is in force everywhere; seconds with =, as in --wait=30",
             cxxopts::value<unsigned>()->default_value("0")->implicit_value("10")) //
            ("timeout", "milliseconds to wait for members",
             cxxopts::value<unsigned>()->default_value("3000")) //
            ("help", "print this help");
    options.parse_positional({"address", "statement"});
    return options;
}

Result<CtlOptions> readCtlOptions(const cxxopts::ParseResult &parsed)
{
    CtlOptions options;
    if (parsed.count("address") == 0) {
        return fail(ErrorCode::InvalidArgument, "the address is missing",
                    "write cicadafork ctl IP:PORT 'STATEMENT'");
    }
    BOOST_LEAF_ASSIGN(options.address, parseAddress(parsed["address"].as<std::string>()));
    options.credential = parsed["credential"].as<std::string>();
    if (options.credential.empty())
        options.credential = environmentValue("CICADAFORK_CREDENTIAL");
    options.operatorName = parsed["name"].as<std::string>();
    if (options.operatorName.empty())
        options.operatorName = environmentValue("USER");
    options.json = parsed.count("json") > 0;
    options.dryRun = parsed.count("dry-run") > 0;
    options.wait = std::chrono::seconds(parsed["wait"].as<unsigned>());
    options.timeout = Millis(parsed["timeout"].as<unsigned>());
    return options;
}

} // namespace

int runCtlCommand(int argc, char **argv)
{
    cxxopts::Options commandLine = ctlCommandLine();
    try {
        const auto parsed = commandLine.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}\n{}", commandLine.help(), grammarText());
            return ExitSuccess;
        }
        if (!parsed.unmatched().empty()) {
            return reportError(fmt::format("unexpected argument '{}'", parsed.unmatched().front()),
                               "quote the statement as one argument, and write --wait=SECONDS",
                               ExitUsage);
        }
        const auto options = capture([&] { return readCtlOptions(parsed); });
        if (!options)
            return reportError(options.error().message, options.error().remedy, ExitUsage);
        const auto file = parsed["file"].as<std::string>();
        const auto statement = parsed["statement"].as<std::string>();
        if (file.empty() == statement.empty()) {
            return reportError(file.empty() ? "the statement is missing"
                                            : "both a statement and --file are given",
                               "write cicadafork ctl IP:PORT 'show services', or --file=FILE",
                               ExitUsage);
        }
        return file.empty() ? runOne(*options, statement) : runFile(*options, file);
    } catch (const cxxopts::exceptions::exception &exception) {
        return reportError(exception.what(), "run cicadafork ctl --help", ExitUsage);
    }
}

int runDumpCommand(int argc, char **argv)
{
    const std::string argument = argc > 1 ? argv[1] : "--help";
    if (argument == "--help") {
        fmt::print("usage: cicadafork dump ADDRESS\nPrints the state of a daemon as JSON; the "
                   "credential comes from CICADAFORK_CREDENTIAL.\n");
        return argc > 1 ? ExitSuccess : ExitUsage;
    }
    const auto address = capture([&] { return parseAddress(argument); });
    if (!address)
        return reportError(address.error().message, address.error().remedy, ExitUsage);
    constexpr Millis kDumpTimeout{1000};
    const httplib::Headers headers
            = {{"Authorization", "Bearer " + environmentValue("CICADAFORK_CREDENTIAL")}};
    const auto result
            = capture([&] { return httpGet(*address, "/debug/dump", kDumpTimeout, {}, headers); });
    if (!result) {
        return reportError("the daemon did not answer", "check the address and that it runs",
                           ExitUnreachable);
    }
    fmt::print("{}\n", result->body);
    return result->status == 200 ? ExitSuccess : ExitFailure;
}

} // namespace cicadafork
