package seeded

import (
	"fmt"
	"testing"
)

// StillFails runs the test of a fault that is known and open: what it saw is reported, and where it saw nothing the
// test fails, so that a mend can't leave the mark behind. The function is handed what to call for a failure.
func StillFails(t *testing.T, test func(fail func(format string, args ...any))) {
	t.Helper()
	seen := ""
	test(func(format string, args ...any) {
		if seen == "" {
			seen = fmt.Sprintf(format, args...)
		}
	})
	if seen == "" {
		t.Fatal("an open fault is not there any more: take the mark off, and say so where it is listed")
	}
	t.Log("open, as expected:", seen)
}
