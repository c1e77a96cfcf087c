package platform

import (
	"fordusher/internal/director"
	"fordusher/policy"
	"sync"
	"testing"
	"time"
)

// A client that sends what can't be read is closed, but what it has asked for before is owed its answer, which goes out
// first: by the same connection, and once.
func TestWhatCannotBeReadFreesNoRequest(t *testing.T) {
	for name, bad := range map[string][]byte{
		"a length that no message has": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11},
		"a message too long":           {0xff, 0xff, kindSetup, 0, 0, 0, 0, 0, 0, 0, 9},
		"a type that there is not":     newViewer(123, 7).done(),
		"half a message":               aSetup(9, atHome)[:20],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := start(t, 1, "")
			p.nodes[0].answers(func(string) string { return "" })
			v := p.viewer()
			// The paid class has no time-out of attempts before its deadline.
			v.send(aSetup(2, map[byte]string{codePlace: "home:0;copies:1;top:1", codeClass: "exam"}))
			p.wait("the set-up did not reach its server", func() bool { return p.nodes[0].count("Session: "+sessionID(2)) == 1 })
			v.send(bad)
			if name == "half a message" {
				time.Sleep(silentMost + 100*time.Millisecond) // it is only then that it counts as unreadable
				p.wait("the deadline did not pass", func() bool { return p.d.Counts().Errored+p.d.Counts().Nacked == 1 })
				if m, ok := v.next(); !ok || m.kind != kindRelease || m.session != 2 {
					t.Fatalf("%v, kind %d of session %d; an answer is owed", ok, m.kind, m.session)
				}
			} else {
				p.beside = p.viewer()
				p.beside.passed() // the director has seen more since
				p.nodes[0].says(good(sessionID(2)))
				v.expect(kindAnswer, 2, codeDescription)
			}
			if m, ok := v.next(); ok {
				t.Fatalf("kind %d of session %d on a connection that was to be closed", m.kind, m.session)
			}
			p.wait("the account does not come out even", func() bool {
				c := p.d.Counts()
				return c.Abandoned == 0 && c.Taken == 1 && c.Played+c.Errored+c.Nacked == 1
			})
			for rule, n := range p.d.Counts().Violations() {
				if n > 0 {
					t.Errorf("%d violations of %s", n, rule)
				}
			}
		})
	}
}

// A stalling lets a module's Step wait while it is held.
type stalling struct {
	director.Decider
	hold sync.Mutex
}

func (s *stalling) Step(now time.Duration, happened policy.Event) []policy.Action {
	s.hold.Lock()
	defer s.hold.Unlock()
	return s.Decider.Step(now, happened)
}

// More requests than a connection may have waiting come while the loop stands still. Each has one final answer, and the
// connection stays.
func TestMoreRequestsThanMayWaitAreAllAnswered(t *testing.T) {
	var held *stalling
	p := startWith(t, 1, "", settings, func(d director.Decider) director.Decider {
		held = &stalling{Decider: d}
		return held
	})
	v := p.viewer()
	v.passed()
	held.hold.Lock()
	const requests = inboxMost + 500
	go func() {
		for id := range uint64(requests) {
			v.send(aSetup(id+1, atHome))
		}
		time.Sleep(50 * time.Millisecond)
		held.hold.Unlock()
	}()
	answers := map[uint64]int{}
	for len(answers) < requests {
		m, ok := v.next()
		if !ok {
			t.Fatalf("the connection was closed after %d of %d answers", len(answers), requests)
		}
		if m.kind == kindAnswer || m.kind == kindRelease && answers[m.session] == 0 {
			answers[m.session]++
		}
	}
	for id, n := range answers {
		if n != 1 {
			t.Fatalf("%d answers to request %d", n, id)
		}
	}
	v.passed() // it still works
}
