// Decides which sheet is in force on this instance, and when to ask the
// platform's store or a peer for a newer one.
//
// Invariants:
// - The version in force only grows.
// - A sheet comes into force only if its text has the hash that its head names
//   and parses without mistakes. (The head is the small record that identifies
//   a sheet; see sheet_head.h.)
// - At most one read of the head and one fetch are outstanding.
//
// See docs/design.md, section 2.6. SheetSubmission handles the submission of a
// sheet.

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

// Reads the row sheet/head. Answered by OnHeadRead or OnHeadReadFailed.
struct ReadSheetHead {};

// Asks a peer for its sheet if the sheet has at least this version. Answered by
// OnContent, OnNoNewerSheet or OnFetchFailed.
struct FetchFromPeer {
  std::string address;  // If empty, the instance chooses some peers to ask.
  uint64_t at_least_version = 0;
};

// Reads the text that belongs to this head from the object store. Answered by
// OnContent or OnFetchFailed.
struct FetchFromStore {
  SheetHead head;
};

// Puts the sheet into force.
struct AdoptSheet {
  SheetHead head;
  std::string content;
  std::shared_ptr<const Sheet> sheet;
};

// Reports, for the log, that a sheet was received and not put into force.
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
  // An instance that is not a poller reads the head itself if no peer names the
  // version in force or a higher one for a random time of one to two times this
  // delay.
  absl::Duration fallback_poll_delay = absl::Seconds(5);
  // Delay after a failed fetch. It doubles with each failure, up to the
  // maximum.
  absl::Duration fetch_retry_delay = absl::Milliseconds(250);
  absl::Duration max_fetch_retry_delay = absl::Seconds(2);
};

class SheetAcceptance {
 public:
  // `random` is used for jitter and must outlive this object.
  SheetAcceptance(SheetAcceptanceOptions options, absl::BitGenRef random);

  // Must be called at least every 100 ms. `poller` tells whether this instance
  // is one of the two in its region that poll the head.
  void OnTick(bool poller, absl::Time now, std::vector<SheetAction>* actions);

  // `head` is empty if no sheet has been accepted yet.
  void OnHeadRead(const std::optional<SheetHead>& head,
                  absl::Time now,
                  std::vector<SheetAction>* actions);
  void OnHeadReadFailed(absl::Time now);

  // Handles a version that a peer or a caller's token has named. `address` is
  // that of a peer that has the version, or empty. A peer that names the
  // version in force or a higher one postpones this instance's own read of the
  // head.
  void OnVersionSeen(uint64_t version,
                     const std::string& address,
                     absl::Time now,
                     std::vector<SheetAction>* actions);

  // Handles the sheet that a fetch returned.
  void OnContent(const SheetHead& head,
                 const std::string& content,
                 absl::Time now,
                 std::vector<SheetAction>* actions);
  // The peer answered that it has no newer sheet.
  void OnNoNewerSheet(absl::Time now);
  void OnFetchFailed(absl::Time now);

  // Handles a sheet whose submission through this instance was accepted.
  void OnSubmitted(const SheetHead& head,
                   const std::string& content,
                   std::vector<SheetAction>* actions);

  const SheetHead& InForce() const { return m_in_force; }

 private:
  bool IsBehind() const { return m_highest_seen > m_in_force.version; }
  void ScheduleFallbackPoll(absl::Time now);
  void MaybeFetch(absl::Time now, std::vector<SheetAction>* actions);
  void EndFetch(bool useful, absl::Time now);
  // Puts the sheet into force if it is newer and valid. Returns whether this
  // or a newer sheet is now in force.
  bool TryAdopt(const SheetHead& head,
                const std::string& content,
                std::vector<SheetAction>* actions);

  const SheetAcceptanceOptions m_options;
  absl::BitGenRef m_random;

  SheetHead m_in_force;
  // Highest version that the store, a peer or a token has named, and when a
  // peer or a token last named a version above the one in force.
  uint64_t m_highest_seen = 0;
  absl::Time m_version_seen_at = absl::InfinitePast();
  // Newest head that was read from the store. Its text may be fetched from
  // there.
  SheetHead m_store_head;
  // Addresses of peers that named a version above the one in force, without
  // duplicates, the latest last.
  std::deque<std::string> m_sources;

  bool m_reading_head = false;
  absl::Time m_head_read_started = absl::InfinitePast();
  absl::Time m_next_poll = absl::InfinitePast();
  // Time at which the instance reads the head itself, although it is not a
  // poller. Postponed after each read of the head, and whenever a peer names
  // the version in force or a higher one.
  absl::Time m_fallback_poll_at = absl::InfinitePast();

  bool m_fetching = false;
  // Whether the latest fetch asked the store, so that the next one asks peers.
  bool m_store_tried = false;
  uint32_t m_fetch_failures = 0;  // Since the last successful fetch.
  absl::Time m_next_fetch = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SHEET_ACCEPTANCE_H_
