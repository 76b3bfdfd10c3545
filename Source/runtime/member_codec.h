// Converts member records to and from the messages that instances exchange.

#ifndef SOURCE_RUNTIME_MEMBER_CODEC_H_
#define SOURCE_RUNTIME_MEMBER_CODEC_H_

#include <vector>

#include "Source/decision/member_record.h"
#include "Source/proto/peer.pb.h"

namespace heatherwick {

void ToProto(const MemberRecord& record, proto::MemberUpdate* update);
// An unknown state becomes kCandidate, which the receiver ignores.
MemberRecord FromProto(const proto::MemberUpdate& update);

using MemberUpdates = google::protobuf::RepeatedPtrField<proto::MemberUpdate>;

void ToProto(const std::vector<MemberRecord>& records, MemberUpdates* updates);
std::vector<MemberRecord> FromProto(const MemberUpdates& updates);

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_MEMBER_CODEC_H_
