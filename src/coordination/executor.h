#pragma once

#include <memory>

#include "coordination/cluster_view.h"
#include "model/model.h"

namespace foxtailrudder {

/// Starts tasks on the endpoint of one sidecar and keeps a record of every start until its
/// retention ends. Has no queue: a task is accepted only if a slot is free.
class Executor {
 public:
  explicit Executor(Counters* counters);
  Executor(Executor&&) noexcept;
  Executor& operator=(Executor&&) noexcept;
  ~Executor();

  /// Sets the announced endpoint; nullopt if none is announced.
  void SetEndpoint(std::optional<EndpointInfo> endpoint);
  /// A leaving endpoint starts no new tasks.
  void SetLeaving(bool leaving);

  /// Handles DispatchTask, CancelTask, TaskQuery and the start records of EvidenceRequest.
  /// Returns false for other messages.
  bool OnMessage(const Envelope& envelope, const ClusterView& view, const PermitHolder& permit,
                 Now now, Outbox& out);

  /// The endpoint returned a result, failed or was lost after the start of the task.
  void OnTaskDone(const TaskRef& task, TaskOutcome outcome, const ClusterView& view, Now now,
                  Outbox& out);
  /// The task certainly did not run: its permit or start deadline expired just before the start, or
  /// the endpoint refused it before starting it.
  void OnTaskNotStarted(const TaskRef& task, ErrorKind reason, const ClusterView& view, Now now,
                        Outbox& out);

  void Tick(const ClusterView& view, Now now, Outbox& out);

  std::uint32_t running() const;
  std::uint32_t free_slots() const;
  std::size_t start_records() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
