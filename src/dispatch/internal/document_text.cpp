#include "dispatch/document_text.h"

#include <zlib.h>

#include <array>

namespace foxtailrudder {
namespace {

constexpr std::size_t kMinCompressedBytes = 4'096;
constexpr std::size_t kMaxTextBytes = 16U << 20U;
constexpr std::size_t kChunkBytes = 16U << 10U;

/// Window and hash table of 32 KiB together: most of zlib's ratio for a fraction of its memory.
constexpr int kWindowBits = 12;
constexpr int kMemoryLevel = 5;

Bytef* InputOf(const std::string& text) {
  // zlib does not write to its input.
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));  // NOLINT
}

/// Calls step(stream) until it stops, and appends what it writes to `out`. Returns the last status.
template <typename Step>
int RunToEnd(z_stream& stream, std::string& out, Step step) {
  std::array<char, kChunkBytes> chunk{};
  int status = Z_OK;
  while (status == Z_OK) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());  // NOLINT
    stream.avail_out = chunk.size();
    status = step(stream);
    out.append(chunk.data(), chunk.size() - stream.avail_out);
    if (out.size() > kMaxTextBytes) return Z_BUF_ERROR;
  }
  return status;
}

}  // namespace

void CompressText(StateDocument& document) {
  if (document.is_compressed || document.text.size() < kMinCompressedBytes) return;
  z_stream stream{};
  if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, kWindowBits, kMemoryLevel,
                   Z_DEFAULT_STRATEGY) != Z_OK) {
    return;
  }
  stream.next_in = InputOf(document.text);
  stream.avail_in = static_cast<uInt>(document.text.size());
  std::string compressed;
  const int status =
      RunToEnd(stream, compressed, [](z_stream& step) { return deflate(&step, Z_FINISH); });
  deflateEnd(&stream);
  // Without compression the document is larger, but complete.
  if (status != Z_STREAM_END) return;
  document.text = std::move(compressed);
  document.is_compressed = true;
}

std::variant<std::string, Error> TextOf(const StateDocument& document) {
  if (!document.is_compressed) return document.text;
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) return Error{ErrorKind::kInternal, "no memory to decompress"};
  stream.next_in = InputOf(document.text);
  stream.avail_in = static_cast<uInt>(document.text.size());
  std::string text;
  const int status =
      RunToEnd(stream, text, [](z_stream& step) { return inflate(&step, Z_NO_FLUSH); });
  inflateEnd(&stream);
  if (status != Z_STREAM_END) {
    return Error{ErrorKind::kInvalidBundle, "compressed text of " + document.name + " is damaged"};
  }
  return text;
}

}  // namespace foxtailrudder
