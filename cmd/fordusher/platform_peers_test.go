package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fordusher/internal/loopback"
	"fordusher/internal/platformtest"
)

// The peers of tests that run the program as the platform runs it: as a process between media nodes, a discovery server
// and clients. The peers are written from the protocol documents, and tests control when they answer.

const waitTimeout = 20 * time.Second // the longest that a test waits for an expected event

// eventually waits until ok returns true, and fails the test with the message after waitTimeout.
func eventually(t *testing.T, message string, ok func() bool) {
	t.Helper()
	platformtest.Eventually(t, waitTimeout, message, ok)
}

// A mediaNode is a streaming server that answers set-ups with 200. While it is holding, it keeps its answers back.
type mediaNode struct {
	*platformtest.Server
	mu      sync.Mutex
	holding bool
	// setupReply returns the bytes that the node sends for a set-up, in one write; nil: those of setupResponse
	setupReply  func(session string) string
	heldAnswers []func()
	sessions    []string       // sessions set up, in order
	timeouts    []setupTimeout // the time-out stated in each set-up, in the same order
}

// A setupTimeout is the time that a director states in a set-up as its time-out, and the time when the set-up arrived.
type setupTimeout struct {
	receivedAt time.Time
	timeout    time.Duration
}

func newMediaNode(t *testing.T) *mediaNode {
	n := &mediaNode{}
	n.Server = platformtest.Serve(t, n.serve)
	return n
}

// setupResponse is a node's answer that a session is set up.
func setupResponse(session string) string { return platformtest.Response(session, "200 OK", "here\n") }

func (n *mediaNode) serve(c net.Conn) {
	r := textproto.NewReader(bufio.NewReader(c))
	for {
		first, err := r.ReadLine()
		if err != nil {
			return
		}
		header, err := r.ReadMIMEHeader()
		if err != nil {
			return
		}
		length, _ := strconv.Atoi(header.Get("Content-Length"))
		if _, err := io.CopyN(io.Discard, r.R, int64(length)); err != nil {
			return
		}
		if !strings.HasPrefix(first, "SETUP ") {
			continue
		}
		session := header.Get("Session")
		answer := func() {
			io.WriteString(c, setupResponse(session))
		}
		n.mu.Lock()
		if reply := n.setupReply; reply != nil {
			answer = func() { io.WriteString(c, reply(session)) }
		}
		n.sessions = append(n.sessions, session)
		milliseconds, _ := strconv.Atoi(header.Get("X-Setup-Ms"))
		n.timeouts = append(n.timeouts, setupTimeout{time.Now(), time.Duration(milliseconds) * time.Millisecond})
		if n.holding {
			n.heldAnswers = append(n.heldAnswers, answer)
		} else {
			answer()
		}
		n.mu.Unlock()
	}
}

// hold makes the node keep back its answers until release.
func (n *mediaNode) hold() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holding = true
}

// release sends the answers that were kept back, and makes the node answer at once again.
func (n *mediaNode) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holding = false
	for _, answer := range n.heldAnswers {
		answer()
	}
	n.heldAnswers = nil
}

func (n *mediaNode) setupCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions)
}

// A platformDirector is a director that runs as a process, with its address, configuration file and log.
type platformDirector struct {
	t       *testing.T
	cmd     *exec.Cmd
	address string
	config  string
	mu      sync.Mutex
	log     bytes.Buffer
	done    chan error
}

func (d *platformDirector) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.Write(b)
}

func (d *platformDirector) logText() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// A platformConfig has the values of the platform's start configuration that differ between tests.
type platformConfig struct {
	listen, discovery string
	sockets           int
	memoryMB          int    // 0: 192
	program           string // path of the program; empty: the test binary itself
	nodes             []*mediaNode
	deadline          float64
}

func (c platformConfig) json() string {
	var targets []string
	for i, n := range c.nodes {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"z","model":"box","pod_group":%d,"state":"ready","capacity_hint":1,"boot_ms":0}`,
			i, n.Address(), i))
	}
	memoryMB := c.memoryMB
	if memoryMB == 0 {
		memoryMB = 192
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1f","board":%q,"limits":{"cores":1,"memory_mb":%d,"sockets":%d},
 "known":{"rev":3,"notices":[{"rev":3,"pool":{"rev":3,"all":true,"targets":[%s]}}]},
 "settings":{"balancers":1,"me":0,"zone":"z","zones":["z"],"flavors":["box"],
 "classes":[{"name":"clip","target_s":%g,"give_up_s":%g,"semantics":"free","credit":1}],
 "family_info":{"positions":%d,"shelves":1,"kind_slots":[100],"ladder_kb":[100,200],"level_worth":[0.5,1],"link_unit_kb":10000,
  "rack_link_kb":10000000,"told_every_s":30,"told_late_s":1},
 "permissions":{"max_attempts":4,"connect_timeout_s":0.5,"conn_idle_s":30},"report":{"fields":["x0","x1"]},
 "rules":{"cold_from":0.5,"fall_multiple":4,"ramp_time_s":0.1,"tip_after_s":0.05}}}`,
		c.listen, c.discovery, memoryMB, c.sockets, strings.Join(targets, ","), c.deadline, c.deadline, len(c.nodes))
}

// freeAddress returns a loopback address that nothing listens on. It stays reserved for the test's own listeners until
// the test ends.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { address.Close() })
	return address.String()
}

// startPlatformDirector starts a director and waits until it listens and its slow start is over.
func startPlatformDirector(t *testing.T, c platformConfig) *platformDirector {
	t.Helper()
	d := &platformDirector{t: t, address: c.listen, config: file(t, "config.json", c.json()), done: make(chan error, 1)}
	d.cmd = command(t, "platform")
	if c.program != "" {
		d.cmd = exec.Command(c.program, "platform")
		d.cmd.Env = os.Environ()
	}
	// With the race detector a process sleeps for a second at its exit by default, which counts against the program.
	d.cmd.Env = append(d.cmd.Env, "PROXY_CONFIG="+d.config, fmt.Sprintf("FORDUSHER_FILES=%d", c.sockets), "GORACE=atexit_sleep_ms=0")
	d.cmd.Stderr = d
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { d.done <- d.cmd.Wait() }()
	t.Cleanup(func() {
		d.cmd.Process.Kill()
		if t.Failed() {
			t.Log(d.logText())
		}
	})
	eventually(t, "the director does not listen", func() bool {
		c, err := net.Dial("tcp", d.address)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	time.Sleep(150 * time.Millisecond) // past the slow start after a director's start, as set in the configuration
	return d
}

// A client is a client connection to a director.
type client struct {
	t    *testing.T
	conn net.Conn
}

func (d *platformDirector) connect() *client {
	d.t.Helper()
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(waitTimeout))
	return &client{d.t, c}
}

// binaryMessage encodes a message of the platform's client protocol. The parameters are pairs of a code and a value.
func binaryMessage(kind byte, session uint64, params ...any) []byte {
	raw := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, session)
	for i := 0; i < len(params); i += 2 {
		value := params[i+1].(string)
		raw = append(raw, byte(params[i].(int)), byte(len(value)>>8), byte(len(value)))
		raw = append(raw, value...)
	}
	binary.BigEndian.PutUint16(raw, uint16(len(raw)-2))
	return raw
}

// setupRequestAt is a request for a title whose first cell is home and that has the given number of copies.
func setupRequestAt(session uint64, home, copies int) []byte {
	return setupRequestWithin(session, home, copies, 10*time.Second)
}

// setupRequestWithin is such a request from a client that waits for the given time.
func setupRequestWithin(session uint64, home, copies int, wait time.Duration) []byte {
	return binaryMessage(1, session, 33, "clip", 36, strconv.FormatInt(wait.Milliseconds(), 10), 45, "7f3a9c21e0b4d655", 63, "8200.0",
		48, fmt.Sprintf("home:%d;copies:%d;top:1;viewer:00000000b4d65521", home, copies), 78, "there\n")
}

func setupRequest(session uint64) []byte { return setupRequestAt(session, 0, 1) }

func probeRequest() []byte { return binaryMessage(52, 1, 75, "\x00") }

// sessionName is how a session is named in messages to and from nodes.
func sessionName(session uint64) string { return fmt.Sprintf("%016x", session) }

// The kinds of messages that the tests expect from a director. Clients send kindRelease too, to end a session.
const (
	kindAnswer     = 9
	kindRelease    = 12
	kindAck        = 16
	kindProbeReply = 53
)

// next reads a message and returns its kind and session, or kind 0 if the connection has ended.
func (c *client) next() (kind byte, session uint64) {
	c.t.Helper()
	lengthField := make([]byte, 2)
	if _, err := io.ReadFull(c.conn, lengthField); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.t.Fatal("no message before the deadline")
		}
		return 0, 0
	}
	raw := make([]byte, binary.BigEndian.Uint16(lengthField))
	if _, err := io.ReadFull(c.conn, raw); err != nil {
		return 0, 0
	}
	return raw[0], binary.BigEndian.Uint64(raw[1:])
}

func (c *client) expect(kind byte, session uint64) {
	c.t.Helper()
	if k, s := c.next(); k != kind || s != session {
		c.t.Fatalf("got kind %d of session %d, want kind %d of session %d", k, s, kind, session)
	}
}

// keepIdleClients connects idle clients, which send a probe or nothing, until the test ends. At most so many are
// connected at a time; the oldest makes way for the next.
func keepIdleClients(t *testing.T, address string, most int) {
	stop, ended := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stop); <-ended })
	go func() {
		defer close(ended)
		var idle []net.Conn
		for i := 0; ; i++ {
			select {
			case <-stop:
				for _, c := range idle {
					c.Close()
				}
				return
			default:
			}
			c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			if i%3 != 0 {
				c.Write(probeRequest())
			}
			if idle = append(idle, c); len(idle) > most {
				idle[0].Close()
				idle = idle[1:]
			}
			time.Sleep(500 * time.Microsecond)
		}
	}()
}
