// TCP relay: plays the platform's load balancer, and cuts links in tests.
//
//   Relay relay(loop);
//   Endpoint bound = relay.Listen({"127.0.0.1", 0});
//   relay.SetTargets({entry1, entry2});     // new connections go round robin
//   relay.SetMode(RelayMode::kSilent);
//
// A connection whose target refuses is tried on the next target, so that a
// stopped entry host costs callers nothing.

#ifndef RADISHMOOR_STANDINS_RELAY_H_
#define RADISHMOOR_STANDINS_RELAY_H_

#include <memory>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/net/http_message.h"

namespace radishmoor {

class EventLoop;

enum class RelayMode {
  kForward,
  kRefuse,  // New connections are closed; open ones are cut.
  // Open connections stay open and their bytes are dropped in both directions;
  // new connections are accepted and behave the same.
  kSilent,
  // Connections that are open now drop all bytes; new ones work.
  kForgetOpen,
};

class Relay {
 public:
  explicit Relay(EventLoop& loop);
  ~Relay();

  Endpoint Listen(const Endpoint& endpoint);
  void SetTargets(std::vector<Endpoint> targets);
  void SetMode(RelayMode mode);
  // Delay added to each piece of data in each direction.
  void SetDelay(Duration delay);

  size_t connection_count() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_RELAY_H_
