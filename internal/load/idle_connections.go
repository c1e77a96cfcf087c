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

// An IdleLoad is a load of clients that are connected and send nothing.
type IdleLoad struct {
	Connections int           `json:"connections"`
	Duration    time.Duration `json:"for"`  // how long the CPU time of idle connections is measured
	Ping        time.Duration `json:"ping"` // heartbeat interval of the measured processes; reported with the results
}

// An IdleResult holds the resources that idle connections cost a process.
type IdleResult struct {
	Name        string  `json:"name"`
	Connections int     `json:"connections"`
	Heap        float64 `json:"heap_bytes"`   // Go heap in use, per connection
	Stacks      float64 `json:"stack_bytes"`  // goroutine stacks, per connection
	RSS         float64 `json:"rss_bytes"`    // resident memory, per connection
	Kernel      float64 `json:"kernel_bytes"` // socket memory, per connection, both ends
	CPU         float64 `json:"cpu_ms_min"`   // CPU time, ms per connection and minute
	Goroutines  int     `json:"goroutines"`
}

// A MonitoredProcess is a process whose resource usage can be read.
type MonitoredProcess interface {
	Process
	RSS() int64
	// CollectGarbage makes the process run a garbage collection.
	CollectGarbage()
	// Metrics reads the metrics that the process exports.
	Metrics() map[string]float64
}

// Run opens idle connections to a process and measures what they cost the process.
func (load IdleLoad) Run(ctx context.Context, name string, p MonitoredProcess) (*IdleResult, error) {
	measure := func() (heap, stacks, rss, sockets float64) {
		time.Sleep(2 * time.Second)
		p.CollectGarbage()
		p.CollectGarbage()
		metrics := p.Metrics()
		return metrics["go_memstats_heap_inuse_bytes"], metrics["go_memstats_stack_inuse_bytes"], float64(p.RSS()), socketMemory()
	}
	heap0, stacks0, rss0, sockets0 := measure()
	h := &closeCounter{}
	var mu sync.Mutex
	var conns []*transport.Conn
	defer func() {
		for _, c := range conns {
			c.Abort()
		}
	}()
	var wait sync.WaitGroup
	var failed atomic.Int64
	var firstErr atomic.Value
	for range 32 {
		wait.Go(func() {
			for range load.Connections / 32 {
				if ctx.Err() != nil {
					return
				}
				c, err := transport.Dial(p.Address(), wire.SessionProtocol, 20*time.Second, connLimits, h, nil)
				if err != nil {
					failed.Add(1)
					firstErr.CompareAndSwap(nil, err.Error())
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
		return nil, fmt.Errorf("%s: %d of %d connections failed: %v", name, n, load.Connections, firstErr.Load())
	}
	n := float64(len(conns))
	heap, stacks, rss, sockets := measure()
	cpu := p.CPU()
	time.Sleep(load.Duration)
	cpu = p.CPU() - cpu
	r := &IdleResult{Name: name, Connections: len(conns), Heap: (heap - heap0) / n, Stacks: (stacks - stacks0) / n, RSS: (rss - rss0) / n,
		Kernel: (sockets - sockets0) / n, CPU: float64(cpu.Microseconds()) / 1000 / n * float64(time.Minute) / float64(load.Duration),
		Goroutines: int(p.Metrics()["go_goroutines"])}
	if lost := h.closed.Load(); lost > 0 {
		return r, fmt.Errorf("%s: %d connections were lost", name, lost)
	}
	return r, nil
}

// A closeCounter is a connection handler that counts closed connections.
type closeCounter struct{ closed atomic.Int64 }

func (c *closeCounter) Opened(*transport.Conn)                  {}
func (c *closeCounter) Message(*transport.Conn, []byte)         {}
func (c *closeCounter) Closed(*transport.Conn, error, []uint64) { c.closed.Add(1) }

// socketMemory returns the memory of all TCP sockets in bytes, as the kernel reports it.
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

// IdleTable formats results as a table.
func IdleTable(results ...*IdleResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-24s %12s %9s %9s %9s %9s %12s %11s\n", "bytes per connection", "connections", "heap", "stacks", "RSS",
		"kernel", "cpu ms/min", "goroutines")
	for _, r := range results {
		fmt.Fprintf(&b, "%-24s %12d %9.0f %9.0f %9.0f %9.0f %12.3f %11d\n", r.Name, r.Connections, r.Heap, r.Stacks, r.RSS, r.Kernel,
			r.CPU, r.Goroutines)
	}
	return b.String()
}

// ServeBaseline serves the baseline that a director's idle connections are compared with: a WebSocket server with a
// goroutine and a timer for each connection, as is usual with the standard library. It accepts connections, pings them
// at an interval, and discards what it receives.
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
		discardFrames(rw)
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

// discardFrames reads and discards frames until the connection closes.
func discardFrames(r *bufio.ReadWriter) {
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

// An InMemoryLoad is a load of idle connections on a director in this process. They run through the normal connection
// code, but over an in-memory network instead of sockets. Meanwhile set-ups arrive over sockets and nodes are drained.
type InMemoryLoad struct {
	Connections int           `json:"connections"`
	Ping        time.Duration `json:"ping"`
	Rate        float64       `json:"rate"` // set-ups per second
	Duration    time.Duration `json:"for"`
	Nodes       int           `json:"nodes"`
}

// An InMemoryResult holds the results of an InMemoryLoad.
type InMemoryResult struct {
	InMemoryLoad
	Bytes         float64      `json:"bytes"`        // Go memory in use, per connection
	RecordBytes   float64      `json:"record_bytes"` // the part of Bytes for the record in the loop and the limits, and its timer
	Before        *SetupResult `json:"before"`       // set-ups without the idle connections
	WithIdle      *SetupResult `json:"among"`        // set-ups with the idle connections and their heartbeats
	TimersAligned *SetupResult `json:"together"`     // set-ups while the heartbeat timers of all connections expire at once
	Drains        int          `json:"drains"`
	MaxDrainDelay float64      `json:"drain_most_ms"` // maximum time from the acknowledgement of a drain to the last set-up at the node
	Pings         int64        `json:"pings"`
	Lost          int64        `json:"lost"`
}

const handshakeRequest = "GET / HTTP/1.1\r\nHost: d\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n" +
	"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: " + wire.SessionProtocol + "\r\n\r\n"

// Run runs the load and measures it. The process should be limited to the number of cores that is reported with the
// results.
func (x InMemoryLoad) Run(ctx context.Context, logf func(format string, args ...any)) (*InMemoryResult, error) {
	load := SetupLoad{Rate: x.Rate, Playing: int(x.Rate), Duration: x.Duration, Warmup: time.Second, Nodes: x.Nodes,
		Racks: max(1, x.Nodes/7), Titles: 50, Connections: 50, Seed: 1}
	recorder := &rulecheck.Recorder{}
	f, err := load.startFixtureWith(recorder)
	if err != nil {
		return nil, err
	}
	defer f.close()
	text, err := f.directorConfig()
	if err != nil {
		return nil, err
	}
	config, err := conf.Decode("load.jsonc", text)
	if err != nil {
		return nil, err
	}
	config.Capacity.MaxConnections, config.Capacity.MaxHandshakes, config.Capacity.HeartbeatInterval = x.Connections*2, x.Connections, x.Ping
	d, err := daemon.Start(config, "1", 1, config.NewDecider(1), zerolog.Nop())
	if err != nil {
		return nil, err
	}
	defer d.Kill()
	time.Sleep(1500 * time.Millisecond)
	r := &InMemoryResult{InMemoryLoad: x, RecordBytes: x.measureRecordBytes(config)}
	logf("%.0f bytes per record with its timer", r.RecordBytes)
	if r.Before, err = load.runAgainst(ctx, f, d.Address(), "before"); err != nil {
		return nil, err
	}
	before := memoryInUse()
	var pings, lost atomic.Int64
	conns := make([]*transport.Conn, x.Connections)
	done := make(chan struct{})
	defer close(done)
	network := transport.NewMemoryNetwork(done)
	for i := range conns {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)}), 1)
		answered := false
		var c *transport.Conn
		c = d.AttachInMemory(network, address, func(p []byte) {
			switch {
			case !answered:
				answered = true
			case len(p) >= 2 && p[0] == 0x89: // answers a ping, as a client does
				pings.Add(1)
				c.Receive(pongFrame)
			default:
				lost.Add(1)
			}
		})
		conns[i] = c
		c.Receive([]byte(handshakeRequest))
		if i%100_000 == 99_999 {
			logf("%d connections", i+1)
		}
	}
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if used, _ := d.ConnectionUsage(); used >= x.Connections || time.Now().After(end) {
			break
		}
	}
	r.Bytes = (memoryInUse() - before) / float64(x.Connections)
	logf("%.0f bytes per connection", r.Bytes)
	if r.WithIdle, err = load.runAgainst(ctx, f, d.Address(), "among"); err != nil {
		return nil, err
	}
	// In the middle of the load the clock advances by a heartbeat interval, so that all timers expire at once. A node is
	// drained every 200 ms.
	go func() {
		time.Sleep(load.Warmup + x.Duration/4)
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
			i := n % len(f.nodeSpecs)
			n++
			entry := wire.NodeEntry{Node: f.nodeSpecs[i].Name, Address: f.nodes.Address(f.nodeSpecs[i].Name), MachineKind: "box", Weight: 1,
				Cell: i, State: wire.Draining}
			entry.Incarnation, _ = f.nodes.Start(entry.Node)
			f.discovery.UpdateNode(entry, 0, 0)
			entry.State = wire.Up
			f.discovery.UpdateNode(entry, 0, 700*time.Millisecond)
		}
	}()
	r.TimersAligned, err = load.runAgainst(ctx, f, d.Address(), "together")
	close(stop)
	r.Drains = <-drained
	if err != nil {
		return nil, err
	}
	r.MaxDrainDelay = maxDrainDelay(recorder.Records())
	r.Pings, r.Lost = pings.Load(), lost.Load()
	runtime.KeepAlive(conns)
	return r, nil
}

// LimitReason returns why a run with twice as many connections is pointless with the given free memory in bytes, or an
// empty string if there is no reason.
func (r *InMemoryResult) LimitReason(free float64) string {
	const grace = 250 // ms, the drain grace of the load's director config
	answered := r.TimersAligned.Played + r.TimersAligned.Nacked + r.TimersAligned.Errored
	switch {
	case r.MaxDrainDelay > grace:
		return fmt.Sprintf("a node received a set-up %.0f ms after its drain was announced", r.MaxDrainDelay)
	case r.Lost > 0:
		return fmt.Sprintf("%d connections were lost", r.Lost)
	case answered < int64(r.TimersAligned.Due):
		return fmt.Sprintf("%d of %d set-ups were not answered in time", int64(r.TimersAligned.Due)-answered, r.TimersAligned.Due)
	case 2*r.Bytes*float64(r.Connections)*1.5 > free: // a garbage collection needs additional memory
		return fmt.Sprintf("twice as many connections need %.1f GiB plus memory for garbage collection; %.1f GiB are free",
			2*r.Bytes*float64(r.Connections)/(1<<30), free/(1<<30))
	}
	return ""
}

// measureRecordBytes returns the memory that the loop and the limits hold per connection, including its timer but not
// the transport.
func (x InMemoryLoad) measureRecordBytes(config *conf.Config) float64 {
	before := memoryInUse()
	loop := config.NewLoop("1", 1, config.NewDecider(1))
	for i := range x.Connections {
		address := netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)})
		loop.Step(time.Duration(i), director.ClientConnecting{Conn: uint64(i + 1), Address: address})
		loop.Step(time.Duration(i), director.ClientAccepted{Conn: uint64(i + 1)})
	}
	bytes := (memoryInUse() - before) / float64(x.Connections)
	runtime.KeepAlive(loop)
	return bytes
}

var pongFrame = ws.MustCompileFrame(ws.MaskFrame(ws.NewPongFrame(nil)))

// maxDrainDelay returns the maximum time, in ms, from the director's acknowledgement of a drain until a set-up that the
// node still received.
func maxDrainDelay(records []rulecheck.Record) float64 {
	announcedAt := map[string]time.Duration{}
	longest := time.Duration(0)
	for _, r := range records {
		switch r.Kind {
		case rulecheck.ListAcknowledged:
			if r.State == wire.Up {
				delete(announcedAt, r.Node)
			} else if _, known := announcedAt[r.Node]; !known {
				announcedAt[r.Node] = r.At
			}
		case wire.Setup:
			if at, ok := announcedAt[r.Node]; ok {
				longest = max(longest, r.At-at)
			}
		}
	}
	return float64(longest.Microseconds()) / 1000
}

// memoryInUse returns Go's memory in use after a garbage collection, in bytes.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// Table formats the result.
func (r *InMemoryResult) Table() string {
	return fmt.Sprintf("%d idle connections: %.0f bytes each, %.2f GiB in total; record with its timer %.0f bytes\n", r.Connections, r.Bytes,
		r.Bytes*float64(r.Connections)/(1<<30), r.RecordBytes) + SetupTable(r.Before, r.WithIdle, r.TimersAligned) +
		fmt.Sprintf("%d drains, last set-up up to %.1f ms after a drain; %d pings answered, %d connections lost\n", r.Drains,
			r.MaxDrainDelay, r.Pings, r.Lost)
}
