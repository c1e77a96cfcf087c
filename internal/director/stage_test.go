package director

import (
	"fmt"
	"time"

	"fordusher/closing"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/policy"
	"fordusher/reach"
)

const ms = time.Millisecond

// A stage is a loop with the real module, stepped by hand: what goes out is kept, nothing is sent.
type stage struct {
	t     failer
	loop  *Loop
	now   time.Duration
	out   []Output          // of the last step
	all   []Output          // since the last forget
	links map[string]uint64 // by node, as last asked for
	ended bool
}

// A failer is a test, plain or drawn.
type failer interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

var tariffs = []Tariff{
	{"clip", policy.Tariff{GoalTime: time.Second, HardStop: 3 * time.Second, Credit: 1, Scale: 1, Top: 2}},
	{"exam", policy.Tariff{GoalTime: time.Second, HardStop: 2 * time.Second, Credit: 3, Scale: 1, Top: 2, Floor: 1, AtMostOnce: true, Seats: 2}},
}

func newStage(t failer, nodes int) *stage { return newStageWith(t, nodes, func(*Loop) {}) }

// newStageWith changes the loop before it hears of anything.
func newStageWith(t failer, nodes int, change func(l *Loop)) *stage {
	ladder := policy.Ladder{Rates: []float64{100, 200, 400}, JoinCost: 1}
	fleet := policy.Fleet{Cells: 8, Racks: 2, LinkUnit: 10_000, Uplink: 100_000}
	ramp := policy.Ramp{MaxStreams: []float64{100}, Warmup: time.Second, InitialShare: 0.5, OverloadMultiple: 4, OverloadWindow: 500 * ms}
	plain := make([]policy.Tariff, len(tariffs))
	for i, x := range tariffs {
		plain[i] = x.Tariff
	}
	module := policy.New(1, policy.Peers{Directors: 1}, plain, ladder, fleet, ramp, policy.RetryPolicy{MaxLegs: 4},
		policy.ReportTiming{Delay: 500 * ms, Interval: 2 * time.Second, MaxBackoff: time.Second})
	s := &stage{t: t, links: map[string]uint64{}}
	s.loop = New("d", "b", 1, module, tariffs, []string{"box"}, ladder,
		Manners{AnswerAhead: 50 * ms, Linger: time.Second, Connect: 250 * ms, PerConnection: 4},
		reach.ReconnectPolicy{InitialBackoff: 100 * ms, MaxBackoff: time.Second, MaxConcurrent: 8, HeartbeatInterval: time.Second}, closing.Policy{Timeout: 2 * time.Second, BatchInterval: 100 * ms},
		limits.Capacity{MaxConnections: 1000, MaxHandshakes: 100, HeartbeatInterval: 10 * time.Second, IdleTimeout: time.Minute, HandshakeTimeout: time.Second, MaxRetryAfter: 10 * time.Second},
		limits.QueuePolicy{MaxWait: 200 * ms, MaxRetryAfter: 10 * time.Second})
	change(s.loop)
	var entries []wire.Entry
	for i := range nodes {
		entries = append(entries, up(i))
	}
	s.do(DiscoveryReceived{wire.List{Type: wire.Whole, Serial: 1, Nodes: entries, Titles: []wire.Title{{Title: "t", Base: 0, Copies: 8}}}})
	for i := range nodes {
		if s.links[name(i)] != 0 {
			s.makeLink(name(i))
		}
	}
	s.now += 1100 * ms // past the caution of a director that has just started
	s.do(Tick{})
	s.enter(1)
	s.forget()
	return s
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

func up(i int) wire.Entry {
	return wire.Entry{Node: name(i), Address: "a:" + name(i), State: wire.Up, Kind: "box", Weight: 1, Cell: i, Start: uint64(i + 1)}
}

// do steps the loop, by way of the codec for messages, as the sockets would.
func (s *stage) do(in Input) {
	s.t.Helper()
	s.out = append([]Output(nil), s.loop.Step(s.now, in)...)
	s.all = append(s.all, s.out...)
	for _, o := range s.out {
		switch o := o.(type) {
		case Connect:
			s.links[o.Node] = o.Link
		case Ended:
			s.ended = true
		}
	}
}

// pass lets time go by, ticking whenever the loop wants to.
func (s *stage) pass(d time.Duration) {
	s.t.Helper()
	end := s.now + d
	for next := s.loop.Next(); next <= end; next = s.loop.Next() {
		s.now = max(s.now, next)
		s.do(Tick{})
	}
	s.now = end
}

func (s *stage) forget() { s.all = nil }

// enter connects a player.
func (s *stage) enter(conn uint64) {
	s.do(ClientConnecting{Conn: conn})
	s.do(ClientAccepted{conn})
}

// makeLink connects a node, which says then that it is in a start that the director knows.
func (s *stage) makeLink(node string) {
	s.do(LinkConnected{node, s.links[node]})
	s.do(LinkReceived{Link: s.links[node], Message: wire.Node{Type: wire.Hello}})
}

func (s *stage) want(id, tariff string, change ...func(*wire.Session)) {
	s.t.Helper()
	m := wire.Session{Type: wire.Want, ID: id, Tariff: tariff, Title: "t", Key: "key-" + id, Wait: 5000, Length: 60_000}
	for _, f := range change {
		f(&m)
	}
	s.do(ClientReceived{Conn: 1, Message: m})
}

// setups are the set-ups sent since the last forget.
func (s *stage) setups() (all []SendServer) {
	for _, o := range s.all {
		if m, ok := o.(SendServer); ok && m.Message.Type == wire.Setup {
			all = append(all, m)
		}
	}
	return all
}

// told are the messages of some types that players got since the last forget.
func (s *stage) told(types ...string) (all []wire.Session) {
	for _, o := range s.all {
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

func (s *stage) answers() []wire.Session { return s.told(wire.Plays, wire.Nack, wire.Errored) }

func (s *stage) ends() (legs []uint64) {
	for _, o := range s.all {
		if m, ok := o.(SendServer); ok && m.Message.Type == wire.End {
			legs = append(legs, m.Message.Leg)
		}
	}
	return legs
}

func (s *stage) withdrawals() (legs []uint64) {
	for _, o := range s.all {
		if w, ok := o.(Withdraw); ok {
			legs = append(legs, w.Leg)
		}
	}
	return legs
}

// oneLeg is the only set-up sent.
func (s *stage) oneLeg() SendServer {
	s.t.Helper()
	all := s.setups()
	if len(all) != 1 {
		s.t.Fatalf("%d set-ups, wanted 1", len(all))
	}
	return all[0]
}

// oneAnswer is the only answer, which has to be of a type.
func (s *stage) oneAnswer(kind string) wire.Session {
	s.t.Helper()
	all := s.answers()
	if len(all) != 1 || all[0].Type != kind {
		s.t.Fatalf("answers %+v, wanted one %s", all, kind)
	}
	return all[0]
}

// empty checks that nothing is left on the books.
func (s *stage) empty() {
	s.t.Helper()
	l := s.loop
	if len(l.sessions) != 0 || len(l.keys) != 0 || len(l.legs) != 0 || l.owed != 0 || l.playing != 0 {
		s.t.Fatalf("left on the books: %d sessions, %d keys, %d legs, %d owed, %d playing", len(l.sessions), len(l.keys),
			len(l.legs), l.owed, l.playing)
	}
	if l.counts.OddMove != 0 {
		s.t.Fatalf("%d odd moves", l.counts.OddMove)
	}
}

func said(g SendServer, kind string) LinkReceived {
	return LinkReceived{Link: g.Link, Message: wire.Node{Type: kind, Leg: g.Setup}}
}
