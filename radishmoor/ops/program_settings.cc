#include "radishmoor/ops/program_settings.h"

namespace radishmoor {
namespace {

// Maximum of the settings in milliseconds: one hour.
constexpr int64_t kMaxPeriodMs = 3'600'000;

void AddIdentity(SettingsTable& table) {
  table
      .Add({.name = "member-id",
            .type = SettingType::kName,
            .description = "Name of this process among all members. Stable "
                           "over restarts on the same entry host; no other "
                           "process may have it."})
      .Add({.name = "zone",
            .type = SettingType::kName,
            .description = "Availability zone of this entry host."})
      .Add({.name = "host-name",
            .type = SettingType::kText,
            .default_value = "",
            .description = "Name of this entry host in the platform's host "
                           "list. Without it the list cannot prove that this "
                           "process ended with its host."})
      .Add({.name = "host-instance",
            .type = SettingType::kInteger,
            .default_value = "0",
            .description = "Instance of this entry host in the platform's "
                           "host list."});
}

void AddAddresses(SettingsTable& table) {
  table
      .Add({.name = "admin-address",
            .type = SettingType::kAddress,
            .allow_port_zero = true,
            .description = "Address of the admin server with /metrics, "
                           "/healthz, /readyz and /timeline."})
      .Add({.name = "peer-address",
            .type = SettingType::kAddress,
            .allow_port_zero = true,
            .description = "Address for messages from other members."})
      .Add({.name = "platform-address",
            .type = SettingType::kAddress,
            .description = "Address of the platform's table service, object "
                           "store and host list."});
}

void AddLog(SettingsTable& table) {
  table
      .Add({.name = "log-format",
            .type = SettingType::kChoice,
            .default_value = "kv",
            .choices = {"kv", "json"},
            .description = "Form of log lines: key=value or JSON."})
      .Add({.name = "log-level",
            .type = SettingType::kChoice,
            .default_value = "info",
            .choices = {"debug", "info", "warning", "error"},
            .description = "Least level that is logged."});
}

void AddGracePeriod(SettingsTable& table, const char* description) {
  table.Add({.name = "grace-period-ms",
             .type = SettingType::kInteger,
             .unit = "ms",
             .default_value = "10000",
             .max = kMaxPeriodMs,
             .description = description});
}

// Requires that the settings `a` and `b` differ, because two servers cannot
// bind the same address. Port 0 is allowed for both: the kernel chooses two
// ports.
void AddDistinctCheck(SettingsTable& table,
                      const std::string& a,
                      const std::string& b) {
  table.AddCheck({a, b},
                 [a, b](const SettingValues& v) -> std::optional<std::string> {
                   if (v.Address(a).port == 0 || v.Address(a) != v.Address(b))
                     return std::nullopt;
                   return "--" + a + ", --" + b + ": both are " +
                          v.Address(a).str() + ", choose different addresses";
                 });
}

SettingsTable BareEntryTable() {
  SettingsTable table("radishmoor-entry",
                      "Accepts callers' requests and places them on backend "
                      "servers.");
  AddIdentity(table);
  table.Add({.name = "listen-address",
             .type = SettingType::kAddress,
             .allow_port_zero = true,
             .description = "Address on which callers are served."});
  AddAddresses(table);
  table.Add({.name = "seed-peers",
             .type = SettingType::kAddressList,
             .default_value = "",
             .description = "Peer addresses of other members, asked first "
                            "after a start when the platform is unreachable."});
  AddLog(table);
  AddGracePeriod(table,
                 "After SIGTERM: time in which requests in flight and in "
                 "queues may finish before the rest is refused.");
  table
      .Add({.name = "max-header-bytes",
            .type = SettingType::kInteger,
            .unit = "bytes",
            .default_value = "16384",
            .min = 1024,
            .max = 1'048'576,
            .description = "Largest request header; a larger one is refused "
                           "with 431."})
      .Add({.name = "max-body-bytes",
            .type = SettingType::kInteger,
            .unit = "bytes",
            .default_value = "1048576",
            .max = 67'108'864,
            .description = "Largest request body; a larger one is refused "
                           "with 413."})
      .Add({.name = "request-read-timeout-ms",
            .type = SettingType::kInteger,
            .unit = "ms",
            .default_value = "5000",
            .min = 10,
            .max = kMaxPeriodMs,
            .description = "Time in which a caller must have sent its whole "
                           "request."})
      .Add({.name = "max-caller-connections",
            .type = SettingType::kInteger,
            .default_value = "12000",
            .min = 1,
            .max = 60'000,
            .description = "Open caller connections; further ones are "
                           "closed."})
      .Add({.name = "timeline-ring-size",
            .type = SettingType::kInteger,
            .default_value = "4096",
            .min = 16,
            .max = 1'048'576,
            .description = "Timeline events kept in memory."})
      .Add({.name = "timeline-flush-period-ms",
            .type = SettingType::kInteger,
            .unit = "ms",
            .default_value = "1000",
            .min = 100,
            .max = kMaxPeriodMs,
            .description = "Period of writing timeline events to the object "
                           "store."});
  AddDistinctCheck(table, "listen-address", "admin-address");
  AddDistinctCheck(table, "listen-address", "peer-address");
  AddDistinctCheck(table, "admin-address", "peer-address");
  table.AddCheck(
      {"platform-address", "listen-address"},
      [](const SettingValues& v) -> std::optional<std::string> {
        if (v.Address("platform-address") != v.Address("listen-address"))
          return std::nullopt;
        return "--platform-address, --listen-address: the process would use "
               "itself as the platform, give the platform's address";
      });
  table.AddCheck({"seed-peers", "peer-address"},
                 [](const SettingValues& v) -> std::optional<std::string> {
                   for (const SocketAddress& seed : v.Addresses("seed-peers")) {
                     if (seed == v.Address("peer-address"))
                       return "--seed-peers: includes --peer-address " +
                              seed.str() + ", remove it";
                   }
                   return std::nullopt;
                 });
  table.AddExample("an entry process of the zone cairo-a",
                   "radishmoor-entry --member-id entry-1 --zone cairo-a "
                   "--listen-address 127.0.0.1:8080 "
                   "--admin-address 127.0.0.1:8081 "
                   "--peer-address 127.0.0.1:8082 "
                   "--platform-address 127.0.0.1:9000");
  table.AddExample("check the settings of a service unit without a start",
                   "RADISHMOOR_ZONE=cairo-a radishmoor-entry "
                   "--check-settings --member-id entry-1 ...");
  return table;
}

SettingsTable BareControlTable() {
  SettingsTable table("radishmoor-control",
                      "Runs moves, maintenance waves, retirement and lending "
                      "of hosts.");
  AddIdentity(table);
  AddAddresses(table);
  AddLog(table);
  table
      .Add({.name = "max-writes-per-second",
            .type = SettingType::kInteger,
            .default_value = "100",
            .min = 1,
            .max = 1000,
            .description = "Most writes to the table service in a second by "
                           "this process."})
      .Add({.name = "lending-policy",
            .type = SettingType::kChoice,
            .default_value = "hysteresis",
            .choices = {"static", "hysteresis", "ahead"},
            .description = "When spare hosts are lent: never, on sustained "
                           "load, or ahead of expected peaks."});
  AddGracePeriod(table,
                 "After SIGTERM: time in which the step under way may finish "
                 "and leases are released.");
  AddDistinctCheck(table, "admin-address", "peer-address");
  table.AddExample("a control process of the zone cairo-a",
                   "radishmoor-control --member-id control-1 --zone cairo-a "
                   "--admin-address 127.0.0.1:8083 "
                   "--peer-address 127.0.0.1:8084 "
                   "--platform-address 127.0.0.1:9000");
  return table;
}

SettingsTable BareCtlTable() {
  SettingsTable table("radishmoorctl",
                      "Shows and changes the configuration of a site.");
  table
      .Add({.name = "platform-address",
            .type = SettingType::kAddress,
            .description = "Address of the platform's table service and "
                           "object store."})
      .Add({.name = "author",
            .type = SettingType::kName,
            .default_value = "operator",
            .description = "Name that is recorded with a change."})
      .Add({.name = "timeout-ms",
            .type = SettingType::kInteger,
            .unit = "ms",
            .default_value = "5000",
            .min = 10,
            .max = kMaxPeriodMs,
            .description = "Time limit of each read and write."})
      .Add({.name = "expect-version",
            .type = SettingType::kInteger,
            .default_value = "-1",
            .min = -1,
            .description = "apply, drain, retire: version that the "
                           "change was planned against; -1 for the current "
                           "one."})
      .Add({.name = "operation",
            .type = SettingType::kInteger,
            .default_value = "0",
            .description = "apply, drain, retire: operation id; 0 for a new "
                           "one. Repeat a command whose outcome is unknown "
                           "with the id that it printed."})
      .Add({.name = "request",
            .type = SettingType::kInteger,
            .default_value = "-1",
            .min = -1,
            .description = "timeline: only events of the request with this "
                           "number; -1 for all."})
      .Add({.name = "host",
            .type = SettingType::kName,
            .default_value = "",
            .description =
                "timeline: only events of this host; all if not set."})
      .Add({.name = "json",
            .type = SettingType::kSwitch,
            .description = "Prints JSON instead of tables."});
  table.AllowArguments(
      "COMMAND\n\n"
      "Commands:\n"
      "  plan FILE                 show what apply would change\n"
      "  apply FILE                make FILE the accepted inventory\n"
      "  show pools|hosts|config   show the accepted configuration\n"
      "  drain HOST                keep new work away from HOST\n"
      "  retire HOST               take HOST out of the fleet for good\n"
      "  forget MEMBER             remove the row of a process that ended for "
      "good\n"
      "  status                    show all processes and their version\n"
      "  timeline                  merge the events of all processes\n"
      "  jobs ADDRESS              pools, queues and open jobs of a process of "
      "the job scheduler\n"
      "  explain JOB LOGFILE       what the logs of the job scheduler say of "
      "JOB\n\n"
      "Exit codes: 0 done, 1 refused or conflict, 2 usage, 3 unreachable, "
      "4 unknown outcome\n"
      "(repeat the command with the --operation that it printed)");
  table.AddExample("see the effect of a change first",
                   "radishmoorctl --platform-address 127.0.0.1:9000 plan "
                   "sites/nilehook.json");
  table.AddExample("apply it if nobody changed the configuration since",
                   "radishmoorctl --platform-address 127.0.0.1:9000 "
                   "--expect-version 17 apply sites/nilehook.json");
  table.AddExample("what happened to a host",
                   "radishmoorctl --platform-address 127.0.0.1:9000 "
                   "--host nh-quoting-01 timeline");
  table.AddExample(
      "why a job was late; the file holds the logs of all "
      "processes",
      "radishmoorctl explain d6ed3325345ee648 jobs.log");
  table.AddExample("save the accepted inventory in the form of the file",
                   "radishmoorctl --platform-address 127.0.0.1:9000 --json "
                   "show config > site.json");
  return table;
}

LogFormat LogFormatOf(const SettingValues& values) {
  return values.Text("log-format") == "json" ? LogFormat::kJson
                                             : LogFormat::kKeyValue;
}

LogLevel LogLevelOf(const SettingValues& values) {
  const std::string& level = values.Text("log-level");
  if (level == "debug")
    return LogLevel::kDebug;
  if (level == "warning")
    return LogLevel::kWarning;
  return level == "error" ? LogLevel::kError : LogLevel::kInfo;
}

LendingMode LendingModeOf(const SettingValues& values) {
  const std::string& policy = values.Text("lending-policy");
  if (policy == "static")
    return LendingMode::kStatic;
  return policy == "ahead" ? LendingMode::kPredictive
                           : LendingMode::kHysteresis;
}

size_t SizeSetting(const SettingValues& values, const char* name) {
  return static_cast<size_t>(values.Integer(name));
}

// The programs of a host may share one environment, so each of them accepts the
// variables of the others.
SettingsTable WithSharedEnvironment(SettingsTable table) {
  table.IgnoreVariablesOf(BareEntryTable());
  table.IgnoreVariablesOf(BareControlTable());
  table.IgnoreVariablesOf(BareCtlTable());
  return table;
}

}  // namespace

SettingsTable EntrySettingsTable() {
  return WithSharedEnvironment(BareEntryTable());
}

SettingsTable ControlSettingsTable() {
  return WithSharedEnvironment(BareControlTable());
}

SettingsTable CtlSettingsTable() {
  return WithSharedEnvironment(BareCtlTable());
}

EntrySettings EntrySettingsFrom(const SettingValues& v) {
  EntrySettings s;
  s.member = MemberId(v.Text("member-id"));
  s.zone = ZoneId(v.Text("zone"));
  s.host_name = v.Text("host-name");
  s.host_instance = static_cast<uint64_t>(v.Integer("host-instance"));
  s.listen_address = v.Address("listen-address");
  s.admin_address = v.Address("admin-address");
  s.peer_address = v.Address("peer-address");
  s.platform_address = v.Address("platform-address");
  s.seed_peers = v.Addresses("seed-peers");
  s.log_format = LogFormatOf(v);
  s.log_level = LogLevelOf(v);
  s.grace_period = Milliseconds(v.Integer("grace-period-ms"));
  s.max_header_bytes = SizeSetting(v, "max-header-bytes");
  s.max_body_bytes = SizeSetting(v, "max-body-bytes");
  s.request_read_timeout = Milliseconds(v.Integer("request-read-timeout-ms"));
  s.max_caller_connections = SizeSetting(v, "max-caller-connections");
  s.timeline_ring_size = SizeSetting(v, "timeline-ring-size");
  s.timeline_flush_period = Milliseconds(v.Integer("timeline-flush-period-ms"));
  return s;
}

ControlSettings ControlSettingsFrom(const SettingValues& v) {
  ControlSettings s;
  s.member = MemberId(v.Text("member-id"));
  s.zone = ZoneId(v.Text("zone"));
  s.host_name = v.Text("host-name");
  s.host_instance = static_cast<uint64_t>(v.Integer("host-instance"));
  s.admin_address = v.Address("admin-address");
  s.peer_address = v.Address("peer-address");
  s.platform_address = v.Address("platform-address");
  s.log_format = LogFormatOf(v);
  s.log_level = LogLevelOf(v);
  s.max_writes_per_second =
      static_cast<uint32_t>(v.Integer("max-writes-per-second"));
  s.lending_policy = LendingModeOf(v);
  s.grace_period = Milliseconds(v.Integer("grace-period-ms"));
  return s;
}

CtlSettings CtlSettingsFrom(const SettingValues& v) {
  CtlSettings s;
  s.platform_address = v.Address("platform-address");
  s.author = v.Text("author");
  s.timeout = Milliseconds(v.Integer("timeout-ms"));
  if (int64_t version = v.Integer("expect-version"); version >= 0)
    s.expected_version = static_cast<uint64_t>(version);
  if (int64_t operation = v.Integer("operation"); operation > 0)
    s.operation = {static_cast<uint64_t>(operation)};
  if (int64_t request = v.Integer("request"); request >= 0)
    s.request = {static_cast<uint64_t>(request)};
  if (const std::string& host = v.Text("host"); !host.empty())
    s.host = HostId(host);
  s.json = v.Switch("json");
  s.command = v.arguments();
  return s;
}

std::string SettingsPage() {
  return "# Settings\n\n"
         "Generated by `radishmoorctl --settings-markdown`; do not edit.\n\n"
         "A flag wins over its environment variable. All faults are reported "
         "at once, one line each, with exit\ncode 2. `--check-settings` checks "
         "without a start.\n\n" +
         BareEntryTable().Markdown() + "\n" + BareControlTable().Markdown() +
         "\n" + BareCtlTable().Markdown();
}

}  // namespace radishmoor
