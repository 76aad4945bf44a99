// The registered processes, as their rows member/<id> describe them.

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
  ConfigVersion in_force = 0;
  std::vector<std::string> busy;  // Draining hosts with requests in flight.
  bool readable = true;  // False: the row is not a JSON object as expected.
};

// All rows, ordered by id. A row that cannot be decoded has only its id.
// Throws ConfigUnavailableError.
std::vector<MemberStatus> ReadMembers(const StoreExecutor& store);

// `head` is the accepted version, for the number of versions that a process
// lags behind.
std::string MembersText(const std::vector<MemberStatus>& members,
                        ConfigVersion head);
std::string MembersJson(const std::vector<MemberStatus>& members,
                        ConfigVersion head);

}  // namespace radishmoor

#endif  // RADISHMOOR_CTL_MEMBERS_H_
