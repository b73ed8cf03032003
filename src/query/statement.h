#pragma once

// Parser of the operators' query and command language.
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
    std::size_t column = 0; ///< Position of the field in the statement, from 1.
};

struct Ordering
{
    std::string field;
    bool descending = false;
    std::size_t column = 0; ///< Position of the field in the statement, from 1.
};

struct ColumnName
{
    std::string field;
    std::size_t column = 0; ///< Position of the name in the statement, from 1.
};

struct ShowStatement
{
    Subject subject = Subject::Requests;
    std::vector<ColumnName> columns; ///< In output order; empty means all.
    bool allColumns = false;         ///< The statement contains "columns all".
    std::vector<Condition> conditions;
    std::optional<Ordering> ordering;
    std::size_t limit = 1000; ///< Maximum number of rows.
};

/// Explains what a request waits for.
struct WhyStatement
{
    std::string requestId;
};

/// A configuration change. OperatorService fills in the operator's name, the command id and, if the
/// statement gave none, the base version.
struct CommandStatement
{
    Command command;
    bool versionGiven = false; ///< The statement ends with "if version = N".
};

using Statement = std::variant<ShowStatement, WhyStatement, CommandStatement>;

/// Longest accepted statement.
inline constexpr std::size_t kMaxStatementBytes = 4096;

/// Fails with InvalidArgument. The message gives the column of the error, from 1; the remedy says
/// what is allowed there.
Result<Statement> parseStatement(std::string_view text);

/// Columns that a terminal shows when the statement names none; empty means all. A full row of
/// "show requests" is 300 characters wide and would not fit.
std::vector<std::string> defaultColumns(Subject subject);

/// The grammar with examples, for the help output.
const char *grammarText();

} // namespace cicadafork
