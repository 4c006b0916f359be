#!/usr/bin/env bash
# Mutation test of the randomised flow tests: builds faulty variants of packages/flow in a temporary copy and runs seeds
# 1 to LAST_SEED (default: 200) on each until one fails. Exits with status 1 when a variant passes all seeds and with status 2
# when a sed expression no longer matches the source. NAMES is a regular expression; only variants with such a name are built.
# A variant with the name of a test, or of one of the plans, is run with that one only.
# Usage: scripts/flow_mutants.sh [LAST_SEED [NAMES]]
set -euo pipefail
cd "$(dirname "$0")/.."
last_seed=${1:-200}
names=${2:-.}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git archive HEAD packages/flow packages/base packages/testing | tar -x -C "$scratch"

# Format: name[:test]|file relative to packages/flow|sed expression that introduces the fault
variants=(
    "resets-without-denials|src/owner_search.cpp|s/if (!allDeny(\*route, state))/if (false)/"
    "resets-by-an-older-list|src/owner_search.cpp|s/const bool listIsNewer = .*/const bool listIsNewer = true;/"
    "new-upstreams-used-at-once|src/first_use_delay.cpp|s/return address != nullptr \&\& now >= address->knownAt;/return address != nullptr;/"
    "list-of-any-age-is-complete|src/first_use_delay.cpp|s/now - m_readAt > m_delay - margin/false/"
    "older-configuration-accepted|src/view_exchange.cpp|s/if (configuration.version <= m_configuration.version)/if (configuration.version == m_configuration.version)/"
    "service-not-checked|src/flow_agent.cpp|s/if (head->tag.value != m_serviceDigest)/if (false)/"
    "draining-is-eligible|src/upstream_directory.cpp|s/ && upstream.record.phase == upstream_phase::ready//"
    "search-asks-one-upstream|src/probe_dispatch.cpp|s/if (isDue(item))/if (isDue(item) \&\& due.empty())/"
    "search-waits-for-the-client|src/probe_dispatch.cpp|s/item != m_probeQueue.end() \&\& m_probeWindow.room() > 0;/false;/"
    "silence-at-a-relay-is-a-denial|src/probe_dispatch.cpp|s/isIn(result.denied, item.machine)/(inTime \&\& isIn(request->candidates, item.machine))/"
    "silence-is-claimed|src/flow_agent.cpp|s/if (isProbe \&\& (holdsFlow(state, \*head) || state.ended()))/if (isProbe)/"
    "opening-answer-is-claimed|src/flow_agent.cpp|s/if (!head->opens \&\& !head->resets/if (!head->resets/"
    "misdirected-is-a-denial|src/entry_balancer.cpp|s/if (head.tag.kind == instruction::misdirected \&\& mayServe/if (false \&\& mayServe/; s/const bool denied = .*/const bool denied = true;/"
    "eras-not-compared|src/history_cursor.cpp|s/ || revision.era != m_position->era//; s/revision < \*m_position/revision.number < m_position->number/"
    "lists-of-former-eras-kept|src/view_exchange.cpp|s/list.revision < m_upstreams.revision/list.revision.number < m_upstreams.revision.number/"
    "former-services-not-searched|src/owner_search.cpp|s/return state.allServices || /return /"
    "former-services-not-greeted|src/entry_balancer.cpp|s/return isKnownService(upstream.record) || mayHaveAgent(upstream)/return isKnownService(upstream.record)/; s/now - upstream.greetedAt >= rareHelloInterval/false/"
    "unheard-agents-need-not-deny|src/owner_search.cpp|s/ || m_view.awaitsAgents())/)/"
    "unheard-machines-are-probed|src/owner_search.cpp|s/if (!upstream.agentHeard)/if (false)/"
    "unheard-machines-take-flows|src/upstream_directory.cpp|s/ \&\& known.agentHeard \&\& known.record.service/ \&\& known.record.service/"
    "unheld-version-confirms-views:ListWithoutItsConfigurationAnnouncesTheMissingVersion|src/view_exchange.cpp|s/return { std::max(m_configuration.version, m_announcedVersion), /return { m_configuration.version, /"
    "announced-service-ignored|src/upstream_directory.cpp|s/known != nullptr \&\& known->announcedService == .*;/false;/"
    "opening-follows-the-table|src/entry_balancer.cpp|s/ \&\& isCopyOfOpening(head, \*route, known->second, now)) {/) {/"
    "opening-does-not-end-a-flow|src/flow_agent.cpp|s/if (isLater)/if (false)/"
    "later-flow-not-denied|src/flow_agent.cpp|s/if (belongsToLaterFlow(state, \*head))/if (false)/"
    "older-evacuation-accepted:OlderSetDoesNotReplaceANewerOne|src/view_exchange.cpp|s/const bool keepsEvacuation = .*/const bool keepsEvacuation = false;/"
    "placement-ignores-evacuation:NewFlowsLeaveTheZoneAndReturnWhenItIsTakenBack|src/upstream_directory.cpp|s/ \&\& !isEvacuated(upstream);/;/"
    "agent-ignores-evacuation:OpeningPacketIsReturnedAsRefused|src/flow_agent.cpp|s/if (!evacuated(now))/if (true)/"
    "copies-follow-into-an-evacuated-zone:CopyOfAnUnclaimedOpeningPacketIsPlacedElsewhere|src/entry_balancer.cpp|s/ \&\& !leavesEvacuatedZone(known->second)//"
    "evacuation-of-lapsed-upstreams-is-forgotten:EvacuationOutlivesTheLapseOfAllUpstreamsInTheZone|src/upstream_directory.cpp|s/return isAbsentFromList(zone);/return false;/"
    "limit-counts-one-instance:PromisesHoldWhenColdUpstreamsAreLimited|src/flow_agent.cpp|s/^        m_limiter.pass(now);/        if (entryIndex(entry) == 0) m_limiter.pass(now);/"
    "limit-window-does-not-slide:UnknownStateIsLimitedInAnySecond|src/opening_limiter.cpp|s/m_passed.pop_front();/m_passed.erase(m_passed.begin(), m_passed.end() - static_cast<std::ptrdiff_t>(m_unflushed));/"
    "unknown-state-counts-as-warm:UnknownStateCountsAsCold|src/opening_limiter.cpp|s/return !m_coldRate || (/return m_coldRate \&\& (/"
    "any-flow-proves-that-an-upstream-runs:SuspectedRestartCountsAsCold|src/opening_limiter.cpp|s/if (since < m_suspectedSince)/if (true)/"
    "probes-are-held|src/flow_agent.cpp|s/begins \&\& mayHold \&\& holdsFlow(state, head)/begins/"
)

compile()
{
    g++ -std=c++20 -O1 -I packages/flow/include -I packages/base/include -I packages/flow/tests \
        -I packages/testing/include -c "$1" -o "$2"
}

cd "$scratch"
sources=(packages/flow/src/*.cpp packages/base/src/types.cpp packages/flow/tests/flow_simulation.cpp
    packages/flow/tests/deployment_*.cpp packages/flow/tests/simulated_store.cpp
    packages/flow/tests/flow_random_test.cpp packages/flow/tests/evacuation_test.cpp
    packages/flow/tests/opening_limiter_test.cpp packages/flow/tests/view_exchange_test.cpp
    packages/testing/src/test_main.cpp)
for source in "${sources[@]}"; do
    compile "$source" "$(basename "$source").o"
done
survivors=0
for variant in "${variants[@]}"; do
    IFS='|' read -r name file expression <<<"$variant"
    [[ $name =~ $names ]] || continue
    source=packages/flow/$file
    object=$(basename "$source").o
    sed "$expression" "$source" >"packages/flow/src/variant.cpp"
    if cmp -s "$source" packages/flow/src/variant.cpp; then
        echo "$name: the sed expression does not match $source"
        exit 2
    fi
    mv "$object" original.o
    compile packages/flow/src/variant.cpp "$object"
    g++ ./*.cpp.o -lCppUTest -lCppUTestExt -o runs
    mv original.o "$object"
    tests=(-n PromisesHold)
    [[ $name != *:* ]] || tests=(-sn "${name#*:}")
    if result=$(ORIOLEHOLD_FLOW_SEEDS=1-$last_seed ./runs "${tests[@]}"); then
        echo "$name: SURVIVED (${tests[*]}, $last_seed seeds)"
        survivors=$((survivors + 1))
    elif [[ $name == *:* ]]; then
        grep -q "Failure in TEST" <<<"$result" || { echo "$name: no such test"; exit 2; }
        echo "$name: caught $(grep -o 'seed [0-9]*[ :].*' <<<"$result" | head -1)"
    else
        echo "$name: $(grep -o 'seed [0-9]*[ :].*' <<<"$result" | head -1)"
    fi
done
[ "$survivors" = 0 ]
