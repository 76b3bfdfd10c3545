// A map in shards, each under its own lock.

#ifndef SOURCE_KERNEL_SHARD_MAP_H_
#define SOURCE_KERNEL_SHARD_MAP_H_

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

// Values are shared, so that no shard's lock is held while one is used. No
// operation locks more than one shard at a time.
template <typename Key, typename Value, size_t kShards = 16>
class ShardMap {
 public:
  using Pointer = std::shared_ptr<Value>;

  Pointer Find(const Key& key) const {
    const Shard& shard = ShardOf(key);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.values.find(key);
    return found == shard.values.end() ? nullptr : found->second;
  }

  // Returns the present value, or the result of `make` after storing it.
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

  // Removes and returns the value; null when there is none.
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

#endif  // SOURCE_KERNEL_SHARD_MAP_H_
