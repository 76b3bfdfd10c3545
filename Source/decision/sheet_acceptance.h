// Decides which sheet is in force on this instance and when to look for a
// newer one, at the platform's store or at a peer.
//
// Invariants:
// - The version in force only grows.
// - A sheet comes into force only when its text has the hash that its head
//   names and parses without mistakes.
// - At most one read of the head and one fetch are outstanding.
//
// See docs/design.md, section 2.6. The submission of a sheet is decided by
// SheetSubmission.

#ifndef SOURCE_DECISION_SHEET_ACCEPTANCE_H_
#define SOURCE_DECISION_SHEET_ACCEPTANCE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Source/decision/sheet.h"
#include "Source/decision/sheet_head.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

// Read the row sheet/head; answered by OnHeadRead or OnHeadReadFailed.
struct ReadSheetHead {};

// Ask a peer for its sheet when that has at least this version; answered by
// OnContent, OnNothingNewer or OnFetchFailed.
struct FetchFromPeer {
  std::string address;  // Empty: some peers of the instance's own choice.
  uint64_t at_least_version = 0;
};

// Get the text of this head from the object store; answered by OnContent or
// OnFetchFailed.
struct FetchFromStore {
  SheetHead head;
};

// The sheet is in force from now on.
struct AdoptSheet {
  SheetHead head;
  std::string content;
  std::shared_ptr<const Sheet> sheet;
};

// A sheet was offered and not taken; for the log.
struct RejectSheet {
  uint64_t version = 0;
  absl::string_view reason;  // "older", "wrong_hash" or "malformed"
};

using SheetAction = std::variant<ReadSheetHead,
                                 FetchFromPeer,
                                 FetchFromStore,
                                 AdoptSheet,
                                 RejectSheet>;

struct SheetAcceptanceOptions {
  absl::Duration poll_period = absl::Seconds(1);
  // An instance that does not poll reads the head itself after a random time
  // of one to two such periods without news.
  absl::Duration silence_limit = absl::Seconds(5);
  // After a fetch that failed; doubles up to the longest.
  absl::Duration fetch_retry = absl::Milliseconds(250);
  absl::Duration longest_fetch_retry = absl::Seconds(2);
};

class SheetAcceptance {
 public:
  // `random` draws the jitter and must outlive this object.
  SheetAcceptance(SheetAcceptanceOptions options, absl::BitGenRef random);

  // Call at least every 100 ms. `poller`: this instance is one of its
  // region's two that poll the head.
  void OnTick(bool poller, absl::Time now, std::vector<SheetAction>* actions);

  // The row is empty when no sheet has been accepted yet.
  void OnHeadRead(const std::optional<SheetHead>& head,
                  absl::Time now,
                  std::vector<SheetAction>* actions);
  void OnHeadReadFailed(absl::Time now);

  // A peer or a caller's token named a version. `address` is a peer that has
  // it, or empty. A version that is already in force counts as news.
  void OnVersionSeen(uint64_t version,
                     const std::string& address,
                     absl::Time now,
                     std::vector<SheetAction>* actions);

  // The text that a fetch brought.
  void OnContent(const SheetHead& head,
                 const std::string& content,
                 absl::Time now,
                 std::vector<SheetAction>* actions);
  // The peer answered that it has nothing newer.
  void OnNothingNewer(absl::Time now);
  void OnFetchFailed(absl::Time now);

  // A submission through this instance was accepted.
  void OnSubmitted(const SheetHead& head,
                   const std::string& content,
                   std::vector<SheetAction>* actions);

  const SheetHead& InForce() const { return m_in_force; }

 private:
  bool IsBehind() const { return m_highest_seen > m_in_force.version; }
  void NoteNews(absl::Time now);
  void ConsiderFetch(absl::Time now, std::vector<SheetAction>* actions);
  void EndFetch(bool useful, absl::Time now);
  // Returns whether the sheet is in force or was already.
  bool TakeContent(const SheetHead& head,
                   const std::string& content,
                   std::vector<SheetAction>* actions);

  const SheetAcceptanceOptions m_options;
  absl::BitGenRef m_random;

  SheetHead m_in_force;
  // Highest version that is said to exist, and when that was last said.
  uint64_t m_highest_seen = 0;
  absl::Time m_seen_at = absl::InfinitePast();
  // Newest head read from the store; its text may be fetched from there.
  SheetHead m_store_head;
  // Peers that named a version above the one in force, without duplicates,
  // the latest last.
  std::deque<std::string> m_sources;

  bool m_reading_head = false;
  absl::Time m_head_read_started = absl::InfinitePast();
  absl::Time m_next_poll = absl::InfinitePast();
  // Without news until then, the instance reads the head itself.
  absl::Time m_silent_until = absl::InfinitePast();

  bool m_fetching = false;
  // The latest fetch asked the store, so the next one asks peers.
  bool m_store_tried = false;
  uint32_t m_fetch_failures = 0;  // Since the last useful fetch.
  absl::Time m_next_fetch = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SHEET_ACCEPTANCE_H_
