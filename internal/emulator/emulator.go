// Package emulator plays a day in virtual time: the directors' own loops with the module, the codec, the model
// of the nodes, and models of the list, the network and the viewers, hundreds of each in one process. Nothing
// of it reads a clock, and chance is seeded, so a day is the same to the byte each time, on any number of cores.
//
// Time goes in windows as long as the shortest way through the network. Within one, directors can't reach each
// other or the world, so all of them run side by side; then the world (nodes, list, viewers) has its turn.
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

// LatencyRange is how long messages are on their way, each drawn between the two.
type LatencyRange struct {
	Min, Max time.Duration
}

// Options are how a day is played.
type Options struct {
	Latency     LatencyRange // zero: half a millisecond to two
	Workers     int          // cores; 0: one. It changes nothing but the time that a day takes
	Until       time.Duration
	NewDecider  func(h *conf.Config, seed uint64) director.Decider // nil: the module
	Log         func(line string)                                  // a line for each action; may be nil
	Actions     []day.Action                                       // in place of the script's timeline; nil: that
	Config      *conf.Config                                       // as in day.Options
	ListUpdates []day.ListUpdate
}

// settle is how long directors run before the day begins.
const settle = 300 * time.Millisecond

// events are what happens, each at its time; those of one time happen in the order in which they were put.
type events struct {
	timerqueue.Queue[func(at time.Duration)]
}

func (q *events) put(at time.Duration, do func(at time.Duration)) { q.Add(at, do) }

func (q *events) next() time.Duration {
	if at, ok := q.NextDeadline(); ok {
		return at
	}
	return math.MaxInt64
}

// happen lets the next event happen.
func (q *events) happen() {
	at := q.next()
	q.Pop()(at)
}

// A post is one director and what it hears; nobody but itself touches it within a window.
type post struct {
	w      *world
	number int
	name   string
	boot   int
	up     bool
	began  time.Duration
	loop   *director.Loop
	in     events
	stale  bool   // its next time has to be worked out again
	out    []sent // what it has sent within the window, in order
	chance *rand.Rand
	lasts  map[uint64]time.Duration // by link or connection: messages of one do not overtake each other
	heard  map[uint64]time.Duration // by link
	nodes  map[uint64]int           // by link: the machine it leads to
	end    bool                     // it has ended in order
}

// sent is something that leaves a director.
type sent struct {
	at time.Duration
	do func(at time.Duration)
}

// next is when a director has something to do.
func (p *post) next() time.Duration {
	if !p.up {
		return math.MaxInt64
	}
	next := p.in.next()
	if at := p.loop.Next(); at < math.MaxInt64-p.began {
		next = min(next, p.began+at)
	}
	return next
}

// put puts something where the director finds it.
func (p *post) put(at time.Duration, do func(at time.Duration)) {
	p.stale = true
	p.in.put(at, do)
}

// run lets a director work until the window ends.
func (p *post) run(stop time.Duration) {
	p.stale = true
	for at := p.next(); at < stop; at = p.next() {
		if p.in.next() <= at { // what happened comes before what is due
			p.in.happen()
		} else {
			p.step(at, director.Tick{})
		}
	}
}

func (p *post) step(at time.Duration, in director.Input) {
	p.carryOut(at, p.loop.Step(at-p.began, in))
}

// hear puts an input where the director finds it; what was meant for an earlier run of it is lost.
func (p *post) hear(at time.Duration, in director.Input) {
	boot := p.boot
	p.put(at, func(at time.Duration) {
		if p.boot == boot && p.up {
			p.step(at, in)
		}
	})
}

// send lets something leave for the world.
func (p *post) send(at time.Duration, way uint64, do func(at time.Duration)) {
	at = max(at+p.w.delay(p.chance), p.lasts[way])
	p.lasts[way] = at
	p.out = append(p.out, sent{at, do})
}

// player ways are odd and links are even, so that both share one table.
func playerWay(conn uint64) uint64 { return conn<<1 | 1 }
func linkWay(link uint64) uint64   { return link << 1 }

// listWay is the way to the list.
const listWay = 1 << 63

func (p *post) carryOut(at time.Duration, outs []director.Output) {
	w, boot := p.w, p.boot
	for _, o := range outs {
		switch o := o.(type) {
		case director.SendClient:
			raw := wire.Encode(o.Message)
			p.send(at, playerWay(o.Conn), func(at time.Duration) { w.playerHears(at, o.Conn, raw) })
		case director.AcceptClient:
			p.hear(at, director.ClientAccepted(o))
			p.send(at, playerWay(o.Conn), func(at time.Duration) { w.welcome(at, o.Conn) })
		case director.RejectClient:
			p.send(at, playerWay(o.Conn), func(at time.Duration) { w.playerClosed(at, o.Conn, "turned away", rulecheck.ClosedByPeer) })
		case director.CloseClient:
			p.hear(at, director.ClientLost{Conn: o.Conn})
			why := fmt.Sprintf("closed by peer: %d %s", o.Code, o.Reason)
			p.send(at, playerWay(o.Conn), func(at time.Duration) { w.playerClosed(at, o.Conn, why, rulecheck.ClosedByPeer) })
			delete(p.lasts, playerWay(o.Conn))
		case director.ProbeClient:
			p.hear(at, director.ClientAlive{Conn: o.Conn})
		case director.Connect:
			m := w.machine[o.Node]
			p.nodes[o.Link] = m
			dialled := at
			p.send(at, linkWay(o.Link), func(at time.Duration) { w.dial(at, p, boot, m, o.Link, dialled+o.Timeout) })
		case director.SendNode:
			raw := wire.Encode(o.Message)
			p.send(at, linkWay(o.Link), func(at time.Duration) { w.nodeHears(at, wayTo{p.number, boot, o.Link}, raw) })
		case director.ProbeLink:
			quiet := time.Duration(0)
			if since := w.deaf[p.nodes[o.Link]]; since >= 0 { // as it was when the window began
				quiet = at - max(since, p.heard[o.Link])
			}
			p.hear(at, director.LinkAlive{Link: o.Link, IdleFor: quiet})
		case director.CloseLink:
			p.send(at, linkWay(o.Link), func(at time.Duration) { w.hungUp(at, wayTo{p.number, boot, o.Link}) })
			p.forget(o.Link)
		case director.SendDiscovery:
			raw := wire.Encode(o.Message)
			p.send(at, listWay, func(at time.Duration) { w.list.hears(at, p, boot, raw) })
		case director.Withdraw: // what was sent has left: the kernel has it
		case director.Log:
			if w.opt.Log != nil {
				line := o.Text
				// Whether anybody listens must change nothing: no chance is drawn for it.
				p.out = append(p.out, sent{at + w.opt.Latency.Min, func(at time.Duration) { w.say(at, "%s: %s", p.name, line) }})
			}
		case director.ShutdownComplete:
			p.up, p.end = false, true
		}
	}
}

func (p *post) forget(link uint64) {
	delete(p.lasts, linkWay(link))
	delete(p.heard, link)
	delete(p.nodes, link)
}

// start begins a run of a director.
func (p *post) start(at time.Duration) error {
	house, _, err := p.w.layout.DirectorConfig(p.number, "127.0.0.1:1")
	if err != nil {
		return err
	}
	p.boot++
	seed := p.w.layout.Seed*1000 + uint64(p.number)<<20 + uint64(p.boot)
	var module director.Decider
	if p.w.opt.NewDecider != nil {
		module = p.w.opt.NewDecider(house, seed)
	} else {
		module = house.NewDecider(seed)
	}
	p.loop = house.NewLoop(fmt.Sprint(p.boot), seed, module)
	p.began, p.up, p.stale = at, true, true
	p.in = events{}
	p.lasts, p.heard, p.nodes = map[uint64]time.Duration{}, map[uint64]time.Duration{}, map[uint64]int{}
	p.hear(at+p.w.delay(p.chance), director.DiscoveryConnected{})
	return nil
}

// Run plays a day.
func Run(s *day.Script, seed uint64, opt Options) (*Result, error) {
	if opt.Latency.Max == 0 {
		opt.Latency = LatencyRange{500 * time.Microsecond, 2 * time.Millisecond}
	}
	w, err := newWorld(s, seed, opt)
	if err != nil {
		return nil, err
	}
	if err := w.play(); err != nil {
		return nil, err
	}
	return w.result(), nil
}

// play goes from window to window until all viewers have gone home, or time is up.
func (w *world) play() error {
	crew := newCrew(max(1, w.opt.Workers))
	defer crew.end()
	end := settle + w.script.Length + 30*time.Second
	if w.opt.Until > 0 {
		end = min(end, w.opt.Until)
	}
	nexts := make([]time.Duration, len(w.posts))
	var some []*post
	for w.err == nil && !w.over {
		t := w.events.next()
		if at, ok := w.farm.NextDeadline(); ok {
			t = min(t, at)
		}
		for i, p := range w.posts {
			if p.stale {
				nexts[i], p.stale = p.next(), false
			}
			t = min(t, nexts[i])
		}
		if t >= end {
			break
		}
		stop := t + w.opt.Latency.Min
		some = some[:0]
		for i, p := range w.posts {
			if nexts[i] < stop {
				some = append(some, p)
			}
		}
		crew.run(some, stop)
		for _, p := range some {
			for _, x := range p.out {
				w.events.put(x.at, x.do)
			}
			clear(p.out)
			p.out = p.out[:0]
			if p.end {
				p.end = false
				w.ended(stop, p)
			}
		}
		w.run(stop)
	}
	return w.err
}

// run lets the world work until the window ends.
func (w *world) run(stop time.Duration) {
	for {
		at := w.events.next()
		if due, ok := w.farm.NextDeadline(); ok && due < at {
			if due >= stop {
				return
			}
			w.nodesDo(due, w.farm.Step(due))
			continue
		}
		if at >= stop {
			return
		}
		w.events.happen()
	}
}

// A crew runs directors side by side.
type crew struct {
	wait  sync.WaitGroup
	work  chan func()
	size  int
	taken atomic.Int64
}

func newCrew(size int) *crew {
	c := &crew{work: make(chan func()), size: size}
	for range size - 1 {
		go func() {
			for f := range c.work {
				f()
				c.wait.Done()
			}
		}()
	}
	return c
}

func (c *crew) end() { close(c.work) }

func (c *crew) run(posts []*post, stop time.Duration) {
	if len(posts) < 4 || c.size == 1 {
		for _, p := range posts {
			p.run(stop)
		}
		return
	}
	c.taken.Store(0)
	some := func() {
		for {
			i := int(c.taken.Add(1)) - 1
			if i >= len(posts) {
				return
			}
			posts[i].run(stop)
		}
	}
	helpers := min(c.size, len(posts)/2) - 1
	c.wait.Add(helpers)
	for range helpers {
		c.work <- some
	}
	some()
	c.wait.Wait()
}

// addressOf gives each viewer's connection an address.
func addressOf(conn uint64) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(conn >> 16), byte(conn >> 8), byte(conn)})
}
