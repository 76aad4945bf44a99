// Strongly typed identifiers of objects that several components refer to.
//
//   HostId host("w-17");
//   PoolId pool("tomato-desk");
//   RequestId request{42};
//
// Identifiers of different kinds do not convert into each other. All are
// ordered and hashable, so they can be keys of standard containers.

#ifndef RADISHMOOR_BASE_IDS_H_
#define RADISHMOOR_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace radishmoor {

// A name chosen by operators or the platform.
template <typename Tag>
class NameId {
 public:
  NameId() = default;
  explicit NameId(std::string value) : value_(std::move(value)) {}
  explicit NameId(std::string_view value) : value_(value) {}
  explicit NameId(const char* value) : value_(value) {}

  const std::string& str() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const NameId&, const NameId&) = default;
  friend bool operator==(const NameId&, const NameId&) = default;

 private:
  std::string value_;
};

// A number that a process assigns from a counter or a random source.
template <typename Tag>
struct NumberId {
  uint64_t value = 0;

  friend auto operator<=>(const NumberId&, const NumberId&) = default;
  friend bool operator==(const NumberId&, const NumberId&) = default;
};

// A host that runs backend servers (a worker).
using HostId = NameId<struct HostIdTag>;
// A pool of hosts that serves one service.
using PoolId = NameId<struct PoolIdTag>;
using ZoneId = NameId<struct ZoneIdTag>;
using RackId = NameId<struct RackIdTag>;
using TeamId = NameId<struct TeamIdTag>;
// A process on an entry host. Stays the same across restarts of the process on
// the same entry host.
using MemberId = NameId<struct MemberIdTag>;

// The role of a process on an entry host.
enum class MemberRole : uint8_t { kEntry, kControl };

// A request accepted by one entry process. Unique within that process.
using RequestId = NumberId<struct RequestIdTag>;
// A connection from one entry process to a backend server.
using ConnectionId = NumberId<struct ConnectionIdTag>;
// One period of a process from start to end. A later start has a larger
// incarnation.
using Incarnation = NumberId<struct IncarnationTag>;
// Identifies one write to the store. If its answer is lost, reading the row
// back shows whether the write took effect.
using OperationId = NumberId<struct OperationIdTag>;

// Version of the accepted configuration. 0 means none.
using ConfigVersion = uint64_t;
// Number of pool assignments of one host. Increases with every move.
using HostEpoch = uint64_t;

}  // namespace radishmoor

template <typename Tag>
struct std::hash<radishmoor::NameId<Tag>> {
  size_t operator()(const radishmoor::NameId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};

template <typename Tag>
struct std::hash<radishmoor::NumberId<Tag>> {
  size_t operator()(const radishmoor::NumberId<Tag>& id) const noexcept {
    return std::hash<uint64_t>{}(id.value);
  }
};

#endif  // RADISHMOOR_BASE_IDS_H_
