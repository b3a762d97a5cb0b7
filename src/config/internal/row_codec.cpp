#include "config/row_codec.h"

#include <limits>

#include "config/internal/json_reader.h"
#include "config/rfc3339.h"

namespace foxtailrudder {
namespace {

namespace json = boost::json;
using json_reader::kRequired;
using json_reader::ObjectReader;

constexpr std::uint32_t kRowFormat = 1;
constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

constexpr std::array<NamedValue<NodeRole>, 2> kRoles = {
    {{"entry", NodeRole::kEntry}, {"sidecar", NodeRole::kSidecar}}};
constexpr std::array<NamedValue<MemberState>, 2> kMemberStates = {
    {{"active", MemberState::kActive}, {"draining", MemberState::kDraining}}};
constexpr std::array<NamedValue<ZoneState>, 2> kZoneStates = {
    {{"in", ZoneState::kIn}, {"out", ZoneState::kOut}}};

// VisitFields lists the members of each type once for both reading and writing. `io` is a RowReader
// or a RowWriter.

template <typename Io>
void VisitFields(Io& io, ChangeRecord& record) {
  io.Field("change_id", record.change_id);
  io.Field("operator", record.operator_name);
  io.Field("summary", record.summary);
  io.Field("version", record.version);
}

template <typename Io>
void VisitFields(Io& io, Member& member) {
  io.Field("id", member.id);
  io.Field("incarnation", member.incarnation);
  io.Field("name", member.name);
  io.template Choice<NodeRole>("role", member.role, kRoles);
  io.template Choice<MemberState>("state", member.state, kMemberStates);
  io.Field("address", member.address);
  io.Field("http_address", member.http_address);
  io.Field("zone", member.zone);
  io.Field("rack", member.rack);
  io.Field("worker", member.worker);
  io.Field("service", member.service);
  io.Field("slots", member.slots);
  io.Field("connections", member.connections);
  io.Field("joined_version", member.joined_version);
  io.Field("joined_at", member.joined_at);
}

template <typename Io>
void VisitFields(Io& io, Tombstone& tombstone) {
  io.Field("id", tombstone.id);
  io.Field("incarnation", tombstone.incarnation);
  io.template Choice<NodeRole>("role", tombstone.role, kRoles);
  io.Field("service", tombstone.service);
  io.Field("zone", tombstone.zone);
  io.Field("rack", tombstone.rack);
  io.Field("lost_at", tombstone.lost_at);
  io.Field("keep_until", tombstone.keep_until);
}

template <typename Io>
void VisitFields(Io& io, MembersRow& row) {
  io.Field("version", row.version);
  io.List("members", row.members);
  io.List("tombstones", row.tombstones);
  io.List("changes", row.changes);
}

template <typename Io>
void VisitFields(Io& io, ZoneRecord& zone) {
  io.Field("zone", zone.zone);
  io.template Choice<ZoneState>("state", zone.state, kZoneStates);
  io.Field("changed_version", zone.changed_version);
  io.Field("returned_at", zone.returned_at);
}

template <typename Io>
void VisitFields(Io& io, DrainRecord& drain) {
  io.Field("id", drain.id);
  io.Field("name", drain.name);
  io.Field("changed_version", drain.changed_version);
}

template <typename Io>
void VisitFields(Io& io, BundleProposal& proposal) {
  io.Field("digest", proposal.digest);
  io.Field("proposed_by", proposal.proposed_by);
  io.Field("proposed_at", proposal.proposed_at);
}

template <typename Io>
void VisitFields(Io& io, AcceptedBundle& bundle) {
  io.Field("bundle_version", bundle.bundle_version);
  io.Field("digest", bundle.digest);
  io.Field("proposed_by", bundle.proposed_by);
  io.Field("approved_by", bundle.approved_by);
  io.Field("accepted_at", bundle.accepted_at);
}

template <typename Io>
void VisitFields(Io& io, ControlRow& row) {
  io.Field("version", row.version);
  io.Object("bundle", row.bundle);
  io.List("bundle_history", row.bundle_history);
  io.List("proposals", row.proposals);
  io.List("zones", row.zones);
  io.List("drains", row.drains);
  io.List("changes", row.changes);
}

template <typename Io>
void VisitFields(Io& io, NodeRef& node) {
  io.Field("id", node.id);
  io.Field("incarnation", node.incarnation);
}

template <typename Io>
void VisitFields(Io& io, SubmissionId& submission) {
  io.Object("entry", submission.entry);
  io.Field("request", submission.request);
}

template <typename Io>
void VisitFields(Io& io, JobKey& key) {
  io.Field("team", key.team);
  io.Field("key", key.idempotency_key);
}

template <typename Io>
void VisitFields(Io& io, DurableClaim& claim) {
  io.Object("job", claim.key);
  io.Field("digest", claim.digest);
  io.Object("claimant", claim.claimant);
  io.Field("keep_until", claim.keep_until);
}

// Checks types but not values, because rows are written only by processes of this system.
class RowReader {
 public:
  RowReader(const json::value& value, const std::string& path, Faults* faults)
      : m_reader(value, path, faults), m_faults(faults) {}

  void Field(std::string_view key, std::string& target) {
    m_reader.Text(key, kRequired, 0, kUnlimited, &target);
  }
  void Field(std::string_view key, WallTime& target) { m_reader.Time(key, kRequired, &target); }

  template <std::unsigned_integral T>
  void Field(std::string_view key, T& target) {
    m_reader.Number(key, kRequired, T{0}, std::numeric_limits<T>::max(), &target);
  }

  template <typename E>
  void Choice(std::string_view key, E& target, NamedValues<E> names) {
    m_reader.Choice<E>(key, kRequired, names, &target);
  }

  template <typename T>
  void Object(std::string_view key, T& target) {
    const json::value* const value = m_reader.FindMember(key, kRequired);
    if (value == nullptr) return;
    RowReader part(*value, m_reader.PathOf(key), m_faults);
    VisitFields(part, target);
  }

  template <typename T>
  void List(std::string_view key, std::vector<T>& target) {
    m_reader.Array(key, kRequired, 0, kUnlimited,
                   [&](const json::value& value, const std::string& path) {
                     RowReader element(value, path, m_faults);
                     VisitFields(element, target.emplace_back());
                   });
  }

  void CheckFormat() {
    std::uint32_t format = 0;
    m_reader.Number("format", kRequired, kRowFormat, kRowFormat, &format);
  }

 private:
  ObjectReader m_reader;
  Faults* m_faults;
};

class RowWriter {
 public:
  void Field(std::string_view key, const std::string& value) { Set(key, value); }
  void Field(std::string_view key, WallTime value) { Set(key, FormatRfc3339(value)); }

  template <std::unsigned_integral T>
  void Field(std::string_view key, const T& value) {
    Set(key, value);
  }

  template <typename E>
  void Choice(std::string_view key, const E& value, NamedValues<E> names) {
    for (const auto& [name, candidate] : names) {
      if (candidate == value) Set(key, name);
    }
  }

  template <typename T>
  void Object(std::string_view key, T& value) {
    RowWriter part;
    VisitFields(part, value);
    Set(key, std::move(part.m_object));
  }

  template <typename T>
  void List(std::string_view key, std::vector<T>& values) {
    json::array list;
    list.reserve(values.size());
    for (T& value : values) {
      RowWriter element;
      VisitFields(element, value);
      list.emplace_back(std::move(element.m_object));
    }
    Set(key, std::move(list));
  }

  std::string Serialize() const { return json::serialize(m_object); }

 private:
  template <typename T>
  void Set(std::string_view key, T&& value) {
    m_object.emplace(json::string_view(key.data(), key.size()), std::forward<T>(value));
  }

  json::object m_object;
};

template <typename Row>
std::string Encode(Row row) {
  RowWriter writer;
  writer.Field("format", kRowFormat);
  VisitFields(writer, row);
  return writer.Serialize();
}

template <typename Row>
std::variant<Row, Faults> Decode(std::string_view text) {
  Faults faults;
  Row row;
  if (const auto document = json_reader::ParseTrusted(text, &faults)) {
    RowReader reader(*document, "$", &faults);
    reader.CheckFormat();
    VisitFields(reader, row);
  }
  if (!faults.empty()) return faults;
  return row;
}

}  // namespace

std::string EncodeControlRow(const ControlRow& row) { return Encode(row); }

std::variant<ControlRow, Faults> DecodeControlRow(std::string_view json) {
  return Decode<ControlRow>(json);
}

std::string EncodeMembersRow(const MembersRow& row) { return Encode(row); }

std::variant<MembersRow, Faults> DecodeMembersRow(std::string_view json) {
  return Decode<MembersRow>(json);
}

std::string EncodeDurableClaim(const DurableClaim& claim) { return Encode(claim); }

std::variant<DurableClaim, Faults> DecodeDurableClaim(std::string_view json) {
  return Decode<DurableClaim>(json);
}

}  // namespace foxtailrudder
