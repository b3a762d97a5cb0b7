#include "config/dispatch_settings.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

std::string SidecarJson(const std::string& more_members) {
  return R"({"name":"side-1","region":"r","zone":"z","internal_address":"127.0.0.1:1",
    "announce_address":"127.0.0.1:2","endpoint_address":"127.0.0.1:3",
    "store_address":"127.0.0.1:4","seed_entries":["127.0.0.2:9"])" +
         more_members + "}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(dispatch_settings)

// Guards against a process that fails to start because the platform gives a time limit as a
// fraction or omits it.
BOOST_AUTO_TEST_CASE(times_may_be_fractions_and_may_be_absent) {
  auto read =
      DispatchSidecarSettings::Parse(SidecarJson(R"(,"stop_grace_s":6.5,"max_run_lease_ms":800)"));
  BOOST_TEST_REQUIRE(std::holds_alternative<DispatchSidecarSettings>(read));
  BOOST_TEST((std::get<DispatchSidecarSettings>(read).stop_grace == milliseconds(6'500)));
  BOOST_TEST((std::get<DispatchSidecarSettings>(read).max_run_lease == milliseconds(800)));
  read = DispatchSidecarSettings::Parse(SidecarJson(""));
  BOOST_TEST_REQUIRE(std::holds_alternative<DispatchSidecarSettings>(read));
  BOOST_TEST((std::get<DispatchSidecarSettings>(read).max_run_lease == milliseconds(1'000)));
}

// Guards against accepting a faulty file, and against reporting only its first fault.
BOOST_AUTO_TEST_CASE(all_faults_are_reported) {
  const auto read = DispatchEntrySettings::Parse(
      R"({"name":"front 1","zone":"z","internal_address":"here","caller_address":"127.0.0.1:1",
      "readiness_address":"127.0.0.1:2","store_address":"127.0.0.1:3","seed_entries":[7],
      "stop_grace_s":"6","log_lines_per_second":{"routine":-1,"odd":2},"unknown":true})");
  BOOST_TEST_REQUIRE(std::holds_alternative<Faults>(read));
  // Faulty: name, region, internal_address, seed_entries, stop_grace_s, routine, odd, unknown.
  BOOST_TEST(std::get<Faults>(read).size() == 8U);
}

// Guards against limits that a process cannot live with, and against a platform that gives them as
// fractions or not at all.
BOOST_AUTO_TEST_CASE(limits_for_clients_are_checked) {
  const auto read = DispatchSidecarSettings::Parse(
      SidecarJson(R"(,"memory_limit_mb":128.5,"max_descriptors":4096,"max_header_fields":50,)"
                  R"("slow_client_timeout_ms":700,"idle_client_timeout_ms":900)"));
  BOOST_TEST_REQUIRE(std::holds_alternative<DispatchSidecarSettings>(read));
  const ClientSettings& clients = std::get<DispatchSidecarSettings>(read).clients;
  BOOST_TEST(clients.memory_limit_mb == 128U);
  BOOST_TEST(clients.max_descriptors == 4'096U);
  BOOST_TEST(clients.max_header_fields == 50U);
  BOOST_TEST((clients.slow_client_timeout == milliseconds(700)));
  BOOST_TEST((clients.idle_client_timeout == milliseconds(900)));
  for (const char* bad :
       {R"("memory_limit_mb":1)", R"("memory_limit_mb":"64")", R"("max_descriptors":16)",
        R"("max_descriptors":1e300)", R"("max_header_fields":3)", R"("slow_client_timeout_ms":0)",
        R"("idle_client_timeout_ms":-1)"}) {
    const auto faulty = DispatchSidecarSettings::Parse(SidecarJson("," + std::string(bad)));
    BOOST_TEST_REQUIRE(std::holds_alternative<Faults>(faulty), bad);
    BOOST_TEST(std::get<Faults>(faulty).size() == 1U, bad);
  }
}

// Guards against placement by a wrong factor: the default where the platform gives none, and a
// value that would make every remote rack look better than the near one.
BOOST_AUTO_TEST_CASE(the_factor_of_remote_racks_is_checked) {
  const std::string settings =
      R"({"name":"front-1","region":"r","zone":"z","internal_address":"127.0.0.1:1",
      "caller_address":"127.0.0.1:2","readiness_address":"127.0.0.1:3",
      "store_address":"127.0.0.1:4")";
  const auto factor_of = [&settings](const std::string& member) -> std::optional<double> {
    const auto read = DispatchEntrySettings::Parse(settings + member + "}");
    const auto* parsed = std::get_if<DispatchEntrySettings>(&read);
    return parsed == nullptr ? std::nullopt : std::optional(parsed->remote_rack_factor);
  };
  BOOST_TEST(factor_of("").value() == 1.5);
  BOOST_TEST(factor_of(R"(,"remote_rack_factor":3)").value() == 3.0);
  BOOST_TEST(factor_of(R"(,"remote_rack_factor":2.5)").value() == 2.5);
  for (const char* bad : {"0.5", "11", "\"2\"", "null", "-1"}) {
    BOOST_TEST(!factor_of(R"(,"remote_rack_factor":)" + std::string(bad)).has_value(), bad);
  }
}

BOOST_AUTO_TEST_SUITE_END()
