package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/day"
	"fordusher/internal/director"
	"fordusher/internal/emulated/discovery"
	"fordusher/internal/emulated/node"
	"fordusher/internal/rulecheck"
	"fordusher/internal/wire"
)

// A linkKey identifies a connection from one run of a director to a node.
type linkKey struct {
	director, boot int
	link           uint64 // the director's number of the link
}

// A link is the node's side of such a connection.
type link struct {
	linkKey
	id           uint64 // the node model's number of the link
	node         int    // index of the node
	directorName string // from the director's hello; empty before it
	lastArrival  time.Duration
}

// A simulation is the state of one run: the directors and their environment.
type simulation struct {
	opt               Options
	script            *day.Script
	layout            *day.Layout
	config            *conf.Config
	random            *rand.Rand
	directors         []*simDirector
	events            eventQueue
	nodes             *node.Model
	nodeIndex         map[string]int    // by node name
	exited            []bool            // by node: the process has exited
	silent            []bool            // by node: neither receives nor sends anything
	hung              []bool            // by node: the process is suspended
	unresponsiveSince []time.Duration   // by node: since when it answers no probes; negative: it answers
	links             map[linkKey]*link // open connections only
	linksByID         map[uint64]*link
	lastLinkID        uint64
	discovery         *discoveryModel
	records           []rulecheck.Record
	clients           clientModel
	creditByTariff    map[string]float64
	samples           []Sample
	usage             Usage
	finished          bool
	err               error
}

func newSimulation(s *day.Script, seed uint64, opt Options) (*simulation, error) {
	sim := &simulation{opt: opt, script: s, random: rand.New(rand.NewPCG(seed, 21)), nodeIndex: map[string]int{}, links: map[linkKey]*link{},
		linksByID: map[uint64]*link{}}
	var err error
	if opt.Config == nil {
		sim.layout = day.NewLayout(s, seed)
	} else if sim.layout, err = day.NewLayoutFromConfig(s, seed, opt.Config, opt.ListUpdates); err != nil {
		return nil, err
	}
	layout := sim.layout
	if sim.config, _, err = layout.DirectorConfig(0, "127.0.0.1:1"); err != nil {
		return nil, err
	}
	sim.nodes = node.NewModel(seed, layout.Environment, layout.Nodes)
	count := len(layout.Nodes)
	sim.exited, sim.silent, sim.hung, sim.unresponsiveSince = make([]bool, count), make([]bool, count), make([]bool, count),
		make([]time.Duration, count)
	sim.discovery = &discoveryModel{sim: sim, subscribers: map[int]int{}, entries: slices.Clone(layout.Entries)}
	var listed []wire.NodeEntry
	for i, m := range layout.Nodes {
		sim.nodeIndex[m.Name] = i
		sim.unresponsiveSince[i] = -1
		if layout.Entries[i].State == wire.Removed {
			sim.applyFault(0, node.Fault{Node: m.Name, Crash: true})
		} else {
			listed = append(listed, sim.nodeEntry(0, i, layout.Entries[i].State))
		}
	}
	sim.discovery.model = discovery.NewModel(listed)
	sim.discovery.model.Sparse = opt.SparseLists
	for i := range s.Directors {
		d := &simDirector{sim: sim, index: i, name: day.DirectorName(i), random: rand.New(rand.NewPCG(seed, uint64(i)<<8|22))}
		sim.directors = append(sim.directors, d)
		if err := d.start(0); err != nil {
			return nil, err
		}
		sim.addRecord(0, rulecheck.Record{Kind: rulecheck.DirectorStarted, Director: d.name})
	}
	timeline := opt.Actions
	if timeline == nil {
		timeline = layout.Timeline()
	}
	for _, a := range timeline {
		sim.events.schedule(settleTime+a.At, func(at time.Duration) { sim.apply(at, a) })
	}
	sim.clients.start(sim)
	sim.creditByTariff = map[string]float64{}
	for _, t := range sim.config.Tariffs {
		sim.creditByTariff[t.Name] = t.Credit
	}
	sim.events.schedule(settleTime, sim.takeSample)
	return sim, nil
}

// A Sample is the state of a day at one second.
type Sample struct {
	Second        int     `json:"second"`
	Earning       float64 `json:"earning"` // credit per second of all playing sessions
	MaxEarning    float64 `json:"wanted"`  // credit per second if all active clients played at their best rung
	Playing       int     `json:"playing"`
	ActiveClients int     `json:"there"` // clients that play, wait, or pause before a retry
}

// takeSample appends a Sample each second.
func (sim *simulation) takeSample(at time.Duration) {
	sample := Sample{Second: len(sim.samples), ActiveClients: sim.clients.active, MaxEarning: sim.clients.maxEarning}
	sample.Earning, sample.Playing = sim.nodes.EarningRate(sim.creditByTariff)
	sim.samples = append(sim.samples, sample)
	for _, d := range sim.directors {
		if d.running {
			_, _, _, _, links := d.loop.Counts()
			clients, _, _ := d.loop.ConnectionUsage()
			d.descriptors = max(d.descriptors, links+clients)
		}
	}
	sim.events.schedule(at+time.Second, sim.takeSample)
}

func (sim *simulation) addRecord(at time.Duration, r rulecheck.Record) {
	r.At = at
	sim.records = append(sim.records, r)
}

func (sim *simulation) logf(at time.Duration, format string, args ...any) {
	if sim.opt.Log != nil {
		sim.opt.Log(fmt.Sprintf("%9.3fs  ", (at-settleTime).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// drawLatency returns a random network latency.
func (sim *simulation) drawLatency(random *rand.Rand) time.Duration {
	latency := sim.opt.Latency
	return latency.Min + time.Duration(random.Int64N(int64(latency.Max-latency.Min)+1))
}

// apply carries out an action of the timeline.
func (sim *simulation) apply(at time.Duration, a day.Action) {
	if a.Say != "" {
		sim.logf(at, "%s", a.Say)
	}
	if a.Fault != nil {
		sim.applyFault(at, *a.Fault)
	}
	if a.List != nil {
		sim.discovery.update(at, *a.List)
	}
	if a.Lag != nil {
		sim.discovery.model.SetLag(*a.Lag)
		sim.discovery.scheduleRun(at)
	}
	if a.Rate != nil {
		sim.clients.arrivalRate = *a.Rate
	}
	if a.Hot != nil {
		sim.clients.hotShare = *a.Hot
	}
	for _, i := range a.Kill {
		sim.kill(at, sim.directors[i])
	}
	for _, i := range a.Start {
		if d := sim.directors[i]; !d.running {
			sim.err = d.start(at)
			sim.addRecord(at, rulecheck.Record{Kind: rulecheck.DirectorStarted, Director: d.name})
		}
	}
}

// kill ends a director at once. Its peers notice that after the network latency.
func (sim *simulation) kill(at time.Duration, d *simDirector) {
	if !d.running {
		return
	}
	sim.addRecord(at, rulecheck.Record{Kind: rulecheck.DirectorKilled, Director: d.name})
	d.running, d.nextAtStale = false, true
	d.events = eventQueue{}
	sim.disconnectAll(at, d)
}

// disconnectAll closes all connections of a director that has exited.
func (sim *simulation) disconnectAll(at time.Duration, d *simDirector) {
	boot := d.boot
	delete(sim.discovery.subscribers, d.index)
	var keys []linkKey
	for key := range sim.links {
		if key.director == d.index && key.boot == boot {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b linkKey) int { return int(min(1, max(-1, int64(a.link)-int64(b.link)))) })
	for _, key := range keys {
		sim.events.schedule(at+sim.drawLatency(sim.random), func(at time.Duration) { sim.closedByDirector(at, key) })
	}
	sim.clients.loseConnections(at, d.index)
}

// applyFault applies a fault to the nodes, as node.Host does for nodes on sockets.
func (sim *simulation) applyFault(at time.Duration, fault node.Fault) {
	for i, spec := range sim.layout.Nodes {
		if fault.Node != "" && fault.Node != spec.Name || fault.Rack != nil {
			continue
		}
		if fault.Hang != nil {
			sim.hung[i] = *fault.Hang
		}
		switch {
		case fault.Crash:
			sim.addRecord(at, rulecheck.Record{Kind: rulecheck.NodeExited, Node: spec.Name})
			sim.exited[i] = true
		case fault.Silent != nil && *fault.Silent:
			sim.silent[i] = true
		case fault.Start:
			if sim.silent[i] {
				sim.addRecord(at, rulecheck.Record{Kind: rulecheck.NodeExited, Node: spec.Name, Reason: "came back anew"})
			}
			sim.exited[i], sim.silent[i], sim.hung[i] = false, false, false
			sim.addRecord(at, rulecheck.Record{Kind: rulecheck.NodeStarted, Node: spec.Name, MaxStreams: float64(spec.MaxStreams)})
		}
		sim.updateResponsiveness(at, i)
	}
	sim.applyNodeOutputs(at, sim.nodes.Apply(at, fault))
}

// updateResponsiveness records whether a node answers probes, and since when it doesn't.
func (sim *simulation) updateResponsiveness(at time.Duration, i int) {
	switch unresponsive := sim.silent[i] || sim.hung[i]; {
	case unresponsive && sim.unresponsiveSince[i] < 0:
		sim.unresponsiveSince[i] = at
	case !unresponsive:
		sim.unresponsiveSince[i] = -1
	}
}

// nodeEntry returns the server list's entry for a node with its current address and start.
func (sim *simulation) nodeEntry(at time.Duration, i int, state string) wire.NodeEntry {
	entry := sim.discovery.entries[i]
	entry.State, entry.Address = state, "10.0.0.1:"+fmt.Sprint(1+i)
	entry.Incarnation, _ = sim.nodes.Start(at, entry.Node)
	return entry
}

// dial handles a director's attempt to connect to a node. An exited node refuses the connection; a silent or
// hung one lets the attempt time out.
func (sim *simulation) dial(at time.Duration, d *simDirector, boot, i int, linkID uint64, deadline time.Duration) {
	answerAt := at + sim.drawLatency(sim.random)
	switch {
	case sim.exited[i]:
		sim.deliver(answerAt, d, boot, director.LinkFailed{Node: sim.layout.Nodes[i].Name, Link: linkID})
		return
	case sim.silent[i] || sim.hung[i]:
		sim.deliver(max(answerAt, deadline), d, boot, director.LinkFailed{Node: sim.layout.Nodes[i].Name, Link: linkID})
		return
	}
	sim.lastLinkID++
	sim.usage.Connections++
	l := &link{linkKey: linkKey{d.index, boot, linkID}, id: sim.lastLinkID, node: i, lastArrival: answerAt}
	sim.links[l.linkKey], sim.linksByID[l.id] = l, l
	sim.deliver(answerAt, d, boot, director.LinkConnected{Node: sim.layout.Nodes[i].Name, Link: linkID})
	sim.applyNodeOutputs(at, sim.nodes.ConnOpened(at, sim.layout.Nodes[i].Name, l.id))
}

// deliver schedules an input for a run of a director, unless that run has ended.
func (sim *simulation) deliver(at time.Duration, d *simDirector, boot int, in director.Input) {
	if d.boot == boot && d.running {
		d.deliver(at, in)
	}
}

// nodeReceives handles a director's message at a node.
func (sim *simulation) nodeReceives(at time.Duration, key linkKey, raw []byte) {
	l := sim.links[key]
	if l == nil {
		return
	}
	m, err := wire.DecodeNodeMessage(raw)
	if err != nil {
		sim.err = fmt.Errorf("director %d sent a node an undecodable message: %w", key.director, err)
		return
	}
	if m.Type == wire.Hello {
		l.directorName = m.Director
	}
	sim.recordNodeMessage(at, l, m)
	if !sim.silent[l.node] {
		sim.applyNodeOutputs(at, sim.nodes.Receive(at, sim.layout.Nodes[l.node].Name, l.id, m))
	}
}

// recordNodeMessage records a message on a link. Hellos and measurements aren't recorded: no rule needs them.
func (sim *simulation) recordNodeMessage(at time.Duration, l *link, m wire.NodeMessage) {
	if m.Type == wire.Hello || m.Type == wire.Measurement {
		return
	}
	sim.addRecord(at, rulecheck.Record{Kind: m.Type, Node: sim.layout.Nodes[l.node].Name, Conn: l.id, Director: l.directorName,
		Session: m.Session, Leg: m.Leg,
		Tariff: m.Tariff, Title: m.Title, Rung: m.Rung, StartTimeout: time.Duration(m.StartWithinMS) * time.Millisecond, Reason: m.Reason})
}

// closedByDirector handles a link that the director has closed.
func (sim *simulation) closedByDirector(at time.Duration, key linkKey) {
	if l := sim.links[key]; l != nil {
		sim.closeLink(at, l)
	}
}

func (sim *simulation) closeLink(at time.Duration, l *link) {
	delete(sim.links, l.linkKey)
	delete(sim.linksByID, l.id)
	name := sim.layout.Nodes[l.node].Name
	sim.addRecord(at, rulecheck.Record{Kind: rulecheck.ConnClosed, Node: name, Conn: l.id})
	sim.applyNodeOutputs(at, sim.nodes.ConnClosed(at, name, l.id))
}

// applyNodeOutputs carries out the outputs of the node model.
func (sim *simulation) applyNodeOutputs(at time.Duration, outs []node.Output) {
	outs = slices.Clone(outs) // the loop below calls the model again, which reuses the slice
	for _, o := range outs {
		i := sim.nodeIndex[o.Node]
		switch {
		case o.Overloaded:
			sim.addRecord(at, rulecheck.Record{Kind: rulecheck.NodeExited, Node: o.Node, Reason: "pushed over"})
			sim.exited[i] = true
			sim.logf(at, "%s failed from overload and stays down", o.Node)
			continue
		case o.Earning != nil:
			sim.addRecord(at, rulecheck.Record{Kind: rulecheck.SessionEarned, Node: o.Node, Session: o.Earning.Session,
				Tariff: o.Earning.Tariff, Seconds: o.Earning.Seconds})
			continue
		}
		l := sim.linksByID[o.Conn]
		if l == nil {
			continue
		}
		d := sim.directors[l.director]
		l.lastArrival = max(l.lastArrival, at+sim.drawLatency(sim.random))
		if o.Reset {
			sim.deliver(l.lastArrival, d, l.boot, director.LinkLost{Link: l.link})
			sim.closeLink(at, l)
			continue
		}
		if sim.silent[i] {
			continue
		}
		sim.recordNodeMessage(at, l, o.Message)
		raw, linkID, boot := wire.Encode(o.Message), l.link, l.boot
		if d.boot != boot || !d.running {
			continue
		}
		d.schedule(l.lastArrival, func(at time.Duration) {
			if d.boot != boot || !d.running {
				return
			}
			message, err := wire.DecodeNodeMessage(raw)
			if err != nil {
				panic(fmt.Sprintf("the node model sent an undecodable message: %v", err))
			}
			if _, open := d.nodeByLink[linkID]; open {
				d.lastReceived[linkID] = at
			}
			d.step(at, director.LinkReceived{Link: linkID, Message: message})
		})
	}
}

// A discoveryModel is the emulated discovery: its model of the server list, and the subscribed directors.
type discoveryModel struct {
	sim         *simulation
	model       *discovery.Model
	entries     []wire.NodeEntry // by node: the entry that is listed, or will be after its delay
	subscribers map[int]int      // by director: the run that has subscribed
	nextRunAt   time.Duration    // the next scheduled run; 0: none
}

func (disc *discoveryModel) update(at time.Duration, change day.ListChange) {
	if change.Entry != nil {
		disc.entries[change.Machine] = *change.Entry
	}
	startedAt := time.Duration(0)
	if change.Born {
		startedAt = at
	}
	disc.model.ScheduleUpdate(disc.sim.nodeEntry(at, change.Machine, change.State), startedAt, at+change.Late)
	disc.scheduleRun(at)
}

// scheduleRun schedules run for the time of the next pending update.
func (disc *discoveryModel) scheduleRun(now time.Duration) {
	if at, ok := disc.model.NextDeadline(); ok && (disc.nextRunAt == 0 || at < disc.nextRunAt) {
		disc.nextRunAt = max(now, at)
		disc.sim.events.schedule(disc.nextRunAt, disc.run)
	}
}

// run sends due updates to all subscribers.
func (disc *discoveryModel) run(at time.Duration) {
	if at == disc.nextRunAt {
		disc.nextRunAt = 0
	}
	if m, ok := disc.model.TakeDue(at); ok {
		raw := wire.Encode(m)
		for i, d := range disc.sim.directors {
			if boot, subscribed := disc.subscribers[i]; subscribed {
				disc.send(at, d, boot, raw)
			}
		}
	}
	disc.scheduleRun(at)
}

// send delivers a message to a director. The fixed latency, the maximum, keeps messages in order, as on one
// connection.
func (disc *discoveryModel) send(at time.Duration, d *simDirector, boot int, raw []byte) {
	if d.boot != boot || !d.running {
		return
	}
	disc.sim.usage.ListBytes += int64(len(raw))
	d.schedule(at+disc.sim.opt.Latency.Max, func(at time.Duration) {
		if d.boot != boot || !d.running {
			return
		}
		m, err := wire.DecodeDiscoveryMessage(raw)
		if err != nil {
			panic(fmt.Sprintf("the discovery model sent an undecodable message: %v", err))
		}
		d.step(at, director.DiscoveryReceived{Message: m})
	})
}

// receive handles a director's message at discovery.
func (disc *discoveryModel) receive(at time.Duration, d *simDirector, boot int, raw []byte) {
	m, err := wire.DecodeDiscoveryMessage(raw)
	if err != nil {
		disc.sim.err = fmt.Errorf("%s sent discovery an undecodable message: %w", d.name, err)
		return
	}
	if d.boot != boot || !d.running {
		return
	}
	switch m.Type {
	case wire.Subscribe:
		if _, subscribed := disc.subscribers[d.index]; !subscribed {
			disc.sim.addRecord(at, rulecheck.Record{Kind: rulecheck.ListSubscribed, Director: m.Director})
		}
		disc.subscribers[d.index] = boot
		disc.send(at, d, boot, wire.Encode(disc.model.Snapshot(at, disc.sim.layout.Titles)))
	case wire.Acknowledge:
		for _, e := range disc.model.EntriesOf(m.Serial) {
			disc.sim.addRecord(at, rulecheck.Record{Kind: rulecheck.ListAcknowledged, Director: m.Director, Node: e.Node, State: e.State})
		}
	}
}
