// Package load puts an open-loop load on a director and measures what it adds. Requests are due by a
// schedule that waits for nobody, and latencies count from when a request was due: a stalled server is not
// flattered by a client that stalls with it.
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

//go:embed house.jsonc
var houseText string

var houseTemplate = template.Must(template.New("house").Parse(houseText))

// SetupLoad is a load of set-ups at a steady rate, with so many sessions playing meanwhile.
type SetupLoad struct {
	Rate        float64       `json:"rate"` // a second
	Playing     int           `json:"playing"`
	Duration    time.Duration `json:"for"`  // measured
	Warmup      time.Duration `json:"warm"` // before that, at the same rate
	Nodes       int           `json:"nodes"`
	Racks       int           `json:"racks"`
	Titles      int           `json:"titles"`
	Connections int           `json:"connections"`
	Seed        uint64        `json:"seed"`
}

// SetupResult is how one run of a load went.
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
	CPU       float64   `json:"cpu"` // cores that the director used; 0 where there is none
	Quantiles []float64 `json:"quantiles"`
	Millis    []float64 `json:"millis"`
}

// Process is a director that the load runs against.
type Process interface {
	Address() string
	CPU() time.Duration // used so far
	Kill()
}

// A site is the stand-ins of one run.
type site struct {
	s        SetupLoad
	host     *node.Host
	list     *discovery.Source
	machines []node.Spec
	titles   []wire.TitlePlacement
}

func (s SetupLoad) open() (*site, error) { return s.openWith(rulecheck.DiscardRecorder) }

// openWith starts the stand-ins with a recorder.
func (s SetupLoad) openWith(record *rulecheck.Recorder) (*site, error) {
	st := &site{s: s}
	r := rand.New(rand.NewPCG(s.Seed, 3))
	const middle = 703.0
	places := s.Playing/s.Nodes*4 + 20
	link := middle * float64(places)
	uplink := link * float64((s.Nodes+s.Racks-1)/s.Racks)
	var uplinks []float64
	for range s.Racks {
		uplinks = append(uplinks, uplink)
	}
	for i := range s.Nodes {
		st.machines = append(st.machines, node.Spec{Name: "node-" + strconv.Itoa(i), Kind: "box", Rack: i % s.Racks, MaxStreams: places,
			LinkRate: link, Cores: 64, SetupTime: 0})
	}
	var err error
	st.host, err = node.StartHost(node.NewModel(s.Seed, node.Environment{Uplinks: uplinks, Warmup: time.Second, InitialShare: 0.5, OverloadMultiple: 4,
		OverloadWindow: time.Second, ReportDelay: 900 * time.Millisecond, ReportInterval: 3750 * time.Millisecond, LoadRefresh: 300 * time.Millisecond},
		st.machines), record, nil)
	if err != nil {
		return nil, err
	}
	var entries []wire.NodeEntry
	for i, m := range st.machines {
		start, _ := st.host.Start(m.Name)
		entries = append(entries, wire.NodeEntry{Node: m.Name, Address: st.host.Address(m.Name), State: wire.Up, MachineKind: "box", Weight: 1, Cell: i, Incarnation: start})
	}
	for i := range s.Titles {
		st.titles = append(st.titles, wire.TitlePlacement{Title: "title-" + strconv.Itoa(i), FirstCell: r.IntN(s.Nodes), Copies: min(6, s.Nodes)})
	}
	st.list, err = discovery.Start(record, entries, st.titles)
	if err != nil {
		st.host.Close()
		return nil, err
	}
	return st, nil
}

func (st *site) close() {
	st.list.Close()
	st.host.Close()
}

func (st *site) house() ([]byte, error) {
	var text bytes.Buffer
	m := st.machines[0]
	err := houseTemplate.Execute(&text, map[string]any{
		"List": st.list.Address(), "Nodes": st.s.Nodes, "Racks": st.s.Racks, "Link": m.LinkRate,
		"Uplink": m.LinkRate * float64((st.s.Nodes+st.s.Racks-1)/st.s.Racks), "Places": m.MaxStreams,
	})
	return text.Bytes(), err
}

// A meter takes latencies from many goroutines.
type meter struct {
	mu       sync.Mutex
	from     time.Duration // what was due before is not measured
	h        *hdrhistogram.Histogram
	played   int64
	nacked   atomic.Int64
	errored  atomic.Int64
	answered atomic.Int64
}

func newMeter(from time.Duration) *meter {
	return &meter{from: from, h: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (m *meter) took(due, now time.Duration) {
	m.answered.Add(1)
	if due < m.from {
		return
	}
	m.mu.Lock()
	m.played++
	m.h.RecordValue(max(1, (now - due).Microseconds()))
	m.mu.Unlock()
}

var quantiles = []float64{0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99, 100}

func (m *meter) result(name string, due int) *SetupResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := func(q float64) float64 { return float64(m.h.ValueAtQuantile(q)) / 1000 }
	r := &SetupResult{Name: name, Due: due, Played: m.played, Nacked: m.nacked.Load(), Errored: m.errored.Load(),
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(m.h.Max()) / 1000}
	for _, q := range quantiles {
		r.Quantiles = append(r.Quantiles, q)
		r.Millis = append(r.Millis, at(q))
	}
	return r
}

// schedule calls send for each request when it is due, or at once where that is past, and tells how many
// were due after the warm-up. Gaps are drawn from the exponential distribution.
func (s SetupLoad) schedule(ctx context.Context, began time.Duration, send func(n int, due time.Duration)) (measured int) {
	r := rand.New(rand.NewPCG(s.Seed, 4))
	from, end := began+s.Warmup, began+s.Warmup+s.Duration
	due := began
	for n := 1; ; n++ {
		due += time.Duration(r.ExpFloat64() / s.Rate * float64(time.Second))
		if due >= end || ctx.Err() != nil {
			return measured
		}
		for now := rulecheck.MonotonicNow(); now < due; now = rulecheck.MonotonicNow() {
			time.Sleep(due - now) // what oversleeps counts as latency, with a director and without
		}
		if due >= from {
			measured++
		}
		send(n, due)
	}
}

var bounds = transport.Limits{MaxMessageBytes: wire.MaxNodeMessageBytes, MaxQueuedBytes: 64 << 20, WriteTimeout: 10 * time.Second}

// RunDirect measures players that speak to nodes themselves: what is there without a director.
func (s SetupLoad) RunDirect(ctx context.Context) (*SetupResult, error) {
	st, err := s.open()
	if err != nil {
		return nil, err
	}
	defer st.close()
	began := rulecheck.MonotonicNow()
	m := newMeter(began + s.Warmup)
	h := &direct{m: m}
	var conns []*transport.Conn
	for _, x := range st.machines {
		c, err := transport.Dial(st.host.Address(x.Name), wire.NodeProtocol, 5*time.Second, bounds, h, nil)
		if err != nil {
			return nil, err
		}
		defer c.Abort()
		conns = append(conns, c)
	}
	began = rulecheck.MonotonicNow()
	m.from = began + s.Warmup
	length := s.length()
	due := s.schedule(ctx, began, func(n int, due time.Duration) {
		conns[n%len(conns)].Send(wire.Encode(wire.NodeMessage{Type: wire.Setup, Leg: uint64(due), Session: "s", Tariff: "clip", Title: "t",
			Rung: 1, RateKB: 347, LengthMS: length.Milliseconds()}), 0)
	})
	time.Sleep(500 * time.Millisecond)
	return m.result("direct", due), nil
}

// length is how long a session plays so that so many play at one time.
func (s SetupLoad) length() time.Duration {
	return max(time.Millisecond, time.Duration(float64(s.Playing)/s.Rate*float64(time.Second)))
}

type direct struct{ m *meter }

func (h *direct) Opened(*transport.Conn)                  {}
func (h *direct) Closed(*transport.Conn, error, []uint64) {}
func (h *direct) Message(_ *transport.Conn, raw []byte) {
	now := rulecheck.MonotonicNow()
	m, err := wire.DecodeNodeMessage(raw)
	switch {
	case err != nil:
	case m.Type == wire.Accepted:
		h.m.took(time.Duration(m.Leg), now)
	case m.Type == wire.Full:
		h.m.nacked.Add(1)
	case m.Type == wire.Failed:
		h.m.errored.Add(1)
	}
}

// RunThroughDirector measures players that ask a director.
func (s SetupLoad) RunThroughDirector(ctx context.Context, launch func(house []byte) (Process, error)) (*SetupResult, error) {
	st, err := s.open()
	if err != nil {
		return nil, err
	}
	defer st.close()
	house, err := st.house()
	if err != nil {
		return nil, err
	}
	p, err := launch(house)
	if err != nil {
		return nil, err
	}
	defer p.Kill()
	time.Sleep(1500 * time.Millisecond) // connections to all nodes, and past the caution of a new director
	var cpu, from time.Duration
	r, err := s.measure(ctx, st, p.Address(), "through a director", func() { from, cpu = rulecheck.MonotonicNow(), p.CPU() })
	if err != nil {
		return nil, err
	}
	used, span := p.CPU()-cpu, rulecheck.MonotonicNow()-from
	if span > 0 {
		r.CPU = used.Seconds() / span.Seconds()
	}
	return r, nil
}

// against measures players that ask a director which runs already.
func (s SetupLoad) against(ctx context.Context, st *site, address, name string) (*SetupResult, error) {
	return s.measure(ctx, st, address, name, func() {})
}

// measure puts the load on a director; begin is called when what is due begins to count.
func (s SetupLoad) measure(ctx context.Context, st *site, address, name string, begin func()) (*SetupResult, error) {
	m := newMeter(0)
	h := &through{m: m}
	var conns []*transport.Conn
	for range s.Connections {
		c, err := transport.Dial(address, wire.SessionProtocol, 5*time.Second, bounds, h, nil)
		if err != nil {
			return nil, err
		}
		defer c.Abort()
		conns = append(conns, c)
	}
	began := rulecheck.MonotonicNow()
	m.from = began + s.Warmup
	length := s.length()
	counts := false
	due := s.schedule(ctx, began, func(n int, due time.Duration) {
		if !counts && due >= m.from {
			counts = true
			begin()
		}
		id := strconv.FormatInt(int64(due), 36)
		conns[n%len(conns)].Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: id, Tariff: "clip", Title: st.titles[n%len(st.titles)].Title,
			Key: "k" + id, WaitMS: 3000, LengthMS: length.Milliseconds()}), 0)
	})
	time.Sleep(500 * time.Millisecond)
	return m.result(name, due), nil
}

type through struct{ m *meter }

func (h *through) Opened(*transport.Conn)                  {}
func (h *through) Closed(*transport.Conn, error, []uint64) {}
func (h *through) Message(_ *transport.Conn, raw []byte) {
	now := rulecheck.MonotonicNow()
	m, err := wire.DecodeSessionMessage(raw)
	if err != nil {
		return
	}
	switch m.Type {
	case wire.Playing:
		if due, err := strconv.ParseInt(m.ID, 36, 64); err == nil {
			h.m.took(time.Duration(due), now)
		}
	case wire.Nack:
		h.m.nacked.Add(1)
	case wire.Errored:
		h.m.errored.Add(1)
	}
}

// SetupTable writes results side by side.
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
