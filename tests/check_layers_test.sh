#!/usr/bin/env bash
# .ci/check-layers has to pass on the sources as they are, and to fail on each include planted against the order.
#   check_layers_test.sh REPOSITORY
set -euo pipefail
repository=$1
check=$repository/.ci/check-layers
parts=(src)
. "$(dirname "$0")/planted_faults.sh"
checked=$scratch/src

# planted FILE INCLUDE MESSAGE
planted() {
    fresh_copy
    printf '%s\n' "$2" >>"$scratch/src/$1"
    expect_failure "$3"
}

fresh_copy
"$check" "$scratch/src"
planted core/model.hpp '#include "io/loop.hpp"' 'core may not include "io/loop.hpp"'
planted io/loop.cpp '  #  include "core/model.hpp"' 'io may not include "core/model.hpp"'
planted wire/cbor.hpp '#include <store/store_client.hpp>' 'wire may not include "store/store_client.hpp"'
planted config/settings.cpp '#include "api/user_api.hpp"' 'config may not include "api/user_api.hpp"'
planted store/store_client.cpp '#include "workers/worker_gateway.hpp"' 'store may not include'
planted scaling/scale_in.cpp '#include "scheduling/shard_scheduler.hpp"' 'scaling may not include'
planted controller/controller.cpp '#include "emulator/world.hpp"' 'controller may not include'

fresh_copy
mkdir "$scratch/src/unplaced"
expect_failure 'unplaced: is not in the table of layers'
echo "all planted includes were found"
