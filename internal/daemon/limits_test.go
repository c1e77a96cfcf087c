package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gobwas/ws"
	"golang.org/x/sys/unix"

	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

const upgradeRequest = "GET / HTTP/1.1\r\nHost: d\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n" +
	"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: " + wire.SessionProtocol + "\r\n\r\n"

// tryUpgrade attempts a WebSocket handshake and returns the status and the Retry-After header of the HTTP response.
func tryUpgrade(t *testing.T, address string) (status, retry string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, upgradeRequest)
	buf := make([]byte, 1024)
	n, _ := c.Read(buf)
	head := string(buf[:n])
	for _, line := range strings.Split(head, "\r\n") {
		if v, ok := strings.CutPrefix(line, "Retry-After: "); ok {
			retry = v
		}
	}
	status, _, _ = strings.Cut(strings.TrimPrefix(head, "HTTP/1.1 "), " ")
	return status, retry
}

// A full director rejects new connections with status 503 and a Retry-After header, and keeps the clients that play. It
// accepts connections again once clients have left.
func TestFullDirectorRejectsAtTheHandshake(t *testing.T) {
	p := newFixture(t, 1, `"limits": {`, `"limits": {"connections": 20, "handshakes": 20, `)
	var conns []*transport.Conn
	for i := range 19 { // 95%: full
		c, in := dial(t, p.d.Address())
		c.Send(requestMessage(fmt.Sprint(i), "clip"), 0)
		if m := in.answer(t); m.Type != wire.Playing {
			t.Fatal(m)
		}
		conns = append(conns, c)
	}
	if status, retry := tryUpgrade(t, p.d.Address()); status != "503" || retry == "" {
		t.Fatal(status, retry)
	}
	if _, busy := p.d.ConnectionUsage(); busy != 19 {
		eventually(t, "all playing clients stay connected", func() bool { _, busy := p.d.ConnectionUsage(); return busy == 19 })
	}
	for _, c := range conns[:10] {
		c.Close(1000, "")
	}
	eventually(t, "a connection is accepted again", func() bool {
		status, _ := tryUpgrade(t, p.d.Address())
		return status == "101"
	})
	p.d.Stop()
	eventually(t, "a director that shuts down accepts no connections", func() bool {
		c, err := net.Dial("tcp", p.d.Address())
		if err != nil {
			return true
		}
		c.Close()
		return false
	})
}

// Idle clients are evicted, the longest idle first, with close code 1013 and a time after which to retry. A client with
// a session stays connected.
func TestIdleClientsAreEvictedFirstWithRetryAfter(t *testing.T) {
	p := newFixture(t, 1, `"limits": {`, `"limits": {"connections": 20, "handshakes": 20, `)
	busy, playing := dial(t, p.d.Address())
	busy.Send(requestMessage("1", "clip"), 0)
	if m := playing.answer(t); m.Type != wire.Playing {
		t.Fatal(m)
	}
	var idle []*client
	for range 18 {
		_, in := dial(t, p.d.Address())
		idle = append(idle, in)
	}
	if reason := idle[0].end(t).Error(); !strings.Contains(reason, "1013 retry-ms=") {
		t.Fatal(reason)
	}
	select {
	case reason := <-playing.closed:
		t.Fatal("the client that plays was evicted: ", reason)
	case reason := <-idle[17].closed:
		t.Fatal("the client that connected last was evicted first: ", reason)
	case <-time.After(100 * ms):
	}
}

// Connections that never complete their handshake are bounded in number and time. Other clients connect meanwhile, or
// are reset at once and connect after the handshake time-out of the slow ones.
func TestSlowHandshakesAreBounded(t *testing.T) {
	p := newFixture(t, 1, `"limits": {`, `"limits": {"connections": 1000, "handshakes": 16, "players": {"handshake": "300ms"}, `)
	for range 40 {
		c, err := net.Dial("tcp", p.d.Address())
		if errors.Is(err, syscall.ECONNRESET) { // over the bound: the reset may arrive before connect returns
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET / HT")
	}
	eventually(t, "a client connects", func() bool {
		c, err := transport.Dial(p.d.Address(), wire.SessionProtocol, 500*ms, transport.Limits{MaxMessageBytes: 4096, MaxQueuedBytes: 4096},
			&client{make(chan string, 10), make(chan error, 1)}, nil)
		if err == nil {
			c.Abort()
		}
		return err == nil
	})
}

// Clients that connect and never read do not keep other clients from being served.
func TestNonReadingClientsDoNotDelayOthers(t *testing.T) {
	p := newFixture(t, 2)
	for range 300 {
		c, err := net.Dial("tcp", p.d.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, upgradeRequest)
	}
	for i := range 50 {
		c, in := dial(t, p.d.Address())
		c.Send(requestMessage(fmt.Sprint(i), "clip"), 0)
		if m := in.answer(t); m.Type != wire.Playing {
			t.Fatal(i, m)
		}
	}
}

// The connection of a client that causes answers and reads none of them is reset. With an orderly close, the close and
// the unsent data would wait in the kernel behind the data that the client does not read.
func TestNonReadingClientIsReset(t *testing.T) {
	p := newFixture(t, 1, `"inbox": 64`, `"inbox": 1000000`)
	// The receive buffer is set before the connection is made. If the window shrank afterwards, the kernel would drop
	// what the director has sent into it, with the acknowledgements, and sometimes both sides would then wait for each
	// other.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	c, err := dialer.Dial("tcp", p.d.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, upgradeRequest)
	time.Sleep(100 * ms) // the handshake has to be answered before the first message is sent
	request := ws.MustCompileFrame(ws.MaskFrame(ws.NewTextFrame(wire.Encode(wire.SessionMessage{
		Type: wire.Request, ID: "1", Tariff: "clip", Title: "none", Key: "k", WaitMS: 1000}))))
	c.SetWriteDeadline(time.Now().Add(20 * time.Second))
	for range 200_000 { // each repeated request is answered again, until the reset ends the loop
		if _, err = c.Write(request); err != nil {
			break
		}
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Fatal(err)
	}
	eventually(t, "the connection is removed", func() bool { used, _ := p.d.ConnectionUsage(); return used == 0 })
}

// A pause of the process that lasts longer than three heartbeat intervals must not close any client's connection.
func TestProcessPauseClosesNoClient(t *testing.T) {
	p := newFixture(t, 1, `"ping": "100ms"`, `"ping": "100ms", "ping_players": "200ms"`)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	network := transport.NewMemoryNetwork(done)
	closed := make(chan string, 1000)
	for i := range 500 {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 1)
		first := true
		var c *transport.Conn
		var receiving sync.Mutex // calls of Receive for one connection must not overlap
		receive := func(in []byte) {
			receiving.Lock()
			defer receiving.Unlock()
			c.Receive(in)
		}
		c = p.d.AttachInMemory(network, from, func(b []byte) {
			switch {
			case first:
				first = false
			case b[0] == 0x89:
				receive([]byte{0x8a, 0x80, 0, 0, 0, 0})
			default:
				closed <- string(b)
			}
		})
		receive([]byte(upgradeRequest))
	}
	eventually(t, "all clients are connected", func() bool { used, _ := p.d.ConnectionUsage(); return used >= 500 })
	p.d.AdvanceClock(5 * time.Second)
	time.Sleep(1500 * ms)
	select {
	case b := <-closed:
		t.Fatalf("a client received %q after the pause", b)
	default:
	}
	if used, _ := p.d.ConnectionUsage(); used < 500 {
		t.Fatal(used)
	}
}

// A flood of pings from one client is either processed or ends its connection; other clients are answered meanwhile.
func TestPingFloodDoesNotDelayOthers(t *testing.T) {
	p := newFixture(t, 1)
	c, err := net.Dial("tcp", p.d.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, upgradeRequest)
	stop := make(chan bool)
	defer close(stop)
	go func() {
		pings := bytes.Repeat([]byte{0x89, 0x80, 0, 0, 0, 0}, 1000)
		for range 2000 { // 12 MB at most
			select {
			case <-stop:
				return
			default:
			}
			c.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := c.Write(pings); err != nil {
				return
			}
		}
	}()
	for i := range 20 {
		o, in := dial(t, p.d.Address())
		o.Send(requestMessage(fmt.Sprint(i), "clip"), 0)
		if m := in.answer(t); m.Type != wire.Playing {
			t.Fatal(i, m)
		}
	}
}

// A director that is full when it is stopped rejects new connections and still ends. The sessions that play have until
// the shutdown time-out.
func TestShutdownWhileFull(t *testing.T) {
	p := newFixture(t, 1, `"limits": {`, `"limits": {"connections": 20, "handshakes": 20, `)
	for i := range 19 {
		c, in := dial(t, p.d.Address())
		c.Send(requestMessage(fmt.Sprint(i), "clip"), 0)
		if m := in.answer(t); m.Type != wire.Playing {
			t.Fatal(m)
		}
	}
	p.d.Stop()
	eventually(t, "new connections are rejected", func() bool {
		c, err := net.Dial("tcp", p.d.Address())
		if err != nil {
			return true // the director has ended already
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(c, upgradeRequest)
		head := make([]byte, 12)
		n, err := io.ReadFull(c, head)
		return err != nil && n == 0 || string(head[9:12]) == "503"
	})
	select {
	case <-p.d.Done():
	case <-time.After(15 * time.Second):
		t.Fatal("the director did not end")
	}
}
