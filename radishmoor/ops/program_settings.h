// Settings of radishmoor's programs, as tables for parsing and as typed values.
//
//   ParseResult result = EntrySettingsTable().Parse(argc, argv, environ);
//   if (auto code = result.Report(std::cout, std::cerr))
//     return *code;
//   EntrySettings settings = EntrySettingsFrom(result.values);

#ifndef RADISHMOOR_OPS_PROGRAM_SETTINGS_H_
#define RADISHMOOR_OPS_PROGRAM_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"
#include "radishmoor/ops/log.h"
#include "radishmoor/ops/settings.h"

namespace radishmoor {

struct EntrySettings {
  MemberId member;
  ZoneId zone;
  std::string host_name;  // Name in the platform's host list; may be empty.
  uint64_t host_instance = 0;
  SocketAddress listen_address;    // For callers.
  SocketAddress admin_address;     // /metrics, /healthz, /readyz, /timeline.
  SocketAddress peer_address;      // For other processes of radishmoor.
  SocketAddress platform_address;  // Table service, object store, host list.
  std::vector<SocketAddress> seed_peers;
  LogFormat log_format = LogFormat::kKeyValue;
  LogLevel log_level = LogLevel::kInfo;
  Duration grace_period{};
  size_t max_header_bytes = 0;
  size_t max_body_bytes = 0;
  Duration request_read_timeout{};
  size_t max_caller_connections = 0;
  size_t timeline_ring_size = 0;
  Duration timeline_flush_period{};
};

enum class LendingMode : uint8_t {
  kStatic,      // Spare hosts stay in the pool that the inventory gives.
  kHysteresis,  // Spare hosts are lent after load was high for some time.
  kPredictive,  // Spare hosts are lent before an expected peak.
};

struct ControlSettings {
  MemberId member;
  ZoneId zone;
  std::string host_name;  // Name in the platform's host list; may be empty.
  uint64_t host_instance = 0;
  SocketAddress admin_address;
  SocketAddress peer_address;
  SocketAddress platform_address;
  LogFormat log_format = LogFormat::kKeyValue;
  LogLevel log_level = LogLevel::kInfo;
  uint32_t max_writes_per_second = 0;
  LendingMode lending_policy = LendingMode::kHysteresis;
  Duration grace_period{};
};

SettingsTable EntrySettingsTable();
EntrySettings EntrySettingsFrom(const SettingValues& values);

SettingsTable ControlSettingsTable();
ControlSettings ControlSettingsFrom(const SettingValues& values);

struct CtlSettings {
  SocketAddress platform_address;
  std::string author;
  Duration timeout{};  // Time limit of each read and write.
  // Configuration version that the change requires; nullopt: the current one.
  std::optional<uint64_t> expected_version;
  // Id of the change; nullopt: a new one is chosen.
  std::optional<OperationId> operation;
  // If set, the timeline shows only events of this request or host.
  std::optional<RequestId> request;
  std::optional<HostId> host;
  bool json = false;
  std::vector<std::string> command;  // The command and its arguments.
};

SettingsTable CtlSettingsTable();
CtlSettings CtlSettingsFrom(const SettingValues& values);

// Returns the text of docs/settings.md, with the tables of all programs.
std::string SettingsPage();

}  // namespace radishmoor

#endif  // RADISHMOOR_OPS_PROGRAM_SETTINGS_H_
