#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace foxtailrudder::app_test {

/// How a process ended.
struct ExitResult {
  /// Exit status, or -1 if a signal terminated the process.
  int status = -1;
  /// Signal that terminated the process, or 0.
  int signal = 0;
};

/// A process started by a test. The destructor kills it, and the kernel kills it if the test
/// program dies.
class ChildProcess {
 public:
  /// Appends standard output and standard error to the log file. Must be called from the main
  /// thread, because the kernel kills the child when the thread that started it ends. If
  /// `max_descriptors` is not 0, it is the process's limit of open file descriptors.
  ChildProcess(std::vector<std::string> command, const std::string& log_path,
               unsigned max_descriptors = 0);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  pid_t pid() const { return m_pid; }

  /// Sends the signal. Has no effect if the process has ended.
  void Signal(int number);
  /// Sends SIGKILL and waits until the process has ended.
  void Kill();
  /// Waits until the process ends. Returns nothing if it is still running after the timeout.
  std::optional<ExitResult> Wait(std::chrono::milliseconds timeout);
  bool IsRunning() { return !Wait(std::chrono::milliseconds(0)).has_value(); }

 private:
  pid_t m_pid = -1;
  std::optional<ExitResult> m_result;
};

}  // namespace foxtailrudder::app_test
