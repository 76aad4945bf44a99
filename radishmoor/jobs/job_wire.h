// Conversion of a job's definition to and from its generated Thrift struct. To
// be included by the .cc files of radishmoor/jobs only.

#ifndef RADISHMOOR_JOBS_JOB_WIRE_H_
#define RADISHMOOR_JOBS_JOB_WIRE_H_

#include <jobs_types.h>

#include "radishmoor/jobs/job.h"

namespace radishmoor {

jobs_wire::Job JobToWire(const JobSpec& spec);
JobSpec JobFromWire(const jobs_wire::Job& wire);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_JOB_WIRE_H_
