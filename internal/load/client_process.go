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

// A ClientOrder is what a client process is told on its standard input, one JSON object on a line.
type ClientOrder struct {
	Client    int           `json:"client"`
	Seed      uint64        `json:"seed"`
	Parts     []Part        `json:"parts"`
	Directors []string      `json:"directors"`
	Titles    int           `json:"titles"`
	Warmup    time.Duration `json:"warm"`
	Duration  time.Duration `json:"for"`
}

// A Sample is what one part of one client did in one second.
type Sample struct {
	Second   int    `json:"second"` // since the parts began
	Part     string `json:"part"`
	Due      int64  `json:"due"`
	Answered int64  `json:"answered"` // as wished: it plays
	Nacked   int64  `json:"nacked"`
	Errored  int64  `json:"errored"`
	Rejected int64  `json:"turned"` // connections turned away or failed
	Lost     int64  `json:"lost"`   // connections that ended without our doing
	Open     int64  `json:"open"`   // connections now
	Latency  []byte `json:"latency,omitempty"`
}

// tally is a part's count of the running second.
type tally struct {
	mu   sync.Mutex
	now  Sample
	h    *hdrhistogram.Histogram
	open atomic.Int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func (t *tally) add(f func(s *Sample)) {
	t.mu.Lock()
	f(&t.now)
	t.mu.Unlock()
}

func (t *tally) took(due time.Duration) {
	t.mu.Lock()
	t.now.Answered++
	t.h.RecordValue(max(1, (rulecheck.MonotonicNow() - due).Microseconds()))
	t.mu.Unlock()
}

// turn returns the second's sample and begins the next.
func (t *tally) turn(second int, part string) (Sample, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.now
	s.Second, s.Part, s.Open = second, part, t.open.Load()
	t.now = Sample{}
	if t.h.TotalCount() == 0 {
		return s, nil
	}
	var err error
	s.Latency, err = t.h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	t.h.Reset()
	return s, err
}

// A crowd is one part's clients in one process.
type crowd struct {
	Part
	o      ClientOrder
	r      *rand.Rand // of the schedule
	source netip.Addr
	tally  tally
	conns  []*transport.Conn
	raw    []net.Conn
	mu     sync.Mutex
	asked  map[*transport.Conn][]time.Duration // chatter: due times of repetitions under way, at most 64 each
}

// RunClient is a client process: it reads an order from in, connects, says that it is ready, waits for a line
// with the time to begin, and writes a sample a second for each part.
func RunClient(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	if !lines.Scan() {
		return fmt.Errorf("no order")
	}
	var o ClientOrder
	if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
		return err
	}
	say := json.NewEncoder(out)
	crowds := make([]*crowd, len(o.Parts))
	for i, p := range o.Parts {
		// Each client comes from addresses of its own, so that ports do not run out.
		crowds[i] = &crowd{Part: p, o: o, r: rand.New(rand.NewPCG(o.Seed, uint64(o.Client*100+i))),
			source: netip.AddrFrom4([4]byte{127, 0, byte(1 + o.Client), byte(1 + i)}), asked: map[*transport.Conn][]time.Duration{},
			tally: tally{h: newHistogram()}}
		if err := crowds[i].connect(ctx); err != nil {
			return fmt.Errorf("part %s: %w", p.Name, err)
		}
	}
	if err := say.Encode(map[string]bool{"ready": true}); err != nil || !lines.Scan() {
		return err
	}
	began, err := strconv.ParseInt(lines.Text(), 10, 64)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	for _, c := range crowds {
		wait.Go(func() { c.run(ctx, time.Duration(began)) })
	}
	seconds := int((o.Warmup + o.Duration) / time.Second)
	for second := range seconds + 1 { // the last is for answers to what was due before
		time.Sleep(time.Duration(began) + time.Duration(second+1)*time.Second - rulecheck.MonotonicNow())
		for _, c := range crowds {
			s, err := c.tally.turn(second, c.Name)
			if err == nil {
				err = say.Encode(s)
			}
			if err != nil {
				return err
			}
		}
	}
	cancel()
	wait.Wait()
	for _, c := range crowds {
		for _, x := range c.conns {
			x.Abort()
		}
	}
	return nil
}

// director is where a connection goes.
func (c *crowd) director(i int) string { return c.o.Directors[(i+c.o.Client)%len(c.o.Directors)] }

func (c *crowd) dial(i int) (*transport.Conn, error) {
	x, err := transport.DialFrom(c.source, c.director(i), wire.SessionProtocol, 20*time.Second, bounds, c, nil)
	if err == nil {
		c.tally.open.Add(1)
	}
	return x, err
}

// connect opens the part's connections, some at a time.
func (c *crowd) connect(ctx context.Context) error {
	if c.Kind == KindReconnects {
		return nil
	}
	const atOnce = 16
	var mu sync.Mutex
	var wait sync.WaitGroup
	var first error
	for k := range min(atOnce, c.Connections) {
		wait.Go(func() {
			for i := k; i < c.Connections && ctx.Err() == nil; i += atOnce {
				var err error
				var x *transport.Conn
				var raw net.Conn
				if c.Kind == KindSlowReaders || c.Kind == KindNeverReaders {
					raw, err = c.stubborn(i)
				} else {
					x, err = c.dial(i)
				}
				mu.Lock()
				switch {
				case err != nil && first == nil:
					first = err
				case raw != nil:
					c.raw = append(c.raw, raw)
				case x != nil:
					c.conns = append(c.conns, x)
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return first
}

func (c *crowd) run(ctx context.Context, began time.Duration) {
	switch c.Kind {
	case KindIdle:
		<-ctx.Done()
	case KindSetups:
		c.schedule(ctx, began, func(n int, due time.Duration) {
			c.ask(c.conns[n%len(c.conns)], "s"+strconv.FormatInt(int64(due), 36), n)
		})
	case KindDuplicates:
		for i, x := range c.conns {
			c.ask(x, "c", i)
		}
		c.schedule(ctx, began, func(n int, due time.Duration) {
			x := c.conns[n%len(c.conns)]
			c.mu.Lock()
			if q := c.asked[x]; len(q) < 64 {
				c.asked[x] = append(q, due)
			}
			c.mu.Unlock()
			c.ask(x, "c", n%len(c.conns))
		})
	case KindReconnects:
		c.reconnects(ctx, began)
	default:
		c.press(ctx, began)
	}
}

// schedule calls send for each request when it is due, or at once where that is past.
func (c *crowd) schedule(ctx context.Context, began time.Duration, send func(n int, due time.Duration)) {
	if c.Rate == 0 || c.Connections == 0 {
		<-ctx.Done()
		return
	}
	due, end := began, began+c.o.Warmup+c.o.Duration
	for n := 0; ; n++ {
		due += time.Duration(c.r.ExpFloat64() / c.Rate * float64(time.Second))
		if due >= end || ctx.Err() != nil {
			return
		}
		for now := rulecheck.MonotonicNow(); now < due; now = rulecheck.MonotonicNow() {
			time.Sleep(due - now)
		}
		c.tally.add(func(s *Sample) { s.Due++ })
		send(n, due)
	}
}

// ask asks for a session; the id of a set-up's request holds when it was due.
func (c *crowd) ask(x *transport.Conn, id string, n int) {
	length := c.Length
	if c.Kind == KindDuplicates {
		length = c.o.Warmup + c.o.Duration
	}
	x.Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: id, Tariff: "clip", Title: "title-" + strconv.Itoa(n%c.o.Titles),
		Key: fmt.Sprintf("%s-%d-%d-%s", c.Name, c.o.Client, n, id), WaitMS: 3000, LengthMS: length.Milliseconds()}), 0)
}

func (c *crowd) Opened(*transport.Conn) {}

func (c *crowd) Closed(x *transport.Conn, why error, _ []uint64) {
	c.tally.open.Add(-1)
	if transport.CauseLabel(why) != "here" {
		c.tally.add(func(s *Sample) { s.Lost++ })
	}
	c.mu.Lock()
	delete(c.asked, x)
	c.mu.Unlock()
}

func (c *crowd) Message(x *transport.Conn, raw []byte) {
	m, err := wire.DecodeSessionMessage(raw)
	if err != nil {
		return
	}
	switch m.Type {
	case wire.Playing:
		if m.ID == "c" {
			c.mu.Lock()
			q := c.asked[x]
			if len(q) > 0 {
				c.asked[x] = q[1:]
			}
			c.mu.Unlock()
			if len(q) > 0 {
				c.tally.took(q[0])
			}
			return
		}
		if due, err := strconv.ParseInt(m.ID[1:], 36, 64); err == nil {
			c.tally.took(time.Duration(due))
		}
	case wire.Nack:
		c.tally.add(func(s *Sample) { s.Nacked++ })
	case wire.Errored:
		c.tally.add(func(s *Sample) { s.Errored++ })
	}
}

// reconnectsMost bounds the players of a process that are on their way at one time.
const reconnectsMost = 2000

// reconnects lets players come, ask and leave, at a rate. Latency counts from when a player was due, so it
// has the connection in it.
func (c *crowd) reconnects(ctx context.Context, began time.Duration) {
	slots := make(chan bool, reconnectsMost)
	var wait sync.WaitGroup
	defer wait.Wait()
	c.schedule(ctx, began, func(n int, due time.Duration) {
		select {
		case slots <- true:
		default:
			c.tally.add(func(s *Sample) { s.Rejected++ })
			return
		}
		wait.Go(func() {
			defer func() { <-slots }()
			x, err := c.dial(n)
			if err != nil {
				c.tally.add(func(s *Sample) { s.Rejected++ })
				return
			}
			c.ask(x, "r"+strconv.FormatInt(int64(due), 36), n)
			select {
			case <-ctx.Done():
			case <-time.After(c.Length):
			}
			x.Close(1000, "bye")
		})
	})
}

// Raw clients, for what no well-behaved one does.

// smallBuffer is what the kernel may hold for a client that does not read: the least, so that what the
// director has to hold shows.
const smallBuffer = 4 << 10

// stubborn connects a client that will not read what comes after the handshake.
func (c *crowd) stubborn(i int) (net.Conn, error) {
	d := net.Dialer{Timeout: 20 * time.Second, LocalAddr: &net.TCPAddr{IP: c.source.AsSlice()}}
	x, err := d.Dial("tcp", c.director(i))
	if err != nil {
		return nil, err
	}
	x.(*net.TCPConn).SetReadBuffer(smallBuffer)
	x.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err = io.WriteString(x, handshake); err == nil {
		err = skipHead(x)
	}
	if err != nil {
		x.Close()
		return nil, err
	}
	x.SetDeadline(time.Time{})
	c.tally.open.Add(1)
	return x, nil
}

// skipHead reads the answer to a handshake and not a byte more.
func skipHead(x net.Conn) error {
	var head []byte
	for one := make([]byte, 1); len(head) < 4 || string(head[len(head)-4:]) != "\r\n\r\n"; {
		if _, err := x.Read(one); err != nil {
			return err
		}
		if head = append(head, one[0]); len(head) > 4<<10 {
			return fmt.Errorf("no end of the handshake")
		}
	}
	if string(head[9:12]) != "101" {
		return fmt.Errorf("handshake answered %s", head[9:12])
	}
	return nil
}

var longPing = ws.MustCompileFrame(ws.MaskFrame(ws.NewPingFrame(make([]byte, 125))))

// press lets clients that do not read make the director write: each burst is pings on one connection, each
// of which it has to answer. A connection that the director ends is replaced.
func (c *crowd) press(ctx context.Context, began time.Duration) {
	if c.Kind == KindSlowReaders {
		for i := range c.raw {
			go c.sip(ctx, i)
		}
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			for i := range c.raw {
				if ended(c.at(i)) {
					c.replace(i)
				}
			}
		}
	}()
	c.schedule(ctx, began, func(n int, _ time.Duration) {
		x := c.at(n % len(c.raw))
		for range c.Bytes / len(longPing) {
			x.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			if _, err := x.Write(longPing); err != nil {
				return
			}
		}
	})
	<-ctx.Done()
	for i := range c.raw {
		c.at(i).Close()
	}
}

func (c *crowd) at(i int) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw[i]
}

func (c *crowd) replace(i int) {
	c.at(i).Close()
	c.tally.open.Add(-1)
	c.tally.add(func(s *Sample) { s.Lost++ })
	x, err := c.stubborn(i)
	if err != nil {
		c.tally.add(func(s *Sample) { s.Rejected++ })
		return
	}
	c.mu.Lock()
	c.raw[i] = x
	c.mu.Unlock()
}

// ended asks the kernel whether the other side has ended a connection, without reading.
func ended(x net.Conn) (yes bool) {
	raw, err := x.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	const established = 1
	err = raw.Control(func(fd uintptr) {
		info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		yes = e != nil || info.State != established
	})
	return yes || err != nil
}

// sip reads a byte a second.
func (c *crowd) sip(ctx context.Context, i int) {
	one := make([]byte, 1)
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		x := c.at(i)
		x.SetReadDeadline(time.Now().Add(time.Millisecond))
		x.Read(one)
	}
}
