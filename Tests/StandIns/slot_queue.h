// Limits how many statements run at once; the others wait in the order of
// their arrival.

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
      m_slot_released.Wait(&m_mutex);
    }
  }
  void Release() {
    const absl::MutexLock lock(&m_mutex);
    ++m_finished;
    m_slot_released.SignalAll();
  }

  uint32_t Busy() const {
    const absl::MutexLock lock(&m_mutex);
    const uint64_t unfinished = m_arrived - m_finished;
    return static_cast<uint32_t>(unfinished < m_slots ? unfinished : m_slots);
  }
  uint32_t Queued() const {
    const absl::MutexLock lock(&m_mutex);
    const uint64_t unfinished = m_arrived - m_finished;
    return static_cast<uint32_t>(unfinished < m_slots ? 0
                                                      : unfinished - m_slots);
  }

 private:
  const uint64_t m_slots;
  mutable absl::Mutex m_mutex;
  absl::CondVar m_slot_released;
  uint64_t m_arrived ABSL_GUARDED_BY(m_mutex) = 0;
  uint64_t m_finished ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace heatherwick

#endif  // TESTS_STANDINS_SLOT_QUEUE_H_
