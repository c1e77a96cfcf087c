package director

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"fordusher/closing"
	"fordusher/internal/wire"
	"fordusher/internal/witness"
	"fordusher/limits"
	"fordusher/policy"
	"fordusher/reach"
)

// A town is several directors' loops with the real module, on nodes that they share, with a list and viewers that
// do whatever a seed draws. What goes in and out is recorded, and the witness judges the rules from that alone.
type town struct {
	*rand.Rand
	t       failer
	charter charter
	now     time.Duration
	posts   []*post
	nodes   []*machine
	records []witness.Record
	numbers uint64 // of connections
	bites   int    // how often the rule that is looked at could have been broken
}

// A charter is what a town's directors are told, and what is broken in them on purpose.
type charter struct {
	rule      string
	directors int
	nodes     int
	steps     int
	crowd     int // requests that come together at most
	tariffs   []Tariff
	ramp      policy.Ramp
	legs      policy.RetryPolicy
	says      []string // what nodes say of a leg
	ages      bool     // nodes and list tell ages
	lie       func(policy.Event) policy.Event
	drop      func(Output) bool
	module    func(*given)
	unguarded bool
}

// given is what a module is told at its start.
type given struct {
	tariffs []policy.Tariff
	ramp    policy.Ramp
	legs    policy.RetryPolicy
}

// A liar is a module that is told something else than what happened.
type liar struct {
	Decider
	lie func(policy.Event) policy.Event
}

func (l liar) Step(now time.Duration, e policy.Event) []policy.Action {
	return l.Decider.Step(now, l.lie(e))
}

type machine struct {
	name          string
	start         uint64
	born          time.Duration // under 0: long ago
	up            bool
	entry         wire.Entry // as the list has it
	before        wire.Entry // as it had it before
	startedInSpan bool
}

// A post is a director at work.
type post struct {
	*town
	number, boot int
	loop         *Loop
	began        time.Duration
	late         time.Duration // it stands still until then
	todo         []Input
	doing        bool
	lines        map[uint64]*line // by link, connected or being connected
	conns        []uint64
	asked        []viewer
	heard        map[uint64][]wire.Entry // by serial
	serial       uint64
	ended        bool
}

type viewer struct {
	conn uint64
	want wire.Session
}

// A line is a connection to a node. While it is stuck, what is sent stays with the director.
type line struct {
	m      *machine
	conn   uint64
	made   bool
	stuck  bool
	queued []SendServer
	legs   map[uint64]onNode
}

// onNode is a leg as its node has it.
type onNode struct {
	plays bool
	until time.Duration // it is not started later
}

func newTown(t failer, seed uint64, c charter) *town {
	w := &town{Rand: rand.New(rand.NewPCG(seed, 2026)), t: t, charter: c}
	for i := range c.nodes {
		m := &machine{name: name(i), start: uint64(i + 1), born: -1, up: true}
		m.entry = up(i)
		m.before = m.entry
		w.nodes = append(w.nodes, m)
	}
	for i := range c.directors {
		p := &post{town: w, number: i}
		w.posts = append(w.posts, p)
		p.run()
	}
	return w
}

func (w *town) note(r witness.Record) {
	r.At = w.now
	w.records = append(w.records, r)
}

// odds says yes once in so many times.
func (w *town) odds(n int) bool { return w.IntN(n) == 0 }

func one[V any](w *town, all []V) V { return all[w.IntN(len(all))] }

// run starts a director that knows nothing.
func (p *post) run() {
	c := p.charter
	p.boot++
	p.began, p.late, p.ended = p.now, p.now, false
	p.lines, p.conns, p.asked, p.heard, p.todo = map[uint64]*line{}, nil, nil, map[uint64][]wire.Entry{}, nil
	g := given{ramp: c.ramp, legs: c.legs}
	for _, x := range c.tariffs {
		g.tariffs = append(g.tariffs, x.Tariff)
	}
	if c.module != nil {
		c.module(&g)
	}
	ladder := policy.Ladder{Rates: []float64{100, 200, 400}, JoinCost: 1}
	seed := p.Uint64()
	var module Decider = policy.New(seed, policy.Peers{Index: p.number, Directors: c.directors}, g.tariffs, ladder,
		policy.Fleet{Cells: 8, Racks: 2, LinkUnit: 10_000, Uplink: 100_000}, g.ramp, g.legs,
		policy.ReportTiming{Delay: 500 * ms, Interval: 2 * time.Second, MaxBackoff: time.Second})
	if c.lie != nil {
		module = liar{module, c.lie}
	}
	p.loop = New(p.name(), fmt.Sprint(p.boot), seed, module, c.tariffs, []string{"box"}, ladder,
		Manners{AnswerAhead: 50 * ms, Linger: time.Second, Connect: 250 * ms, PerConnection: 4},
		reach.ReconnectPolicy{InitialBackoff: 100 * ms, MaxBackoff: time.Second, MaxConcurrent: 8, HeartbeatInterval: time.Second}, closing.Policy{Timeout: 2 * time.Second, BatchInterval: 100 * ms},
		limits.Capacity{MaxConnections: 1000, MaxHandshakes: 100, HeartbeatInterval: 10 * time.Second, IdleTimeout: time.Minute, HandshakeTimeout: time.Second, MaxRetryAfter: 10 * time.Second},
		limits.QueuePolicy{MaxWait: 200 * ms, MaxRetryAfter: 10 * time.Second})
	p.loop.unguarded = c.unguarded
	p.note(witness.Record{What: witness.Returned, Director: p.name()})
	p.do(DiscoveryConnected{})
}

func (p *post) name() string { return fmt.Sprint("d", p.number) }

// do lets a director hear something, and all that follows from it at once.
func (p *post) do(in Input) {
	p.todo = append(p.todo, in)
	if p.doing {
		return
	}
	p.doing = true
	for len(p.todo) > 0 {
		next := p.todo[0]
		p.todo = p.todo[1:]
		for _, o := range slices.Clone(p.loop.Step(p.now-p.began, next)) {
			if p.charter.drop == nil || !p.charter.drop(o) {
				p.carryOut(o)
			}
		}
	}
	p.doing = false
}

func (p *post) carryOut(o Output) {
	switch o := o.(type) {
	case SendClient:
		if k := o.Message.Type; k == wire.Plays || k == wire.Nack || k == wire.Errored {
			p.note(witness.Record{What: k, Director: p.name(), Conn: o.Conn, ID: o.Message.ID, Session: o.Message.Session})
			if p.charter.rule == witness.RuleAnswer && k != wire.Plays {
				p.bites++
			}
		}
	case AcceptClient:
		p.do(ClientAccepted(o))
	case RejectClient:
		p.conns = slices.DeleteFunc(p.conns, func(x uint64) bool { return x == o.Conn })
	case CloseClient:
		p.note(witness.Record{What: witness.Closed, Conn: o.Conn, By: witness.ByPeer, Why: fmt.Sprintf("%d %s", o.Code, o.Why)})
		p.leave(o.Conn)
	case Connect:
		p.lines[o.Link] = &line{m: p.nodes[slices.IndexFunc(p.nodes, func(m *machine) bool { return m.name == o.Node })], legs: map[uint64]onNode{}}
	case SendServer:
		l := p.lines[o.Link]
		if l != nil && o.Message.Type == wire.End { // from now on it is no leg of this director, whenever the node hears of it
			p.note(witness.Record{What: wire.End, Node: l.m.name, Conn: l.conn, Director: p.name(), Leg: o.Message.Leg})
		}
		switch {
		case l == nil || !l.made:
			if o.Setup != 0 {
				p.do(Withdrawn{o.Setup})
			}
		case l.stuck:
			l.queued = append(l.queued, o)
		default:
			p.deliver(l, o)
		}
	case Withdraw:
		if l := p.lines[o.Link]; l != nil {
			if i := slices.IndexFunc(l.queued, func(q SendServer) bool { return q.Setup == o.Leg }); i >= 0 {
				l.queued = slices.Delete(l.queued, i, i+1)
				p.do(Withdrawn{o.Leg})
			}
		}
	case ProbeLink:
		p.do(LinkAlive{Link: o.Link})
	case CloseLink:
		p.hungUp(o.Link)
	case SendDiscovery:
		switch o.Message.Type {
		case wire.Listen:
			p.note(witness.Record{What: witness.Listens, Director: p.name()})
			p.whole(false)
		case wire.Heard:
			for _, e := range p.heard[o.Message.Serial] {
				p.note(witness.Record{What: witness.Told, Director: p.name(), Node: e.Node, State: e.State})
				if p.charter.rule == witness.RuleDrain && e.State != wire.Up {
					p.bites++
				}
			}
			delete(p.heard, o.Message.Serial)
		}
	case Ended:
		p.ended = true
	}
}

// deliver is a message that has reached its node.
func (p *post) deliver(l *line, o SendServer) {
	m := o.Message
	r := witness.Record{What: m.Type, Node: l.m.name, Conn: l.conn, Director: p.name(), Session: m.Session, Leg: m.Leg, Tariff: m.Tariff,
		Title: m.Title, Rung: m.Rung, Within: time.Duration(m.Within) * ms}
	switch m.Type {
	case wire.Setup:
		l.legs[m.Leg] = onNode{until: p.now + r.Within}
		if l.m.startedInSpan && p.now < l.m.born+p.charter.ramp.Warmup && p.charter.rule == witness.RuleCold {
			p.bites++
		}
	case wire.Rung:
	case wire.End:
		delete(l.legs, m.Leg)
		return
	default:
		return
	}
	p.note(r)
}

// leave takes a player's connection off a director.
func (p *post) leave(conn uint64) {
	p.conns = slices.DeleteFunc(p.conns, func(x uint64) bool { return x == conn })
	p.asked = slices.DeleteFunc(p.asked, func(v viewer) bool { return v.conn == conn })
	p.do(ClientLost{Conn: conn})
}

// hungUp is a connection's end as its node sees it.
func (p *post) hungUp(link uint64) (l *line) {
	if l = p.lines[link]; l != nil && l.made {
		p.note(witness.Record{What: witness.Closed, Node: l.m.name, Conn: l.conn})
	}
	delete(p.lines, link)
	return l
}

// lose ends a connection from the node's side: what is still queued never left.
func (p *post) lose(link uint64) {
	var unsent []uint64
	for _, q := range p.hungUp(link).queued {
		if q.Setup != 0 {
			unsent = append(unsent, q.Setup)
		}
	}
	p.do(LinkLost{Link: link, Unsent: unsent})
}

// sight is the list's line of a node as a director hears it now.
func (p *post) sight(m *machine, e wire.Entry) wire.Entry {
	if p.charter.ages && m.born >= 0 && e.Start == m.start && p.now > m.born {
		e.Age = max(1, (p.now - m.born).Milliseconds())
	}
	return e
}

func (p *post) whole(behind bool) {
	word := wire.List{Type: wire.Whole, Titles: []wire.Title{{Title: "t", Base: 0, Copies: 8}, {Title: "u", Base: 1, Copies: 7}}}
	var gone []wire.Entry
	for _, m := range p.nodes {
		e := m.entry
		if behind {
			e = m.before
		}
		if e.State == wire.Removed {
			gone = append(gone, e)
		} else {
			word.Nodes = append(word.Nodes, p.sight(m, e))
		}
	}
	p.tell(word, gone...)
}

// tell hands a director a word of the list, by way of the codec.
func (p *post) tell(word wire.List, unnamed ...wire.Entry) {
	p.serial++
	word.Serial = p.serial
	p.heard[p.serial] = append(unnamed, word.Nodes...)
	m, err := wire.DecodeList(wire.Encode(word))
	if err != nil {
		p.t.Fatal(err)
	}
	p.do(DiscoveryReceived{m})
}

// pass lets time go by; a director that stands still catches up when its time has come.
func (w *town) pass(d time.Duration) {
	for end := w.now + d; ; {
		var first *post
		at := end + 1
		for _, p := range w.posts {
			if next := p.loop.Next(); !p.ended && next <= end {
				if next = max(p.began+next, p.late, w.now); next < at {
					first, at = p, next
				}
			}
		}
		if first == nil || at > end {
			w.now = end
			return
		}
		w.now = at
		first.do(Tick{})
	}
}

// links of a director in order, of those that are made or not.
func (p *post) links(made bool) (all []uint64) {
	for link, l := range p.lines {
		if l.made == made {
			all = append(all, link)
		}
	}
	slices.Sort(all)
	return all
}

// step is one thing that happens to a director, a node or the list.
func (w *town) step() {
	p := one(w, w.posts)
	if p.ended { // the next one takes its place
		p.kill()
		p.run()
	}
	if p.late > w.now {
		p = one(w, w.posts)
	}
	switch w.IntN(24) {
	case 0, 1, 2, 3, 4:
		p.ask()
	case 5:
		if len(p.asked) > 0 { // again, or leaving
			v := one(w, p.asked)
			if w.odds(2) {
				v.want = wire.Session{Type: wire.Leave, ID: v.want.ID}
				p.asked = slices.DeleteFunc(p.asked, func(x viewer) bool { return x.conn == v.conn && x.want.ID == v.want.ID })
			}
			p.say(v)
		}
	case 6:
		if len(p.conns) > 0 && w.odds(2) {
			conn := one(w, p.conns)
			w.note(witness.Record{What: witness.Closed, Conn: conn, By: witness.ByUs})
			p.leave(conn)
		}
	case 7, 8, 9, 10, 11, 12:
		p.nodeAnswers()
	case 13, 14, 15:
		for _, link := range p.links(false) {
			p.connected(link)
		}
	case 16:
		if made := p.links(true); len(made) > 0 {
			link := one(w, made)
			l := p.lines[link]
			if l.stuck = !l.stuck && w.odds(2); !l.stuck {
				for len(l.queued) > 0 {
					o := l.queued[0]
					l.queued = l.queued[1:]
					p.deliver(l, o)
				}
			}
		}
	case 17:
		if made := p.links(true); len(made) > 0 && w.odds(2) {
			p.lose(one(w, made))
		}
	case 18:
		m := one(w, w.nodes)
		if i := slices.IndexFunc(w.nodes, func(m *machine) bool { return !m.up }); i >= 0 {
			m = w.nodes[i]
		}
		w.nodeTurns(m)
	case 19, 20:
		w.listTurns(one(w, w.nodes))
	case 21: // a list that is behind, or repeats itself
		p.whole(w.odds(3))
	case 22:
		p.late = w.now + time.Duration(w.IntN(40))*ms
	case 23:
		if w.odds(6) {
			p.do(Stop{})
		} else if w.odds(4) {
			p.kill()
			p.run()
		}
	}
	w.pass(time.Duration(w.IntN(250)) * ms)
}

// kill ends a director at once, with all its connections.
func (p *post) kill() {
	p.note(witness.Record{What: witness.Killed, Director: p.name()})
	for _, made := range []bool{true, false} {
		for _, link := range p.links(made) {
			p.hungUp(link)
		}
	}
}

// ask lets viewers want something, some of them with a key that another has, some after a wait in line.
func (p *post) ask() {
	for range 1 + p.IntN(p.charter.crowd) {
		if len(p.conns) == 0 || p.odds(2) && len(p.conns) < 40 {
			p.numbers++
			p.conns = append(p.conns, p.numbers)
			p.do(ClientConnecting{Conn: p.numbers, Address: netip.AddrFrom4([4]byte{10, 0, 0, byte(p.IntN(3))})})
		}
		if len(p.conns) == 0 {
			return // turned away: the director closes
		}
		p.numbers++
		v := viewer{one(p.town, p.conns), wire.Session{Type: wire.Want, ID: fmt.Sprint(p.numbers), Tariff: one(p.town, p.charter.tariffs).Name,
			Title: one(p.town, []string{"t", "t", "t", "u", "none"}), Key: fmt.Sprint("k", p.numbers), Wait: int64(100 + p.IntN(3900)), Length: 60_000}}
		if len(p.asked) > 0 && p.odds(5) {
			v.want.Key = one(p.town, p.asked).want.Key
		}
		p.asked = append(p.asked, v)
		p.say(v)
	}
}

// say lets a viewer say something, by way of the codec.
func (p *post) say(v viewer) {
	m, err := wire.DecodeSession(wire.Encode(v.want))
	if err != nil {
		p.t.Fatal(err)
	}
	if !slices.Contains(p.conns, v.conn) {
		return
	}
	waited := time.Duration(one(p.town, []int{0, 0, 0, 0, 120, 300})) * ms
	r := witness.Record{What: m.Type, Director: p.name(), Conn: v.conn, ID: m.ID, Tariff: m.Tariff, Title: m.Title, Wait: time.Duration(m.Wait) * ms}
	for _, t := range p.charter.tariffs {
		if t.Name == m.Tariff { // what has stood in line for longer than the viewer waits is answered in the same step
			r.Wait = max(waited, min(r.Wait, t.HardStop)) - waited
		}
	}
	// A key that is shown again takes the session over, and excuses the request that had it.
	if s := p.loop.keys[m.Key]; m.Type == wire.Want && s != nil && s.conn != nil && s.conn.requests[m.ID] == nil {
		p.note(witness.Record{What: wire.Leave, Director: p.name(), Conn: s.conn.number, ID: s.request})
	}
	p.note(r)
	p.do(ClientReceived{Conn: v.conn, Message: m, Waited: waited})
}

// nodeAnswers lets a node say something of a leg, or of none that is known any more.
func (p *post) nodeAnswers() {
	var links, legs []uint64
	for _, link := range p.links(true) {
		for leg := range p.lines[link].legs {
			links, legs = append(links, link), append(legs, leg)
		}
	}
	if len(legs) == 0 {
		p.do(LinkReceived{Link: p.numbers, Message: wire.Node{Type: wire.Accepted, Leg: 1}}) // of a connection that is no more
		return
	}
	order := make([]int, len(legs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(legs[a], legs[b]) })
	for range 1 + p.IntN(2) {
		i := one(p.town, order)
		l := p.lines[links[i]]
		if l == nil {
			return
		}
		was, there := l.legs[legs[i]]
		if !there {
			return
		}
		m := wire.Node{Type: one(p.town, p.charter.says), Leg: legs[i]}
		switch {
		case m.Type == wire.Note:
			m.Kind, m.Value = 1+p.IntN(4), one(p.town, []float64{0, 0.3, 0.9, 1.2, 3, 1e6})
		case m.Type == wire.Accepted:
			if was.plays || p.now > was.until {
				return
			}
			l.legs[legs[i]] = onNode{plays: true}
		case m.Type == wire.Full && was.plays: // no node takes that back
			return
		default:
			delete(l.legs, legs[i])
			if p.charter.rule == witness.RuleOnce && !was.plays {
				p.bites++
			}
		}
		if m.Type != wire.Note {
			p.note(witness.Record{What: m.Type, Node: l.m.name, Conn: l.conn, Director: p.name(), Leg: m.Leg})
		}
		if p.odds(3) {
			m.Load = &wire.Load{Streams: new(one(p.town, []float64{0, 5, 1e6})), Link: new(p.Float64() * 2)}
		}
		p.do(LinkReceived{Link: links[i], Message: m})
	}
}

// connected ends a try to reach a node.
func (p *post) connected(link uint64) {
	l := p.lines[link]
	if l == nil {
		return
	}
	if !l.m.up || p.odds(5) {
		delete(p.lines, link)
		p.do(LinkFailed{Node: l.m.name, Link: link})
		return
	}
	p.numbers++
	l.made, l.conn = true, p.numbers
	p.do(LinkConnected{Node: l.m.name, Link: link})
	if p.lines[link] == nil || p.odds(12) { // no greeting: what waits for it is cut off in its time
		return
	}
	hello := wire.Node{Type: wire.Hello, Start: l.m.start}
	if p.charter.ages && l.m.born >= 0 {
		hello.Age = max(1, (p.now - l.m.born).Milliseconds())
	}
	p.do(LinkReceived{Link: link, Message: hello})
}

// nodeTurns ends a node's process or starts it anew, under the same name.
func (w *town) nodeTurns(m *machine) {
	if m.up {
		m.up = false
		w.note(witness.Record{What: witness.Died, Node: m.name})
		for _, p := range w.posts {
			for _, link := range p.links(true) {
				if l := p.lines[link]; l != nil && l.m == m {
					p.lose(link)
				}
			}
		}
		return
	}
	m.up, m.born, m.startedInSpan = true, w.now, true
	if m.start += uint64(1 + w.IntN(3)); w.odds(4) { // another number, not a higher one
		m.start = w.Uint64N(50) + 100
	}
	w.note(witness.Record{What: witness.Started, Node: m.name, Places: w.charter.ramp.MaxStreams[0]})
}

// listTurns lets the list say something new of a node, to some directors now and to the others later.
func (w *town) listTurns(m *machine) {
	m.before = m.entry
	m.entry.State = wire.Up
	if m.before.State == wire.Up {
		m.entry.State = one(w, []string{wire.Up, wire.Draining, wire.Removed})
	}
	if m.entry.Start = m.start; w.odds(6) { // somewhere else, or of another size, under the same name
		m.entry.Cell, m.entry.Weight = w.IntN(8), 0.5+2*w.Float64()
		m.entry.Address = fmt.Sprint("a:", w.IntN(100))
	}
	for _, p := range w.posts {
		switch {
		case p.ended || w.odds(3): // it hears with the next whole list
		case w.odds(4): // twice, the earlier word last
			p.tell(wire.List{Type: wire.Update, Nodes: []wire.Entry{p.sight(m, m.entry)}})
			p.tell(wire.List{Type: wire.Update, Nodes: []wire.Entry{p.sight(m, m.before)}})
		default:
			p.tell(wire.List{Type: wire.Update, Nodes: []wire.Entry{p.sight(m, m.entry)}})
		}
	}
}

// play goes through a town's days and lets the witness judge them.
func (w *town) play() witness.Verdict {
	w.pass(1100 * ms)
	for range w.charter.steps {
		w.step()
	}
	w.pass(5 * time.Second)
	c := w.charter
	terms := witness.Terms{Tariffs: map[string]witness.Tariff{}, Grace: 0, Warmup: c.ramp.Warmup, ColdFrom: c.ramp.InitialShare, Multiple: c.ramp.OverloadMultiple,
		TipAfter: c.ramp.OverloadWindow, Most: c.legs.MaxLegs, Spare: c.legs.MinRetries, Share: c.legs.RetryRatio, Span: c.legs.Window}
	for _, t := range c.tariffs {
		terms.Tariffs[t.Name] = witness.Tariff{Paid: t.AtMostOnce, Floor: t.Floor, Seats: t.Seats}
	}
	witness.Sort(w.records)
	return witness.Check(terms, w.records)
}

// goHome lets everybody go and looks for what is left on the books.
func (w *town) goHome() {
	for _, p := range w.posts {
		for _, conn := range slices.Clone(p.conns) {
			p.leave(conn)
		}
	}
	w.pass(5 * time.Second)
	for _, p := range w.posts {
		for _, link := range p.links(true) {
			if p.lines[link] != nil {
				p.lose(link)
			}
		}
		if l := p.loop; len(l.sessions)+len(l.keys)+len(l.legs)+l.owed+l.playing != 0 || l.counts.OddMove != 0 {
			w.t.Fatalf("%s: left on the books: %d sessions, %d keys, %d legs, %d owed, %d playing; %d odd moves", p.name(), len(l.sessions),
				len(l.keys), len(l.legs), l.owed, l.playing, l.counts.OddMove)
		}
	}
}
