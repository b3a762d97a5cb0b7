#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "model/error_kind.h"
#include "model/ids.h"
#include "model/messages.h"

namespace foxtailrudder {

/// First frame sent in each direction of a connection; identifies the sender.
struct Hello {
  std::uint32_t protocol_version = kProtocolVersion;
  NodeRef node;
  std::string region;

  friend bool operator==(const Hello&, const Hello&) = default;
};

/// Serialises an envelope without the length prefix of a frame.
std::vector<std::uint8_t> Encode(const Envelope& envelope);

/// Verifies and reads an envelope. On failure, returns kMalformedFrame with the name of the invalid
/// member. Never throws.
std::variant<Envelope, Error> Decode(std::span<const std::uint8_t> bytes);

std::vector<std::uint8_t> EncodeHello(const Hello& hello);
std::variant<Hello, Error> DecodeHello(std::span<const std::uint8_t> bytes);

}  // namespace foxtailrudder
