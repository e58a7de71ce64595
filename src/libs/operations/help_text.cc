#include "libs/operations/help_text.h"

#include <algorithm>
#include <set>
#include <vector>

#include "libs/operations/winch_commands.h"
#include "libs/operations/winch_settings.h"

namespace turmericwinch {

namespace {

std::string Usage(const WinchVerb& verb) {
  std::string text = "winch " + std::string(verb.name);
  if (!verb.arguments.empty())
    text += " " + std::string(verb.arguments);
  return text + "\n      " + std::string(verb.help) + "\n";
}

// All flags, separated by blanks.
std::string FlagWords() {
  std::string words;
  for (const SettingSpec& it : WinchSettingSpecs())
    words += (words.empty() ? "--" : " --") + it.name;
  return words;
}

// The first words of all verbs if `first` is empty, otherwise the second words
// of the verbs that start with `first`.
std::string VerbWords(std::string_view first) {
  std::set<std::string_view> words;
  for (const WinchVerb& it : WinchVerbs()) {
    const std::size_t blank = it.name.find(' ');
    if (first.empty())
      words.insert(it.name.substr(0, blank));
    else if (blank != std::string_view::npos &&
             it.name.substr(0, blank) == first)
      words.insert(it.name.substr(blank + 1));
  }
  std::string text;
  for (std::string_view it : words)
    text += (text.empty() ? "" : " ") + std::string(it);
  return text;
}

// The cases of the script that choose the completions by the previous word.
std::string CompletionCases() {
  std::string cases;
  for (const SettingSpec& it : WinchSettingSpecs()) {
    std::string words;
    for (const std::string& choice : it.choices)
      words += (words.empty() ? "" : " ") + choice;
    if (!words.empty())
      cases += "    --" + it.name + ") words='" + words + "' ;;\n";
  }
  std::set<std::string> firsts;
  for (const WinchVerb& it : WinchVerbs()) {
    const std::size_t blank = it.name.find(' ');
    if (blank != std::string_view::npos)
      firsts.emplace(it.name.substr(0, blank));
  }
  for (const std::string& it : firsts)
    cases += "    " + it + ") words='" + VerbWords(it) + "' ;;\n";
  return cases;
}

}  // namespace

std::string HelpText() {
  std::string text =
      "winch: the operators' client of turmericwinch\n\nVerbs:\n";
  for (const WinchVerb& it : WinchVerbs())
    text += "  " + Usage(it);
  return text + "\nSettings:\n" + SettingsHelp(WinchSettingSpecs());
}

std::string HelpText(const WinchVerb& verb) {
  std::vector<SettingSpec> specs;
  for (const SettingSpec& it : WinchSettingSpecs()) {
    if (std::count(verb.settings.begin(), verb.settings.end(), it.name) > 0)
      specs.push_back(it);
  }
  std::string text = Usage(verb);
  if (!specs.empty())
    text += "\nSettings:\n" + SettingsHelp(specs);
  return text;
}

std::string CompletionScript() {
  return "_winch() {\n"
         "  local words='" +
         VerbWords("") +
         "'\n"
         "  case ${COMP_WORDS[COMP_CWORD-1]} in\n" +
         CompletionCases() +
         "  esac\n"
         "  case ${COMP_WORDS[COMP_CWORD]} in\n"
         "    -*) words='" +
         FlagWords() +
         "' ;;\n"
         "  esac\n"
         "  mapfile -t COMPREPLY < <(compgen -W \"$words\" -- "
         "\"${COMP_WORDS[COMP_CWORD]}\")\n"
         "}\n"
         "complete -o default -F _winch winch\n";
}

}  // namespace turmericwinch
