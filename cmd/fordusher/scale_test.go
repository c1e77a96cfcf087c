package main

import (
	"slices"
	"testing"
	"time"

	"fordusher/internal/soak"
)

func TestExceededBounds(t *testing.T) {
	baseline := soak.Usage{Servers: 200, CPU: time.Second, PeakMemory: 20 << 20, Descriptors: 100, Connections: 100,
		ListBytes: 10 << 10, Requests: 100, Served: 100}
	atBounds := soak.Usage{Servers: 1000, CPU: 1450 * time.Millisecond, PeakMemory: 42 << 20, Descriptors: 240, Connections: 290,
		ListBytes: 584 << 10, Requests: 100, Served: 85}
	if exceeded := exceededBounds(baseline, atBounds); len(exceeded) > 0 {
		t.Errorf("exceeded: %v, want none", exceeded)
	}
	overBounds := soak.Usage{Servers: 1000, CPU: 1451 * time.Millisecond, PeakMemory: 42<<20 + 1, Descriptors: 241, Connections: 291,
		ListBytes: 584<<10 + 1, Requests: 100, Served: 84}
	if exceeded := exceededBounds(baseline, overBounds); !slices.Equal(exceeded, []string{"CPU", "memory", "descriptors", "connections", "lists", "served"}) {
		t.Errorf("exceeded: %v, want all", exceeded)
	}
}

func TestParseSizes(t *testing.T) {
	if sizes, err := parseSizes("--servers", "200,800", 3200); err != nil || !slices.Equal(sizes, []int{200, 800}) {
		t.Errorf("%v, %v", sizes, err)
	}
	for _, invalid := range []string{"", "0", "200,", "3201", "x"} {
		if _, err := parseSizes("--servers", invalid, 3200); err == nil {
			t.Errorf("%q is accepted", invalid)
		}
	}
}
