// Package conf reads a director's file: JSON with comments, every value with its unit, every mistake named
// by file, line and column, all of them at once. docs/configuration.md describes the keys.
package conf

import (
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"fordusher/closing"
	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/policy"
	"fordusher/reach"
)

// House is what a director is told at its start.
type House struct {
	// Unguarded is for tests that break a rule on purpose: no file sets it.
	Unguarded bool

	Name      string
	Peers     policy.Peers
	Listen    string        // address for players
	Metrics   string        // address for metrics; empty: none
	List      string        // address of the list's source; empty: there is none, Nodes and Titles are all there is
	ListQuiet time.Duration // silent for longer, it is connected to again; 0: it may be silent
	Nodes     []wire.Entry  // in force until the list's source is heard
	Titles    []wire.Title
	Tariffs   []director.Tariff
	Ladder    policy.Ladder
	Fleet     policy.Fleet
	Machines  []string // kinds, in the order of Ramp.Places
	Ramp      policy.Ramp
	Grace     time.Duration // drain grace
	Legs      policy.RetryPolicy
	Tidings   policy.ReportTiming
	Manners   director.Options
	Pace      reach.ReconnectPolicy
	Term      closing.Policy
	Room      limits.Capacity
	Queue     limits.QueuePolicy
	Door      Door
}

// Door is what one peer may cost.
type Door struct {
	Players transport.Bounds
	Nodes   transport.Bounds
	List    transport.Bounds
	Inbox   int // messages of one peer that wait for the loop
}

// partWithin is how long clients' connections may take to close when a director ends.
const partWithin = 200 * time.Millisecond

// Module starts the module with what the house was told.
func (h *House) Module(seed uint64) *policy.Director {
	tariffs := make([]policy.Tariff, len(h.Tariffs))
	for i, t := range h.Tariffs {
		tariffs[i] = t.Tariff
	}
	return policy.New(seed, h.Peers, tariffs, h.Ladder, h.Fleet, h.Ramp, h.Legs, h.Tidings)
}

// Loop starts a director's loop around a module. Boot is a word that no other run has used.
func (h *House) Loop(boot string, seed uint64, module director.Decider) *director.Loop {
	loop := director.New(h.Name, boot, seed, module, h.Tariffs, h.Machines, h.Ladder, h.Manners, h.Pace, h.Term, h.Room, h.Queue)
	if h.Unguarded {
		loop.DisableGuard()
	}
	return loop
}

// Load reads a file; what is wrong with it comes back as Problems.
func Load(file string) (*House, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Read(file, text)
}

// Read reads a director's file from its text.
func Read(file string, text []byte) (*House, error) {
	r, o := Parse(file, text)
	if err := r.Err(); err != nil {
		return nil, err
	}
	h := &House{}
	h.who(r, o.Object("director", true))
	h.Listen = address(r, o, "listen", true)
	h.Metrics = address(r, o, "metrics", false)
	list := o.Object("list", !o.Has("nodes"))
	h.List = address(r, list, "address", !o.Has("nodes"))
	askWithin := list.Span("ask_within", 0, time.Second, time.Hour, false)
	list.Done()
	h.ladder(r, o.Object("ladder", true))
	h.tariffs(r, o.Object("tariffs", true))
	h.fleet(r, o.Object("fleet", true))
	h.ramp(o.Object("ramp", true))
	h.Ramp.PollWithin = askWithin
	h.legs(r, o.Object("legs", false))
	h.tidings(o.Object("tidings", false))
	h.manners(r, o.Object("manners", false))
	p := o.Object("reach", false)
	h.Pace.InitialBackoff = p.Span("first", 200*time.Millisecond, time.Millisecond, time.Minute, false)
	h.Pace.MaxBackoff = p.Span("most", 5*time.Second, time.Millisecond, time.Hour, false)
	h.Pace.MaxConcurrent = p.Whole("at_once", 64, 1, 10_000, false)
	if h.Pace.InitialBackoff > h.Pace.MaxBackoff {
		r.Wrong(p.Where("first"), "first is %v, longer than most, which is %v", h.Pace.InitialBackoff, h.Pace.MaxBackoff)
	}
	p.Done()
	c := o.Object("closing", false)
	h.Term = closing.Policy{
		Timeout:       c.Span("within", 8*time.Second, time.Millisecond, time.Hour, false),
		BatchInterval: c.Span("slice", 500*time.Millisecond, time.Millisecond, time.Minute, false),
		CloseTimeout:  partWithin,
	}
	c.Done()
	h.door(r, o.Object("limits", false))
	h.nodes(r, o.Object("nodes", false))
	h.titles(r, o.Object("titles", false))
	o.Done()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *House) who(r *Reader, o *Object) {
	h.Name = o.Text("name", "", true)
	h.Peers = policy.Peers{
		Directors: o.Whole("directors", 1, 1, 10_000, true),
		Index:     o.Whole("me", 0, 0, 9_999, true),
		Zone:      o.Text("zone", "", false),
	}
	if h.Peers.Index >= h.Peers.Directors {
		r.Wrong(o.Where("me"), "me is %d, but there are %d directors, counted from 0", h.Peers.Index, h.Peers.Directors)
	}
	if len(h.Name) > 64 {
		r.Wrong(o.Where("name"), "the name is longer than 64 bytes")
	}
	o.Done()
}

func address(r *Reader, o *Object, name string, need bool) string {
	a := o.Text(name, "", need)
	if a != "" {
		if _, _, err := net.SplitHostPort(a); err != nil {
			r.Wrong(o.Where(name), "%q is %q; it has to be host:port", name, a)
		}
	}
	return a
}

func (h *House) ladder(r *Reader, o *Object) {
	h.Ladder = policy.Ladder{
		Rates:    o.Rates("rates", true),
		Worth:    o.Numbers("worth", 0, 1),
		JoinCost: o.Number("join_adds", 1, 0, 1, false),
	}
	for i := 1; i < len(h.Ladder.Rates); i++ {
		if h.Ladder.Rates[i] <= h.Ladder.Rates[i-1] && h.Ladder.Rates[i] > 0 {
			r.Wrong(o.Where("rates"), "rates have to rise; rung %d is not over rung %d", i, i-1)
		}
	}
	if o.Has("rates") && len(h.Ladder.Rates) == 0 {
		r.Wrong(o.Where("rates"), "a ladder has at least one rung")
	}
	if w := len(h.Ladder.Worth); w > 0 && w != len(h.Ladder.Rates) {
		r.Wrong(o.Where("worth"), "worth has %d entries, but rates has %d", w, len(h.Ladder.Rates))
	}
	o.Done()
}

func (h *House) tariffs(r *Reader, o *Object) {
	last := len(h.Ladder.Rates) - 1
	if last < 0 { // not filled in yet, which is one mistake and not many
		last = 1e6
	}
	for _, name := range o.Names() {
		t := o.Object(name, true)
		x := policy.Tariff{
			GoalTime:   t.Span("goal_time", 0, time.Millisecond, time.Hour, true),
			HardStop:   t.Span("hard_stop", 0, time.Millisecond, time.Hour, true),
			Credit:     t.Number("credit", 1, 0, 1e6, false),
			AtMostOnce: t.Flag("paid", false),
			Scale:      t.Number("scale", 1, 0.01, 100, false),
			Floor:      t.Whole("floor", 0, 0, last, false),
			Top:        t.Whole("top", last, 0, last, false),
			Seats:      t.Whole("seats", 0, 0, 1e6, false),
			Live:       t.Flag("live", false),
		}
		if x.GoalTime > x.HardStop && x.HardStop > 0 {
			r.Wrong(t.Where("goal_time"), "goal_time is %v, later than hard_stop (line %d), which is %v", x.GoalTime,
				r.Line(t.Where("hard_stop")), x.HardStop)
		}
		if x.Floor > x.Top {
			r.Wrong(t.Where("floor"), "floor is rung %d, above top, which is rung %d: rule 5 (terms kept) could not hold", x.Floor, x.Top)
		}
		t.Done()
		h.Tariffs = append(h.Tariffs, director.Tariff{Name: name, Tariff: x})
	}
	if len(h.Tariffs) == 0 && !o.absent {
		r.Wrong(o.At, "there is no tariff")
	}
	o.Done()
}

func (h *House) fleet(r *Reader, o *Object) {
	h.Fleet = policy.Fleet{
		Cells:            o.Whole("cells", 0, 1, 1e6, true),
		Racks:            o.Whole("racks", 0, 1, 1e6, true),
		LinkUnit:         o.Rate("link_unit", 0, true),
		Uplink:           o.Rate("uplink", 0, true),
		CrossZoneCost:    o.Number("crossing", 0, 0, 1, false),
		RefusalThreshold: o.Number("refuses_from", 0, 0, 10, false),
	}
	if h.Fleet.Racks > h.Fleet.Cells && h.Fleet.Cells > 0 {
		r.Wrong(o.Where("racks"), "there are %d racks, but only %d cells: a cell lies in one rack", h.Fleet.Racks, h.Fleet.Cells)
	}
	m := o.Object("machines", true)
	for _, kind := range m.Names() {
		h.Machines = append(h.Machines, kind)
		h.Ramp.MaxStreams = append(h.Ramp.MaxStreams, m.Number(kind, 1, 1, 1e6, true))
	}
	if len(h.Machines) == 0 && !m.absent {
		r.Wrong(m.At, "there is no kind of machine")
	}
	o.Done()
}

// nodes reads the nodes that a director knows from its start.
func (h *House) nodes(r *Reader, o *Object) {
	last := h.lastCell()
	addresses := map[string]string{}
	for _, name := range o.Names() {
		n := o.Object(name, true)
		e := wire.Entry{
			Node:    name,
			Address: address(r, n, "address", true),
			State:   n.Text("state", wire.Up, false),
			Kind:    n.Text("kind", "", true),
			Zone:    n.Text("zone", "", false),
			Weight:  n.Number("weight", 1, 1e-6, 1e6, false),
			Cell:    n.Whole("cell", 0, 0, last, true),
		}
		n.Done()
		if e.State != wire.Up && e.State != wire.Draining {
			r.Wrong(n.Where("state"), "state is %q; a node here is %q or %q", e.State, wire.Up, wire.Draining)
		}
		if e.Kind != "" && !slices.Contains(h.Machines, e.Kind) && len(h.Machines) > 0 {
			r.Wrong(n.Where("kind"), "fleet.machines has no %q", e.Kind)
		}
		if other, twice := addresses[e.Address]; twice && e.Address != "" {
			r.Wrong(n.Where("address"), "node %q has this address already", other)
		}
		addresses[e.Address] = name
		h.Nodes = append(h.Nodes, e)
	}
	o.Done()
}

// lastCell is the highest number of a cell; where their number is not filled in yet, any will do.
func (h *House) lastCell() int {
	if h.Fleet.Cells == 0 {
		return 1e6
	}
	return h.Fleet.Cells - 1
}

// titles reads where titles lie.
func (h *House) titles(r *Reader, o *Object) {
	for _, name := range o.Names() {
		t := o.Object(name, true)
		h.Titles = append(h.Titles, wire.Title{
			Title:  name,
			Base:   t.Whole("base", 0, 0, h.lastCell(), true),
			Copies: t.Whole("copies", 1, 1, h.lastCell()+1, true),
		})
		t.Done()
	}
	o.Done()
}

func (h *House) ramp(o *Object) {
	h.Ramp.Warmup = o.Span("warmup", 0, 0, time.Hour, true)
	h.Ramp.InitialShare = o.Number("cold_from", 0.5, 0.001, 1, true)
	h.Ramp.OverloadMultiple = o.Number("multiple", 1, 0.1, 1000, true)
	h.Ramp.OverloadWindow = o.Span("tip_after", 0, time.Millisecond, time.Hour, true)
	h.Grace = o.Span("drain_grace", 250*time.Millisecond, time.Millisecond, time.Hour, false)
	o.Done()
}

func (h *House) legs(r *Reader, o *Object) {
	h.Legs = policy.RetryPolicy{
		MaxLegs:    o.Whole("most", 4, 1, 16, false),
		MinRetries: o.Number("spare", 0, 0, 1e6, false),
		RetryRatio: o.Number("share", 0, 0, 1, false),
		Window:     o.Span("span", 0, time.Millisecond, time.Hour, false),
	}
	if h.Legs.Window == 0 && (o.Has("spare") || o.Has("share")) {
		r.Wrong(o.At, "spare and share ration further legs within a span; \"span\" is missing")
	}
	o.Done()
}

func (h *House) tidings(o *Object) {
	h.Tidings = policy.ReportTiming{
		Delay:      o.Span("late", time.Second, 0, time.Minute, false),
		Interval:   o.Span("every", 4*time.Second, 0, time.Hour, false),
		MaxBackoff: o.Span("backoff", 0, 0, time.Hour, false),
	}
	o.Done()
}

func (h *House) manners(r *Reader, o *Object) {
	h.Manners = director.Options{
		AnswerMargin:          o.Span("answer_ahead", 60*time.Millisecond, 0, time.Minute, false),
		Linger:                o.Span("linger", 8*time.Second, 0, time.Hour, false),
		ConnectTimeout:        o.Span("connect", 250*time.Millisecond, time.Millisecond, time.Minute, false),
		SessionsPerConnection: o.Whole("sessions_per_connection", 8, 1, 1000, false),
	}
	h.Pace.HeartbeatInterval = o.Span("ping", time.Second, 10*time.Millisecond, time.Hour, false)
	h.Room.HeartbeatInterval = o.Span("ping_players", 10*time.Second, 10*time.Millisecond, time.Hour, false)
	for _, t := range h.Tariffs {
		if t.HardStop > 0 && h.Manners.AnswerMargin*2 > t.HardStop {
			r.Wrong(o.Where("answer_ahead"), "answer_ahead is %v, more than half of the hard_stop of %q, which is %v: no time to set up",
				h.Manners.AnswerMargin, t.Name, t.HardStop)
		}
	}
	o.Done()
}

func (h *House) door(r *Reader, o *Object) {
	players, nodes := o.Object("players", false), o.Object("nodes", false)
	read := func(o *Object, message, queue int) transport.Bounds {
		b := transport.Bounds{
			Message:   message,
			Queue:     o.Bytes("queue", queue, 4<<10, 64<<20),
			Write:     o.Span("write", min(100*time.Millisecond, h.Grace/2), time.Millisecond, time.Minute, false),
			Handshake: o.Span("handshake", 5*time.Second, 10*time.Millisecond, time.Minute, false),
		}
		return b
	}
	h.Door.Players = read(players, wire.SessionMost, 64<<10)
	h.Door.Players.Kernel = players.Bytes("kernel", 16<<10, 0, 64<<20)
	h.Door.Nodes = read(nodes, wire.NodeMost, 1<<20)
	h.Door.List = transport.Bounds{Message: wire.ListMost, Queue: 64 << 10, Write: time.Second, Handshake: 5 * time.Second}
	h.Room.MaxConnections = o.Whole("connections", 15_000, 1, 10_000_000, false)
	h.Room.MaxPerAddress = o.Whole("per_address", 0, 0, 10_000_000, false)
	h.Room.MaxHandshakes = o.Whole("handshakes", 1024, 1, 10_000_000, false)
	h.Room.MaxMemory = int64(o.Bytes("memory", 0, 1<<20, 1<<40))
	h.Room.IdleTimeout = o.Span("patience", 5*time.Minute, time.Second, 24*time.Hour, false)
	h.Room.MaxRetryAfter = o.Span("retry", 30*time.Second, time.Second, time.Hour, false)
	h.Room.HandshakeTimeout = h.Door.Players.Handshake
	goals := make([]time.Duration, len(h.Tariffs))
	for i, t := range h.Tariffs {
		goals[i] = t.GoalTime
	}
	h.Queue.MaxWait = o.Span("wait", limits.MaxQueueWait(goals), time.Millisecond, time.Minute, false)
	h.Queue.MaxRetryAfter = h.Room.MaxRetryAfter
	h.Door.Players.Pending = h.Room.MaxHandshakes
	if h.Room.MaxPerAddress > h.Room.MaxConnections {
		r.Wrong(o.Where("per_address"), "per_address is %d, more than connections, which is %d", h.Room.MaxPerAddress, h.Room.MaxConnections)
	}
	h.Door.Inbox = o.Whole("inbox", 512, 16, 1<<20, false)
	if h.Door.Nodes.Write >= h.Grace {
		r.Wrong(nodes.Where("write"), "a write to a node may stand still for %v, as long as the drain grace (%v) or longer: "+
			"rule 3 (drains kept) could not hold", h.Door.Nodes.Write, h.Grace)
	}
	players.Done()
	nodes.Done()
	o.Done()
}

// Describe is a line on what a house is, for logs.
func (h *House) Describe() string {
	return fmt.Sprintf("director %s, %d of %d, %d tariffs, %d rungs, %d cells in %d racks", h.Name, h.Peers.Index,
		h.Peers.Directors, len(h.Tariffs), len(h.Ladder.Rates), h.Fleet.Cells, h.Fleet.Racks)
}
