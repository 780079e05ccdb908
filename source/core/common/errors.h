/**
 * All error kinds of the system, and the table that maps each kind to its response.
 *
 * Synchronous steps return a Result, whose failure Boost.LEAF propagates. Tasks exchange an
 * Outcome, which holds either a value or a Failure.
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

/**
 * Every kind of error that the system reports.
 * @see errorTable()
 */
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
    PromptQuarantined,
    Draining,
    NotReady,
    StaleConfiguration,
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

/** Whether a backend server executed the call. */
enum class ExecutionStatus { NotExecuted, Executed, Unknown };

/** Whether, and how, the caller may retry the call. */
enum class RetryAdvice { Never, Later, WithSameKeyOnly };

/** The response that the system gives to one error kind. */
struct ErrorDescriptor
{
    ErrorKind kind;
    /** Stable name that appears in problem details, logs and metrics. */
    std::string_view name;
    /** Short description for people; the title of the problem details. */
    std::string_view title;
    int httpStatus;
    ExecutionStatus ran;
    RetryAdvice retry;
};

/** An error as a value: its kind, and the details that help a person to fix the cause. */
struct Failure
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;

    auto operator<=>(const Failure &) const = default;
};

/** Result of a synchronous step; Boost.LEAF propagates the failure. */
template <typename T>
using Result = boost::leaf::result<T>;

/**
 * Result that can be stored or sent between tasks. Boost.LEAF errors cannot, because they are bound
 * to the stack of the thread that raised them.
 */
template <typename T>
using Outcome = std::variant<T, Failure>;

/** Outcome of a step that returns no value. */
using VoidOutcome = Outcome<std::monostate>;

/**
 * Raises a failure in a function that returns a Result.
 * @param kind the kind of the error
 * @param detail what went wrong, including the offending value and the permitted values
 */
inline boost::leaf::error_id fail(ErrorKind kind, std::string detail)
{
    return boost::leaf::new_error(Failure {kind, std::move(detail)});
}

/**
 * Runs a synchronous step and converts its Result to an Outcome.
 * @param step a function that returns Result<T>
 * @returns the value, or the failure; an error that carries no Failure becomes ErrorKind::Internal
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

/** @returns the failure in @p outcome, or null if it holds a value */
template <typename T>
const Failure *failureOf(const Outcome<T> &outcome)
{
    return std::get_if<Failure>(&outcome);
}

/** @returns the table row for @p kind */
const ErrorDescriptor &descriptorFor(ErrorKind kind);

/** @returns the table of all error kinds, one row for each */
std::span<const ErrorDescriptor> errorTable();

/**
 * Finds an error kind by its stable name.
 * @returns the kind, or ErrorKind::Internal if this version does not know the name
 */
ErrorKind errorKindFromName(std::string_view name);

/** @returns `no`, `yes` or `unknown` */
std::string_view textOf(ExecutionStatus ran);

/** @returns `never`, `later` or `with-same-key-only` */
std::string_view textOf(RetryAdvice advice);

} // namespace greengageseam
