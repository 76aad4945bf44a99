// TCP relay, for tests and trials: stands in for the platform's load balancer,
// and delays, silences or cuts connections.
//
//   Relay relay(loop);
//   Endpoint bound = relay.Listen({"127.0.0.1", 0});
//   relay.SetTargets({entry1, entry2});
//   relay.SetMode(RelayMode::kSilent);
//
// Each new connection goes to the next target in turn. If a target refuses the
// connection, the next one is tried, so a stopped entry host does not make a
// caller's connection fail. If all targets refuse, the caller's connection is
// closed.

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
  // Closes the open connections, and each new one right after it was accepted.
  kRefuse,
  // Keeps the open connections, accepts new ones, and drops the bytes of all of
  // them in both directions.
  kSilent,
  // Drops the bytes of the connections that are open at the call of SetMode;
  // connections that are opened later work.
  kSilenceOpen,
};

class Relay {
 public:
  explicit Relay(EventLoop& loop);
  ~Relay();

  // Starts to accept connections and returns the bound address; for port 0 the
  // kernel chooses the port. Throws std::runtime_error if the address cannot be
  // bound.
  Endpoint Listen(const Endpoint& endpoint);
  // Applies to connections that are accepted from now on.
  void SetTargets(std::vector<Endpoint> targets);
  // A connection that kSilent or kSilenceOpen has silenced stays silent in
  // later modes; kRefuse closes it.
  void SetMode(RelayMode mode);
  // Delays each chunk of up to 16 KB in each direction, before the next chunk
  // of that direction is read.
  void SetDelay(Duration delay);

  size_t connection_count() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_RELAY_H_
