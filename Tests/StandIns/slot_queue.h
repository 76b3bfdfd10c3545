// Lets at most a fixed number of statements run; the others wait in order.

#ifndef TESTS_STANDINS_SLOT_QUEUE_H_
#define TESTS_STANDINS_SLOT_QUEUE_H_

#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace heatherwick {

class SlotQueue {
 public:
  explicit SlotQueue(uint64_t slots) : m_slots(slots) {}

  void Acquire() {
    const absl::MutexLock lock(&m_mutex);
    const uint64_t ticket = m_arrived++;
    while (ticket >= m_finished + m_slots) {
      m_freed.Wait(&m_mutex);
    }
  }
  void Release() {
    const absl::MutexLock lock(&m_mutex);
    ++m_finished;
    m_freed.SignalAll();
  }

  uint32_t Busy() const {
    const absl::MutexLock lock(&m_mutex);
    const uint64_t inside = m_arrived - m_finished;
    return static_cast<uint32_t>(inside < m_slots ? inside : m_slots);
  }
  uint32_t Queued() const {
    const absl::MutexLock lock(&m_mutex);
    const uint64_t inside = m_arrived - m_finished;
    return static_cast<uint32_t>(inside < m_slots ? 0 : inside - m_slots);
  }

 private:
  const uint64_t m_slots;
  mutable absl::Mutex m_mutex;
  absl::CondVar m_freed;
  uint64_t m_arrived ABSL_GUARDED_BY(m_mutex) = 0;
  uint64_t m_finished ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace heatherwick

#endif  // TESTS_STANDINS_SLOT_QUEUE_H_
