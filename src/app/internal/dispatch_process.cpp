#include "app/internal/dispatch_process.h"

#include <sys/stat.h>

#include <csignal>
#include <ctime>
#include <utility>

#include "app/internal/clock.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// Bounds the delay in detecting deadlines and silent entries; each wake-up costs CPU time.
constexpr milliseconds kTickPeriod{20};

/// An entry counts as live, and is reported to other processes, until a report is overdue by this
/// time: long enough to reconnect.
constexpr milliseconds kEntryLiveMargin{900};

/// The connection to an entry is replaced once a report is overdue by this time. With a report
/// every 100 ms, that is five periods, and short compared to the permit that it renews.
constexpr milliseconds kEntrySilenceMargin{400};

/// A non-seed entry is removed after this long without contact.
constexpr milliseconds kForgetEntryTimeout{30'000};

/// A machine that is powered off does not answer connection attempts. Both times add to the
/// callers' wait after all processes have restarted; a region's round trip is at most 25 ms.
constexpr milliseconds kConnectTimeout{200};
constexpr milliseconds kConnectBackoff{100};

constexpr milliseconds kSettingsCheckPeriod{2'000};

/// Number of the stop signal that was received last, 0 if none. Set by the handler itself: a
/// request that arrives after the signal is handled after the handler has run, but possibly before
/// a completion that the handler would queue.
volatile std::sig_atomic_t g_stop_signal = 0;

void OnStopSignal(int number) { g_stop_signal = number; }

std::int64_t ModificationTimeOf(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return 0;
  return status.st_mtim.tv_sec * 1'000'000'000LL + status.st_mtim.tv_nsec;
}

/// Internal address of an entry: the IP of one of its addresses with the internal port, which is
/// the same on all machines.
std::string InternalAddressOf(const std::string& address, const std::string& own_internal) {
  return address.substr(0, address.rfind(':')) + own_internal.substr(own_internal.rfind(':'));
}

}  // namespace

Now ReadBootClocks() {
  timespec boot{};
  ::clock_gettime(CLOCK_BOOTTIME, &boot);
  return {SteadyTime(std::chrono::seconds(boot.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec)),
          std::chrono::system_clock::now()};
}

DispatchProcess::DispatchProcess(DispatchProcessConfig config)
    : m_config(std::move(config)),
      m_reload_signal(m_loop, SIGHUP),
      m_tick(m_loop),
      m_self{NodeIdOf(m_config.internal_address), NewIncarnation()},
      m_log(EventLog::Create(m_config.name, m_config.zone, m_self.incarnation,
                             m_config.log_rate_limits)),
      m_traffic_log(*m_log),
      m_document_sync(Random(MixHash(m_self.id, m_self.incarnation))) {
  // Writing to a connection that the peer has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
}

DispatchProcess::~DispatchProcess() {
  if (m_network) m_network->Stop();
}

ExitStatus DispatchProcess::Run() {
  const Now now = ReadBootClocks();
  m_settings_modified_at = ModificationTimeOf(m_config.settings_path);
  m_log->Record(DecisionClass::kStateChange, "process_started", {},
                {{"internal_address", m_config.internal_address},
                 {"seeds", static_cast<std::int64_t>(m_config.seed_entries.size())}});
  NetworkConfig network_config;
  network_config.self = m_self;
  network_config.region = m_config.region;
  network_config.listen_address = m_config.internal_address;
  network_config.loop = &m_loop;
  network_config.connect_timeout = kConnectTimeout;
  network_config.max_backoff = kConnectBackoff;
  // Control traffic is small; bounds the memory used for a peer that does not read.
  network_config.max_peer_queue_bytes = 4U << 20U;
  auto network = Network::Create(network_config, *this);
  std::optional<Error> error;
  if (auto* failed = std::get_if<Error>(&network)) {
    error = std::move(*failed);
  } else {
    m_network = std::get<std::unique_ptr<Network>>(std::move(network));
    for (const std::string& seed : m_config.seed_entries) AddKnownEntry(seed, true, now);
    error = Start(now);
  }
  if (error) {
    m_log->Record(DecisionClass::kStateChange, "process_cannot_start", {},
                  {{"kind", ErrorAnswerOf(error->kind).name}, {"detail", error->detail}});
    m_log->Tick(now);
    return ExitStatus::kFailed;
  }
  AwaitReloadSignal();
  ScheduleTick();
  m_loop.run();
  Close();
  m_log->Record(DecisionClass::kStateChange, "process_stopped", {},
                {{"status", static_cast<std::int64_t>(m_status)}});
  m_log->Tick(ReadBootClocks());
  return m_status;
}

void DispatchProcess::EndLoop(ExitStatus status) {
  m_status = status;
  m_loop.stop();
}

void DispatchProcess::ScheduleTick() {
  m_tick.expires_after(kTickPeriod);
  m_tick.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const Now now = ReadBootClocks();
    StopIfSignalled(now);
    OnTick(now);
    ReloadIfChanged(now);
    m_traffic_log.Tick(*m_network, *main_server(), now);
    m_log->Tick(now);
    ScheduleTick();
  });
}

void DispatchProcess::AwaitReloadSignal() {
  m_reload_signal.async_wait([this](boost::system::error_code error, int /*number*/) {
    if (error) return;
    Reload("signal", ReadBootClocks());
    AwaitReloadSignal();
  });
}

bool DispatchProcess::is_stop_signalled() { return g_stop_signal != 0; }

void DispatchProcess::StopIfSignalled(Now now) {
  if (!is_stop_signalled() || std::exchange(m_stopping, true)) return;
  m_log->Record(DecisionClass::kStateChange, "stop_requested", {},
                {{"signal", static_cast<std::int64_t>(g_stop_signal)}});
  OnStopRequested(now);
}

void DispatchProcess::ReloadIfChanged(Now now) {
  if (now.steady < m_next_settings_check) return;
  m_next_settings_check = now.steady + kSettingsCheckPeriod;
  const std::int64_t modified_at = ModificationTimeOf(m_config.settings_path);
  if (modified_at != 0 && modified_at != m_settings_modified_at) Reload("file_changed", now);
}

void DispatchProcess::Reload(std::string_view cause, Now now) {
  m_settings_modified_at = ModificationTimeOf(m_config.settings_path);
  const auto read = m_config.reload();
  if (const auto* fault = std::get_if<std::string>(&read)) {
    m_log->Record(DecisionClass::kStateChange, "settings_kept", {},
                  {{"cause", cause}, {"fault", *fault}});
    return;
  }
  const auto& seeds = std::get<std::vector<std::string>>(read);
  for (auto& [id, entry] : m_entries) entry.is_seed = false;
  for (const std::string& seed : seeds) AddKnownEntry(seed, true, now);
  m_log->Record(DecisionClass::kStateChange, "settings_reloaded", {},
                {{"cause", cause}, {"seeds", static_cast<std::int64_t>(seeds.size())}});
}

void DispatchProcess::Send(NodeRef to, Message message) {
  m_network->Send({m_self, to, std::move(message)});
}

void DispatchProcess::Send(std::vector<SendMessage> messages) {
  for (SendMessage& message : messages) Send(message.to, std::move(message.message));
}

void DispatchProcess::AddKnownEntry(const std::string& address, bool is_seed, Now now) {
  const std::string internal = InternalAddressOf(address, m_config.internal_address);
  const NodeId id = NodeIdOf(internal);
  if (id == m_self.id) return;
  auto [found, is_new] = m_entries.try_emplace(id);
  KnownEntry& entry = found->second;
  entry.is_seed |= is_seed;
  if (!is_new) return;
  entry.address = internal;
  entry.awaiting_contact_since = now.steady;
  m_network->SetAddress(id, internal);
  m_log->Record(DecisionClass::kStateChange, "entry_found", {},
                {{"address", internal}, {"seed", static_cast<std::int64_t>(is_seed)}});
}

void DispatchProcess::OnEntryReport(NodeRef ref, const EntryReport& report,
                                    milliseconds next_within, Now now) {
  for (const std::string& address : report.entries) AddKnownEntry(address, false, now);
  OnPeerVersion(ref, report.state_version, now);
  const auto found = m_entries.find(ref.id);
  if (found == m_entries.end()) return;
  KnownEntry& entry = found->second;
  if (entry.incarnation != ref.incarnation || now.steady > entry.live_until) {
    m_log->Record(DecisionClass::kStateChange, "entry_heard", {},
                  {{"address", entry.address},
                   {"new_life", static_cast<std::int64_t>(entry.incarnation != ref.incarnation)}});
  }
  entry.incarnation = ref.incarnation;
  entry.last_contact = now.steady;
  entry.live_until = now.steady + next_within + kEntryLiveMargin;
  entry.silent_at = now.steady + next_within + kEntrySilenceMargin;
  entry.entries_digest = report.entries_digest;
  entry.held_sidecars_digest = report.known_sidecars_digest;
}

void DispatchProcess::ExpireSilentEntries(Now now) {
  for (auto next = m_entries.begin(); next != m_entries.end();) {
    const auto current = next++;
    KnownEntry& entry = current->second;
    if (entry.incarnation != 0 && now.steady > entry.silent_at) {
      m_log->Record(DecisionClass::kStateChange, "entry_silent", {}, {{"address", entry.address}});
      entry.incarnation = 0;
      entry.awaiting_contact_since = now.steady;
      m_network->Disconnect(current->first);
    }
    if (!entry.is_seed && now.steady - std::max(entry.last_contact, entry.awaiting_contact_since) >
                              kForgetEntryTimeout) {
      m_log->Record(DecisionClass::kStateChange, "entry_forgotten", {},
                    {{"address", entry.address}});
      m_entries.erase(current);
    }
  }
}

std::vector<std::string> DispatchProcess::LiveEntryAddresses(Now now) const {
  std::vector<std::string> addresses;
  for (const auto& [id, entry] : m_entries) {
    if (entry.incarnation != 0 && now.steady <= entry.live_until) {
      addresses.push_back(entry.address);
    }
  }
  return addresses;
}

std::vector<NodeId> DispatchProcess::LiveEntries(Now now) const {
  std::vector<NodeId> live;
  for (const auto& [id, entry] : m_entries) {
    if (entry.incarnation != 0 && now.steady <= entry.live_until) live.push_back(id);
  }
  return live;
}

std::uint64_t DispatchProcess::LiveEntriesDigest(Now now) const {
  std::uint64_t digest = 0;
  for (const NodeId id : LiveEntries(now)) digest ^= id;
  return digest;
}

void DispatchProcess::MergeDocuments(const AgreedState& state, std::string_view source, Now now) {
  const Version before = m_documents.newest();
  if (!m_documents.Merge(state)) return;
  m_log->Record(DecisionClass::kStateChange, "configuration_taken", {},
                {{"source", source},
                 {"version", static_cast<std::int64_t>(m_documents.newest())},
                 {"before", static_cast<std::int64_t>(before)}});
  OnDocuments(source, now);
}

void DispatchProcess::OnPeerVersion(NodeRef peer, Version version, Now now) {
  const Version own = m_documents.newest();
  if (!m_document_sync.OnPeerVersion(version, own, document_request_delay(), now)) return;
  ++m_document_requests;
  m_log->Record(DecisionClass::kStateChange, "documents_requested", {},
                {{"peer", static_cast<std::int64_t>(peer.id)},
                 {"version", static_cast<std::int64_t>(version)},
                 {"own", static_cast<std::int64_t>(own)}});
  Send(peer, StateRequest{own});
}

void DispatchProcess::OnHttpRefused(const Error& reason, const std::string& remote_address) {
  m_http_refusals.Add(reason.kind);
  m_log->Record(DecisionClass::kAnomaly, "request_unreadable", {},
                {{"remote", remote_address},
                 {"reason", ErrorAnswerOf(reason.kind).name},
                 {"detail", reason.detail}});
}

void DispatchProcess::AddCommonMetrics(MetricsPage& page) const {
  page.AddNetwork(m_network->counters(), 0);
  page.AddHttp(main_server()->counters(), m_http_refusals);
  page.AddGauge("document_version", "Newest version of the operators' documents",
                static_cast<double>(m_documents.newest()));
  page.AddCounter("document_requests_total", "Requests to a peer for newer documents",
                  m_document_requests);
  page.AddGauge("known_entries", "Entries known", static_cast<double>(m_entries.size()));
  page.AddCounter("log_lines_dropped_total", "Log lines over the budget", m_log->dropped_lines());
}

void DispatchProcess::OnEnvelope(Envelope envelope) {
  const Now now = ReadBootClocks();
  // Addressed to an earlier incarnation of this process.
  if (envelope.to.incarnation != 0 && envelope.to.incarnation != m_self.incarnation) return;
  if (const auto* state = std::get_if<AgreedState>(&envelope.message)) {
    MergeDocuments(*state, "peer", now);
    return;
  }
  if (const auto* request = std::get_if<StateRequest>(&envelope.message)) {
    Send(envelope.from, m_documents.After(request->after));
    return;
  }
  OnMessage(envelope, now);
}

void DispatchProcess::OnConnected(NodeRef peer) { OnPeerConnected(peer, ReadBootClocks()); }

void DispatchProcess::OnDisconnected(NodeRef /*peer*/) {
  // Entries are considered lost when silent, not when disconnected; the next message reconnects.
}

void DispatchProcess::OnRefused(const std::string& remote_address, const Error& reason) {
  m_log->Record(DecisionClass::kStateChange, "connection_refused", {},
                {{"remote", remote_address},
                 {"kind", ErrorAnswerOf(reason.kind).name},
                 {"detail", reason.detail}});
}

}  // namespace foxtailrudder
