#ifndef RADISHMOOR_CONFIG_ERRORS_H_
#define RADISHMOOR_CONFIG_ERRORS_H_

#include <stdexcept>

namespace radishmoor {

// Thrown if stored configuration text cannot be decoded, because another
// program or an incompatible version of this one wrote it.
class ConfigFormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_ERRORS_H_
