/// Includes all headers of the scheduler's data model, for callers that need most of them. Code in core/
/// includes the individual headers instead.
#pragma once

#include "core/instance.hpp"
#include "core/job.hpp"
#include "core/machine.hpp"
#include "core/resources.hpp"
#include "core/revision.hpp"
#include "core/team.hpp"
#include "core/time.hpp"
#include "core/worker_protocol.hpp"
