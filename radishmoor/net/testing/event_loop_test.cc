#include "radishmoor/net/event_loop.h"

#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace radishmoor {
namespace {

// Guards against a process that ends, or whose timers stop, because the
// handling of one event failed unexpectedly.
TEST_CASE("an exception ends only its callback") {
  EventLoop loop;
  std::vector<std::string> reports;
  loop.OnException(
      [&](const std::exception& error) { reports.emplace_back(error.what()); });
  int ticks = 0;
  loop.Post([] { throw std::runtime_error("posted"); });
  loop.RunAfter(Milliseconds(5), [] { throw std::runtime_error("timer"); });
  loop.RunAfter(Milliseconds(5), [&] { ++ticks; });
  loop.RunAfter(Milliseconds(20), [&] {
    ++ticks;
    loop.Stop();
  });
  loop.Run();
  REQUIRE(reports == std::vector<std::string>{"posted", "timer"});
  REQUIRE(ticks == 2);
}

TEST_CASE("without a report function an exception leaves the loop") {
  EventLoop loop;
  loop.Post([] { throw std::runtime_error("posted"); });
  REQUIRE_THROWS_AS(loop.Run(), std::runtime_error);
}

}  // namespace
}  // namespace radishmoor
