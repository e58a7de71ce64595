// Structured logging: one line of key=value pairs per event.

#ifndef SRC_LIBS_BASE_LOG_H_
#define SRC_LIBS_BASE_LOG_H_

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace turmericwinch {

enum class Severity { kDebug, kInfo, kWarning, kError };

// One key=value pair. Values with whitespace, quotes, backslashes or '=' are
// quoted.
struct LogField {
  LogField(std::string_view key, std::string_view value);
  LogField(std::string_view key, const char* value);
  LogField(std::string_view key, const std::string& value);
  LogField(std::string_view key, bool value);
  template <std::integral T>
  LogField(std::string_view key, T value)
      : LogField(key, std::to_string(value)) {}

  std::string_view key;
  std::string value;
};

// Name of the library that an event comes from; each library declares one.
struct LogCategory {
  const char* name;
};

// Destination of the log lines. A separate thread writes to standard output, so
// that no caller blocks if the output is not read. Lines that do not fit its
// buffer or exceed the rate limit of their category are dropped and counted.
enum class LogOutput { kStandardError, kStandardOutput };

// Starts logging. Each line contains `host`; events below `severity` are not
// written. Call once, before other threads start.
void StartLogging(std::string_view host,
                  Severity severity,
                  LogOutput output = LogOutput::kStandardError);

// Parses "debug", "info", "warning" or "error"; returns kInfo for other names.
Severity ParseSeverity(std::string_view name);

// Writes one event. Safe from any thread. Nothing is written before
// StartLogging().
void LogEvent(const LogCategory& category,
              Severity severity,
              std::string_view event,
              std::initializer_list<LogField> fields = {});

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_LOG_H_
