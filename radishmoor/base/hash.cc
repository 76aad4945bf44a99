#include "radishmoor/base/hash.h"

#include <xxhash.h>

namespace radishmoor {

uint64_t StableHash(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  return StableHash(node, StableHash(key));
}

}  // namespace radishmoor
