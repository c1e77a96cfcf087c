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

//go:embed director.jsonc
var configText string

var configTemplate = template.Must(template.New("director.jsonc").Parse(configText))

// rungValues is the value of a second of playing at each rung, as a share of its value at the highest rung.
// director.jsonc has the same numbers under "worth".
var rungValues = []float64{0.23, 0.52, 0.76, 1}

// stallCost is the loss of value per share of the rung's rate that a stream lacks; see node.Environment.
const stallCost = 7

// configValues fill in the template of the directors' config, director.jsonc.
type configValues struct {
	Name          string
	Me, Directors int
	List          string
	Cells, Racks  int
	Link, Uplink  float64
	Places, Seats int
}

// A Layout describes the site of a day: nodes, racks, titles, and the directors' config. The same script and seed
// always give the same layout.
type Layout struct {
	Script      *Script
	Seed        uint64
	Environment node.Environment
	Nodes       []node.Spec
	Entries     []wire.NodeEntry // of the nodes, without addresses and starts; Removed: not running at first
	Titles      []wire.TitlePlacement
	RungValues  []float64
	ListUpdates []ListUpdate

	config *conf.Config // of an imported fleet; nil: the script describes the fleet
	values configValues
	random *rand.Rand
}

// NewLayout returns the layout that a script describes.
func NewLayout(s *Script, seed uint64) *Layout {
	layout := &Layout{Script: s, Seed: seed, RungValues: rungValues, random: rand.New(rand.NewPCG(seed, 2))}
	const middleRate = 703.0
	concurrent := float64(s.Requests) / s.Length.Seconds() * s.MeanLength.Seconds()
	link := max(3*middleRate, concurrent*middleRate/s.Load/float64(s.Nodes))
	perRack := (s.Nodes + s.Racks - 1) / s.Racks
	layout.values = configValues{
		Directors: s.Directors, Cells: s.Nodes, Racks: s.Racks, Link: link,
		Uplink: link * float64(perRack) * 0.95, Places: int(math.Ceil(link / middleRate * 2.5)),
	}
	layout.values.Seats = max(2, int(concurrent/float64(s.Directors)/8))
	var uplinks []float64
	for range s.Racks {
		uplinks = append(uplinks, layout.values.Uplink*(0.85+0.3*layout.random.Float64()))
	}
	for i := range s.Nodes {
		layout.addNode(wire.NodeEntry{Node: "node-" + strconv.Itoa(i), State: wire.Up, MachineKind: "box", Zone: "hall", Weight: 1, Cell: i},
			s.Racks, layout.values.Places, link)
	}
	layout.Environment = node.Environment{
		Uplinks: uplinks, Warmup: 5 * time.Second, InitialShare: 0.4, OverloadMultiple: 4, OverloadWindow: time.Second,
		ReportDelay: 600 * time.Millisecond, ReportInterval: 2 * time.Second, LoadRefresh: 300 * time.Millisecond,
		RungValues: rungValues, StallCost: stallCost,
	}
	copies := max(min(3, s.Nodes), s.Nodes/5)
	for i := range s.Titles {
		layout.Titles = append(layout.Titles, wire.TitlePlacement{Title: "title-" + strconv.Itoa(i),
			FirstCell: layout.random.IntN(s.Nodes), Copies: copies})
	}
	return layout
}

func (layout *Layout) addNode(entry wire.NodeEntry, racks, places int, link float64) {
	layout.Entries = append(layout.Entries, entry)
	layout.Nodes = append(layout.Nodes, node.Spec{Name: entry.Node, Kind: entry.MachineKind, Rack: entry.Cell % racks, MaxStreams: places,
		LinkRate: link * (0.85 + 0.3*layout.random.Float64()), Cores: 2, SetupTime: 3 * time.Millisecond})
}

// NewLayoutFromConfig returns the layout that a director's config describes: an emulated node for each of its nodes and
// of those that the updates add, and its titles.
func NewLayoutFromConfig(s *Script, seed uint64, config *conf.Config, updates []ListUpdate) (*Layout, error) {
	if len(config.Nodes) == 0 || len(config.Titles) == 0 {
		return nil, fmt.Errorf("the director's config has %d nodes and %d titles: a day needs at least one of each", len(config.Nodes),
			len(config.Titles))
	}
	layout := &Layout{Script: s, Seed: seed, Titles: config.Titles, RungValues: config.Ladder.Worth, ListUpdates: updates,
		config: config, random: rand.New(rand.NewPCG(seed, 2))}
	if len(layout.RungValues) == 0 {
		for _, r := range config.Ladder.Rates {
			layout.RungValues = append(layout.RungValues, r/config.Ladder.Rates[len(config.Ladder.Rates)-1])
		}
	}
	all := slices.Clone(config.Nodes)
	known := map[string]bool{}
	for _, e := range all {
		known[e.Node] = true
	}
	for _, u := range updates {
		if !known[u.Entry.Node] {
			known[u.Entry.Node] = true
			e := u.Entry
			e.State = wire.Removed
			all = append(all, e)
		}
	}
	for _, e := range all {
		kind := slices.Index(config.MachineKinds, e.MachineKind)
		if kind < 0 {
			return nil, fmt.Errorf("node %s is of kind %q, which is missing from fleet.machines", e.Node, e.MachineKind)
		}
		layout.addNode(e, config.Topology.Racks, int(config.Ramp.MaxStreams[kind]), config.Topology.LinkUnit*e.Weight)
	}
	layout.Environment = node.Environment{Warmup: config.Ramp.Warmup, InitialShare: config.Ramp.InitialShare,
		OverloadMultiple: config.Ramp.OverloadMultiple, OverloadWindow: config.Ramp.OverloadWindow,
		ReportDelay: config.ReportTiming.Delay, ReportInterval: config.ReportTiming.Interval, LoadRefresh: 300 * time.Millisecond,
		RungValues: layout.RungValues, StallCost: stallCost}
	for range config.Topology.Racks {
		layout.Environment.Uplinks = append(layout.Environment.Uplinks, config.Topology.Uplink*(0.85+0.3*layout.random.Float64()))
	}
	return layout, nil
}

// DirectorName returns the name of the director with an index.
func DirectorName(i int) string { return "director-" + strconv.Itoa(i) }

// DirectorConfig returns a director's config and, unless the fleet is imported, its text.
func (layout *Layout) DirectorConfig(i int, discoveryAddress string) (*conf.Config, []byte, error) {
	name := DirectorName(i)
	if layout.config != nil {
		config := *layout.config
		config.Name, config.Peers.Index, config.Peers.Directors, config.ListenAddress, config.DiscoveryAddress, config.MetricsAddress =
			name, i, layout.Script.Directors, "127.0.0.1:0", discoveryAddress, ""
		config.Nodes, config.Titles = nil, nil // discovery provides them
		return &config, nil, nil
	}
	values := layout.values
	values.Name, values.Me, values.List = name, i, discoveryAddress
	var text bytes.Buffer
	if err := configTemplate.Execute(&text, values); err != nil {
		return nil, nil, err
	}
	config, err := conf.Decode(name+".jsonc", text.Bytes())
	return config, text.Bytes(), err
}

// Client returns the request of the client with a number, and the client's random source. Hot is the share of clients
// that request one of two titles.
func (layout *Layout) Client(config *conf.Config, number int, hot float64) (client.ClientRequest, *rand.Rand) {
	random := rand.New(rand.NewPCG(layout.Seed, uint64(number)+1000))
	request := client.ClientRequest{ClientNumber: number + 1, Key: strconv.FormatUint(random.Uint64(), 36)}
	i := 0
	if x := random.Float64(); x < 0.3 {
		i = 1
	} else if x < 0.5 {
		i = 2
	}
	tariff := config.Tariffs[i%len(config.Tariffs)]
	request.Tariff, request.Paid, request.Wait, request.StartGoal = tariff.Name, tariff.AtMostOnce, tariff.HardStop, tariff.GoalTime
	// Titles of low index are requested far more often than others.
	x := random.Float64()
	title := int(x * x * float64(len(layout.Titles)))
	if random.Float64() < hot {
		title = random.IntN(min(2, len(layout.Titles)))
	}
	request.Title = layout.Titles[title].Title
	request.Length = time.Duration(float64(layout.Script.MeanLength) * (0.4 + 1.2*random.Float64()))
	best := min(tariff.Top, len(layout.RungValues)-1)
	if random.Float64() < 0.2 {
		request.MaxRung = new(min(best, random.IntN(2)+1))
		best = min(best, *request.MaxRung)
	}
	request.BestRungValue = layout.RungValues[best]
	return request, random
}

// WeightedSeconds returns the day's length in seconds, with the time of each burst multiplied by its arrival rate.
func (layout *Layout) WeightedSeconds() float64 {
	seconds := layout.Script.Length.Seconds()
	for _, incident := range layout.Script.Incidents {
		if incident.Kind == "burst" {
			seconds += min(incident.Duration, layout.Script.Length-incident.At).Seconds() * (incident.Size - 1)
		}
	}
	return seconds
}

// RuleLimits returns the limits that the rule checker applies, taken from the directors' config.
func RuleLimits(config *conf.Config, tolerance time.Duration) rulecheck.Limits {
	limits := rulecheck.Limits{
		Tariffs: map[string]rulecheck.TariffLimits{}, DrainGrace: config.DrainGrace, Warmup: config.Ramp.Warmup,
		InitialShare: config.Ramp.InitialShare, OverloadMultiple: config.Ramp.OverloadMultiple, OverloadWindow: config.Ramp.OverloadWindow,
		MaxLegs: config.Legs.MaxLegs, MinRetries: config.Legs.MinRetries, RetryRatio: config.Legs.RetryRatio, RetryWindow: config.Legs.Window,
		Tolerance: tolerance,
	}
	for _, x := range config.Tariffs {
		limits.Tariffs[x.Name] = rulecheck.TariffLimits{Paid: x.AtMostOnce, MinRung: x.Floor, Seats: x.Seats, Credit: x.Credit,
			StartGoal: x.GoalTime}
	}
	return limits
}
