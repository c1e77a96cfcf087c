// Package node is the stand-in for media nodes: a model of nodes, their links and their racks' uplinks that
// does no I/O and has no clock (Farm), and a host that puts it behind real sockets (Host).
package node

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
)

// Spec is one node as it is built.
type Spec struct {
	Name       string        `json:"name"`
	Kind       string        `json:"kind"`
	Rack       int           `json:"rack"`
	MaxStreams int           `json:"places"`  // streams that it runs at most
	LinkRate   float64       `json:"link_kb"` // kB a second
	Cores      int           `json:"cores"`   // set-ups worked on at one time
	SetupTime  time.Duration `json:"work"`    // of one core for a set-up
}

// Environment is what all nodes have in common.
type Environment struct {
	Uplinks          []float64     `json:"uplinks_kb"`   // of the racks, kB a second
	RejectThreshold  float64       `json:"refuses_from"` // a node answers full from so much of its link asked; 0: never
	Warmup           time.Duration `json:"warmup"`
	InitialShare     float64       `json:"cold_from"`
	OverloadMultiple float64       `json:"multiple"`
	OverloadWindow   time.Duration `json:"tip_after"`
	ReportDelay      time.Duration `json:"late"`                 // of notes
	ReportInterval   time.Duration `json:"every"`                // between notes of links
	LoadRefresh      time.Duration `json:"refresh"`              // of the load in answers
	RungValues       []float64     `json:"worth,omitempty"`      // of a second at each rung; empty: nothing is earned
	StallCost        float64       `json:"stall_cost,omitempty"` // points of worth lost for each point of the rate missing under 98 in 100
}

// Fault is something done to a node, or to all nodes' links and a rack's uplink. What it does not name
// stays as it is.
type Fault struct {
	Node             string   `json:"node,omitempty"`
	Rack             *int     `json:"rack,omitempty"`
	Hang             *bool    `json:"hang,omitempty"`       // takes work, answers nothing
	SlowFactor       *float64 `json:"slow,omitempty"`       // set-ups take so many times as long
	FailShare        *float64 `json:"fail,omitempty"`       // share of set-ups that fail at once
	LossShare        *float64 `json:"lose,omitempty"`       // share of answers that get lost
	ResetOnLoss      bool     `json:"lose_reset,omitempty"` // the connection is reset instead of silence
	DuplicateShare   *float64 `json:"twice,omitempty"`      // share of answers that come twice
	BandwidthDivisor *float64 `json:"shrink,omitempty"`     // the link (or the rack's uplink) gives so many times less
	Crash            bool     `json:"die,omitempty"`        // the process ends, its connections are reset
	Silent           *bool    `json:"silent,omitempty"`     // the machine falls silent, or comes back
	Start            bool     `json:"start,omitempty"`      // a process starts, cold
}

// An Output is a message to a director, or, with Cut, the reset of its connection, or, with Fell, word that the
// node was pushed over, or, with Earned, what a session has earned.
type Output struct {
	Node       string
	Link       uint64
	Message    wire.NodeMessage
	Reset      bool
	Overloaded bool
	Earning    *Earning
}

// Earning is what a session has earned by its end: seconds, each times its rung's worth and what is left of
// that where the rate was short.
type Earning struct {
	Session string
	Tariff  string
	Seconds float64
}

type stream struct {
	link    uint64
	leg     uint64
	rate    float64
	rung    int
	plays   bool
	ends    time.Duration // of a session, once it plays; 0: when called off
	length  time.Duration
	expires time.Duration // a set-up is not started later than this
	session string
	tariff  string
	earned  float64
}

type director struct {
	link    uint64
	next    time.Duration // note of link and uplink
	nextPer time.Duration // note of the share delivered
	short   bool          // the last one was under 0.98
}

type machine struct {
	Spec
	alive, silent bool
	start         uint64
	born          time.Duration // under 0: long ago
	hung          bool
	slow          float64
	fail, lose    float64
	loseReset     bool
	twice         float64
	shrink        float64
	streams       map[[2]uint64]*stream // by link and leg
	asked         float64               // of the link, by all streams
	directors     []*director
	noting        bool            // its notes are under way
	free          []time.Duration // when each core is next free
	sends         []time.Duration // set-ups within the tipping time
	load          wire.NodeLoad   // as last refreshed
	loadAt        time.Duration
	held          []due // what would have happened while it hung
}

type dueKind int

const (
	dueSetup dueKind = iota
	dueEnd
	dueNote
	dueTell
	dueEarn
)

// earnEvery is how often it is looked at what sessions get.
const earnEvery = 100 * time.Millisecond

type due struct {
	at   time.Duration
	kind dueKind
	node *machine
	key  [2]uint64
	out  Output
}

// Model is the model of all nodes of a place.
type Model struct {
	site   Environment
	chance *rand.Rand
	nodes  map[string]*machine
	order  []*machine
	racks  []rack
	queue  timerqueue.Queue[due]
	now    time.Duration
	out    []Output
	starts uint64
}

type rack struct {
	uplink float64
	shrink float64
	asked  float64
}

// NewModel starts with warm nodes that run.
func NewModel(seed uint64, site Environment, machines []Spec) *Model {
	f := &Model{site: site, chance: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*machine{}}
	for _, u := range site.Uplinks {
		f.racks = append(f.racks, rack{uplink: u, shrink: 1})
	}
	for _, m := range machines {
		n := &machine{Spec: m, alive: true, born: -1, slow: 1, shrink: 1, streams: map[[2]uint64]*stream{},
			free: make([]time.Duration, max(1, m.Cores))}
		f.starts++
		n.start = f.starts
		f.nodes[m.Name] = n
		f.order = append(f.order, n)
		if len(site.RungValues) > 0 {
			f.push(due{at: earnEvery, kind: dueEarn, node: n})
		}
	}
	return f
}

// Start tells which start a node is in, and how long ago that was (0: long ago).
func (f *Model) Start(now time.Duration, name string) (start uint64, age time.Duration) {
	n := f.nodes[name]
	if n.born < 0 {
		return n.start, 0
	}
	return n.start, max(time.Millisecond, now-n.born)
}

// NextDeadline is when Step wants to be called at the latest; ok is false where nothing is due.
func (f *Model) NextDeadline() (at time.Duration, ok bool) {
	return f.queue.NextDeadline()
}

func (f *Model) push(d due) { f.queue.Add(d.at, d) }

// Step works off what is due until now. The result is valid until the next call of any method.
func (f *Model) Step(now time.Duration) []Output {
	f.out = f.out[:0]
	f.advance(now)
	return f.out
}

func (f *Model) advance(now time.Duration) {
	for at, ok := f.queue.NextDeadline(); ok && at <= now; at, ok = f.queue.NextDeadline() {
		d := f.queue.Pop()
		f.now = max(f.now, d.at)
		f.happen(d)
	}
	f.now = max(f.now, now)
}

func (f *Model) happen(d due) {
	n := d.node
	if d.kind == dueEarn {
		f.earn(n)
		f.push(due{at: d.at + earnEvery, kind: dueEarn, node: n})
		return
	}
	if n.hung {
		n.held = append(n.held, d)
		return
	}
	switch d.kind {
	case dueTell:
		f.out = append(f.out, d.out)
	case dueSetup:
		f.ready(n, d.key)
	case dueEnd:
		if s := n.streams[d.key]; s != nil && s.plays && s.ends <= f.now {
			f.drop(n, d.key)
			f.tell(n, s.link, wire.NodeMessage{Type: wire.Ended, Leg: s.leg, Reason: "done", Load: f.loadOf(n)})
		}
	case dueNote:
		f.notes(n)
	}
}

// ConnOpened takes a new connection of a director.
func (f *Model) ConnOpened(now time.Duration, node string, link uint64) []Output {
	f.out = f.out[:0]
	f.advance(now)
	n := f.nodes[node]
	n.directors = append(n.directors, &director{link: link, next: f.now + f.site.ReportInterval, nextPer: f.now + time.Second})
	if !n.noting {
		n.noting = true
		f.push(due{at: f.now + min(noteEvery, max(time.Millisecond, f.site.ReportInterval)), kind: dueNote, node: n})
	}
	return f.out
}

// ConnClosed ends a connection, and with it every stream of that director.
func (f *Model) ConnClosed(now time.Duration, node string, link uint64) []Output {
	f.out = f.out[:0]
	f.advance(now)
	n := f.nodes[node]
	n.directors = slices.DeleteFunc(n.directors, func(d *director) bool { return d.link == link })
	for _, k := range n.keys() {
		if k[0] == link {
			f.drop(n, k)
		}
	}
	return f.out
}

// keys are a machine's streams in the order of their numbers: what is done to all of them is done in the same
// order each time.
func (n *machine) keys() [][2]uint64 {
	return slices.SortedFunc(maps.Keys(n.streams), func(a, b [2]uint64) int {
		return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1]))
	})
}

// Receive takes a director's message.
func (f *Model) Receive(now time.Duration, node string, link uint64, m wire.NodeMessage) []Output {
	f.out = f.out[:0]
	f.advance(now)
	n := f.nodes[node]
	if !n.alive || n.silent {
		return f.out
	}
	key := [2]uint64{link, m.Leg}
	switch m.Type {
	case wire.Hello:
		hello := wire.NodeMessage{Type: wire.Hello, Incarnation: n.start, Load: f.loadOf(n)}
		if n.born >= 0 {
			hello.UptimeMS = max(1, (f.now - n.born).Milliseconds())
		}
		f.tell(n, link, hello)
	case wire.Setup:
		f.setup(n, key, m)
	case wire.Rung:
		if s := n.streams[key]; s != nil {
			f.ask(n, m.RateKB-s.rate)
			s.rung, s.rate = m.Rung, m.RateKB
			if s.plays {
				f.tell(n, link, wire.NodeMessage{Type: wire.Measurement, Leg: s.leg, MeasurementKind: 2, MeasurementValue: float64(s.rung)})
			}
		}
	case wire.End:
		f.drop(n, key)
	}
	return f.out
}

func (f *Model) warmth(n *machine) float64 {
	if n.born < 0 || f.now-n.born >= f.site.Warmup {
		return 1
	}
	return f.site.InitialShare + (1-f.site.InitialShare)*float64(f.now-n.born)/float64(f.site.Warmup)
}

func (f *Model) setup(n *machine, key [2]uint64, m wire.NodeMessage) {
	if warmth := f.warmth(n); warmth < 1 {
		n.sends = append(slices.DeleteFunc(n.sends, func(t time.Duration) bool { return t <= f.now-f.site.OverloadWindow }), f.now)
		can := f.site.OverloadMultiple * float64(n.MaxStreams) / f.site.Warmup.Seconds() * warmth * f.site.OverloadWindow.Seconds()
		if float64(len(n.sends)) > can+2 {
			f.out = append(f.out, Output{Node: n.Name, Overloaded: true})
			f.die(n)
			return
		}
	}
	link, _ := f.asked(n)
	switch {
	case n.fail > 0 && f.chance.Float64() < n.fail:
		f.answer(n, key, wire.NodeMessage{Type: wire.Failed, Leg: key[1], Load: f.loadOf(n)})
		return
	case len(n.streams) >= n.MaxStreams, f.site.RejectThreshold > 0 && link >= f.site.RejectThreshold:
		f.answer(n, key, wire.NodeMessage{Type: wire.Full, Leg: key[1], Load: f.loadOf(n)})
		return
	}
	s := &stream{session: m.Session, tariff: m.Tariff, link: key[0], leg: key[1], rate: m.RateKB, rung: m.Rung, length: time.Duration(m.LengthMS) * time.Millisecond}
	if m.StartWithinMS > 0 {
		s.expires = f.now + time.Duration(m.StartWithinMS)*time.Millisecond
	}
	f.drop(n, key)
	n.streams[key] = s
	f.ask(n, s.rate)
	core := 0
	for i, free := range n.free {
		if free < n.free[core] {
			core = i
		}
	}
	work := time.Duration(float64(n.SetupTime) * n.slow / f.warmth(n) * (0.8 + 0.4*f.chance.Float64()))
	n.free[core] = max(n.free[core], f.now) + work
	f.push(due{at: n.free[core], kind: dueSetup, node: n, key: key})
}

// ready starts a session whose set-up is done.
func (f *Model) ready(n *machine, key [2]uint64) {
	s := n.streams[key]
	if s == nil || s.plays {
		return // called off meanwhile
	}
	if s.expires > 0 && f.now > s.expires {
		f.drop(n, key)
		f.answer(n, key, wire.NodeMessage{Type: wire.Failed, Leg: s.leg, Load: f.loadOf(n)})
		return
	}
	s.plays = true
	if s.length > 0 {
		s.ends = f.now + s.length
		f.push(due{at: s.ends, kind: dueEnd, node: n, key: key})
	}
	f.answer(n, key, wire.NodeMessage{Type: wire.Accepted, Leg: s.leg, Load: f.loadOf(n)})
}

// answer tells how a set-up ended, unless that gets lost.
func (f *Model) answer(n *machine, key [2]uint64, m wire.NodeMessage) {
	if n.lose > 0 && f.chance.Float64() < n.lose {
		if n.loseReset {
			f.out = append(f.out, Output{Node: n.Name, Link: key[0], Reset: true})
		}
		return
	}
	f.tell(n, key[0], m)
	if n.twice > 0 && f.chance.Float64() < n.twice {
		f.tell(n, key[0], m)
	}
}

func (f *Model) tell(n *machine, link uint64, m wire.NodeMessage) {
	out := Output{Node: n.Name, Link: link, Message: m}
	if n.hung {
		n.held = append(n.held, due{kind: dueTell, node: n, out: out})
		return
	}
	f.out = append(f.out, out)
}

// ask counts what a stream asks, or no longer asks, of the link and the uplink.
func (f *Model) ask(n *machine, rate float64) {
	n.asked += rate
	f.racks[n.Rack].asked += rate
}

// drop ends a stream.
func (f *Model) drop(n *machine, key [2]uint64) {
	if s := n.streams[key]; s != nil {
		f.ask(n, -s.rate)
		delete(n.streams, key)
		f.pay(n, s)
	}
}

func (f *Model) pay(n *machine, s *stream) {
	if s.earned > 0 {
		f.out = append(f.out, Output{Node: n.Name, Earning: &Earning{s.session, s.tariff, s.earned}})
	}
}

// earn counts what a node's sessions got since the last look.
func (f *Model) earn(n *machine) {
	if !n.alive || n.silent || n.hung {
		return
	}
	quality := max(0, 1-f.site.StallCost*max(0, 0.98-f.share(n)))
	for _, s := range n.streams {
		if s.plays {
			s.earned += earnEvery.Seconds() * quality * f.site.RungValues[min(s.rung, len(f.site.RungValues)-1)]
		}
	}
}

// asked is what is asked of a node's link and of its rack's uplink, over what they give.
func (f *Model) asked(n *machine) (link, uplink float64) {
	r := &f.racks[n.Rack]
	return max(0, n.asked) / (n.LinkRate / n.shrink), max(0, r.asked) / (r.uplink / r.shrink)
}

// share is the share of its rate that a session on a node gets: what is short on the link or the uplink
// is shared evenly.
func (f *Model) share(n *machine) float64 {
	link, uplink := f.asked(n)
	return 1 / max(1, link, uplink)
}

func (f *Model) loadOf(n *machine) *wire.NodeLoad {
	if n.load.Link == nil || f.now >= n.loadAt+f.site.LoadRefresh {
		link, uplink := f.asked(n)
		noisy := func(x float64) *float64 { return new(x * (0.95 + 0.1*f.chance.Float64())) }
		n.load = wire.NodeLoad{Streams: new(float64(len(n.streams))), Link: noisy(link), Uplink: noisy(uplink)}
		n.loadAt = f.now
	}
	load := n.load
	return &load
}

// noteEvery is how often a node looks whether it has something to note.
const noteEvery = 250 * time.Millisecond

// notes tells a node's directors how their sessions there fare: late, each on its oldest session.
func (f *Model) notes(n *machine) {
	if !n.alive || len(n.directors) == 0 {
		n.noting = false
		return
	}
	oldest := map[uint64]*stream{}
	for _, s := range n.streams {
		if on := oldest[s.link]; s.plays && (on == nil || s.leg < on.leg) {
			oldest[s.link] = s
		}
	}
	share := f.share(n)
	link, uplink := f.asked(n)
	for _, d := range n.directors {
		on := oldest[d.link]
		if on == nil {
			continue
		}
		later := func(kind int, value float64) {
			f.push(due{at: f.now + f.site.ReportDelay, kind: dueTell, node: n, out: Output{Node: n.Name, Link: d.link,
				Message: wire.NodeMessage{Type: wire.Measurement, Leg: on.leg, MeasurementKind: kind, MeasurementValue: value}}})
		}
		if f.now >= d.nextPer {
			d.nextPer = f.now + time.Second
			if share < 0.98 || d.short {
				later(1, share)
			}
			d.short = share < 0.98
		}
		if f.site.ReportInterval > 0 && f.now >= d.next {
			d.next = f.now + f.site.ReportInterval
			later(3, link)
			later(4, uplink)
		}
	}
	f.push(due{at: f.now + noteEvery, kind: dueNote, node: n})
}

// Apply does a fault.
func (f *Model) Apply(now time.Duration, x Fault) []Output {
	f.out = f.out[:0]
	f.advance(now)
	if x.Rack != nil && x.BandwidthDivisor != nil {
		f.racks[*x.Rack%len(f.racks)].shrink = *x.BandwidthDivisor
		return f.out
	}
	for _, n := range f.order {
		if x.Node == "" || x.Node == n.Name {
			f.apply(n, x)
		}
	}
	return f.out
}

func (f *Model) apply(n *machine, x Fault) {
	set := func(to *float64, from *float64) {
		if from != nil {
			*to = *from
		}
	}
	set(&n.slow, x.SlowFactor)
	set(&n.fail, x.FailShare)
	set(&n.lose, x.LossShare)
	set(&n.twice, x.DuplicateShare)
	set(&n.shrink, x.BandwidthDivisor)
	if x.LossShare != nil {
		n.loseReset = x.ResetOnLoss
	}
	if x.Hang != nil && n.hung != *x.Hang {
		n.hung = *x.Hang
		held := n.held
		n.held = nil
		for _, d := range held {
			d.at = f.now
			f.push(d)
		}
		f.advance(f.now)
	}
	if x.Crash {
		f.die(n)
	}
	if x.Silent != nil {
		n.silent = *x.Silent
	}
	if x.Start {
		f.die(n)
		f.starts++
		n.alive, n.silent, n.hung, n.start, n.born = true, false, false, f.starts, f.now
		n.slow, n.fail, n.lose, n.twice, n.sends = 1, 0, 0, 0, nil
		n.load = wire.NodeLoad{}
	}
}

func (f *Model) die(n *machine) {
	for _, d := range n.directors {
		f.out = append(f.out, Output{Node: n.Name, Link: d.link, Reset: true})
	}
	if slices.ContainsFunc(n.held, func(d due) bool { return d.kind == dueNote }) {
		n.noting = false
	}
	n.alive, n.directors, n.held = false, nil, nil
	f.ask(n, -n.asked)
	for _, k := range n.keys() {
		f.pay(n, n.streams[k])
	}
	clear(n.streams)
	clear(n.free)
}

// EarningRate is what all sessions earn at this moment, a second: each its tariff's credit, times the worth of its
// rung and what is left of that where the rate is short.
func (f *Model) EarningRate(credit map[string]float64) (rate float64, playing int) {
	for _, n := range f.order {
		if !n.alive || n.silent || n.hung {
			continue
		}
		quality := max(0, 1-f.site.StallCost*max(0, 0.98-f.share(n)))
		for _, k := range n.keys() { // in order, so that the sum is the same each time
			if s := n.streams[k]; s.plays {
				playing++
				rate += credit[s.tariff] * quality * f.site.RungValues[min(s.rung, len(f.site.RungValues)-1)]
			}
		}
	}
	return rate, playing
}

// Streams counts a node's streams.
func (f *Model) Streams(name string) int { return len(f.nodes[name].streams) }
