#include "app/sidecar_process.h"

#include "app/internal/run_daemon.h"
#include "app/internal/sidecar_app.h"

namespace foxtailrudder {

ExitStatus RunSidecar(const SidecarSettings& settings) {
  return RunDaemon<SidecarApp>("sidecar", settings);
}

}  // namespace foxtailrudder
