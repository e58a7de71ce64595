#include "libs/base/settings_table.h"

#include <popt.h>
#include <unistd.h>

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/ip/address.hpp>
#include <cctype>

#include "libs/base/parse_number.h"

namespace turmericwinch {

namespace {

constexpr std::string_view kVariablePrefix = "TURMERICWINCH_";
constexpr std::string_view kSourceNames[] = {"default", "environment", "flag"};
constexpr int kMaxPort = 65535;

std::string VariableName(std::string_view name) {
  std::string variable(kVariablePrefix);
  for (char it : name)
    variable += it == '-' ? '_' : static_cast<char>(std::toupper(it));
  return variable;
}

bool IsEndpoint(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  boost::system::error_code ec;
  boost::asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  std::optional<std::int64_t> port =
      ParseNumber<std::int64_t>(text.substr(colon + 1));
  return !ec && port && *port >= 0 && *port <= kMaxPort;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  if (!text.empty())
    boost::algorithm::split(parts, text, boost::algorithm::is_any_of(","));
  return parts;
}

template <typename T>
std::string FindRangeError(const SettingSpec& spec,
                           const std::string& text,
                           T number) {
  if (number >= static_cast<T>(spec.least) &&
      number <= static_cast<T>(spec.most))
    return "";
  return "is " + text + ", outside " + std::to_string(spec.least) + ".." +
         std::to_string(spec.most);
}

std::string FindChoiceError(const SettingSpec& spec, const std::string& text) {
  const auto& choices = spec.choices;
  if (choices.empty() ||
      std::find(choices.begin(), choices.end(), text) != choices.end())
    return "";
  return "is '" + text + "', not one of " +
         boost::algorithm::join(choices, ", ");
}

// Describes what is wrong with `text` as a value of `spec`; empty if it is
// valid.
std::string FindError(const SettingSpec& spec, const std::string& text) {
  if (text.empty())
    return spec.required ? "is required and has no value" : "";
  switch (spec.type) {
    case SettingType::kText:
      return FindChoiceError(spec, text);
    case SettingType::kInteger: {
      std::optional<std::int64_t> n = ParseNumber<std::int64_t>(text);
      if (!n)
        return "is not an integer: '" + text + "'";
      return FindRangeError(spec, text, *n);
    }
    case SettingType::kDecimal: {
      std::optional<double> n = ParseNumber<double>(text);
      if (!n)
        return "is not a number: '" + text + "'";
      return FindRangeError(spec, text, *n);
    }
    case SettingType::kFlag:
      return text == "true" || text == "false"
                 ? ""
                 : "is neither true nor false: '" + text + "'";
    case SettingType::kEndpoint:
      return IsEndpoint(text) ? "" : "is not IP:PORT: '" + text + "'";
    case SettingType::kEndpointList:
      for (const std::string& it : SplitList(text)) {
        if (!IsEndpoint(it))
          return "has a part that is not IP:PORT: '" + it + "'";
      }
      return "";
  }
  return "";
}

using FlagValues = std::map<std::string, std::string>;

// Parses the flags with popt. Appends words that are not flags to `arguments`
// and error messages to `errors`.
FlagValues ReadFlags(const std::vector<SettingSpec>& specs,
                     int argc,
                     const char* const* argv,
                     std::vector<std::string>& arguments,
                     std::string& errors) {
  std::vector<poptOption> options;
  for (std::size_t n = 0; n < specs.size(); ++n) {
    const bool is_flag = specs[n].type == SettingType::kFlag;
    options.push_back(
        {specs[n].name.c_str(), '\0',
         static_cast<unsigned>(is_flag ? POPT_ARG_NONE : POPT_ARG_STRING),
         nullptr, static_cast<int>(n) + 1, nullptr, nullptr});
  }
  options.push_back(POPT_TABLEEND);
  FlagValues values;
  poptContext context = poptGetContext(
      nullptr, argc, const_cast<const char**>(argv), options.data(), 0);
  for (int rc = poptGetNextOpt(context); rc != -1;
       rc = poptGetNextOpt(context)) {
    if (rc < -1) {
      errors += std::string(poptBadOption(context, POPT_BADOPTION_NOALIAS)) +
                ": " + poptStrerror(rc) + "\n";
      continue;
    }
    char* text = poptGetOptArg(context);
    values[specs[rc - 1].name] = text ? text : "true";
    free(text);
  }
  while (const char* word = poptGetArg(context))
    arguments.emplace_back(word);
  poptFreeContext(context);
  return values;
}

}  // namespace

std::optional<SettingsTable> SettingsTable::Read(
    const std::vector<SettingSpec>& specs,
    int argc,
    const char* const* argv,
    const std::map<std::string, std::string>& environment,
    Reason* reason) {
  SettingsTable table;
  std::string errors;
  FlagValues flags = ReadFlags(specs, argc, argv, table.arguments_, errors);
  for (const SettingSpec& spec : specs) {
    Value value{spec, spec.default_value, SettingSource::kDefault};
    auto variable = environment.find(VariableName(spec.name));
    if (variable != environment.end() && !variable->second.empty()) {
      value.text = variable->second;
      value.source = SettingSource::kEnvironment;
    }
    auto flag = flags.find(spec.name);
    if (flag != flags.end() && !flag->second.empty()) {
      value.text = flag->second;
      value.source = SettingSource::kFlag;
    }
    std::string error = FindError(spec, value.text);
    if (!error.empty()) {
      errors += "--" + spec.name + " (" + VariableName(spec.name) + ") " +
                error + "\n";
    }
    table.values_.emplace(spec.name, std::move(value));
  }
  if (!errors.empty())
    return Fail(reason, ResultCode::kSettingsInvalid, errors);
  return table;
}

std::string SettingsTable::Text(std::string_view name) const {
  auto it = values_.find(name);
  return it == values_.end() ? std::string() : it->second.text;
}

std::int64_t SettingsTable::Integer(std::string_view name) const {
  return ParseNumber<std::int64_t>(Text(name)).value_or(0);
}

double SettingsTable::Decimal(std::string_view name) const {
  return ParseNumber<double>(Text(name)).value_or(0);
}

bool SettingsTable::Flag(std::string_view name) const {
  return Text(name) == "true";
}

std::vector<std::string> SettingsTable::List(std::string_view name) const {
  return SplitList(Text(name));
}

std::string SettingsTable::Print() const {
  std::string text;
  for (const auto& [name, value] : values_) {
    const bool masked = value.spec.secret && !value.text.empty();
    text += name + " = " + (masked ? "(hidden)" : value.text);
    if (!value.spec.unit.empty())
      text += " " + value.spec.unit;
    text += "  (";
    text += kSourceNames[static_cast<int>(value.source)];
    text += ")\n";
  }
  return text;
}

std::string SettingsHelp(const std::vector<SettingSpec>& specs) {
  std::string text;
  for (const SettingSpec& it : specs) {
    text += "  --" + it.name + "  (" + VariableName(it.name) + ")\n      " +
            it.label;
    if (!it.unit.empty())
      text += "; unit: " + it.unit;
    if (it.type == SettingType::kInteger || it.type == SettingType::kDecimal) {
      text += "; range: " + std::to_string(it.least) + ".." +
              std::to_string(it.most);
    }
    if (!it.choices.empty())
      text += "; one of: " + boost::algorithm::join(it.choices, ", ");
    if (!it.default_value.empty())
      text += "; default: " + it.default_value;
    if (it.required)
      text += "; required";
    text += "\n";
  }
  return text;
}

std::map<std::string, std::string> ProcessEnvironment() {
  std::map<std::string, std::string> variables;
  for (char** it = environ; *it; ++it) {
    std::string_view line(*it);
    std::size_t equals = line.find('=');
    if (equals != std::string_view::npos)
      variables.emplace(line.substr(0, equals), line.substr(equals + 1));
  }
  return variables;
}

}  // namespace turmericwinch
