// The registered processes as their member rows describe them.

#ifndef RADISHMOOR_CTL_MEMBERS_H_
#define RADISHMOOR_CTL_MEMBERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/config/config_log.h"

namespace radishmoor {

struct MemberStatus {
  MemberId id;
  Incarnation incarnation;
  std::string role;
  ZoneId zone;
  std::string admin_address;
  ConfigVersion version_in_force = 0;
  // Draining hosts on which the process has requests in flight.
  std::vector<std::string> busy_hosts;
  bool readable = true;  // False if the row could not be decoded.
};

// Reads all member rows, ordered by id. For a row that cannot be decoded, sets
// only the id. Throws ConfigUnavailableError if the store does not answer.
std::vector<MemberStatus> ReadMembers(const StoreExecutor& store);

// Return the members as a table and as JSON. `head` is the accepted version;
// the table shows how many versions each process is behind it.
std::string MembersText(const std::vector<MemberStatus>& members,
                        ConfigVersion head);
std::string MembersJson(const std::vector<MemberStatus>& members,
                        ConfigVersion head);

}  // namespace radishmoor

#endif  // RADISHMOOR_CTL_MEMBERS_H_
