#pragma once

/// HTTP/1.1 server and client.

#include "http/client.h"   // IWYU pragma: export
#include "http/message.h"  // IWYU pragma: export
#include "http/server.h"   // IWYU pragma: export
