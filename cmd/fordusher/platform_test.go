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
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fordusher/internal/loopback"
)

// These tests run the program as the platform runs it: as a process between media nodes, a discovery server and
// clients. The tests implement these peers from the protocol documents, and control when the peers answer.

const waitTimeout = 20 * time.Second // the longest that a test waits for an expected event

// eventually waits until ok returns true, and fails the test with the message after waitTimeout.
func eventually(t *testing.T, message string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}

// A mediaNode is a streaming server that answers set-ups with 200. While it is holding, it keeps its answers back.
type mediaNode struct {
	ln      net.Listener
	mu      sync.Mutex
	holding bool
	// setupReply returns the bytes that the node sends for a set-up, in one write; nil: those of setupResponse
	setupReply  func(session string) string
	heldAnswers []func()
	sessions    []string       // sessions set up, in order
	timeouts    []setupTimeout // the time-out stated in each set-up, in the same order
	conns       []net.Conn
}

// A setupTimeout is the time that a director states in a set-up as its time-out, and the time when the set-up arrived.
type setupTimeout struct {
	receivedAt time.Time
	timeout    time.Duration
}

func newMediaNode(t *testing.T) *mediaNode {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &mediaNode{ln: ln}
	t.Cleanup(func() { ln.Close(); n.closeAll() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns = append(n.conns, c)
			n.mu.Unlock()
			go n.serve(c)
		}
	}()
	return n
}

// setupResponse is a node's answer that a session is set up.
func setupResponse(session string) string {
	return fmt.Sprintf("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 5\r\n\r\nhere\n", session)
}

// releaseRequest is a node's message that a session has ended, with the cause.
func releaseRequest(session string, cause int) string {
	return fmt.Sprintf("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\nReason: cause=%d\r\nContent-Length: 0\r\n\r\n",
		session, cause)
}

func (n *mediaNode) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.Close()
	}
}

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
	nodes             []*mediaNode
	deadline          float64
}

func (c platformConfig) json() string {
	var targets []string
	for i, n := range c.nodes {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"z","model":"box","pod_group":%d,"state":"ready","capacity_hint":1,"boot_ms":0}`,
			i, n.ln.Addr(), i))
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1f","board":%q,"limits":{"cores":1,"memory_mb":192,"sockets":%d},
 "known":{"rev":3,"notices":[{"rev":3,"pool":{"rev":3,"all":true,"targets":[%s]}}]},
 "settings":{"balancers":1,"me":0,"zone":"z","zones":["z"],"flavors":["box"],
 "classes":[{"name":"clip","target_s":%g,"give_up_s":%g,"semantics":"free","credit":1}],
 "family_info":{"positions":%d,"shelves":1,"kind_slots":[100],"ladder_kb":[100,200],"level_worth":[0.5,1],"link_unit_kb":10000,
  "rack_link_kb":10000000,"told_every_s":30,"told_late_s":1},
 "permissions":{"max_attempts":4,"connect_timeout_s":0.5,"conn_idle_s":30},"report":{"fields":["x0","x1"]},
 "rules":{"cold_from":0.5,"fall_multiple":4,"ramp_time_s":0.1,"tip_after_s":0.05}}}`,
		c.listen, c.discovery, c.sockets, strings.Join(targets, ","), c.deadline, c.deadline, len(c.nodes))
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

// A discoveryServer accepts a director's connections and reads the request that begins each: the number of the event
// from which to send updates. It then passes the connection to the test, which sends the events.
type discoveryServer struct {
	ln       net.Listener
	requests chan net.Conn
}

func newDiscoveryServer(t *testing.T, address string) *discoveryServer {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &discoveryServer{ln, make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := io.ReadFull(c, make([]byte, 8)); err == nil {
				s.requests <- c
			}
		}
	}()
	return s
}

// next returns the next connection with a request, and fails the test if there is none within the given time.
func (s *discoveryServer) next(t *testing.T, within time.Duration) net.Conn {
	t.Helper()
	select {
	case c := <-s.requests:
		return c
	case <-time.After(within):
		t.Fatalf("no discovery request within %v", within)
	}
	return nil
}

// nodeStateEvent encodes the discovery event with the given number, which reports the state of a node.
func nodeStateEvent(number uint64, node int, state byte, n *mediaNode) []byte {
	raw := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, 9+27), number)
	raw = binary.BigEndian.AppendUint32(append(raw, 2), uint32(node))
	raw = append(raw, 127, 0, 0, 1)
	raw = binary.BigEndian.AppendUint16(raw, uint16(n.ln.Addr().(*net.TCPAddr).Port))
	raw = append(raw, state, 0, 0, 0, byte(node))
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(raw, 1000), 0)
}

// Idle clients that keep connecting fill a small descriptor limit while discovery is down. Guards against a director
// that then can't connect to its 200 media nodes, serve a new client, or reconnect to discovery once it is back.
func TestIdleClientsFillDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 2500 {
		t.Skipf("the limit on descriptors is %d; the test process itself uses 1,500", limit.Cur)
	}
	const sockets = 256
	config := platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: sockets, deadline: 5}
	for range 200 {
		config.nodes = append(config.nodes, newMediaNode(t))
	}
	d := startPlatformDirector(t, config)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() { // idle clients, which send a probe or nothing: up to 600 at a time, until the test ends
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
			c, err := net.DialTimeout("tcp", d.address, 100*time.Millisecond)
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			if i%3 != 0 {
				c.Write(probeRequest())
			}
			if idle = append(idle, c); len(idle) > 600 {
				idle[0].Close()
				idle = idle[1:]
			}
			time.Sleep(500 * time.Microsecond)
		}
	}()
	defer func() { close(stop); <-ended }()
	descriptors := func() int {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(entries)
	}
	eventually(t, "idle clients do not fill the descriptors", func() bool { return descriptors() > sockets*3/4 })
	maxDescriptors, reached := 0, 0
	for id := uint64(1); reached < 60; id++ { // each at another node; some are rejected, but all are answered
		if id > 5000 {
			t.Fatalf("%d of %d clients reached a node", reached, id)
		}
		c := d.connect()
		c.conn.Write(setupRequestAt(id, int(id)%200, 1))
		kind, session := c.next()
		if kind != kindAnswer && kind != kindRelease || session != id {
			t.Fatalf("client %d got kind %d of session %d, want a final answer", id, kind, session)
		}
		if kind == kindAnswer {
			reached++
		}
		c.conn.Close()
		maxDescriptors = max(maxDescriptors, descriptors())
	}
	discovery := newDiscoveryServer(t, config.discovery)
	c := discovery.next(t, 4*time.Second)
	c.Write(nodeStateEvent(4, 0, 1, config.nodes[0]))
	if maxDescriptors = max(maxDescriptors, descriptors()); maxDescriptors > sockets {
		t.Fatalf("%d descriptors are in use, over the limit", maxDescriptors)
	}
}

// Sends SIGTERM while a request is in flight, and sends further requests on an open connection, in pieces, on a new
// connection and 0.6 s after the signal. Guards against a request without its one final answer, and against a program
// that has not exited by itself at the time when the platform kills it.
func TestSIGTERMAnswersEveryRequest(t *testing.T) {
	for _, deadline := range []float64{0.5, 2, 8} {
		t.Run(fmt.Sprint(deadline), func(t *testing.T) {
			t.Parallel()
			n := newMediaNode(t)
			d := startPlatformDirector(t, platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512,
				deadline: deadline, nodes: []*mediaNode{n}})
			n.hold()
			inFlight, open, pieces := d.connect(), d.connect(), d.connect()
			inFlight.conn.Write(setupRequest(1))
			eventually(t, "no set-up reached the node", func() bool { return n.setupCount() == 1 })
			open.conn.Write(probeRequest())
			open.expect(kindProbeReply, 1)
			raw := setupRequest(3)
			pieces.conn.Write(raw[:5])
			d.cmd.Process.Signal(syscall.SIGTERM)
			signaled := time.Now()
			eventually(t, "the shutdown has not begun", func() bool { return strings.Contains(d.logText(), "closing:") })
			open.conn.Write(setupRequest(2))
			open.expect(kindRelease, 2)
			newClient := d.connect()
			newClient.conn.Write(setupRequest(4))
			newClient.expect(kindRelease, 4)
			for _, b := range raw[5:] {
				pieces.conn.Write([]byte{b})
			}
			pieces.expect(kindRelease, 3)
			for time.Since(signaled) < 600*time.Millisecond {
				time.Sleep(time.Millisecond)
			}
			open.conn.Write(setupRequest(5))
			open.expect(kindRelease, 5)
			n.release()
			switch kind, session := inFlight.next(); {
			case session != 1:
				t.Fatalf("got kind %d of session %d, want session 1", kind, session)
			case kind == kindAnswer: // the session then ends with the director's shutdown
				inFlight.expect(kindRelease, 1)
			case kind != kindRelease:
				t.Fatalf("got kind %d, want a final answer", kind)
			}
			killAfter := time.Duration(min(deadline, 3)*float64(time.Second)) + 700*time.Millisecond
			select {
			case err := <-d.done:
				if err != nil || time.Since(signaled) > killAfter {
					t.Fatalf("the program exited late or with an error: after %v, %v", time.Since(signaled), err)
				}
			case <-time.After(time.Until(signaled.Add(killAfter))):
				t.Fatalf("the program still runs after %v", killAfter)
			}
		})
	}
}

// Kills a director right after an accept, with a set-up in progress, and starts another one at the same address while
// the node still has its end of the old connections open. Guards against a new director that does not serve, or that
// passes on the end of a session that it does not know.
func TestRestartAtSameAddress(t *testing.T) {
	n := newMediaNode(t)
	config := platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 5, nodes: []*mediaNode{n}}
	d := startPlatformDirector(t, config)
	n.hold()
	c := d.connect()
	c.conn.Write(setupRequest(1))
	eventually(t, "no set-up reached the node", func() bool { return n.setupCount() == 1 })
	d.connect() // the director may have accepted it or not
	d.cmd.Process.Kill()
	<-d.done
	if kind, _ := c.next(); kind != 0 {
		t.Fatalf("got kind %d from a killed director, want a closed connection", kind)
	}
	d = startPlatformDirector(t, config)
	n.release() // the answer to the first set-up is sent on the old connection
	c = d.connect()
	c.conn.Write(setupRequest(2))
	c.expect(kindAnswer, 2)
	n.mu.Lock()
	last := n.conns[len(n.conns)-1]
	n.mu.Unlock()
	fmt.Fprintf(last, "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: %016x\r\nReason: cause=41\r\nContent-Length: 0\r\n\r\n", 1)
	fmt.Fprintf(last, "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: %016x\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n", 2)
	c.expect(kindRelease, 2) // and no message about session 1 before it
}

// Moves discovery to a new address with SIGHUP, while the old discovery server closes in the middle of a frame. Then
// only the new server reports that a node drains. Guards against a director that stays with the old server and sends
// set-ups to the draining node.
func TestSIGHUPSwitchesDiscovery(t *testing.T) {
	nodes := []*mediaNode{newMediaNode(t), newMediaNode(t)}
	config := platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 5, nodes: nodes}
	oldServer := newDiscoveryServer(t, config.discovery)
	d := startPlatformDirector(t, config)
	oldConn := oldServer.next(t, waitTimeout)
	newServer := newDiscoveryServer(t, "127.0.0.1:0")
	config.discovery = newServer.ln.Addr().String()
	if err := os.WriteFile(d.config, []byte(config.json()), 0o600); err != nil {
		t.Fatal(err)
	}
	oldServer.ln.Close()
	d.cmd.Process.Signal(syscall.SIGHUP)
	newConn := newServer.next(t, 4*time.Second)
	oldConn.Write(nodeStateEvent(4, 1, 1, nodes[1])[:9]) // must have no effect
	oldConn.Close()
	newConn.Write(nodeStateEvent(4, 0, 1, nodes[0]))
	c := d.connect()
	drained := time.Now()
	for id := uint64(1); ; id++ { // the drain grace begins with the event; set-ups after it must go to the other node
		before := nodes[0].setupCount()
		c.conn.Write(setupRequestAt(id, 0, 2))
		if kind, _ := c.next(); kind != kindAnswer {
			t.Fatalf("got kind %d, want an answer", kind)
		}
		c.conn.Write(binaryMessage(kindRelease, id, 75, "\x10")) // ends the session, so that the nodes do not fill up
		c.expect(kindAck, id)
		if time.Since(drained) > 250*time.Millisecond {
			if nodes[0].setupCount() != before {
				t.Fatal("a set-up was sent to the draining node")
			}
			if id > 20 {
				break
			}
		}
	}
	if nodes[1].setupCount() == 0 {
		t.Fatal("no set-up was sent to the other node")
	}
}

func TestInvalidStartConfigExitsWith2(t *testing.T) {
	n := newMediaNode(t)
	valid := platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 5, nodes: []*mediaNode{n}}.json()
	for want, invalid := range map[string]string{
		"ladder_kb": strings.Replace(valid, `"ladder_kb":[100,200]`, `"ladder_kb":[200,100]`, 1),
		"line 4":    strings.Replace(valid, `"flavors":["box"]`, `"flavors":["box"`, 1),
		"listen":    strings.Replace(valid, `"listen"`, `"lissen"`, 1),
	} {
		cmd := command(t, "platform")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file(t, "config.json", invalid))
		out, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != exitInvalidInput || !strings.Contains(string(out), want) || strings.Count(string(out), "\n") > 1 {
			t.Errorf("%s: %v, %s", want, err, out)
		}
	}
}
