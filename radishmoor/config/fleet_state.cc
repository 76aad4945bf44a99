#include "radishmoor/config/fleet_state.h"

#include <boost/json.hpp>
#include <cstdio>
#include <stdexcept>

#include "radishmoor/config/errors.h"

namespace radishmoor {
namespace {

namespace json = boost::json;

std::string VersionedKey(const char* prefix, ConfigVersion version) {
  char digits[21];
  std::snprintf(digits, sizeof(digits), "%020llu",
                static_cast<unsigned long long>(version));
  return std::string(prefix) + digits;
}

std::string Text(const json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}

template <typename T>
T Number(const json::object& object, const char* key) {
  return object.at(key).to_number<T>();
}

json::object ToJson(const HostState& h) {
  return {{"id", h.id.str()},
          {"zone", h.zone.str()},
          {"rack", h.rack.str()},
          {"address", h.address},
          {"cores", h.cores},
          {"memory_gb", h.memory_gb},
          {"accelerators", h.accelerators},
          {"slots", h.slots},
          {"connections", h.connections},
          {"wanted_pool", h.wanted_pool.str()},
          {"intent", static_cast<int>(h.intent)},
          {"pool", h.pool.str()},
          {"epoch", h.epoch},
          {"phase", static_cast<int>(h.phase)},
          {"drain_version", h.drain_version},
          {"maintained", h.maintained}};
}

HostState HostFromJson(const json::object& o) {
  HostState h;
  h.id = HostId(Text(o, "id"));
  h.zone = ZoneId(Text(o, "zone"));
  h.rack = RackId(Text(o, "rack"));
  h.address = Text(o, "address");
  h.cores = Number<uint32_t>(o, "cores");
  h.memory_gb = Number<uint32_t>(o, "memory_gb");
  h.accelerators = Number<uint32_t>(o, "accelerators");
  h.slots = Number<uint32_t>(o, "slots");
  h.connections = Number<uint32_t>(o, "connections");
  h.wanted_pool = PoolId(Text(o, "wanted_pool"));
  h.intent = static_cast<HostIntent>(Number<int>(o, "intent"));
  h.pool = PoolId(Text(o, "pool"));
  h.epoch = Number<uint64_t>(o, "epoch");
  h.phase = static_cast<HostPhase>(Number<int>(o, "phase"));
  h.drain_version = Number<uint64_t>(o, "drain_version");
  h.maintained = Text(o, "maintained");
  return h;
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

PoolState PoolFromJson(const json::object& o) {
  PoolState p;
  p.id = PoolId(Text(o, "id"));
  p.max_unavailable = Number<uint32_t>(o, "max_unavailable");
  p.wave_limit = Number<uint32_t>(o, "wave_limit");
  p.spare = o.at("spare").as_bool();
  p.closed = o.at("closed").as_bool();
  p.default_deadline_ms = Number<uint32_t>(o, "default_deadline_ms");
  p.queue_limit = Number<uint32_t>(o, "queue_limit");
  return p;
}

json::object ToJson(const TeamState& t) {
  return {{"id", t.id.str()},
          {"quota_cores", t.quota_cores},
          {"quota_accelerators", t.quota_accelerators}};
}

TeamState TeamFromJson(const json::object& o) {
  TeamState t;
  t.id = TeamId(Text(o, "id"));
  t.quota_cores = Number<uint32_t>(o, "quota_cores");
  t.quota_accelerators = Number<uint32_t>(o, "quota_accelerators");
  return t;
}

json::object ToJson(const SiteRules& r) {
  return {{"maintenance", r.maintenance},
          {"max_racks_in_maintenance", r.max_racks_in_maintenance}};
}

SiteRules RulesFromJson(const json::object& o) {
  SiteRules r;
  r.maintenance = Text(o, "maintenance");
  r.max_racks_in_maintenance = Number<uint32_t>(o, "max_racks_in_maintenance");
  return r;
}

template <typename Range, typename Convert>
json::array ToArray(const Range& range, Convert convert) {
  json::array array;
  for (const auto& item : range)
    array.push_back(convert(item));
  return array;
}

template <typename T, typename Convert>
std::vector<T> FromArray(const json::object& o,
                         const char* key,
                         Convert convert) {
  std::vector<T> items;
  for (const json::value& value : o.at(key).as_array())
    items.push_back(convert(value));
  return items;
}

template <typename Id>
json::array IdsToArray(const std::vector<Id>& ids) {
  return ToArray(ids, [](const Id& id) { return json::value(id.str()); });
}

template <typename Id>
std::vector<Id> IdsFromArray(const json::object& o, const char* key) {
  return FromArray<Id>(o, key, [](const json::value& v) {
    return Id(std::string(v.as_string()));
  });
}

// Runs `decode` on the parsed object. Converts its errors and those of the
// parser to ConfigFormatError.
template <typename Decode>
auto DecodeObject(const std::string& text, const char* what, Decode decode) {
  try {
    return decode(json::parse(text).as_object());
  } catch (const std::exception& error) {
    throw ConfigFormatError(std::string("cannot decode ") + what + ": " +
                            error.what());
  }
}

}  // namespace

void FleetState::Apply(const ConfigDelta& delta) {
  if (delta.version != version + 1) {
    throw std::invalid_argument("delta " + std::to_string(delta.version) +
                                " does not follow version " +
                                std::to_string(version));
  }
  for (const HostState& host : delta.hosts)
    hosts[host.id] = host;
  for (const HostId& id : delta.removed_hosts)
    hosts.erase(id);
  for (const PoolState& pool : delta.pools)
    pools[pool.id] = pool;
  for (const PoolId& id : delta.removed_pools)
    pools.erase(id);
  for (const TeamState& team : delta.teams)
    teams[team.id] = team;
  for (const TeamId& id : delta.removed_teams)
    teams.erase(id);
  if (delta.rules_changed)
    rules = delta.rules;
  version = delta.version;
}

const HostState* FleetState::FindHost(const HostId& id) const {
  auto it = hosts.find(id);
  return it == hosts.end() ? nullptr : &it->second;
}

const PoolState* FleetState::FindPool(const PoolId& id) const {
  auto it = pools.find(id);
  return it == pools.end() ? nullptr : &it->second;
}

std::string ConfigDeltaKey(ConfigVersion version) {
  return VersionedKey("config/delta/", version);
}

std::string ConfigSnapshotKey(ConfigVersion version) {
  return VersionedKey("config/snapshot/", version);
}

std::string EncodeDelta(const ConfigDelta& d) {
  auto to_json = [](const auto& item) { return json::value(ToJson(item)); };
  json::object o{{"version", d.version},
                 {"operation", d.operation.value},
                 {"author", d.author},
                 {"hosts", ToArray(d.hosts, to_json)},
                 {"removed_hosts", IdsToArray(d.removed_hosts)},
                 {"pools", ToArray(d.pools, to_json)},
                 {"removed_pools", IdsToArray(d.removed_pools)},
                 {"teams", ToArray(d.teams, to_json)},
                 {"removed_teams", IdsToArray(d.removed_teams)},
                 {"rules_changed", d.rules_changed},
                 {"rules", ToJson(d.rules)}};
  return json::serialize(o);
}

ConfigDelta DecodeDelta(const std::string& text) {
  return DecodeObject(text, "configuration delta", [](const json::object& o) {
    ConfigDelta d;
    d.version = Number<uint64_t>(o, "version");
    d.operation = {Number<uint64_t>(o, "operation")};
    d.author = Text(o, "author");
    d.hosts = FromArray<HostState>(o, "hosts", [](const json::value& v) {
      return HostFromJson(v.as_object());
    });
    d.removed_hosts = IdsFromArray<HostId>(o, "removed_hosts");
    d.pools = FromArray<PoolState>(o, "pools", [](const json::value& v) {
      return PoolFromJson(v.as_object());
    });
    d.removed_pools = IdsFromArray<PoolId>(o, "removed_pools");
    d.teams = FromArray<TeamState>(o, "teams", [](const json::value& v) {
      return TeamFromJson(v.as_object());
    });
    d.removed_teams = IdsFromArray<TeamId>(o, "removed_teams");
    d.rules_changed = o.at("rules_changed").as_bool();
    d.rules = RulesFromJson(o.at("rules").as_object());
    return d;
  });
}

std::string EncodeState(const FleetState& state) {
  auto to_json = [](const auto& item) {
    return json::value(ToJson(item.second));
  };
  json::object o{{"version", state.version},
                 {"hosts", ToArray(state.hosts, to_json)},
                 {"pools", ToArray(state.pools, to_json)},
                 {"teams", ToArray(state.teams, to_json)},
                 {"rules", ToJson(state.rules)}};
  return json::serialize(o);
}

FleetState DecodeState(const std::string& text) {
  return DecodeObject(text, "configuration snapshot",
                      [](const json::object& o) {
                        FleetState s;
                        s.version = Number<uint64_t>(o, "version");
                        for (const json::value& v : o.at("hosts").as_array()) {
                          HostState host = HostFromJson(v.as_object());
                          s.hosts.emplace(host.id, host);
                        }
                        for (const json::value& v : o.at("pools").as_array()) {
                          PoolState pool = PoolFromJson(v.as_object());
                          s.pools.emplace(pool.id, pool);
                        }
                        for (const json::value& v : o.at("teams").as_array()) {
                          TeamState team = TeamFromJson(v.as_object());
                          s.teams.emplace(team.id, team);
                        }
                        s.rules = RulesFromJson(o.at("rules").as_object());
                        return s;
                      });
}

std::string EncodeHead(const ConfigHead& head) {
  return json::serialize(
      json::object{{"version", head.version}, {"snapshot", head.snapshot}});
}

ConfigHead DecodeHead(const std::string& text) {
  return DecodeObject(text, "configuration head", [](const json::object& o) {
    return ConfigHead{Number<uint64_t>(o, "version"),
                      Number<uint64_t>(o, "snapshot")};
  });
}

}  // namespace radishmoor
