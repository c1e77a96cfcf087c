package soak

import (
	"testing"
	"time"
)

func TestReadsProcessUsageFromProc(t *testing.T) {
	stat := "4242 (a name) with) S 1 4242 4242 0 -1 4194560 9000 0 0 0 123 45 0 0 20 0 11 0 1000 1 2 3"
	if cpu, err := cpuTime(stat); err != nil || cpu != 1680*time.Millisecond {
		t.Errorf("%v, %v", cpu, err)
	}
	if _, err := cpuTime("1 (x) S 1"); err == nil {
		t.Error("a truncated line is accepted")
	}
	if peak, err := peakMemory("Name:\tx\nVmHWM:\t   25804 kB\nVmRSS:\t 20000 kB\n"); err != nil || peak != 25804<<10 {
		t.Errorf("%d, %v", peak, err)
	}
	if _, err := peakMemory("Name:\tx\n"); err == nil {
		t.Error("a status without VmHWM gives no error")
	}
}
