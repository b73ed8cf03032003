#pragma once

// The rows that answer a query, with filtering, ordering and formatting.
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

/// Keeps the rows that meet all conditions, orders and limits them, and keeps the columns that the
/// statement names. Values that are both numbers are compared as numbers. Fails with
/// InvalidArgument when a field is not a column.
Result<void> applyShow(ResultTable &table, const ShowStatement &show);

/// Appends the rows of another member's answer; columns must be the same.
Result<void> mergeRows(ResultTable &table, const ResultTable &other);

/// Aligned columns for a terminal; members that did not answer are named below.
std::string formatTable(const ResultTable &table);

/// One line "column: value" for each value, for rows that are too wide for a line.
std::string formatRecords(const ResultTable &table);

nlohmann::json toJson(const ResultTable &table);
Result<ResultTable> resultTableFromJson(const nlohmann::json &json);

} // namespace cicadafork
