package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
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

// tryUpgrade tries a handshake and returns the HTTP answer's status and its Retry-After.
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

// No room: newcomers are answered 503 with a time to come back, who plays goes on, and once somebody has
// left there is room again.
func TestNoRoomIsSaidAtTheHandshake(t *testing.T) {
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
		eventually(t, "nobody who plays is let go", func() bool { _, busy := p.d.ConnectionUsage(); return busy == 19 })
	}
	for _, c := range conns[:10] {
		c.Close(1000, "")
	}
	eventually(t, "room again", func() bool {
		status, _ := tryUpgrade(t, p.d.Address())
		return status == "101"
	})
	p.d.Stop()
	eventually(t, "nobody is let in by a director that closes", func() bool {
		c, err := net.Dial("tcp", p.d.Address())
		if err != nil {
			return true
		}
		c.Close()
		return false
	})
}

// Idle players are let go, longest idle first, with 1013 and a time to come back; the one with a session stays.
func TestIdleGoFirstAndAreToldWhenToComeBack(t *testing.T) {
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
	if why := idle[0].end(t).Error(); !strings.Contains(why, "1013 retry-ms=") {
		t.Fatal(why)
	}
	select {
	case why := <-playing.closed:
		t.Fatal("the one that plays was let go: ", why)
	case why := <-idle[17].closed:
		t.Fatal("the last to come was let go first: ", why)
	case <-time.After(100 * ms):
	}
}

// Handshakes that never come whole hold no more than their bound and are cut off; others get in meanwhile
// or are reset at once, and connect once the slow ones are gone.
func TestSlowHandshakesAreBounded(t *testing.T) {
	p := newFixture(t, 1, `"limits": {`, `"limits": {"connections": 1000, "handshakes": 16, "players": {"handshake": "300ms"}, `)
	for range 40 {
		c, err := net.Dial("tcp", p.d.Address())
		if errors.Is(err, syscall.ECONNRESET) { // over the bound: the reset may be there before connect returns
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET / HT")
	}
	eventually(t, "a player gets in", func() bool {
		c, err := transport.Dial(p.d.Address(), wire.SessionProtocol, 500*ms, transport.Limits{MaxMessageBytes: 4096, MaxQueuedBytes: 4096},
			&client{make(chan string, 10), make(chan error, 1)}, nil)
		if err == nil {
			c.Abort()
		}
		return err == nil
	})
}

// Players that connect and never read, while others are served as ever.
func TestNeverReadersCostOthersNothing(t *testing.T) {
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

// A player that makes the director write and reads nothing is cut off by a reset: an orderly close would
// wait in the kernel behind what the player does not read, and so would what is unsent.
func TestNeverReaderIsReset(t *testing.T) {
	p := newFixture(t, 1, `"inbox": 64`, `"inbox": 1000000`)
	// Set before it connects: a window that shrinks afterwards makes the kernel drop what the director has sent into it,
	// the acknowledgements in it included, and at times both sides then wait for each other.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	c, err := dialer.Dial("tcp", p.d.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, upgradeRequest)
	time.Sleep(100 * ms) // the handshake has to be answered before anything else comes
	ask := ws.MustCompileFrame(ws.MaskFrame(ws.NewTextFrame(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: "1", Tariff: "clip", Title: "none", Key: "k", WaitMS: 1000}))))
	c.SetWriteDeadline(time.Now().Add(20 * time.Second))
	for range 200_000 { // each is answered as before; the reset ends this
		if _, err = c.Write(ask); err != nil {
			break
		}
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Fatal(err)
	}
	eventually(t, "forgotten", func() bool { used, _ := p.d.ConnectionUsage(); return used == 0 })
}

// The process stood still for longer than three signs of life: nobody is closed for it.
func TestStallClosesNobody(t *testing.T) {
	p := newFixture(t, 1, `"ping": "100ms"`, `"ping": "100ms", "ping_players": "200ms"`)
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	network := transport.NewMemoryNetwork(over)
	gone := make(chan string, 1000)
	for i := range 500 {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 1)
		first := true
		var c *transport.Conn
		c = p.d.Attach(network, from, func(b []byte) {
			switch {
			case first:
				first = false
			case b[0] == 0x89:
				c.Receive([]byte{0x8a, 0x80, 0, 0, 0, 0})
			default:
				gone <- string(b)
			}
		})
		c.Receive([]byte(upgradeRequest))
	}
	eventually(t, "all are in", func() bool { used, _ := p.d.ConnectionUsage(); return used >= 500 })
	p.d.AdvanceClock(5 * time.Second)
	time.Sleep(1500 * ms)
	select {
	case b := <-gone:
		t.Fatalf("closed: %q", b)
	default:
	}
	if used, _ := p.d.ConnectionUsage(); used < 500 {
		t.Fatal(used)
	}
}

// A player that floods pings is worked off or cut off; others are answered meanwhile.
func TestFloodOfPingsDisturbsNobody(t *testing.T) {
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
		for range 2000 { // bounded: twelve megabytes at most
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

// The room is full while the director is ordered to stop: who plays has its time, newcomers are told that it
// closes, and it ends within its term.
func TestFullWhileClosing(t *testing.T) {
	p := newFixture(t, 1, `"limits": {`, `"limits": {"connections": 20, "handshakes": 20, `)
	for i := range 19 {
		c, in := dial(t, p.d.Address())
		c.Send(requestMessage(fmt.Sprint(i), "clip"), 0)
		if m := in.answer(t); m.Type != wire.Playing {
			t.Fatal(m)
		}
	}
	p.d.Stop()
	eventually(t, "newcomers are turned away", func() bool {
		c, err := net.Dial("tcp", p.d.Address())
		if err != nil {
			return true // it has ended already
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
		t.Fatal("it does not end")
	}
}
