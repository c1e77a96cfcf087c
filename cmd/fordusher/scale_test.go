package main

import (
	"slices"
	"testing"
	"time"

	"fordusher/internal/soak"
)

func TestExceededBounds(t *testing.T) {
	usual := soak.Usage{Servers: 200, CPU: time.Second, PeakMemory: 20 << 20, Descriptors: 100, Connections: 100, ListBytes: 10 << 10, Requests: 100, Served: 100}
	within := soak.Usage{Servers: 1000, CPU: 1450 * time.Millisecond, PeakMemory: 42 << 20, Descriptors: 240, Connections: 290, ListBytes: 584 << 10,
		Requests: 100, Served: 85}
	if over := exceededBounds(usual, within); len(over) > 0 {
		t.Errorf("over: %v", over)
	}
	beyond := soak.Usage{Servers: 1000, CPU: 1451 * time.Millisecond, PeakMemory: 42<<20 + 1, Descriptors: 241, Connections: 291, ListBytes: 584<<10 + 1,
		Requests: 100, Served: 84}
	if over := exceededBounds(usual, beyond); !slices.Equal(over, []string{"CPU", "memory", "descriptors", "connections", "lists", "served"}) {
		t.Errorf("over: %v", over)
	}
}

func TestParseSizes(t *testing.T) {
	if all, err := parseSizes("--servers", "200,800", 3200); err != nil || !slices.Equal(all, []int{200, 800}) {
		t.Errorf("%v, %v", all, err)
	}
	for _, bad := range []string{"", "0", "200,", "3201", "x"} {
		if _, err := parseSizes("--servers", bad, 3200); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}
