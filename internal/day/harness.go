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

// Options configure a run of a day on loopback sockets.
type Options struct {
	Seed       uint64
	Log        zerolog.Logger
	Progress   func(line string)                                       // receives progress lines; may be nil
	NewDecider func(config *conf.Config, seed uint64) director.Decider // nil: the policy module
	// DisableGuard is for tests with a decider that is broken on purpose: the loop sends its actions unchecked.
	DisableGuard bool
	WrapDecider  func(d director.Decider) director.Decider // wraps the decider in tests; may be nil
	Launcher     Launcher                                  // nil: all parts run in this process
	Tolerance    time.Duration                             // of the rule checker; 0: 100 ms
	Config       *conf.Config                              // a director's config whose nodes and titles replace the script's; may be nil
	ListUpdates  []ListUpdate                              // changes of the server list during the day
}

// A ListUpdate is a change of one entry of the server list at a time of the day.
type ListUpdate struct {
	At    time.Duration
	Entry wire.NodeEntry
}

// A DirectorHandle controls a running director, in this process or another one.
type DirectorHandle interface {
	Address() string
	Kill()
	Stop()
	Done() <-chan struct{}
}

// A NodeFleet controls the emulated nodes, in this process or another one.
type NodeFleet interface {
	Address(node string) string
	// Start returns the identity of a node's current start, and the time since then.
	Start(node string) (start uint64, age time.Duration)
	Inject(fault node.Fault)
	// Records returns what the nodes recorded, unless they write to the day's own recorder.
	Records() ([]rulecheck.Record, error)
	Close()
}

// A Launcher starts the parts of a day in separate processes.
type Launcher interface {
	StartNodes(seed uint64, environment node.Environment, nodes []node.Spec, recorder *rulecheck.Recorder,
		onOverload func(string)) (NodeFleet, error)
	StartDirector(config []byte, name, boot string, seed uint64) (DirectorHandle, error)
}

// A harness is a running day.
type harness struct {
	script      *Script
	opt         Options
	layout      *Layout
	recorder    *rulecheck.Recorder
	nodes       NodeFleet
	discovery   *discovery.Source
	clients     *client.Population
	firstConfig *conf.Config

	mu             sync.Mutex
	directors      []*directorSlot
	entries        []wire.NodeEntry // by node: the entry that is listed, or will be after its delay
	arrivalRate    float64          // factor on the normal arrival rate
	hotShare       float64          // share of arriving clients that request one of two titles
	starts         int              // of directors, for distinct boots and seeds
	startedAt      time.Time
	clientsRunning sync.WaitGroup
}

// A directorSlot holds one director of the fleet across its restarts, and the address at which clients connect to it.
type directorSlot struct {
	name    string
	handle  DirectorHandle // nil while the director is down
	address string
}

// Run runs a day and returns its result.
func Run(ctx context.Context, s *Script, opt Options) (*Result, error) {
	h := &harness{script: s, opt: opt, recorder: &rulecheck.Recorder{}, arrivalRate: 1}
	if err := h.build(); err != nil {
		h.close()
		return nil, err
	}
	defer h.close()
	time.Sleep(300 * time.Millisecond) // enough for the directors to connect to all nodes on loopback
	h.run(ctx)
	return h.result()
}

// build creates the layout and starts the nodes, discovery and the directors.
func (h *harness) build() (err error) {
	if h.opt.Config == nil {
		h.layout = NewLayout(h.script, h.opt.Seed)
	} else if h.layout, err = NewLayoutFromConfig(h.script, h.opt.Seed, h.opt.Config, h.opt.ListUpdates); err != nil {
		return err
	}
	layout := h.layout
	onOverload := func(name string) { h.progressf("%s failed from overload and stays down", name) }
	if h.opt.Launcher != nil {
		h.nodes, err = h.opt.Launcher.StartNodes(h.opt.Seed, layout.Environment, layout.Nodes, h.recorder, onOverload)
	} else {
		h.nodes, err = node.StartHost(node.NewModel(h.opt.Seed, layout.Environment, layout.Nodes), h.recorder, onOverload)
	}
	if err != nil {
		return err
	}
	h.entries = slices.Clone(layout.Entries)
	var entries []wire.NodeEntry
	for i, e := range layout.Entries {
		if e.State == wire.Removed { // a later list update adds the node
			h.nodes.Inject(node.Fault{Node: e.Node, Crash: true})
		} else {
			entries = append(entries, h.nodeEntry(i, e.State))
		}
	}
	if h.discovery, err = discovery.Start(h.recorder, entries, layout.Titles); err != nil {
		return err
	}
	for i := range h.script.Directors {
		h.directors = append(h.directors, &directorSlot{name: DirectorName(i)})
		if err := h.startDirector(i); err != nil {
			return err
		}
	}
	h.clients = &client.Population{Behavior: h.script.Behavior, Recorder: h.recorder, PickDirector: h.pickDirector}
	return nil
}

// nodeEntry returns the server list's entry for a node in a state, with its current address and start.
func (h *harness) nodeEntry(i int, state string) wire.NodeEntry {
	h.mu.Lock()
	entry := h.entries[i]
	h.mu.Unlock()
	entry.State, entry.Address = state, h.nodes.Address(entry.Node)
	entry.Incarnation, _ = h.nodes.Start(entry.Node)
	return entry
}

// startDirector starts the director of a slot with its own config.
func (h *harness) startDirector(i int) error {
	slot := h.directors[i]
	config, text, err := h.layout.DirectorConfig(i, h.discovery.Address())
	if err != nil {
		return err
	}
	return h.launchDirector(slot, config, text)
}

// launchDirector starts a director with a config. The config's text is used if the director runs in its own process.
func (h *harness) launchDirector(slot *directorSlot, config *conf.Config, text []byte) (err error) {
	h.mu.Lock()
	h.starts++
	boot, seed := strconv.Itoa(h.starts), h.opt.Seed*1000+uint64(h.starts)
	if h.firstConfig == nil {
		h.firstConfig = config
	}
	h.mu.Unlock()
	var handle DirectorHandle
	if h.opt.Launcher != nil {
		handle, err = h.opt.Launcher.StartDirector(text, slot.name, boot, seed)
	} else {
		config.DisableGuard = h.opt.DisableGuard
		var decider director.Decider = config.NewDecider(seed)
		if h.opt.NewDecider != nil {
			decider = h.opt.NewDecider(config, seed)
		}
		if h.opt.WrapDecider != nil {
			decider = h.opt.WrapDecider(decider)
		}
		handle, err = daemon.Start(config, boot, seed, decider, h.opt.Log.With().Str("director", slot.name).Logger())
	}
	if err != nil {
		return err
	}
	h.recorder.Add(rulecheck.Record{Kind: rulecheck.DirectorStarted, Director: slot.name})
	h.mu.Lock()
	slot.handle, slot.address = handle, handle.Address()
	h.mu.Unlock()
	return nil
}

// pickDirector returns a random director for a client to connect to, which may be down at the moment.
func (h *harness) pickDirector(r *rand.Rand) (name, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	slot := h.directors[r.IntN(len(h.directors))]
	return slot.name, slot.address
}

func (h *harness) progressf(format string, args ...any) {
	if h.opt.Progress != nil {
		h.opt.Progress(fmt.Sprintf("%6.1fs  ", time.Since(h.startedAt).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// run starts clients at the day's arrival rate until all of the script's have arrived, and waits for the last of them.
func (h *harness) run(ctx context.Context) {
	h.startedAt = time.Now()
	if h.opt.Config == nil {
		h.recorder.Add(rulecheck.Record{Kind: rulecheck.RunStarted, RequestID: strconv.FormatUint(h.opt.Seed, 10),
			Reason: string(h.script.Format(""))})
	}
	end := h.startedAt.Add(h.script.Length)
	h.clients.Deadline = end.Add(2 * time.Second)
	dayCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var actions sync.WaitGroup
	timeline := h.layout.Timeline()
	actions.Go(func() { h.runTimeline(dayCtx, timeline, false) })
	actions.Go(func() { h.runTimeline(dayCtx, timeline, true) })
	clientCtx, stop := context.WithDeadline(ctx, end.Add(30*time.Second))
	defer stop()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	perSecond := float64(h.script.Requests) / h.layout.WeightedSeconds()
	arrived, due, last, reported := 0, 0.0, h.startedAt, h.startedAt
	for arrived < h.script.Requests && ctx.Err() == nil {
		<-tick.C
		now := time.Now()
		h.mu.Lock()
		due += perSecond * h.arrivalRate * now.Sub(last).Seconds()
		hot := h.hotShare
		h.mu.Unlock()
		last = now
		for ; due >= 1 && arrived < h.script.Requests; due-- {
			request, r := h.layout.Client(h.firstConfig, arrived, hot)
			arrived++
			h.clientsRunning.Go(func() { h.clients.RunClient(clientCtx, request, r) })
		}
		if now.Sub(reported) >= 2*time.Second {
			reported = now
			h.progressf("%d clients have arrived", arrived)
		}
	}
	actions.Wait()
	h.clientsRunning.Wait()
	time.Sleep(50 * time.Millisecond) // lets messages in transit arrive
}

// runTimeline applies the timeline's actions at their times: those on directors, or all others.
func (h *harness) runTimeline(ctx context.Context, timeline []Action, directors bool) {
	for _, a := range timeline {
		if a.Director != directors {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(a.At - time.Since(h.startedAt)):
		}
		if a.Say != "" {
			h.progressf("%s", a.Say)
		}
		h.apply(a)
	}
}

func (h *harness) apply(a Action) {
	if text, err := json.Marshal(a); err == nil {
		h.recorder.Add(rulecheck.Record{Kind: rulecheck.ActionApplied, Reason: string(text)})
	}
	if a.Fault != nil {
		h.nodes.Inject(*a.Fault)
	}
	if change := a.List; change != nil {
		if change.Entry != nil {
			h.mu.Lock()
			h.entries[change.Machine] = *change.Entry
			h.mu.Unlock()
		}
		startedAt := time.Duration(0)
		if change.Born {
			startedAt = rulecheck.MonotonicNow()
		}
		h.discovery.UpdateNode(h.nodeEntry(change.Machine, change.State), startedAt, change.Late)
	}
	if a.Lag != nil {
		h.discovery.SetLag(*a.Lag)
	}
	h.mu.Lock()
	if a.Rate != nil {
		h.arrivalRate = *a.Rate
	}
	if a.Hot != nil {
		h.hotShare = *a.Hot
	}
	h.mu.Unlock()
	for _, i := range a.Kill {
		h.kill(h.directors[i])
	}
	for _, i := range a.Start {
		if err := h.startDirector(i); err != nil {
			h.progressf("%s failed to start: %v", h.directors[i].name, err)
		}
	}
}

// kill ends a director at once. It records the kill before and after it. From the first record on, the rules need no
// answers of the director to its requests; what it still sends before the second record is checked as usual.
func (h *harness) kill(slot *directorSlot) {
	h.recorder.Add(rulecheck.Record{Kind: rulecheck.DirectorKilled, Director: slot.name})
	h.mu.Lock()
	handle := slot.handle
	slot.handle = nil
	h.mu.Unlock()
	if handle != nil {
		handle.Kill()
	}
	h.recorder.Add(rulecheck.Record{Kind: rulecheck.DirectorKilled, Director: slot.name})
}

func (h *harness) close() {
	h.mu.Lock()
	directors := h.directors
	h.mu.Unlock()
	for _, slot := range directors {
		h.mu.Lock()
		handle := slot.handle
		h.mu.Unlock()
		if handle != nil {
			handle.Kill()
		}
	}
	if h.discovery != nil {
		h.discovery.Close()
	}
	if h.nodes != nil {
		h.nodes.Close()
	}
}
