package soak

import (
	"strings"
	"testing"
	"time"
)

func never(*director) time.Time { return time.Time{} }

// Each rule is broken on purpose, and has to be noticed; the same without the breach has to pass.
func TestTheLedgerNoticesEachBreach(t *testing.T) {
	const wait = time.Second
	for name, x := range map[string]struct {
		play func(l *ledger, id uint64, r *request)
		want string // empty: nothing is wrong
	}{
		"answered": {func(l *ledger, id uint64, _ *request) { l.told(id, kindAnswer, true) }, ""},
		"refused":  {func(l *ledger, id uint64, _ *request) { l.told(id, kindRelease, true) }, ""},
		"left":     {func(l *ledger, id uint64, _ *request) { l.leave(id) }, ""},
		"released before the answer, elsewhere": {func(l *ledger, id uint64, _ *request) {
			l.told(id, kindRelease, false)
			l.told(id, kindAnswer, true)
		}, ""},
		"no answer":                {func(*ledger, uint64, *request) {}, "no final answer"},
		"closed without an answer": {func(l *ledger, id uint64, _ *request) { l.closed([]uint64{id}) }, "ended without an answer"},
		"two answers": {func(l *ledger, id uint64, _ *request) {
			l.told(id, kindAnswer, true)
			l.told(id, kindAnswer, true)
		}, "a second answer"},
		"refused after a refusal": {func(l *ledger, id uint64, _ *request) {
			l.told(id, kindRelease, true)
			l.told(id, kindRelease, true)
		}, "a second answer"},
		"over and not told": {func(l *ledger, id uint64, _ *request) {
			l.told(id, kindAnswer, true)
			l.over(id)
		}, "its client was not told"},
		"sent after its client left": {func(l *ledger, id uint64, r *request) {
			l.leave(id)
			r.left = time.Now().Add(-time.Second)
			l.setup(id, "s", never, 0)
		}, "after its client has left"},
		"sent to one that drains": {func(l *ledger, id uint64, _ *request) {
			l.setup(id, "s", func(*director) time.Time { return time.Now().Add(-time.Second) }, 0)
			l.told(id, kindAnswer, true)
		}, "which drains since"},
		"paid and sent twice": {func(l *ledger, id uint64, _ *request) {
			l.end(l.setup(id, "s", never, 0), true)
			l.setup(id, "z", never, 0)
			l.told(id, kindAnswer, true)
		}, "a paid request that may have run"},
		"paid and turned away": {func(l *ledger, id uint64, _ *request) {
			l.end(l.setup(id, "s", never, 0), false)
			l.setup(id, "z", never, 0)
			l.told(id, kindAnswer, true)
		}, ""},
		"told too long a time": {func(l *ledger, id uint64, _ *request) {
			l.setup(id, "s", never, 2*wait)
			l.told(id, kindAnswer, true)
		}, "is told to answer within"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			id := l.ask(&director{}, true, wait)
			x.play(l, id, l.requests[id])
			got := strings.Join(l.result(1, 0).Violations, "; ")
			if x.want == "" && got != "" || !strings.Contains(got, x.want) {
				t.Fatalf("violations %q, wanted %q", got, x.want)
			}
		})
	}
}
