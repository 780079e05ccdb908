/**
 * The closed list of error kinds, and the one table that says how each is answered.
 */
#pragma once

#include <boost/leaf/config.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace greengageseam {

/** Every kind of error that the system reports. */
enum class ErrorKind {
    InvalidRequest,
    InvalidConfiguration,
    Unauthenticated,
    Forbidden,
    NotFound,
    UnknownModel,
    UnknownService,
    TooLarge,
    SlowCaller,
    ChangeConflict,
    LimitExceeded,
    Overloaded,
    NoBackendServer,
    Draining,
    NotReady,
    DuplicateAttempt,
    ClaimInProgress,
    KeyTooOld,
    DeadlineExceeded,
    BackendFailed,
    AnswerBroken,
    OutcomeUnknown,
    PlatformUnavailable,
    CorruptData,
    ProtocolViolation,
    Internal,
};

/** Whether the call that failed was run by a backend server. */
enum class ExecutionStatus { NotExecuted, Executed, Unknown };

/** What the caller may do next. */
enum class RetryAdvice { Never, Later, WithSameKeyOnly };

/** How one error kind is answered. */
struct ErrorDescriptor
{
    ErrorKind kind;
    /** Stable name, used in problem details, logs and metrics. */
    std::string_view name;
    /** Short text for people. */
    std::string_view title;
    int httpStatus;
    ExecutionStatus ran;
    RetryAdvice retry;
};

/** An error as a value: its kind, and what a person needs to mend it. */
struct Failure
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;

    auto operator<=>(const Failure &) const = default;
};

/** Result of a synchronous step; the failure travels through Boost.LEAF. */
template <typename T>
using Result = boost::leaf::result<T>;

/** Result that is kept or sent between tasks, where LEAF's stack-bound errors cannot go. */
template <typename T>
using Outcome = std::variant<T, Failure>;

/** Result of a step that returns nothing, kept or sent between tasks. */
using VoidOutcome = Outcome<std::monostate>;

/**
 * Starts a failure in a function that returns a Result.
 * @param kind the kind of the error
 * @param detail what went wrong, with the value concerned and what is allowed
 */
inline boost::leaf::error_id fail(ErrorKind kind, std::string detail)
{
    return boost::leaf::new_error(Failure {kind, std::move(detail)});
}

/**
 * Runs a synchronous step and turns its result into a value.
 * @param step a function that returns Result<T>
 * @returns the value, or the failure
 */
template <typename Step>
auto toOutcome(Step &&step) -> Outcome<std::decay_t<decltype(step().value())>>
{
    using Value = std::decay_t<decltype(step().value())>;
    return boost::leaf::try_handle_all(
            [&]() -> Result<Outcome<Value>> {
                BOOST_LEAF_AUTO(value, step());
                return Outcome<Value>(std::move(value));
            },
            [](const Failure &failure) { return Outcome<Value>(failure); },
            [] { return Outcome<Value>(Failure {ErrorKind::Internal, "error without details"}); });
}

/** @returns the failure within an outcome, or null if it holds a value */
template <typename T>
const Failure *failureOf(const Outcome<T> &outcome)
{
    return std::get_if<Failure>(&outcome);
}

/** @returns the table row for @p kind */
const ErrorDescriptor &descriptorFor(ErrorKind kind);

/** @returns the whole table, one row for each kind */
std::span<const ErrorDescriptor> errorTable();

/**
 * Finds a kind by its stable name.
 * @returns the kind, or ErrorKind::Internal for a name that this version does not know
 */
ErrorKind errorKindFromName(std::string_view name);

/** @returns `no`, `yes` or `unknown` */
std::string_view textOf(ExecutionStatus ran);

/** @returns `never`, `later` or `with-same-key-only` */
std::string_view textOf(RetryAdvice advice);

} // namespace greengageseam
