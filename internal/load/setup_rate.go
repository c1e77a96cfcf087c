// Package load puts an open-loop load on directors and measures the latency and the resource usage that they add.
// Requests follow a schedule that does not wait for answers, and latencies count from a request's due time. So the
// measurement does not hide a stall of the server behind a client that stalls with it. Three kinds of load are
// measured: set-ups at a rate (SetupLoad), idle connections (IdleLoad, InMemoryLoad), and parts that run at the same
// time (Scenario). The package opens sockets. Callers start the processes under load; only InMemoryLoad runs a director
// in its own process.
package load

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/template"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fordusher/internal/emulated/discovery"
	"fordusher/internal/emulated/node"
	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

//go:embed director.jsonc
var configText string

var configTemplate = template.Must(template.New("director.jsonc").Parse(configText))

// A SetupLoad is a load of set-ups at a steady rate, with a steady number of playing sessions.
type SetupLoad struct {
	Rate        float64       `json:"rate"` // per second
	Playing     int           `json:"playing"`
	Duration    time.Duration `json:"for"`  // measured time
	Warmup      time.Duration `json:"warm"` // time before the measurement, at the same rate
	Nodes       int           `json:"nodes"`
	Racks       int           `json:"racks"`
	Titles      int           `json:"titles"`
	Connections int           `json:"connections"`
	Seed        uint64        `json:"seed"`
}

// A SetupResult holds the results of one run of a SetupLoad.
type SetupResult struct {
	Name      string    `json:"name"`
	Due       int       `json:"due"`
	Played    int64     `json:"played"`
	Nacked    int64     `json:"nacked"`
	Errored   int64     `json:"errored"`
	P50       float64   `json:"p50_ms"`
	P90       float64   `json:"p90_ms"`
	P99       float64   `json:"p99_ms"`
	P999      float64   `json:"p999_ms"`
	Max       float64   `json:"max_ms"`
	CPU       float64   `json:"cpu"` // cores that the director used; 0 without a director
	Quantiles []float64 `json:"quantiles"`
	Millis    []float64 `json:"millis"`
}

// A Process is a running director that receives the load.
type Process interface {
	Address() string
	CPU() time.Duration // total CPU time used
	Kill()
}

// A fixture holds the emulated nodes and discovery of one run.
type fixture struct {
	load      SetupLoad
	nodes     *node.Host
	discovery *discovery.Source
	nodeSpecs []node.Spec
	titles    []wire.TitlePlacement
}

func (s SetupLoad) startFixture() (*fixture, error) {
	return s.startFixtureWith(rulecheck.DiscardRecorder)
}

// startFixtureWith starts the emulated nodes and discovery with a recorder.
func (s SetupLoad) startFixtureWith(recorder *rulecheck.Recorder) (*fixture, error) {
	f := &fixture{load: s}
	random := rand.New(rand.NewPCG(s.Seed, 3))
	const middleRate = 703.0
	maxStreams := s.Playing/s.Nodes*4 + 20
	link := middleRate * float64(maxStreams)
	uplink := link * float64((s.Nodes+s.Racks-1)/s.Racks)
	var uplinks []float64
	for range s.Racks {
		uplinks = append(uplinks, uplink)
	}
	for i := range s.Nodes {
		f.nodeSpecs = append(f.nodeSpecs, node.Spec{Name: "node-" + strconv.Itoa(i), Kind: "box", Rack: i % s.Racks, MaxStreams: maxStreams,
			LinkRate: link, Cores: 64, SetupTime: 0})
	}
	var err error
	f.nodes, err = node.StartHost(node.NewModel(s.Seed, node.Environment{Uplinks: uplinks, Warmup: time.Second, InitialShare: 0.5,
		OverloadMultiple: 4, OverloadWindow: time.Second, ReportDelay: 900 * time.Millisecond, ReportInterval: 3750 * time.Millisecond,
		LoadRefresh: 300 * time.Millisecond}, f.nodeSpecs), recorder, nil)
	if err != nil {
		return nil, err
	}
	var entries []wire.NodeEntry
	for i, m := range f.nodeSpecs {
		start, _ := f.nodes.Start(m.Name)
		entries = append(entries, wire.NodeEntry{Node: m.Name, Address: f.nodes.Address(m.Name), State: wire.Up, MachineKind: "box",
			Weight: 1, Cell: i, Incarnation: start})
	}
	for i := range s.Titles {
		f.titles = append(f.titles, wire.TitlePlacement{Title: "title-" + strconv.Itoa(i), FirstCell: random.IntN(s.Nodes),
			Copies: min(6, s.Nodes)})
	}
	f.discovery, err = discovery.Start(recorder, entries, f.titles)
	if err != nil {
		f.nodes.Close()
		return nil, err
	}
	return f, nil
}

func (f *fixture) close() {
	f.discovery.Close()
	f.nodes.Close()
}

// directorConfig returns the text of a config for a director of the fixture.
func (f *fixture) directorConfig() ([]byte, error) {
	var text bytes.Buffer
	spec := f.nodeSpecs[0]
	err := configTemplate.Execute(&text, map[string]any{
		"List": f.discovery.Address(), "Nodes": f.load.Nodes, "Racks": f.load.Racks, "Link": spec.LinkRate,
		"Uplink": spec.LinkRate * float64((f.load.Nodes+f.load.Racks-1)/f.load.Racks), "Places": spec.MaxStreams,
	})
	return text.Bytes(), err
}

// A latencyRecorder collects latencies and outcomes from many goroutines.
type latencyRecorder struct {
	mu          sync.Mutex
	measureFrom time.Duration // requests that were due earlier are not measured
	histogram   *hdrhistogram.Histogram
	played      int64
	nacked      atomic.Int64
	errored     atomic.Int64
	answered    atomic.Int64
}

func newLatencyRecorder(from time.Duration) *latencyRecorder {
	return &latencyRecorder{measureFrom: from, histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (m *latencyRecorder) recordAnswer(due, now time.Duration) {
	m.answered.Add(1)
	if due < m.measureFrom {
		return
	}
	m.mu.Lock()
	m.played++
	m.histogram.RecordValue(max(1, (now - due).Microseconds()))
	m.mu.Unlock()
}

var quantiles = []float64{0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99, 100}

func (m *latencyRecorder) result(name string, due int) *SetupResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := func(q float64) float64 { return float64(m.histogram.ValueAtQuantile(q)) / 1000 }
	r := &SetupResult{Name: name, Due: due, Played: m.played, Nacked: m.nacked.Load(), Errored: m.errored.Load(),
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(m.histogram.Max()) / 1000}
	for _, q := range quantiles {
		r.Quantiles = append(r.Quantiles, q)
		r.Millis = append(r.Millis, at(q))
	}
	return r
}

// schedule calls send for each request when it is due, or at once if that time has passed, and returns how many were
// due after the warm-up. Gaps between requests are exponentially distributed.
func (s SetupLoad) schedule(ctx context.Context, startedAt time.Duration, send func(n int, due time.Duration)) (measured int) {
	r := rand.New(rand.NewPCG(s.Seed, 4))
	from, end := startedAt+s.Warmup, startedAt+s.Warmup+s.Duration
	due := startedAt
	for n := 1; ; n++ {
		due += time.Duration(r.ExpFloat64() / s.Rate * float64(time.Second))
		if due >= end || ctx.Err() != nil {
			return measured
		}
		for now := rulecheck.MonotonicNow(); now < due; now = rulecheck.MonotonicNow() {
			time.Sleep(due - now) // oversleeping counts as latency, both with and without a director
		}
		if due >= from {
			measured++
		}
		send(n, due)
	}
}

var connLimits = transport.Limits{MaxMessageBytes: wire.MaxNodeMessageBytes, MaxQueuedBytes: 64 << 20, WriteTimeout: 10 * time.Second}

// RunDirect measures clients that send set-ups to the nodes themselves, as the baseline without a director.
func (s SetupLoad) RunDirect(ctx context.Context) (*SetupResult, error) {
	f, err := s.startFixture()
	if err != nil {
		return nil, err
	}
	defer f.close()
	startedAt := rulecheck.MonotonicNow()
	m := newLatencyRecorder(startedAt + s.Warmup)
	h := &directHandler{recorder: m}
	var conns []*transport.Conn
	for _, x := range f.nodeSpecs {
		c, err := transport.Dial(f.nodes.Address(x.Name), wire.NodeProtocol, 5*time.Second, connLimits, h, nil)
		if err != nil {
			return nil, err
		}
		defer c.Abort()
		conns = append(conns, c)
	}
	startedAt = rulecheck.MonotonicNow()
	m.measureFrom = startedAt + s.Warmup
	length := s.length()
	due := s.schedule(ctx, startedAt, func(n int, due time.Duration) {
		conns[n%len(conns)].Send(wire.Encode(wire.NodeMessage{Type: wire.Setup, Leg: uint64(due), Session: "s", Tariff: "clip", Title: "t",
			Rung: 1, RateKB: 347, LengthMS: length.Milliseconds()}), 0)
	})
	time.Sleep(500 * time.Millisecond)
	return m.result("direct", due), nil
}

// length returns the session length with which, at the load's rate, its number of sessions plays at any time.
func (s SetupLoad) length() time.Duration {
	return max(time.Millisecond, time.Duration(float64(s.Playing)/s.Rate*float64(time.Second)))
}

// A directHandler records the answers of nodes.
type directHandler struct{ recorder *latencyRecorder }

func (h *directHandler) Opened(*transport.Conn)                  {}
func (h *directHandler) Closed(*transport.Conn, error, []uint64) {}
func (h *directHandler) Message(_ *transport.Conn, raw []byte) {
	now := rulecheck.MonotonicNow()
	m, err := wire.DecodeNodeMessage(raw)
	switch {
	case err != nil:
	case m.Type == wire.Accepted:
		h.recorder.recordAnswer(time.Duration(m.Leg), now)
	case m.Type == wire.Full:
		h.recorder.nacked.Add(1)
	case m.Type == wire.Failed:
		h.recorder.errored.Add(1)
	}
}

// RunThroughDirector measures clients that send requests to a director, which launch starts.
func (s SetupLoad) RunThroughDirector(ctx context.Context, launch func(config []byte) (Process, error)) (*SetupResult, error) {
	f, err := s.startFixture()
	if err != nil {
		return nil, err
	}
	defer f.close()
	config, err := f.directorConfig()
	if err != nil {
		return nil, err
	}
	p, err := launch(config)
	if err != nil {
		return nil, err
	}
	defer p.Kill()
	time.Sleep(1500 * time.Millisecond) // until the director has connected to all nodes and the slow start after its own start is over
	var cpu, from time.Duration
	r, err := s.measure(ctx, f, p.Address(), "through a director", func() { from, cpu = rulecheck.MonotonicNow(), p.CPU() })
	if err != nil {
		return nil, err
	}
	used, span := p.CPU()-cpu, rulecheck.MonotonicNow()-from
	if span > 0 {
		r.CPU = used.Seconds() / span.Seconds()
	}
	return r, nil
}

// runAgainst measures clients that send requests to a running director.
func (s SetupLoad) runAgainst(ctx context.Context, f *fixture, address, name string) (*SetupResult, error) {
	return s.measure(ctx, f, address, name, func() {})
}

// measure puts the load on a director. It calls begin when the first measured request is due.
func (s SetupLoad) measure(ctx context.Context, f *fixture, address, name string, begin func()) (*SetupResult, error) {
	m := newLatencyRecorder(0)
	h := &directorHandler{recorder: m}
	var conns []*transport.Conn
	for range s.Connections {
		c, err := transport.Dial(address, wire.SessionProtocol, 5*time.Second, connLimits, h, nil)
		if err != nil {
			return nil, err
		}
		defer c.Abort()
		conns = append(conns, c)
	}
	startedAt := rulecheck.MonotonicNow()
	m.measureFrom = startedAt + s.Warmup
	length := s.length()
	measuring := false
	due := s.schedule(ctx, startedAt, func(n int, due time.Duration) {
		if !measuring && due >= m.measureFrom {
			measuring = true
			begin()
		}
		id := strconv.FormatInt(int64(due), 36)
		conns[n%len(conns)].Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: id, Tariff: "clip",
			Title: f.titles[n%len(f.titles)].Title, Key: "k" + id, WaitMS: 3000, LengthMS: length.Milliseconds()}), 0)
	})
	time.Sleep(500 * time.Millisecond)
	return m.result(name, due), nil
}

// A directorHandler records the answers of a director.
type directorHandler struct{ recorder *latencyRecorder }

func (h *directorHandler) Opened(*transport.Conn)                  {}
func (h *directorHandler) Closed(*transport.Conn, error, []uint64) {}
func (h *directorHandler) Message(_ *transport.Conn, raw []byte) {
	now := rulecheck.MonotonicNow()
	m, err := wire.DecodeSessionMessage(raw)
	if err != nil {
		return
	}
	switch m.Type {
	case wire.Playing:
		if due, err := strconv.ParseInt(m.ID, 36, 64); err == nil {
			h.recorder.recordAnswer(time.Duration(due), now)
		}
	case wire.Nack:
		h.recorder.nacked.Add(1)
	case wire.Errored:
		h.recorder.errored.Add(1)
	}
}

// SetupTable formats results as a table.
func SetupTable(results ...*SetupResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-20s %8s %8s %7s %8s %9s %9s %9s %9s %9s %6s\n", "", "due", "played", "nacked", "errored", "p50 ms", "p90 ms", "p99 ms",
		"p99.9 ms", "max ms", "cores")
	for _, r := range results {
		fmt.Fprintf(&b, "%-20s %8d %8d %7d %8d %9.3f %9.3f %9.3f %9.3f %9.3f %6.2f\n", r.Name, r.Due, r.Played, r.Nacked, r.Errored, r.P50, r.P90,
			r.P99, r.P999, r.Max, r.CPU)
	}
	return b.String()
}
