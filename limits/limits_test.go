package limits

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

const ms = time.Millisecond

var testCapacity = Capacity{MaxConnections: 100, MaxPerAddress: 30, MaxHandshakes: 10, HeartbeatInterval: 10 * time.Second, IdleTimeout: 5 * time.Second,
	HandshakeTimeout: time.Second, MaxRetryAfter: 30 * time.Second}

func addr(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}) }

// A door is the caller's side, with plain books of its own.
type door struct {
	*rapid.T
	l     *Limits
	now   time.Duration
	conns map[int]*seen
	free  []int
}

type seen struct {
	addr    int
	stage   stage
	idle    time.Duration
	heard   time.Duration
	leaving bool
}

func (d *door) step(e Event) *Plan {
	p := d.l.Step(d.now, e)
	counts := map[int]int{}
	used, shaking := 0, 0
	for _, c := range d.conns {
		counts[c.addr]++
		used++
		if c.stage == 1 && !c.leaving {
			shaking++
		}
	}
	for _, x := range p.Evict {
		c := d.conns[x.Conn]
		if c == nil || c.leaving {
			d.Fatalf("%d is let go and is not there", x.Conn)
		}
		if c.stage == busy && d.now-c.heard <= maxMissedHeartbeats*testCapacity.HeartbeatInterval {
			d.Fatalf("%d is busy and let go", x.Conn)
		}
		if x.Code == 1008 && d.now-c.heard < 2*testCapacity.HeartbeatInterval {
			d.Fatalf("%d is given up %v after it was heard", x.Conn, d.now-c.heard)
		}
		if x.Code == 1013 {
			if x.RetryAfter <= 0 || x.RetryAfter > testCapacity.MaxRetryAfter {
				d.Fatal("no time to come back", x)
			}
			for i, o := range d.conns {
				if i != x.Conn && o.stage == idle && !o.leaving && o.idle < c.idle {
					d.Fatalf("%d is let go, idle since %v; %d has been since %v", x.Conn, c.idle, i, o.idle)
				}
			}
		}
		c.leaving = true
	}
	for a, n := range counts {
		if n > testCapacity.MaxPerAddress {
			d.Fatal(n, "connections from", a)
		}
	}
	if used > testCapacity.MaxConnections || shaking > testCapacity.MaxHandshakes {
		d.Fatal(used, shaking)
	}
	return p
}

func (d *door) pass(to time.Duration) {
	for at, ok := d.l.NextTimer(); ok && at <= to; at, ok = d.l.NextTimer() {
		d.now = max(d.now, at)
		for d.step(Event{Kind: TimerFired}).More {
		}
	}
	d.now = to
}

func (d *door) pick() (int, *seen) {
	var all []int
	for i, c := range d.conns {
		if !c.leaving {
			all = append(all, i)
		}
	}
	if len(all) == 0 {
		return 0, nil
	}
	least := all[0]
	for _, i := range all { // a map's order is not drawn from the seed
		least = min(least, i)
	}
	n := rapid.IntRange(0, 200).Draw(d.T, "pick")
	for i := least; ; i++ {
		if c := d.conns[i%200]; c != nil && !c.leaving {
			if n--; n < 0 {
				return i % 200, c
			}
		}
	}
}

// Whatever comes: no bound is exceeded, nobody who is owed something is closed, the longest idle go first,
// and once the pressure is off everybody is let in again.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &door{T: t, l: New(rapid.Uint64().Draw(t, "seed"), testCapacity), conns: map[int]*seen{}}
		for i := range 200 {
			d.free = append(d.free, i)
		}
		addresses := rapid.IntRange(1, 20).Draw(t, "addresses")
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3:
				if len(d.free) == 0 {
					continue
				}
				i, a := d.free[0], rapid.IntRange(1, addresses).Draw(t, "address")
				p := d.step(Event{Kind: ConnectRequest, Conn: i, Address: addr(a)})
				if !p.Admit {
					if p.Reason == "" || p.RetryAfter < time.Second || p.RetryAfter > testCapacity.MaxRetryAfter {
						t.Fatal("turned away without a word", p)
					}
					continue
				}
				d.free = d.free[1:]
				d.conns[i] = &seen{addr: a, stage: handshaking, heard: d.now}
				if rapid.IntRange(0, 9).Draw(t, "slow") > 0 {
					d.conns[i].stage, d.conns[i].idle = idle, d.now
					d.step(Event{Kind: HandshakeDone, Conn: i})
				}
			case 4:
				if i, c := d.pick(); c != nil && c.stage == idle {
					c.stage = busy
					d.step(Event{Kind: Busy, Conn: i})
				}
			case 5:
				if i, c := d.pick(); c != nil && c.stage == busy {
					c.stage, c.idle = idle, d.now
					d.step(Event{Kind: Idle, Conn: i})
				}
			case 6:
				if i, c := d.pick(); c != nil {
					c.heard = d.now
					d.step(Event{Kind: Received, Conn: i})
				}
			case 7:
				if i, c := d.pick(); c != nil {
					delete(d.conns, i)
					d.free = append(d.free, i)
					d.step(Event{Kind: Closed, Conn: i})
				}
			default:
				d.pass(d.now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms"))*ms)
			}
			if rapid.Bool().Draw(t, "leave") { // who was told to go goes, sooner or later
				for i := range 200 {
					if c := d.conns[i]; c != nil && c.leaving {
						delete(d.conns, i)
						d.free = append(d.free, i)
						d.step(Event{Kind: Closed, Conn: i})
						break
					}
				}
			}
		}
		for i := range 200 {
			if d.conns[i] != nil {
				delete(d.conns, i)
				d.step(Event{Kind: Closed, Conn: i})
			}
		}
		d.pass(d.now + 10*time.Second)
		if used, busy, mode := d.l.Usage(); used != 0 || busy != 0 || mode != Normal || d.l.timers.Len() != 0 || len(d.l.byAddr) != 0 {
			t.Fatal(used, busy, mode, d.l.timers.Len())
		}
		if p := d.step(Event{Kind: ConnectRequest, Conn: 0, Address: addr(1)}); !p.Admit {
			t.Fatal("nobody there, and still turned away: ", p.Reason)
		}
	})
}

func fill(l *Limits, now time.Duration, from, to int) (admitted int) {
	for i := from; i < to; i++ {
		if l.Step(now, Event{Kind: ConnectRequest, Conn: i, Address: addr(i)}).Admit {
			admitted++
			l.Step(now, Event{Kind: HandshakeDone, Conn: i})
		}
	}
	return admitted
}

// Full of players with sessions: nobody is closed, newcomers wait; once a part has gone they are let in by
// a trickle that doubles, and one line is logged for each change of mode.
func TestFullAndBackByATrickle(t *testing.T) {
	l := New(1, testCapacity)
	now := time.Duration(0)
	var logs []string
	step := func(e Event) *Plan {
		p := l.Step(now, e)
		if p.Log != "" {
			logs = append(logs, p.Log)
		}
		return p
	}
	for i := range 95 {
		if !step(Event{Kind: ConnectRequest, Conn: i, Address: addr(i)}).Admit {
			t.Fatal(i)
		}
		step(Event{Kind: HandshakeDone, Conn: i})
		step(Event{Kind: Busy, Conn: i})
	}
	if p := step(Event{Kind: ConnectRequest, Conn: 99, Address: addr(99)}); p.Admit || p.Reason != "no room" {
		t.Fatal(p)
	}
	for range 20 {
		now += 100 * ms
		if p := step(Event{Kind: TimerFired}); len(p.Evict) > 0 {
			t.Fatal("a busy player is let go", p.Evict)
		}
	}
	for i := range 60 {
		step(Event{Kind: Closed, Conn: i})
	}
	total := 0
	for _, want := range []int{4, 8, 16, 32} {
		got := 0
		for i := range 60 {
			if l.conns[i].stage == closed && got < want && step(Event{Kind: ConnectRequest, Conn: i, Address: addr(i)}).Admit {
				got++
				step(Event{Kind: HandshakeDone, Conn: i})
			}
		}
		if total += got; got > want || got < min(want, 60-total+got) {
			t.Fatal(got, want)
		}
		now += 100 * ms
		step(Event{Kind: TimerFired})
	}
	if len(logs) < 3 {
		t.Fatal(logs)
	}
}

// A stall of the process: nobody could be heard, so nobody is given up for it.
func TestStallGivesNobodyUp(t *testing.T) {
	l := New(1, testCapacity)
	fill(l, 0, 0, 50)
	now := time.Hour
	for more := true; more; {
		p := l.Step(now, Event{Kind: TimerFired})
		if len(p.Evict) > 0 {
			t.Fatal(len(p.Evict), "given up after a stall")
		}
		more = p.More
	}
	// From then on silence counts again.
	let := 0
	for end := now + 5*testCapacity.HeartbeatInterval; ; {
		at, ok := l.NextTimer()
		if !ok || at > end {
			break
		}
		now = at
		let += len(l.Step(now, Event{Kind: TimerFired}).Evict)
	}
	if let != 50 {
		t.Fatal(let)
	}
}

func TestSigns(t *testing.T) {
	l := New(1, testCapacity)
	fill(l, 0, 0, 50)
	l.Step(0, Event{Kind: ConnectRequest, Conn: 90, Address: addr(90)}) // never shakes hands
	pings, first, let := 0, map[time.Duration]int{}, 0
	for at, ok := l.NextTimer(); ok && at < 19*time.Second; at, ok = l.NextTimer() {
		p := l.Step(at, Event{Kind: TimerFired})
		for _, i := range p.Ping {
			pings++
			first[at/time.Second]++
			l.Step(at, Event{Kind: Received, Conn: i})
		}
		for _, x := range p.Evict {
			if let++; x.Conn != 90 || at < time.Second {
				t.Fatal(x, at)
			}
		}
	}
	if let != 1 || pings < 50 || len(first) < 8 {
		t.Fatal(let, pings, first)
	}
}

func TestDrainingLetsNobodyIn(t *testing.T) {
	l := New(1, testCapacity)
	l.Step(0, Event{Kind: Draining})
	if p := l.Step(0, Event{Kind: ConnectRequest, Address: addr(1)}); p.Admit || p.Reason != "director closes" {
		t.Fatal(p)
	}
}

func TestMemoryCountsAsRoom(t *testing.T) {
	r := testCapacity
	r.MaxMemory = 1000
	l := New(1, r)
	fill(l, 0, 0, 10)
	if l.Step(0, Event{Kind: MemorySample, Memory: 960}); fill(l, 0, 10, 11) != 0 {
		t.Fatal("let in without memory")
	}
	let := 0
	for now := 100 * ms; now < 2*time.Second; now += 100 * ms {
		let += len(l.Step(now, Event{Kind: TimerFired}).Evict)
	}
	if let != 10 {
		t.Fatal(let, "let go")
	}
}

// An address of IPv6 is one of 2^64 that one subscriber has: a bound by address has to count them together.
func TestSubscribersAreCountedByTheirNetwork(t *testing.T) {
	for _, x := range []struct {
		one, two string
		admit    bool
	}{{"2001:db8:1:2::1", "2001:db8:1:2:ffff::9", false}, {"2001:db8:1:2::1", "2001:db8:1:3::1", true}, {"192.0.2.1", "192.0.2.2", true},
		{"::ffff:192.0.2.1", "192.0.2.1", false}} {
		l := New(1, Capacity{MaxConnections: 100, MaxPerAddress: 1, MaxHandshakes: 100, HeartbeatInterval: time.Second, HandshakeTimeout: time.Second, MaxRetryAfter: time.Second})
		l.Step(0, Event{Kind: ConnectRequest, Conn: 0, Address: netip.MustParseAddr(x.one)})
		if p := l.Step(0, Event{Kind: ConnectRequest, Conn: 1, Address: netip.MustParseAddr(x.two)}); p.Admit != x.admit {
			t.Errorf("%s after %s: %+v", x.two, x.one, p)
		}
	}
}
