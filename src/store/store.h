#pragma once

#include <chrono>
#include <concepts>
#include <functional>
#include <memory>
#include <string>

#include "model/outputs.h"

namespace foxtailrudder {

/// Executes the store operations requested by the decision code. Each result carries the number of
/// its operation.
template <typename Store>
concept TableStore = requires(Store store, const ReadRow& read, const WriteControlRow& control,
                              const WriteMembersRow& members, const InsertClaims& insert,
                              const ReadClaims& claims, const ReleaseClaims& release,
                              const GetObject& get, const PutObject& put) {
  store.Execute(read);
  store.Execute(control);
  store.Execute(members);
  store.Execute(insert);
  store.Execute(claims);
  store.Execute(release);
  store.Execute(get);
  store.Execute(put);
};

struct StoreClientConfig {
  /// Address of the platform's table service and object store, for example "127.0.0.1:7000".
  std::string address;
  /// Region whose members row this process reads and writes.
  std::string region;
  /// Shorter than the freshness bound (kFreshnessBound), so that an entry stays fresh while the
  /// store is slow but still responds.
  std::chrono::milliseconds read_timeout{1000};
  std::chrono::milliseconds write_timeout{2000};
  std::size_t max_connections = 16;
};

/// Client of the platform's table service and object store (docs/store.md). Thread-safe. Each
/// operation is sent at most once; retries are up to the caller.
class StoreClient {
 public:
  /// Calls done exactly once for each operation, on the I/O thread, or on the calling thread if the
  /// client is stopped.
  static std::unique_ptr<StoreClient> Create(StoreClientConfig config,
                                             std::function<void(StoreResult)> done);
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;
  ~StoreClient();

  void Execute(const ReadRow& operation);
  void Execute(const WriteControlRow& operation);
  void Execute(const WriteMembersRow& operation);
  void Execute(const InsertClaims& operation);
  void Execute(const ReadClaims& operation);
  void Execute(const ReleaseClaims& operation);
  void Execute(const GetObject& operation);
  void Execute(const PutObject& operation);

  /// Ends all running operations: reads and unsent writes with kUnavailable, writes that may have
  /// been sent with kUnknown.
  void Stop();

 private:
  class Impl;
  explicit StoreClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

static_assert(TableStore<StoreClient>);

}  // namespace foxtailrudder
