#pragma once

#include <functional>
#include <string>

#include "app/dispatch_adapters.h"
#include "app/exit_status.h"
#include "config/config.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace foxtailrudder {

using MakeEntryAdapters =
    std::function<EntryAdapters(boost::asio::io_context&, const DispatchEntrySettings&)>;
using MakeSidecarAdapters =
    std::function<SidecarAdapters(boost::asio::io_context&, const DispatchSidecarSettings&)>;

/// Runs an entry with direct dispatch until SIGTERM or SIGINT, then drains it. The settings file is
/// reloaded when it changes.
ExitStatus RunDispatchEntry(const DispatchEntrySettings& settings, const std::string& settings_path,
                            const MakeEntryAdapters& make_adapters);

/// Runs a sidecar with direct dispatch until SIGTERM or SIGINT, then drains it. The settings file
/// is reloaded when it changes.
ExitStatus RunDispatchSidecar(const DispatchSidecarSettings& settings,
                              const std::string& settings_path,
                              const MakeSidecarAdapters& make_adapters);

}  // namespace foxtailrudder
