// Package emulator runs a scripted day in virtual time. One process holds hundreds of directors with their real
// loops, policy module and codec, together with models of the nodes, discovery, the network and the clients.
// A script and a seed go in; the records, their hash, and the result of the rule checks come out. Nothing reads a
// clock and all random sources are seeded, so a day produces the same records byte for byte on every run, on any
// number of cores. Only experiments do I/O: they read and write files.
//
// Virtual time advances in windows as long as the minimum network latency. Within a window no message can travel
// from a director to another director or to the environment, so the directors run in parallel. Afterwards the
// environment (nodes, discovery, clients) processes the same window.
package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/day"
	"fordusher/internal/director"
	"fordusher/internal/rulecheck"
	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
)

// LatencyRange bounds the network latency; each message draws a value between Min and Max.
type LatencyRange struct {
	Min, Max time.Duration
}

// Options configure a run of a day in virtual time.
type Options struct {
	Latency     LatencyRange                                            // zero: 0.5 ms to 2 ms
	Workers     int                                                     // cores; 0: one. Affects only the time that the run takes
	Until       time.Duration                                           // virtual time at which the run ends at the latest; 0: no limit
	NewDecider  func(config *conf.Config, seed uint64) director.Decider // nil: the policy module
	Log         func(line string)                                       // receives progress and log lines; may be nil
	Actions     []day.Action                                            // replace the script's timeline; nil: the script's timeline
	Config      *conf.Config                                            // see day.Options
	ListUpdates []day.ListUpdate
	SparseLists bool // see discovery.Model.Sparse
}

// settleTime is how long the directors run before the day begins.
const settleTime = 300 * time.Millisecond

// An eventQueue runs scheduled functions in order of time; those of the same time run in the order in which they
// were scheduled.
type eventQueue struct {
	timerqueue.Queue[func(at time.Duration)]
}

func (q *eventQueue) schedule(at time.Duration, do func(at time.Duration)) { q.Add(at, do) }

func (q *eventQueue) nextAt() time.Duration {
	if at, ok := q.NextDeadline(); ok {
		return at
	}
	return math.MaxInt64
}

// runNext removes the earliest event and runs it.
func (q *eventQueue) runNext() {
	at := q.nextAt()
	q.Pop()(at)
}

// A simDirector is one director with its incoming events. Within a window no other goroutine accesses it.
type simDirector struct {
	sim          *simulation
	index        int
	name         string
	boot         int
	running      bool
	startedAt    time.Duration
	loop         *director.Loop
	events       eventQueue
	nextAtStale  bool            // the cached result of nextAt is out of date
	outgoing     []outgoingEvent // outputs of the current window, in order
	random       *rand.Rand
	lastArrivals map[uint64]time.Duration // by route: messages on one route do not overtake each other
	lastReceived map[uint64]time.Duration // by link: when the director last received a message
	nodeByLink   map[uint64]int           // by link: the index of the link's node
	shutdownDone bool                     // the director has completed its shutdown
	descriptors  int                      // most connections at one time, looked at each second
}

// An outgoingEvent is a director's output that takes effect in the environment at a later time.
type outgoingEvent struct {
	at  time.Duration
	run func(at time.Duration)
}

// nextAt returns the time of the director's next event or timer.
func (d *simDirector) nextAt() time.Duration {
	if !d.running {
		return math.MaxInt64
	}
	next := d.events.nextAt()
	if at := d.loop.Next(); at < math.MaxInt64-d.startedAt {
		next = min(next, d.startedAt+at)
	}
	return next
}

// schedule adds an event to the director's queue.
func (d *simDirector) schedule(at time.Duration, do func(at time.Duration)) {
	d.nextAtStale = true
	d.events.schedule(at, do)
}

// runUntil processes events and timers until the window ends.
func (d *simDirector) runUntil(stop time.Duration) {
	d.nextAtStale = true
	for at := d.nextAt(); at < stop; at = d.nextAt() {
		if d.events.nextAt() <= at { // an event precedes a timer of the same time
			d.events.runNext()
		} else {
			d.step(at, director.Tick{})
		}
	}
}

func (d *simDirector) step(at time.Duration, in director.Input) {
	d.execute(at, d.loop.Step(at-d.startedAt, in))
}

// deliver schedules an input for the current run of the director. The input is dropped if that run has ended by
// then.
func (d *simDirector) deliver(at time.Duration, in director.Input) {
	boot := d.boot
	d.schedule(at, func(at time.Duration) {
		if d.boot == boot && d.running {
			d.step(at, in)
		}
	})
}

// send schedules an output's effect in the environment after the network latency.
func (d *simDirector) send(at time.Duration, route uint64, do func(at time.Duration)) {
	at = max(at+d.sim.drawLatency(d.random), d.lastArrivals[route])
	d.lastArrivals[route] = at
	d.outgoing = append(d.outgoing, outgoingEvent{at, do})
}

// clientRoute and linkRoute give the keys of lastArrivals: client connections have odd keys and links even ones,
// so that both share one table.
func clientRoute(conn uint64) uint64 { return conn<<1 | 1 }
func linkRoute(link uint64) uint64   { return link << 1 }

// discoveryRoute is the key of lastArrivals for the discovery connection.
const discoveryRoute = 1 << 63

// execute carries out the outputs of the director's loop.
func (d *simDirector) execute(at time.Duration, outs []director.Output) {
	sim, boot := d.sim, d.boot
	for _, o := range outs {
		switch o := o.(type) {
		case director.SendClient:
			raw := wire.Encode(o.Message)
			d.send(at, clientRoute(o.Conn), func(at time.Duration) { sim.clientReceives(at, o.Conn, raw) })
		case director.AcceptClient:
			d.deliver(at, director.ClientAccepted(o))
			d.send(at, clientRoute(o.Conn), func(at time.Duration) { sim.clientAccepted(at, o.Conn) })
		case director.RejectClient:
			d.send(at, clientRoute(o.Conn), func(at time.Duration) { sim.clientClosed(at, o.Conn, "turned away", rulecheck.ClosedByPeer) })
		case director.CloseClient:
			d.deliver(at, director.ClientLost{Conn: o.Conn})
			why := fmt.Sprintf("closed by peer: %d %s", o.Code, o.Reason)
			d.send(at, clientRoute(o.Conn), func(at time.Duration) { sim.clientClosed(at, o.Conn, why, rulecheck.ClosedByPeer) })
			delete(d.lastArrivals, clientRoute(o.Conn))
		case director.ProbeClient:
			d.deliver(at, director.ClientAlive{Conn: o.Conn})
		case director.Connect:
			node := sim.nodeIndex[o.Node]
			d.nodeByLink[o.Link] = node
			dialedAt := at
			d.send(at, linkRoute(o.Link), func(at time.Duration) { sim.dial(at, d, boot, node, o.Link, dialedAt+o.Timeout) })
		case director.SendNode:
			raw := wire.Encode(o.Message)
			d.send(at, linkRoute(o.Link), func(at time.Duration) { sim.nodeReceives(at, linkKey{d.index, boot, o.Link}, raw) })
		case director.ProbeLink:
			idle := time.Duration(0)
			if since := sim.unresponsiveSince[d.nodeByLink[o.Link]]; since >= 0 { // state at the start of the window
				idle = at - max(since, d.lastReceived[o.Link])
			}
			d.deliver(at, director.LinkAlive{Link: o.Link, IdleFor: idle})
		case director.CloseLink:
			d.send(at, linkRoute(o.Link), func(at time.Duration) { sim.closedByDirector(at, linkKey{d.index, boot, o.Link}) })
			d.forgetLink(o.Link)
		case director.SendDiscovery:
			raw := wire.Encode(o.Message)
			d.send(at, discoveryRoute, func(at time.Duration) { sim.discovery.receive(at, d, boot, raw) })
		case director.Withdraw: // nothing to withdraw: sent messages have already left the process
		case director.Log:
			if sim.opt.Log != nil {
				line := o.Text
				// Logging must not affect the run, so no random latency is drawn for it.
				d.outgoing = append(d.outgoing, outgoingEvent{at + sim.opt.Latency.Min,
					func(at time.Duration) { sim.logf(at, "%s: %s", d.name, line) }})
			}
		case director.ShutdownComplete:
			d.running, d.shutdownDone = false, true
		}
	}
}

func (d *simDirector) forgetLink(link uint64) {
	delete(d.lastArrivals, linkRoute(link))
	delete(d.lastReceived, link)
	delete(d.nodeByLink, link)
}

// start starts the director with an empty state.
func (d *simDirector) start(at time.Duration) error {
	config, _, err := d.sim.layout.DirectorConfig(d.index, "127.0.0.1:1")
	if err != nil {
		return err
	}
	d.boot++
	seed := d.sim.layout.Seed*1000 + uint64(d.index)<<20 + uint64(d.boot)
	var decider director.Decider
	if d.sim.opt.NewDecider != nil {
		decider = d.sim.opt.NewDecider(config, seed)
	} else {
		decider = config.NewDecider(seed)
	}
	d.loop = config.NewLoop(fmt.Sprint(d.boot), seed, decider)
	d.startedAt, d.running, d.nextAtStale = at, true, true
	d.events = eventQueue{}
	d.lastArrivals, d.lastReceived, d.nodeByLink = map[uint64]time.Duration{}, map[uint64]time.Duration{}, map[uint64]int{}
	d.deliver(at+d.sim.drawLatency(d.random), director.DiscoveryConnected{})
	return nil
}

// Run runs a day in virtual time.
func Run(s *day.Script, seed uint64, opt Options) (*Result, error) {
	if opt.Latency.Max == 0 {
		opt.Latency = LatencyRange{500 * time.Microsecond, 2 * time.Millisecond}
	}
	sim, err := newSimulation(s, seed, opt)
	if err != nil {
		return nil, err
	}
	if err := sim.run(); err != nil {
		return nil, err
	}
	return sim.result(), nil
}

// run processes one window after another until all clients have finished or the time limit is reached.
func (sim *simulation) run() error {
	pool := newWorkerPool(max(1, sim.opt.Workers))
	defer pool.close()
	end := settleTime + sim.script.Length + 30*time.Second
	if sim.opt.Until > 0 {
		end = min(end, sim.opt.Until)
	}
	nexts := make([]time.Duration, len(sim.directors))
	var due []*simDirector
	for sim.err == nil && !sim.finished {
		start := sim.events.nextAt()
		if at, ok := sim.nodes.NextDeadline(); ok {
			start = min(start, at)
		}
		for i, d := range sim.directors {
			if d.nextAtStale {
				nexts[i], d.nextAtStale = d.nextAt(), false
			}
			start = min(start, nexts[i])
		}
		if start >= end {
			break
		}
		stop := start + sim.opt.Latency.Min
		due = due[:0]
		for i, d := range sim.directors {
			if nexts[i] < stop {
				due = append(due, d)
			}
		}
		pool.run(due, stop)
		for _, d := range due {
			for _, x := range d.outgoing {
				sim.events.schedule(x.at, x.run)
			}
			clear(d.outgoing)
			d.outgoing = d.outgoing[:0]
			if d.shutdownDone {
				d.shutdownDone = false
				sim.disconnectAll(stop, d)
			}
		}
		sim.runEnvironment(stop)
	}
	return sim.err
}

// runEnvironment processes the events of nodes, discovery and clients until the window ends.
func (sim *simulation) runEnvironment(stop time.Duration) {
	for {
		at := sim.events.nextAt()
		if nodeAt, ok := sim.nodes.NextDeadline(); ok && nodeAt < at {
			if nodeAt >= stop {
				return
			}
			sim.applyNodeOutputs(nodeAt, sim.nodes.Step(nodeAt))
			continue
		}
		if at >= stop {
			return
		}
		sim.events.runNext()
	}
}

// A workerPool runs directors in parallel.
type workerPool struct {
	wait    sync.WaitGroup
	tasks   chan func()
	size    int          // workers, with the caller of run as one of them
	claimed atomic.Int64 // directors of the current window that a worker has taken
}

func newWorkerPool(size int) *workerPool {
	p := &workerPool{tasks: make(chan func()), size: size}
	for range size - 1 {
		go func() {
			for f := range p.tasks {
				f()
				p.wait.Done()
			}
		}()
	}
	return p
}

func (p *workerPool) close() { close(p.tasks) }

func (p *workerPool) run(directors []*simDirector, stop time.Duration) {
	if len(directors) < 4 || p.size == 1 {
		for _, d := range directors {
			d.runUntil(stop)
		}
		return
	}
	p.claimed.Store(0)
	worker := func() {
		for {
			i := int(p.claimed.Add(1)) - 1
			if i >= len(directors) {
				return
			}
			directors[i].runUntil(stop)
		}
	}
	helpers := min(p.size, len(directors)/2) - 1
	p.wait.Add(helpers)
	for range helpers {
		p.tasks <- worker
	}
	worker()
	p.wait.Wait()
}

// clientAddress returns a distinct address for each client connection.
func clientAddress(conn uint64) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(conn >> 16), byte(conn >> 8), byte(conn)})
}
