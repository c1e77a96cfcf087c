package day

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fordusher/internal/conf"
	"fordusher/internal/daemon"
	"fordusher/internal/director"
	"fordusher/internal/emulated/client"
	"fordusher/internal/emulated/discovery"
	"fordusher/internal/emulated/node"
	"fordusher/internal/rulecheck"
	"fordusher/internal/wire"
)

// Options are how a day is run.
type Options struct {
	Seed       uint64
	Log        zerolog.Logger
	Progress   func(line string)                                  // a line now and then; may be nil
	NewDecider func(h *conf.Config, seed uint64) director.Decider // nil: the module
	// DisableGuard is for tests: the loop sends what a module that is broken on purpose wants sent.
	DisableGuard bool
	WrapDecider  func(d director.Decider) director.Decider // for tests that break it; may be nil
	Launcher     Launcher                                  // nil: everything in this process
	Tolerance    time.Duration                             // of the witness; 0: 100 ms
	Config       *conf.Config                              // a director's file with nodes and titles to play instead of the script's own; may be nil
	ListUpdates  []ListUpdate                              // what the list says in the course of the day
}

// ListUpdate is a line of the list at a time of the day.
type ListUpdate struct {
	At    time.Duration
	Entry wire.NodeEntry
}

// A DirectorHandle that runs somewhere.
type DirectorHandle interface {
	Address() string
	Kill()
	Stop()
	Done() <-chan struct{}
}

// NodeFleet is the stand-in nodes, wherever they run.
type NodeFleet interface {
	Address(node string) string
	Start(node string) (start uint64, age time.Duration)
	Inject(x node.Fault)
	// Records are what the nodes saw, where that is not in the day's own record.
	Records() ([]rulecheck.Record, error)
	Close()
}

// A Launcher starts the parts of a day in processes of their own.
type Launcher interface {
	StartNodes(seed uint64, site node.Environment, machines []node.Spec, record *rulecheck.Recorder, fell func(string)) (NodeFleet, error)
	StartDirector(house []byte, name, boot string, seed uint64) (DirectorHandle, error)
}

// rig is a day under way.
type rig struct {
	script *Script
	opt    Options
	layout *Layout
	record *rulecheck.Recorder
	fleet  NodeFleet
	list   *discovery.Source
	crowd  *client.Population
	first  *conf.Config

	mu        sync.Mutex
	directors []*post
	entries   []wire.NodeEntry // as the list has the machines, or will
	rate      float64          // of arrivals, times the usual
	hot       float64          // share of arrivals that want one of a few titles
	boots     int
	began     time.Time
	waiting   sync.WaitGroup
}

// A post is one director's place: who stands there now, and where viewers believe it to be.
type post struct {
	name    string
	now     DirectorHandle // nil while it is down
	address string
}

// Run runs a day and returns how it went.
func Run(ctx context.Context, s *Script, opt Options) (*Result, error) {
	g := &rig{script: s, opt: opt, record: &rulecheck.Recorder{}, rate: 1}
	if err := g.build(); err != nil {
		g.close()
		return nil, err
	}
	defer g.close()
	time.Sleep(300 * time.Millisecond) // the directors dial every node at once; loopback needs no more
	g.run(ctx)
	return g.result()
}

// build lays out the site, and starts the nodes, the list and the directors.
func (g *rig) build() (err error) {
	if g.opt.Config == nil {
		g.layout = NewLayout(g.script, g.opt.Seed)
	} else if g.layout, err = NewLayoutFromConfig(g.script, g.opt.Seed, g.opt.Config, g.opt.ListUpdates); err != nil {
		return err
	}
	y := g.layout
	fell := func(name string) { g.say("%s was pushed over and stays down", name) }
	if g.opt.Launcher != nil {
		g.fleet, err = g.opt.Launcher.StartNodes(g.opt.Seed, y.Site, y.Nodes, g.record, fell)
	} else {
		g.fleet, err = node.StartHost(node.NewModel(g.opt.Seed, y.Site, y.Nodes), g.record, fell)
	}
	if err != nil {
		return err
	}
	g.entries = slices.Clone(y.Entries)
	var entries []wire.NodeEntry
	for i, e := range y.Entries {
		if e.State == wire.Removed { // the plan adds it
			g.fleet.Inject(node.Fault{Node: e.Node, Crash: true})
		} else {
			entries = append(entries, g.entry(i, e.State))
		}
	}
	if g.list, err = discovery.Start(g.record, entries, y.Titles); err != nil {
		return err
	}
	for i := range g.script.Directors {
		g.directors = append(g.directors, &post{name: DirectorName(i)})
		if err := g.start(i); err != nil {
			return err
		}
	}
	g.crowd = &client.Population{Behavior: g.script.Behavior, Recorder: g.record, PickDirector: g.pick}
	return nil
}

// entry is the list's line of a machine, in a state, as the machine is now.
func (g *rig) entry(machine int, state string) wire.NodeEntry {
	g.mu.Lock()
	e := g.entries[machine]
	g.mu.Unlock()
	e.State, e.Address = state, g.fleet.Address(e.Node)
	e.Incarnation, _ = g.fleet.Start(e.Node)
	return e
}

// start puts a director at its post.
func (g *rig) start(i int) error {
	p := g.directors[i]
	house, text, err := g.layout.DirectorConfig(i, g.list.Address())
	if err != nil {
		return err
	}
	return g.post(p, house, text)
}

// post starts a director of a house; its text is for one in a process of its own.
func (g *rig) post(p *post, house *conf.Config, text []byte) (err error) {
	g.mu.Lock()
	g.boots++
	boot, seed := strconv.Itoa(g.boots), g.opt.Seed*1000+uint64(g.boots)
	if g.first == nil {
		g.first = house
	}
	g.mu.Unlock()
	var d DirectorHandle
	if g.opt.Launcher != nil {
		d, err = g.opt.Launcher.StartDirector(text, p.name, boot, seed)
	} else {
		house.DisableGuard = g.opt.DisableGuard
		var module director.Decider = house.NewDecider(seed)
		if g.opt.NewDecider != nil {
			module = g.opt.NewDecider(house, seed)
		}
		if g.opt.WrapDecider != nil {
			module = g.opt.WrapDecider(module)
		}
		d, err = daemon.Start(house, boot, seed, module, g.opt.Log.With().Str("director", p.name).Logger())
	}
	if err != nil {
		return err
	}
	g.record.Add(rulecheck.Record{Kind: rulecheck.DirectorStarted, Director: p.name})
	g.mu.Lock()
	p.now, p.address = d, d.Address()
	g.mu.Unlock()
	return nil
}

// pick is the director that a viewer goes to; one that is down is still tried by some.
func (g *rig) pick(r *rand.Rand) (name, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.directors[r.IntN(len(g.directors))]
	return p.name, p.address
}

func (g *rig) say(format string, args ...any) {
	if g.opt.Progress != nil {
		g.opt.Progress(fmt.Sprintf("%6.1fs  ", time.Since(g.began).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// run lets viewers come until the day's length is over, and waits for the last of them.
func (g *rig) run(ctx context.Context) {
	g.began = time.Now()
	if g.opt.Config == nil {
		g.record.Add(rulecheck.Record{Kind: rulecheck.RunStarted, RequestID: strconv.FormatUint(g.opt.Seed, 10), Reason: string(g.script.Format(""))})
	}
	end := g.began.Add(g.script.Length)
	g.crowd.Deadline = end.Add(2 * time.Second)
	day, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var troubles sync.WaitGroup
	timeline := g.layout.Timeline()
	troubles.Go(func() { g.carryOut(day, timeline, false) })
	troubles.Go(func() { g.carryOut(day, timeline, true) })
	rest, stop := context.WithDeadline(ctx, end.Add(30*time.Second))
	defer stop()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	per := float64(g.script.Requests) / g.layout.WeightedSeconds()
	came, due, last, said := 0, 0.0, g.began, g.began
	for came < g.script.Requests && ctx.Err() == nil {
		<-tick.C
		now := time.Now()
		g.mu.Lock()
		due += per * g.rate * now.Sub(last).Seconds()
		hot := g.hot
		g.mu.Unlock()
		last = now
		for ; due >= 1 && came < g.script.Requests; due-- {
			v, r := g.layout.Client(g.first, came, hot)
			came++
			g.waiting.Go(func() { g.crowd.RunClient(rest, v, r) })
		}
		if now.Sub(said) >= 2*time.Second {
			said = now
			g.say("%d viewers have come", came)
		}
	}
	troubles.Wait()
	g.waiting.Wait()
	time.Sleep(50 * time.Millisecond) // what is still on its way
}

// carryOut does what the timeline has, of directors or of all else, each at its time.
func (g *rig) carryOut(ctx context.Context, timeline []Action, directors bool) {
	for _, a := range timeline {
		if a.Director != directors {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(a.At - time.Since(g.began)):
		}
		if a.Say != "" {
			g.say("%s", a.Say)
		}
		g.act(a)
	}
}

func (g *rig) act(a Action) {
	if what, err := json.Marshal(a); err == nil {
		g.record.Add(rulecheck.Record{Kind: rulecheck.ActionApplied, Reason: string(what)})
	}
	if a.Fault != nil {
		g.fleet.Inject(*a.Fault)
	}
	if w := a.List; w != nil {
		if w.Entry != nil {
			g.mu.Lock()
			g.entries[w.Machine] = *w.Entry
			g.mu.Unlock()
		}
		born := time.Duration(0)
		if w.Born {
			born = rulecheck.MonotonicNow()
		}
		g.list.UpdateNode(g.entry(w.Machine, w.State), born, w.Late)
	}
	if a.Lag != nil {
		g.list.SetLag(*a.Lag)
	}
	g.mu.Lock()
	if a.Rate != nil {
		g.rate = *a.Rate
	}
	if a.Hot != nil {
		g.hot = *a.Hot
	}
	g.mu.Unlock()
	for _, i := range a.Kill {
		g.kill(g.directors[i])
	}
	for _, i := range a.Start {
		if err := g.start(i); err != nil {
			g.say("%s does not start: %v", g.directors[i].name, err)
		}
	}
}

// kill ends a director at once. Around the moment, what it still owes is excused from the earlier word, and
// what it still sent is held against it until the later one.
func (g *rig) kill(p *post) {
	g.record.Add(rulecheck.Record{Kind: rulecheck.DirectorKilled, Director: p.name})
	g.mu.Lock()
	d := p.now
	p.now = nil
	g.mu.Unlock()
	if d != nil {
		d.Kill()
	}
	g.record.Add(rulecheck.Record{Kind: rulecheck.DirectorKilled, Director: p.name})
}

func (g *rig) close() {
	g.mu.Lock()
	directors := g.directors
	g.mu.Unlock()
	for _, p := range directors {
		g.mu.Lock()
		d := p.now
		g.mu.Unlock()
		if d != nil {
			d.Kill()
		}
	}
	if g.list != nil {
		g.list.Close()
	}
	if g.fleet != nil {
		g.fleet.Close()
	}
}
