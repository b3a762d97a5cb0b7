#pragma once

/// Framing, message codec, connections between processes, and queues between threads.

#include "transport/bounded_ring.h"  // IWYU pragma: export
#include "transport/codec.h"         // IWYU pragma: export
#include "transport/frame.h"         // IWYU pragma: export
#include "transport/network.h"       // IWYU pragma: export
