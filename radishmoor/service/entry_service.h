// The entry process: binds EntryCore to the network.
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

  // Binds all sockets and starts. Throws std::system_error when an address
  // cannot be bound.
  void Start();

  // Graceful shutdown; stops the loop when it is complete.
  void Shutdown();

  // The bound addresses: "listening IP:PORT admin IP:PORT peer IP:PORT".
  std::string Addresses() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_ENTRY_SERVICE_H_
