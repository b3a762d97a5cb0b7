#pragma once

#include <CLI/CLI.hpp>

#include "app/exit_status.h"

namespace foxtailrudder {

/// The operators' command-line client. Adds its subcommands to an application and runs the selected
/// one.
class Ctl {
 public:
  /// Adds `ctl` and its subcommands.
  explicit Ctl(CLI::App& app);
  Ctl(const Ctl&) = delete;
  Ctl& operator=(const Ctl&) = delete;
  ~Ctl();

  /// True if `ctl` was given on the command line.
  bool IsChosen() const;
  ExitStatus Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
