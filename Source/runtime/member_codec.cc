// Converts member records field by field. The numeric values of the state enums
// differ, so the states are mapped by name.

#include "Source/runtime/member_codec.h"

namespace heatherwick {

namespace {

proto::MemberState ToProto(MemberState state) {
  switch (state) {
    case MemberState::kCandidate:
      return proto::MEMBER_UNSPECIFIED;
    case MemberState::kAlive:
      return proto::ALIVE;
    case MemberState::kSuspect:
      return proto::SUSPECT;
    case MemberState::kLeaving:
      return proto::LEAVING_STATE;
    case MemberState::kDead:
      return proto::DEAD;
  }
  return proto::MEMBER_UNSPECIFIED;
}

MemberState FromProto(proto::MemberState state) {
  switch (state) {
    case proto::ALIVE:
      return MemberState::kAlive;
    case proto::SUSPECT:
      return MemberState::kSuspect;
    case proto::LEAVING_STATE:
      return MemberState::kLeaving;
    case proto::DEAD:
      return MemberState::kDead;
    default:
      return MemberState::kCandidate;
  }
}

}  // namespace

void ToProto(const MemberRecord& record, proto::MemberUpdate* update) {
  update->set_id(record.id);
  update->set_address(record.address);
  update->set_data_centre(record.data_centre);
  update->set_region(record.region);
  update->set_incarnation(record.incarnation);
  update->set_generation(record.generation);
  update->set_state(ToProto(record.state));
}

MemberRecord FromProto(const proto::MemberUpdate& update) {
  MemberRecord record;
  record.id = update.id();
  record.address = update.address();
  record.data_centre = update.data_centre();
  record.region = update.region();
  record.incarnation = update.incarnation();
  record.generation = update.generation();
  record.state = FromProto(update.state());
  return record;
}

void ToProto(const std::vector<MemberRecord>& records, MemberUpdates* updates) {
  for (const MemberRecord& record : records) {
    ToProto(record, updates->Add());
  }
}

std::vector<MemberRecord> FromProto(const MemberUpdates& updates) {
  std::vector<MemberRecord> records;
  records.reserve(static_cast<size_t>(updates.size()));
  for (const proto::MemberUpdate& update : updates) {
    records.push_back(FromProto(update));
  }
  return records;
}

}  // namespace heatherwick
