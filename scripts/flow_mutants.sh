#!/usr/bin/env bash
# Shows that the randomised runs of the flow path notice wrong code: builds deliberately wrong variants of packages/flow in a
# scratch copy and plays seeds until one fails. Usage: scripts/flow_mutants.sh [LAST_SEED]; status 1 when a variant survives.
set -euo pipefail
cd "$(dirname "$0")/.."
last=${1:-200}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git archive HEAD packages/flow packages/core packages/testing | tar -x -C "$scratch"

# Name, file below packages/flow, sed expression.
variants=(
    "resets-without-denials|src/entry_balancer.cpp|s/if (!allDeny)/if (false)/"
    "resets-by-an-older-list|src/entry_balancer.cpp|s/const bool gone = .*/const bool gone = true;/"
    "older-configuration-accepted|src/view_exchange.cpp|s/if (configuration.version <= m_configuration.version)/if (configuration.version == m_configuration.version)/"
    "service-not-checked|src/flow_agent.cpp|s/if (head->tag.value != m_serviceDigest)/if (false)/"
    "draining-is-eligible|src/upstream_directory.cpp|s/ && known.record.phase == upstream_phase::ready//"
    "search-asks-one-upstream|src/entry_balancer.cpp|s/probesPerPacket = 12/probesPerPacket = 1/"
    "probes-are-held|src/flow_agent.cpp|s/begins \&\& state.answered \&\& m_gate/begins \&\& m_gate/"
)

build()
{
    g++ -std=c++20 -O1 -I packages/flow/include -I packages/core/include -I packages/flow/tests -I packages/flow/src \
        packages/flow/src/*.cpp packages/core/src/types.cpp packages/flow/tests/flow_world.cpp \
        packages/flow/tests/flow_random_test.cpp packages/testing/src/test_main.cpp -lCppUTest -lCppUTestExt -o "$1"
}

cd "$scratch"
survivors=0
for variant in "${variants[@]}"; do
    IFS='|' read -r name file expression <<<"$variant"
    cp "packages/flow/$file" original
    sed -i "$expression" "packages/flow/$file"
    if cmp -s original "packages/flow/$file"; then
        echo "$name: the expression changes nothing"
        exit 2
    fi
    build "$name.bin"
    cp original "packages/flow/$file"
    if result=$(ORIOLEHOLD_FLOW_SEEDS=1-$last "./$name.bin" -n PromisesHoldUnderRandomFaults); then
        echo "$name: SURVIVED $last seeds"
        survivors=$((survivors + 1))
    else
        echo "$name: $(grep -o 'seed [0-9]*: .*' <<<"$result" | head -1)"
    fi
done
[ "$survivors" = 0 ]
