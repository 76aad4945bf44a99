#include "radishmoor/standins/testing/site_fixture.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace radishmoor {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration kPollPeriod = Milliseconds(5);
// For the start and the end of a process; long enough for a busy machine.
constexpr Duration kProcessTimeout = Seconds(20);
constexpr Duration kReadyTimeout = Seconds(20);

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Runs in the child process between fork and exec, so only async-signal-safe
// calls are allowed.
[[noreturn]] void ExecChild(const std::string& out,
                            const std::string& err,
                            char* const* argv) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int out_file = open(out.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
  int err_file = open(err.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
  dup2(out_file, STDOUT_FILENO);
  dup2(err_file, STDERR_FILENO);
  // Asio's sockets are not close-on-exec: a copy in the child would keep the
  // connection open after this process has closed its socket.
  close_range(3, ~0U, 0);
  execv(argv[0], argv);
  _exit(127);
}

Inventory MakeInventory(const SiteOptions& options) {
  Inventory inventory;
  for (const std::string& pool : options.pools) {
    PoolState& state = inventory.pools[PoolId(pool)];
    state.id = PoolId(pool);
    state.max_unavailable = 1;
    state.wave_limit = 1;
    for (uint32_t n = 0; n < options.hosts_per_pool; ++n) {
      const std::string& zone = options.zones[n % options.zones.size()];
      InventoryHost host;
      host.id = HostId(pool + "-" + std::to_string(n));
      host.zone = ZoneId(zone);
      host.rack = RackId(zone + "-rack-" + std::to_string(n));
      host.pool = PoolId(pool);
      host.cores = 16;
      host.memory_gb = 64;
      inventory.hosts[host.id] = host;
    }
  }
  return inventory;
}

std::vector<std::string> ZonesOf(const Inventory& inventory) {
  std::map<std::string, bool> zones;
  for (const auto& [id, host] : inventory.hosts)
    zones[host.zone.str()] = true;
  std::vector<std::string> names;
  names.reserve(zones.size());
  for (const auto& [name, used] : zones)
    names.push_back(name);
  return names;
}

LoadOptions FillInTargets(const Site& site, LoadOptions options) {
  options.target = site.callers_endpoint;
  if (options.services.empty()) {
    for (const auto& [id, pool] : site.inventory.pools)
      options.services.push_back(id.str());
  }
  return options;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& base_path,
                           const std::string& program,
                           const std::vector<std::string>& args)
    : base_path_(base_path) {
  std::vector<std::string> words = {std::string(RADISHMOOR_BIN_DIR "/") +
                                    program};
  words.insert(words.end(), args.begin(), args.end());
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words)
    argv.push_back(word.data());
  argv.push_back(nullptr);
  std::string out = base_path + ".out";
  std::string err = base_path + ".log";
  pid_ = fork();
  if (pid_ < 0)
    throw std::runtime_error("cannot start " + program);
  if (pid_ == 0)
    ExecChild(out, err, argv.data());
}

ChildProcess::~ChildProcess() {
  if (exit_code())
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ChildProcess::Signal(int signal) {
  // After waitpid has returned the exit code, the process id may belong to
  // another process.
  if (!exit_code())
    kill(pid_, signal);
}

std::optional<int> ChildProcess::exit_code() {
  int status = 0;
  if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_code_ =
        WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  return exit_code_;
}

std::string ChildProcess::Output() const {
  return ReadFile(base_path_ + ".out");
}

std::string ChildProcess::Errors() const {
  return ReadFile(base_path_ + ".log");
}

Site::Site(SiteOptions options) : options_(std::move(options)) {
  std::string path =
      (std::filesystem::temp_directory_path() / "radishmoor-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr)
    throw std::runtime_error(
        "cannot create a temporary directory for the site");
  dir_ = path;
  inventory =
      options_.inventory ? *options_.inventory : MakeInventory(options_);
  platform_process_ = Spawn("platform", "radishmoor-platform", {});
  platform = PrintedAddresses(*platform_process_).at(0);
  store_ = std::make_unique<StoreClient>(loop, platform, Seconds(5));
  StartBackends();
  CtlResult applied = Apply(inventory);
  if (applied.code != 0)
    throw std::runtime_error("apply failed: " + applied.errors);
  StartMembers();
}

Site::~Site() {
  // The processes must end before the directory with their logs is removed.
  entries.clear();
  controls.clear();
  backends.clear();
  platform_process_.reset();
  std::error_code ignored;
  if (std::getenv("SITE_FIXTURE_KEEP") == nullptr)
    std::filesystem::remove_all(dir_, ignored);
}

void Site::StartBackends() {
  for (auto& [id, host] : inventory.hosts) {
    BackendProcess node;
    node.id = id;
    node.exec_log = dir_ + "/" + id.str() + ".exec";
    node.process =
        Spawn(id.str(), "radishmoor-backend",
              {"--host", id.str(), "--pool", host.pool.str(), "--slots",
               std::to_string(host.slots), "--execution-log", node.exec_log});
    backends.push_back(std::move(node));
  }
  for (BackendProcess& node : backends) {
    node.endpoint = PrintedAddresses(*node.process).at(0);
    Endpoint address = node.endpoint;
    if (options_.backend_relays) {
      node.relay = std::make_unique<Relay>(loop);
      node.relay->SetTargets({node.endpoint});
      address = node.relay->Listen({"127.0.0.1", 0});
    }
    inventory.hosts[node.id].address = FormatEndpoint(address);
  }
}

void Site::StartMembers() {
  std::vector<Endpoint> targets;
  for (const std::string& zone : ZonesOf(inventory)) {
    auto& relay = platform_relays[zone];
    relay = std::make_unique<Relay>(loop);
    relay->SetTargets({platform});
    std::string address = FormatEndpoint(relay->Listen({"127.0.0.1", 0}));
    auto start = [&](const std::string& role, uint32_t count,
                     std::vector<std::string> args,
                     std::vector<MemberProcess>& nodes) {
      for (uint32_t n = 0; n < count; ++n) {
        MemberProcess node;
        node.name = role;
        node.name.append("-").append(zone).append("-");
        node.name += std::to_string(n);
        node.zone = zone;
        std::vector<std::string> all = {"--member-id",
                                        node.name,
                                        "--zone",
                                        zone,
                                        "--admin-address",
                                        "127.0.0.1:0",
                                        "--peer-address",
                                        "127.0.0.1:0",
                                        "--platform-address",
                                        address};
        all.insert(all.end(), args.begin(), args.end());
        node.process = Spawn(node.name, "radishmoor-" + role, all);
        nodes.push_back(std::move(node));
      }
    };
    std::vector<std::string> entry_args = {"--listen-address", "127.0.0.1:0"};
    entry_args.insert(entry_args.end(), options_.entry_args.begin(),
                      options_.entry_args.end());
    start("entry", options_.entries_per_zone, entry_args, entries);
    start("control", options_.controls_per_zone, {}, controls);
  }
  for (MemberProcess& entry : entries) {
    auto addresses = PrintedAddresses(*entry.process);
    entry.callers_endpoint = addresses.at(0);
    entry.admin_endpoint = addresses.at(1);
    targets.push_back(entry.callers_endpoint);
  }
  for (MemberProcess& control : controls)
    control.admin_endpoint = PrintedAddresses(*control.process).at(0);
  callers_relay = std::make_unique<Relay>(loop);
  callers_relay->SetTargets(targets);
  callers_endpoint = callers_relay->Listen({"127.0.0.1", 0});
  for (auto* members : {&entries, &controls}) {
    for (const MemberProcess& member : *members) {
      WaitOrThrow(member.name + " is not ready", kReadyTimeout, [&] {
        auto page = Fetch(member.admin_endpoint, {"GET", "/readyz", {}, ""});
        return page && page->status == 200;
      });
    }
  }
}

std::unique_ptr<ChildProcess> Site::Spawn(
    const std::string& name,
    const std::string& program,
    const std::vector<std::string>& args) {
  return std::make_unique<ChildProcess>(dir_ + "/" + name, program, args);
}

std::vector<Endpoint> Site::PrintedAddresses(ChildProcess& process) {
  std::string output;
  WaitOrThrow("a child process printed no address", kProcessTimeout, [&] {
    if (process.exit_code())
      throw std::runtime_error(
          "a child process ended before it printed an address: " +
          process.Errors());
    output = process.Output();
    return output.find('\n') != std::string::npos;
  });
  std::istringstream words(output.substr(0, output.find('\n')));
  std::vector<Endpoint> addresses;
  std::string word;
  while (words >> word) {
    if (auto endpoint = ParseEndpoint(word))
      addresses.push_back(*endpoint);
  }
  return addresses;
}

bool Site::WaitUntil(Duration limit, const std::function<bool()>& condition) {
  Time end = loop.now() + limit;
  while (!condition()) {
    if (loop.now() >= end)
      return false;
    RunFor(kPollPeriod);
  }
  return true;
}

void Site::WaitOrThrow(const std::string& what,
                       Duration limit,
                       const std::function<bool()>& condition) {
  if (!WaitUntil(limit, condition))
    throw std::runtime_error(what);
}

void Site::RunFor(Duration duration) {
  loop.RunAfter(duration, [this] { loop.Stop(); });
  loop.Run();
}

std::optional<HttpResponse> Site::Fetch(const Endpoint& endpoint,
                                        HttpRequest request,
                                        Duration timeout) {
  std::optional<HttpFetcher::Result> result;
  fetcher_.Fetch(endpoint, std::move(request), timeout,
                 [&](HttpFetcher::Result r) {
                   result = std::move(r);
                   loop.Stop();
                 });
  while (!result)
    loop.Run();
  if (auto* response = std::get_if<HttpResponse>(&*result))
    return std::move(*response);
  return std::nullopt;
}

std::optional<int64_t> Site::StatusField(const MemberProcess& member,
                                         const std::string& field) {
  auto page =
      Fetch(member.admin_endpoint, {"GET", "/status", {}, ""}, Seconds(1));
  if (!page || page->status != 200)
    return std::nullopt;
  return json::parse(page->body).at(field).to_number<int64_t>();
}

int64_t Site::BackendStat(const BackendProcess& backend,
                          const std::string& field) {
  auto page = Fetch(backend.endpoint, {"GET", "/_standin/stats", {}, ""});
  if (!page)
    throw std::runtime_error("no answer with statistics from backend server " +
                             backend.id.str());
  return json::parse(page->body).at(field).to_number<int64_t>();
}

void Site::SetBackendFaults(const BackendProcess& backend,
                            const std::string& text) {
  auto page = Fetch(backend.endpoint, {"POST", "/_standin/faults", {}, text});
  if (!page || page->status != 200)
    throw std::runtime_error("faults not accepted by backend server " +
                             backend.id.str());
}

void Site::SetPlatformFaults(const std::string& text) {
  auto page = Fetch(platform, {"POST", "/faults", {}, text});
  if (!page || page->status != 200)
    throw std::runtime_error("faults not accepted by the platform");
}

std::string Site::RawExchange(const Endpoint& endpoint,
                              const std::string& bytes,
                              Duration limit) {
  using tcp = asio::ip::tcp;
  struct Exchange {
    explicit Exchange(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::string sent;
    std::string received;
    std::array<char, 4096> buffer;
    bool ended = false;
  };
  auto exchange = std::make_shared<Exchange>(loop.io_context());
  exchange->sent = bytes;
  exchange->socket.connect(
      {asio::ip::make_address(endpoint.ip), endpoint.port});
  asio::async_write(exchange->socket, asio::buffer(exchange->sent),
                    [exchange](boost::system::error_code, size_t) {});
  auto read = std::make_shared<std::function<void()>>();
  *read = [exchange, weak = std::weak_ptr(read)] {
    exchange->socket.async_read_some(
        asio::buffer(exchange->buffer),
        [exchange, self = weak.lock()](boost::system::error_code error,
                                       size_t size) {
          exchange->received.append(exchange->buffer.data(), size);
          exchange->ended = error.failed();
          if (!error && self)
            (*self)();
        });
  };
  (*read)();
  WaitUntil(limit, [&] { return exchange->ended; });
  boost::system::error_code ignored;
  exchange->socket.close(ignored);
  return exchange->received;
}

std::unique_ptr<ChildProcess> Site::StartCtl(
    const std::vector<std::string>& args) {
  std::vector<std::string> all = {"--platform-address",
                                  FormatEndpoint(platform)};
  all.insert(all.end(), args.begin(), args.end());
  return Spawn("ctl-" + std::to_string(next_ctl_++), "radishmoorctl", all);
}

CtlResult Site::WaitCtl(ChildProcess& ctl) {
  WaitOrThrow("radishmoorctl did not end", kProcessTimeout,
              [&] { return ctl.exit_code().has_value(); });
  return {*ctl.exit_code(), ctl.Output(), ctl.Errors()};
}

CtlResult Site::RunCtl(const std::vector<std::string>& args) {
  auto ctl = StartCtl(args);
  return WaitCtl(*ctl);
}

CtlResult Site::Apply(const Inventory& wanted) {
  return RunCtl({"apply", WriteInventory(wanted)});
}

std::string Site::WriteInventory(const Inventory& wanted) {
  std::string path =
      dir_ + "/inventory-" + std::to_string(next_ctl_++) + ".json";
  std::ofstream(path) << EncodeInventory(wanted);
  return path;
}

StoreReply Site::Execute(const StoreRequest& request) {
  std::optional<StoreReply> result;
  store_->Execute(request, [&](StoreReply reply) {
    result = std::move(reply);
    loop.Stop();
  });
  while (!result)
    loop.Run();
  return std::move(*result);
}

FleetState Site::AcceptedConfig() {
  return LoadConfig([this](const StoreRequest& r) { return Execute(r); }).state;
}

HostState Site::AcceptedHostState(const HostId& id) {
  return AcceptedConfig().hosts.at(id);
}

std::vector<FleetState> Site::ConfigHistory() {
  std::vector<FleetState> states;
  FleetState state;
  std::string after;
  while (true) {
    StoreReply reply = Execute(ScanRows{"config/delta/", after, 500});
    const auto& rows = std::get<RowsReply>(reply).rows;
    if (rows.empty())
      return states;
    for (const Row& row : rows) {
      state.Apply(DecodeDelta(row.value));
      states.push_back(state);
      after = row.key;
    }
  }
}

BackendProcess& Site::Backend(const HostId& id) {
  for (BackendProcess& backend : backends) {
    if (backend.id == id)
      return backend;
  }
  throw std::runtime_error("no backend server " + id.str());
}

std::vector<ExecutionRecord> Site::Executions(
    const BackendProcess& backend) const {
  std::ifstream in(backend.exec_log);
  return ReadExecutions(in);
}

std::vector<ExecutionRecord> Site::Executions() const {
  std::vector<ExecutionRecord> all;
  for (const BackendProcess& backend : backends) {
    auto part = Executions(backend);
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

HistoryReport Site::CheckCalls(const std::vector<CallRecord>& calls) const {
  return CheckHistory(calls, Executions());
}

Load::Load(Site& site, LoadOptions options)
    : site_(site),
      options_(FillInTargets(site, std::move(options))),
      generator_(site.loop, options_),
      started_(site.loop.now()) {
  generator_.Start(
      [this](std::vector<CallRecord> calls) { calls_ = std::move(calls); });
}

std::vector<CallRecord> Load::Wait() {
  // The load generator counts a call as lost 5 s after its deadline.
  site_.WaitOrThrow("some calls have no result after the end of the load",
                    options_.duration + options_.long_deadline + Seconds(10),
                    [this] { return calls_.has_value(); });
  return *calls_;
}

int64_t Load::elapsed_us() const {
  return (site_.loop.now() - started_).count();
}

}  // namespace radishmoor
