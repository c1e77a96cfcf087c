package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gobwas/ws"
	"github.com/rs/zerolog"

	"fordusher/internal/conf"
	"fordusher/internal/daemon"
	"fordusher/internal/director"
	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// IdleLoad is a load of players that are connected and say nothing.
type IdleLoad struct {
	Connections int           `json:"connections"`
	Duration    time.Duration `json:"for"`  // how long the processor time of idleness is measured
	Ping        time.Duration `json:"ping"` // as the processes were started with; told with the results
}

// IdleResult is what idle connections cost a process.
type IdleResult struct {
	Name        string  `json:"name"`
	Connections int     `json:"connections"`
	Heap        float64 `json:"heap_bytes"`   // of Go's heap in use, each
	Stacks      float64 `json:"stack_bytes"`  // of goroutines' stacks, each
	RSS         float64 `json:"rss_bytes"`    // resident memory, each
	Kernel      float64 `json:"kernel_bytes"` // socket memory, each, both ends
	CPU         float64 `json:"cpu_ms_min"`   // processor time of one connection, ms a minute
	Goroutines  int     `json:"goroutines"`
}

// A MonitoredProcess process tells what it uses.
type MonitoredProcess interface {
	Process
	RSS() int64
	// CollectGarbage makes it collect its garbage.
	CollectGarbage()
	// Metrics reads the process's own metrics page.
	Metrics() map[string]float64
}

// Run opens idle connections to a process and measures what they cost it.
func (i IdleLoad) Run(ctx context.Context, name string, p MonitoredProcess) (*IdleResult, error) {
	settle := func() (heap, stacks, rss, kernel float64) {
		time.Sleep(2 * time.Second)
		p.CollectGarbage()
		p.CollectGarbage()
		f := p.Metrics()
		return f["go_memstats_heap_inuse_bytes"], f["go_memstats_stack_inuse_bytes"], float64(p.RSS()), socketMemory()
	}
	heap0, stacks0, rss0, kernel0 := settle()
	h := &quiet{}
	var mu sync.Mutex
	var conns []*transport.Conn
	defer func() {
		for _, c := range conns {
			c.Abort()
		}
	}()
	var wait sync.WaitGroup
	var failed atomic.Int64
	var first atomic.Value
	for range 32 {
		wait.Go(func() {
			for range i.Connections / 32 {
				if ctx.Err() != nil {
					return
				}
				c, err := transport.Dial(p.Address(), wire.SessionProtocol, 20*time.Second, bounds, h, nil)
				if err != nil {
					failed.Add(1)
					first.CompareAndSwap(nil, err.Error())
					continue
				}
				mu.Lock()
				conns = append(conns, c)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	if n := failed.Load(); n > 0 {
		return nil, fmt.Errorf("%s: %d of %d connections failed: %v", name, n, i.Connections, first.Load())
	}
	n := float64(len(conns))
	heap, stacks, rss, kernel := settle()
	cpu := p.CPU()
	time.Sleep(i.Duration)
	cpu = p.CPU() - cpu
	r := &IdleResult{Name: name, Connections: len(conns), Heap: (heap - heap0) / n, Stacks: (stacks - stacks0) / n, RSS: (rss - rss0) / n,
		Kernel: (kernel - kernel0) / n, CPU: float64(cpu.Microseconds()) / 1000 / n * float64(time.Minute) / float64(i.Duration),
		Goroutines: int(p.Metrics()["go_goroutines"])}
	if lost := h.closed.Load(); lost > 0 {
		return r, fmt.Errorf("%s: %d connections were lost", name, lost)
	}
	return r, nil
}

type quiet struct{ closed atomic.Int64 }

func (q *quiet) Opened(*transport.Conn)                  {}
func (q *quiet) Message(*transport.Conn, []byte)         {}
func (q *quiet) Closed(*transport.Conn, error, []uint64) { q.closed.Add(1) }

// socketMemory is what the kernel says that TCP sockets hold, in bytes.
func socketMemory() float64 {
	raw, err := os.ReadFile("/proc/net/sockstat")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(line); len(f) > 2 && f[0] == "TCP:" {
			for j := 1; j+1 < len(f); j += 2 {
				if f[j] == "mem" {
					pages, _ := strconv.ParseFloat(f[j+1], 64)
					return pages * float64(os.Getpagesize())
				}
			}
		}
	}
	return 0
}

// IdleTable writes results side by side.
func IdleTable(results ...*IdleResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-24s %12s %9s %9s %9s %9s %12s %11s\n", "bytes a connection", "connections", "heap", "stacks", "RSS", "kernel", "cpu ms/min", "goroutines")
	for _, r := range results {
		fmt.Fprintf(&b, "%-24s %12d %9.0f %9.0f %9.0f %9.0f %12.3f %11d\n", r.Name, r.Connections, r.Heap, r.Stacks, r.RSS, r.Kernel, r.CPU, r.Goroutines)
	}
	return b.String()
}

// ServeBaseline is the baseline: the same door written with a goroutine and a timer for each connection, as the
// standard library suggests. It answers handshakes, pings every so often, and reads until it is closed.
func ServeBaseline(ctx context.Context, ln net.Listener, ping time.Duration) error {
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		up := ws.HTTPUpgrader{Protocol: func(p string) bool { return p == wire.SessionProtocol }}
		conn, rw, _, err := up.Upgrade(r, w)
		if err != nil {
			return
		}
		defer conn.Close()
		var timer *time.Timer
		var mu sync.Mutex
		timer = time.AfterFunc(ping, func() {
			mu.Lock()
			defer mu.Unlock()
			ws.WriteFrame(conn, ws.NewPingFrame(nil))
			timer.Reset(ping)
		})
		defer timer.Stop()
		read(rw)
	})}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func read(r *bufio.ReadWriter) {
	for {
		h, err := ws.ReadHeader(r)
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, r, h.Length); err != nil || h.OpCode == ws.OpClose {
			return
		}
	}
}

// InMemoryLoad is a director with idle connections in memory, below the same connection code, while set-ups go
// on over sockets and drains come in.
type InMemoryLoad struct {
	Connections int           `json:"connections"`
	Ping        time.Duration `json:"ping"`
	Rate        float64       `json:"rate"` // set-ups a second
	Duration    time.Duration `json:"for"`
	Nodes       int           `json:"nodes"`
}

// InMemoryResult is how that went.
type InMemoryResult struct {
	InMemoryLoad
	Bytes         float64      `json:"bytes"`        // of Go's memory for each connection, all in
	RecordBytes   float64      `json:"record_bytes"` // of these, the loop's and the limits' record with its timer
	Before        *SetupResult `json:"before"`       // set-ups without the idle connections
	WithIdle      *SetupResult `json:"among"`        // set-ups among them, signs of life going on
	TimersAligned *SetupResult `json:"together"`     // set-ups while all timers are due at once
	Drains        int          `json:"drains"`
	MaxDrainDelay float64      `json:"drain_most_ms"` // longest from word of a drain until the last set-up to that node
	Pings         int64        `json:"pings"`
	Lost          int64        `json:"lost"`
}

const handshake = "GET / HTTP/1.1\r\nHost: d\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n" +
	"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: " + wire.SessionProtocol + "\r\n\r\n"

// Run measures; the program should run on so many cores as are to be told of.
func (x InMemoryLoad) Run(ctx context.Context, say func(format string, args ...any)) (*InMemoryResult, error) {
	s := SetupLoad{Rate: x.Rate, Playing: int(x.Rate), Duration: x.Duration, Warmup: time.Second, Nodes: x.Nodes, Racks: max(1, x.Nodes/7), Titles: 50,
		Connections: 50, Seed: 1}
	record := &rulecheck.Recorder{}
	st, err := s.openWith(record)
	if err != nil {
		return nil, err
	}
	defer st.close()
	text, err := st.house()
	if err != nil {
		return nil, err
	}
	house, err := conf.Decode("load.jsonc", text)
	if err != nil {
		return nil, err
	}
	house.Capacity.MaxConnections, house.Capacity.MaxHandshakes, house.Capacity.HeartbeatInterval = x.Connections*2, x.Connections, x.Ping
	d, err := daemon.Start(house, "1", 1, house.NewDecider(1), zerolog.Nop())
	if err != nil {
		return nil, err
	}
	defer d.Kill()
	time.Sleep(1500 * time.Millisecond)
	r := &InMemoryResult{InMemoryLoad: x, RecordBytes: x.record(house)}
	say("%.0f bytes a record with its timer", r.RecordBytes)
	if r.Before, err = s.against(ctx, st, d.Address(), "before"); err != nil {
		return nil, err
	}
	before := inUse()
	var pings, lost atomic.Int64
	conns := make([]*transport.Conn, x.Connections)
	over := make(chan struct{})
	defer close(over)
	network := transport.NewMemoryNetwork(over)
	for i := range conns {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)}), 1)
		answered := false
		var c *transport.Conn
		c = d.Attach(network, from, func(p []byte) {
			switch {
			case !answered:
				answered = true
			case len(p) >= 2 && p[0] == 0x89: // a ping: answer it, as a player's machine does
				pings.Add(1)
				c.Receive(pong)
			default:
				lost.Add(1)
			}
		})
		conns[i] = c
		c.Receive([]byte(handshake))
		if i%100_000 == 99_999 {
			say("%d connections", i+1)
		}
	}
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if used, _ := d.ConnectionUsage(); used >= x.Connections || time.Now().After(end) {
			break
		}
	}
	r.Bytes = (inUse() - before) / float64(x.Connections)
	say("%.0f bytes a connection", r.Bytes)
	if r.WithIdle, err = s.against(ctx, st, d.Address(), "among"); err != nil {
		return nil, err
	}
	// All timers due at once: the clock jumps by a span of signs of life, in the middle of the load; a drain
	// comes every so often.
	go func() {
		time.Sleep(s.Warmup + x.Duration/4)
		d.AdvanceClock(x.Ping)
	}()
	stop := make(chan bool)
	drained := make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				drained <- n
				return
			case <-time.After(200 * time.Millisecond):
			}
			i := n % len(st.machines)
			n++
			e := wire.NodeEntry{Node: st.machines[i].Name, Address: st.host.Address(st.machines[i].Name), MachineKind: "box", Weight: 1, Cell: i, State: wire.Draining}
			e.Incarnation, _ = st.host.Start(e.Node)
			st.list.UpdateNode(e, 0, 0)
			e.State = wire.Up
			st.list.UpdateNode(e, 0, 700*time.Millisecond)
		}
	}()
	r.TimersAligned, err = s.against(ctx, st, d.Address(), "together")
	close(stop)
	r.Drains = <-drained
	if err != nil {
		return nil, err
	}
	r.MaxDrainDelay = drainMost(record.Records())
	r.Pings, r.Lost = pings.Load(), lost.Load()
	runtime.KeepAlive(conns)
	return r, nil
}

// LimitReason tells why twice as many connections need not be tried, with so much memory free; empty: they can be.
func (r *InMemoryResult) LimitReason(free float64) string {
	const grace = 250 // ms, the drain grace that the load's house has
	answered := r.TimersAligned.Played + r.TimersAligned.Nacked + r.TimersAligned.Errored
	switch {
	case r.MaxDrainDelay > grace:
		return fmt.Sprintf("a set-up came to a node %.0f ms after word of its drain", r.MaxDrainDelay)
	case r.Lost > 0:
		return fmt.Sprintf("%d connections were lost", r.Lost)
	case answered < int64(r.TimersAligned.Due):
		return fmt.Sprintf("%d of %d set-ups were not answered in time", int64(r.TimersAligned.Due)-answered, r.TimersAligned.Due)
	case 2*r.Bytes*float64(r.Connections)*1.5 > free: // a collection needs room beside what is held
		return fmt.Sprintf("twice as many need %.1f GiB and room for a collection, %.1f GiB are free", 2*r.Bytes*float64(r.Connections)/(1<<30), free/(1<<30))
	}
	return ""
}

// record measures what the loop and the limits hold for a connection, its timer in it, without transport.
func (x InMemoryLoad) record(house *conf.Config) float64 {
	before := inUse()
	l := house.NewLoop("1", 1, house.NewDecider(1))
	for i := range x.Connections {
		at := netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)})
		l.Step(time.Duration(i), director.ClientConnecting{Conn: uint64(i + 1), Address: at})
		l.Step(time.Duration(i), director.ClientAccepted{Conn: uint64(i + 1)})
	}
	bytes := (inUse() - before) / float64(x.Connections)
	runtime.KeepAlive(l)
	return bytes
}

var pong = ws.MustCompileFrame(ws.MaskFrame(ws.NewPongFrame(nil)))

// drainMost is the longest time from word of a drain, as the director acknowledged it, until a set-up that
// still came to the node.
func drainMost(records []rulecheck.Record) float64 {
	told := map[string]time.Duration{}
	most := time.Duration(0)
	for _, r := range records {
		switch r.Kind {
		case rulecheck.ListReceived:
			if r.State == wire.Up {
				delete(told, r.Node)
			} else if _, known := told[r.Node]; !known {
				told[r.Node] = r.At
			}
		case wire.Setup:
			if at, ok := told[r.Node]; ok {
				most = max(most, r.At-at)
			}
		}
	}
	return float64(most.Microseconds()) / 1000
}

// inUse is what Go holds after a collection.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// Table writes it.
func (r *InMemoryResult) Table() string {
	return fmt.Sprintf("%d idle connections: %.0f bytes each in all, %.2f GiB; record with its timer %.0f bytes\n", r.Connections, r.Bytes,
		r.Bytes*float64(r.Connections)/(1<<30), r.RecordBytes) + SetupTable(r.Before, r.WithIdle, r.TimersAligned) +
		fmt.Sprintf("%d drains, longest until the last set-up %.1f ms; %d signs of life asked for, %d connections lost\n", r.Drains, r.MaxDrainDelay, r.Pings, r.Lost)
}
