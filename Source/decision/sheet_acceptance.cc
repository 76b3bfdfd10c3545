// Polls, fetches and checks sheets. The invariants are listed in the header.

#include "Source/decision/sheet_acceptance.h"

#include <algorithm>
#include <utility>

#include "Source/decision/sheet_parser.h"
#include "absl/random/distributions.h"

namespace heatherwick {

namespace {

// Number of peers to remember as sources of a newer sheet. Usually the first
// one that is asked has it.
constexpr size_t kMaxSources = 4;
// Limits the exponent of the retry delay, which would otherwise overflow.
constexpr uint32_t kMaxFetchDoublings = 8;

}  // namespace

SheetAcceptance::SheetAcceptance(SheetAcceptanceOptions options,
                                 absl::BitGenRef random)
    : m_options(options), m_random(random) {}

void SheetAcceptance::OnTick(bool poller,
                             absl::Time now,
                             std::vector<SheetAction>* actions) {
  const bool needs_head = poller || m_in_force.version == 0 ||
                          now >= m_fallback_poll_at ||
                          (IsBehind() && m_sources.empty());
  if (needs_head && !m_reading_head && now >= m_next_poll) {
    m_reading_head = true;
    m_head_read_started = now;
    m_next_poll = now + m_options.poll_period;
    actions->push_back(ReadSheetHead{});
  }
  MaybeFetch(now, actions);
}

void SheetAcceptance::OnHeadRead(const std::optional<SheetHead>& head,
                                 absl::Time now,
                                 std::vector<SheetAction>* actions) {
  m_reading_head = false;
  ScheduleFallbackPoll(now);
  const uint64_t version = head ? head->version : 0;
  // A token can name a version that never existed, so the version in the store
  // replaces the highest one seen. This is not done while a peer is known to
  // have a newer sheet, or if a newer version was named during the read.
  if (m_sources.empty() && m_version_seen_at < m_head_read_started) {
    m_highest_seen = std::max(m_in_force.version, version);
  }
  if (version > m_in_force.version) {
    m_store_head = *head;
    m_highest_seen = std::max(m_highest_seen, version);
  }
  MaybeFetch(now, actions);
}

void SheetAcceptance::OnHeadReadFailed(absl::Time now) {
  m_reading_head = false;
  // While the store is down, instances that are not pollers retry only after
  // the fallback delay.
  ScheduleFallbackPoll(now);
}

void SheetAcceptance::OnVersionSeen(uint64_t version,
                                    const std::string& address,
                                    absl::Time now,
                                    std::vector<SheetAction>* actions) {
  if (!address.empty() && version > 0 && version >= m_in_force.version) {
    ScheduleFallbackPoll(now);
  }
  if (version <= m_in_force.version) {
    return;
  }
  m_highest_seen = std::max(m_highest_seen, version);
  m_version_seen_at = now;
  const bool known =
      std::count(m_sources.begin(), m_sources.end(), address) > 0;
  if (!address.empty() && !known) {
    m_sources.push_back(address);
    if (m_sources.size() > kMaxSources) {
      m_sources.pop_front();
    }
  }
  MaybeFetch(now, actions);
}

void SheetAcceptance::OnContent(const SheetHead& head,
                                const std::string& content,
                                absl::Time now,
                                std::vector<SheetAction>* actions) {
  EndFetch(TryAdopt(head, content, actions), now);
  MaybeFetch(now, actions);
}

void SheetAcceptance::OnNoNewerSheet(absl::Time now) {
  EndFetch(!IsBehind(), now);
}

void SheetAcceptance::OnFetchFailed(absl::Time now) {
  EndFetch(false, now);
}

void SheetAcceptance::OnSubmitted(const SheetHead& head,
                                  const std::string& content,
                                  std::vector<SheetAction>* actions) {
  TryAdopt(head, content, actions);
}

void SheetAcceptance::ScheduleFallbackPoll(absl::Time now) {
  // The jitter keeps instances that lost their pollers at the same time from
  // all reading the head at once.
  m_fallback_poll_at =
      now + m_options.fallback_poll_delay * absl::Uniform(m_random, 1.0, 2.0);
}

void SheetAcceptance::MaybeFetch(absl::Time now,
                                 std::vector<SheetAction>* actions) {
  const bool has_no_sheet = m_in_force.version == 0;
  if (m_fetching || now < m_next_fetch || (!has_no_sheet && !IsBehind())) {
    return;
  }
  m_fetching = true;
  const uint64_t wanted = m_in_force.version + 1;
  if (!m_sources.empty()) {
    actions->push_back(FetchFromPeer{std::move(m_sources.back()), wanted});
    m_sources.pop_back();
    m_store_tried = false;
  } else if (m_store_head.version > m_in_force.version && !m_store_tried) {
    actions->push_back(FetchFromStore{m_store_head});
    m_store_tried = true;
  } else {
    actions->push_back(FetchFromPeer{"", wanted});
    m_store_tried = false;
  }
}

void SheetAcceptance::EndFetch(bool useful, absl::Time now) {
  if (!m_fetching) {
    return;
  }
  m_fetching = false;
  if (useful) {
    m_fetch_failures = 0;
    m_next_fetch = now;
    return;
  }
  const int64_t factor = int64_t{1}
                         << std::min(m_fetch_failures, kMaxFetchDoublings);
  m_next_fetch = now + std::min(m_options.fetch_retry_delay * factor,
                                m_options.max_fetch_retry_delay);
  ++m_fetch_failures;
}

bool SheetAcceptance::TryAdopt(const SheetHead& head,
                               const std::string& content,
                               std::vector<SheetAction>* actions) {
  if (head.version <= m_in_force.version) {
    if (head.version < m_in_force.version) {
      actions->push_back(RejectSheet{head.version, "older"});
    }
    return true;
  }
  if (SheetContentHash(content) != head.content_hash) {
    actions->push_back(RejectSheet{head.version, "wrong_hash"});
    return false;
  }
  ParsedSheet parsed = ParseSheet(content);
  if (!std::holds_alternative<Sheet>(parsed)) {
    actions->push_back(RejectSheet{head.version, "malformed"});
    return false;
  }
  m_in_force = head;
  m_highest_seen = std::max(m_highest_seen, head.version);
  if (!IsBehind()) {
    m_sources.clear();
  }
  actions->push_back(AdoptSheet{
      head, content,
      std::make_shared<const Sheet>(std::get<Sheet>(std::move(parsed)))});
  return true;
}

}  // namespace heatherwick
