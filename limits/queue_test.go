package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// serveRequests simulates an event loop that takes requests from the queue one by one. They arrive at rate per second
// from start on, for span. An admitted request keeps the loop busy for work, a rejected one for a twentieth of that.
// serveRequests returns the numbers of admitted and rejected requests and the longest wait of an admitted one.
func serveRequests(q *RequestQueue, rate float64, work, span time.Duration, start time.Duration) (
	admitted, rejected int, longest time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	free := start
	for at := start; at < start+span; at += gap {
		free = max(free, at)
		d := q.Step(free, free-at)
		if d.Admit {
			admitted++
			longest = max(longest, free-at)
			free += work
		} else {
			rejected++
			free += work / 20
		}
	}
	return admitted, rejected, longest
}

func TestQueueAdmitsUpToLoopThroughput(t *testing.T) {
	q := NewRequestQueue(1, QueuePolicy{MaxWait: 100 * ms, MaxRetryAfter: 10 * time.Second})
	if _, rejected, _ := serveRequests(q, 900, ms, 5*time.Second, 0); rejected > 0 {
		t.Errorf("%d requests rejected at a rate that the loop can process", rejected)
	}
	// At twice the rate that it can process, the loop still admits about nine tenths of its throughput (4400 of 5000
	// requests), and the wait of an admitted request does not exceed MaxWait by much.
	serveRequests(q, 2000, ms, time.Second, 10*time.Second)
	admitted, rejected, longest := serveRequests(q, 2000, ms, 5*time.Second, 11*time.Second)
	if admitted < 4400 || rejected < 4000 || longest > 200*ms {
		t.Errorf("%d admitted, %d rejected, longest wait %v", admitted, rejected, longest)
	}
	if _, rejected, _ := serveRequests(q, 500, ms, time.Second, 20*time.Second); rejected > 0 || q.Overloaded() {
		t.Errorf("%d rejected after the overload, overloaded %v", rejected, q.Overloaded())
	}
}

// Guards against an overload that never ends. At a load that the loop can just process, a queue that had been
// overloaded once stayed so as long as a single request of an interval had waited for half of MaxWait, and rejected a
// fifth of all requests for good.
func TestQueueRecoversAtFullLoad(t *testing.T) {
	q := NewRequestQueue(1, QueuePolicy{MaxWait: 100 * ms, MaxRetryAfter: 10 * time.Second})
	serveRequests(q, 2000, ms, time.Second, 0)
	rejected, logs := 0, 0
	for at := time.Second; at < 11*time.Second; at += ms {
		waited := at % (100 * ms) * 8 / 10 // from 0 to 80 ms in each interval
		d := q.Step(at, waited)
		if !d.Admit {
			rejected++
		}
		if d.Log != "" {
			logs++
		}
	}
	if rejected > 100 || logs != 1 {
		t.Errorf("%d of 10,000 rejected, %d log lines, want one", rejected, logs)
	}
}

// Guards against rejections after a burst or a stall of the process: the queue is processed quickly, so every request
// is admitted.
func TestBurstIsAdmitted(t *testing.T) {
	q := NewRequestQueue(1, QueuePolicy{MaxWait: 100 * ms, MaxRetryAfter: 10 * time.Second})
	for i := range 1000 { // the requests of two seconds after a stall, oldest first; each takes 50 us
		at := time.Duration(i) * 2 * ms
		now := 2*time.Second + time.Duration(i)*50*time.Microsecond
		if d := q.Step(now, now-at); !d.Admit {
			t.Fatalf("request %d is rejected", i)
		}
	}
}

// For any sequence of requests, one that waited for half of MaxWait at most is not rejected, the overload ends within
// three intervals after the last longer wait, and the retry delay is within its bounds.
func TestQueueStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := QueuePolicy{MaxWait: time.Duration(rapid.IntRange(10, 500).Draw(t, "wait")) * ms, MaxRetryAfter: 5 * time.Second}
		q := NewRequestQueue(rapid.Uint64().Draw(t, "seed"), policy)
		now, lastLongWait := time.Duration(0), time.Duration(-1)
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * ms
			waited := time.Duration(rapid.IntRange(0, 1000).Draw(t, "waited")) * ms
			d := q.Step(now, waited)
			if !d.Admit && (waited <= policy.MaxWait/2 || d.RetryAfter < time.Second || d.RetryAfter > policy.MaxRetryAfter) {
				t.Fatalf("rejected after a wait of %v with a retry delay of %v", waited, d.RetryAfter)
			}
			if d.Admit && q.Overloaded() && waited > policy.MaxWait/2 {
				t.Fatalf("admitted during an overload after a wait of %v", waited)
			}
			if waited > policy.MaxWait/2 {
				lastLongWait = now
			}
			if q.Overloaded() && now-lastLongWait > 3*queueInterval && lastLongWait >= 0 {
				t.Fatalf("still overloaded %v after the last long wait", now-lastLongWait)
			}
		}
	})
}

func TestFitDescriptors(t *testing.T) {
	for _, x := range []struct{ configured, handshakes, descriptors, nodes, wantConnections, wantHandshakes int }{
		{15_000, 1024, 20_000, 250, 15_000, 1024}, {18_000, 1024, 18_000, 250, 16_376, 1024}, {10, 5, 64, 20, 1, 5},
		{1000, 1024, 1024, 0, 796, 128},
	} {
		got, line := Capacity{MaxConnections: x.configured, MaxHandshakes: x.handshakes}.FitDescriptors(x.descriptors, x.nodes)
		if got.MaxConnections != x.wantConnections || got.MaxHandshakes != x.wantHandshakes ||
			(line == "") != (x.configured == x.wantConnections && x.handshakes == x.wantHandshakes) {
			t.Errorf("%+v: %d connections, %d handshakes, %q", x, got.MaxConnections, got.MaxHandshakes, line)
		}
	}
}
