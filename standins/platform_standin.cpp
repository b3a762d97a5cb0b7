#include "standins/platform_standin.h"

#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <mutex>
#include <optional>
#include <pcg_random.hpp>
#include <random>
#include <utility>
#include <vector>

#include "http/server.h"
#include "http/target.h"
#include "standins/json_support.h"
#include "standins/scheduler.h"

namespace foxtailrudder::standins {
namespace {

namespace json = boost::json;

constexpr std::string_view kRowsPrefix = "/v1/rows/";
constexpr std::string_view kObjectsPrefix = "/v1/objects/";

struct Row {
  std::uint64_t version = 0;
  std::string value;
};

std::string FormatETag(std::uint64_t version) { return '"' + std::to_string(version) + '"'; }

/// Parses a header value of the form "5", quotes included.
std::optional<std::uint64_t> ParseETag(const std::string* header) {
  if (header == nullptr || header->size() < 3 || header->front() != '"' || header->back() != '"') {
    return std::nullopt;
  }
  std::uint64_t version = 0;
  const char* end = header->data() + header->size() - 1;
  const auto parsed = std::from_chars(header->data() + 1, end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return version;
}

HttpResponse WithETag(HttpResponse response, std::uint64_t version) {
  response.headers.Add("ETag", FormatETag(version));
  return response;
}

const json::array* FindArray(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains({name.data(), name.size()});
  return value != nullptr ? value->if_array() : nullptr;
}

}  // namespace

class PlatformStandin::Impl : public HttpHandler {
 public:
  explicit Impl(std::uint64_t seed) : m_random(seed) {}
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() override {
    m_scheduler.Stop();
    m_server.reset();
  }

  std::optional<Error> Start(const std::string& address) {
    HttpServerConfig config;
    config.address = address;
    config.max_body_bytes = 64U << 20U;
    auto server = HttpServer::Create(config, *this);
    if (auto* error = std::get_if<Error>(&server)) {
      return std::move(*error);
    }
    m_server = std::move(std::get<std::unique_ptr<HttpServer>>(server));
    return std::nullopt;
  }

  const std::string& address() const { return m_server->address(); }

  void SetFaults(const PlatformFaults& faults) {
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
  }

  PlatformStats stats() const {
    const std::lock_guard lock(m_mutex);
    return m_stats;
  }

  void OnRequest(HttpRequest request, HttpResponder responder) override {
    if (request.target == "/faults" || request.target == "/stats") {
      responder.Respond(HandleControlRequest(request));
      return;
    }
    std::uint32_t slow_ms = 0;
    {
      const std::lock_guard lock(m_mutex);
      slow_ms = m_faults.slow_ms;
    }
    if (slow_ms == 0) {
      Serve(request, responder);
      return;
    }
    m_scheduler.After(std::chrono::milliseconds(slow_ms),
                      [this, request = std::move(request), responder = std::move(responder)] {
                        Serve(request, responder);
                      });
  }

  void OnClientDisconnected(HttpRequestId /*request*/) override {}

 private:
  HttpResponse HandleControlRequest(const HttpRequest& request) {
    const std::lock_guard lock(m_mutex);
    if (request.target == "/stats") {
      return JsonResponse({{"reads", m_stats.reads},
                           {"writes", m_stats.writes},
                           {"conflicts", m_stats.conflicts},
                           {"refused", m_stats.refused},
                           {"lost_replies", m_stats.lost_replies}});
    }
    const auto body = ParseObject(request.body);
    if (request.method != "POST" || !body) {
      return EmptyResponse(400);
    }
    m_faults.down = BoolOr(*body, "down", m_faults.down);
    m_faults.slow_ms = static_cast<std::uint32_t>(NumberOr(*body, "slow_ms", m_faults.slow_ms));
    m_faults.lose_write_replies = static_cast<std::uint32_t>(
        NumberOr(*body, "lose_write_replies", m_faults.lose_write_replies));
    m_faults.error_rate = NumberOr(*body, "error_rate", m_faults.error_rate);
    return EmptyResponse(200);
  }

  void Serve(const HttpRequest& request, const HttpResponder& responder) {
    const std::lock_guard lock(m_mutex);
    const bool inject_error =
        m_faults.error_rate > 0 && std::bernoulli_distribution(m_faults.error_rate)(m_random);
    if (m_faults.down || inject_error) {
      ++m_stats.refused;
      responder.Respond(EmptyResponse(503));
      return;
    }
    const bool is_write = request.method == "PUT" || request.target == "/v1/transact";
    ++(is_write ? m_stats.writes : m_stats.reads);
    HttpResponse response = Handle(request);
    if (is_write && response.status == 200 && m_faults.lose_write_replies > 0) {
      --m_faults.lose_write_replies;
      ++m_stats.lost_replies;
      // Keeping the responder alive leaves the request unanswered.
      m_unanswered_responders.push_back(responder);
      return;
    }
    responder.Respond(std::move(response));
  }

  HttpResponse Handle(const HttpRequest& request) {
    const std::string_view target = request.target;
    if (target.starts_with(kRowsPrefix)) {
      const auto key = PercentDecode(target.substr(kRowsPrefix.size()));
      if (key && request.method == "GET") {
        return GetRow(*key, ParseETag(request.headers.Find("If-None-Match")));
      }
      const auto expected_version = ParseETag(request.headers.Find("If-Match"));
      if (key && expected_version && request.method == "PUT") {
        return PutRow(*key, *expected_version, request.body);
      }
      return EmptyResponse(400);
    }
    if (target.starts_with(kObjectsPrefix)) {
      const std::string digest(target.substr(kObjectsPrefix.size()));
      if (request.method == "PUT") {
        m_objects[digest] = request.body;
        return EmptyResponse(200);
      }
      const auto found = m_objects.find(digest);
      if (found == m_objects.end()) {
        return EmptyResponse(404);
      }
      HttpResponse response;
      response.content_type = "application/octet-stream";
      response.body = found->second;
      return response;
    }
    const auto body = ParseObject(request.body);
    if (request.method != "POST" || !body) {
      return EmptyResponse(404);
    }
    if (target == "/v1/transact") {
      return Transact(*body);
    }
    return target == "/v1/read" ? ReadRows(*body) : EmptyResponse(404);
  }

  HttpResponse GetRow(const std::string& key, std::optional<std::uint64_t> known_version) {
    const auto found = m_rows.find(key);
    if (found == m_rows.end()) {
      return EmptyResponse(404);
    }
    if (known_version == found->second.version) {
      return WithETag(EmptyResponse(304), found->second.version);
    }
    HttpResponse response;
    response.body = found->second.value;
    return WithETag(std::move(response), found->second.version);
  }

  HttpResponse PutRow(const std::string& key, std::uint64_t expected_version,
                      const std::string& value) {
    const auto found = m_rows.find(key);
    const std::uint64_t current = found == m_rows.end() ? 0 : found->second.version;
    if (current != expected_version) {
      ++m_stats.conflicts;
      return WithETag(EmptyResponse(412), current);
    }
    m_rows[key] = {expected_version + 1, value};
    return WithETag(EmptyResponse(200), expected_version + 1);
  }

  HttpResponse Transact(const json::object& body) {
    const auto* inserts = FindArray(body, "insert");
    const auto* deletes = FindArray(body, "delete");
    if ((inserts == nullptr) == (deletes == nullptr)) {
      return EmptyResponse(400);
    }
    // The transaction is atomic: all rows are validated before the first change.
    std::vector<std::pair<std::string, std::string>> validated_rows;
    for (const json::value& item : inserts != nullptr ? *inserts : *deletes) {
      const auto* row = item.if_object();
      const auto* key = row != nullptr ? row->if_contains("key") : nullptr;
      const auto* value = row != nullptr ? row->if_contains("value") : nullptr;
      if (key == nullptr || !key->is_string() || value == nullptr || !value->is_string()) {
        return EmptyResponse(400);
      }
      validated_rows.emplace_back(key->get_string(), value->get_string());
    }
    json::array rows;
    for (auto& [key, value] : validated_rows) {
      if (deletes != nullptr) {
        rows.push_back(DeleteRow(key, value));
        continue;
      }
      const auto [row, inserted] = m_rows.try_emplace(key, Row{1, std::move(value)});
      rows.push_back({{"key", key}, {"value", row->second.value}, {"inserted", inserted}});
    }
    return JsonResponse(json::object{{"rows", std::move(rows)}});
  }

  json::object DeleteRow(const std::string& key, const std::string& value) {
    const auto found = m_rows.find(key);
    if (found == m_rows.end()) {
      return {{"key", key}, {"value", nullptr}, {"deleted", false}};
    }
    if (found->second.value != value) {
      return {{"key", key}, {"value", found->second.value}, {"deleted", false}};
    }
    m_rows.erase(found);
    return {{"key", key}, {"value", nullptr}, {"deleted", true}};
  }

  HttpResponse ReadRows(const json::object& body) {
    const auto* keys = FindArray(body, "keys");
    if (keys == nullptr) {
      return EmptyResponse(400);
    }
    json::array rows;
    for (const json::value& key : *keys) {
      if (!key.is_string()) {
        return EmptyResponse(400);
      }
      const auto found = m_rows.find(std::string(key.get_string()));
      rows.push_back({{"key", key},
                      {"value", found == m_rows.end() ? json::value(nullptr)
                                                      : json::value(found->second.value)}});
    }
    return JsonResponse(json::object{{"rows", std::move(rows)}});
  }

  mutable std::mutex m_mutex;
  PlatformFaults m_faults;
  PlatformStats m_stats;
  pcg64 m_random;
  std::map<std::string, Row> m_rows;
  std::map<std::string, std::string> m_objects;
  std::vector<HttpResponder> m_unanswered_responders;
  Scheduler m_scheduler;
  std::unique_ptr<HttpServer> m_server;
};

PlatformStandin::PlatformStandin(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
PlatformStandin::~PlatformStandin() = default;

std::variant<std::unique_ptr<PlatformStandin>, Error> PlatformStandin::Create(
    const std::string& address, std::uint64_t seed) {
  auto impl = std::make_unique<Impl>(seed);
  if (auto error = impl->Start(address)) {
    return std::move(*error);
  }
  return std::unique_ptr<PlatformStandin>(new PlatformStandin(std::move(impl)));
}

const std::string& PlatformStandin::address() const { return m_impl->address(); }
void PlatformStandin::SetFaults(const PlatformFaults& faults) { m_impl->SetFaults(faults); }
PlatformStats PlatformStandin::stats() const { return m_impl->stats(); }

}  // namespace foxtailrudder::standins
