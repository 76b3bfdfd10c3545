// A thread-safe hash map that is split into shards, each with its own lock.

#ifndef SOURCE_KERNEL_SHARDED_MAP_H_
#define SOURCE_KERNEL_SHARDED_MAP_H_

#include <array>
#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/hash/hash.h"
#include "absl/synchronization/mutex.h"

namespace heatherwick {

// Operations return shared pointers, so that callers use a value without
// holding its shard's lock. No operation locks more than one shard at a time.
template <typename Key, typename Value, size_t kShards = 16>
class ShardedMap {
 public:
  using Pointer = std::shared_ptr<Value>;

  // Returns the value of `key`; null if there is none.
  Pointer Find(const Key& key) const {
    const Shard& shard = ShardOf(key);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.values.find(key);
    return found == shard.values.end() ? nullptr : found->second;
  }

  // Returns the value of `key`. If there is none, stores the result of `make`
  // first; `make` runs under the shard's lock.
  template <typename Make>
  Pointer FindOrCreate(const Key& key, Make make) {
    Shard& shard = ShardOf(key);
    absl::MutexLock lock(&shard.mutex);
    Pointer& value = shard.values[key];
    if (value == nullptr) {
      value = make();
    }
    return value;
  }

  void Store(const Key& key, Pointer value) {
    Shard& shard = ShardOf(key);
    absl::MutexLock lock(&shard.mutex);
    shard.values[key] = std::move(value);
  }

  // Removes and returns the value of `key`; null if there is none.
  Pointer Remove(const Key& key) {
    Shard& shard = ShardOf(key);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.values.find(key);
    if (found == shard.values.end()) {
      return nullptr;
    }
    Pointer value = std::move(found->second);
    shard.values.erase(found);
    return value;
  }

  // Returns all entries. Shards are copied one after the other, so that the
  // result may miss or include concurrent changes.
  std::vector<std::pair<Key, Pointer>> All() const {
    std::vector<std::pair<Key, Pointer>> all;
    for (const Shard& shard : m_shards) {
      absl::MutexLock lock(&shard.mutex);
      all.insert(all.end(), shard.values.begin(), shard.values.end());
    }
    return all;
  }

 private:
  struct Shard {
    mutable absl::Mutex mutex;
    absl::flat_hash_map<Key, Pointer> values ABSL_GUARDED_BY(mutex);
  };

  Shard& ShardOf(const Key& key) {
    return m_shards[absl::HashOf(key) % kShards];
  }
  const Shard& ShardOf(const Key& key) const {
    return m_shards[absl::HashOf(key) % kShards];
  }

  std::array<Shard, kShards> m_shards;
};

}  // namespace heatherwick

#endif  // SOURCE_KERNEL_SHARDED_MAP_H_
