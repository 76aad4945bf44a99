// Encoding of messages between scheduler processes, in Thrift's compact
// protocol with the schema idl/jobs.thrift.

#ifndef RADISHMOOR_JOBS_JOB_PEER_CODEC_H_
#define RADISHMOOR_JOBS_JOB_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "radishmoor/jobs/messages.h"

namespace radishmoor {

struct JobPeerEnvelope {
  MemberId sender;
  std::string address;  // Where other scheduler processes reach the sender.
  JobPeerMessage message;
};

std::string EncodeJobPeer(const JobPeerEnvelope& envelope);

// Returns nullopt for bytes that do not encode a valid envelope.
std::optional<JobPeerEnvelope> DecodeJobPeer(std::string_view bytes);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_JOB_PEER_CODEC_H_
