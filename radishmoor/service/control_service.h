// The control process: binds ControlCore to the network and the platform.
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

  // Throws std::system_error when an address cannot be bound.
  void Start();
  // Gives up leases and the member row, then stops the loop.
  void Shutdown();

  // The bound address: "admin IP:PORT".
  std::string Addresses() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_CONTROL_SERVICE_H_
