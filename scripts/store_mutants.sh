#!/usr/bin/env bash
# Mutation test of the decoders of the store's documents: builds faulty variants in a temporary copy and runs the tests of the
# adapter on each. Exits with status 1 when a variant passes all tests and with status 2 when a sed expression no longer matches
# the source. Usage: scripts/store_mutants.sh
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git archive HEAD | tar -x -C "$scratch"
cd "$scratch"

# Format: name|file|sed expression that introduces the fault
variants=(
    "depth-is-not-limited|packages/runtime/src/json_object.cpp|s/if (static_cast<std::size_t>(depth) >= m_limits.maxDepth)/if (depth < 0)/"
    "values-are-not-limited|packages/runtime/src/json_object.cpp|s/if (++m_values > m_limits.maxValues)/if (++m_values == 0)/"
    "doubled-fields-are-accepted|packages/runtime/src/json_object.cpp|s/if (checker.duplicate())/if (false)/"
    "large-numbers-are-accepted|platform/src/store_documents.cpp|s/object.integer(\"slots\", 1, maxSlots)/object.integer(\"slots\", 0, maxSequence)/"
    "keys-are-not-escaped|platform/src/store_client.cpp|s/percentEncoded(position)/position/"
    "lost-history-is-ignored|packages/flow/src/upstream_list_reader.cpp|s/if (!changes || changes->revision.era != revision.era/if (!changes) return true; if (changes->revision.era != revision.era/"
)

build()
{
    cmake --build build -j "${ORIOLEHOLD_JOBS:-4}" --target platform_adapter_test runtime_test flow_test >build.log 2>&1 ||
        { tail -20 build.log; exit 3; }
}

runs_pass()
{
    build/platform/platform_adapter_test >run.log 2>&1 && build/packages/runtime/runtime_test -g json_limits >run.log 2>&1 &&
        build/packages/flow/flow_test -g upstream_list_reader >run.log 2>&1
}

cmake -S . -B build -G Ninja >/dev/null
build
runs_pass || { echo "the tests fail without a fault"; exit 3; }
survivors=0
for variant in "${variants[@]}"; do
    IFS='|' read -r name file expression <<<"$variant"
    cp "$file" original
    sed -i "$expression" "$file"
    if cmp -s original "$file"; then
        echo "$name: the sed expression does not match $file"
        exit 2
    fi
    build
    if runs_pass; then
        echo "$name: SURVIVED"
        survivors=$((survivors + 1))
    else
        echo "$name: $(grep -a -o -m1 'Failure in TEST([^)]*)' run.log || echo 'the test program ends')"
    fi
    cp original "$file"
done
[ "$survivors" = 0 ]
