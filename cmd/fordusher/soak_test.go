package main

import (
	"strings"
	"testing"
)

// runSoak runs a soak with the program under test and requires that each of its seeds violates no rule.
func runSoak(t *testing.T, seeds int, args ...string) {
	t.Helper()
	t.Setenv("FORDUSHER_MAIN", "1")
	t.Setenv("GORACE", "atexit_sleep_ms=0")
	code, out, errs := program(t, append([]string{"soak"}, args...)...)
	if code != 0 || strings.Count(out, " 0 violations") != seeds {
		t.Fatalf("exit code %d, %s%s", code, out, errs)
	}
}

// Runs a short soak with two seeds: directors run as processes that are killed, stopped, restarted and frozen, while
// nodes and discovery fail too. Guards against rule violations under overlapping faults.
func TestSoakViolatesNoRule(t *testing.T) {
	runSoak(t, 2, "--seeds", "1-2", "--processes", "3", "--servers", "4", "--length", "2s")
}

// Runs short dense trials with three seeds: hundreds of sessions are handed over at each start while many of them end, and
// servers are replaced at their addresses, vanish and are partitioned. Guards against ends that are told late or never.
func TestDenseTrialsViolateNoRule(t *testing.T) {
	runSoak(t, 3, "--dense", "--seeds", "1-3", "--parallel", "3", "--length", "3s")
}

func TestSeedRange(t *testing.T) {
	for text, want := range map[string][2]uint64{"7": {7, 7}, "1-30": {1, 30}} {
		if from, to, err := seedRange(text); err != nil || [2]uint64{from, to} != want {
			t.Errorf("%q: %d to %d, %v", text, from, to, err)
		}
	}
	for _, text := range []string{"", "x", "3-", "5-4", "-1"} {
		if _, _, err := seedRange(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
