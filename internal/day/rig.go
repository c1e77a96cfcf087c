package day

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"text/template"
	"time"

	"github.com/rs/zerolog"

	"fordusher/internal/conf"
	"fordusher/internal/daemon"
	"fordusher/internal/director"
	"fordusher/internal/standin/list"
	"fordusher/internal/standin/node"
	"fordusher/internal/standin/player"
	"fordusher/internal/wire"
	"fordusher/internal/witness"
)

//go:embed house.jsonc
var houseText string

var houseTemplate = template.Must(template.New("house").Parse(houseText))

// Options are how a day is run.
type Options struct {
	Seed     uint64
	Log      zerolog.Logger
	Progress func(line string)                                 // a line now and then; may be nil
	Module   func(h *conf.House, seed uint64) director.Decider // nil: the module
	Wrap     func(d director.Decider) director.Decider         // for tests that break it; may be nil
	Launch   Launcher                                          // nil: everything in this process
	Slack    time.Duration                                     // of the witness; 0: 100 ms
	House    *conf.House                                       // a director's file with nodes and titles to play instead of the script's own; may be nil
	Plan     []Told                                            // what the list says in the course of the day
}

// Told is a line of the list at a time of the day.
type Told struct {
	At    time.Duration
	Entry wire.Entry
}

// A Director that runs somewhere.
type Director interface {
	Address() string
	Kill()
	Stop()
	Done() <-chan struct{}
}

// Fleet is the stand-in nodes, wherever they run.
type Fleet interface {
	Address(node string) string
	Start(node string) (start uint64, age time.Duration)
	Do(x node.Fault)
	// Records are what the nodes saw, where that is not in the day's own record.
	Records() ([]witness.Record, error)
	Close()
}

// A Launcher starts the parts of a day in processes of their own.
type Launcher interface {
	Fleet(seed uint64, site node.Site, machines []node.Machine, record *witness.Recorder, fell func(string)) (Fleet, error)
	Director(house []byte, name, boot string, seed uint64) (Director, error)
}

// What a second earns at each rung, and loses where its rate is short; the directors' file has the first too.
var worth = []float64{0.23, 0.52, 0.76, 1}

const stallCost = 7

// houseFacts fill in the directors' file.
type houseFacts struct {
	Name          string
	Me, Directors int
	List          string
	Cells, Racks  int
	Link, Uplink  float64
	Places, Seats int
}

// rig is a day under way.
type rig struct {
	script   *Script
	opt      Options
	record   *witness.Recorder
	fleet    Fleet
	list     *list.Source
	crowd    *player.Crowd
	machines []node.Machine
	entries  []wire.Entry // of the machines, where they come from a director's file
	titles   []wire.Title
	worth    []float64
	racks    int
	facts    houseFacts
	first    *conf.House

	mu        sync.Mutex
	chance    *rand.Rand
	directors []*post
	busy      map[string]bool // nodes that some trouble has hold of
	rate      float64         // of arrivals, times the usual
	hot       float64         // share of arrivals that want one of a few titles
	boots     int
	began     time.Time
	waiting   sync.WaitGroup
}

// A post is one director's place: who stands there now, and where viewers believe it to be.
type post struct {
	name    string
	now     Director // nil while it is down
	address string
}

// Run runs a day and returns how it went.
func Run(ctx context.Context, s *Script, opt Options) (*Result, error) {
	g := &rig{
		script: s, opt: opt, record: &witness.Recorder{}, chance: rand.New(rand.NewPCG(opt.Seed, 2)),
		busy: map[string]bool{}, rate: 1, worth: worth,
	}
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
func (g *rig) build() error {
	var site node.Site
	var err error
	if g.opt.House == nil {
		site = g.draw()
	} else if site, err = g.imported(); err != nil {
		return err
	}
	g.racks = len(site.Uplinks)
	fell := func(name string) { g.say("%s was pushed over and stays down", name) }
	if g.opt.Launch != nil {
		g.fleet, err = g.opt.Launch.Fleet(g.opt.Seed, site, g.machines, g.record, fell)
	} else {
		g.fleet, err = node.Open(node.NewFarm(g.opt.Seed, site, g.machines), g.record, fell)
	}
	if err != nil {
		return err
	}
	var entries []wire.Entry
	for i, m := range g.machines {
		switch {
		case g.entries == nil:
			entries = append(entries, g.entry(i, m, wire.Up))
		case g.entries[i].State == wire.Removed: // the plan adds it
			g.fleet.Do(node.Fault{Node: m.Name, Die: true})
		default:
			entries = append(entries, g.entry(i, m, g.entries[i].State))
		}
	}
	if g.list, err = list.Open(g.record, entries, g.titles); err != nil {
		return err
	}
	for i := range g.script.Directors {
		p := &post{name: "director-" + strconv.Itoa(i)}
		g.directors = append(g.directors, p)
		if err := g.start(i); err != nil {
			return err
		}
	}
	g.crowd = &player.Crowd{Habit: g.script.Habit, Record: g.record, Pick: g.pick}
	return nil
}

// imported lays out the site that a director's file describes: its nodes behind stand-ins, its titles.
func (g *rig) imported() (node.Site, error) {
	h := g.opt.House
	if len(h.Nodes) == 0 || len(h.Titles) == 0 {
		return node.Site{}, fmt.Errorf("the director's file has %d nodes and %d titles: a day needs some of both", len(h.Nodes), len(h.Titles))
	}
	g.titles = h.Titles
	all := slices.Clone(h.Nodes)
	known := map[string]bool{}
	for _, e := range all {
		known[e.Node] = true
		g.busy[e.Node] = e.State != wire.Up // troubles bring nodes back up, and these are not to be
	}
	for _, t := range g.opt.Plan {
		if !known[t.Entry.Node] {
			known[t.Entry.Node] = true
			e := t.Entry
			e.State = wire.Removed
			all = append(all, e)
		}
		g.busy[t.Entry.Node] = true
	}
	for _, e := range all {
		kind := slices.Index(h.Machines, e.Kind)
		if kind < 0 {
			return node.Site{}, fmt.Errorf("node %s is of kind %q, which fleet.machines does not have", e.Node, e.Kind)
		}
		g.machines = append(g.machines, node.Machine{Name: e.Node, Kind: e.Kind, Rack: e.Cell % h.Fleet.Racks, Places: int(h.Ramp.Places[kind]),
			Link: h.Fleet.LinkUnit * e.Weight * (0.85 + 0.3*g.chance.Float64()), Cores: 2, Work: 3 * time.Millisecond})
	}
	g.entries = all
	site := node.Site{Warmup: h.Ramp.Warmup, ColdFrom: h.Ramp.ColdFrom, Multiple: h.Ramp.Multiple, TipAfter: h.Ramp.TipAfter,
		Late: h.Tidings.Late, Every: h.Tidings.Every, Refresh: 300 * time.Millisecond, Worth: g.worth, StallCost: stallCost}
	if len(h.Ladder.Worth) > 0 {
		g.worth, site.Worth = h.Ladder.Worth, h.Ladder.Worth
	} else {
		g.worth = make([]float64, len(h.Ladder.Rates))
		for i, r := range h.Ladder.Rates {
			g.worth[i] = r / h.Ladder.Rates[len(h.Ladder.Rates)-1]
		}
		site.Worth = g.worth
	}
	for range h.Fleet.Racks {
		site.Uplinks = append(site.Uplinks, h.Fleet.Uplink*(0.85+0.3*g.chance.Float64()))
	}
	return site, nil
}

// tell lets the list say what the plan has for the day, machines that are added starting cold.
func (g *rig) tell(ctx context.Context) {
	at := map[string]int{}
	for i, m := range g.machines {
		at[m.Name] = i
	}
	down := map[string]bool{}
	for i, e := range g.entries {
		down[g.machines[i].Name] = e.State == wire.Removed
	}
	for _, t := range g.opt.Plan {
		if !sleep(ctx, t.At-time.Since(g.began)) {
			return
		}
		i := at[t.Entry.Node]
		m := g.machines[i]
		born := time.Duration(0)
		if down[m.Name] && t.Entry.State != wire.Removed {
			g.fleet.Do(node.Fault{Node: m.Name, Start: true})
			born = witness.Clock()
			down[m.Name] = false
		}
		g.mu.Lock()
		g.entries[i] = t.Entry
		g.mu.Unlock()
		g.say("the list: %s %s", t.Entry.Node, t.Entry.State)
		g.list.Set(g.entry(i, m, t.Entry.State), born, 0)
		if t.Entry.State == wire.Removed {
			g.fleet.Do(node.Fault{Node: m.Name, Die: true})
			down[m.Name] = true
		}
	}
}

// draw lays out a site of the script's own.
func (g *rig) draw() node.Site {
	s := g.script
	const middle = 703.0
	concurrent := float64(s.Requests) / s.Length.Seconds() * s.Mean.Seconds()
	link := max(3*middle, concurrent*middle/s.Load/float64(s.Nodes))
	perRack := (s.Nodes + s.Racks - 1) / s.Racks
	g.facts = houseFacts{
		Directors: s.Directors, Cells: s.Nodes, Racks: s.Racks, Link: link,
		Uplink: link * float64(perRack) * 0.95, Places: int(math.Ceil(link / middle * 2.5)),
	}
	g.facts.Seats = max(2, int(concurrent/float64(s.Directors)/8))
	var uplinks []float64
	for range s.Racks {
		uplinks = append(uplinks, g.facts.Uplink*(0.85+0.3*g.chance.Float64()))
	}
	for i := range s.Nodes {
		g.machines = append(g.machines, node.Machine{
			Name: "node-" + strconv.Itoa(i), Kind: "box", Rack: i % s.Racks, Places: g.facts.Places,
			Link: link * (0.85 + 0.3*g.chance.Float64()), Cores: 2, Work: 3 * time.Millisecond,
		})
	}
	site := node.Site{
		Uplinks: uplinks, Warmup: 5 * time.Second, ColdFrom: 0.4, Multiple: 4, TipAfter: time.Second,
		Late: 600 * time.Millisecond, Every: 2 * time.Second, Refresh: 300 * time.Millisecond,
		Worth: worth, StallCost: stallCost,
	}
	copies := max(min(3, s.Nodes), s.Nodes/5)
	for i := range s.Titles {
		g.titles = append(g.titles, wire.Title{Title: "title-" + strconv.Itoa(i), Base: g.chance.IntN(s.Nodes), Copies: copies})
	}
	return site
}

func (g *rig) entry(cell int, m node.Machine, state string) wire.Entry {
	start, _ := g.fleet.Start(m.Name)
	if g.entries != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		e := g.entries[cell]
		e.Address, e.State, e.Start = g.fleet.Address(m.Name), state, start
		return e
	}
	return wire.Entry{Node: m.Name, Address: g.fleet.Address(m.Name), State: state, Kind: m.Kind, Zone: "hall",
		Start: start, Weight: 1, Cell: cell}
}

// start puts a director at its post.
func (g *rig) start(i int) error {
	p := g.directors[i]
	if g.opt.House != nil {
		h := *g.opt.House
		h.Name, h.Peers.Me, h.Peers.Directors, h.Listen, h.List, h.Metrics = p.name, i, g.script.Directors, "127.0.0.1:0", g.list.Address(), ""
		h.Nodes, h.Titles = nil, nil // the list has them
		return g.post(p, &h, nil)
	}
	facts := g.facts
	facts.Name, facts.Me, facts.List = p.name, i, g.list.Address()
	var text bytes.Buffer
	if err := houseTemplate.Execute(&text, facts); err != nil {
		return err
	}
	house, err := conf.Read(p.name+".jsonc", text.Bytes())
	if err != nil {
		return err
	}
	return g.post(p, house, text.Bytes())
}

// post starts a director of a house; its text is for one in a process of its own.
func (g *rig) post(p *post, house *conf.House, text []byte) (err error) {
	g.mu.Lock()
	g.boots++
	boot, seed := strconv.Itoa(g.boots), g.opt.Seed*1000+uint64(g.boots)
	if g.first == nil {
		g.first = house
	}
	g.mu.Unlock()
	var d Director
	if g.opt.Launch != nil {
		d, err = g.opt.Launch.Director(text, p.name, boot, seed)
	} else {
		var module director.Decider = house.Module(seed)
		if g.opt.Module != nil {
			module = g.opt.Module(house, seed)
		}
		if g.opt.Wrap != nil {
			module = g.opt.Wrap(module)
		}
		d, err = daemon.Start(house, boot, seed, module, g.opt.Log.With().Str("director", p.name).Logger())
	}
	if err != nil {
		return err
	}
	g.record.Add(witness.Record{What: witness.Returned, Director: p.name})
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
	end := g.began.Add(g.script.Length)
	g.crowd.Ends = end.Add(2 * time.Second)
	day, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var troubles sync.WaitGroup
	for _, t := range g.script.Troubles {
		troubles.Go(func() { g.trouble(day, t) })
	}
	troubles.Go(func() { g.tell(day) })
	rest, stop := context.WithDeadline(ctx, end.Add(30*time.Second))
	defer stop()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	per := float64(g.script.Requests) / g.extent()
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
			v, r := g.viewer(came, hot)
			came++
			g.waiting.Go(func() { g.crowd.Watch(rest, v, r) })
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

// extent is the day's length in seconds, with bursts counted as often as they multiply.
func (g *rig) extent() float64 {
	seconds := g.script.Length.Seconds()
	for _, t := range g.script.Troubles {
		if t.Kind == "burst" {
			seconds += min(t.For, g.script.Length-t.At).Seconds() * (t.Size - 1)
		}
	}
	return seconds
}

func (g *rig) viewer(number int, hot float64) (player.Viewer, *rand.Rand) {
	r := rand.New(rand.NewPCG(g.opt.Seed, uint64(number)+1000))
	v := player.Viewer{Number: number + 1, Key: strconv.FormatUint(r.Uint64(), 36)}
	i := 0
	if x := r.Float64(); x < 0.3 {
		i = 1
	} else if x < 0.5 {
		i = 2
	}
	t := g.first.Tariffs[i%len(g.first.Tariffs)]
	v.Tariff, v.Paid, v.Wait, v.Goal = t.Name, t.Paid, t.HardStop, t.GoalTime
	// Some titles are wanted far more than others.
	x := r.Float64()
	title := int(x * x * float64(len(g.titles)))
	if r.Float64() < hot {
		title = r.IntN(min(2, len(g.titles)))
	}
	v.Title = g.titles[title].Title
	v.Length = time.Duration(float64(g.script.Mean) * (0.4 + 1.2*r.Float64()))
	best := min(t.Top, len(g.worth)-1)
	if r.Float64() < 0.2 {
		v.Top = new(min(best, r.IntN(2)+1))
		best = min(best, *v.Top)
	}
	v.Best = g.worth[best]
	return v, r
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

// terms are the figures of the rules, as the directors were told them.
func (g *rig) terms() witness.Terms {
	h := g.first
	t := witness.Terms{
		Tariffs: map[string]witness.Tariff{}, Grace: h.Grace, Warmup: h.Ramp.Warmup, ColdFrom: h.Ramp.ColdFrom,
		Multiple: h.Ramp.Multiple, TipAfter: h.Ramp.TipAfter, Most: h.Legs.Most, Spare: h.Legs.Spare, Share: h.Legs.Share,
		Span: h.Legs.Span, Slack: g.opt.Slack,
	}
	if t.Slack == 0 {
		t.Slack = 100 * time.Millisecond
	}
	for _, x := range h.Tariffs {
		t.Tariffs[x.Name] = witness.Tariff{Paid: x.Paid, Floor: x.Floor, Seats: x.Seats, Credit: x.Credit, Goal: x.GoalTime}
	}
	return t
}
