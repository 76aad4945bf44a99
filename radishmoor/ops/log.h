// Writes structured log lines, as key=value or JSON, to standard error or,
// through a buffer, to standard output.
//
//   StartLog({.format = LogFormat::kJson, .level = LogLevel::kInfo});
//   LogInfo("lease-acquired", {{"pool", pool.str()}, {"token", token}});
//
// Log changes of state, such as the start of a drain or the loss of a peer.
// Count what happens for each request (metrics.h) instead of logging it.
// Nothing is written before StartLog(). Thread-safe, except the functions for
// buffered logs.

#ifndef RADISHMOOR_OPS_LOG_H_
#define RADISHMOOR_OPS_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace radishmoor {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };
enum class LogFormat : uint8_t { kKeyValue, kJson };

struct LogOptions {
  LogFormat format = LogFormat::kKeyValue;
  LogLevel level = LogLevel::kInfo;  // Lines below this level are not written.
  std::shared_ptr<std::ostream> stream = nullptr;  // Null: standard error.
};

// A key and its value: text, a number or a boolean. Text is truncated to 1024
// bytes.
class LogField {
 public:
  using Value = std::variant<std::string, int64_t, uint64_t, double, bool>;

  LogField(std::string_view key, std::string_view value)
      : key_(key), value_(std::string(value.substr(0, kMaxValueBytes))) {}
  LogField(std::string_view key, const char* value)
      : LogField(key, std::string_view{value}) {}
  LogField(std::string_view key, const std::string& value)
      : LogField(key, std::string_view{value}) {}
  LogField(std::string_view key, bool value) : key_(key), value_(value) {}
  LogField(std::string_view key, double value) : key_(key), value_(value) {}
  template <std::signed_integral T>
  LogField(std::string_view key, T value)
      : key_(key), value_(static_cast<int64_t>(value)) {}
  template <std::unsigned_integral T>
  LogField(std::string_view key, T value)
      : key_(key), value_(static_cast<uint64_t>(value)) {}

  const std::string& key() const { return key_; }
  const Value& value() const { return value_; }

 private:
  static constexpr size_t kMaxValueBytes = 1024;

  std::string key_;
  Value value_;
};

// Starts to write log lines as `options` say. Replaces the options of an
// earlier call.
void StartLog(const LogOptions& options);

// Like StartLog(), but keeps lines in a buffer of 512 KiB until FlushLog().
// `options.stream` is ignored, and standard output becomes non-blocking. A line
// that does not fit into the buffer is dropped. Not thread-safe: only one
// thread may log and flush.
void StartBufferedLog(const LogOptions& options);
// Writes as much of the buffer to standard output as it takes without blocking.
void FlushLog();
// Number of lines dropped since the start of the process.
uint64_t DroppedLogLines();

// Writes one line with the time (UTC), the level, the event and the fields.
// `event` and the keys are fixed lower-case words joined by '-' or '_'.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

// Like Log(), with a list of fields that is built at run time.
void LogFields(LogLevel level,
               std::string_view event,
               std::span<const LogField> fields);

inline void LogInfo(std::string_view event,
                    std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kInfo, event, fields);
}
inline void LogWarning(std::string_view event,
                       std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kWarning, event, fields);
}
inline void LogError(std::string_view event,
                     std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kError, event, fields);
}

}  // namespace radishmoor

#endif  // RADISHMOOR_OPS_LOG_H_
