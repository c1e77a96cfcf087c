package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gobwas/ws"
	"golang.org/x/sys/unix"

	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// A ClientConfig tells a client process what load to generate. The process reads it from its standard input as one line
// of JSON.
type ClientConfig struct {
	Client    int           `json:"client"`
	Seed      uint64        `json:"seed"`
	Parts     []Part        `json:"parts"`
	Directors []string      `json:"directors"`
	Titles    int           `json:"titles"`
	Warmup    time.Duration `json:"warm"`
	Duration  time.Duration `json:"for"`
}

// A Sample holds the counts of one part of one client process for one second.
type Sample struct {
	Second   int    `json:"second"` // since the start of the load
	Part     string `json:"part"`
	Due      int64  `json:"due"`
	Answered int64  `json:"answered"` // answered with a playing session
	Nacked   int64  `json:"nacked"`
	Errored  int64  `json:"errored"`
	Rejected int64  `json:"turned"` // connections rejected or failed
	Lost     int64  `json:"lost"`   // connections not closed by the client
	Open     int64  `json:"open"`   // open connections at the end of the second
	Latency  []byte `json:"latency,omitempty"`
}

// A partCounter holds a part's counts and latencies of the current second.
type partCounter struct {
	mu        sync.Mutex
	current   Sample
	latencies *hdrhistogram.Histogram
	open      atomic.Int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func (c *partCounter) update(f func(s *Sample)) {
	c.mu.Lock()
	f(&c.current)
	c.mu.Unlock()
}

// recordAnswer counts an answer and records its latency from the time at which the request was due.
func (c *partCounter) recordAnswer(due time.Duration) {
	c.mu.Lock()
	c.current.Answered++
	c.latencies.RecordValue(max(1, (rulecheck.MonotonicNow() - due).Microseconds()))
	c.mu.Unlock()
}

// flush returns the sample of the current second and resets the counts.
func (c *partCounter) flush(second int, part string) (Sample, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.current
	s.Second, s.Part, s.Open = second, part, c.open.Load()
	c.current = Sample{}
	if c.latencies.TotalCount() == 0 {
		return s, nil
	}
	var err error
	s.Latency, err = c.latencies.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	c.latencies.Reset()
	return s, err
}

// partClients are the clients of one part in one process.
type partClients struct {
	Part
	config            ClientConfig
	random            *rand.Rand // for the schedule
	source            netip.Addr
	counter           partCounter
	conns             []*transport.Conn
	rawConns          []net.Conn
	mu                sync.Mutex
	pendingDuplicates map[*transport.Conn][]time.Duration // for KindDuplicates: due times of unanswered repetitions, at most 64 each
}

// RunClient runs a client process. It reads a ClientConfig from in, connects, writes {"ready":true}, and waits for a
// line with the start time. Then it generates the load and writes a Sample per second for each part.
func RunClient(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	if !lines.Scan() {
		return fmt.Errorf("no client configuration on the input")
	}
	var config ClientConfig
	if err := json.Unmarshal(lines.Bytes(), &config); err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	parts := make([]*partClients, len(config.Parts))
	for i, p := range config.Parts {
		// Each part of each client process connects from its own address, so that ports don't run out.
		parts[i] = &partClients{Part: p, config: config, random: rand.New(rand.NewPCG(config.Seed, uint64(config.Client*100+i))),
			source: netip.AddrFrom4([4]byte{127, 0, byte(1 + config.Client), byte(1 + i)}), pendingDuplicates: map[*transport.Conn][]time.Duration{},
			counter: partCounter{latencies: newHistogram()}}
		if err := parts[i].connect(ctx); err != nil {
			return fmt.Errorf("part %s: %w", p.Name, err)
		}
	}
	if err := encoder.Encode(map[string]bool{"ready": true}); err != nil || !lines.Scan() {
		return err
	}
	startedAt, err := strconv.ParseInt(lines.Text(), 10, 64)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	for _, c := range parts {
		wait.Go(func() { c.run(ctx, time.Duration(startedAt)) })
	}
	seconds := int((config.Warmup + config.Duration) / time.Second)
	for second := range seconds + 1 { // the additional second collects late answers
		time.Sleep(time.Duration(startedAt) + time.Duration(second+1)*time.Second - rulecheck.MonotonicNow())
		for _, c := range parts {
			s, err := c.counter.flush(second, c.Name)
			if err == nil {
				err = encoder.Encode(s)
			}
			if err != nil {
				return err
			}
		}
	}
	cancel()
	wait.Wait()
	for _, c := range parts {
		for _, x := range c.conns {
			x.Abort()
		}
	}
	return nil
}

// directorAddress returns the address of the director for a connection.
func (c *partClients) directorAddress(i int) string {
	return c.config.Directors[(i+c.config.Client)%len(c.config.Directors)]
}

func (c *partClients) dial(i int) (*transport.Conn, error) {
	conn, err := transport.DialFrom(c.source, c.directorAddress(i), wire.SessionProtocol, 20*time.Second, connLimits, c, nil)
	if err == nil {
		c.counter.open.Add(1)
	}
	return conn, err
}

// connect opens the part's connections, at most 16 at a time.
func (c *partClients) connect(ctx context.Context) error {
	if c.Kind == KindReconnects {
		return nil
	}
	const concurrency = 16
	var mu sync.Mutex
	var wait sync.WaitGroup
	var firstErr error
	for k := range min(concurrency, c.Connections) {
		wait.Go(func() {
			for i := k; i < c.Connections && ctx.Err() == nil; i += concurrency {
				var err error
				var conn *transport.Conn
				var raw net.Conn
				if c.Kind == KindSlowReaders || c.Kind == KindNeverReaders {
					raw, err = c.dialNonReader(i)
				} else {
					conn, err = c.dial(i)
				}
				mu.Lock()
				switch {
				case err != nil && firstErr == nil:
					firstErr = err
				case raw != nil:
					c.rawConns = append(c.rawConns, raw)
				case conn != nil:
					c.conns = append(c.conns, conn)
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return firstErr
}

func (c *partClients) run(ctx context.Context, startedAt time.Duration) {
	switch c.Kind {
	case KindIdle:
		<-ctx.Done()
	case KindSetups:
		c.schedule(ctx, startedAt, func(n int, due time.Duration) {
			c.sendRequest(c.conns[n%len(c.conns)], "s"+strconv.FormatInt(int64(due), 36), n)
		})
	case KindDuplicates:
		for i, conn := range c.conns {
			c.sendRequest(conn, "c", i)
		}
		c.schedule(ctx, startedAt, func(n int, due time.Duration) {
			conn := c.conns[n%len(c.conns)]
			c.mu.Lock()
			if q := c.pendingDuplicates[conn]; len(q) < 64 {
				c.pendingDuplicates[conn] = append(q, due)
			}
			c.mu.Unlock()
			c.sendRequest(conn, "c", n%len(c.conns))
		})
	case KindReconnects:
		c.runReconnects(ctx, startedAt)
	default:
		c.floodPings(ctx, startedAt)
	}
}

// schedule calls send for each request when it is due, or at once if that time has passed. Gaps between requests are
// exponentially distributed.
func (c *partClients) schedule(ctx context.Context, startedAt time.Duration, send func(n int, due time.Duration)) {
	if c.Rate == 0 || c.Connections == 0 {
		<-ctx.Done()
		return
	}
	due, end := startedAt, startedAt+c.config.Warmup+c.config.Duration
	for n := 0; ; n++ {
		due += time.Duration(c.random.ExpFloat64() / c.Rate * float64(time.Second))
		if due >= end || ctx.Err() != nil {
			return
		}
		for now := rulecheck.MonotonicNow(); now < due; now = rulecheck.MonotonicNow() {
			time.Sleep(due - now)
		}
		c.counter.update(func(s *Sample) { s.Due++ })
		send(n, due)
	}
}

// sendRequest requests a session. The id of a set-up's request encodes its due time.
func (c *partClients) sendRequest(conn *transport.Conn, id string, n int) {
	length := c.Length
	if c.Kind == KindDuplicates {
		length = c.config.Warmup + c.config.Duration
	}
	conn.Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: id, Tariff: "clip", Title: "title-" + strconv.Itoa(n%c.config.Titles),
		Key: fmt.Sprintf("%s-%d-%d-%s", c.Name, c.config.Client, n, id), WaitMS: 3000, LengthMS: length.Milliseconds()}), 0)
}

func (c *partClients) Opened(*transport.Conn) {}

func (c *partClients) Closed(conn *transport.Conn, cause error, _ []uint64) {
	c.counter.open.Add(-1)
	if transport.CauseLabel(cause) != "here" {
		c.counter.update(func(s *Sample) { s.Lost++ })
	}
	c.mu.Lock()
	delete(c.pendingDuplicates, conn)
	c.mu.Unlock()
}

func (c *partClients) Message(conn *transport.Conn, raw []byte) {
	m, err := wire.DecodeSessionMessage(raw)
	if err != nil {
		return
	}
	switch m.Type {
	case wire.Playing:
		if m.ID == "c" {
			c.mu.Lock()
			q := c.pendingDuplicates[conn]
			if len(q) > 0 {
				c.pendingDuplicates[conn] = q[1:]
			}
			c.mu.Unlock()
			if len(q) > 0 {
				c.counter.recordAnswer(q[0])
			}
			return
		}
		if due, err := strconv.ParseInt(m.ID[1:], 36, 64); err == nil {
			c.counter.recordAnswer(time.Duration(due))
		}
	case wire.Nack:
		c.counter.update(func(s *Sample) { s.Nacked++ })
	case wire.Errored:
		c.counter.update(func(s *Sample) { s.Errored++ })
	}
}

// maxReconnecting bounds the simultaneous connections of runReconnects in one process.
const maxReconnecting = 2000

// runReconnects connects clients at a rate. Each requests a session and closes its connection after the session's
// length. Latencies count from the client's due time and so include the time to connect.
func (c *partClients) runReconnects(ctx context.Context, startedAt time.Duration) {
	slots := make(chan bool, maxReconnecting)
	var wait sync.WaitGroup
	defer wait.Wait()
	c.schedule(ctx, startedAt, func(n int, due time.Duration) {
		select {
		case slots <- true:
		default:
			c.counter.update(func(s *Sample) { s.Rejected++ })
			return
		}
		wait.Go(func() {
			defer func() { <-slots }()
			conn, err := c.dial(n)
			if err != nil {
				c.counter.update(func(s *Sample) { s.Rejected++ })
				return
			}
			c.sendRequest(conn, "r"+strconv.FormatInt(int64(due), 36), n)
			select {
			case <-ctx.Done():
			case <-time.After(c.Length):
			}
			conn.Close(1000, "bye")
		})
	})
}

// The functions below use raw sockets, because a transport.Conn always reads what it receives.

// rawReceiveBuffer is the kernel's receive buffer for a client that does not read. It is as small as possible, so that
// the director has to queue the rest.
const rawReceiveBuffer = 4 << 10

// dialNonReader connects a client that doesn't read after the handshake.
func (c *partClients) dialNonReader(i int) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 20 * time.Second, LocalAddr: &net.TCPAddr{IP: c.source.AsSlice()}}
	conn, err := dialer.Dial("tcp", c.directorAddress(i))
	if err != nil {
		return nil, err
	}
	conn.(*net.TCPConn).SetReadBuffer(rawReceiveBuffer)
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err = io.WriteString(conn, handshakeRequest); err == nil {
		err = readHandshakeResponse(conn)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	c.counter.open.Add(1)
	return conn, nil
}

// readHandshakeResponse reads the response to a handshake and nothing after it.
func readHandshakeResponse(conn net.Conn) error {
	var head []byte
	for buf := make([]byte, 1); len(head) < 4 || string(head[len(head)-4:]) != "\r\n\r\n"; {
		if _, err := conn.Read(buf); err != nil {
			return err
		}
		if head = append(head, buf[0]); len(head) > 4<<10 {
			return fmt.Errorf("handshake response has no end within 4 KiB")
		}
	}
	if string(head[9:12]) != "101" {
		return fmt.Errorf("handshake answered with status %s", head[9:12])
	}
	return nil
}

var longPing = ws.MustCompileFrame(ws.MaskFrame(ws.NewPingFrame(make([]byte, 125))))

// floodPings makes the director write to clients that don't read. Each burst consists of pings on one connection, and
// the director has to answer each ping. Connections that the director closes are replaced.
func (c *partClients) floodPings(ctx context.Context, startedAt time.Duration) {
	if c.Kind == KindSlowReaders {
		for i := range c.rawConns {
			go c.readSlowly(ctx, i)
		}
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			for i := range c.rawConns {
				if closedByPeer(c.rawConn(i)) {
					c.replaceRawConn(i)
				}
			}
		}
	}()
	c.schedule(ctx, startedAt, func(n int, _ time.Duration) {
		conn := c.rawConn(n % len(c.rawConns))
		for range c.Bytes / len(longPing) {
			conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			if _, err := conn.Write(longPing); err != nil {
				return
			}
		}
	})
	<-ctx.Done()
	for i := range c.rawConns {
		c.rawConn(i).Close()
	}
}

func (c *partClients) rawConn(i int) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rawConns[i]
}

func (c *partClients) replaceRawConn(i int) {
	c.rawConn(i).Close()
	c.counter.open.Add(-1)
	c.counter.update(func(s *Sample) { s.Lost++ })
	conn, err := c.dialNonReader(i)
	if err != nil {
		c.counter.update(func(s *Sample) { s.Rejected++ })
		return
	}
	c.mu.Lock()
	c.rawConns[i] = conn
	c.mu.Unlock()
}

// closedByPeer reports whether the peer has closed a connection. It asks the kernel, since the client doesn't read.
func closedByPeer(conn net.Conn) (closed bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	const established = 1
	err = raw.Control(func(fd uintptr) {
		info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = e != nil || info.State != established
	})
	return closed || err != nil
}

// readSlowly reads one byte per second from a connection.
func (c *partClients) readSlowly(ctx context.Context, i int) {
	buf := make([]byte, 1)
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		conn := c.rawConn(i)
		conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		conn.Read(buf)
	}
}
