// Settings of a program. One table in code defines their parsing and checks,
// the output of --help and --check-settings, and the generated documentation.
//
//   SettingsTable table("radishmoor-entry", "Serves callers.");
//   table.Add({.name = "grace-period-ms", .type = SettingType::kInteger,
//              .unit = "ms", .default_value = "10000", .max = 600000,
//              .description = "..."});
//   ParseResult result = table.Parse(argc, argv, environ);
//   if (auto code = result.Report(std::cout, std::cerr))
//     return *code;
//   int64_t grace = result.values.Integer("grace-period-ms");
//
// The setting "grace-period-ms" is read from the flag --grace-period-ms or from
// the environment variable RADISHMOOR_GRACE_PERIOD_MS; the flag takes
// precedence. Every table also has the flags --help, --check-settings and
// --settings-markdown. Parse() reports all errors at once, one line each, with
// exit code 2.

#ifndef RADISHMOOR_OPS_SETTINGS_H_
#define RADISHMOOR_OPS_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace radishmoor {

enum class SettingType : uint8_t {
  kText,         // Any text.
  kName,         // 1 to 64 characters of A-Z a-z 0-9 . _ -
  kInteger,      // Decimal, between `min` and `max`.
  kChoice,       // One of `choices`.
  kAddress,      // "ip:port" or "[ipv6]:port".
  kAddressList,  // Comma-separated addresses; may be empty.
  kSwitch,       // "true" or "false"; the flag takes no value.
};

// An IP address and a port. Port 0 lets the kernel choose.
struct SocketAddress {
  std::string ip;  // Without brackets.
  uint16_t port = 0;

  // "ip:port" or "[ipv6]:port".
  std::string str() const;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

// Returns nullopt if `text` is not an IP address with a decimal port.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

struct Setting {
  std::string name;  // Lower case words joined by '-', ending in the unit.
  SettingType type = SettingType::kText;
  std::string unit;  // "ms", "bytes"; empty if there is none.
  // Without a default the setting is required.
  std::optional<std::string> default_value = std::nullopt;
  int64_t min = 0;  // For kInteger.
  int64_t max = std::numeric_limits<int64_t>::max();
  std::vector<std::string> choices = {};  // For kChoice.
  bool allow_port_zero = false;           // For kAddress.
  std::string description;
};

// Checked values by name. The accessors throw std::out_of_range if the table
// has no setting of that name, and std::logic_error if the setting has another
// type.
class SettingValues {
 public:
  // For settings of type kText, kName and kChoice.
  const std::string& Text(std::string_view name) const;
  int64_t Integer(std::string_view name) const;
  bool Switch(std::string_view name) const;
  SocketAddress Address(std::string_view name) const;
  std::vector<SocketAddress> Addresses(std::string_view name) const;

  // Command-line arguments that are neither a flag nor the value of one.
  const std::vector<std::string>& arguments() const { return arguments_; }

 private:
  friend class SettingsTable;

  struct Value {
    SettingType type;
    std::string text;
    std::string source;  // "flag", "environment" or "default".
  };
  const Value& Find(std::string_view name,
                    std::initializer_list<SettingType> types) const;

  std::map<std::string, Value, std::less<>> values_;
  std::vector<std::string> arguments_;
};

struct ParseResult {
  // If nullopt, the program runs with `values`. Otherwise it prints `output`
  // and `errors` and exits with this code, 0 or 2.
  std::optional<int> exit_code;
  std::string output;               // For standard output.
  std::vector<std::string> errors;  // One line each, for standard error.
  SettingValues values;

  // Writes `output` and `errors` and returns `exit_code`.
  std::optional<int> Report(std::ostream& out, std::ostream& err) const;
};

class SettingsTable {
 public:
  // Returns an error message, or nullopt if the values agree with each other.
  using Check =
      std::function<std::optional<std::string>(const SettingValues& values)>;

  SettingsTable(std::string program, std::string summary);

  // Throws std::logic_error if the name is taken or the default is not a valid
  // value of the setting.
  SettingsTable& Add(Setting setting);

  // Adds a check over several settings. It runs only if each setting in
  // `names` is valid by itself.
  SettingsTable& AddCheck(std::vector<std::string> names, Check check);

  // Adds an example to --help.
  SettingsTable& AddExample(std::string explanation, std::string command);

  // Accepts arguments that are neither a flag nor the value of one; `usage`
  // describes them in --help.
  SettingsTable& AllowArguments(std::string usage);

  // Does not report the RADISHMOOR_* variables of `other` as unknown, so that
  // the programs of a host can share one environment.
  SettingsTable& IgnoreVariablesOf(const SettingsTable& other);

  // `environment` is a null-terminated list as in environ(7), or null.
  ParseResult Parse(int argc,
                    const char* const* argv,
                    const char* const* environment) const;

  std::string Help() const;
  // Returns a section of docs/settings.md.
  std::string Markdown() const;

  const std::string& program() const { return program_; }
  const std::vector<Setting>& settings() const { return settings_; }

 private:
  struct CrossCheck {
    std::vector<std::string> names;
    Check check;
  };
  struct Example {
    std::string explanation;
    std::string command;
  };

  const Setting* Find(std::string_view name) const;
  // Moves args[i], and its value if it has one, to `tokens` when the flag is
  // known and complete; otherwise adds an error. Returns the number of
  // arguments used.
  size_t ScanToken(const std::vector<std::string>& args,
                   size_t i,
                   std::vector<std::string>& tokens,
                   ParseResult& result) const;
  // Returns the values given by flags. Adds an error for each bad token.
  std::map<std::string, std::vector<std::string>>
  ParseFlags(int argc, const char* const* argv, ParseResult& result) const;
  // Returns the RADISHMOOR_* variables. Adds an error for each unknown one.
  std::map<std::string, std::string> ReadEnvironment(
      const char* const* environment,
      ParseResult& result) const;
  // Chooses the value of `setting`: one of `given` (by flags), else `variable`
  // (null if not set), else the default. Stores it in `result` or adds an
  // error.
  void Resolve(const Setting& setting,
               const std::vector<std::string>& given,
               const std::string* variable,
               ParseResult& result) const;
  std::string Summary(const SettingValues& values) const;

  std::string program_;
  std::string summary_;
  std::string arguments_usage_;
  std::vector<Setting> settings_;
  std::vector<CrossCheck> checks_;
  std::vector<Example> examples_;
  std::set<std::string> ignored_variables_;
};

// Returns the environment variable of a setting, such as
// "RADISHMOOR_GRACE_PERIOD_MS" for "grace-period-ms".
std::string SettingVariable(std::string_view name);

}  // namespace radishmoor

#endif  // RADISHMOOR_OPS_SETTINGS_H_
