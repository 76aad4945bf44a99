// Runs a control process: passes events of the network and the platform to
// ControlCore and carries out the actions that ControlCore returns.
//
//   EventLoop loop;
//   ControlService service(loop, settings);
//   service.Start();
//   loop.Run();   // Until SIGTERM.

#ifndef RADISHMOOR_SERVICE_CONTROL_SERVICE_H_
#define RADISHMOOR_SERVICE_CONTROL_SERVICE_H_

#include <memory>
#include <string>

namespace radishmoor {

class EventLoop;
struct ControlSettings;

class ControlService {
 public:
  ControlService(EventLoop& loop, const ControlSettings& settings);
  ~ControlService();

  // Throws std::system_error if an address cannot be bound.
  void Start();
  // Releases the leases, removes the member row and then stops the loop.
  void Shutdown();

  // Returns the bound address as "admin IP:PORT".
  std::string Addresses() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_CONTROL_SERVICE_H_
