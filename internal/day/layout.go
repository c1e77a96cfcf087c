package day

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"text/template"
	"time"

	_ "embed"

	"fordusher/internal/conf"
	"fordusher/internal/emulated/client"
	"fordusher/internal/emulated/node"
	"fordusher/internal/rulecheck"
	"fordusher/internal/wire"
)

//go:embed house.jsonc
var houseText string

var houseTemplate = template.Must(template.New("house").Parse(houseText))

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

// A Layout is the place that a day is played in: nodes, racks, titles, and what directors are told of them.
// The same script and seed always give the same one.
type Layout struct {
	Script      *Script
	Seed        uint64
	Site        node.Environment
	Nodes       []node.Spec
	Entries     []wire.NodeEntry // of the machines, addresses and starts left out; Removed: not there at first
	Titles      []wire.TitlePlacement
	Worth       []float64
	ListUpdates []ListUpdate

	house  *conf.Config // of an imported fleet; nil: the script's own
	facts  houseFacts
	chance *rand.Rand
}

// NewLayout lays out the place that a script describes.
func NewLayout(s *Script, seed uint64) *Layout {
	y := &Layout{Script: s, Seed: seed, Worth: worth, chance: rand.New(rand.NewPCG(seed, 2))}
	const middle = 703.0
	concurrent := float64(s.Requests) / s.Length.Seconds() * s.MeanLength.Seconds()
	link := max(3*middle, concurrent*middle/s.Load/float64(s.Nodes))
	perRack := (s.Nodes + s.Racks - 1) / s.Racks
	y.facts = houseFacts{
		Directors: s.Directors, Cells: s.Nodes, Racks: s.Racks, Link: link,
		Uplink: link * float64(perRack) * 0.95, Places: int(math.Ceil(link / middle * 2.5)),
	}
	y.facts.Seats = max(2, int(concurrent/float64(s.Directors)/8))
	var uplinks []float64
	for range s.Racks {
		uplinks = append(uplinks, y.facts.Uplink*(0.85+0.3*y.chance.Float64()))
	}
	for i := range s.Nodes {
		y.machine(wire.NodeEntry{Node: "node-" + strconv.Itoa(i), State: wire.Up, MachineKind: "box", Zone: "hall", Weight: 1, Cell: i}, s.Racks, y.facts.Places, link)
	}
	y.Site = node.Environment{
		Uplinks: uplinks, Warmup: 5 * time.Second, InitialShare: 0.4, OverloadMultiple: 4, OverloadWindow: time.Second,
		ReportDelay: 600 * time.Millisecond, ReportInterval: 2 * time.Second, LoadRefresh: 300 * time.Millisecond,
		RungValues: worth, StallCost: stallCost,
	}
	copies := max(min(3, s.Nodes), s.Nodes/5)
	for i := range s.Titles {
		y.Titles = append(y.Titles, wire.TitlePlacement{Title: "title-" + strconv.Itoa(i), FirstCell: y.chance.IntN(s.Nodes), Copies: copies})
	}
	return y
}

func (y *Layout) machine(e wire.NodeEntry, racks, places int, link float64) {
	y.Entries = append(y.Entries, e)
	y.Nodes = append(y.Nodes, node.Spec{Name: e.Node, Kind: e.MachineKind, Rack: e.Cell % racks, MaxStreams: places,
		LinkRate: link * (0.85 + 0.3*y.chance.Float64()), Cores: 2, SetupTime: 3 * time.Millisecond})
}

// NewLayoutFromConfig lays out the place that a director's file describes: its nodes behind stand-ins, its titles.
func NewLayoutFromConfig(s *Script, seed uint64, h *conf.Config, plan []ListUpdate) (*Layout, error) {
	if len(h.Nodes) == 0 || len(h.Titles) == 0 {
		return nil, fmt.Errorf("the director's file has %d nodes and %d titles: a day needs some of both", len(h.Nodes), len(h.Titles))
	}
	y := &Layout{Script: s, Seed: seed, Titles: h.Titles, Worth: h.Ladder.Worth, ListUpdates: plan, house: h, chance: rand.New(rand.NewPCG(seed, 2))}
	if len(y.Worth) == 0 {
		for _, r := range h.Ladder.Rates {
			y.Worth = append(y.Worth, r/h.Ladder.Rates[len(h.Ladder.Rates)-1])
		}
	}
	all := slices.Clone(h.Nodes)
	known := map[string]bool{}
	for _, e := range all {
		known[e.Node] = true
	}
	for _, t := range plan {
		if !known[t.Entry.Node] {
			known[t.Entry.Node] = true
			e := t.Entry
			e.State = wire.Removed
			all = append(all, e)
		}
	}
	for _, e := range all {
		kind := slices.Index(h.MachineKinds, e.MachineKind)
		if kind < 0 {
			return nil, fmt.Errorf("node %s is of kind %q, which fleet.machines does not have", e.Node, e.MachineKind)
		}
		y.machine(e, h.Fleet.Racks, int(h.Ramp.MaxStreams[kind]), h.Fleet.LinkUnit*e.Weight)
	}
	y.Site = node.Environment{Warmup: h.Ramp.Warmup, InitialShare: h.Ramp.InitialShare, OverloadMultiple: h.Ramp.OverloadMultiple, OverloadWindow: h.Ramp.OverloadWindow,
		ReportDelay: h.ReportTiming.Delay, ReportInterval: h.ReportTiming.Interval, LoadRefresh: 300 * time.Millisecond, RungValues: y.Worth, StallCost: stallCost}
	for range h.Fleet.Racks {
		y.Site.Uplinks = append(y.Site.Uplinks, h.Fleet.Uplink*(0.85+0.3*y.chance.Float64()))
	}
	return y, nil
}

// DirectorName is the name of a director by its number.
func DirectorName(i int) string { return "director-" + strconv.Itoa(i) }

// DirectorConfig is what a director is told at its start, and, of the script's own place, the text that says so.
func (y *Layout) DirectorConfig(i int, list string) (*conf.Config, []byte, error) {
	name := DirectorName(i)
	if y.house != nil {
		h := *y.house
		h.Name, h.Peers.Index, h.Peers.Directors, h.ListenAddress, h.DiscoveryAddress, h.MetricsAddress = name, i, y.Script.Directors, "127.0.0.1:0", list, ""
		h.Nodes, h.Titles = nil, nil // the list has them
		return &h, nil, nil
	}
	facts := y.facts
	facts.Name, facts.Me, facts.List = name, i, list
	var text bytes.Buffer
	if err := houseTemplate.Execute(&text, facts); err != nil {
		return nil, nil, err
	}
	house, err := conf.Decode(name+".jsonc", text.Bytes())
	return house, text.Bytes(), err
}

// Client is the viewer of a number; hot is the share of them that want one of two titles.
func (y *Layout) Client(h *conf.Config, number int, hot float64) (client.Request, *rand.Rand) {
	r := rand.New(rand.NewPCG(y.Seed, uint64(number)+1000))
	v := client.Request{ClientNumber: number + 1, Key: strconv.FormatUint(r.Uint64(), 36)}
	i := 0
	if x := r.Float64(); x < 0.3 {
		i = 1
	} else if x < 0.5 {
		i = 2
	}
	t := h.Tariffs[i%len(h.Tariffs)]
	v.Tariff, v.Paid, v.Wait, v.StartGoal = t.Name, t.AtMostOnce, t.HardStop, t.GoalTime
	// Some titles are wanted far more than others.
	x := r.Float64()
	title := int(x * x * float64(len(y.Titles)))
	if r.Float64() < hot {
		title = r.IntN(min(2, len(y.Titles)))
	}
	v.Title = y.Titles[title].Title
	v.Length = time.Duration(float64(y.Script.MeanLength) * (0.4 + 1.2*r.Float64()))
	best := min(t.Top, len(y.Worth)-1)
	if r.Float64() < 0.2 {
		v.MaxRung = new(min(best, r.IntN(2)+1))
		best = min(best, *v.MaxRung)
	}
	v.BestRungValue = y.Worth[best]
	return v, r
}

// WeightedSeconds is the day's length in seconds, with bursts counted as often as they multiply.
func (y *Layout) WeightedSeconds() float64 {
	seconds := y.Script.Length.Seconds()
	for _, t := range y.Script.Incidents {
		if t.Kind == "burst" {
			seconds += min(t.Duration, y.Script.Length-t.At).Seconds() * (t.Size - 1)
		}
	}
	return seconds
}

// RuleLimits are the figures of the rules, as directors of a house were told them.
func RuleLimits(h *conf.Config, slack time.Duration) rulecheck.Limits {
	t := rulecheck.Limits{
		Tariffs: map[string]rulecheck.TariffLimits{}, DrainGrace: h.DrainGrace, Warmup: h.Ramp.Warmup, InitialShare: h.Ramp.InitialShare,
		OverloadMultiple: h.Ramp.OverloadMultiple, OverloadWindow: h.Ramp.OverloadWindow, MaxLegs: h.Legs.MaxLegs, MinRetries: h.Legs.MinRetries, RetryRatio: h.Legs.RetryRatio,
		RetryWindow: h.Legs.Window, Tolerance: slack,
	}
	for _, x := range h.Tariffs {
		t.Tariffs[x.Name] = rulecheck.TariffLimits{Paid: x.AtMostOnce, MinRung: x.Floor, Seats: x.Seats, Credit: x.Credit, StartGoal: x.GoalTime}
	}
	return t
}
