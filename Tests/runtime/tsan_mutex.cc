// Informs the thread sanitizer of the operations of absl::Mutex. Debian's
// Abseil is built without the sanitizer, which would therefore report every
// access under a lock as a race. The linker option --wrap redirects the calls
// from the tests to the functions below.

#include <sanitizer/tsan_interface.h>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

// The linker option --wrap requires these names.
// NOLINTBEGIN(bugprone-reserved-identifier)
extern "C" {

void AnnotateIgnoreReadsBegin(const char* file, int line);
void AnnotateIgnoreReadsEnd(const char* file, int line);

void __real__ZN4absl7debian35Mutex4LockEv(absl::Mutex* mutex);
void __real__ZN4absl7debian35Mutex6UnlockEv(absl::Mutex* mutex);
bool __real__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    absl::Mutex* mutex,
    const absl::Condition& condition,
    absl::Duration timeout);

void __wrap__ZN4absl7debian35Mutex4LockEv(absl::Mutex* mutex) {
  __real__ZN4absl7debian35Mutex4LockEv(mutex);
  __tsan_acquire(mutex);
}

void __wrap__ZN4absl7debian35Mutex6UnlockEv(absl::Mutex* mutex) {
  __tsan_release(mutex);
  // Unlock evaluates the conditions of waiting threads under the lock.
  AnnotateIgnoreReadsBegin(__FILE__, __LINE__);
  __real__ZN4absl7debian35Mutex6UnlockEv(mutex);
  AnnotateIgnoreReadsEnd(__FILE__, __LINE__);
}

bool __wrap__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    absl::Mutex* mutex,
    const absl::Condition& condition,
    absl::Duration timeout) {
  __tsan_release(mutex);
  AnnotateIgnoreReadsBegin(__FILE__, __LINE__);
  const bool holds =
      __real__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
          mutex, condition, timeout);
  AnnotateIgnoreReadsEnd(__FILE__, __LINE__);
  __tsan_acquire(mutex);
  return holds;
}

}  // extern "C"
// NOLINTEND(bugprone-reserved-identifier)
