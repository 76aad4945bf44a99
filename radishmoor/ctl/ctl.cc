#include "radishmoor/ctl/ctl.h"

#include <boost/json.hpp>
#include <exception>
#include <fstream>
#include <iterator>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "radishmoor/config/errors.h"
#include "radishmoor/config/inventory.h"
#include "radishmoor/config/plan.h"
#include "radishmoor/ctl/job_explanation.h"
#include "radishmoor/ctl/members.h"
#include "radishmoor/ctl/text_table.h"
#include "radishmoor/membership/member.h"

namespace radishmoor {
namespace {

namespace json = boost::json;

// Name, number of arguments and usage text of a command.
struct CommandSyntax {
  const char* name;
  size_t arguments;
  const char* usage;
};

constexpr CommandSyntax kCommands[] = {
    {"plan", 1, "plan FILE"},
    {"apply", 1, "apply FILE"},
    {"show", 1, "show pools|hosts|config"},
    {"drain", 1, "drain HOST"},
    {"retire", 1, "retire HOST"},
    {"forget", 1, "forget MEMBER"},
    {"status", 0, "status"},
    {"timeline", 0, "timeline"},
    {"explain", 2, "explain JOB LOGFILE"},
    {"jobs", 1, "jobs ADDRESS"},
};

const char* ResultName(ApplyResult result) {
  switch (result) {
    case ApplyResult::kApplied:
      return "applied";
    case ApplyResult::kNothingToDo:
      return "nothing-to-do";
    case ApplyResult::kRefused:
      return "refused";
    case ApplyResult::kConflict:
      return "conflict";
    case ApplyResult::kUnavailable:
      return "unavailable";
    case ApplyResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

int ExitCode(ApplyResult result) {
  switch (result) {
    case ApplyResult::kApplied:
    case ApplyResult::kNothingToDo:
      return kCtlDone;
    case ApplyResult::kRefused:
    case ApplyResult::kConflict:
      return kCtlRefused;
    case ApplyResult::kUnavailable:
      return kCtlUnreachable;
    case ApplyResult::kUnknown:
      return kCtlUnknown;
  }
  return kCtlUnknown;
}

const char* PhaseText(HostPhase phase) {
  static constexpr const char* kNames[] = {"active", "draining", "drained",
                                           "rebooting", "retired"};
  return kNames[static_cast<int>(phase)];
}

// Returns the content of a file, or nullopt if it cannot be read. Reads at most
// kMaxInventoryBytes + 1, so that ParseInventory() reports a file that is too
// large.
std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  std::string text(kMaxInventoryBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad())
    return std::nullopt;
  text.resize(static_cast<size_t>(file.gcount()));
  return text;
}

int Explain(const std::string& job,
            const std::string& path,
            std::ostream& out,
            std::ostream& err) {
  std::ifstream logs(path, std::ios::binary);
  if (!logs) {
    err << path << ": cannot read the file; check the path\n";
    return kCtlUsage;
  }
  JobExplanation explanation = ExplainJob(job, logs);
  out << explanation.text;
  if (explanation.unreadable_lines > 0)
    err << "warning: " << explanation.unreadable_lines
        << " lines that name the job hold no valid JSON event\n";
  if (explanation.truncated)
    err << "warning: only the first " << kMaxExplainedLines
        << " lines of the job were used\n";
  return explanation.matching_lines > 0 ? kCtlDone : kCtlRefused;
}

class Commands {
 public:
  Commands(const CtlSettings& settings, std::ostream& out, std::ostream& err)
      : settings_(settings), out_(out), err_(err) {}

  int Run(const std::function<CtlIo(const CtlSettings&)>& connect) {
    if (auto code = CheckCommandLine())
      return *code;
    const std::string& command = settings_.command[0];
    if (command == "plan" || command == "apply") {
      if (auto code = ReadInventory(settings_.command[1]))
        return *code;
    }
    if (command == "explain")
      return Explain(settings_.command[1], settings_.command[2], out_, err_);
    try {
      io_ = connect(settings_);
      return Dispatch(command);
    } catch (const ConfigFormatError& error) {
      err_ << "the store holds text that this program cannot decode: "
           << error.what() << "; use the program version that wrote it\n";
    } catch (const ConfigUnavailableError& error) {
      err_ << error.what() << "; check --platform-address "
           << settings_.platform_address.str() << "\n";
    } catch (const std::exception& error) {
      err_ << "cannot use the platform at " << settings_.platform_address.str()
           << ": " << error.what() << "\n";
    }
    return kCtlUnreachable;
  }

 private:
  // Returns an exit code if the command line has no valid command.
  std::optional<int> CheckCommandLine() {
    if (settings_.command.empty()) {
      err_ << "no command; see --help\n";
      return kCtlUsage;
    }
    for (const CommandSyntax& syntax : kCommands) {
      if (settings_.command[0] != syntax.name)
        continue;
      bool fits = settings_.command.size() == syntax.arguments + 1;
      if (settings_.command[0] == "show" && fits) {
        const std::string& what = settings_.command[1];
        fits = what == "pools" || what == "hosts" || what == "config";
      }
      if (fits)
        return std::nullopt;
      err_ << "usage: radishmoorctl " << syntax.usage << "; see --help\n";
      return kCtlUsage;
    }
    err_ << "unknown command; commands are";
    for (const CommandSyntax& syntax : kCommands)
      err_ << " " << syntax.name;
    err_ << "\n";
    return kCtlUsage;
  }

  std::optional<int> ReadInventory(const std::string& path) {
    auto text = ReadFile(path);
    if (!text) {
      err_ << path << ": cannot read the file; check the path\n";
      return kCtlUsage;
    }
    InventoryResult result = ParseInventory(*text);
    for (const InventoryError& error : result.errors)
      err_ << error.str(path) << "\n";
    if (!result.inventory)
      return kCtlRefused;
    inventory_ = std::move(*result.inventory);
    return std::nullopt;
  }

  int Dispatch(const std::string& command) {
    if (command == "plan")
      return Plan();
    if (command == "apply") {
      return Apply([this](const FleetState& state) {
        return PlanInventory(state, inventory_);
      });
    }
    if (command == "drain")
      return ApplyHostIntent(HostIntent::kDrain);
    if (command == "retire")
      return ApplyHostIntent(HostIntent::kRetire);
    if (command == "forget")
      return Forget(MemberId(settings_.command[1]));
    if (command == "jobs")
      return Jobs(settings_.command[1]);
    if (command == "show")
      return Show(settings_.command[1]);
    return command == "status" ? Status() : Timeline();
  }

  int Plan() {
    ConfigPlan plan = PlanInventory(LoadConfig(io_.store).state, inventory_);
    out_ << (settings_.json ? PlanJson(plan) + "\n" : PlanText(plan));
    return plan.refusals.empty() ? kCtlDone : kCtlRefused;
  }

  int ApplyHostIntent(HostIntent intent) {
    HostId host(settings_.command[1]);
    return Apply([host, intent](const FleetState& state) {
      return PlanHostIntent(state, host, intent);
    });
  }

  // Removes the member row of a process that ended without removing it. While
  // the row exists, drains in the process's zone wait for its acknowledgement.
  int Forget(const MemberId& member) {
    const std::string key = MemberKey(member);
    StoreReply read = io_.store(ReadRows{{key}});
    auto* rows = std::get_if<RowsReply>(&read);
    if (rows == nullptr || rows->rows.size() != 1)
      throw ConfigUnavailableError("cannot read the row of the member");
    RowVersion version = rows->rows[0].version;
    if (version == 0) {
      out_ << "No row of " << member.str() << "; nothing to do\n";
      return kCtlDone;
    }
    Transaction transaction{.operation = {io_.random_id()},
                            .expects = {{key, version}},
                            .writes = {{key, "", true}}};
    StoreReply reply = io_.store(CommitRows{std::move(transaction)});
    if (std::holds_alternative<CommittedReply>(reply)) {
      out_ << "Removed the row of " << member.str() << "\n";
      return kCtlDone;
    }
    if (std::holds_alternative<ConflictReply>(reply)) {
      err_ << member.str()
           << ": its row has just changed, so the process is running; stop it "
              "first\n";
      return kCtlRefused;
    }
    err_ << member.str()
         << ": no answer from the store; run the status command and repeat "
            "if the row is still listed\n";
    return std::holds_alternative<UnavailableReply>(reply) ? kCtlUnreachable
                                                           : kCtlUnknown;
  }

  int Apply(const Planner& planner) {
    // The id must be valid for the setting "operation": it is not 0 and fits
    // into a signed 64-bit integer.
    constexpr uint64_t kMaxId = std::numeric_limits<int64_t>::max();
    OperationId operation =
        settings_.operation.value_or(OperationId{io_.random_id() % kMaxId + 1});
    ApplyOutcome outcome =
        ApplyPlan(io_.store, planner,
                  {operation, settings_.author, settings_.expected_version});
    if (settings_.json) {
      PrintJson(outcome, operation);
    } else {
      PrintText(outcome);
    }
    PrintProblem(outcome, operation);
    return ExitCode(outcome.result);
  }

  void PrintJson(const ApplyOutcome& outcome, OperationId operation) {
    json::object o{{"result", ResultName(outcome.result)},
                   {"version", outcome.version},
                   {"operation", operation.value},
                   {"reason", outcome.reason},
                   {"plan", json::parse(PlanJson(outcome.plan))}};
    if (outcome.difference)
      o["difference"] = json::parse(DiffJson(*outcome.difference));
    out_ << json::serialize(o) << "\n";
  }

  void PrintText(const ApplyOutcome& outcome) {
    if (outcome.result == ApplyResult::kNothingToDo) {
      out_ << "No change; version " << outcome.version << "\n";
    } else if (outcome.result == ApplyResult::kRefused) {
      out_ << PlanText(outcome.plan);
    } else if (outcome.result == ApplyResult::kApplied) {
      if (!outcome.plan.empty())
        out_ << PlanText(outcome.plan);
      out_ << "Applied as version " << outcome.version << "\n";
    }
  }

  void PrintProblem(const ApplyOutcome& outcome, OperationId operation) {
    switch (outcome.result) {
      case ApplyResult::kRefused:
        err_ << "refused; nothing was changed\n";
        break;
      case ApplyResult::kConflict:
        PrintConflict(outcome);
        break;
      case ApplyResult::kUnavailable:
        err_ << "nothing was changed: " << outcome.reason
             << "; try again, or check --platform-address\n";
        break;
      case ApplyResult::kUnknown:
        err_ << "the change may have taken effect: " << outcome.reason
             << "; repeat the same command with --operation " << operation.value
             << " to find out\n";
        break;
      default:
        break;
    }
    if (outcome.snapshot_failed)
      err_ << "warning: the snapshot was not written; the next change tries "
              "again\n";
  }

  void PrintConflict(const ApplyOutcome& outcome) {
    err_ << "conflict: nothing was changed; the accepted configuration is "
            "version "
         << outcome.version << "\n";
    if (outcome.difference) {
      err_ << "changed since then:\n" << DiffText(*outcome.difference);
    } else if (!outcome.reason.empty()) {
      err_ << outcome.reason << "; run the command again\n";
      return;
    } else {
      err_ << "there is no stored state of --expect-version to compare with\n";
    }
    err_ << "plan again and apply with --expect-version " << outcome.version
         << "\n";
  }

  int Show(const std::string& what) {
    LoadedConfig loaded = LoadConfig(io_.store);
    const FleetState& state = loaded.state;
    if (what == "config" && settings_.json) {
      out_ << EncodeInventory(InventoryOf(state)) << "\n";
    } else if (settings_.json) {
      json::value whole = json::parse(EncodeState(state));
      out_ << json::serialize(json::object{{"version", state.version},
                                           {what, whole.at(what)}})
           << "\n";
    } else if (what == "pools") {
      out_ << PoolsText(state);
    } else if (what == "hosts") {
      out_ << HostsText(state);
    } else {
      out_ << ConfigText(loaded);
    }
    return kCtlDone;
  }

  static std::string PoolsText(const FleetState& state) {
    struct Count {
      int hosts = 0;
      int active = 0;
    };
    std::map<PoolId, Count> counts;
    for (const auto& [id, host] : state.hosts) {
      if (host.phase == HostPhase::kRetired)
        continue;
      ++counts[host.pool].hosts;
      counts[host.pool].active += host.phase == HostPhase::kActive ? 1 : 0;
    }
    TextTable table({"pool", "hosts", "active", "max unavailable", "wave limit",
                     "spare", "closed", "deadline ms", "queue limit"});
    for (const auto& [id, p] : state.pools) {
      const Count& count = counts[id];
      table.Add({id.str(), std::to_string(count.hosts),
                 std::to_string(count.active),
                 std::to_string(p.max_unavailable),
                 std::to_string(p.wave_limit), p.spare ? "yes" : "no",
                 p.closed ? "yes" : "no", std::to_string(p.default_deadline_ms),
                 std::to_string(p.queue_limit)});
    }
    return table.str();
  }

  static std::string HostsText(const FleetState& state) {
    TextTable table({"host", "zone", "rack", "pool", "wanted pool", "epoch",
                     "phase", "intent", "maintained", "address"});
    for (const auto& [id, h] : state.hosts) {
      table.Add({id.str(), h.zone.str(), h.rack.str(), h.pool.str(),
                 h.wanted_pool.str(), std::to_string(h.epoch),
                 PhaseText(h.phase), std::string(IntentName(h.intent)),
                 h.maintained, h.address});
    }
    return table.str();
  }

  static std::string ConfigText(const LoadedConfig& loaded) {
    const FleetState& s = loaded.state;
    TextTable changes({"version", "author", "operation", "hosts", "pools"});
    for (const ConfigDelta& d : loaded.deltas) {
      changes.Add({std::to_string(d.version), d.author,
                   std::to_string(d.operation.value),
                   std::to_string(d.hosts.size() + d.removed_hosts.size()),
                   std::to_string(d.pools.size() + d.removed_pools.size())});
    }
    return "Version: " + std::to_string(s.version) +
           "\nSnapshot: " + std::to_string(loaded.head.snapshot) +
           "\nHosts: " + std::to_string(s.hosts.size()) +
           "\nPools: " + std::to_string(s.pools.size()) +
           "\nTeams: " + std::to_string(s.teams.size()) +
           "\nMaintenance round: " +
           (s.rules.maintenance.empty() ? "-" : s.rules.maintenance) +
           "\nMax racks in maintenance: " +
           std::to_string(s.rules.max_racks_in_maintenance) +
           "\n\nChanges since the snapshot:\n" + changes.str();
  }

  int Status() {
    ConfigVersion head = LoadConfig(io_.store).head.version;
    auto members = ReadMembers(io_.store);
    out_ << (settings_.json ? MembersJson(members, head) + "\n"
                            : MembersText(members, head));
    return kCtlDone;
  }

  // Shows the pools, queues and open jobs of one scheduler process.
  int Jobs(const std::string& address) {
    std::optional<std::string> page = io_.fetch(address, "/pools");
    if (!page) {
      err_ << "no answer from " << address
           << "; give the readiness address of a radishmoor-jobs process\n";
      return kCtlUnreachable;
    }
    out_ << (page->empty() ? "The process owns no pool.\n" : *page);
    return kCtlDone;
  }

  int Timeline() {
    MergedTimeline timeline =
        ReadTimeline(io_.store, io_.fetch, ReadMembers(io_.store),
                     {settings_.request, settings_.host});
    out_ << (settings_.json ? TimelineJson(timeline) + "\n"
                            : TimelineText(timeline));
    for (const std::string& warning : timeline.warnings)
      err_ << "warning: " << warning << "\n";
    return timeline.any_source_read ? kCtlDone : kCtlUnreachable;
  }

  const CtlSettings& settings_;
  std::ostream& out_;
  std::ostream& err_;
  CtlIo io_;
  Inventory inventory_;
};

}  // namespace

int RunCtl(int argc,
           const char* const* argv,
           const char* const* environment,
           const std::function<CtlIo(const CtlSettings&)>& connect,
           std::ostream& out,
           std::ostream& err) {
  for (int i = 1; i < argc; ++i) {
    // Prints the settings of all programs, from which docs/settings.md is
    // generated.
    if (std::string_view(argv[i]) == "--settings-markdown") {
      out << SettingsPage();
      return kCtlDone;
    }
  }
  // This command only reads a log file, so it works without the settings.
  if (argc == 4 && std::string_view(argv[1]) == "explain")
    return Explain(argv[2], argv[3], out, err);
  ParseResult parsed = CtlSettingsTable().Parse(argc, argv, environment);
  if (auto code = parsed.Report(out, err))
    return *code;
  CtlSettings settings = CtlSettingsFrom(parsed.values);
  int code = Commands(settings, out, err).Run(connect);
  out.flush();
  err.flush();
  return code;
}

}  // namespace radishmoor
