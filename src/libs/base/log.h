// Logs: one line of key=value pairs for each event.

#ifndef SRC_LIBS_BASE_LOG_H_
#define SRC_LIBS_BASE_LOG_H_

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace turmericwinch {

enum class Severity { kDebug, kInfo, kWarning, kError };

// One key=value pair. Values with blanks, quotes or '=' are quoted.
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

// Names the library that an event comes from; each library declares one.
struct LogCategory {
  const char* name;
};

// Where lines go. To standard output they are written by a thread of their own:
// a caller never waits for a reader, and lines beyond a buffer or beyond a
// category's budget are dropped and counted.
enum class LogOutput { kStandardError, kStandardOutput };

// Starts logging. `host` is stamped on each line; `severity` is the least
// severe that is written. Call once, before other threads start.
void StartLogging(std::string_view host,
                  Severity severity,
                  LogOutput output = LogOutput::kStandardError);

// Severity named `name` ("debug", "info", "warning", "error"); kInfo otherwise.
Severity SeverityOf(std::string_view name);

// Writes one event. Safe from any thread. Nothing is written before
// StartLogging().
void LogEvent(const LogCategory& category,
              Severity severity,
              std::string_view event,
              std::initializer_list<LogField> fields = {});

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_LOG_H_
