#include <algorithm>

#include "coordination/internal/coordinator_impl.h"

namespace foxtailrudder {
namespace {

constexpr std::size_t kMaxHeldForwards = 10'000;
constexpr std::size_t kMaxWaitingPerClaim = 1'024;

template <typename Range, typename Value>
bool Contains(const Range& range, const Value& value) {
  return std::find(range.begin(), range.end(), value) != range.end();
}

JobProgress ProgressOf(const Claim& claim) { return {claim.queued, claim.open, claim.finished}; }

}  // namespace

void Coordinator::Impl::Reply(NodeRef to, const JobKey& key, const SubmissionId& submission,
                              JobAnswer answer, Input& in) {
  if (const auto* error = std::get_if<Error>(&answer)) m_counters->AddRefusal(error->kind);
  in.out.Send(to, JobReply{key, submission, in.view.table.version(), std::move(answer)});
}

void Coordinator::Impl::Refuse(NodeRef to, const ForwardJob& forward, ErrorKind kind,
                               std::string detail, Input& in) {
  Reply(to, forward.job.key, forward.submission, Error{kind, std::move(detail)}, in);
}

bool Coordinator::Impl::HasQueueRoom(std::size_t tasks, const Input& in) const {
  return m_queued + tasks <= in.view.bundle.limits.max_queued_tasks_per_coordinator;
}

void Coordinator::Impl::OnForwardJob(NodeRef from, const ForwardJob& forward, Input& in) {
  // A takeover requests records only from listed entries, so no job of an unlisted one may start.
  if (!in.view.table.Lists(from)) return Refuse(from, forward, ErrorKind::kNotOwner, {}, in);
  const ShardId shard = ShardOf(forward.job.key);
  const ShardPhase phase = m_ownership[shard].phase;
  if (phase == ShardPhase::kNotOwned || phase == ShardPhase::kReleased) {
    return Refuse(from, forward, ErrorKind::kNotOwner, {}, in);
  }
  if (!in.may_decide) return Refuse(from, forward, ErrorKind::kNoPermit, {}, in);
  if (phase == ShardPhase::kDeciding) return ProcessForward(from, forward, in);

  auto& held = m_held[shard];
  const bool repeated = std::any_of(held.begin(), held.end(), [&](const HeldForward& other) {
    return other.forward.submission == forward.submission;
  });
  if (repeated) return m_counters->Add(CounterId::kMessagesDuplicate);
  if (m_held_count >= kMaxHeldForwards) {
    return Refuse(from, forward, ErrorKind::kShardUnavailable, {}, in);
  }
  held.push_back({from, forward});
  ++m_held_count;
}

void Coordinator::Impl::ProcessHeld(ShardId shard, Input& in) {
  const auto found = m_held.find(shard);
  if (found == m_held.end()) return;
  const auto held = std::move(found->second);
  m_held.erase(found);
  m_held_count -= held.size();
  for (const HeldForward& item : held) OnForwardJob(item.from, item.forward, in);
}

void Coordinator::Impl::RefuseHeld(ShardId shard, Input& in) {
  if (const auto found = m_held.find(shard); found != m_held.end()) {
    m_held_count -= found->second.size();
    for (const auto& item : found->second) {
      Refuse(item.from, item.forward, ErrorKind::kNotOwner, {}, in);
    }
    m_held.erase(found);
  }
  std::erase_if(m_held_attaches, [&](const auto& item) {
    if (ShardOf(item.first) != shard) return false;
    for (const auto& held : item.second) {
      Refuse(held.from, held.forward, ErrorKind::kNotOwner, {}, in);
    }
    m_held_count -= item.second.size();
    return true;
  });
}

void Coordinator::Impl::ProcessForward(NodeRef from, const ForwardJob& forward, Input& in) {
  if (const auto refused = m_refusals.Find(forward.submission)) {
    return Refuse(from, forward, *refused, {}, in);
  }
  Claim* claim = m_options.claims ? m_claims.Find(forward.job.key) : nullptr;
  if (claim != nullptr) return ProcessKnownKey(from, forward, *claim, in);

  if (m_ownership[ShardOf(forward.job.key)].doubt_until > in.now.wall) {
    return Refuse(from, forward, ErrorKind::kOutcomeUnknown,
                  "all processes that knew this key may have been lost", in);
  }
  if (forward.attach_only) return HoldAttach(from, forward, in);
  if (forward.job.deadline <= in.now.wall) {
    return Refuse(from, forward, ErrorKind::kDeadlinePassed, {}, in);
  }
  std::optional<ErrorKind> full;
  if (m_claims.size() >= in.view.bundle.limits.max_claims_per_coordinator) {
    full = ErrorKind::kClaimTableFull;
  } else if (!HasQueueRoom(forward.job.tasks.size(), in)) {
    full = ErrorKind::kQueueFull;
  }
  if (full) {
    m_refusals.Add(forward.submission, *full, forward.job.deadline);
    Refuse(from, forward, *full, {}, in);
    return RefuseHeldAttaches(forward.job.key, *full, in);
  }
  CreateClaim(forward, in);
}

void Coordinator::Impl::RefuseHeldAttaches(const JobKey& key, ErrorKind kind, Input& in) {
  const auto found = m_held_attaches.find(key);
  if (found == m_held_attaches.end()) return;
  m_held_count -= found->second.size();
  for (const HeldForward& held : found->second) {
    m_refusals.Add(held.forward.submission, kind, held.forward.job.deadline);
    Refuse(held.from, held.forward, kind, {}, in);
  }
  m_held_attaches.erase(found);
}

void Coordinator::Impl::ProcessKnownKey(NodeRef from, const ForwardJob& forward, Claim& claim,
                                        Input& in) {
  if (claim.job.digest != forward.job.digest) {
    return Refuse(from, forward, ErrorKind::kKeyConflict, {}, in);
  }
  const SubmissionId& submission = forward.submission;
  if (Contains(claim.refused, submission)) {
    return Reply(from, claim.job.key, submission, claim.refusal, in);
  }
  if (claim.phase == JobPhase::kRefused && forward.attach_only) {
    // The durable claim of the refused submission is being released. If the job ran under it, the
    // key would be unknown once this claim is erased, and the job could run again.
    if (claim.refused.size() < kMaxWaitingPerClaim) claim.refused.push_back(submission);
    return Reply(from, claim.job.key, submission, claim.refusal, in);
  }
  if (claim.phase == JobPhase::kRefused) return ReopenClaim(from, forward, claim, in);
  if (claim.answer) return Reply(from, claim.job.key, submission, *claim.answer, in);
  if (Contains(claim.waiting, submission)) return m_counters->Add(CounterId::kMessagesDuplicate);
  if (claim.waiting.size() >= kMaxWaitingPerClaim) {
    m_refusals.Add(submission, ErrorKind::kQueueFull, forward.job.deadline);
    return Refuse(from, forward, ErrorKind::kQueueFull, "too many submissions wait for this key",
                  in);
  }
  m_counters->Add(CounterId::kJobsAttached);
  if (claim.phase == JobPhase::kDormant) return AdoptClaim(forward, claim, in);
  claim.waiting.push_back(submission);
}

void Coordinator::Impl::SetPlace(Claim& claim, NodeRef entry, const Input& in) {
  const Member* self = in.view.table.Find(in.view.self.id);
  const Member* other = in.view.table.Find(entry.id);
  claim.place = EntryPlace::kSameRack;
  if (self == nullptr || other == nullptr) return;
  if (self->zone != other->zone) {
    claim.place = EntryPlace::kOtherZone;
  } else if (self->rack != other->rack) {
    claim.place = EntryPlace::kSameZone;
  }
}

void Coordinator::Impl::CreateClaim(const ForwardJob& forward, Input& in) {
  m_counters->Add(CounterId::kJobsSubmitted);
  Claim& claim = m_claims.Add(forward.job, forward.job.deadline);
  claim.waiting.push_back(forward.submission);
  SetPlace(claim, forward.submission.entry, in);
  claim.tasks.resize(claim.job.tasks.size());
  for (std::uint32_t index = 0; index < claim.tasks.size(); ++index) Enqueue(claim, index, in);
  AttachHeld(claim, in);
  DispatchQueued(m_queues.GroupOf(in.view, m_pool, claim), in);
}

void Coordinator::Impl::AdoptClaim(const ForwardJob& forward, Claim& claim, Input& in) {
  if (!FireJob(claim.phase, JobEvent::kAdopt)) return CountIgnored();
  const WallTime deadline = std::max(claim.job.deadline, forward.job.deadline);
  claim.job = forward.job;
  claim.job.deadline = deadline;
  claim.waiting.push_back(forward.submission);
  SetPlace(claim, forward.submission.entry, in);
  const std::size_t known = claim.tasks.size();
  claim.tasks.resize(claim.job.tasks.size());
  m_claims.SetNextEvent(claim, deadline);
  for (std::uint32_t index = 0; index < claim.tasks.size(); ++index) {
    if (index < known && claim.tasks[index].phase != TaskPhase::kQueued) continue;
    if (!claim.unstarted_may_run) {
      claim.failure = Error{ErrorKind::kOutcomeUnknown, "task " + claim.job.tasks[index].id};
      break;
    }
    Enqueue(claim, index, in);
  }
  AttachHeld(claim, in);
  EndJobIfDone(claim, in);
  DispatchQueued(m_queues.GroupOf(in.view, m_pool, claim), in);
}

void Coordinator::Impl::ReopenClaim(NodeRef from, const ForwardJob& forward, Claim& claim,
                                    Input& in) {
  if (forward.job.deadline <= in.now.wall) {
    return Refuse(from, forward, ErrorKind::kDeadlinePassed, {}, in);
  }
  if (!HasQueueRoom(forward.job.tasks.size(), in)) {
    m_refusals.Add(forward.submission, ErrorKind::kQueueFull, forward.job.deadline);
    return Refuse(from, forward, ErrorKind::kQueueFull, {}, in);
  }
  if (!FireJob(claim.phase, JobEvent::kReopen)) return CountIgnored();
  m_counters->Add(CounterId::kJobsSubmitted);
  claim.job = forward.job;
  claim.answer.reset();
  claim.failure.reset();
  claim.cancelled = false;
  claim.waiting = {forward.submission};
  SetPlace(claim, forward.submission.entry, in);
  // Epochs continue, so that outdated queue items are not mistaken for the new ones.
  claim.tasks.resize(claim.job.tasks.size());
  for (TaskSlot& task : claim.tasks) {
    TaskSlot fresh;
    fresh.queue_epoch = task.queue_epoch;
    task = fresh;
  }
  m_claims.SetNextEvent(claim, claim.job.deadline);
  for (std::uint32_t index = 0; index < claim.tasks.size(); ++index) Enqueue(claim, index, in);
  AttachHeld(claim, in);
  DispatchQueued(m_queues.GroupOf(in.view, m_pool, claim), in);
}

void Coordinator::Impl::HoldAttach(NodeRef from, const ForwardJob& forward, Input& in) {
  if (forward.job.deadline <= in.now.wall) {
    return Refuse(from, forward, ErrorKind::kOutcomeUnknown, "the claim of the key was not found",
                  in);
  }
  auto& held = m_held_attaches[forward.job.key];
  const bool repeated = std::any_of(held.begin(), held.end(), [&](const HeldForward& other) {
    return other.forward.submission == forward.submission;
  });
  if (repeated) return;
  if (m_held_count >= kMaxHeldForwards) {
    return Refuse(from, forward, ErrorKind::kOutcomeUnknown, "too many submissions wait", in);
  }
  held.push_back({from, forward});
  ++m_held_count;
}

void Coordinator::Impl::AttachHeld(Claim& claim, Input& in) {
  if (m_held_attaches.empty()) return;
  const auto found = m_held_attaches.find(claim.job.key);
  if (found == m_held_attaches.end()) return;
  const auto held = std::move(found->second);
  m_held_attaches.erase(found);
  m_held_count -= held.size();
  for (const auto& item : held) ProcessKnownKey(item.from, item.forward, claim, in);
}

void Coordinator::Impl::ExpireHeldAttaches(Input& in) {
  if (!in.may_decide) return;
  for (auto it = m_held_attaches.begin(); it != m_held_attaches.end();) {
    m_held_count -= std::erase_if(it->second, [&](const HeldForward& held) {
      if (held.forward.job.deadline > in.now.wall) return false;
      Refuse(held.from, held.forward, ErrorKind::kOutcomeUnknown,
             "the claim of the key was not found", in);
      return true;
    });
    it = it->second.empty() ? m_held_attaches.erase(it) : std::next(it);
  }
}

void Coordinator::Impl::OnCancelJob(NodeRef from, const CancelJob& cancel, Input& in) {
  if (!in.view.table.Lists(from)) return;
  const auto reply = [&](decltype(JobStatus::state) state) {
    in.out.Send(from, JobStatus{cancel.key, cancel.submission, std::move(state)});
  };
  const ShardId shard = ShardOf(cancel.key);
  const ShardPhase phase = m_ownership[shard].phase;
  if (phase == ShardPhase::kNotOwned || phase == ShardPhase::kReleased) {
    return reply(Error{ErrorKind::kNotOwner, {}});
  }
  if (!in.may_decide) return reply(Error{ErrorKind::kNoPermit, {}});
  if (phase != ShardPhase::kDeciding) return reply(Error{ErrorKind::kShardUnavailable, {}});
  Claim* claim = m_claims.Find(cancel.key);
  if (claim == nullptr) {
    const bool doubtful = m_ownership[shard].doubt_until > in.now.wall;
    return reply(Error{doubtful ? ErrorKind::kOutcomeUnknown : ErrorKind::kNotFound, {}});
  }
  if (!claim->answer) {
    claim->cancelled = true;
    if (claim->phase == JobPhase::kDormant) {
      FailJob(*claim, {ErrorKind::kCancelled, {}}, in);
    } else {
      EndJobIfDone(*claim, in);
    }
  }
  if (!claim->answer) return reply(ProgressOf(*claim));
  std::visit([&](const auto& answer) { reply(answer); }, *claim->answer);
}

void Coordinator::Impl::OnQueryJob(NodeRef from, const QueryJob& query, Input& in) {
  if (!in.view.table.Lists(from)) return;
  const auto reply = [&](decltype(JobStatus::state) state) {
    in.out.Send(from, JobStatus{query.key, query.submission, std::move(state)});
  };
  const ShardId shard = ShardOf(query.key);
  const ShardPhase phase = m_ownership[shard].phase;
  if (phase == ShardPhase::kNotOwned || phase == ShardPhase::kReleased) {
    return reply(Error{ErrorKind::kNotOwner, {}});
  }
  if (!in.may_decide) return reply(Error{ErrorKind::kNoPermit, {}});
  if (phase != ShardPhase::kDeciding) return reply(Error{ErrorKind::kShardUnavailable, {}});
  const Claim* claim = m_claims.Find(query.key);
  if (claim == nullptr) {
    const bool doubtful = m_ownership[shard].doubt_until > in.now.wall;
    return reply(Error{doubtful ? ErrorKind::kOutcomeUnknown : ErrorKind::kNotFound, {}});
  }
  if (!claim->answer) return reply(ProgressOf(*claim));
  std::visit([&](const auto& answer) { reply(answer); }, *claim->answer);
}

}  // namespace foxtailrudder
