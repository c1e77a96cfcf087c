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

// A harness drives a Loop with the real decider (package policy), one input at a time. It records the outputs of the
// loop and sends nothing.
type harness struct {
	t           testingT
	loop        *Loop
	now         time.Duration
	lastOutputs []Output          // of the last step
	outputs     []Output          // since the last clearOutputs
	links       map[string]uint64 // by node: the link of the last Connect
	ended       bool
}

// A testingT is the part of *testing.T, *testing.B and *rapid.T that the harness uses.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// testTariffs are a free tariff, clip, and a paid one, exam, which is set up at most once and has a lowest rung and a
// number of seats.
var testTariffs = []Tariff{
	{"clip", policy.Tariff{GoalTime: time.Second, HardStop: 3 * time.Second, Credit: 1, Scale: 1, Top: 2}},
	{"exam", policy.Tariff{GoalTime: time.Second, HardStop: 2 * time.Second, Credit: 3, Scale: 1, Top: 2, Floor: 1,
		AtMostOnce: true, Seats: 2}},
}

// newHarness returns a harness with that many listed and connected nodes, and with client connection 1.
func newHarness(t testingT, nodes int) *harness { return newHarnessWith(t, nodes, func(*Loop) {}) }

// newHarnessWith is newHarness with a function that changes the loop before its first step.
func newHarnessWith(t testingT, nodes int, change func(l *Loop)) *harness {
	ladder := policy.Ladder{Rates: []float64{100, 200, 400}, JoinCost: 1}
	topology := policy.Topology{Cells: 8, Racks: 2, LinkUnit: 10_000, Uplink: 100_000}
	ramp := policy.Ramp{MaxStreams: []float64{100}, Warmup: time.Second, InitialShare: 0.5, OverloadMultiple: 4, OverloadWindow: 500 * ms}
	policyTariffs := make([]policy.Tariff, len(testTariffs))
	for i, tariff := range testTariffs {
		policyTariffs[i] = tariff.Tariff
	}
	decider := policy.New(1, policy.Peers{Directors: 1}, policyTariffs, ladder, topology, ramp, policy.RetryPolicy{MaxLegs: 4},
		policy.ReportTiming{Delay: 500 * ms, Interval: 2 * time.Second, MaxBackoff: time.Second})
	h := &harness{t: t, links: map[string]uint64{}}
	h.loop = New("d", "b", 1, decider, testTariffs, []string{"box"}, ladder,
		Options{AnswerMargin: 50 * ms, Linger: time.Second, ConnectTimeout: 250 * ms, SessionsPerConnection: 4},
		connector.ReconnectPolicy{InitialBackoff: 100 * ms, MaxBackoff: time.Second, MaxConcurrent: 8,
			HeartbeatInterval: time.Second},
		shutdown.Policy{Timeout: 2 * time.Second, BatchInterval: 100 * ms},
		limits.Capacity{MaxConnections: 1000, MaxHandshakes: 100, HeartbeatInterval: 10 * time.Second,
			IdleTimeout: time.Minute, HandshakeTimeout: time.Second, MaxRetryAfter: 10 * time.Second},
		limits.QueuePolicy{MaxWait: 200 * ms, MaxRetryAfter: 10 * time.Second})
	change(h.loop)
	var entries []wire.NodeEntry
	for i := range nodes {
		entries = append(entries, upEntry(i))
	}
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Snapshot, Serial: 1, Nodes: entries,
		Titles: []wire.TitlePlacement{{Title: "t", FirstCell: 0, Copies: 8}}}})
	for i := range nodes {
		if h.links[nodeName(i)] != 0 {
			h.connectNode(nodeName(i))
		}
	}
	h.now += 1100 * ms // past the warm-up, in which a director that has just started sends less to every node
	h.step(Tick{})
	h.connectClient(1)
	h.clearOutputs()
	return h
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// upEntry is the entry of a node in the server list, with state up.
func upEntry(i int) wire.NodeEntry {
	return wire.NodeEntry{Node: nodeName(i), Address: "a:" + nodeName(i), State: wire.Up, MachineKind: "box", Weight: 1,
		Cell: i, Incarnation: uint64(i + 1)}
}

// step passes the loop one input and records its outputs.
func (h *harness) step(in Input) {
	h.t.Helper()
	h.lastOutputs = append([]Output(nil), h.loop.Step(h.now, in)...)
	h.outputs = append(h.outputs, h.lastOutputs...)
	for _, o := range h.lastOutputs {
		switch o := o.(type) {
		case Connect:
			h.links[o.Node] = o.Link
		case ShutdownComplete:
			h.ended = true
		}
	}
}

// advance moves the time forward and sends a Tick at each time that Next asks for.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	end := h.now + d
	for next := h.loop.Next(); next <= end; next = h.loop.Next() {
		h.now = max(h.now, next)
		h.step(Tick{})
	}
	h.now = end
}

func (h *harness) clearOutputs() { h.outputs = nil }

// connectClient connects a client.
func (h *harness) connectClient(conn uint64) {
	h.step(ClientConnecting{Conn: conn})
	h.step(ClientAccepted{conn})
}

// connectNode completes the connection to a node. The node's hello names no incarnation, so the one from the server
// list holds.
func (h *harness) connectNode(node string) {
	h.step(LinkConnected{node, h.links[node]})
	h.step(LinkReceived{Link: h.links[node], Message: wire.NodeMessage{Type: wire.Hello}})
}

// request sends a request on client connection 1.
func (h *harness) request(id, tariff string, change ...func(*wire.SessionMessage)) {
	h.t.Helper()
	m := wire.SessionMessage{Type: wire.Request, ID: id, Tariff: tariff, Title: "t", Key: "key-" + id, WaitMS: 5000, LengthMS: 60_000}
	for _, f := range change {
		f(&m)
	}
	h.step(ClientReceived{Conn: 1, Message: m})
}

// setups returns the set-ups sent since the last clearOutputs.
func (h *harness) setups() (all []SendNode) {
	for _, o := range h.outputs {
		if m, ok := o.(SendNode); ok && m.Message.Type == wire.Setup {
			all = append(all, m)
		}
	}
	return all
}

// clientMessages returns the messages of the given types sent to clients since the last clearOutputs.
func (h *harness) clientMessages(types ...string) (all []wire.SessionMessage) {
	for _, o := range h.outputs {
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

// answers returns the final answers sent to clients since the last clearOutputs.
func (h *harness) answers() []wire.SessionMessage {
	return h.clientMessages(wire.Playing, wire.Nack, wire.Errored)
}

// endedLegs returns the legs in the end messages sent to nodes since the last clearOutputs.
func (h *harness) endedLegs() (legs []uint64) {
	for _, o := range h.outputs {
		if m, ok := o.(SendNode); ok && m.Message.Type == wire.End {
			legs = append(legs, m.Message.Leg)
		}
	}
	return legs
}

// withdrawals returns the legs whose set-up the loop tried to withdraw since the last clearOutputs.
func (h *harness) withdrawals() (legs []uint64) {
	for _, o := range h.outputs {
		if w, ok := o.(Withdraw); ok {
			legs = append(legs, w.Leg)
		}
	}
	return legs
}

// onlySetup returns the only set-up sent since the last clearOutputs, and fails the test if there is not exactly one.
func (h *harness) onlySetup() SendNode {
	h.t.Helper()
	all := h.setups()
	if len(all) != 1 {
		h.t.Fatalf("%d set-ups, want 1", len(all))
	}
	return all[0]
}

// onlyAnswer returns the only answer sent since the last clearOutputs, and fails the test if there is not exactly one
// of that type.
func (h *harness) onlyAnswer(kind string) wire.SessionMessage {
	h.t.Helper()
	all := h.answers()
	if len(all) != 1 || all[0].Type != kind {
		h.t.Fatalf("answers %+v, want one %s", all, kind)
	}
	return all[0]
}

// requireNoState checks that the loop holds no session and no leg, and has made no illegal transition.
func (h *harness) requireNoState() {
	h.t.Helper()
	l := h.loop
	if len(l.sessions) != 0 || len(l.sessionsByKey) != 0 || len(l.legs) != 0 || l.owed != 0 || l.playing != 0 {
		h.t.Fatalf("state left: %d sessions, %d keys, %d legs, %d answers owed, %d playing", len(l.sessions), len(l.sessionsByKey),
			len(l.legs), l.owed, l.playing)
	}
	if l.counts.IllegalTransitions != 0 {
		h.t.Fatalf("%d illegal transitions", l.counts.IllegalTransitions)
	}
}

// legReply is a node's message about the leg of a set-up.
func legReply(setup SendNode, kind string) LinkReceived {
	return LinkReceived{Link: setup.Link, Message: wire.NodeMessage{Type: kind, Leg: setup.Setup}}
}
