#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "membership/member_table.h"
#include "membership/permit.h"
#include "membership/placement.h"
#include "model/model.h"

namespace foxtailrudder {

/// The announcement of an endpoint to its sidecar.
struct EndpointInfo {
  std::string service;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::string address;
  std::string worker;
  std::string rack;

  friend bool operator==(const EndpointInfo&, const EndpointInfo&) = default;
};

struct SidecarMembershipConfig {
  /// Must have the name, address, zone, rack and incarnation of this sidecar.
  Member self;
  /// Entries from the settings, used until a member table has been received.
  std::vector<NodeId> seed_entries;
};

/// The sidecar side of cluster membership: heartbeats, cached rows and permits. Does no I/O and
/// reads no clock.
class SidecarMembership {
 public:
  static std::variant<SidecarMembership, Error> Create(SidecarMembershipConfig config,
                                                       Counters* counters);

  SidecarMembership(SidecarMembership&&) noexcept;
  SidecarMembership& operator=(SidecarMembership&&) noexcept;
  ~SidecarMembership();

  void Tick(Now now, Outbox& out);
  bool OnMessage(const Envelope& envelope, Now now, Outbox& out);

  /// Sets the endpoint's announcement, or nullopt when it has expired. Sent with the next
  /// heartbeat.
  void SetEndpoint(std::optional<EndpointInfo> endpoint);
  void SetLoad(std::uint32_t running_tasks, std::uint32_t queued_tasks);

  /// With true, stops starting tasks immediately and requests to be marked as draining. With false,
  /// ends a drain that an endpoint began and then cancelled by announcing itself again.
  void SetDraining(bool draining);
  /// Requests removal from the member row; has_left() returns true once it is done.
  void Leave();
  bool has_left() const;

  const PermitHolder& permit() const;
  const MemberTable& table() const;
  const Placement& placement() const;
  const ControlRow& control() const;
  const std::string& bundle_text() const;
  Version bundle_version() const;

  /// True if this incarnation is listed and active.
  bool IsActive() const;

 private:
  class Impl;
  explicit SidecarMembership(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
