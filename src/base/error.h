#pragma once

// Errors and results.
//
//   Result<Offset> append(...);
//   if (bad)
//       return fail(ErrorCode::Unavailable, "log did not answer", "retry after 1 s");
//   ...
//   Expected<Offset> offset = capture([&] { return log.append(...); });
//   if (!offset)
//       report(offset.error());
//
// Boost.LEAF delivers an error object only to a handler that is active further up the stack;
// capture() is that handler. It must enclose the call that may fail.

#include <boost/leaf.hpp>

#include <string>
#include <utility>
#include <variant>

namespace cicadafork {

enum class ErrorCode {
    InvalidArgument,
    NotFound,
    Conflict,
    Unauthenticated,
    PermissionDenied,
    ResourceExhausted,
    DeadlineExceeded,
    Unavailable,
    Cancelled,
    Internal,
};

/// A failure as reported to a caller or an operator.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message; ///< What failed, one sentence without a full stop.
    std::string remedy;  ///< What the reader can do about it.
};

/// Lower-case name of a code as used in logs, metrics and JSON, for example "deadline_exceeded".
const char *toString(ErrorCode code);

template <class T>
using Result = boost::leaf::result<T>;

/// Creates the error value to return from a function that returns a Result.
inline boost::leaf::error_id fail(ErrorCode code, std::string message, std::string remedy)
{
    return boost::leaf::new_error(Error{code, std::move(message), std::move(remedy)});
}

inline boost::leaf::error_id fail(Error error)
{
    return boost::leaf::new_error(std::move(error));
}

/// A value or an Error, detached from LEAF's handler scope. Use it to store a result or to hand it
/// to another thread.
template <class T>
class Expected
{
public:
    Expected(T value)
        : state_(std::move(value))
    {
    }
    Expected(Error error)
        : state_(std::move(error))
    {
    }

    explicit operator bool() const { return std::holds_alternative<T>(state_); }
    const T &value() const { return std::get<T>(state_); }
    T &value() { return std::get<T>(state_); }
    const T &operator*() const { return value(); }
    T &operator*() { return value(); }
    const T *operator->() const { return &value(); }
    T *operator->() { return &value(); }
    const Error &error() const { return std::get<Error>(state_); }

private:
    std::variant<T, Error> state_;
};

/// Value type of an Expected for functions that return Result<void>.
struct Done
{
};

namespace detail {

template <class T>
struct ValueOfResult;

template <class T>
struct ValueOfResult<Result<T>>
{
    using Type = T;
};

template <class T>
struct ExpectedOf
{
    using Type = Expected<T>;
};

template <>
struct ExpectedOf<void>
{
    using Type = Expected<Done>;
};

} // namespace detail

/// Runs a function that returns Result<T> and catches its error object.
template <class Function>
auto capture(Function &&function)
{
    using Value = typename detail::ValueOfResult<decltype(function())>::Type;
    using Outcome = typename detail::ExpectedOf<Value>::Type;
    return boost::leaf::try_handle_all(
            [&]() -> Result<Outcome> {
                if constexpr (std::is_void_v<Value>) {
                    BOOST_LEAF_CHECK(function());
                    return Outcome(Done{});
                } else {
                    auto result = function();
                    if (!result)
                        return result.error();
                    return Outcome(std::move(result.value()));
                }
            },
            [](const Error &error) { return Outcome(error); },
            [] {
                return Outcome(Error{ErrorCode::Internal, "unspecified error",
                                     "report this with the state dump"});
            });
}

} // namespace cicadafork
