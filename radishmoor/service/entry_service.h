// Runs an entry process: passes events of the network and the platform to
// EntryCore and carries out the actions that EntryCore returns.
//
//   EventLoop loop;
//   EntryService service(loop, settings);
//   service.Start();
//   loop.Run();   // Until SIGTERM and the end of the drain.

#ifndef RADISHMOOR_SERVICE_ENTRY_SERVICE_H_
#define RADISHMOOR_SERVICE_ENTRY_SERVICE_H_

#include <memory>
#include <string>

namespace radishmoor {

class EventLoop;
struct EntrySettings;

class EntryService {
 public:
  EntryService(EventLoop& loop, const EntrySettings& settings);
  ~EntryService();

  // Binds all sockets and starts to serve. Throws std::system_error if an
  // address cannot be bound.
  void Start();

  // Stops accepting requests, lets those in progress end within the grace
  // period, leaves the membership and then stops the loop.
  void Shutdown();

  // Returns the bound addresses as "listening IP:PORT admin IP:PORT peer
  // IP:PORT".
  std::string Addresses() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_ENTRY_SERVICE_H_
