// Stable 64-bit hashes (xxHash) and rendezvous weights.
//
// The values are part of the protocol between processes: all members must
// compute the same weight for the same inputs.

#ifndef RADISHMOOR_BASE_HASH_H_
#define RADISHMOOR_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace radishmoor {

uint64_t StableHash(std::string_view data, uint64_t seed = 0);

// Weight of `node` for `key` in rendezvous hashing: the node with the highest
// weight owns the key. Removing a node moves only the keys that it owned.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

}  // namespace radishmoor

#endif  // RADISHMOOR_BASE_HASH_H_
