#include "libs/base/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>

#include "libs/base/log_rate_limiter.h"

namespace turmericwinch {

namespace {

constexpr std::string_view kSeverityNames[] = {"debug", "info", "warning",
                                               "error"};

// Capacity of the buffer of the writing thread, in lines.
constexpr int kLogBufferLines = 2'048;

// Rate limiters by category.
struct LogRateLimiters {
  std::mutex mutex;
  std::map<std::string_view, LogRateLimiter> limiters;
};

LogRateLimiters& AllRateLimiters() {
  static LogRateLimiters limiters;
  return limiters;
}

std::atomic<bool> g_started{false};
std::atomic<bool> g_rate_limited{false};
std::atomic<Severity> g_severity{Severity::kInfo};

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void AppendValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (char it : value) {
    if (it == '"' || it == '\\')
      line += '\\';
    line += it == '\n' || it == '\r' ? ' ' : it;
  }
  line += '"';
}

// Whether a line of `category` may be written. Stores in `dropped` the number
// of lines of the category dropped since the last line that was written.
bool TryAcquireLine(std::string_view category, std::uint64_t* dropped) {
  LogRateLimiters& all = AllRateLimiters();
  std::lock_guard lock(all.mutex);
  LogRateLimiter& limiter = all.limiters[category];
  if (!limiter.TryAcquire(std::chrono::steady_clock::now()))
    return false;
  *dropped = limiter.TakeDropped();
  return true;
}

log4cxx::LevelPtr LevelOf(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return log4cxx::Level::getDebug();
    case Severity::kInfo:
      return log4cxx::Level::getInfo();
    case Severity::kWarning:
      return log4cxx::Level::getWarn();
    case Severity::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

}  // namespace

LogField::LogField(std::string_view key, std::string_view value)
    : key(key), value(value) {}
LogField::LogField(std::string_view key, const char* value)
    : key(key), value(value) {}
LogField::LogField(std::string_view key, const std::string& value)
    : key(key), value(value) {}
LogField::LogField(std::string_view key, bool value)
    : key(key), value(value ? "true" : "false") {}

void StartLogging(std::string_view host, Severity severity, LogOutput output) {
  std::string pattern = "time=%d{ISO8601} level=%p host=";
  pattern += host;
  pattern += " %m%n";
  auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  const bool is_stdout = output == LogOutput::kStandardOutput;
  auto console = std::make_shared<log4cxx::ConsoleAppender>(
      layout, is_stdout ? log4cxx::ConsoleAppender::getSystemOut()
                        : log4cxx::ConsoleAppender::getSystemErr());
  if (is_stdout) {
    auto buffered = std::make_shared<log4cxx::AsyncAppender>();
    buffered->setBufferSize(kLogBufferLines);
    buffered->setBlocking(false);
    buffered->addAppender(console);
    log4cxx::BasicConfigurator::configure(buffered);
  } else {
    log4cxx::BasicConfigurator::configure(console);
  }
  g_rate_limited = is_stdout;
  log4cxx::Logger::getRootLogger()->setLevel(LevelOf(severity));
  g_severity = severity;
  g_started = true;
}

Severity ParseSeverity(std::string_view name) {
  for (int n = 0; n < 4; ++n) {
    if (kSeverityNames[n] == name)
      return static_cast<Severity>(n);
  }
  return Severity::kInfo;
}

void LogEvent(const LogCategory& category,
              Severity severity,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  if (!g_started || severity < g_severity)
    return;
  std::uint64_t dropped = 0;
  if (g_rate_limited && !TryAcquireLine(category.name, &dropped))
    return;
  std::string line = "category=";
  line += category.name;
  if (dropped > 0)
    line += " dropped=" + std::to_string(dropped);
  line += " event=";
  line += event;
  for (const LogField& it : fields) {
    line += ' ';
    line += it.key;
    line += '=';
    AppendValue(line, it.value);
  }
  log4cxx::Logger::getLogger(category.name)->forcedLog(LevelOf(severity), line);
}

}  // namespace turmericwinch
