package limits

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

const ms = time.Millisecond

var testCapacity = Capacity{MaxConnections: 100, MaxPerAddress: 30, MaxHandshakes: 10,
	HeartbeatInterval: 10 * time.Second, IdleTimeout: 5 * time.Second, HandshakeTimeout: time.Second, MaxRetryAfter: 30 * time.Second}

func addr(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}) }

// limitsHarness plays the caller of Limits. It keeps its own record of the connections and checks every plan against
// it.
type limitsHarness struct {
	*rapid.T
	l        *Limits
	now      time.Duration
	expected map[int]*connRecord
	free     []int
}

// connRecord is what the harness expects of one connection.
type connRecord struct {
	addr         int
	state        connState
	idleSince    time.Duration
	lastReceived time.Duration
	evicted      bool
}

// step passes an event to Limits and checks the plan: bounds on connections, and which connections are evicted.
func (h *limitsHarness) step(e Event) *Plan {
	p := h.l.Step(h.now, e)
	counts := map[int]int{}
	used, handshakes := 0, 0
	for _, c := range h.expected {
		counts[c.addr]++
		used++
		if c.state == 1 && !c.evicted {
			handshakes++
		}
	}
	for _, x := range p.Evict {
		c := h.expected[x.Conn]
		if c == nil || c.evicted {
			h.Fatalf("connection %d is evicted though it is closed or evicted already", x.Conn)
		}
		if c.state == busy && h.now-c.lastReceived <= maxMissedHeartbeats*testCapacity.HeartbeatInterval {
			h.Fatalf("connection %d is evicted while it is busy", x.Conn)
		}
		if x.Code == 1008 && h.now-c.lastReceived < 2*testCapacity.HeartbeatInterval {
			h.Fatalf("connection %d is evicted as dead %v after data was received", x.Conn, h.now-c.lastReceived)
		}
		if x.Code == 1013 {
			if x.RetryAfter <= 0 || x.RetryAfter > testCapacity.MaxRetryAfter {
				h.Fatal("retry delay is out of bounds", x)
			}
			for i, o := range h.expected {
				if i != x.Conn && o.state == idle && !o.evicted && o.idleSince < c.idleSince {
					h.Fatalf("connection %d, idle since %v, is evicted before connection %d, idle since %v", x.Conn, c.idleSince, i, o.idleSince)
				}
			}
		}
		c.evicted = true
	}
	for a, n := range counts {
		if n > testCapacity.MaxPerAddress {
			h.Fatal(n, "connections from address", a)
		}
	}
	if used > testCapacity.MaxConnections || handshakes > testCapacity.MaxHandshakes {
		h.Fatal(used, handshakes)
	}
	return p
}

// advance lets time pass and fires the timers that are due.
func (h *limitsHarness) advance(to time.Duration) {
	for at, ok := h.l.NextTimer(); ok && at <= to; at, ok = h.l.NextTimer() {
		h.now = max(h.now, at)
		for h.step(Event{Kind: TimerFired}).More {
		}
	}
	h.now = to
}

// pickConn draws a connection that is not being evicted, nil if there is none.
func (h *limitsHarness) pickConn() (int, *connRecord) {
	var all []int
	for i, c := range h.expected {
		if !c.evicted {
			all = append(all, i)
		}
	}
	if len(all) == 0 {
		return 0, nil
	}
	least := all[0]
	for _, i := range all { // the least index is the same for the same seed; the iteration order of a map is not
		least = min(least, i)
	}
	n := rapid.IntRange(0, 200).Draw(h.T, "pick")
	for i := least; ; i++ {
		if c := h.expected[i%200]; c != nil && !c.evicted {
			if n--; n < 0 {
				return i % 200, c
			}
		}
	}
}

// connect lets a client connect from one of so many addresses, and usually complete its handshake.
func (h *limitsHarness) connect(addresses int) {
	if len(h.free) == 0 {
		return
	}
	i, a := h.free[0], rapid.IntRange(1, addresses).Draw(h.T, "address")
	p := h.step(Event{Kind: ConnectRequest, Conn: i, Address: addr(a)})
	if !p.Admit {
		if p.Reason == "" || p.RetryAfter < time.Second || p.RetryAfter > testCapacity.MaxRetryAfter {
			h.Fatal("rejected without a reason or with a retry delay out of bounds", p)
		}
		return
	}
	h.free = h.free[1:]
	h.expected[i] = &connRecord{addr: a, state: handshaking, lastReceived: h.now}
	if rapid.IntRange(0, 9).Draw(h.T, "slow") > 0 {
		h.expected[i].state, h.expected[i].idleSince = idle, h.now
		h.step(Event{Kind: HandshakeDone, Conn: i})
	}
}

// close ends a connection.
func (h *limitsHarness) close(i int) {
	delete(h.expected, i)
	h.free = append(h.free, i)
	h.step(Event{Kind: Closed, Conn: i})
}

// act draws what happens next to one connection, or lets time pass. It reports false if no client could connect.
func (h *limitsHarness) act(addresses int) bool {
	switch rapid.IntRange(0, 9).Draw(h.T, "action") {
	case 0, 1, 2, 3:
		admitted := len(h.expected)
		h.connect(addresses)
		return len(h.expected) > admitted
	case 4:
		if i, c := h.pickConn(); c != nil && c.state == idle {
			c.state = busy
			h.step(Event{Kind: Busy, Conn: i})
		}
	case 5:
		if i, c := h.pickConn(); c != nil && c.state == busy {
			c.state, c.idleSince = idle, h.now
			h.step(Event{Kind: Idle, Conn: i})
		}
	case 6:
		if i, c := h.pickConn(); c != nil {
			c.lastReceived = h.now
			h.step(Event{Kind: Received, Conn: i})
		}
	case 7:
		if i, c := h.pickConn(); c != nil {
			h.close(i)
		}
	default:
		h.advance(h.now + time.Duration(rapid.IntRange(0, 2000).Draw(h.T, "ms"))*ms)
	}
	return true
}

// closeOneEvicted closes the evicted connection with the least index: an evicted connection is closed sooner or later.
func (h *limitsHarness) closeOneEvicted() {
	for i := range 200 {
		if c := h.expected[i]; c != nil && c.evicted {
			h.close(i)
			return
		}
	}
}

// For any sequence of events, no bound is exceeded, no busy connection is evicted unless it is dead, the longest idle
// are evicted first, and once all connections are closed, a new client is admitted again.
func TestLimitsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &limitsHarness{T: t, l: New(rapid.Uint64().Draw(t, "seed"), testCapacity), expected: map[int]*connRecord{}}
		for i := range 200 {
			h.free = append(h.free, i)
		}
		addresses := rapid.IntRange(1, 20).Draw(t, "addresses")
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			if h.act(addresses) && rapid.Bool().Draw(t, "close evicted") {
				h.closeOneEvicted()
			}
		}
		for i := range 200 {
			if h.expected[i] != nil {
				h.close(i)
			}
		}
		h.advance(h.now + 10*time.Second)
		if used, busy, mode := h.l.Usage(); used != 0 || busy != 0 || mode != Normal || h.l.timers.Len() != 0 || len(h.l.byAddr) != 0 {
			t.Fatal(used, busy, mode, h.l.timers.Len())
		}
		if p := h.step(Event{Kind: ConnectRequest, Conn: 0, Address: addr(1)}); !p.Admit {
			t.Fatal("no connection is open, and a client is rejected: ", p.Reason)
		}
	})
}

// connectClients connects clients of different addresses, and returns how many are admitted.
func connectClients(l *Limits, now time.Duration, from, to int) (admitted int) {
	for i := from; i < to; i++ {
		if l.Step(now, Event{Kind: ConnectRequest, Conn: i, Address: addr(i)}).Admit {
			admitted++
			l.Step(now, Event{Kind: HandshakeDone, Conn: i})
		}
	}
	return admitted
}

// In full mode with busy clients only, no connection is evicted and new clients are rejected. Once some clients have
// disconnected, new ones are admitted up to a quota that doubles, and one line is logged for each change of mode.
func TestFullModeRecoversGradually(t *testing.T) {
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
			t.Fatal("a busy connection is evicted", p.Evict)
		}
	}
	for i := range 60 {
		step(Event{Kind: Closed, Conn: i})
	}
	total := 0
	for _, want := range []int{4, 8, 16, 32} {
		got := 0
		for i := range 60 {
			if l.conns[i].state == closed && got < want && step(Event{Kind: ConnectRequest, Conn: i, Address: addr(i)}).Admit {
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

// Guards against evictions after a stall of the process: no answer could be read meanwhile, so no connection counts as
// dead.
func TestProcessStallEvictsNoConnection(t *testing.T) {
	l := New(1, testCapacity)
	connectClients(l, 0, 0, 50)
	now := time.Hour
	for more := true; more; {
		p := l.Step(now, Event{Kind: TimerFired})
		if len(p.Evict) > 0 {
			t.Fatal(len(p.Evict), "connections are evicted after a stall")
		}
		more = p.More
	}
	// From then on unanswered heartbeats count again.
	evicted := 0
	for end := now + 5*testCapacity.HeartbeatInterval; ; {
		at, ok := l.NextTimer()
		if !ok || at > end {
			break
		}
		now = at
		evicted += len(l.Step(now, Event{Kind: TimerFired}).Evict)
	}
	if evicted != 50 {
		t.Fatal(evicted)
	}
}

// Idle connections are probed by heartbeats, spread over the seconds of an interval, and those that answer are not
// evicted; one that does not complete its handshake is evicted after HandshakeTimeout.
func TestHeartbeatsAndHandshakeTimeout(t *testing.T) {
	l := New(1, testCapacity)
	connectClients(l, 0, 0, 50)
	l.Step(0, Event{Kind: ConnectRequest, Conn: 90, Address: addr(90)}) // never completes its handshake
	pings, pingsBySecond, evicted := 0, map[time.Duration]int{}, 0
	for at, ok := l.NextTimer(); ok && at < 19*time.Second; at, ok = l.NextTimer() {
		p := l.Step(at, Event{Kind: TimerFired})
		for _, i := range p.Ping {
			pings++
			pingsBySecond[at/time.Second]++
			l.Step(at, Event{Kind: Received, Conn: i})
		}
		for _, x := range p.Evict {
			if evicted++; x.Conn != 90 || at < time.Second {
				t.Fatal(x, at)
			}
		}
	}
	if evicted != 1 || pings < 50 || len(pingsBySecond) < 8 {
		t.Fatal(evicted, pings, pingsBySecond)
	}
}

func TestDrainingRejectsNewConnections(t *testing.T) {
	l := New(1, testCapacity)
	l.Step(0, Event{Kind: Draining})
	if p := l.Step(0, Event{Kind: ConnectRequest, Address: addr(1)}); p.Admit || p.Reason != "director closes" {
		t.Fatal(p)
	}
}

func TestMemoryCountsTowardUsage(t *testing.T) {
	capacity := testCapacity
	capacity.MaxMemory = 1000
	l := New(1, capacity)
	connectClients(l, 0, 0, 10)
	if l.Step(0, Event{Kind: MemorySample, Memory: 960}); connectClients(l, 0, 10, 11) != 0 {
		t.Fatal("a client is admitted though the memory is used up")
	}
	evicted := 0
	for now := 100 * ms; now < 2*time.Second; now += 100 * ms {
		evicted += len(l.Step(now, Event{Kind: TimerFired}).Evict)
	}
	if evicted != 10 {
		t.Fatal(evicted, "connections are evicted, want 10")
	}
}

// One subscriber has 2^64 IPv6 addresses, so the bound per address has to count their connections together.
func TestIPv6AddressesAreCountedByNetwork(t *testing.T) {
	for _, x := range []struct {
		one, two string
		admit    bool
	}{{"2001:db8:1:2::1", "2001:db8:1:2:ffff::9", false}, {"2001:db8:1:2::1", "2001:db8:1:3::1", true}, {"192.0.2.1", "192.0.2.2", true},
		{"::ffff:192.0.2.1", "192.0.2.1", false}} {
		l := New(1, Capacity{MaxConnections: 100, MaxPerAddress: 1, MaxHandshakes: 100,
			HeartbeatInterval: time.Second, HandshakeTimeout: time.Second, MaxRetryAfter: time.Second})
		l.Step(0, Event{Kind: ConnectRequest, Conn: 0, Address: netip.MustParseAddr(x.one)})
		if p := l.Step(0, Event{Kind: ConnectRequest, Conn: 1, Address: netip.MustParseAddr(x.two)}); p.Admit != x.admit {
			t.Errorf("%s after %s: %+v", x.two, x.one, p)
		}
	}
}
