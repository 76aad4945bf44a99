#include "radishmoor/config/inventory.h"

#include <arpa/inet.h>

#include <algorithm>
#include <boost/json.hpp>
#include <boost/json/basic_parser_impl.hpp>
#include <cctype>
#include <charconv>
#include <set>
#include <utility>

namespace radishmoor {
namespace {

namespace json = boost::json;

constexpr size_t kMaxNameLength = 64;

// Replaces control characters, so that text from the file cannot add lines or
// terminal escape codes to an error message.
std::string Printable(std::string text) {
  for (char& c : text) {
    if (std::iscntrl(static_cast<unsigned char>(c)) != 0)
      c = '?';
  }
  return text;
}

// Collects up to kMaxListedErrors errors and counts the rest.
class ErrorList {
 public:
  void Add(std::string path, std::string problem, std::string remedy) {
    ++count_;
    if (list_.size() < kMaxListedErrors)
      list_.push_back(
          {std::move(path), 0, 0, std::move(problem), std::move(remedy)});
  }

  size_t count() const { return count_; }

  std::vector<InventoryError> TakeErrors() {
    if (count_ > list_.size()) {
      list_.push_back({"$", 0, 0,
                       std::to_string(count_ - list_.size()) +
                           " more errors are not listed",
                       "correct those above first"});
    }
    return std::move(list_);
  }

 private:
  std::vector<InventoryError> list_;
  size_t count_ = 0;
};

// Handler of Boost.JSON's streaming parser that reports keys that occur twice
// in an object. Boost.JSON's document type keeps the last of them without an
// error.
class DuplicateKeyChecker {
 public:
  // Boost.JSON's parser requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr size_t max_object_size = kMaxHosts;
  static constexpr size_t max_array_size = kMaxHosts;
  static constexpr size_t max_key_size = 1024;
  static constexpr size_t max_string_size = 1024;
  // NOLINTEND(readability-identifier-naming)

  explicit DuplicateKeyChecker(ErrorList* errors) : errors_(errors) {}

  using Code = json::error_code;
  bool on_document_begin(Code&) { return true; }
  bool on_document_end(Code&) { return true; }
  bool on_object_begin(Code&) { return BeginContainer(true); }
  bool on_object_end(size_t, Code&) { return EndContainer(); }
  bool on_array_begin(Code&) { return BeginContainer(false); }
  bool on_array_end(size_t, Code&) { return EndContainer(); }
  bool on_key_part(json::string_view part, size_t, Code&) {
    key_.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, size_t, Code&) {
    key_.append(part.data(), part.size());
    Level& level = levels_.back();
    level.key = std::exchange(key_, {});
    if (!level.keys.insert(level.key).second) {
      errors_->Add(Path(), "the field is given twice in one object",
                   "keep one of them");
    }
    return true;
  }
  bool on_string_part(json::string_view, size_t, Code&) { return true; }
  bool on_string(json::string_view, size_t, Code&) { return EndValue(); }
  bool on_number_part(json::string_view, Code&) { return true; }
  bool on_int64(int64_t, json::string_view, Code&) { return EndValue(); }
  bool on_uint64(uint64_t, json::string_view, Code&) { return EndValue(); }
  bool on_double(double, json::string_view, Code&) { return EndValue(); }
  bool on_bool(bool, Code&) { return EndValue(); }
  bool on_null(Code&) { return EndValue(); }
  bool on_comment_part(json::string_view, Code&) { return true; }
  bool on_comment(json::string_view, Code&) { return true; }

 private:
  struct Level {
    bool is_object = false;
    std::set<std::string> keys = {};
    std::string key = {};
    size_t index = 0;
  };

  bool BeginContainer(bool is_object) {
    levels_.push_back({is_object});
    return true;
  }
  bool EndContainer() {
    levels_.pop_back();
    return EndValue();
  }
  // Called after each complete value: the next element of an array has the next
  // index.
  bool EndValue() {
    if (!levels_.empty())
      ++levels_.back().index;
    return true;
  }
  std::string Path() const {
    std::string path = "$";
    for (const Level& level : levels_) {
      path += level.is_object ? "." + level.key
                              : "[" + std::to_string(level.index) + "]";
    }
    return path;
  }

  ErrorList* errors_;
  std::vector<Level> levels_;
  std::string key_;
};

InventoryError SyntaxError(std::string_view text,
                           size_t offset,
                           const json::error_code& code) {
  std::string_view before = text.substr(0, offset);
  InventoryError error;
  error.line =
      1 + static_cast<size_t>(std::count(before.begin(), before.end(), '\n'));
  size_t newline = before.rfind('\n');
  error.column =
      1 + (newline == std::string_view::npos ? offset : offset - newline - 1);
  error.problem = "not valid JSON: " + code.message();
  error.remedy = "correct the text at or shortly before this position";
  return error;
}

// Returns the syntax error of the text, if any. Adds an error for each repeated
// key.
std::optional<InventoryError> CheckSyntax(std::string_view text,
                                          ErrorList& errors) {
  json::basic_parser<DuplicateKeyChecker> parser(json::parse_options{},
                                                 &errors);
  json::error_code code;
  size_t used = parser.write_some(false, text.data(), text.size(), code);
  if (!code && used < text.size())
    code = json::error::extra_data;
  if (code)
    return SyntaxError(text, used, code);
  return std::nullopt;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

bool IsAddress(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() || port == 0)
    return false;
  std::string ip(text.substr(0, colon));
  unsigned char buffer[sizeof(in6_addr)];
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    return inet_pton(AF_INET6, ip.substr(1, ip.size() - 2).c_str(), buffer) ==
           1;
  return inet_pton(AF_INET, ip.c_str(), buffer) == 1;
}

const char* KindName(const json::value& value) {
  switch (value.kind()) {
    case json::kind::null:
      return "null";
    case json::kind::bool_:
      return "a boolean";
    case json::kind::string:
      return "a string";
    case json::kind::array:
      return "an array";
    case json::kind::object:
      return "an object";
    case json::kind::double_:
      return "a fraction";
    default:
      return "an integer";
  }
}

// Reads the fields of one JSON object. A missing required field and an invalid
// field add an error; the reader then returns a default.
class ObjectFields {
 public:
  ObjectFields(const json::value& value, std::string path, ErrorList& errors)
      : path_(std::move(path)), errors_(errors), object_(value.if_object()) {
    if (object_ == nullptr) {
      errors_.Add(path_,
                  std::string("expected an object, found ") + KindName(value),
                  "write {...}");
    }
  }

  bool ok() const { return object_ != nullptr; }
  std::string Path(std::string_view key) const {
    return path_ + "." + std::string(key);
  }

  std::string Name(std::string_view key) {
    const json::value* value = TakeField(key, true);
    if (value == nullptr)
      return "";
    const json::string* text = value->if_string();
    if (text != nullptr && IsName(*text))
      return std::string(*text);
    errors_.Add(Path(key),
                text != nullptr ? "is not a name"
                                : std::string("expected a string, found ") +
                                      KindName(*value),
                "write 1 to 64 characters of A-Z a-z 0-9 . _ -");
    return "";
  }

  // Returns an empty string if the field is missing.
  std::string OptionalName(std::string_view key) {
    if (!ok() || object_->if_contains(key) == nullptr) {
      known_keys_.emplace(key);
      return "";
    }
    const json::string* text = object_->at(key).if_string();
    if (text != nullptr && text->empty()) {
      known_keys_.emplace(key);
      return "";
    }
    return Name(key);
  }

  std::string Address(std::string_view key) {
    const json::value* value = TakeField(key, true);
    if (value == nullptr)
      return "";
    const json::string* text = value->if_string();
    if (text != nullptr && IsAddress(*text))
      return std::string(*text);
    errors_.Add(Path(key), "is not an address",
                "write ip:port with a port from 1 to 65535");
    return "";
  }

  uint32_t Integer(std::string_view key,
                   std::optional<uint32_t> fallback,
                   uint32_t min,
                   uint32_t max) {
    const json::value* value = TakeField(key, !fallback);
    if (value == nullptr)
      return fallback.value_or(min);
    std::string range = "write an integer from " + std::to_string(min) +
                        " to " + std::to_string(max);
    if (!value->is_int64() && !value->is_uint64()) {
      errors_.Add(Path(key),
                  std::string("expected an integer, found ") + KindName(*value),
                  range);
      return fallback.value_or(min);
    }
    if (value->is_uint64() || value->get_int64() < min ||
        value->get_int64() > max) {
      errors_.Add(Path(key), json::serialize(*value) + " is out of range",
                  range);
      return fallback.value_or(min);
    }
    return static_cast<uint32_t>(value->get_int64());
  }

  bool Flag(std::string_view key) {
    const json::value* value = TakeField(key, false);
    if (value == nullptr)
      return false;
    if (value->is_bool())
      return value->get_bool();
    errors_.Add(
        Path(key),
        std::string("expected true or false, found ") + KindName(*value),
        "write true or false");
    return false;
  }

  HostIntent Intent(std::string_view key) {
    const json::value* value = TakeField(key, false);
    if (value == nullptr)
      return HostIntent::kServe;
    const json::string* text = value->if_string();
    for (HostIntent intent :
         {HostIntent::kServe, HostIntent::kDrain, HostIntent::kRetire}) {
      if (text != nullptr && *text == IntentName(intent))
        return intent;
    }
    errors_.Add(Path(key), "is not an intent",
                "write \"serve\", \"drain\" or \"retire\"");
    return HostIntent::kServe;
  }

  // Calls `read(element, path)` for each element of an array.
  template <typename Read>
  void Array(std::string_view key, bool required, size_t limit, Read read) {
    const json::value* value = TakeField(key, required);
    if (value == nullptr)
      return;
    const json::array* array = value->if_array();
    if (array == nullptr) {
      errors_.Add(Path(key),
                  std::string("expected an array, found ") + KindName(*value),
                  "write [...]");
      return;
    }
    if (array->size() > limit) {
      errors_.Add(Path(key),
                  std::to_string(array->size()) + " elements are too many",
                  "at most " + std::to_string(limit) + " are supported");
      return;
    }
    for (size_t i = 0; i < array->size(); ++i)
      read((*array)[i], Path(key) + "[" + std::to_string(i) + "]");
  }

  // Returns the value of a field, or null if it is missing. Adds an error if it
  // is missing and required.
  const json::value* TakeField(std::string_view key, bool required) {
    known_keys_.emplace(key);
    if (!ok())
      return nullptr;
    const json::value* value = object_->if_contains(key);
    if (value == nullptr && required)
      errors_.Add(Path(key), "the field is missing", "add it");
    return value;
  }

  // Adds an error for each field that was not read. Must be called after all
  // known fields were read.
  void ReportUnknownFields() {
    if (!ok())
      return;
    for (const auto& field : *object_) {
      if (known_keys_.contains(std::string_view{field.key()}))
        continue;
      std::string names;
      for (const std::string& name : known_keys_)
        names += (names.empty() ? "" : ", ") + name;
      errors_.Add(Path(field.key()), "unknown field",
                  "remove it; known fields are " + names);
    }
  }

 private:
  std::string path_;
  ErrorList& errors_;
  const json::object* object_;
  std::set<std::string, std::less<>> known_keys_;
};

// Reads the document and checks the references between its parts.
class InventoryReader {
 public:
  explicit InventoryReader(ErrorList& errors) : errors_(errors) {}

  Inventory Read(const json::value& document) {
    ObjectFields top(document, "$", errors_);
    top.Array("pools", true, kMaxPools,
              [&](const json::value& v, const std::string& path) {
                ReadPool(v, path);
              });
    top.Array("hosts", true, kMaxHosts,
              [&](const json::value& v, const std::string& path) {
                ReadHost(v, path);
              });
    top.Array("teams", false, kMaxTeams,
              [&](const json::value& v, const std::string& path) {
                ReadTeam(v, path);
              });
    if (const json::value* rules = top.TakeField("rules", false))
      ReadRules(*rules, top.Path("rules"));
    top.ReportUnknownFields();
    if (top.ok())
      CheckBudgets();
    return std::move(inventory_);
  }

 private:
  // Records that `name` occurs at `path` and returns true if it is new.
  // Otherwise adds an error that shows where it occurred first.
  bool AddUnique(std::map<std::string, std::string>& places,
                 const std::string& name,
                 const std::string& path,
                 const std::string& what) {
    if (name.empty())
      return false;
    auto [it, added] = places.emplace(name, path);
    if (!added) {
      errors_.Add(path, what + " " + name + " is already at " + it->second,
                  "remove one of them or correct it");
    }
    return added;
  }

  void ReadPool(const json::value& value, const std::string& path) {
    ObjectFields fields(value, path, errors_);
    if (!fields.ok())
      return;
    size_t errors_before = errors_.count();
    PoolState pool;
    pool.id = PoolId(fields.Name("id"));
    pool.max_unavailable =
        fields.Integer("max_unavailable", std::nullopt, 0, 10000);
    pool.wave_limit = fields.Integer(
        "wave_limit", std::min(pool.max_unavailable, 1u), 0, 10000);
    pool.spare = fields.Flag("spare");
    pool.closed = fields.Flag("closed");
    pool.default_deadline_ms =
        fields.Integer("default_deadline_ms", 2000, 1, 3'600'000);
    pool.queue_limit = fields.Integer("queue_limit", 1000, 1, 1'000'000);
    fields.ReportUnknownFields();
    bool valid = errors_.count() == errors_before;
    if (valid && pool.wave_limit > pool.max_unavailable) {
      errors_.Add(fields.Path("wave_limit"),
                  std::to_string(pool.wave_limit) +
                      " is above max_unavailable, " +
                      std::to_string(pool.max_unavailable),
                  "a wave cannot take more than the budget; lower wave_limit "
                  "or raise max_unavailable");
    }
    if (AddUnique(pool_places_, pool.id.str(), path + ".id", "pool"))
      inventory_.pools.emplace(pool.id, pool);
  }

  void ReadHost(const json::value& value, const std::string& path) {
    ObjectFields fields(value, path, errors_);
    if (!fields.ok())
      return;
    InventoryHost host;
    host.id = HostId(fields.Name("id"));
    host.zone = ZoneId(fields.Name("zone"));
    host.rack = RackId(fields.Name("rack"));
    host.pool = PoolId(fields.Name("pool"));
    host.address = fields.Address("address");
    host.cores = fields.Integer("cores", std::nullopt, 1, 4096);
    host.memory_gb = fields.Integer("memory_gb", std::nullopt, 1, 65536);
    host.accelerators = fields.Integer("accelerators", 0, 0, 1024);
    host.slots = fields.Integer("slots", 8, 1, 1024);
    host.connections = fields.Integer("connections", 64, 1, 65535);
    host.intent = fields.Intent("intent");
    fields.ReportUnknownFields();
    CheckHost(host, fields);
    if (AddUnique(host_places_, host.id.str(), path + ".id", "host"))
      inventory_.hosts.emplace(host.id, host);
  }

  void CheckHost(const InventoryHost& host, const ObjectFields& fields) {
    AddUnique(address_places_, host.address, fields.Path("address"), "address");
    if (!host.pool.empty() && !pool_places_.contains(host.pool.str())) {
      errors_.Add(fields.Path("pool"), "there is no pool " + host.pool.str(),
                  "add it to $.pools or correct the name");
    }
    if (host.connections < host.slots) {
      errors_.Add(fields.Path("connections"),
                  std::to_string(host.connections) + " is below slots, " +
                      std::to_string(host.slots),
                  "each slot needs a connection");
    }
    if (host.rack.empty() || host.zone.empty())
      return;
    auto [it, added] = rack_zones_.emplace(host.rack, host.zone);
    if (!added && it->second != host.zone) {
      errors_.Add(fields.Path("rack"),
                  "rack " + host.rack.str() + " is in zone " +
                      it->second.str() + " for an earlier host",
                  "a rack is in one zone; correct the zone or the rack");
    }
  }

  void ReadTeam(const json::value& value, const std::string& path) {
    ObjectFields fields(value, path, errors_);
    if (!fields.ok())
      return;
    TeamState team;
    team.id = TeamId(fields.Name("id"));
    team.quota_cores = fields.Integer("quota_cores", 0, 0, 100'000'000);
    team.quota_accelerators =
        fields.Integer("quota_accelerators", 0, 0, 100'000'000);
    fields.ReportUnknownFields();
    if (AddUnique(team_places_, team.id.str(), path + ".id", "team"))
      inventory_.teams.emplace(team.id, team);
  }

  void ReadRules(const json::value& value, const std::string& path) {
    ObjectFields fields(value, path, errors_);
    inventory_.rules.maintenance = fields.OptionalName("maintenance");
    inventory_.rules.max_racks_in_maintenance =
        fields.Integer("max_racks_in_maintenance", 1, 1, 10000);
    fields.ReportUnknownFields();
  }

  // Adds an error for each pool whose budget allows all of its hosts to be
  // unavailable at once.
  void CheckBudgets() {
    std::map<PoolId, uint32_t> sizes;
    for (const auto& [id, host] : inventory_.hosts) {
      if (host.intent != HostIntent::kRetire)
        ++sizes[host.pool];
    }
    for (const auto& [id, pool] : inventory_.pools) {
      uint32_t size = sizes[id];
      if (pool.closed || pool.max_unavailable < size)
        continue;
      std::string path = pool_places_.at(id.str());
      path.replace(path.size() - 2, 2, "max_unavailable");
      errors_.Add(path,
                  "pool " + id.str() + " has " + std::to_string(size) +
                      " hosts that stay and may lose " +
                      std::to_string(pool.max_unavailable),
                  size == 0
                      ? "add hosts or set closed"
                      : "lower it to at most " + std::to_string(size - 1));
    }
  }

  ErrorList& errors_;
  Inventory inventory_;
  // Path at which each name first occurs.
  std::map<std::string, std::string> pool_places_;
  std::map<std::string, std::string> host_places_;
  std::map<std::string, std::string> team_places_;
  std::map<std::string, std::string> address_places_;
  std::map<RackId, ZoneId> rack_zones_;
};

json::object ToJson(const InventoryHost& h) {
  return {{"id", h.id.str()},
          {"zone", h.zone.str()},
          {"rack", h.rack.str()},
          {"pool", h.pool.str()},
          {"address", h.address},
          {"cores", h.cores},
          {"memory_gb", h.memory_gb},
          {"accelerators", h.accelerators},
          {"slots", h.slots},
          {"connections", h.connections},
          {"intent", IntentName(h.intent)}};
}

json::object ToJson(const PoolState& p) {
  return {{"id", p.id.str()},
          {"max_unavailable", p.max_unavailable},
          {"wave_limit", p.wave_limit},
          {"spare", p.spare},
          {"closed", p.closed},
          {"default_deadline_ms", p.default_deadline_ms},
          {"queue_limit", p.queue_limit}};
}

json::object ToJson(const TeamState& t) {
  return {{"id", t.id.str()},
          {"quota_cores", t.quota_cores},
          {"quota_accelerators", t.quota_accelerators}};
}

}  // namespace

std::string InventoryError::str(std::string_view file) const {
  std::string place(file);
  if (line > 0)
    place += ":" + std::to_string(line) + ":" + std::to_string(column);
  if (!path.empty())
    place += ": " + path;
  return Printable(place + ": " + problem + "; " + remedy);
}

InventoryResult ParseInventory(std::string_view text) {
  InventoryResult result;
  ErrorList errors;
  if (text.size() > kMaxInventoryBytes) {
    errors.Add(
        "$", std::to_string(text.size()) + " bytes are too many",
        "at most " + std::to_string(kMaxInventoryBytes) + " are supported");
    result.errors = errors.TakeErrors();
    return result;
  }
  if (auto syntax = CheckSyntax(text, errors)) {
    result.errors.push_back(*syntax);
    return result;
  }
  Inventory inventory = InventoryReader(errors).Read(json::parse(text));
  if (errors.count() == 0) {
    result.inventory = std::move(inventory);
  } else {
    result.errors = errors.TakeErrors();
  }
  return result;
}

Inventory InventoryOf(const FleetState& state) {
  Inventory inventory;
  for (const auto& [id, h] : state.hosts) {
    inventory.hosts.emplace(
        id, InventoryHost{h.id, h.zone, h.rack, h.wanted_pool, h.address,
                          h.cores, h.memory_gb, h.accelerators, h.slots,
                          h.connections, h.intent});
  }
  inventory.pools = state.pools;
  inventory.teams = state.teams;
  inventory.rules = state.rules;
  return inventory;
}

std::string EncodeInventory(const Inventory& inventory) {
  json::array hosts;
  json::array pools;
  json::array teams;
  for (const auto& [id, host] : inventory.hosts)
    hosts.push_back(ToJson(host));
  for (const auto& [id, pool] : inventory.pools)
    pools.push_back(ToJson(pool));
  for (const auto& [id, team] : inventory.teams)
    teams.push_back(ToJson(team));
  return json::serialize(
      json::object{{"pools", pools},
                   {"hosts", hosts},
                   {"teams", teams},
                   {"rules",
                    {{"maintenance", inventory.rules.maintenance},
                     {"max_racks_in_maintenance",
                      inventory.rules.max_racks_in_maintenance}}}});
}

std::string_view IntentName(HostIntent intent) {
  switch (intent) {
    case HostIntent::kServe:
      return "serve";
    case HostIntent::kDrain:
      return "drain";
    case HostIntent::kRetire:
      return "retire";
  }
  return "serve";
}

}  // namespace radishmoor
