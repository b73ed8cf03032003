#pragma once

// The result of a query as a table, with filtering, ordering and formatting.
//
//   ResultTable table = requestRows(requests);
//   BOOST_LEAF_CHECK(applyShow(table, show));
//   fmt::print("{}", formatTable(table));

#include "base/error.h"
#include "query/statement.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace cicadafork {

struct ResultTable
{
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows; ///< One value for each column.
    std::vector<std::string> unanswered;        ///< Members that did not answer in time.
};

/// Applies the conditions, ordering, limit and column selection of a show statement, in this order.
/// Two values that are both numbers are compared as numbers, others as text. Fails with
/// InvalidArgument when the statement names a field that is not a column.
Result<void> applyShow(ResultTable &table, const ShowStatement &show);

/// Appends the rows of another member's answer. Fails with Unavailable when the columns differ.
Result<void> mergeRows(ResultTable &table, const ResultTable &other);

/// Formats aligned columns for a terminal, followed by the number of rows and the members that did
/// not answer.
std::string formatTable(const ResultTable &table);

/// Formats one line "column: value" for each value, for rows that are too wide for one line.
std::string formatRecords(const ResultTable &table);

nlohmann::json toJson(const ResultTable &table);
/// Fails with Unavailable when the JSON is malformed.
Result<ResultTable> resultTableFromJson(const nlohmann::json &json);

} // namespace cicadafork
