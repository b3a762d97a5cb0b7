#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "coordination/cluster_view.h"
#include "coordination/coordinator.h"
#include "coordination/internal/claim.h"
#include "coordination/internal/ref_less.h"
#include "model/model.h"
#include "policy/policy.h"

namespace foxtailrudder {

/// One executor and this coordinator's information about its free slots.
struct PoolMember {
  NodeRef ref;
  std::string service;
  std::string zone;
  std::string rack;
  std::uint32_t slots = 0;
  bool is_self = false;
  bool shares_zone = false;
  bool shares_rack = false;
  /// False while the member is not active, its zone is out or an operator drains the endpoint.
  bool available = true;
  WallTime zone_returned_at;
  /// Selection weight, reduced while a returned zone or a readmitted executor ramps up. Refreshed
  /// periodically, as is `ejected`.
  double weight = 1.0;
  bool ejected = false;

  /// Unanswered dispatches of this coordinator.
  std::uint32_t outstanding = 0;
  bool has_report = false;
  std::uint32_t reported_free = 0;
  std::uint32_t sent_since_report = 0;
  SteadyTime reported_at{};
  SteadyTime backoff_until{};
  std::uint32_t consecutive_refusals = 0;
  /// Total time that dispatches were open since the last finished task, up to
  /// open_time_updated_at.
  std::chrono::duration<double> open_time{0};
  SteadyTime open_time_updated_at{};
};

/// The executors of the member table. Many coordinators share the slots of an executor, so its free
/// slots are estimated from its last answer. As the answer ages, the estimate moves towards the
/// average of the service and its uncertainty grows. Tasks are dispatched to the executors that are
/// most likely to have a free slot.
class ExecutorPool {
 public:
  ExecutorPool(ChoiceKind choice, bool spread, std::uint64_t seed);

  /// Applies a new member table; keeps the state of incarnations that are still listed.
  void OnView(const ClusterView& view, Now now);
  /// Updates the weights and ejections, which change with time.
  void Refresh(const ClusterView& view, Now now);

  PoolMember* Find(NodeRef ref);
  PoolMember* FindById(NodeId id);

  /// Removes the executors that the spread rule excludes for a job of this place: a task should not
  /// have all its records in one zone or rack. Depends only on the member table and the control
  /// row, not on the load: a task waits for a free slot rather than break the rule.
  std::vector<PoolMember*> ApplySpreadRule(std::vector<PoolMember*> members,
                                           EntryPlace place) const;

  /// Collects the members that are likely to have a free slot. Returns false if there is none.
  bool CollectCandidates(const std::vector<PoolMember*>& members, Now now);
  /// Picks one of the collected candidates.
  PoolMember* Choose();

  void OnSent(PoolMember& member);
  /// A dispatch was answered by TaskFinished.
  void OnFinished(PoolMember& member, std::uint32_t free_slots, bool failed, Now now);
  void OnRefused(PoolMember& member, ErrorKind reason, std::uint32_t free_slots, Now now);
  /// A dispatch was resolved without a report of free slots.
  void OnClosed(PoolMember& member);

  Random& random() { return m_random; }

 private:
  struct ServiceLoad {
    /// Moving average, over all executors' answers, of the share of slots that are free.
    double mean_free_share = 1.0;
    /// Moving average of the time from dispatch to answer. Slots are freed at this pace, so it is
    /// also the time constant with which a report loses weight.
    std::chrono::duration<double> mean_open_time{0.3};
    SteadyTime next_probe{};
    std::chrono::milliseconds probe_delay{0};
  };

  /// The member's estimated load, as input of the load-balancing policy.
  ExecutorLoad LoadOf(const PoolMember& member, double estimated_free) const;
  double EstimatedFree(const PoolMember& member, const ServiceLoad& load, Now now) const;
  /// Weight of the last report in the estimate, 0 to 1; decays with its age.
  static double ReportConfidence(const PoolMember& member, const ServiceLoad& load, Now now);
  /// Probability that the executor has a free slot.
  static double FreeProbability(const PoolMember& member, const ServiceLoad& load, double estimate,
                                Now now);
  /// Keeps only the candidates with the highest probability of a free slot.
  void KeepMostLikelyFree();
  void AddOpenTime(PoolMember& member);
  void RecordReport(PoolMember& member, std::uint32_t free_slots, Now now);

  using Choice = std::variant<TwoChoices, LeastOutstanding, RoundRobin, RandomChoice>;

  bool m_spread;
  /// False for the baseline policies of the benchmark, which choose among all candidates.
  bool m_most_likely_free_only;
  Choice m_choice;
  Random m_random;
  EjectionTracker m_ejection;
  std::map<NodeRef, std::unique_ptr<PoolMember>, RefLess> m_members;
  std::unordered_map<std::string, ServiceLoad> m_loads;
  std::vector<PoolMember*> m_candidates;
  std::vector<ExecutorLoad> m_candidate_loads;
  std::vector<double> m_free_probabilities;
  SteadyTime m_now{};
};

}  // namespace foxtailrudder
