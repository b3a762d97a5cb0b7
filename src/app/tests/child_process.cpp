#include "app/tests/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace foxtailrudder::app_test {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{5};
constexpr int kExecFailedStatus = 127;

}  // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, const std::string& log_path,
                           unsigned max_descriptors) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& argument : command) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) throw std::runtime_error("cannot open " + log_path);

  // Uses fork because posix_spawn cannot set the parent-death signal. The child makes only
  // async-signal-safe calls.
  const pid_t parent = getpid();
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    if (getppid() != parent) _exit(kExecFailedStatus);
    if (max_descriptors > 0) {
      const rlimit limit{max_descriptors, max_descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(kExecFailedStatus);
  }
  close(log);
  if (m_pid < 0) throw std::runtime_error("cannot start " + command.front());
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Signal(int number) {
  // The process id cannot be reused until the process has been waited for.
  if (IsRunning()) kill(m_pid, number);
}

void ChildProcess::Kill() {
  if (m_result) return;
  Signal(SIGKILL);
  if (m_result) return;
  int status = 0;
  waitpid(m_pid, &status, 0);
  m_result = ExitResult{-1, SIGKILL};
}

std::optional<ExitResult> ChildProcess::Wait(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!m_result) {
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_result =
          WIFEXITED(status) ? ExitResult{WEXITSTATUS(status), 0} : ExitResult{-1, WTERMSIG(status)};
      break;
    }
    if (std::chrono::steady_clock::now() >= deadline) return std::nullopt;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return m_result;
}

}  // namespace foxtailrudder::app_test
