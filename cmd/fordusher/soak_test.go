package main

import (
	"strings"
	"testing"
)

// Runs a short soak with two seeds: directors run as processes that are killed, stopped, restarted and frozen, while
// nodes and discovery fail too. Guards against rule violations under overlapping faults.
func TestSoakViolatesNoRule(t *testing.T) {
	t.Setenv("FORDUSHER_MAIN", "1")
	t.Setenv("GORACE", "atexit_sleep_ms=0")
	code, out, errs := program(t, "soak", "--seeds", "1-2", "--processes", "3", "--servers", "4", "--length", "2s")
	if code != 0 || strings.Count(out, "0 violations") != 2 {
		t.Fatalf("exit code %d, %s%s", code, out, errs)
	}
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
