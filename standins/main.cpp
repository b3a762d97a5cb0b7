// Runs a simulated platform store or simulated endpoints, for tests and the demo.
#include <pthread.h>

#include <CLI/CLI.hpp>
#include <charconv>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standins/endpoint_standin.h"
#include "standins/platform_standin.h"

namespace {

using foxtailrudder::Error;
using foxtailrudder::HttpClient;
using foxtailrudder::standins::EndpointConfig;
using foxtailrudder::standins::EndpointStandin;
using foxtailrudder::standins::PlatformStandin;
using foxtailrudder::standins::Scheduler;

/// Each group of this many consecutive workers shares a rack name.
constexpr unsigned kWorkersPerRack = 3;

/// Adds offset to the port of the address; port 0 stays 0. Returns nullopt if the address is not
/// IP:PORT or the port would exceed 65535.
std::optional<std::string> OffsetPort(const std::string& address, unsigned offset) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  unsigned port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port + offset > 65535) {
    return std::nullopt;
  }
  return address.substr(0, colon + 1) + std::to_string(port == 0 ? 0 : port + offset);
}

void WaitForSignal(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

int RunPlatform(const std::string& listen, std::uint64_t seed, const sigset_t& signals) {
  auto platform = PlatformStandin::Create(listen, seed);
  if (const auto* error = std::get_if<Error>(&platform)) {
    std::cerr << "platform stand-in: " << error->detail << '\n';
    return 1;
  }
  std::cout << "listening on " << std::get<0>(platform)->address() << std::endl;
  WaitForSignal(signals);
  return 0;
}

int RunEndpoints(const EndpointConfig& base, unsigned count, const sigset_t& signals) {
  Scheduler scheduler;
  const auto client = HttpClient::Create({});
  std::vector<std::unique_ptr<EndpointStandin>> endpoints;
  for (unsigned i = 0; i < count; ++i) {
    EndpointConfig config = base;
    const auto listen = OffsetPort(base.listen, i);
    const auto sidecar = base.sidecar.empty() ? std::string() : OffsetPort(base.sidecar, i);
    if (!listen || !sidecar) {
      std::cerr << "endpoint stand-in: addresses must be IP:PORT with " << count
                << " ports from PORT on\n";
      return 2;
    }
    config.listen = *listen;
    config.sidecar = *sidecar;
    config.seed = base.seed + i;
    if (count > 1) {
      config.worker += "-" + std::to_string(i);
      config.rack += "-" + std::to_string(i / kWorkersPerRack);
    }
    auto endpoint = EndpointStandin::Create(config, *client, scheduler);
    if (const auto* error = std::get_if<Error>(&endpoint)) {
      std::cerr << "endpoint stand-in: " << error->detail << '\n';
      return 1;
    }
    endpoints.push_back(std::move(std::get<0>(endpoint)));
    std::cout << "listening on " << endpoints.back()->address() << std::endl;
  }
  WaitForSignal(signals);
  endpoints.clear();
  scheduler.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Simulated platform store and endpoints"};
  app.require_subcommand(1);

  std::uint64_t seed = 1;
  std::string platform_listen;
  auto* platform = app.add_subcommand("platform", "in-memory table service and object store");
  platform->add_option("--listen", platform_listen, "IP:PORT")->required();
  platform->add_option("--seed", seed, "random seed of the injected errors");

  EndpointConfig config;
  unsigned count = 1;
  std::int64_t min_run_ms = config.min_run_time.count();
  std::int64_t max_run_ms = config.max_run_time.count();
  auto* endpoint = app.add_subcommand("endpoint", "endpoints that hold each task for its run time");
  endpoint->add_option("--listen", config.listen, "IP:PORT of the first endpoint")->required();
  endpoint->add_option("--sidecar", config.sidecar, "IP:PORT of the first sidecar");
  endpoint->add_option("--service", config.service, "service name")->required();
  endpoint->add_option("--slots", config.slots, "maximum number of concurrent tasks")
      ->check(CLI::PositiveNumber);
  endpoint
      ->add_option("--connections", config.connections, "maximum number of connections for tasks")
      ->check(CLI::PositiveNumber);
  endpoint->add_option("--worker", config.worker, "worker name");
  endpoint->add_option("--rack", config.rack, "rack name");
  endpoint->add_option("--count", count, "number of endpoints, on consecutive ports")
      ->check(CLI::Range(1U, 1000U));
  endpoint->add_option("--min-run-ms", min_run_ms, "shortest run time of a task without run_ms");
  endpoint->add_option("--max-run-ms", max_run_ms, "longest run time of a task without run_ms");
  endpoint->add_option("--seed", config.seed, "random seed of the run times");
  CLI11_PARSE(app, argc, argv);
  if (min_run_ms < 0 || max_run_ms < min_run_ms) {
    std::cerr << "--min-run-ms must be at least 0 and at most --max-run-ms\n";
    return 2;
  }
  config.min_run_time = std::chrono::milliseconds(min_run_ms);
  config.max_run_time = std::chrono::milliseconds(max_run_ms);

  // Threads inherit the signal mask: with the signals blocked before any thread starts, only
  // sigwait receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  if (*platform) {
    return RunPlatform(platform_listen, seed, signals);
  }
  return RunEndpoints(config, count, signals);
}
