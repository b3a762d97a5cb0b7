#include "app/entry_process.h"

#include "app/internal/entry_app.h"
#include "app/internal/run_daemon.h"

namespace foxtailrudder {

ExitStatus RunEntry(const EntrySettings& settings) {
  return RunDaemon<EntryApp>("entry", settings);
}

}  // namespace foxtailrudder
