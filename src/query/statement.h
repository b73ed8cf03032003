#pragma once

// Parsed form of the operators' language.
//
//   Result<Statement> statement = parseStatement("show requests where state = stuck");
//
// Grammar (keywords are lower case, values with spaces are quoted):
//
//   statement := show | why | command
//   show      := "show" subject ["columns" ("all" | field {"," field})]
//                ["where" condition {"and" condition}] ["order" "by" field ["desc"]]
//                ["limit" number]
//   why       := "why" request-id
//   subject   := "requests" | "services" | "endpoints" | "entry-vms" | "workspaces"
//                | "configuration" | "history"
//   condition := field ("=" | "!=" | "<" | "<=" | ">" | ">=" | "~") value
//   command   := verb kind id {field "=" value} ["if" "version" "=" number]
//   verb      := "create" | "change" | "drain" | "undrain" | "stop" | "load" | "role"
//   kind      := "workspace" | "service" | "endpoint"

#include "base/error.h"
#include "config/configuration.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cicadafork {

enum class Subject { Requests, Services, Endpoints, EntryVms, Workspaces, Configuration, History };

const char *toString(Subject subject);

enum class Comparison { Equal, NotEqual, Less, LessOrEqual, Greater, GreaterOrEqual, Contains };

struct Condition
{
    std::string field;
    Comparison comparison = Comparison::Equal;
    std::string value;
    std::size_t column = 0; ///< Where the field stands in the statement, from 1.
};

struct Ordering
{
    std::string field;
    bool descending = false;
    std::size_t column = 0;
};

struct ColumnName
{
    std::string field;
    std::size_t column = 0; ///< Where it stands in the statement, from 1.
};

struct ShowStatement
{
    Subject subject = Subject::Requests;
    std::vector<ColumnName> columns; ///< In this order; empty: all.
    bool allColumns = false;         ///< The statement said "columns all".
    std::vector<Condition> conditions;
    std::optional<Ordering> ordering;
    std::size_t limit = 1000; ///< Rows returned at most.
};

/// Explains what a request waits for.
struct WhyStatement
{
    std::string requestId;
};

/// A change; the operator's name, the command id and a missing base version are filled in later.
struct CommandStatement
{
    Command command;
    bool versionGiven = false; ///< The statement ended with "if version = N".
};

using Statement = std::variant<ShowStatement, WhyStatement, CommandStatement>;

/// Longest statement that is parsed.
inline constexpr std::size_t kMaxStatementBytes = 4096;

/// Fails with InvalidArgument; the message names the column, from 1, and the remedy what may stand
/// there.
Result<Statement> parseStatement(std::string_view text);

/// Columns that a terminal shows when the statement names none; empty: all. A full row of a request
/// is 300 characters wide.
std::vector<std::string> defaultColumns(Subject subject);

/// The grammar with examples, for help texts.
const char *grammarText();

} // namespace cicadafork
