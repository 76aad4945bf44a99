// Encoding of messages between radishmoor's processes: Thrift's compact
// protocol by the schema idl/peer.thrift.

#ifndef RADISHMOOR_NET_PEER_CODEC_H_
#define RADISHMOOR_NET_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "radishmoor/base/hybrid_clock.h"
#include "radishmoor/base/ids.h"
#include "radishmoor/entry/entry_messages.h"

namespace radishmoor {

struct PeerEnvelope {
  MemberId sender;
  HybridTime stamp;
  PeerMessage message;
};

std::string EncodePeerEnvelope(const PeerEnvelope& envelope);

// Absent for bytes that are no valid envelope. Allocates at most a small
// multiple of the size of `bytes`.
std::optional<PeerEnvelope> DecodePeerEnvelope(std::string_view bytes);

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_PEER_CODEC_H_
