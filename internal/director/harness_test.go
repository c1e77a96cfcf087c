package director

import (
	"fmt"
	"time"

	"fordusher/connector"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/policy"
	"fordusher/shutdown"
)

const ms = time.Millisecond

// A harness is a loop with the real module, stepped by hand: what goes out is kept, nothing is sent.
type harness struct {
	t           testingT
	loop        *Loop
	now         time.Duration
	lastOutputs []Output          // of the last step
	outputs     []Output          // since the last forget
	links       map[string]uint64 // by node, as last asked for
	ended       bool
}

// A testingT is a test, plain or drawn.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

var testTariffs = []Tariff{
	{"clip", policy.Tariff{GoalTime: time.Second, HardStop: 3 * time.Second, Credit: 1, Scale: 1, Top: 2}},
	{"exam", policy.Tariff{GoalTime: time.Second, HardStop: 2 * time.Second, Credit: 3, Scale: 1, Top: 2, Floor: 1, AtMostOnce: true, Seats: 2}},
}

func newHarness(t testingT, nodes int) *harness { return newHarnessWith(t, nodes, func(*Loop) {}) }

// newHarnessWith changes the loop before it hears of anything.
func newHarnessWith(t testingT, nodes int, change func(l *Loop)) *harness {
	ladder := policy.Ladder{Rates: []float64{100, 200, 400}, JoinCost: 1}
	fleet := policy.Fleet{Cells: 8, Racks: 2, LinkUnit: 10_000, Uplink: 100_000}
	ramp := policy.Ramp{MaxStreams: []float64{100}, Warmup: time.Second, InitialShare: 0.5, OverloadMultiple: 4, OverloadWindow: 500 * ms}
	plain := make([]policy.Tariff, len(testTariffs))
	for i, x := range testTariffs {
		plain[i] = x.Tariff
	}
	module := policy.New(1, policy.Peers{Directors: 1}, plain, ladder, fleet, ramp, policy.RetryPolicy{MaxLegs: 4},
		policy.ReportTiming{Delay: 500 * ms, Interval: 2 * time.Second, MaxBackoff: time.Second})
	s := &harness{t: t, links: map[string]uint64{}}
	s.loop = New("d", "b", 1, module, testTariffs, []string{"box"}, ladder,
		Options{AnswerMargin: 50 * ms, Linger: time.Second, ConnectTimeout: 250 * ms, SessionsPerConnection: 4},
		connector.ReconnectPolicy{InitialBackoff: 100 * ms, MaxBackoff: time.Second, MaxConcurrent: 8, HeartbeatInterval: time.Second}, shutdown.Policy{Timeout: 2 * time.Second, BatchInterval: 100 * ms},
		limits.Capacity{MaxConnections: 1000, MaxHandshakes: 100, HeartbeatInterval: 10 * time.Second, IdleTimeout: time.Minute, HandshakeTimeout: time.Second, MaxRetryAfter: 10 * time.Second},
		limits.QueuePolicy{MaxWait: 200 * ms, MaxRetryAfter: 10 * time.Second})
	change(s.loop)
	var entries []wire.NodeEntry
	for i := range nodes {
		entries = append(entries, upEntry(i))
	}
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Snapshot, Serial: 1, Nodes: entries, Titles: []wire.TitlePlacement{{Title: "t", FirstCell: 0, Copies: 8}}}})
	for i := range nodes {
		if s.links[nodeName(i)] != 0 {
			s.connectNode(nodeName(i))
		}
	}
	s.now += 1100 * ms // past the caution of a director that has just started
	s.step(Tick{})
	s.connectClient(1)
	s.clearOutputs()
	return s
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

func upEntry(i int) wire.NodeEntry {
	return wire.NodeEntry{Node: nodeName(i), Address: "a:" + nodeName(i), State: wire.Up, MachineKind: "box", Weight: 1, Cell: i, Incarnation: uint64(i + 1)}
}

// step steps the loop, by way of the codec for messages, as the sockets would.
func (s *harness) step(in Input) {
	s.t.Helper()
	s.lastOutputs = append([]Output(nil), s.loop.Step(s.now, in)...)
	s.outputs = append(s.outputs, s.lastOutputs...)
	for _, o := range s.lastOutputs {
		switch o := o.(type) {
		case Connect:
			s.links[o.Node] = o.Link
		case ShutdownComplete:
			s.ended = true
		}
	}
}

// advance lets time go by, ticking whenever the loop wants to.
func (s *harness) advance(d time.Duration) {
	s.t.Helper()
	end := s.now + d
	for next := s.loop.Next(); next <= end; next = s.loop.Next() {
		s.now = max(s.now, next)
		s.step(Tick{})
	}
	s.now = end
}

func (s *harness) clearOutputs() { s.outputs = nil }

// connectClient connects a player.
func (s *harness) connectClient(conn uint64) {
	s.step(ClientConnecting{Conn: conn})
	s.step(ClientAccepted{conn})
}

// connectNode connects a node, which says then that it is in a start that the director knows.
func (s *harness) connectNode(node string) {
	s.step(LinkConnected{node, s.links[node]})
	s.step(LinkReceived{Link: s.links[node], Message: wire.NodeMessage{Type: wire.Hello}})
}

func (s *harness) request(id, tariff string, change ...func(*wire.SessionMessage)) {
	s.t.Helper()
	m := wire.SessionMessage{Type: wire.Request, ID: id, Tariff: tariff, Title: "t", Key: "key-" + id, WaitMS: 5000, LengthMS: 60_000}
	for _, f := range change {
		f(&m)
	}
	s.step(ClientReceived{Conn: 1, Message: m})
}

// setups are the set-ups sent since the last forget.
func (s *harness) setups() (all []SendNode) {
	for _, o := range s.outputs {
		if m, ok := o.(SendNode); ok && m.Message.Type == wire.Setup {
			all = append(all, m)
		}
	}
	return all
}

// clientMessages are the messages of some types that players got since the last forget.
func (s *harness) clientMessages(types ...string) (all []wire.SessionMessage) {
	for _, o := range s.outputs {
		if m, ok := o.(SendClient); ok {
			for _, t := range types {
				if m.Message.Type == t {
					all = append(all, m.Message)
				}
			}
		}
	}
	return all
}

func (s *harness) answers() []wire.SessionMessage {
	return s.clientMessages(wire.Playing, wire.Nack, wire.Errored)
}

func (s *harness) endedLegs() (legs []uint64) {
	for _, o := range s.outputs {
		if m, ok := o.(SendNode); ok && m.Message.Type == wire.End {
			legs = append(legs, m.Message.Leg)
		}
	}
	return legs
}

func (s *harness) withdrawals() (legs []uint64) {
	for _, o := range s.outputs {
		if w, ok := o.(Withdraw); ok {
			legs = append(legs, w.Leg)
		}
	}
	return legs
}

// onlySetup is the only set-up sent.
func (s *harness) onlySetup() SendNode {
	s.t.Helper()
	all := s.setups()
	if len(all) != 1 {
		s.t.Fatalf("%d set-ups, wanted 1", len(all))
	}
	return all[0]
}

// onlyAnswer is the only answer, which has to be of a type.
func (s *harness) onlyAnswer(kind string) wire.SessionMessage {
	s.t.Helper()
	all := s.answers()
	if len(all) != 1 || all[0].Type != kind {
		s.t.Fatalf("answers %+v, wanted one %s", all, kind)
	}
	return all[0]
}

// requireNoState checks that nothing is left on the books.
func (s *harness) requireNoState() {
	s.t.Helper()
	l := s.loop
	if len(l.sessions) != 0 || len(l.sessionsByKey) != 0 || len(l.legs) != 0 || l.owed != 0 || l.playing != 0 {
		s.t.Fatalf("left on the books: %d sessions, %d keys, %d legs, %d owed, %d playing", len(l.sessions), len(l.sessionsByKey),
			len(l.legs), l.owed, l.playing)
	}
	if l.counts.IllegalTransitions != 0 {
		s.t.Fatalf("%d odd moves", l.counts.IllegalTransitions)
	}
}

func legReply(g SendNode, kind string) LinkReceived {
	return LinkReceived{Link: g.Link, Message: wire.NodeMessage{Type: kind, Leg: g.Setup}}
}
