#include "app/internal/stop_signal.h"

#include <csignal>
#include <utility>

namespace foxtailrudder {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Sent by Stop() to end the wait.
  sigaddset(&signals, SIGUSR1);
  return signals;
}

}  // namespace

StopSignal::StopSignal() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a connection that the peer has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
}

StopSignal::~StopSignal() { Stop(); }

void StopSignal::Stop() {
  if (!m_thread.joinable()) return;
  pthread_kill(m_thread.native_handle(), SIGUSR1);
  m_thread.join();
}

void StopSignal::Listen(std::function<void()> on_signal) {
  m_thread = std::thread([on_signal = std::move(on_signal)] {
    const sigset_t signals = StopSignals();
    int number = 0;
    while (sigwait(&signals, &number) == 0 && number != SIGUSR1) on_signal();
  });
}

}  // namespace foxtailrudder
