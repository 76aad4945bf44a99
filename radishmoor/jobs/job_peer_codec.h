// Encoding of messages between the scheduler's processes: Thrift's compact
// protocol by the schema idl/jobs.thrift.

#ifndef RADISHMOOR_JOBS_JOB_PEER_CODEC_H_
#define RADISHMOOR_JOBS_JOB_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "radishmoor/jobs/messages.h"

namespace radishmoor {

struct JobPeerEnvelope {
  MemberId sender;
  std::string address;  // Where the sender can be reached.
  JobPeerMessage message;
};

std::string EncodeJobPeer(const JobPeerEnvelope& envelope);

// Nothing for bytes that are no valid envelope.
std::optional<JobPeerEnvelope> DecodeJobPeer(std::string_view bytes);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_JOB_PEER_CODEC_H_
