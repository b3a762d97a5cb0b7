#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <type_traits>
#include <utility>

#include "config/row_codec.h"
#include "http/client.h"
#include "http/target.h"
#include "store/store.h"

namespace foxtailrudder {
namespace {

namespace json = boost::json;

std::string ClaimKey(const JobKey& key) {
  return "claims/" + PercentEncode(key.team) + "/" + PercentEncode(key.idempotency_key);
}

std::string EntityTag(Version version) { return '"' + std::to_string(version) + '"'; }

std::optional<Version> VersionFromEntityTag(const HttpClientResponse& response) {
  const std::string* tag = response.headers.Find("ETag");
  if (tag == nullptr || tag->size() < 3) {
    return std::nullopt;
  }
  Version version = 0;
  const char* end = tag->data() + tag->size() - 1;
  const auto parsed = std::from_chars(tag->data() + 1, end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end || version == 0) {
    return std::nullopt;
  }
  return version;
}

/// Status of a read. Everything except 200 and 304 counts as unavailable.
StoreStatus ReadStatus(const HttpClientResult& result) {
  const auto* response = std::get_if<HttpClientResponse>(&result);
  if (response != nullptr && response->status == 200) {
    return StoreStatus::kOk;
  }
  if (response != nullptr && response->status == 304) {
    return StoreStatus::kNotModified;
  }
  return StoreStatus::kUnavailable;
}

StoreStatus WriteStatus(const HttpClientResult& result) {
  if (const auto* error = std::get_if<HttpClientError>(&result)) {
    return error->sent ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
  }
  const unsigned status = std::get<HttpClientResponse>(result).status;
  if (status == 200 || status == 201) {
    return StoreStatus::kOk;
  }
  if (status == 412) {
    return StoreStatus::kConflict;
  }
  // The service returns 503 and 4xx only before it changes anything; other failures may follow a
  // change.
  const bool refused = status == 503 || (status >= 400 && status < 500);
  return refused ? StoreStatus::kUnavailable : StoreStatus::kUnknown;
}

/// Returns the member "rows" of a response, or null if it does not have the expected number of
/// elements.
const json::array* FindRows(const json::value& document, std::size_t expected) {
  const auto* object = document.if_object();
  const auto* rows = object != nullptr ? object->if_contains("rows") : nullptr;
  const auto* array = rows != nullptr ? rows->if_array() : nullptr;
  return array != nullptr && array->size() == expected ? array : nullptr;
}

/// Returns the claims of a response in the order of the keys, or nullopt if it is malformed.
std::optional<std::vector<std::optional<DurableClaim>>> ReadClaimRows(
    const std::string& body, const std::vector<std::string>& keys) {
  boost::system::error_code error;
  const json::value document = json::parse(body, error);
  const json::array* rows = error ? nullptr : FindRows(document, keys.size());
  if (rows == nullptr) {
    return std::nullopt;
  }
  std::vector<std::optional<DurableClaim>> claims;
  claims.reserve(keys.size());
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const auto* row = (*rows)[i].if_object();
    const auto* key = row != nullptr ? row->if_contains("key") : nullptr;
    const auto* value = row != nullptr ? row->if_contains("value") : nullptr;
    if (key == nullptr || !key->is_string() || value == nullptr ||
        std::string_view(key->get_string()) != keys[i]) {
      return std::nullopt;
    }
    if (value->is_null()) {
      claims.emplace_back();
      continue;
    }
    if (!value->is_string()) {
      return std::nullopt;
    }
    auto claim = DecodeDurableClaim(std::string_view(value->get_string()));
    if (std::holds_alternative<Faults>(claim)) {
      return std::nullopt;
    }
    claims.emplace_back(std::move(std::get<DurableClaim>(claim)));
  }
  return claims;
}

template <typename Row>
std::variant<Row, Faults> DecodeRow(const std::string& body) {
  if constexpr (std::is_same_v<Row, ControlRow>) {
    return DecodeControlRow(body);
  } else {
    return DecodeMembersRow(body);
  }
}

}  // namespace

class StoreClient::Impl {
 public:
  Impl(StoreClientConfig config, std::function<void(StoreResult)> done)
      : m_config(std::move(config)),
        m_on_result(std::move(done)),
        m_client(HttpClient::Create({.max_connections_per_address = m_config.max_connections})) {}

  void Execute(const ReadRow& operation) {
    if (operation.row == RowKind::kControl) {
      Read<ControlRow, ControlRowRead>(operation, "control");
    } else {
      Read<MembersRow, MembersRowRead>(operation, MembersKey());
    }
  }

  void Execute(const WriteControlRow& operation) {
    ControlRow row = operation.row;
    row.version = operation.expected_version + 1;
    Write(operation.operation, RowKind::kControl, "control", operation.expected_version,
          EncodeControlRow(row));
  }

  void Execute(const WriteMembersRow& operation) {
    MembersRow row = operation.row;
    row.version = operation.expected_version + 1;
    Write(operation.operation, RowKind::kMembers, MembersKey(), operation.expected_version,
          EncodeMembersRow(row));
  }

  void Execute(const InsertClaims& operation) {
    // After an insert, each row exists: the new claim or an earlier one.
    Transact("insert", operation.operation, operation.claims,
             [](const auto& row) { return row.has_value(); });
  }

  void Execute(const ReleaseClaims& operation) {
    Transact("delete", operation.operation, operation.claims, [](const auto&) { return true; });
  }

  void Execute(const ReadClaims& operation) {
    json::array names;
    std::vector<std::string> keys;
    keys.reserve(operation.keys.size());
    for (const JobKey& key : operation.keys) {
      keys.push_back(ClaimKey(key));
      names.emplace_back(keys.back());
    }
    auto request = Request("POST", "/v1/read", m_config.read_timeout);
    request.body = json::serialize(json::object{{"keys", std::move(names)}});
    m_client->Request(std::move(request), [this, operation_number = operation.operation,
                                           keys = std::move(keys)](const HttpClientResult& result) {
      ClaimsResult claims{operation_number, ReadStatus(result), {}};
      if (claims.status == StoreStatus::kOk) {
        auto rows_read = ReadClaimRows(std::get<HttpClientResponse>(result).body, keys);
        if (rows_read) {
          claims.claims = std::move(*rows_read);
        } else {
          claims.status = StoreStatus::kUnavailable;
        }
      }
      m_on_result(std::move(claims));
    });
  }

  void Execute(const GetObject& operation) {
    m_client->Request(
        Request("GET", "/v1/objects/" + PercentEncode(operation.digest), m_config.read_timeout),
        [this, operation_number = operation.operation](HttpClientResult result) {
          ObjectResult object{operation_number, ReadStatus(result), {}};
          if (object.status == StoreStatus::kOk) {
            object.body = std::move(std::get<HttpClientResponse>(result).body);
          }
          m_on_result(std::move(object));
        });
  }

  void Execute(const PutObject& operation) {
    auto request =
        Request("PUT", "/v1/objects/" + PercentEncode(operation.digest), m_config.write_timeout);
    request.body = operation.body;
    m_client->Request(std::move(request), [this, operation_number = operation.operation](
                                              const HttpClientResult& result) {
      m_on_result(ObjectResult{operation_number, WriteStatus(result), {}});
    });
  }

  void Stop() { m_client->Stop(); }

 private:
  /// Sends one transaction on claim rows. `is_valid` tells whether a returned row is plausible.
  template <typename IsValid>
  void Transact(const char* action, std::uint64_t operation_number,
                const std::vector<DurableClaim>& claims, IsValid is_valid) {
    json::array rows;
    std::vector<std::string> keys;
    keys.reserve(claims.size());
    for (const DurableClaim& claim : claims) {
      keys.push_back(ClaimKey(claim.key));
      rows.push_back({{"key", keys.back()}, {"value", EncodeDurableClaim(claim)}});
    }
    auto request = Request("POST", "/v1/transact", m_config.write_timeout);
    request.body = json::serialize(json::object{{action, std::move(rows)}});
    m_client->Request(std::move(request), [this, operation_number, is_valid,
                                           keys = std::move(keys)](const HttpClientResult& result) {
      ClaimsResult claims_result{operation_number, WriteStatus(result), {}};
      if (claims_result.status == StoreStatus::kOk) {
        auto rows_read = ReadClaimRows(std::get<HttpClientResponse>(result).body, keys);
        if (rows_read && std::ranges::all_of(*rows_read, is_valid)) {
          claims_result.claims = std::move(*rows_read);
        } else {
          claims_result.status = StoreStatus::kUnknown;
        }
      }
      m_on_result(std::move(claims_result));
    });
  }

  std::string MembersKey() const { return "members/" + m_config.region; }

  HttpClientRequest Request(std::string method, std::string target,
                            std::chrono::milliseconds timeout) const {
    HttpClientRequest request;
    request.address = m_config.address;
    request.method = std::move(method);
    request.target = std::move(target);
    request.deadline = std::chrono::steady_clock::now() + timeout;
    return request;
  }

  template <typename Row, typename Result>
  void Read(const ReadRow& operation, const std::string& key) {
    auto request = Request("GET", "/v1/rows/" + PercentEncode(key), m_config.read_timeout);
    if (operation.known_version != 0) {
      request.headers.Add("If-None-Match", EntityTag(operation.known_version));
    }
    m_client->Request(std::move(request), [this, operation_number = operation.operation](
                                              const HttpClientResult& result) {
      Result read{operation_number, ReadStatus(result), {}};
      const auto* response = std::get_if<HttpClientResponse>(&result);
      if (read.status == StoreStatus::kOk) {
        const auto version = VersionFromEntityTag(*response);
        auto row = DecodeRow<Row>(response->body);
        if (version && std::holds_alternative<Row>(row)) {
          read.row = std::move(std::get<Row>(row));
          read.row.version = *version;
        } else {
          read.status = StoreStatus::kUnavailable;
        }
      } else if (response != nullptr && response->status == 404) {
        // The row does not exist, which version 0 stands for.
        read.status = StoreStatus::kOk;
      }
      m_on_result(std::move(read));
    });
  }

  void Write(std::uint64_t operation_number, RowKind kind, const std::string& key, Version expected,
             std::string body) {
    auto request = Request("PUT", "/v1/rows/" + PercentEncode(key), m_config.write_timeout);
    request.headers.Add("If-Match", EntityTag(expected));
    request.body = std::move(body);
    m_client->Request(std::move(request),
                      [this, operation_number, kind](const HttpClientResult& result) {
                        m_on_result(RowWritten{operation_number, kind, WriteStatus(result)});
                      });
  }

  const StoreClientConfig m_config;
  const std::function<void(StoreResult)> m_on_result;
  /// Declared last, so that it is destroyed first and no callback uses a destroyed member.
  std::unique_ptr<HttpClient> m_client;
};

StoreClient::StoreClient(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
StoreClient::~StoreClient() = default;

std::unique_ptr<StoreClient> StoreClient::Create(StoreClientConfig config,
                                                 std::function<void(StoreResult)> done) {
  return std::unique_ptr<StoreClient>(
      new StoreClient(std::make_unique<Impl>(std::move(config), std::move(done))));
}

void StoreClient::Execute(const ReadRow& operation) { m_impl->Execute(operation); }
void StoreClient::Execute(const WriteControlRow& operation) { m_impl->Execute(operation); }
void StoreClient::Execute(const WriteMembersRow& operation) { m_impl->Execute(operation); }
void StoreClient::Execute(const InsertClaims& operation) { m_impl->Execute(operation); }
void StoreClient::Execute(const ReadClaims& operation) { m_impl->Execute(operation); }
void StoreClient::Execute(const ReleaseClaims& operation) { m_impl->Execute(operation); }
void StoreClient::Execute(const GetObject& operation) { m_impl->Execute(operation); }
void StoreClient::Execute(const PutObject& operation) { m_impl->Execute(operation); }
void StoreClient::Stop() { m_impl->Stop(); }

}  // namespace foxtailrudder
