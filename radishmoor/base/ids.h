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

#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
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

// A short name that is copied and compared often, for example in the key of
// each run of a task. It is stored in place, so that copies allocate nothing. A
// name that is longer than kMaxShortIdBytes or contains a zero byte becomes the
// empty name.
inline constexpr size_t kMaxShortIdBytes = 23;

template <typename Tag>
class ShortId {
 public:
  ShortId() = default;
  explicit ShortId(std::string_view value) {
    if (value.size() <= kMaxShortIdBytes &&
        value.find('\0') == std::string_view::npos)
      std::copy(value.begin(), value.end(), bytes_.begin());
  }
  explicit ShortId(const std::string& value)
      : ShortId(std::string_view(value)) {}
  explicit ShortId(const char* value) : ShortId(std::string_view(value)) {}

  std::string str() const { return std::string(view()); }
  // Valid as long as this object exists and does not change.
  std::string_view view() const { return bytes_.data(); }
  bool empty() const { return bytes_[0] == '\0'; }

  // Orders by bytes, as NameId does.
  friend std::strong_ordering operator<=>(const ShortId& a, const ShortId& b) {
    return std::memcmp(a.bytes_.data(), b.bytes_.data(), sizeof(bytes_)) <=> 0;
  }
  friend bool operator==(const ShortId& a, const ShortId& b) {
    return std::memcmp(a.bytes_.data(), b.bytes_.data(), sizeof(bytes_)) == 0;
  }

 private:
  // Zero bytes fill the rest.
  std::array<char, kMaxShortIdBytes + 1> bytes_{};
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
struct std::hash<radishmoor::ShortId<Tag>> {
  size_t operator()(const radishmoor::ShortId<Tag>& id) const noexcept {
    return std::hash<std::string_view>{}(id.view());
  }
};

template <typename Tag>
struct std::hash<radishmoor::NumberId<Tag>> {
  size_t operator()(const radishmoor::NumberId<Tag>& id) const noexcept {
    return std::hash<uint64_t>{}(id.value);
  }
};

#endif  // RADISHMOOR_BASE_IDS_H_
