#include "app/ctl.h"

#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <random>

#include "app/internal/ctl_client.h"
#include "app/internal/ctl_table.h"
#include "app/internal/operator_codec.h"
#include "config/config.h"
#include "http/target.h"

namespace foxtailrudder {
namespace {

namespace json = boost::json;

constexpr double kDefaultTimeoutSeconds = 15;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string NewChangeId() {
  std::random_device device;
  char text[40];
  std::snprintf(text, sizeof(text), "%08x-%08x-%08x", device(), device(), device());
  return text;
}

}  // namespace

class Ctl::Impl {
 public:
  explicit Impl(CLI::App& app) {
    m_ctl = app.add_subcommand("ctl", "Operators' client");
    m_ctl->require_subcommand(1);
    m_ctl->add_option("--entry", m_entries, "HTTP address of an entry, ip:port; repeat for more")
        ->envname("FOXTAILRUDDER_ENTRY")
        ->delimiter(',');
    m_ctl->add_option("--operator", m_operator, "Name of the operator who makes the change")
        ->envname("FOXTAILRUDDER_OPERATOR");
    m_ctl->add_option("--config", m_config, "Settings file (JSON) that gives entry and operator");
    m_ctl->add_option("--output", m_output, "Output format")
        ->check(CLI::IsMember({"table", "json"}));
    m_ctl
        ->add_option("--timeout", m_timeout_seconds, "Seconds to wait for answers and for in force")
        ->check(CLI::PositiveNumber);
    m_ctl->add_option(
        "--change-id", m_change_id,
        "Change id; give the same one again to repeat a change whose answer was lost");
    m_ctl->add_option("--expected-version", m_expected_version,
                      "Refuse the change unless the item still has this version");
    m_ctl->fallthrough();
    AddBundle();
    AddZone();
    AddEndpoint();
    AddEntry();
    AddJob();
    AddCommand(*m_ctl, "status", "State of an entry and of what it knows",
               [this] { return PrintResult(client().Get("/v1/operator/status")); });
  }

  bool IsChosen() const { return m_ctl->parsed(); }

  ExitStatus Run() {
    if (!m_selected) return ExitStatus::kUsage;
    if (const auto faults = ReadConfig()) {
      return Fail(ExitStatus::kUsage, m_config + " is invalid:\n" + *faults);
    }
    return m_selected();
  }

 private:
  /// Fills in options missing from the command line from the settings file. Returns its errors.
  std::optional<std::string> ReadConfig() {
    if (m_config.empty()) return std::nullopt;
    auto parsed = CtlSettings::ParseFile(m_config);
    if (const auto* faults = std::get_if<Faults>(&parsed)) return FormatFaults(*faults);
    const auto& settings = std::get<CtlSettings>(parsed);
    if (m_entries.empty()) m_entries = {settings.entry};
    if (m_operator.empty()) m_operator = settings.operator_name;
    return std::nullopt;
  }

  CLI::App* AddCommand(CLI::App& parent, const std::string& name, const std::string& help,
                       std::function<ExitStatus()> run) {
    CLI::App* command = parent.add_subcommand(name, help);
    command->callback([this, run = std::move(run)] { m_selected = run; });
    command->fallthrough();
    return command;
  }

  CLI::App* AddGroup(const std::string& name, const std::string& help) {
    CLI::App* group = m_ctl->add_subcommand(name, help);
    group->require_subcommand(1);
    group->fallthrough();
    return group;
  }

  void AddBundle() {
    CLI::App* bundle = AddGroup("bundle", "Configuration bundles");
    AddCommand(*bundle, "validate", "Check a bundle file and list every fault",
               [this] { return ValidateBundle(); })
        ->add_option("file", m_file, "Bundle file")
        ->required();
    AddCommand(*bundle, "propose", "Propose a bundle for approval",
               [this] { return ProposeBundleFile(); })
        ->add_option("file", m_file, "Bundle file")
        ->required();
    AddCommand(*bundle, "approve", "Approve a proposed bundle and wait until it is in force",
               [this] { return ApproveProposal(); })
        ->add_option("digest", m_name, "Digest of the proposal")
        ->required();
    AddCommand(*bundle, "status", "The accepted bundle and the proposals",
               [this] { return PrintResult(client().Get("/v1/operator/bundle")); });
    AddCommand(*bundle, "history", "Accepted bundles, newest first",
               [this] { return PrintResult(client().Get("/v1/operator/bundle")); });
    AddCommand(*bundle, "show", "Text of the accepted bundle",
               [this] { return PrintResult(client().Get("/v1/operator/bundle/text")); });
  }

  void AddZone() {
    CLI::App* zone = AddGroup("zone", "Availability zones");
    AddCommand(*zone, "take-out", "Take a zone out of service and wait until that is in force",
               [this] { return SetZone(ZoneState::kOut); })
        ->add_option("zone", m_name, "Zone")
        ->required();
    AddCommand(*zone, "return", "Return a zone to service",
               [this] { return SetZone(ZoneState::kIn); })
        ->add_option("zone", m_name, "Zone")
        ->required();
    AddCommand(*zone, "status", "State of every zone",
               [this] { return PrintResult(client().Get("/v1/operator/zones")); });
  }

  void AddEndpoint() {
    CLI::App* endpoint = AddGroup("endpoint", "Endpoints");
    AddCommand(*endpoint, "list", "Endpoints that have announced themselves",
               [this] { return PrintResult(client().Get("/v1/operator/endpoints")); });
    AddCommand(*endpoint, "drain", "Give an endpoint no new work",
               [this] { return SetDrain(true); })
        ->add_option("name", m_name, "Name of the endpoint's sidecar")
        ->required();
    AddCommand(*endpoint, "undrain", "Give an endpoint work again",
               [this] { return SetDrain(false); })
        ->add_option("name", m_name, "Name of the endpoint's sidecar")
        ->required();
  }

  void AddEntry() {
    CLI::App* entry = AddGroup("entry", "Entries");
    AddCommand(*entry, "forget", "Remove a listed entry that is known to be gone",
               [this] { return SendChange(ForgetEntry{m_name}, false); })
        ->add_option("name", m_name, "Name of the entry")
        ->required();
  }

  void AddJob() {
    CLI::App* job = AddGroup("job", "Jobs");
    CLI::App* submit = AddCommand(*job, "submit", "Submit a job file and wait for the answer",
                                  [this] { return SubmitJob(); });
    submit->add_option("file", m_file, "Job file")->required();
    submit->add_option("--key", m_key, "Idempotency key")->required();
    submit->add_flag("--async", m_async, "Do not wait for the answer");
    for (const bool cancel : {false, true}) {
      CLI::App* command = AddCommand(
          *job, cancel ? "cancel" : "status", cancel ? "Cancel a job" : "State or answer of a job",
          [this, cancel] { return JobState(cancel ? "DELETE" : "GET"); });
      command->add_option("team", m_team, "Team")->required();
      command->add_option("key", m_key, "Idempotency key")->required();
    }
  }

  CtlClient& client() {
    if (!m_client) {
      const std::chrono::duration<double> timeout(m_timeout_seconds);
      m_client = std::make_unique<CtlClient>(
          m_entries, std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
    }
    return *m_client;
  }

  ExitStatus Fail(ExitStatus status, const std::string& message) {
    std::fprintf(stderr, "foxtailrudder ctl: %s\n", message.c_str());
    return status;
  }

  ExitStatus PrintResult(const CtlResult& result) {
    if (const auto* failure = std::get_if<CtlFailure>(&result)) {
      return Fail(failure->status, failure->message);
    }
    const std::string& body = std::get<CtlAnswer>(result).body;
    const std::string text = m_output == "json" ? body + "\n" : FormatTable(body);
    std::fputs(text.c_str(), stdout);
    return ExitStatus::kOk;
  }

  ExitStatus ValidateBundle() {
    const auto text = ReadFile(m_file);
    if (!text) return Fail(ExitStatus::kUsage, "cannot read " + m_file);
    const auto parsed = ParseBundle(*text);
    if (const auto* faults = std::get_if<Faults>(&parsed)) {
      return Fail(ExitStatus::kUsage, m_file + " is invalid:\n" + FormatFaults(*faults));
    }
    std::printf("%s is valid, digest %s\n", m_file.c_str(), DigestOfBundle(*text).c_str());
    return ExitStatus::kOk;
  }

  ExitStatus ProposeBundleFile() {
    const auto text = ReadFile(m_file);
    if (!text) return Fail(ExitStatus::kUsage, "cannot read " + m_file);
    const std::string digest = DigestOfBundle(*text);
    const ExitStatus status = SendChange(ProposeBundle{digest, *text}, false);
    if (status == ExitStatus::kOk && m_output == "table")
      std::printf("digest  %s\n", digest.c_str());
    return status;
  }

  ExitStatus ApproveProposal() {
    if (!m_expected_version) {
      // Without an expected version, expect the version of the currently accepted bundle.
      const CtlResult result = client().Get("/v1/operator/bundle");
      if (std::holds_alternative<CtlFailure>(result)) return PrintResult(result);
      const json::value bundle = json::parse(std::get<CtlAnswer>(result).body);
      m_expected_version = bundle.at("accepted").at("version").to_number<Version>();
    }
    return SendChange(ApproveBundle{m_name, *m_expected_version}, true);
  }

  ExitStatus SetZone(ZoneState state) {
    return SendChange(SetZoneState{m_name, state, m_expected_version}, true);
  }

  ExitStatus SetDrain(bool drain) { return SendChange(SetEndpointDrain{m_name, drain}, true); }

  template <typename Kind>
  ExitStatus SendChange(Kind kind, bool wait) {
    if (m_operator.empty()) return Fail(ExitStatus::kUsage, "a change needs --operator NAME");
    OperatorChange change;
    change.change_id = m_change_id.empty() ? NewChangeId() : m_change_id;
    change.operator_name = m_operator;
    change.change = std::move(kind);
    const CtlResult result =
        client().Send("POST", "/v1/operator/changes", {}, FormatOperatorChange(change));
    if (const auto* failure = std::get_if<CtlFailure>(&result)) {
      return Fail(failure->status, failure->message + " (change id " + change.change_id + ")");
    }
    const ExitStatus shown = PrintResult(result);
    if (!wait) return shown;

    const json::value applied = json::parse(std::get<CtlAnswer>(result).body);
    const auto version = applied.at("control_version").to_number<Version>();
    const CtlResult in_force = client().WaitInForce(version, m_output == "table");
    if (const auto* failure = std::get_if<CtlFailure>(&in_force)) {
      return Fail(failure->status, failure->message);
    }
    if (m_output == "table") std::printf("in force\n");
    return ExitStatus::kOk;
  }

  ExitStatus SubmitJob() {
    auto text = ReadFile(m_file);
    if (!text) return Fail(ExitStatus::kUsage, "cannot read " + m_file);
    HttpHeaders headers;
    headers.Add("Content-Type", "application/json");
    headers.Add("Idempotency-Key", m_key);
    if (m_async) headers.Add("Prefer", "respond-async");
    return PrintResult(client().Send("POST", "/v1/jobs", headers, *text));
  }

  ExitStatus JobState(const std::string& method) {
    return PrintResult(client().Send(
        method, "/v1/jobs/" + PercentEncode(m_team) + "/" + PercentEncode(m_key), {}, {}));
  }

  CLI::App* m_ctl = nullptr;
  std::function<ExitStatus()> m_selected;
  std::unique_ptr<CtlClient> m_client;
  std::string m_config;
  std::vector<std::string> m_entries;
  std::string m_operator;
  std::string m_output = "table";
  double m_timeout_seconds = kDefaultTimeoutSeconds;
  std::string m_change_id;
  std::optional<Version> m_expected_version;
  std::string m_file;
  std::string m_name;
  std::string m_team;
  std::string m_key;
  bool m_async = false;
};

Ctl::Ctl(CLI::App& app) : m_impl(std::make_unique<Impl>(app)) {}
Ctl::~Ctl() = default;

bool Ctl::IsChosen() const { return m_impl->IsChosen(); }

ExitStatus Ctl::Run() { return m_impl->Run(); }

}  // namespace foxtailrudder
