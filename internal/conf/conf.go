// Package conf reads a director's file: JSON with comments, every value with its unit, every mistake named
// by file, line and column, all of them at once. docs/configuration.md describes the keys.
package conf

import (
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"fordusher/connector"
	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/policy"
	"fordusher/shutdown"
)

// Config is what a director is told at its start.
type Config struct {
	// DisableGuard is for tests that break a rule on purpose: no file sets it.
	DisableGuard bool

	Name                 string
	Peers                policy.Peers
	ListenAddress        string           // address for players
	MetricsAddress       string           // address for metrics; empty: none
	DiscoveryAddress     string           // address of the list's source; empty: there is none, Nodes and Titles are all there is
	DiscoveryReadTimeout time.Duration    // silent for longer, it is connected to again; 0: it may be silent
	Nodes                []wire.NodeEntry // in force until the list's source is heard
	Titles               []wire.TitlePlacement
	Tariffs              []director.Tariff
	Ladder               policy.Ladder
	Fleet                policy.Fleet
	MachineKinds         []string // kinds, in the order of Ramp.Places
	Ramp                 policy.Ramp
	DrainGrace           time.Duration // drain grace
	Legs                 policy.RetryPolicy
	ReportTiming         policy.ReportTiming
	ProtocolOptions      director.Options
	ReconnectPolicy      connector.ReconnectPolicy
	ShutdownPolicy       shutdown.Policy
	Capacity             limits.Capacity
	Queue                limits.QueuePolicy
	ConnectionLimits     ConnectionLimits
}

// ConnectionLimits is what one peer may cost.
type ConnectionLimits struct {
	Clients   transport.Limits
	Nodes     transport.Limits
	Discovery transport.Limits
	InboxSize int // messages of one peer that wait for the loop
}

// partWithin is how long clients' connections may take to close when a director ends.
const partWithin = 200 * time.Millisecond

// NewDecider starts the module with what the house was told.
func (h *Config) NewDecider(seed uint64) *policy.Director {
	tariffs := make([]policy.Tariff, len(h.Tariffs))
	for i, t := range h.Tariffs {
		tariffs[i] = t.Tariff
	}
	return policy.New(seed, h.Peers, tariffs, h.Ladder, h.Fleet, h.Ramp, h.Legs, h.ReportTiming)
}

// NewLoop starts a director's loop around a module. Boot is a word that no other run has used.
func (h *Config) NewLoop(boot string, seed uint64, module director.Decider) *director.Loop {
	loop := director.New(h.Name, boot, seed, module, h.Tariffs, h.MachineKinds, h.Ladder, h.ProtocolOptions, h.ReconnectPolicy, h.ShutdownPolicy, h.Capacity, h.Queue)
	if h.DisableGuard {
		loop.DisableGuard()
	}
	return loop
}

// Load reads a file; what is wrong with it comes back as Problems.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, text)
}

// Decode reads a director's file from its text.
func Decode(file string, text []byte) (*Config, error) {
	r, o := Parse(file, text)
	if err := r.Err(); err != nil {
		return nil, err
	}
	h := &Config{}
	h.who(r, o.Object("director", true))
	h.ListenAddress = address(r, o, "listen", true)
	h.MetricsAddress = address(r, o, "metrics", false)
	list := o.Object("list", !o.Has("nodes"))
	h.DiscoveryAddress = address(r, list, "address", !o.Has("nodes"))
	askWithin := list.Duration("ask_within", 0, time.Second, time.Hour, false)
	list.ReportUnknownKeys()
	h.ladder(r, o.Object("ladder", true))
	h.tariffs(r, o.Object("tariffs", true))
	h.fleet(r, o.Object("fleet", true))
	h.ramp(o.Object("ramp", true))
	h.Ramp.PollWithin = askWithin
	h.legs(r, o.Object("legs", false))
	h.tidings(o.Object("tidings", false))
	h.manners(r, o.Object("manners", false))
	p := o.Object("reach", false)
	h.ReconnectPolicy.InitialBackoff = p.Duration("first", 200*time.Millisecond, time.Millisecond, time.Minute, false)
	h.ReconnectPolicy.MaxBackoff = p.Duration("most", 5*time.Second, time.Millisecond, time.Hour, false)
	h.ReconnectPolicy.MaxConcurrent = p.Int("at_once", 64, 1, 10_000, false)
	if h.ReconnectPolicy.InitialBackoff > h.ReconnectPolicy.MaxBackoff {
		r.AddProblem(p.OffsetOf("first"), "first is %v, longer than most, which is %v", h.ReconnectPolicy.InitialBackoff, h.ReconnectPolicy.MaxBackoff)
	}
	p.ReportUnknownKeys()
	c := o.Object("closing", false)
	h.ShutdownPolicy = shutdown.Policy{
		Timeout:       c.Duration("within", 8*time.Second, time.Millisecond, time.Hour, false),
		BatchInterval: c.Duration("slice", 500*time.Millisecond, time.Millisecond, time.Minute, false),
		CloseTimeout:  partWithin,
	}
	c.ReportUnknownKeys()
	h.door(r, o.Object("limits", false))
	h.nodes(r, o.Object("nodes", false))
	h.titles(r, o.Object("titles", false))
	o.ReportUnknownKeys()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Config) who(r *Parser, o *Object) {
	h.Name = o.Text("name", "", true)
	h.Peers = policy.Peers{
		Directors: o.Int("directors", 1, 1, 10_000, true),
		Index:     o.Int("me", 0, 0, 9_999, true),
		Zone:      o.Text("zone", "", false),
	}
	if h.Peers.Index >= h.Peers.Directors {
		r.AddProblem(o.OffsetOf("me"), "me is %d, but there are %d directors, counted from 0", h.Peers.Index, h.Peers.Directors)
	}
	if len(h.Name) > 64 {
		r.AddProblem(o.OffsetOf("name"), "the name is longer than 64 bytes")
	}
	o.ReportUnknownKeys()
}

func address(r *Parser, o *Object, name string, need bool) string {
	a := o.Text(name, "", need)
	if a != "" {
		if _, _, err := net.SplitHostPort(a); err != nil {
			r.AddProblem(o.OffsetOf(name), "%q is %q; it has to be host:port", name, a)
		}
	}
	return a
}

func (h *Config) ladder(r *Parser, o *Object) {
	h.Ladder = policy.Ladder{
		Rates:    o.Rates("rates", true),
		Worth:    o.Numbers("worth", 0, 1),
		JoinCost: o.Number("join_adds", 1, 0, 1, false),
	}
	for i := 1; i < len(h.Ladder.Rates); i++ {
		if h.Ladder.Rates[i] <= h.Ladder.Rates[i-1] && h.Ladder.Rates[i] > 0 {
			r.AddProblem(o.OffsetOf("rates"), "rates have to rise; rung %d is not over rung %d", i, i-1)
		}
	}
	if o.Has("rates") && len(h.Ladder.Rates) == 0 {
		r.AddProblem(o.OffsetOf("rates"), "a ladder has at least one rung")
	}
	if w := len(h.Ladder.Worth); w > 0 && w != len(h.Ladder.Rates) {
		r.AddProblem(o.OffsetOf("worth"), "worth has %d entries, but rates has %d", w, len(h.Ladder.Rates))
	}
	o.ReportUnknownKeys()
}

func (h *Config) tariffs(r *Parser, o *Object) {
	last := len(h.Ladder.Rates) - 1
	if last < 0 { // not filled in yet, which is one mistake and not many
		last = 1e6
	}
	for _, name := range o.Names() {
		t := o.Object(name, true)
		x := policy.Tariff{
			GoalTime:   t.Duration("goal_time", 0, time.Millisecond, time.Hour, true),
			HardStop:   t.Duration("hard_stop", 0, time.Millisecond, time.Hour, true),
			Credit:     t.Number("credit", 1, 0, 1e6, false),
			AtMostOnce: t.Bool("paid", false),
			Scale:      t.Number("scale", 1, 0.01, 100, false),
			Floor:      t.Int("floor", 0, 0, last, false),
			Top:        t.Int("top", last, 0, last, false),
			Seats:      t.Int("seats", 0, 0, 1e6, false),
			Live:       t.Bool("live", false),
		}
		if x.GoalTime > x.HardStop && x.HardStop > 0 {
			r.AddProblem(t.OffsetOf("goal_time"), "goal_time is %v, later than hard_stop (line %d), which is %v", x.GoalTime,
				r.Line(t.OffsetOf("hard_stop")), x.HardStop)
		}
		if x.Floor > x.Top {
			r.AddProblem(t.OffsetOf("floor"), "floor is rung %d, above top, which is rung %d: rule 5 (terms kept) could not hold", x.Floor, x.Top)
		}
		t.ReportUnknownKeys()
		h.Tariffs = append(h.Tariffs, director.Tariff{Name: name, Tariff: x})
	}
	if len(h.Tariffs) == 0 && !o.absent {
		r.AddProblem(o.Offset, "there is no tariff")
	}
	o.ReportUnknownKeys()
}

func (h *Config) fleet(r *Parser, o *Object) {
	h.Fleet = policy.Fleet{
		Cells:            o.Int("cells", 0, 1, 1e6, true),
		Racks:            o.Int("racks", 0, 1, 1e6, true),
		LinkUnit:         o.Rate("link_unit", 0, true),
		Uplink:           o.Rate("uplink", 0, true),
		CrossZoneCost:    o.Number("crossing", 0, 0, 1, false),
		RefusalThreshold: o.Number("refuses_from", 0, 0, 10, false),
	}
	if h.Fleet.Racks > h.Fleet.Cells && h.Fleet.Cells > 0 {
		r.AddProblem(o.OffsetOf("racks"), "there are %d racks, but only %d cells: a cell lies in one rack", h.Fleet.Racks, h.Fleet.Cells)
	}
	m := o.Object("machines", true)
	for _, kind := range m.Names() {
		h.MachineKinds = append(h.MachineKinds, kind)
		h.Ramp.MaxStreams = append(h.Ramp.MaxStreams, m.Number(kind, 1, 1, 1e6, true))
	}
	if len(h.MachineKinds) == 0 && !m.absent {
		r.AddProblem(m.Offset, "there is no kind of machine")
	}
	o.ReportUnknownKeys()
}

// nodes reads the nodes that a director knows from its start.
func (h *Config) nodes(r *Parser, o *Object) {
	last := h.lastCell()
	addresses := map[string]string{}
	for _, name := range o.Names() {
		n := o.Object(name, true)
		e := wire.NodeEntry{
			Node:        name,
			Address:     address(r, n, "address", true),
			State:       n.Text("state", wire.Up, false),
			MachineKind: n.Text("kind", "", true),
			Zone:        n.Text("zone", "", false),
			Weight:      n.Number("weight", 1, 1e-6, 1e6, false),
			Cell:        n.Int("cell", 0, 0, last, true),
		}
		n.ReportUnknownKeys()
		if e.State != wire.Up && e.State != wire.Draining {
			r.AddProblem(n.OffsetOf("state"), "state is %q; a node here is %q or %q", e.State, wire.Up, wire.Draining)
		}
		if e.MachineKind != "" && !slices.Contains(h.MachineKinds, e.MachineKind) && len(h.MachineKinds) > 0 {
			r.AddProblem(n.OffsetOf("kind"), "fleet.machines has no %q", e.MachineKind)
		}
		if other, twice := addresses[e.Address]; twice && e.Address != "" {
			r.AddProblem(n.OffsetOf("address"), "node %q has this address already", other)
		}
		addresses[e.Address] = name
		h.Nodes = append(h.Nodes, e)
	}
	o.ReportUnknownKeys()
}

// lastCell is the highest number of a cell; where their number is not filled in yet, any will do.
func (h *Config) lastCell() int {
	if h.Fleet.Cells == 0 {
		return 1e6
	}
	return h.Fleet.Cells - 1
}

// titles reads where titles lie.
func (h *Config) titles(r *Parser, o *Object) {
	for _, name := range o.Names() {
		t := o.Object(name, true)
		h.Titles = append(h.Titles, wire.TitlePlacement{
			Title:     name,
			FirstCell: t.Int("base", 0, 0, h.lastCell(), true),
			Copies:    t.Int("copies", 1, 1, h.lastCell()+1, true),
		})
		t.ReportUnknownKeys()
	}
	o.ReportUnknownKeys()
}

func (h *Config) ramp(o *Object) {
	h.Ramp.Warmup = o.Duration("warmup", 0, 0, time.Hour, true)
	h.Ramp.InitialShare = o.Number("cold_from", 0.5, 0.001, 1, true)
	h.Ramp.OverloadMultiple = o.Number("multiple", 1, 0.1, 1000, true)
	h.Ramp.OverloadWindow = o.Duration("tip_after", 0, time.Millisecond, time.Hour, true)
	h.DrainGrace = o.Duration("drain_grace", 250*time.Millisecond, time.Millisecond, time.Hour, false)
	o.ReportUnknownKeys()
}

func (h *Config) legs(r *Parser, o *Object) {
	h.Legs = policy.RetryPolicy{
		MaxLegs:    o.Int("most", 4, 1, 16, false),
		MinRetries: o.Number("spare", 0, 0, 1e6, false),
		RetryRatio: o.Number("share", 0, 0, 1, false),
		Window:     o.Duration("span", 0, time.Millisecond, time.Hour, false),
	}
	if h.Legs.Window == 0 && (o.Has("spare") || o.Has("share")) {
		r.AddProblem(o.Offset, "spare and share ration further legs within a span; \"span\" is missing")
	}
	o.ReportUnknownKeys()
}

func (h *Config) tidings(o *Object) {
	h.ReportTiming = policy.ReportTiming{
		Delay:      o.Duration("late", time.Second, 0, time.Minute, false),
		Interval:   o.Duration("every", 4*time.Second, 0, time.Hour, false),
		MaxBackoff: o.Duration("backoff", 0, 0, time.Hour, false),
	}
	o.ReportUnknownKeys()
}

func (h *Config) manners(r *Parser, o *Object) {
	h.ProtocolOptions = director.Options{
		AnswerMargin:          o.Duration("answer_ahead", 60*time.Millisecond, 0, time.Minute, false),
		Linger:                o.Duration("linger", 8*time.Second, 0, time.Hour, false),
		ConnectTimeout:        o.Duration("connect", 250*time.Millisecond, time.Millisecond, time.Minute, false),
		SessionsPerConnection: o.Int("sessions_per_connection", 8, 1, 1000, false),
	}
	h.ReconnectPolicy.HeartbeatInterval = o.Duration("ping", time.Second, 10*time.Millisecond, time.Hour, false)
	h.Capacity.HeartbeatInterval = o.Duration("ping_players", 10*time.Second, 10*time.Millisecond, time.Hour, false)
	for _, t := range h.Tariffs {
		if t.HardStop > 0 && h.ProtocolOptions.AnswerMargin*2 > t.HardStop {
			r.AddProblem(o.OffsetOf("answer_ahead"), "answer_ahead is %v, more than half of the hard_stop of %q, which is %v: no time to set up",
				h.ProtocolOptions.AnswerMargin, t.Name, t.HardStop)
		}
	}
	o.ReportUnknownKeys()
}

func (h *Config) door(r *Parser, o *Object) {
	players, nodes := o.Object("players", false), o.Object("nodes", false)
	read := func(o *Object, message, queue int) transport.Limits {
		b := transport.Limits{
			MaxMessageBytes:  message,
			MaxQueuedBytes:   o.Bytes("queue", queue, 4<<10, 64<<20),
			WriteTimeout:     o.Duration("write", min(100*time.Millisecond, h.DrainGrace/2), time.Millisecond, time.Minute, false),
			HandshakeTimeout: o.Duration("handshake", 5*time.Second, 10*time.Millisecond, time.Minute, false),
		}
		return b
	}
	h.ConnectionLimits.Clients = read(players, wire.MaxSessionMessageBytes, 64<<10)
	h.ConnectionLimits.Clients.KernelBufferBytes = players.Bytes("kernel", 16<<10, 0, 64<<20)
	h.ConnectionLimits.Nodes = read(nodes, wire.MaxNodeMessageBytes, 1<<20)
	h.ConnectionLimits.Discovery = transport.Limits{MaxMessageBytes: wire.MaxDiscoveryMessageBytes, MaxQueuedBytes: 64 << 10, WriteTimeout: time.Second, HandshakeTimeout: 5 * time.Second}
	h.Capacity.MaxConnections = o.Int("connections", 15_000, 1, 10_000_000, false)
	h.Capacity.MaxPerAddress = o.Int("per_address", 0, 0, 10_000_000, false)
	h.Capacity.MaxHandshakes = o.Int("handshakes", 1024, 1, 10_000_000, false)
	h.Capacity.MaxMemory = int64(o.Bytes("memory", 0, 1<<20, 1<<40))
	h.Capacity.IdleTimeout = o.Duration("patience", 5*time.Minute, time.Second, 24*time.Hour, false)
	h.Capacity.MaxRetryAfter = o.Duration("retry", 30*time.Second, time.Second, time.Hour, false)
	h.Capacity.HandshakeTimeout = h.ConnectionLimits.Clients.HandshakeTimeout
	goals := make([]time.Duration, len(h.Tariffs))
	for i, t := range h.Tariffs {
		goals[i] = t.GoalTime
	}
	h.Queue.MaxWait = o.Duration("wait", limits.MaxQueueWait(goals), time.Millisecond, time.Minute, false)
	h.Queue.MaxRetryAfter = h.Capacity.MaxRetryAfter
	h.ConnectionLimits.Clients.MaxPendingHandshakes = h.Capacity.MaxHandshakes
	if h.Capacity.MaxPerAddress > h.Capacity.MaxConnections {
		r.AddProblem(o.OffsetOf("per_address"), "per_address is %d, more than connections, which is %d", h.Capacity.MaxPerAddress, h.Capacity.MaxConnections)
	}
	h.ConnectionLimits.InboxSize = o.Int("inbox", 512, 16, 1<<20, false)
	if h.ConnectionLimits.Nodes.WriteTimeout >= h.DrainGrace {
		r.AddProblem(nodes.OffsetOf("write"), "a write to a node may stand still for %v, as long as the drain grace (%v) or longer: "+
			"rule 3 (drains kept) could not hold", h.ConnectionLimits.Nodes.WriteTimeout, h.DrainGrace)
	}
	players.ReportUnknownKeys()
	nodes.ReportUnknownKeys()
	o.ReportUnknownKeys()
}

// Summary is a line on what a house is, for logs.
func (h *Config) Summary() string {
	return fmt.Sprintf("director %s, %d of %d, %d tariffs, %d rungs, %d cells in %d racks", h.Name, h.Peers.Index,
		h.Peers.Directors, len(h.Tariffs), len(h.Ladder.Rates), h.Fleet.Cells, h.Fleet.Racks)
}
