#include "config/bundle_codec.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

#include "config/internal/json_reader.h"
#include "config/internal/urgency_names.h"

namespace foxtailrudder {
namespace {

namespace json = boost::json;
using json_reader::kOptional;
using json_reader::kRequired;
using json_reader::ObjectReader;
using std::chrono::milliseconds;

constexpr std::size_t kMaxServices = 1'000;
constexpr std::size_t kMaxZones = 1'000;
constexpr std::size_t kMaxTeams = 10'000;
constexpr std::uint32_t kMaxRate = 10'000'000;
constexpr milliseconds kHour{3'600'000};
constexpr milliseconds kDay = 24 * kHour;

ServiceConfig ReadService(const json::value& value, const std::string& path, Faults* faults) {
  ServiceConfig service;
  ObjectReader reader(value, path, faults);
  reader.Name("name", kRequired, &service.name);
  reader.Number("max_task_size", kOptional, 0U, 1'000'000'000U, &service.max_task_size);
  reader.Milliseconds("expected_run_time_ms", kOptional, milliseconds(1), kHour,
                      &service.expected_run_time);
  reader.RejectUnknownMembers();
  return service;
}

UrgencyRule ReadUrgencyRule(const json::value& value, const std::string& path, Faults* faults) {
  UrgencyRule rule;
  ObjectReader reader(value, path, faults);
  reader.Choice<Urgency>("urgency", kRequired, kUrgencyNames, &rule.urgency);
  reader.Milliseconds("head_start_ms", kRequired, milliseconds(0), kHour, &rule.head_start);
  reader.RejectUnknownMembers();
  return rule;
}

TeamConfig ReadTeam(const json::value& value, const std::string& path, Faults* faults) {
  TeamConfig team;
  ObjectReader reader(value, path, faults);
  reader.Name("name", kRequired, &team.name);
  reader.Name("home_region", kRequired, &team.home_region);
  reader.Number("tasks_per_second", kRequired, 1U, kMaxRate, &team.tasks_per_second);
  reader.Number("burst", kRequired, 1U, kMaxRate, &team.burst);
  reader.RejectUnknownMembers();
  return team;
}

void ReadLimits(const json::value& value, const std::string& path, LimitsConfig* limits,
                Faults* faults) {
  ObjectReader reader(value, path, faults);
  reader.Milliseconds("retention_ms", kOptional, milliseconds(10'000), kDay, &limits->retention);
  reader.Milliseconds("max_deadline_ms", kOptional, milliseconds(1'000), kHour,
                      &limits->max_deadline);
  reader.Milliseconds("durable_claim_retention_ms", kOptional, kHour, 90 * kDay,
                      &limits->durable_claim_retention);
  reader.Number("max_queued_tasks_per_coordinator", kOptional, 1U, 1'000'000U,
                &limits->max_queued_tasks_per_coordinator);
  reader.Number("max_claims_per_coordinator", kOptional, 1U, 10'000'000U,
                &limits->max_claims_per_coordinator);
  reader.Number("max_start_records_per_executor", kOptional, 1U, 10'000'000U,
                &limits->max_start_records_per_executor);
  reader.Number("max_forward_records_per_entry", kOptional, 1U, 10'000'000U,
                &limits->max_forward_records_per_entry);
  reader.Number("retry_budget_percent", kOptional, 0U, 100U, &limits->retry_budget_percent);
  reader.Number("max_ejected_percent", kOptional, 0U, 50U, &limits->max_ejected_percent);
  reader.Milliseconds("return_ramp_ms", kOptional, milliseconds(0), kHour, &limits->return_ramp);
  if (limits->durable_claim_retention < limits->max_deadline + limits->retention) {
    reader.Report("durable_claim_retention_ms",
                  "must be at least max_deadline_ms + retention_ms: the durable claim has to "
                  "outlast the claim in memory");
  }
  reader.RejectUnknownMembers();
}

}  // namespace

std::variant<Bundle, Faults> ParseBundle(std::string_view text) {
  Faults faults;
  const auto document = json_reader::Parse(text, &faults);
  if (!document) return faults;

  Bundle bundle;
  ObjectReader reader(*document, "$", &faults);
  json_reader::UniqueNames services;
  reader.Array("services", kRequired, 1, kMaxServices, [&](const auto& value, const auto& path) {
    bundle.services.push_back(ReadService(value, path, &faults));
    services.Add(bundle.services.back().name, path + ".name", &faults);
  });
  json_reader::UniqueNames zones;
  reader.Array("zones", kRequired, 1, kMaxZones, [&](const auto& value, const auto& path) {
    const json::string* const zone = value.if_string();
    if (zone == nullptr || !json_reader::IsName({zone->data(), zone->size()})) {
      json_reader::AddFault(&faults, path, "must be the name of a zone");
      return;
    }
    bundle.zones.emplace_back(zone->data(), zone->size());
    zones.Add(bundle.zones.back(), path, &faults);
  });
  json_reader::UniqueNames urgencies;
  reader.Array("urgency_rules", kOptional, 0, 3, [&](const auto& value, const auto& path) {
    const std::size_t faults_before = faults.size();
    const UrgencyRule rule = ReadUrgencyRule(value, path, &faults);
    bundle.urgency_rules.push_back(rule);
    if (faults.size() > faults_before) return;
    urgencies.Add(std::string(UrgencyName(rule.urgency)), path + ".urgency", &faults);
  });
  json_reader::UniqueNames teams;
  reader.Array("teams", kRequired, 1, kMaxTeams, [&](const auto& value, const auto& path) {
    bundle.teams.push_back(ReadTeam(value, path, &faults));
    teams.Add(bundle.teams.back().name, path + ".name", &faults);
  });
  if (const json::value* const limits = reader.FindMember("limits", kOptional)) {
    ReadLimits(*limits, reader.PathOf("limits"), &bundle.limits, &faults);
  }
  reader.RejectUnknownMembers();
  if (!faults.empty()) return faults;
  return bundle;
}

std::string FormatBundle(const Bundle& bundle) {
  json::array services;
  for (const ServiceConfig& service : bundle.services) {
    services.push_back({{"name", service.name},
                        {"max_task_size", service.max_task_size},
                        {"expected_run_time_ms", service.expected_run_time.count()}});
  }
  json::array zones;
  for (const std::string& zone : bundle.zones) zones.emplace_back(zone);
  json::array rules;
  for (const UrgencyRule& rule : bundle.urgency_rules) {
    rules.push_back(
        {{"urgency", UrgencyName(rule.urgency)}, {"head_start_ms", rule.head_start.count()}});
  }
  json::array teams;
  for (const TeamConfig& team : bundle.teams) {
    teams.push_back({{"name", team.name},
                     {"home_region", team.home_region},
                     {"tasks_per_second", team.tasks_per_second},
                     {"burst", team.burst}});
  }
  const LimitsConfig& limits = bundle.limits;
  const json::object document = {
      {"services", std::move(services)},
      {"zones", std::move(zones)},
      {"urgency_rules", std::move(rules)},
      {"teams", std::move(teams)},
      {"limits",
       {{"retention_ms", limits.retention.count()},
        {"max_deadline_ms", limits.max_deadline.count()},
        {"durable_claim_retention_ms", limits.durable_claim_retention.count()},
        {"max_queued_tasks_per_coordinator", limits.max_queued_tasks_per_coordinator},
        {"max_claims_per_coordinator", limits.max_claims_per_coordinator},
        {"max_start_records_per_executor", limits.max_start_records_per_executor},
        {"max_forward_records_per_entry", limits.max_forward_records_per_entry},
        {"retry_budget_percent", limits.retry_budget_percent},
        {"max_ejected_percent", limits.max_ejected_percent},
        {"return_ramp_ms", limits.return_ramp.count()}}}};
  return json::serialize(document);
}

std::string DigestOfBundle(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 33> hex{};
  std::snprintf(hex.data(), hex.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return {hex.data(), 32};
}

}  // namespace foxtailrudder
