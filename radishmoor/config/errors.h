// Errors of the config slice.

#ifndef RADISHMOOR_CONFIG_ERRORS_H_
#define RADISHMOOR_CONFIG_ERRORS_H_

#include <stdexcept>

namespace radishmoor {

// Stored configuration text that cannot be decoded. The store holds something
// that another program or an incompatible version wrote.
class ConfigFormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_ERRORS_H_
