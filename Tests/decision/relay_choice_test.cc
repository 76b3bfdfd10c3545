// Tests which source of a table is asked next after failures.

#include "Source/decision/relay_choice.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class RelayChoiceFixture {
 protected:
  RelayChoiceFixture() { m_choice.SetPlan({{{"parent"}, {"reader"}}, 2}); }

  RelaySource Choose() { return m_choice.Choose(m_now).source; }
  void Pass(absl::Duration time) { m_now += time; }

  const RelaySource m_parent{"parent"};
  const RelaySource m_reader{"reader"};
  const RelaySource m_store;
  RelayChoice m_choice;
  absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
};

TEST_CASE_FIXTURE(RelayChoiceFixture,
                  "RelayChoice_ParentUnresponsive_NextIsAskedForAWhile") {
  CHECK(Choose() == m_parent);
  m_choice.OnUnresponsive(m_parent, m_now);
  const RelayChoice::Next next = m_choice.Choose(m_now);
  CHECK(next.source == m_reader);
  CHECK(next.switched);
  CHECK(next.delay == absl::ZeroDuration());
  m_choice.OnReading(m_reader);
  CHECK(!m_choice.Choose(m_now).switched);
  Pass(absl::Seconds(4));
  CHECK(Choose() == m_parent);
}

// Guards against a machine that is gone for good and costs a time-out again and
// again.
TEST_CASE_FIXTURE(RelayChoiceFixture,
                  "RelayChoice_ParentStaysUnresponsive_IsAskedMoreSeldom") {
  int asked = 0;
  for (int second = 0; second < 300; ++second) {
    if (Choose() == m_parent) {
      ++asked;
      m_choice.OnUnresponsive(m_parent, m_now);
    }
    Pass(absl::Seconds(1));
  }
  CHECK(asked <= 16);
}

TEST_CASE_FIXTURE(RelayChoiceFixture,
                  "RelayChoice_AllPeersSilent_ReadsTheStore") {
  m_choice.OnUnresponsive(m_parent, m_now);
  m_choice.OnUnresponsive(m_reader, m_now);
  CHECK(Choose() == m_store);
}

// Guards against calls by all instances while the store is down.
TEST_CASE_FIXTURE(RelayChoiceFixture,
                  "RelayChoice_PeersCannotRead_WaitsForThem") {
  m_choice.OnCannotRead(m_parent, m_now);
  m_choice.OnCannotRead(m_reader, m_now);
  const RelayChoice::Next next = m_choice.Choose(m_now);
  CHECK(!next.source.IsStore());
  CHECK(next.delay > absl::ZeroDuration());
}

TEST_CASE_FIXTURE(RelayChoiceFixture,
                  "RelayChoice_StoreFailsOnce_IsAskedAgainAtOnce") {
  m_choice.SetPlan({{{}, {"other"}}, 0});
  m_choice.OnCannotRead(m_store, m_now);
  CHECK(Choose() == m_store);
  m_choice.OnCannotRead(m_store, m_now);
  CHECK(Choose() == RelaySource{"other"});
}

TEST_CASE_FIXTURE(RelayChoiceFixture, "RelayChoice_StoreDown_CallsAreBounded") {
  m_choice.SetPlan({{{}}, 0});
  int calls = 0;
  for (absl::Duration time; time < absl::Seconds(10);
       time += absl::Milliseconds(10)) {
    const RelayChoice::Next next = m_choice.Choose(m_now);
    if (next.delay == absl::ZeroDuration()) {
      ++calls;
      m_choice.OnCannotRead(m_store, m_now);
    }
    Pass(absl::Milliseconds(10));
  }
  CHECK(calls <= 45);
  // The end of the outage is noticed soon.
  CHECK(m_choice.Choose(m_now).delay <= absl::Milliseconds(250));
}

}  // namespace
}  // namespace heatherwick
