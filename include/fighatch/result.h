#ifndef FIGHATCH_RESULT_H_
#define FIGHATCH_RESULT_H_

#include <utility>
#include <variant>

#include "fighatch/error.h"

namespace fighatch {

/// The value of an operation, or the numbered error with which it failed.
///
/// \code
/// Result<int> parsed = ParsePort(text);
/// if (!IsOk(parsed)) return ErrorOf(parsed);
/// Use(ValueOf(parsed));
/// \endcode
template <typename T>
using Result = std::variant<T, Error>;

/// The result of an operation that returns no value: success or an error.
using Status = Result<std::monostate>;

/// The successful `Status`.
[[nodiscard]] inline Status OkStatus() noexcept { return std::monostate{}; }

/// Makes an error with a human-readable detail.
[[nodiscard]] inline Error MakeError(ErrorCode code, std::string detail = {}) { return Error{code, std::move(detail)}; }

/// True if the result holds a value.
template <typename T>
[[nodiscard]] constexpr bool IsOk(const Result<T>& result) noexcept {
  return result.index() == 0;
}

/// The value of a result for which `IsOk` is true; throws `std::bad_variant_access` otherwise.
template <typename T>
[[nodiscard]] constexpr T& ValueOf(Result<T>& result) {
  return std::get<0>(result);
}

/// \copydoc ValueOf
template <typename T>
[[nodiscard]] constexpr const T& ValueOf(const Result<T>& result) {
  return std::get<0>(result);
}

/// The error of a result for which `IsOk` is false; throws `std::bad_variant_access` otherwise.
template <typename T>
[[nodiscard]] constexpr const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

}  // namespace fighatch

#endif  // FIGHATCH_RESULT_H_
