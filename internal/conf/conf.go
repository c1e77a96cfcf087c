// Package conf reads a director's configuration file: JSON with comments, in which every value has its unit. From
// the text it makes a Config, or reports all mistakes at once, each with file, line and column. Only Load does I/O:
// it reads the file. Other packages use the Parser for their own files. docs/configuration.md describes the keys.
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

// Config is the configuration with which a director starts.
type Config struct {
	// DisableGuard makes the loop send the decider's legs unchecked. It is for tests that break a rule on purpose; no
	// configuration file sets it.
	DisableGuard bool

	Name                 string
	Peers                policy.Peers
	ListenAddress        string           // the address for clients
	MetricsAddress       string           // the address for metrics; empty: none
	DiscoveryAddress     string           // the address of the discovery service; empty: none, Nodes and Titles are the only source
	DiscoveryReadTimeout time.Duration    // reconnect to the discovery service after this time without a message; 0: never
	Nodes                []wire.NodeEntry // in force until the first message of the discovery service
	Titles               []wire.TitlePlacement
	Tariffs              []director.Tariff
	Ladder               policy.Ladder
	Topology             policy.Topology
	MachineKinds         []string // the kinds of machines, in the order of Ramp.MaxStreams
	Ramp                 policy.Ramp
	DrainGrace           time.Duration
	Legs                 policy.RetryPolicy
	ReportTiming         policy.ReportTiming
	ProtocolOptions      director.Options
	ReconnectPolicy      connector.ReconnectPolicy
	ShutdownPolicy       shutdown.Policy
	Capacity             limits.Capacity
	Queue                limits.QueuePolicy
	ConnectionLimits     ConnectionLimits
}

// ConnectionLimits limits the resources that one peer may use.
type ConnectionLimits struct {
	Clients   transport.Limits
	Nodes     transport.Limits
	Discovery transport.Limits
	InboxSize int // the number of messages of one peer that may be queued for the loop
}

// clientCloseTimeout is the time that client connections may take to close when a director shuts down.
const clientCloseTimeout = 200 * time.Millisecond

// NewDecider returns the decider of the policy module with the configuration's settings.
func (c *Config) NewDecider(seed uint64) *policy.Director {
	tariffs := make([]policy.Tariff, len(c.Tariffs))
	for i, t := range c.Tariffs {
		tariffs[i] = t.Tariff
	}
	return policy.New(seed, c.Peers, tariffs, c.Ladder, c.Topology, c.Ramp, c.Legs, c.ReportTiming)
}

// NewLoop returns a director's loop that uses the given decider. boot identifies the run: it has to be different in
// every run of a director.
func (c *Config) NewLoop(boot string, seed uint64, decider director.Decider) *director.Loop {
	loop := director.New(c.Name, boot, seed, decider, c.Tariffs, c.MachineKinds, c.Ladder, c.ProtocolOptions, c.ReconnectPolicy,
		c.ShutdownPolicy, c.Capacity, c.Queue)
	if c.DisableGuard {
		loop.DisableGuard()
	}
	return loop
}

// Load reads and decodes a configuration file. Mistakes in the file are returned as Problems.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, text)
}

// Decode decodes the text of a configuration file. The file name is for error messages. Mistakes in the text are
// returned as Problems.
func Decode(file string, text []byte) (*Config, error) {
	p, o := Parse(file, text)
	if err := p.Err(); err != nil {
		return nil, err
	}
	c := &Config{}
	c.parseDirector(p, o.Object("director", true))
	c.ListenAddress = parseAddress(p, o, "listen", true)
	c.MetricsAddress = parseAddress(p, o, "metrics", false)
	discovery := o.Object("list", !o.Has("nodes"))
	c.DiscoveryAddress = parseAddress(p, discovery, "address", !o.Has("nodes"))
	pollWithin := discovery.Duration("ask_within", 0, time.Second, time.Hour, false)
	discovery.ReportUnknownKeys()
	c.parseLadder(p, o.Object("ladder", true))
	c.parseTariffs(p, o.Object("tariffs", true))
	c.parseTopology(p, o.Object("fleet", true))
	c.parseRamp(o.Object("ramp", true))
	c.Ramp.PollWithin = pollWithin
	c.parseLegs(p, o.Object("legs", false))
	c.parseReportTiming(o.Object("tidings", false))
	c.parseProtocolOptions(p, o.Object("manners", false))
	reconnect := o.Object("reach", false)
	c.ReconnectPolicy.InitialBackoff = reconnect.Duration("first", 200*time.Millisecond, time.Millisecond, time.Minute, false)
	c.ReconnectPolicy.MaxBackoff = reconnect.Duration("most", 5*time.Second, time.Millisecond, time.Hour, false)
	c.ReconnectPolicy.MaxConcurrent = reconnect.Int("at_once", 64, 1, 10_000, false)
	if c.ReconnectPolicy.InitialBackoff > c.ReconnectPolicy.MaxBackoff {
		p.AddProblem(reconnect.OffsetOf("first"), "first is %v; it has to be at most the value of most, %v",
			c.ReconnectPolicy.InitialBackoff, c.ReconnectPolicy.MaxBackoff)
	}
	reconnect.ReportUnknownKeys()
	shutdownKeys := o.Object("closing", false)
	c.ShutdownPolicy = shutdown.Policy{
		Timeout:       shutdownKeys.Duration("within", 8*time.Second, time.Millisecond, time.Hour, false),
		BatchInterval: shutdownKeys.Duration("slice", 500*time.Millisecond, time.Millisecond, time.Minute, false),
		CloseTimeout:  clientCloseTimeout,
	}
	shutdownKeys.ReportUnknownKeys()
	c.parseLimits(p, o.Object("limits", false))
	c.parseNodes(p, o.Object("nodes", false))
	c.parseTitles(p, o.Object("titles", false))
	o.ReportUnknownKeys()
	if err := p.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) parseDirector(p *Parser, o *Object) {
	c.Name = o.Text("name", "", true)
	c.Peers = policy.Peers{
		Directors: o.Int("directors", 1, 1, 10_000, true),
		Index:     o.Int("me", 0, 0, 9_999, true),
		Zone:      o.Text("zone", "", false),
	}
	if c.Peers.Index >= c.Peers.Directors {
		p.AddProblem(o.OffsetOf("me"), "me is %d, but there are %d directors, counted from 0", c.Peers.Index, c.Peers.Directors)
	}
	if len(c.Name) > 64 {
		p.AddProblem(o.OffsetOf("name"), "the name is longer than 64 bytes")
	}
	o.ReportUnknownKeys()
}

func parseAddress(p *Parser, o *Object, name string, required bool) string {
	address := o.Text(name, "", required)
	if address != "" {
		if _, _, err := net.SplitHostPort(address); err != nil {
			p.AddProblem(o.OffsetOf(name), "%q is %q; it has to be host:port", name, address)
		}
	}
	return address
}

func (c *Config) parseLadder(p *Parser, o *Object) {
	c.Ladder = policy.Ladder{
		Rates:    o.Rates("rates", true),
		Worth:    o.Numbers("worth", 0, 1),
		JoinCost: o.Number("join_adds", 1, 0, 1, false),
	}
	for i := 1; i < len(c.Ladder.Rates); i++ {
		if c.Ladder.Rates[i] <= c.Ladder.Rates[i-1] && c.Ladder.Rates[i] > 0 {
			p.AddProblem(o.OffsetOf("rates"), "rates have to be in ascending order; rung %d is not above rung %d", i, i-1)
		}
	}
	if o.Has("rates") && len(c.Ladder.Rates) == 0 {
		p.AddProblem(o.OffsetOf("rates"), "a ladder needs at least one rung")
	}
	if w := len(c.Ladder.Worth); w > 0 && w != len(c.Ladder.Rates) {
		p.AddProblem(o.OffsetOf("worth"), "worth has %d entries, but rates has %d", w, len(c.Ladder.Rates))
	}
	o.ReportUnknownKeys()
}

func (c *Config) parseTariffs(p *Parser, o *Object) {
	topRung := len(c.Ladder.Rates) - 1
	if topRung < 0 { // a ladder without rates is already reported; don't report every tariff as well
		topRung = 1e6
	}
	for _, name := range o.Names() {
		t := o.Object(name, true)
		tariff := policy.Tariff{
			GoalTime:   t.Duration("goal_time", 0, time.Millisecond, time.Hour, true),
			HardStop:   t.Duration("hard_stop", 0, time.Millisecond, time.Hour, true),
			Credit:     t.Number("credit", 1, 0, 1e6, false),
			AtMostOnce: t.Bool("paid", false),
			Scale:      t.Number("scale", 1, 0.01, 100, false),
			Floor:      t.Int("floor", 0, 0, topRung, false),
			Top:        t.Int("top", topRung, 0, topRung, false),
			Seats:      t.Int("seats", 0, 0, 1e6, false),
			Live:       t.Bool("live", false),
		}
		if tariff.GoalTime > tariff.HardStop && tariff.HardStop > 0 {
			p.AddProblem(t.OffsetOf("goal_time"), "goal_time is %v; it has to be at most hard_stop (line %d), which is %v", tariff.GoalTime,
				p.Line(t.OffsetOf("hard_stop")), tariff.HardStop)
		}
		if tariff.Floor > tariff.Top {
			p.AddProblem(t.OffsetOf("floor"), "floor is rung %d; it has to be at most top, which is rung %d, or rule 5 (terms kept) can't hold",
				tariff.Floor, tariff.Top)
		}
		t.ReportUnknownKeys()
		c.Tariffs = append(c.Tariffs, director.Tariff{Name: name, Tariff: tariff})
	}
	if len(c.Tariffs) == 0 && !o.absent {
		p.AddProblem(o.Offset, "there is no tariff; at least one is required")
	}
	o.ReportUnknownKeys()
}

func (c *Config) parseTopology(p *Parser, o *Object) {
	c.Topology = policy.Topology{
		Cells:            o.Int("cells", 0, 1, 1e6, true),
		Racks:            o.Int("racks", 0, 1, 1e6, true),
		LinkUnit:         o.Rate("link_unit", 0, true),
		Uplink:           o.Rate("uplink", 0, true),
		CrossZoneCost:    o.Number("crossing", 0, 0, 1, false),
		RefusalThreshold: o.Number("refuses_from", 0, 0, 10, false),
	}
	if c.Topology.Racks > c.Topology.Cells && c.Topology.Cells > 0 {
		p.AddProblem(o.OffsetOf("racks"), "there are %d racks, but only %d cells; a cell lies in one rack, so there can be no more racks than cells",
			c.Topology.Racks, c.Topology.Cells)
	}
	machines := o.Object("machines", true)
	for _, kind := range machines.Names() {
		c.MachineKinds = append(c.MachineKinds, kind)
		c.Ramp.MaxStreams = append(c.Ramp.MaxStreams, machines.Number(kind, 1, 1, 1e6, true))
	}
	if len(c.MachineKinds) == 0 && !machines.absent {
		p.AddProblem(machines.Offset, "there is no kind of machine; at least one is required")
	}
	o.ReportUnknownKeys()
}

// parseNodes reads the nodes that a director knows at its start.
func (c *Config) parseNodes(p *Parser, o *Object) {
	lastCell := c.lastCell()
	addresses := map[string]string{}
	for _, name := range o.Names() {
		n := o.Object(name, true)
		entry := wire.NodeEntry{
			Node:        name,
			Address:     parseAddress(p, n, "address", true),
			State:       n.Text("state", wire.Up, false),
			MachineKind: n.Text("kind", "", true),
			Zone:        n.Text("zone", "", false),
			Weight:      n.Number("weight", 1, 1e-6, 1e6, false),
			Cell:        n.Int("cell", 0, 0, lastCell, true),
		}
		n.ReportUnknownKeys()
		if entry.State != wire.Up && entry.State != wire.Draining {
			p.AddProblem(n.OffsetOf("state"), "state is %q; it has to be %q or %q", entry.State, wire.Up, wire.Draining)
		}
		if entry.MachineKind != "" && !slices.Contains(c.MachineKinds, entry.MachineKind) && len(c.MachineKinds) > 0 {
			p.AddProblem(n.OffsetOf("kind"), "fleet.machines does not define the kind %q", entry.MachineKind)
		}
		if other, duplicate := addresses[entry.Address]; duplicate && entry.Address != "" {
			p.AddProblem(n.OffsetOf("address"), "node %q already has this address", other)
		}
		addresses[entry.Address] = name
		c.Nodes = append(c.Nodes, entry)
	}
	o.ReportUnknownKeys()
}

// lastCell returns the highest valid cell number. Where the number of cells is missing, it returns a bound that
// any cell meets, because the missing number is already reported.
func (c *Config) lastCell() int {
	if c.Topology.Cells == 0 {
		return 1e6
	}
	return c.Topology.Cells - 1
}

// parseTitles reads the placement of the titles: the cells that hold each.
func (c *Config) parseTitles(p *Parser, o *Object) {
	for _, name := range o.Names() {
		t := o.Object(name, true)
		c.Titles = append(c.Titles, wire.TitlePlacement{
			Title:     name,
			FirstCell: t.Int("base", 0, 0, c.lastCell(), true),
			Copies:    t.Int("copies", 1, 1, c.lastCell()+1, true),
		})
		t.ReportUnknownKeys()
	}
	o.ReportUnknownKeys()
}

func (c *Config) parseRamp(o *Object) {
	c.Ramp.Warmup = o.Duration("warmup", 0, 0, time.Hour, true)
	c.Ramp.InitialShare = o.Number("cold_from", 0.5, 0.001, 1, true)
	c.Ramp.OverloadMultiple = o.Number("multiple", 1, 0.1, 1000, true)
	c.Ramp.OverloadWindow = o.Duration("tip_after", 0, time.Millisecond, time.Hour, true)
	c.DrainGrace = o.Duration("drain_grace", 250*time.Millisecond, time.Millisecond, time.Hour, false)
	o.ReportUnknownKeys()
}

func (c *Config) parseLegs(p *Parser, o *Object) {
	c.Legs = policy.RetryPolicy{
		MaxLegs:    o.Int("most", 4, 1, 16, false),
		MinRetries: o.Number("spare", 0, 0, 1e6, false),
		RetryRatio: o.Number("share", 0, 0, 1, false),
		Window:     o.Duration("span", 0, time.Millisecond, time.Hour, false),
	}
	if c.Legs.Window == 0 && (o.Has("spare") || o.Has("share")) {
		p.AddProblem(o.Offset, "spare and share limit further legs within a span; \"span\" is missing")
	}
	o.ReportUnknownKeys()
}

func (c *Config) parseReportTiming(o *Object) {
	c.ReportTiming = policy.ReportTiming{
		Delay:      o.Duration("late", time.Second, 0, time.Minute, false),
		Interval:   o.Duration("every", 4*time.Second, 0, time.Hour, false),
		MaxBackoff: o.Duration("backoff", 0, 0, time.Hour, false),
	}
	o.ReportUnknownKeys()
}

func (c *Config) parseProtocolOptions(p *Parser, o *Object) {
	c.ProtocolOptions = director.Options{
		AnswerMargin:          o.Duration("answer_ahead", 60*time.Millisecond, 0, time.Minute, false),
		Linger:                o.Duration("linger", 8*time.Second, 0, time.Hour, false),
		ConnectTimeout:        o.Duration("connect", 250*time.Millisecond, time.Millisecond, time.Minute, false),
		SessionsPerConnection: o.Int("sessions_per_connection", 8, 1, 1000, false),
	}
	c.ReconnectPolicy.HeartbeatInterval = o.Duration("ping", time.Second, 10*time.Millisecond, time.Hour, false)
	c.Capacity.HeartbeatInterval = o.Duration("ping_players", 10*time.Second, 10*time.Millisecond, time.Hour, false)
	for _, t := range c.Tariffs {
		if t.HardStop > 0 && c.ProtocolOptions.AnswerMargin*2 > t.HardStop {
			p.AddProblem(o.OffsetOf("answer_ahead"), "answer_ahead is %v, more than half of the hard_stop of %q, which is %v: it leaves no time to set up a session",
				c.ProtocolOptions.AnswerMargin, t.Name, t.HardStop)
		}
	}
	o.ReportUnknownKeys()
}

func (c *Config) parseLimits(p *Parser, o *Object) {
	clients, nodes := o.Object("players", false), o.Object("nodes", false)
	parsePeer := func(o *Object, maxMessageBytes, maxQueuedBytes int) transport.Limits {
		l := transport.Limits{
			MaxMessageBytes:  maxMessageBytes,
			MaxQueuedBytes:   o.Bytes("queue", maxQueuedBytes, 4<<10, 64<<20),
			WriteTimeout:     o.Duration("write", min(100*time.Millisecond, c.DrainGrace/2), time.Millisecond, time.Minute, false),
			HandshakeTimeout: o.Duration("handshake", 5*time.Second, 10*time.Millisecond, time.Minute, false),
		}
		return l
	}
	c.ConnectionLimits.Clients = parsePeer(clients, wire.MaxSessionMessageBytes, 64<<10)
	c.ConnectionLimits.Clients.KernelBufferBytes = clients.Bytes("kernel", 16<<10, 0, 64<<20)
	c.ConnectionLimits.Nodes = parsePeer(nodes, wire.MaxNodeMessageBytes, 1<<20)
	c.ConnectionLimits.Discovery = transport.Limits{MaxMessageBytes: wire.MaxDiscoveryMessageBytes, MaxQueuedBytes: 64 << 10,
		WriteTimeout: time.Second, HandshakeTimeout: 5 * time.Second}
	c.Capacity.MaxConnections = o.Int("connections", 15_000, 1, 10_000_000, false)
	c.Capacity.MaxPerAddress = o.Int("per_address", 0, 0, 10_000_000, false)
	c.Capacity.MaxHandshakes = o.Int("handshakes", 1024, 1, 10_000_000, false)
	c.Capacity.MaxMemory = int64(o.Bytes("memory", 0, 1<<20, 1<<40))
	c.Capacity.IdleTimeout = o.Duration("patience", 5*time.Minute, time.Second, 24*time.Hour, false)
	c.Capacity.MaxRetryAfter = o.Duration("retry", 30*time.Second, time.Second, time.Hour, false)
	c.Capacity.HandshakeTimeout = c.ConnectionLimits.Clients.HandshakeTimeout
	goals := make([]time.Duration, len(c.Tariffs))
	for i, t := range c.Tariffs {
		goals[i] = t.GoalTime
	}
	c.Queue.MaxWait = o.Duration("wait", limits.MaxQueueWait(goals), time.Millisecond, time.Minute, false)
	c.Queue.MaxRetryAfter = c.Capacity.MaxRetryAfter
	c.ConnectionLimits.Clients.MaxPendingHandshakes = c.Capacity.MaxHandshakes
	if c.Capacity.MaxPerAddress > c.Capacity.MaxConnections {
		p.AddProblem(o.OffsetOf("per_address"), "per_address is %d, more than connections, which is %d", c.Capacity.MaxPerAddress,
			c.Capacity.MaxConnections)
	}
	c.ConnectionLimits.InboxSize = o.Int("inbox", 512, 16, 1<<20, false)
	c.ConnectionLimits.LimitMemory(c.Capacity.MaxMemory)
	if c.ConnectionLimits.Nodes.WriteTimeout >= c.DrainGrace {
		p.AddProblem(nodes.OffsetOf("write"), "a write to a node may block for %v; the time has to be shorter than the drain grace (%v), "+
			"or rule 3 (drains kept) can't hold", c.ConnectionLimits.Nodes.WriteTimeout, c.DrainGrace)
	}
	clients.ReportUnknownKeys()
	nodes.ReportUnknownKeys()
	o.ReportUnknownKeys()
}

// The part of the memory that unhandled input of connections may hold, and the same for output that waits to be
// written; minBufferMemory at least. Where no memory is set, defaultMemory applies.
const (
	bufferMemoryShare = 64
	defaultMemory     = 1 << 30
	minBufferMemory   = 512 << 10
)

// LimitMemory bounds what all connections hold of input and output by the memory of the program; 0: not set. Discovery
// has a bound of its own, because one of its messages may be as long as all that clients and nodes may hold. A message of
// discovery is bounded by it too.
func (l *ConnectionLimits) LimitMemory(memory int64) {
	if memory == 0 {
		memory = defaultMemory
	}
	share := max(memory/bufferMemoryShare, minBufferMemory)
	l.Clients.Input = transport.NewInputBudget(share)
	l.Clients.Output = transport.NewOutputBudget(share)
	l.Nodes.Input, l.Nodes.Output = l.Clients.Input, l.Clients.Output
	l.Discovery.Input = transport.NewInputBudget(share)
	l.Discovery.MaxMessageBytes = min(l.Discovery.MaxMessageBytes, int(share))
}

// Summary describes the configuration in one line, for logs.
func (c *Config) Summary() string {
	return fmt.Sprintf("director %s, %d of %d, %d tariffs, %d rungs, %d cells in %d racks", c.Name, c.Peers.Index,
		c.Peers.Directors, len(c.Tariffs), len(c.Ladder.Rates), c.Topology.Cells, c.Topology.Racks)
}
