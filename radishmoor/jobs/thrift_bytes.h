// Converts generated Thrift structs to and from bytes in Thrift's compact
// encoding. For use in the .cc files of radishmoor/jobs only.

#ifndef RADISHMOOR_JOBS_THRIFT_BYTES_H_
#define RADISHMOOR_JOBS_THRIFT_BYTES_H_

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>

#include "radishmoor/base/time.h"

namespace radishmoor {

// The longest duration that a message can contain: about 31 years.
inline constexpr int64_t kMaxDecodedMilliseconds = 1'000'000'000'000;

// Returns a duration of a decoded message. A longer one of a damaged message is
// shortened, so that a sum with a time cannot overflow.
constexpr Duration DecodedMilliseconds(int64_t milliseconds) {
  return Milliseconds(std::clamp(milliseconds, -kMaxDecodedMilliseconds,
                                 kMaxDecodedMilliseconds));
}

template <typename Struct>
std::string ToBytes(const Struct& value) {
  using apache::thrift::transport::TMemoryBuffer;
  auto buffer = std::make_shared<TMemoryBuffer>(256);
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

// Decodes `bytes` into `value`. Returns false if they are not a valid encoding
// of the struct; `value` is then unspecified. Allocates at most a small
// multiple of the size of `bytes`.
template <typename Struct>
bool FromBytes(std::string_view bytes, Struct& value) {
  using apache::thrift::transport::TMemoryBuffer;
  try {
    auto limits = std::make_shared<apache::thrift::TConfiguration>(
        static_cast<int>(std::max<size_t>(bytes.size(), 16)));
    auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data())),
        static_cast<uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, limits);
    // The protocol compares lengths with the rest of the message only after it
    // has allocated a string, so it needs limits of its own.
    auto limit =
        static_cast<int32_t>(std::clamp<size_t>(bytes.size(), 1, INT32_MAX));
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
        buffer, limit, limit);
    value.read(&protocol);
    return true;
  } catch (const std::exception&) {
    // The caller counts and reports unreadable data.
    return false;
  }
}

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_THRIFT_BYTES_H_
