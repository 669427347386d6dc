/// All types of the scheduler's model, for callers that need most of them. Code of the core includes the
/// header of each concept instead.
#pragma once

#include "core/instance.hpp"
#include "core/job.hpp"
#include "core/machine.hpp"
#include "core/resources.hpp"
#include "core/revision.hpp"
#include "core/team.hpp"
#include "core/time.hpp"
#include "core/worker_protocol.hpp"
