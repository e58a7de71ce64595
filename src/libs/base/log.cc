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

#include "libs/base/log_budget.h"

namespace turmericwinch {

namespace {

constexpr std::string_view kSeverityNames[] = {"debug", "info", "warning",
                                               "error"};

// Lines that wait for the writing thread.
constexpr int kLogBufferLines = 2'048;

// Budgets by category.
struct LogBudgets {
  std::mutex mutex;
  std::map<std::string_view, LogBudget> budgets;
};

LogBudgets& Budgets() {
  static LogBudgets budgets;
  return budgets;
}

std::atomic<bool> g_started{false};
std::atomic<bool> g_bounded{false};
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

// Whether a line of `category` may be written; `dropped` are those that were
// not since the last one that was.
bool TakeLine(std::string_view category, std::uint64_t* dropped) {
  LogBudgets& all = Budgets();
  std::lock_guard lock(all.mutex);
  LogBudget& budget = all.budgets[category];
  if (!budget.Take(std::chrono::steady_clock::now()))
    return false;
  *dropped = budget.TakeDropped();
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
  const bool is_output = output == LogOutput::kStandardOutput;
  auto console = std::make_shared<log4cxx::ConsoleAppender>(
      layout, is_output ? log4cxx::ConsoleAppender::getSystemOut()
                        : log4cxx::ConsoleAppender::getSystemErr());
  if (is_output) {
    auto buffered = std::make_shared<log4cxx::AsyncAppender>();
    buffered->setBufferSize(kLogBufferLines);
    buffered->setBlocking(false);
    buffered->addAppender(console);
    log4cxx::BasicConfigurator::configure(buffered);
  } else {
    log4cxx::BasicConfigurator::configure(console);
  }
  g_bounded = is_output;
  log4cxx::Logger::getRootLogger()->setLevel(LevelOf(severity));
  g_severity = severity;
  g_started = true;
}

Severity SeverityOf(std::string_view name) {
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
  if (g_bounded && !TakeLine(category.name, &dropped))
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
