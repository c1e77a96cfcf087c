package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A server that takes requests in turn: who is taken costs it the work, who is turned away a twentieth.
func serve(l *RequestQueue, rate float64, work, span time.Duration, since time.Duration) (taken, turned int, late time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	free := since
	for at := since; at < since+span; at += gap {
		free = max(free, at)
		w := l.Step(free, free-at)
		if w.Admit {
			taken++
			late = max(late, free-at)
			free += work
		} else {
			turned++
			free += work / 20
		}
	}
	return taken, turned, late
}

func TestLineTakesAllItCan(t *testing.T) {
	l := NewRequestQueue(1, QueuePolicy{MaxWait: 100 * ms, MaxRetryAfter: 10 * time.Second})
	if _, turned, _ := serve(l, 900, ms, 5*time.Second, 0); turned > 0 {
		t.Errorf("%d turned away below what the loop can do", turned)
	}
	// Twice what it can do: it goes on at nine tenths of its pace at least, and nobody who is taken has
	// waited much longer than it may.
	serve(l, 2000, ms, time.Second, 10*time.Second)
	taken, turned, late := serve(l, 2000, ms, 5*time.Second, 11*time.Second)
	if taken < 4400 || turned < 4000 || late > 200*ms {
		t.Errorf("%d taken, %d turned away, longest wait %v", taken, turned, late)
	}
	if _, turned, _ := serve(l, 500, ms, time.Second, 20*time.Second); turned > 0 || l.Overloaded() {
		t.Errorf("%d turned away once it is over, pressing %v", turned, l.Overloaded())
	}
}

// A line that had pressed once, at a load that the loop can just do, went on turning away as long as a single one of
// an interval had waited for half of Wait: a fifth of all, for good.
func TestLineAtTheEdgeCalmsDown(t *testing.T) {
	l := NewRequestQueue(1, QueuePolicy{MaxWait: 100 * ms, MaxRetryAfter: 10 * time.Second})
	serve(l, 2000, ms, time.Second, 0)
	turned, logs := 0, 0
	for at := time.Second; at < 11*time.Second; at += ms {
		waited := at % (100 * ms) * 8 / 10 // between nothing and 80 ms, in each interval
		w := l.Step(at, waited)
		if !w.Admit {
			turned++
		}
		if w.Log != "" {
			logs++
		}
	}
	if turned > 100 || logs != 1 {
		t.Errorf("%d of 10,000 turned away, %d lines of the log", turned, logs)
	}
}

// A burst, or a stall of the process, is worked off: the line stands for a moment only.
func TestBurstIsTaken(t *testing.T) {
	l := NewRequestQueue(1, QueuePolicy{MaxWait: 100 * ms, MaxRetryAfter: 10 * time.Second})
	for i := range 1000 { // two seconds' requests after a stall, oldest first, 50 us each
		at := time.Duration(i) * 2 * ms
		now := 2*time.Second + time.Duration(i)*50*time.Microsecond
		if w := l.Step(now, now-at); !w.Admit {
			t.Fatalf("request %d turned away", i)
		}
	}
}

// Whatever comes: nobody is turned away who waited for half of Wait at the most, a line without waits is
// calm within two intervals, and the time to come back is within its bound.
func TestLineHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := QueuePolicy{MaxWait: time.Duration(rapid.IntRange(10, 500).Draw(t, "wait")) * ms, MaxRetryAfter: 5 * time.Second}
		l := NewRequestQueue(rapid.Uint64().Draw(t, "seed"), queue)
		now, since := time.Duration(0), time.Duration(-1)
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * ms
			waited := time.Duration(rapid.IntRange(0, 1000).Draw(t, "waited")) * ms
			w := l.Step(now, waited)
			if !w.Admit && (waited <= queue.MaxWait/2 || w.RetryAfter < time.Second || w.RetryAfter > queue.MaxRetryAfter) {
				t.Fatalf("turned away after %v, told %v", waited, w.RetryAfter)
			}
			if w.Admit && l.Overloaded() && waited > queue.MaxWait/2 {
				t.Fatalf("taken after %v", waited)
			}
			if waited > queue.MaxWait/2 {
				since = now
			}
			if l.Overloaded() && now-since > 3*queueInterval && since >= 0 {
				t.Fatalf("still pressing %v after the last long wait", now-since)
			}
		}
	})
}

func TestFit(t *testing.T) {
	for _, x := range []struct{ asked, handshakes, descriptors, nodes, want, shaking int }{
		{15_000, 1024, 20_000, 250, 15_000, 1024}, {18_000, 1024, 18_000, 250, 16_376, 1024}, {10, 5, 64, 20, 1, 5},
		{1000, 1024, 1024, 0, 796, 128},
	} {
		got, line := Capacity{MaxConnections: x.asked, MaxHandshakes: x.handshakes}.FitDescriptors(x.descriptors, x.nodes)
		if got.MaxConnections != x.want || got.MaxHandshakes != x.shaking || (line == "") != (x.asked == x.want && x.handshakes == x.shaking) {
			t.Errorf("%+v: %d connections, %d handshakes, %q", x, got.MaxConnections, got.MaxHandshakes, line)
		}
	}
}
