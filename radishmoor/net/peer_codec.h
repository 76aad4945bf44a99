// Encodes messages between radishmoor's processes in Thrift's compact protocol,
// with the schema idl/peer.thrift.

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
  HybridTime stamp;  // Time of sending, by the sender's hybrid clock.
  PeerMessage message;
};

std::string EncodePeerEnvelope(const PeerEnvelope& envelope);

// Returns nullopt if `bytes` is not a valid envelope. Allocates at most a small
// multiple of the size of `bytes`.
std::optional<PeerEnvelope> DecodePeerEnvelope(std::string_view bytes);

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_PEER_CODEC_H_
