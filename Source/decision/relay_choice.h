// Chooses the source from which an instance reads a table next, from what
// became of earlier attempts. See relay_plan.h for the sources.

#ifndef SOURCE_DECISION_RELAY_CHOICE_H_
#define SOURCE_DECISION_RELAY_CHOICE_H_

#include <map>
#include <utility>

#include "Source/base/types.h"
#include "Source/decision/relay_plan.h"
#include "absl/time/time.h"

namespace heatherwick {

class RelayChoice {
 public:
  struct Next {
    RelaySource source;
    // Time to wait before the source is asked.
    absl::Duration delay;
    // The source differs from the one of the last reading.
    bool switched = false;
    // The source is asked for what it has at once, because it is another one or
    // the last attempt failed.
    bool immediate = false;
  };

  void SetPlan(RelayPlan plan) { m_plan = std::move(plan); }
  const RelayPlan& Plan() const { return m_plan; }

  Next Choose(absl::Time now);

  // The source delivered a recent reading.
  void OnReading(const RelaySource& source);
  // The source answered that it has no recent reading, or delivered one that
  // stems from this instance.
  void OnCannotRead(const RelaySource& source, absl::Time now);
  // The source did not answer.
  void OnUnresponsive(const RelaySource& source, absl::Time now);

 private:
  struct Avoided {
    absl::Time until = absl::InfinitePast();
    absl::Duration duration;  // Of the latest avoidance.
    bool unresponsive = false;
  };

  void Avoid(const RelaySource& source,
             absl::Duration first,
             absl::Duration longest,
             absl::Time now);
  bool IsAvoided(const RelaySource& source, absl::Time now) const;

  RelayPlan m_plan;
  std::map<InstanceId, Avoided> m_avoided;  // The store has an empty id.
  RelaySource m_current;
  bool m_last_failed = false;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_RELAY_CHOICE_H_
