#include "radishmoor/ops/settings.h"

#include <arpa/inet.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace radishmoor {
namespace {

constexpr std::string_view kVariablePrefix = "RADISHMOOR_";
constexpr size_t kMaxNameLength = 64;
constexpr int kUsageError = 2;

constexpr const char* kHelpFlag = "help";
constexpr const char* kCheckFlag = "check-settings";
constexpr const char* kMarkdownFlag = "settings-markdown";

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

bool IsIp(const std::string& ip, int family) {
  unsigned char buffer[sizeof(in6_addr)];
  return inet_pton(family, ip.c_str(), buffer) == 1;
}

std::vector<std::string_view> SplitList(std::string_view text) {
  std::vector<std::string_view> items;
  while (!text.empty()) {
    size_t comma = text.find(',');
    items.push_back(text.substr(0, comma));
    if (comma == std::string_view::npos)
      break;
    text.remove_prefix(comma + 1);
    if (text.empty())
      items.push_back(text);  // A trailing comma leaves an empty address.
  }
  return items;
}

std::string Join(const std::vector<std::string>& items, const char* separator) {
  std::string result;
  for (const std::string& item : items) {
    if (!result.empty())
      result += separator;
    result += item;
  }
  return result;
}

// Quotes user input for an error message, without control characters, which
// could add lines or terminal codes, and truncated to 80 bytes.
std::string QuotedForError(std::string_view text) {
  constexpr size_t kMaxShown = 80;
  std::string result = "'";
  for (char c : text.substr(0, kMaxShown))
    result += std::iscntrl(static_cast<unsigned char>(c)) != 0 ? '?' : c;
  result += text.size() > kMaxShown ? "...'" : "'";
  return result;
}

// Describes the valid values of the setting, for --help and errors.
std::string ExpectedValues(const Setting& s) {
  switch (s.type) {
    case SettingType::kText:
      return "text";
    case SettingType::kName:
      return "1 to 64 characters of A-Z a-z 0-9 . _ -";
    case SettingType::kInteger:
      return "an integer from " + std::to_string(s.min) + " to " +
             std::to_string(s.max);
    case SettingType::kChoice:
      return "one of " + Join(s.choices, ", ");
    case SettingType::kAddress:
      return s.allow_port_zero ? "ip:port, where port 0 is chosen by the kernel"
                               : "ip:port with a port from 1 to 65535";
    case SettingType::kAddressList:
      return "a comma-separated list of ip:port with ports from 1 to 65535";
    case SettingType::kSwitch:
      return "true or false";
  }
  return "";
}

bool IsValid(const Setting& s, std::string_view text) {
  switch (s.type) {
    case SettingType::kText:
      return true;
    case SettingType::kName:
      return IsName(text);
    case SettingType::kInteger: {
      auto number = ParseNumber<int64_t>(text);
      return number && *number >= s.min && *number <= s.max;
    }
    case SettingType::kChoice:
      return std::find(s.choices.begin(), s.choices.end(), text) !=
             s.choices.end();
    case SettingType::kAddress: {
      auto address = ParseSocketAddress(text);
      return address && (address->port != 0 || s.allow_port_zero);
    }
    case SettingType::kAddressList: {
      auto items = SplitList(text);
      return std::all_of(items.begin(), items.end(), [](std::string_view item) {
        auto address = ParseSocketAddress(item);
        return address && address->port != 0;
      });
    }
    case SettingType::kSwitch:
      return text == "true" || text == "false";
  }
  return false;
}

std::string TypeName(const Setting& s) {
  switch (s.type) {
    case SettingType::kText:
      return "text";
    case SettingType::kName:
      return "name";
    case SettingType::kInteger:
      return "integer";
    case SettingType::kChoice:
      return Join(s.choices, ", ");
    case SettingType::kAddress:
      return "ip:port";
    case SettingType::kAddressList:
      return "list of ip:port";
    case SettingType::kSwitch:
      return "switch";
  }
  return "";
}

std::string Range(const Setting& s) {
  if (s.type == SettingType::kInteger)
    return std::to_string(s.min) + " to " + std::to_string(s.max);
  if (s.type == SettingType::kAddress)
    return s.allow_port_zero ? "port 0 to 65535" : "port 1 to 65535";
  if (s.type == SettingType::kAddressList)
    return "ports 1 to 65535";
  if (s.type == SettingType::kName)
    return ExpectedValues(s);
  return "";
}

bool IsBuiltInFlag(std::string_view name) {
  return name == kHelpFlag || name == kCheckFlag || name == kMarkdownFlag;
}

// The TCLAP arguments of one parse. TCLAP stops at the first error, but all
// errors are to be reported, so each argument accepts repeats and any text and
// is checked after the parse.
class CommandLine {
 public:
  explicit CommandLine(const std::vector<Setting>& settings)
      : command_("", ' ', "", false) {
    command_.setExceptionHandling(false);
    for (const char* flag : {kHelpFlag, kCheckFlag, kMarkdownFlag})
      AddSwitch(flag);
    for (const Setting& s : settings) {
      if (s.type == SettingType::kSwitch) {
        AddSwitch(s.name);
      } else {
        values_[s.name] = std::make_unique<TCLAP::MultiArg<std::string>>(
            "", s.name, "", false, "value", command_);
      }
    }
  }

  void Parse(std::vector<std::string> tokens) { command_.parse(tokens); }

  std::map<std::string, std::vector<std::string>> values() const {
    std::map<std::string, std::vector<std::string>> result;
    for (const auto& [name, arg] : values_)
      result[name] = arg->getValue();
    for (const auto& [name, arg] : switches_)
      result[name].resize(arg->getValue() > 0 ? 1 : 0, "true");
    return result;
  }

 private:
  void AddSwitch(const std::string& name) {
    switches_[name] =
        std::make_unique<TCLAP::MultiSwitchArg>("", name, "", command_);
  }

  TCLAP::CmdLine command_;
  std::map<std::string, std::unique_ptr<TCLAP::MultiArg<std::string>>> values_;
  std::map<std::string, std::unique_ptr<TCLAP::MultiSwitchArg>> switches_;
};

std::string MarkdownCell(std::string text) {
  std::string result;
  for (char c : text) {
    if (c == '|')
      result += '\\';
    result += c;
  }
  return result;
}

}  // namespace

std::string SocketAddress::str() const {
  std::string host = ip.find(':') == std::string::npos ? ip : "[" + ip + "]";
  return host + ":" + std::to_string(port);
}

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  auto port = ParseNumber<uint16_t>(text.substr(colon + 1));
  std::string ip(text.substr(0, colon));
  int family = AF_INET;
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    family = AF_INET6;
  }
  if (!port || !IsIp(ip, family))
    return std::nullopt;
  return SocketAddress{ip, *port};
}

std::string SettingVariable(std::string_view name) {
  std::string variable(kVariablePrefix);
  for (char c : name) {
    variable +=
        c == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return variable;
}

const SettingValues::Value& SettingValues::Find(
    std::string_view name,
    std::initializer_list<SettingType> types) const {
  auto it = values_.find(name);
  if (it == values_.end())
    throw std::out_of_range("no such setting: " + std::string(name));
  if (std::find(types.begin(), types.end(), it->second.type) == types.end())
    throw std::logic_error("setting has another type: " + std::string(name));
  return it->second;
}

const std::string& SettingValues::Text(std::string_view name) const {
  return Find(name,
              {SettingType::kText, SettingType::kName, SettingType::kChoice})
      .text;
}

int64_t SettingValues::Integer(std::string_view name) const {
  return *ParseNumber<int64_t>(Find(name, {SettingType::kInteger}).text);
}

bool SettingValues::Switch(std::string_view name) const {
  return Find(name, {SettingType::kSwitch}).text == "true";
}

SocketAddress SettingValues::Address(std::string_view name) const {
  return *ParseSocketAddress(Find(name, {SettingType::kAddress}).text);
}

std::vector<SocketAddress> SettingValues::Addresses(
    std::string_view name) const {
  std::vector<SocketAddress> result;
  for (auto item : SplitList(Find(name, {SettingType::kAddressList}).text))
    result.push_back(*ParseSocketAddress(item));
  return result;
}

std::optional<int> ParseResult::Report(std::ostream& out,
                                       std::ostream& err) const {
  out << output << std::flush;
  for (const std::string& error : errors)
    err << error << '\n';
  err << std::flush;
  return exit_code;
}

SettingsTable::SettingsTable(std::string program, std::string summary)
    : program_(std::move(program)), summary_(std::move(summary)) {}

SettingsTable& SettingsTable::Add(Setting setting) {
  if (Find(setting.name) != nullptr || IsBuiltInFlag(setting.name))
    throw std::logic_error("setting is already in the table: " + setting.name);
  if (setting.type == SettingType::kSwitch && !setting.default_value)
    setting.default_value = "false";
  // An empty default stands for "not set" in optional names and addresses.
  if (setting.default_value && !setting.default_value->empty() &&
      !IsValid(setting, *setting.default_value)) {
    throw std::logic_error("default is not valid: " + setting.name);
  }
  settings_.push_back(std::move(setting));
  return *this;
}

SettingsTable& SettingsTable::AddCheck(std::vector<std::string> names,
                                       Check check) {
  for (const std::string& name : names) {
    if (Find(name) == nullptr)
      throw std::logic_error("no such setting: " + name);
  }
  checks_.push_back({std::move(names), std::move(check)});
  return *this;
}

SettingsTable& SettingsTable::AddExample(std::string explanation,
                                         std::string command) {
  examples_.push_back({std::move(explanation), std::move(command)});
  return *this;
}

SettingsTable& SettingsTable::AllowArguments(std::string usage) {
  arguments_usage_ = std::move(usage);
  return *this;
}

SettingsTable& SettingsTable::IgnoreVariablesOf(const SettingsTable& other) {
  for (const Setting& setting : other.settings_)
    ignored_variables_.insert(SettingVariable(setting.name));
  return *this;
}

const Setting* SettingsTable::Find(std::string_view name) const {
  auto it = std::find_if(settings_.begin(), settings_.end(),
                         [&](const Setting& s) { return s.name == name; });
  return it == settings_.end() ? nullptr : &*it;
}

size_t SettingsTable::ScanToken(const std::vector<std::string>& args,
                                size_t i,
                                std::vector<std::string>& tokens,
                                ParseResult& result) const {
  const std::string& token = args[i];
  bool has_next = i + 1 < args.size();
  if (!token.starts_with("-")) {
    if (arguments_usage_.empty())
      result.errors.push_back(QuotedForError(token) +
                              ": belongs to no setting");
    result.values.arguments_.push_back(token);
    return 1;
  }
  size_t equals = token.find('=');
  bool has_value = equals != std::string::npos;
  std::string flag = token == "-h" ? "--help" : token.substr(0, equals);
  std::string name = flag.starts_with("--") ? flag.substr(2) : "";
  const Setting* setting = Find(name);
  if (setting == nullptr && !IsBuiltInFlag(name)) {
    result.errors.push_back(QuotedForError(flag) +
                            ": unknown setting, see --help");
    // Skips the value of the unknown flag, so that it is not reported too.
    return !has_value && has_next && !args[i + 1].starts_with("-") ? 2 : 1;
  }
  if (setting == nullptr || setting->type == SettingType::kSwitch) {
    if (has_value) {
      result.errors.push_back(flag + ": takes no value");
    } else {
      tokens.push_back(flag);
    }
    return 1;
  }
  if (!has_value && (!has_next || args[i + 1].starts_with("--"))) {
    result.errors.push_back(flag + ": needs a value, expected " +
                            ExpectedValues(*setting));
    return 1;
  }
  tokens.push_back(flag);
  tokens.push_back(has_value ? token.substr(equals + 1) : args[i + 1]);
  return has_value ? 1 : 2;
}

std::map<std::string, std::vector<std::string>> SettingsTable::ParseFlags(
    int argc,
    const char* const* argv,
    ParseResult& result) const {
  std::vector<std::string> args(argv, argv + argc);
  std::vector<std::string> tokens{program_};
  for (size_t i = 1; i < args.size();)
    i += ScanToken(args, i, tokens, result);
  CommandLine line(settings_);
  try {
    line.Parse(tokens);
  } catch (TCLAP::ArgException& error) {
    result.errors.push_back(error.argId() + ": " + error.error());
  }
  return line.values();
}

std::map<std::string, std::string> SettingsTable::ReadEnvironment(
    const char* const* environment,
    ParseResult& result) const {
  std::map<std::string, std::string> variables;
  for (; environment != nullptr && *environment != nullptr; ++environment) {
    std::string_view entry(*environment);
    size_t equals = entry.find('=');
    if (!entry.starts_with(kVariablePrefix) || equals == std::string_view::npos)
      continue;
    variables.emplace(entry.substr(0, equals), entry.substr(equals + 1));
  }
  for (const auto& entry : variables) {
    const std::string& variable = entry.first;
    bool known = std::any_of(
        settings_.begin(), settings_.end(),
        [&](const Setting& s) { return SettingVariable(s.name) == variable; });
    if (!known && !ignored_variables_.contains(variable))
      result.errors.push_back(QuotedForError(variable) +
                              ": unknown environment variable");
  }
  return variables;
}

void SettingsTable::Resolve(const Setting& setting,
                            const std::vector<std::string>& given,
                            const std::string* variable,
                            ParseResult& result) const {
  SettingValues::Value value{setting.type, "", "default"};
  std::string label = "--" + setting.name;
  if (!given.empty()) {
    for (const std::string& other : given) {
      if (other != given.front()) {
        result.errors.push_back(label + ": given twice, as " +
                                QuotedForError(given.front()) + " and " +
                                QuotedForError(other));
        return;
      }
    }
    value.text = given.front();
    value.source = "flag";
  } else if (variable != nullptr) {
    value.text = *variable;
    value.source = "environment";
    label = SettingVariable(setting.name);
  } else if (setting.default_value) {
    value.text = *setting.default_value;
  } else {
    // A flag without a value is already reported as "needs a value".
    bool reported = std::any_of(
        result.errors.begin(), result.errors.end(),
        [&](const std::string& e) { return e.starts_with(label + ": needs"); });
    if (!reported) {
      result.errors.push_back(label + ": missing; set it or " +
                              SettingVariable(setting.name) + ", expected " +
                              ExpectedValues(setting));
    }
    return;
  }
  bool is_default =
      setting.default_value && value.text == *setting.default_value;
  if (!is_default && !IsValid(setting, value.text)) {
    result.errors.push_back(label + ": " + QuotedForError(value.text) +
                            " is not valid, expected " +
                            ExpectedValues(setting));
    return;
  }
  result.values.values_[setting.name] = std::move(value);
}

ParseResult SettingsTable::Parse(int argc,
                                 const char* const* argv,
                                 const char* const* environment) const {
  ParseResult result;
  auto flags = ParseFlags(argc, argv, result);
  if (!flags[kHelpFlag].empty() || !flags[kMarkdownFlag].empty()) {
    result.errors.clear();
    result.output = flags[kHelpFlag].empty() ? Markdown() : Help();
    result.exit_code = 0;
    return result;
  }
  auto variables = ReadEnvironment(environment, result);
  for (const Setting& setting : settings_) {
    auto variable = variables.find(SettingVariable(setting.name));
    Resolve(setting, flags[setting.name],
            variable == variables.end() ? nullptr : &variable->second, result);
  }
  for (const CrossCheck& check : checks_) {
    bool valid = std::all_of(check.names.begin(), check.names.end(),
                             [&](const std::string& name) {
                               return result.values.values_.contains(name);
                             });
    if (!valid)
      continue;
    if (auto error = check.check(result.values))
      result.errors.push_back(*error);
  }
  if (!result.errors.empty()) {
    result.exit_code = kUsageError;
  } else if (!flags[kCheckFlag].empty()) {
    result.output = Summary(result.values);
    result.exit_code = 0;
  }
  return result;
}

std::string SettingsTable::Summary(const SettingValues& values) const {
  std::ostringstream out;
  for (const auto& [name, value] : values.values_)
    out << name << "=" << value.text << " (" << value.source << ")\n";
  out << "settings are valid\n";
  return out.str();
}

std::string SettingsTable::Help() const {
  std::ostringstream out;
  out << program_ << ": " << summary_ << "\n\nUsage: " << program_
      << " [--SETTING VALUE]...";
  if (!arguments_usage_.empty())
    out << " " << arguments_usage_;
  out << "\n\nSettings (flag, environment variable; the flag wins):\n";
  for (const Setting& s : settings_) {
    out << "  --" << s.name << ", " << SettingVariable(s.name) << "\n      "
        << s.description << "\n      " << ExpectedValues(s);
    if (!s.default_value) {
      out << "; required";
    } else if (!s.default_value->empty()) {
      out << "; default " << *s.default_value;
    }
    out << "\n";
  }
  out << "  --" << kCheckFlag << "\n      Checks the settings, prints them and "
      << "exits with 0 (valid) or 2.\n"
      << "  --" << kMarkdownFlag
      << "\n      Prints this table in Markdown and exits.\n"
      << "  --" << kHelpFlag << ", -h\n      Prints this text and exits.\n";
  if (!examples_.empty())
    out << "\nExamples:\n";
  for (const Example& example : examples_)
    out << "  # " << example.explanation << "\n  " << example.command << "\n";
  return out.str();
}

std::string SettingsTable::Markdown() const {
  std::ostringstream out;
  out << "## " << program_ << "\n\n"
      << summary_ << "\n\n"
      << "| flag | environment variable | type | default | range | "
         "description |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const Setting& s : settings_) {
    std::string default_text = "required";
    if (s.default_value)
      default_text =
          s.default_value->empty() ? "not set" : "`" + *s.default_value + "`";
    out << "| `--" << s.name << "` | `" << SettingVariable(s.name) << "` | "
        << MarkdownCell(TypeName(s)) << " | " << default_text << " | "
        << MarkdownCell(Range(s)) << " | " << MarkdownCell(s.description)
        << " |\n";
  }
  return out.str();
}

}  // namespace radishmoor
