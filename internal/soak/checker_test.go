package soak

import (
	"strings"
	"testing"
	"time"
)

func notDraining(*director) time.Time { return time.Time{} }

// Each case is a request whose course either violates one rule, which the checker must report, or violates none.
func TestCheckerReportsEachViolation(t *testing.T) {
	const wait = time.Second
	for name, x := range map[string]struct {
		apply func(c *checker, id uint64, r *request)
		want  string // part of the violation; empty: there is none
	}{
		"answered":  {func(c *checker, id uint64, _ *request) { c.recordMessage(id, kindAnswer, true) }, ""},
		"refused":   {func(c *checker, id uint64, _ *request) { c.recordMessage(id, kindRelease, true) }, ""},
		"cancelled": {func(c *checker, id uint64, _ *request) { c.markCancelled(id) }, ""},
		"released before the answer, on another connection": {func(c *checker, id uint64, _ *request) {
			c.recordMessage(id, kindRelease, false)
			c.recordMessage(id, kindAnswer, true)
		}, ""},
		"no answer":                {func(*checker, uint64, *request) {}, "no final answer"},
		"closed without an answer": {func(c *checker, id uint64, _ *request) { c.recordClose([]uint64{id}) }, "ended without an answer"},
		"two answers": {func(c *checker, id uint64, _ *request) {
			c.recordMessage(id, kindAnswer, true)
			c.recordMessage(id, kindAnswer, true)
		}, "a second answer"},
		"two refusals": {func(c *checker, id uint64, _ *request) {
			c.recordMessage(id, kindRelease, true)
			c.recordMessage(id, kindRelease, true)
		}, "a second answer"},
		"ended without a release": {func(c *checker, id uint64, _ *request) {
			c.recordMessage(id, kindAnswer, true)
			c.recordServerEnd(id)
		}, "the client has no release"},
		"sent after its client cancelled": {func(c *checker, id uint64, r *request) {
			c.markCancelled(id)
			r.cancelledAt = time.Now().Add(-time.Second)
			c.recordSetup(id, "s", notDraining, 0)
		}, "after its client has cancelled"},
		"sent to a draining server": {func(c *checker, id uint64, _ *request) {
			c.recordSetup(id, "s", func(*director) time.Time { return time.Now().Add(-time.Second) }, 0)
			c.recordMessage(id, kindAnswer, true)
		}, "which has been draining for"},
		"paid and sent twice": {func(c *checker, id uint64, _ *request) {
			c.endAttempt(c.recordSetup(id, "s", notDraining, 0), true)
			c.recordSetup(id, "z", notDraining, 0)
			c.recordMessage(id, kindAnswer, true)
		}, "a paid request that may have run"},
		"paid, sent again after a proof that it never ran": {func(c *checker, id uint64, _ *request) {
			c.endAttempt(c.recordSetup(id, "s", notDraining, 0), false)
			c.recordSetup(id, "z", notDraining, 0)
			c.recordMessage(id, kindAnswer, true)
		}, ""},
		"answer timeout longer than the client waits": {func(c *checker, id uint64, _ *request) {
			c.recordSetup(id, "s", notDraining, 2*wait)
			c.recordMessage(id, kindAnswer, true)
		}, "has to answer within"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker()
			id := c.addRequest(&director{}, true, wait)
			x.apply(c, id, c.requests[id])
			got := strings.Join(c.result(1, 0).Violations, "; ")
			if x.want == "" && got != "" || !strings.Contains(got, x.want) {
				t.Fatalf("violations %q, wanted %q", got, x.want)
			}
		})
	}
}
