#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "app/exit_status.h"
#include "app/internal/metrics_page.h"
#include "app/internal/refusal_counters.h"
#include "app/internal/traffic_log.h"
#include "dispatch/dispatch.h"
#include "http/http.h"
#include "observe/observe.h"
#include "transport/transport.h"

namespace foxtailrudder {

/// Clocks for direct dispatch. The steady one includes time in which the machine is suspended, so
/// that permits and leases have expired when it resumes.
Now ReadBootClocks();

struct DispatchProcessConfig {
  std::string name;
  std::string region;
  std::string zone;
  std::string internal_address;
  std::vector<std::string> seed_entries;
  EventLogRateLimits log_rate_limits;
  /// Called on SIGHUP and when the settings file changes. Returns the seed entries, or an error
  /// text for the log.
  std::function<std::variant<std::vector<std::string>, std::string>()> reload;
  std::string settings_path;
};

/// An entry whose address this process knows.
struct KnownEntry {
  std::string address;
  /// 0 until the first report, and again after the entry has been silent for too long.
  Incarnation incarnation = 0;
  SteadyTime last_contact;
  /// The entry counts as live until then unless it is heard again.
  SteadyTime live_until;
  /// The connection is replaced at that time unless the entry is heard again.
  SteadyTime silent_at;
  /// EntryReport::entries_digest of the last report.
  std::uint64_t entries_digest = 0;
  /// EntryReport::known_sidecars_digest of the last report.
  std::uint64_t held_sidecars_digest = 0;
  /// When the entry was discovered or last disconnected because of silence.
  SteadyTime awaiting_contact_since;
  bool is_seed = false;
};

/// HTTP response with metrics in Prometheus text format.
inline HttpResponse MetricsAnswer(std::string text) {
  return {200, "text/plain; version=0.0.4", std::move(text), {}};
}

/// Base class of the direct-dispatch processes: the event loop, connections to other processes, the
/// known entries, the operators' documents, signals and the event log.
class DispatchProcess : private NetworkHandler {
 public:
  explicit DispatchProcess(DispatchProcessConfig config);
  DispatchProcess(const DispatchProcess&) = delete;
  DispatchProcess& operator=(const DispatchProcess&) = delete;
  ~DispatchProcess() override;

  ExitStatus Run();

 protected:
  virtual std::optional<Error> Start(Now now) = 0;
  virtual void OnMessage(const Envelope& envelope, Now now) = 0;
  virtual void OnPeerConnected(NodeRef peer, Now now) = 0;
  /// Called every kTickPeriod.
  virtual void OnTick(Now now) = 0;
  /// Called once, in the first tick after SIGTERM or SIGINT. The process ends when it calls
  /// EndLoop().
  virtual void OnStopRequested(Now now) = 0;
  /// Called after the operators' documents have changed.
  /// `source` names the process that they came from: "store" or "peer".
  virtual void OnDocuments(std::string_view source, Now now) = 0;
  virtual void Close() = 0;

  /// Whether SIGTERM or SIGINT has been received, also before OnStopRequested() is called.
  static bool is_stop_signalled();

  void EndLoop(ExitStatus status);
  void Send(NodeRef to, Message message);
  void Send(std::vector<SendMessage> messages);

  /// Adds an entry by an address on its machine, or marks a known entry as a seed if `is_seed` is
  /// set. Ignores the address of this process.
  void AddKnownEntry(const std::string& address, bool is_seed, Now now);
  /// `next_within` is the time within which the entry's next report is expected.
  void OnEntryReport(NodeRef entry, const EntryReport& report,
                     std::chrono::milliseconds next_within, Now now);
  /// Closes connections to entries that have become silent and removes non-seed entries that stay
  /// silent.
  void ExpireSilentEntries(Now now);
  /// Internal addresses of the entries that are live.
  std::vector<std::string> LiveEntryAddresses(Now now) const;
  std::vector<NodeId> LiveEntries(Now now) const;
  /// Digest of the live entries, which does not depend on their order. An entry counts itself too.
  std::uint64_t LiveEntriesDigest(Now now) const;

  void MergeDocuments(const AgreedState& state, std::string_view source, Now now);
  /// Requests the documents that a peer holds and this process lacks, when a request is due.
  void OnPeerVersion(NodeRef peer, Version version, Now now);
  /// How long this process leaves newer documents to other sources before it asks a peer.
  virtual DocumentRequestDelay document_request_delay() const = 0;
  /// The server of the callers or the endpoint; called after Start() only.
  virtual const HttpServer* main_server() const = 0;

  boost::asio::io_context& loop() { return m_loop; }
  EventLog& log() { return *m_log; }
  const NodeRef& self() const { return m_self; }
  const std::string& zone() const { return m_config.zone; }
  AgreedDocuments& documents() { return m_documents; }
  const AgreedDocuments& documents() const { return m_documents; }
  std::map<NodeId, KnownEntry>& entries() { return m_entries; }
  /// Logs and counts a request that the HTTP server refused before it reached a handler.
  void OnHttpRefused(const Error& reason, const std::string& remote_address);
  void AddCommonMetrics(MetricsPage& page) const;

 private:
  void OnEnvelope(Envelope envelope) override;
  void OnConnected(NodeRef peer) override;
  void OnDisconnected(NodeRef peer) override;
  void OnRefused(const std::string& remote_address, const Error& reason) override;
  void ScheduleTick();
  void AwaitReloadSignal();
  void StopIfSignalled(Now now);
  void Reload(std::string_view cause, Now now);
  void ReloadIfChanged(Now now);

  DispatchProcessConfig m_config;
  boost::asio::io_context m_loop{1};
  boost::asio::signal_set m_reload_signal;
  boost::asio::steady_timer m_tick;
  NodeRef m_self;
  std::unique_ptr<EventLog> m_log;
  TrafficLog m_traffic_log;
  RefusalCounters m_http_refusals;
  std::unique_ptr<Network> m_network;
  AgreedDocuments m_documents;
  DocumentSync m_document_sync;
  std::uint64_t m_document_requests = 0;
  std::map<NodeId, KnownEntry> m_entries;
  std::int64_t m_settings_modified_at = 0;
  SteadyTime m_next_settings_check;
  bool m_stopping = false;
  ExitStatus m_status = ExitStatus::kOk;
};

}  // namespace foxtailrudder
