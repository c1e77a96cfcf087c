package emulator

import (
	"testing"

	"fordusher/internal/day"
)

// The bad day, in virtual time: every request is answered, no rule is broken, and the record is the same
// to the byte each time, on any number of cores.
func TestBadDayIsTheSameEachTime(t *testing.T) {
	first := ""
	for _, workers := range []int{1, 4, 3} {
		r, err := Run(day.Default(), 7, Options{Workers: workers})
		if err != nil {
			t.Fatal(err)
		}
		if !r.Kept() {
			t.Fatalf("%+v %+v", r.Result.Rules, r.Result)
		}
		if r.Played < 1000 || r.Taken != r.Played+r.Nacked+r.Errored+r.Gone {
			t.Fatalf("%+v", r.Result)
		}
		if first == "" {
			first = r.Hash
		} else if r.Hash != first {
			t.Fatalf("hash %s with %d workers, %s before", r.Hash, workers, first)
		}
	}
}
