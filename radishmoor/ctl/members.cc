#include "radishmoor/ctl/members.h"

#include <boost/json.hpp>
#include <utility>

#include "radishmoor/ctl/text_table.h"
#include "radishmoor/membership/member.h"

namespace radishmoor {
namespace {

namespace json = boost::json;

constexpr uint32_t kScanLimit = 1000;
// Index of the admin server's address in a member row; the first address is the
// one for peers.
constexpr size_t kAdminAddress = 1;

MemberStatus Decode(const Row& row) {
  MemberStatus member;
  member.id = MemberId(row.key.substr(sizeof(kMemberPrefix) - 1));
  auto record = DecodeMember(row.value);
  if (!record) {
    // A row of another format must not prevent the others from being shown.
    member.readable = false;
    return member;
  }
  member.incarnation = record->incarnation;
  member.role = record->role == MemberRole::kEntry ? "entry" : "control";
  member.zone = record->zone;
  if (record->addresses.size() > kAdminAddress)
    member.admin_address = record->addresses[kAdminAddress];
  member.version_in_force = record->version;
  for (const HostId& host : record->busy_hosts)
    member.busy_hosts.push_back(host.str());
  return member;
}

std::string LagText(const MemberStatus& member, ConfigVersion head) {
  return std::to_string(
      head > member.version_in_force ? head - member.version_in_force : 0);
}

}  // namespace

std::vector<MemberStatus> ReadMembers(const StoreExecutor& store) {
  std::vector<MemberStatus> members;
  std::string after;
  while (true) {
    StoreReply reply = store(ScanRows{kMemberPrefix, after, kScanLimit});
    const auto* rows = std::get_if<RowsReply>(&reply);
    if (rows == nullptr)
      throw ConfigUnavailableError("cannot read the member rows");
    for (const Row& row : rows->rows)
      members.push_back(Decode(row));
    if (rows->rows.size() < kScanLimit)
      return members;
    after = rows->rows.back().key;
  }
}

std::string MembersText(const std::vector<MemberStatus>& members,
                        ConfigVersion head) {
  TextTable table({"member", "role", "zone", "incarnation", "in force",
                   "behind", "busy", "admin address"});
  for (const MemberStatus& m : members) {
    if (!m.readable) {
      table.Add({m.id.str(), "unreadable row"});
      continue;
    }
    std::string busy;
    for (const std::string& host : m.busy_hosts)
      busy += (busy.empty() ? "" : " ") + host;
    table.Add({m.id.str(), m.role, m.zone.str(),
               std::to_string(m.incarnation.value),
               std::to_string(m.version_in_force), LagText(m, head), busy,
               m.admin_address});
  }
  return "Accepted version: " + std::to_string(head) + "\n" + table.str();
}

std::string MembersJson(const std::vector<MemberStatus>& members,
                        ConfigVersion head) {
  json::array list;
  for (const MemberStatus& m : members) {
    json::array busy;
    for (const std::string& host : m.busy_hosts)
      busy.push_back(json::value(host));
    list.push_back(json::object{{"id", m.id.str()},
                                {"readable", m.readable},
                                {"incarnation", m.incarnation.value},
                                {"role", m.role},
                                {"zone", m.zone.str()},
                                {"admin_address", m.admin_address},
                                {"in_force", m.version_in_force},
                                {"busy", busy}});
  }
  return json::serialize(json::object{{"version", head}, {"members", list}});
}

}  // namespace radishmoor
