package platform

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fordusher/internal/daemon"
	"fordusher/internal/director"
	"fordusher/internal/transport"
)

// These tests run the daemon on loopback with emulated nodes, discovery services and clients, which speak the
// platform's protocols and send what each test prescribes.

// testTimeout is how long a test waits for an expected event before it fails. No test waits for it to pass.
const testTimeout = 10 * time.Second

// An emulatedNode is a node that answers each set-up with the bytes that reply returns, if any.
type emulatedNode struct {
	t        testing.TB
	ln       net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	received []string // headers and bodies of all messages
	reply    func(session string) string
}

func newEmulatedNode(t testing.TB) *emulatedNode {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &emulatedNode{t: t, ln: ln, reply: acceptResponse}
	t.Cleanup(n.stop)
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

// stop emulates a crash of the node: its connections are reset, and new ones are refused.
func (n *emulatedNode) stop() {
	n.ln.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	n.conns = nil
}

func (n *emulatedNode) serve(c net.Conn) {
	var buffered []byte
	for {
		buf := make([]byte, 4096)
		k, err := c.Read(buf)
		if err != nil {
			return
		}
		buffered = append(buffered, buf[:k]...)
		for {
			size, err := splitRTSP(buffered)
			if err != nil {
				n.t.Errorf("the director sent %q: %v", buffered, err)
				return
			}
			if size == 0 {
				break
			}
			m, _ := parseRTSP(buffered[:size], nil)
			n.mu.Lock()
			n.received = append(n.received, string(buffered[:size]))
			reply := n.reply
			n.mu.Unlock()
			buffered = buffered[size:]
			if m.method == methodSetup {
				io.WriteString(c, reply(m.session()))
			}
		}
	}
}

func (n *emulatedNode) setReply(reply func(session string) string) {
	n.mu.Lock()
	n.reply = reply
	n.mu.Unlock()
}

// send writes text to the node's newest connection.
func (n *emulatedNode) send(text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	io.WriteString(n.conns[len(n.conns)-1], text)
}

// countReceived returns the number of received messages that contain a text.
func (n *emulatedNode) countReceived(part string) (times int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.received {
		if strings.Contains(m, part) {
			times++
		}
	}
	return times
}

const nodeDescription = "0011223344556677\r\nc=IN IP4 10.9.9.9\r\n"

func rtspResponse(session string, status int, body string) string {
	return fmt.Sprintf("RTSP/1.0 %d X\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: %d\r\n\r\n%s", status, session, len(body), body)
}

func acceptResponse(session string) string { return rtspResponse(session, 200, nodeDescription) }

func teardownMessage(session string, cause int) string {
	return fmt.Sprintf("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\nReason: cause=%d\r\nContent-Length: 0\r\n\r\n",
		session, cause)
}

// A fixture is a director with the emulated nodes on its server list.
type fixture struct {
	t             testing.TB
	d             *daemon.Daemon
	nodes         []*emulatedNode
	probeClient   *emulatedClient // sends probes beside the connection under test; made on first use
	closedClients atomic.Int32    // client connections whose end the director has handled
}

// A countingProtocol counts the client connections that have ended.
type countingProtocol struct {
	*Protocol
	closedClients *atomic.Int32
}

func (p countingProtocol) Listen(h transport.Handler) (*transport.Server, error) {
	return p.Protocol.Listen(countingHandler{h, h.(transport.AdmissionHandler), p.closedClients})
}

// A countingHandler passes events on to the daemon's handler and counts closed connections.
type countingHandler struct {
	transport.Handler
	transport.AdmissionHandler
	closedClients *atomic.Int32
}

func (h countingHandler) InputEnded(c *transport.Conn, reason error) {
	h.Handler.(transport.InputEnder).InputEnded(c, reason)
}

func (h countingHandler) Closed(c *transport.Conn, reason error, unsent []uint64) {
	h.Handler.Closed(c, reason, unsent)
	h.closedClients.Add(1)
}

// testSettings are the settings of a deployment, limited to the keys that a director reads.
const testSettings = `{"balancers":1,"me":0,"zone":"z","zones":["z"],"flavors":["box"],"membership_mode":"push",
 "classes":[{"name":"clip","target_s":1,"give_up_s":2,"semantics":"free","credit":1},
  {"name":"exam","target_s":1,"give_up_s":2,"semantics":"single_shot","credit":3}],
 "family_info":{"positions":4,"shelves":1,"kind_slots":[100],"ladder_kb":[100,200],"level_worth":[0.5,1],"link_unit_kb":10000,
  "rack_link_kb":100000,"told_every_s":30,"told_late_s":1},
 "permissions":{"max_attempts":4,"connect_timeout_s":0.5},"report":{"fields":["x0","x1"]},
 "rules":{"cold_from":0.5,"fall_multiple":4,"ramp_time_s":0.1,"tip_after_s":0.05}}`

func startFixture(t testing.TB, nodes int, discoveryAddress string) *fixture {
	t.Helper()
	return startFixtureWith(t, nodes, discoveryAddress, testSettings, nil)
}

// startFixtureWith is startFixture with other settings and, if wrap is not nil, with the decider that wrap returns.
func startFixtureWith(t testing.TB, nodes int, discoveryAddress, settings string, wrap func(director.Decider) director.Decider) *fixture {
	t.Helper()
	return startFixtureLimited(t, 512, nodes, discoveryAddress, settings, wrap)
}

// startFixtureLimited is startFixtureWith with a limit on file descriptors.
func startFixtureLimited(t testing.TB, sockets, nodes int, discoveryAddress, settings string,
	wrap func(director.Decider) director.Decider) *fixture {
	t.Helper()
	p := &fixture{t: t}
	var targets []target
	for i := range nodes {
		n := newEmulatedNode(t)
		p.nodes = append(p.nodes, n)
		targets = append(targets, target{ID: nodeName(uint32(i)), Endpoint: n.ln.Addr().String(), Zone: "z", Kind: "box", Cell: i,
			State: "ready", Weight: 1})
	}
	nodeTargets, err := json.Marshal(targets)
	if err != nil {
		t.Fatal(err)
	}
	if discoveryAddress == "" {
		discoveryAddress = "127.0.0.1:1"
	}
	startConfig, err := parseStartConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","seed":"1f","board":%q,
 "limits":{"cores":1,"memory_mb":256,"sockets":%d},"settings":%s,
 "known":{"rev":3,"notices":[{"rev":3,"pool":{"rev":3,"all":true,"targets":%s}}]}}`, discoveryAddress, sockets, settings, nodeTargets))
	if err != nil {
		t.Fatal(err)
	}
	config := startConfig.Config(time.Now())
	protocol := NewProtocol(startConfig, config, time.Now)
	decider := startConfig.NewDecider(1)
	if wrap != nil {
		decider = wrap(decider)
	}
	p.d, err = daemon.StartWithProtocol(countingProtocol{protocol, &p.closedClients}, config, "b", 1, decider, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.d.Kill)
	time.Sleep(150 * time.Millisecond) // a director is cautious for the ramp's warmup (0.1 s here) after its start
	return p
}

// wait waits until ok returns true, or fails the test with the given message.
func (p *fixture) wait(failure string, ok func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatal(failure)
		}
	}
}

// An emulatedClient is a client connection of the platform.
type emulatedClient struct {
	t testing.TB
	c net.Conn
	r *bufio.Reader
}

func (p *fixture) newClient() *emulatedClient {
	p.t.Helper()
	c, err := net.Dial("tcp", p.d.Address())
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &emulatedClient{p.t, c, bufio.NewReader(c)}
}

func (e *emulatedClient) send(raw []byte) { e.c.Write(raw) }

// next reads a message; ok is false if the connection has ended.
func (e *emulatedClient) next() (m clientMessage, ok bool) {
	e.t.Helper()
	head := make([]byte, lengthSize)
	if _, err := io.ReadFull(e.r, head); err != nil {
		if n, is := err.(net.Error); is && n.Timeout() {
			e.t.Fatal("no message was received")
		}
		return m, false
	}
	raw := append(head, make([]byte, binary.BigEndian.Uint16(head))...)
	if _, err := io.ReadFull(e.r, raw[lengthSize:]); err != nil {
		return m, false
	}
	m, err := parseClientMessage(raw)
	if err != nil {
		e.t.Fatal(err)
	}
	return m, true
}

// expect reads a message, which must have the given kind and session, and returns the value of one of its parameters.
func (e *emulatedClient) expect(kind byte, session uint64, code byte) (value string) {
	e.t.Helper()
	m, ok := e.next()
	if !ok || m.kind != kind || m.session != session {
		e.t.Fatalf("read ok: %v, kind %d, session %d; want kind %d, session %d", ok, m.kind, m.session, kind, session)
	}
	m.eachParam(func(c byte, x []byte) error {
		if c == code {
			value = string(x)
		}
		return nil
	})
	return value
}

func TestSessionFromSetupToRelease(t *testing.T) {
	p := startFixture(t, 1, "")
	client := p.newClient()
	client.send(newClientMessage(kindProbe, 5).param(codeCause, []byte{0}).finish())
	if client.expect(kindProbeReply, 5, codeCause) != "\x01" {
		t.Fatal("the probe reply does not report success")
	}
	client.send(setupMessage(7, map[byte]string{codePlacement: "home:0;copies:1;top:1"}))
	if got := client.expect(kindAnswer, 7, codeDescription); got != nodeDescription {
		t.Fatalf("description %q", got)
	}
	if n := p.nodes[0]; n.countReceived(testDescription) != 1 || n.countReceived("X-Service: clip") != 1 ||
		n.countReceived("rtsp://media/7f3a9c21e0b4d655 ") != 1 {
		t.Fatalf("%q", n.received)
	}
	p.nodes[0].send(teardownMessage(sessionID(7), causeEnded))
	if client.expect(kindRelease, 7, codeCause) != string([]byte{causeEnded}) {
		t.Fatal("the release has another cause than the node's")
	}
	p.wait("the node received no response to its TEARDOWN", func() bool { return p.nodes[0].countReceived("RTSP/1.0 200 OK") == 1 })
}

func TestSessionOutlivesItsConnections(t *testing.T) {
	p := startFixture(t, 1, "")
	client := p.newClient()
	client.send(setupMessage(7, map[byte]string{codePlacement: "home:0;copies:1;top:1"}))
	client.expect(kindAnswer, 7, codeDescription)
	client.c.Close()
	other := p.newClient()
	other.send(newClientMessage(kindProbe, 1).finish())
	other.expect(kindProbeReply, 1, codeCause)
	n := p.nodes[0]
	n.mu.Lock()
	n.conns[0].Close()
	n.mu.Unlock()
	p.wait("the director did not reconnect to the node", func() bool { n.mu.Lock(); defer n.mu.Unlock(); return len(n.conns) > 1 })
	n.send(teardownMessage(sessionID(7), causeEnded))
	other.expect(kindRelease, 7, codeCause)
}

// An answer of a node that is invalid, truncated or names another session must never reach a client. A session of a
// free tariff is set up on another node instead.
func TestInvalidNodeAnswersAreRetriedElsewhere(t *testing.T) {
	for name, reply := range map[string]func(string) string{
		"noise":          func(string) string { return "\x16\x03\x01\x02\x00\x01" },
		"no length":      func(s string) string { return "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + s + "\r\n\r\n" },
		"too short":      func(s string) string { return strings.Replace(acceptResponse(s), "Length: ", "Length: 1\r\nX-A: ", 1) },
		"3 GB":           func(s string) string { return strings.Replace(acceptResponse(s), "Length: ", "Length: 32212254", 1) },
		"half a line":    func(s string) string { return acceptResponse(s)[:20] },
		"half a body":    func(s string) string { return acceptResponse(s)[:len(acceptResponse(s))-5] },
		"nothing at all": func(string) string { return "" },
		"other session":  func(string) string { return acceptResponse("ffffffffffffffff") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startFixture(t, 2, "")
			p.nodes[0].setReply(reply)
			client := p.newClient()
			for id := uint64(1); id <= 4; id++ { // two nodes hold the title; each is the first choice of some sessions
				client.send(setupMessage(id, map[byte]string{codePlacement: "home:0;copies:2;top:1"}))
				if got := client.expect(kindAnswer, id, codeDescription); got != nodeDescription {
					t.Fatalf("description %q", got)
				}
			}
		})
	}
}

// An answer for an unknown session or a second answer of a node must not keep sessions from being answered.
func TestUnexpectedAndDuplicateNodeAnswers(t *testing.T) {
	p := startFixture(t, 1, "")
	p.nodes[0].setReply(func(s string) string {
		return acceptResponse("ffffffffffffffff") + acceptResponse(s) + acceptResponse(s)
	})
	client := p.newClient()
	for id := uint64(1); id <= 3; id++ {
		client.send(setupMessage(id, map[byte]string{codePlacement: "home:0;copies:1;top:1"}))
		client.expect(kindAnswer, id, codeDescription)
	}
}

// A paid session whose answer is invalid may have run. Its set-up is not sent again, and its release does not call a
// retry harmless.
func TestPaidSetupIsNotRetried(t *testing.T) {
	p := startFixture(t, 2, "")
	for _, n := range p.nodes {
		n.setReply(func(string) string { return "noise" })
	}
	client := p.newClient()
	client.send(setupMessage(7, map[byte]string{codeClass: "exam", codePlacement: "home:0;copies:2;top:1"}))
	if cause := client.expect(kindRelease, 7, codeCause); cause == string([]byte{causeNacked}) {
		t.Fatal("the release calls a retry harmless")
	}
	if sent := p.nodes[0].countReceived(methodSetup+" ") + p.nodes[1].countReceived(methodSetup+" "); sent != 1 {
		t.Fatalf("the set-up was sent %d times, want once", sent)
	}
}

// Each invalid input is answered with a release or closes the connection. A correct client beside it is still served.
func TestMalformedClientInput(t *testing.T) {
	p := startFixture(t, 1, "")
	correct := p.newClient()
	correct.send(newClientMessage(kindProbe, 1).finish())
	correct.expect(kindProbeReply, 1, codeCause)
	placement := map[byte]string{codePlacement: "home:0;copies:1;top:1"}
	for name, raw := range map[string][]byte{
		"noise":              []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
		"a length of 0":      make([]byte, 64),
		"an unknown message": newClientMessage(123, 9).finish(),
		"a director's kind":  newClientMessage(kindAnswer, 9).finish(),
		"an unknown class":   setupMessage(9, map[byte]string{codeClass: "none"}),
		"a negative wait":    setupMessage(9, map[byte]string{codeWait: "-1"}),
		"no id":              setupMessage(0, placement),
		"an invalid cell":    setupMessage(9, map[byte]string{codePlacement: "home:99;copies:1;top:1"}),
		"4 MB of zeros":      make([]byte, 4<<20),
		"half a set-up":      setupMessage(9, placement)[:40],
		"silence":            nil,
	} {
		client := p.newClient()
		sentAt := time.Now()
		go client.send(raw)
		if m, ok := client.next(); ok && (m.kind != kindRelease || m.session != 9 && m.session != 0) {
			t.Errorf("%s: answered with kind %d", name, m.kind)
		}
		if took := time.Since(sentAt); took > 3*time.Second {
			t.Errorf("%s: answered or closed after %v only", name, took)
		}
		client.c.Close()
	}
	correct.send(setupMessage(1, placement))
	correct.expect(kindAnswer, 1, codeDescription)
	intruder := p.newClient() // requests the same session id on another connection
	for range 20 {
		intruder.send(setupMessage(1, placement))
		intruder.expect(kindRelease, 1, codeCause)
	}
	p.nodes[0].send(teardownMessage(sessionID(1), causeEnded))
	correct.expect(kindRelease, 1, codeCause)
}

func TestNodeCrashReleasesItsSessions(t *testing.T) {
	p := startFixture(t, 1, "")
	client := p.newClient()
	client.send(setupMessage(7, map[byte]string{codePlacement: "home:0;copies:1;top:1"}))
	client.expect(kindAnswer, 7, codeDescription)
	stoppedAt := time.Now()
	p.nodes[0].stop()
	if cause := client.expect(kindRelease, 7, codeCause); cause != string([]byte{causeLost}) || time.Since(stoppedAt) > time.Second {
		t.Fatalf("cause %q after %v", cause, time.Since(stoppedAt))
	}
}

// An emulatedDiscovery is a discovery service: it hands the test the connections that it accepts, and the event
// number after which each requests events.
type emulatedDiscovery struct {
	ln            net.Listener
	requestedFrom chan uint64
	conns         chan net.Conn
}

func newEmulatedDiscovery(t *testing.T) *emulatedDiscovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	d := &emulatedDiscovery{ln, make(chan uint64, 16), make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			from := make([]byte, 8)
			if _, err := io.ReadFull(c, from); err != nil {
				continue
			}
			d.requestedFrom <- binary.BigEndian.Uint64(from)
			d.conns <- c
		}
	}()
	return d
}

func (d *emulatedDiscovery) next(t *testing.T) (from uint64, c net.Conn) {
	t.Helper()
	select {
	case from = <-d.requestedFrom:
		return from, <-d.conns
	case <-time.After(testTimeout):
		t.Fatal("the director did not connect to discovery")
	}
	return 0, nil
}

// nodeEvent returns the frame of a discovery event that changes one node's state.
func nodeEvent(number uint64, node uint32, state byte, address string) []byte {
	raw := binary.BigEndian.AppendUint32(nil, frameHeaderSize-frameLengthSize+recordSize)
	raw = append(binary.BigEndian.AppendUint64(raw, number), frameUpdate)
	raw = binary.BigEndian.AppendUint32(raw, node)
	a := net.ParseIP("127.0.0.1").To4()
	port := 0
	if tcp, err := net.ResolveTCPAddr("tcp", address); err == nil {
		port = tcp.Port
	}
	raw = binary.BigEndian.AppendUint16(append(raw, a...), uint16(port))
	raw = append(raw, state, 0, 0, 0, byte(node))
	raw = binary.BigEndian.AppendUint32(raw, 1000)
	return binary.BigEndian.AppendUint64(raw, 0)
}

func TestDiscoveryReconnectsAndResumes(t *testing.T) {
	discovery, moved := newEmulatedDiscovery(t), newEmulatedDiscovery(t)
	p := startFixture(t, 2, discovery.ln.Addr().String())
	from, c := discovery.next(t)
	if from != 3 {
		t.Fatalf("events after %d were requested", from)
	}
	drained := nodeEvent(4, 0, 1, p.nodes[0].ln.Addr().String())
	c.Write(drained)
	c.Write(drained) // a duplicate
	c.Write(nodeEvent(6, 1, 1, p.nodes[1].ln.Addr().String()))
	if from, c = discovery.next(t); from != 4 { // event 5 was skipped
		t.Fatalf("events after %d were requested", from)
	}
	c.Write(drained[:20]) // a truncated frame
	c.Close()
	if from, _ = discovery.next(t); from != 4 {
		t.Fatalf("events after %d were requested", from)
	}
	p.d.SetDiscoveryAddress(moved.ln.Addr().String())
	if from, c = moved.next(t); from != 4 {
		t.Fatalf("events after %d were requested", from)
	}
	client := p.newClient()
	for id := uint64(1); id <= 4; id++ {
		client.send(setupMessage(id, map[byte]string{codePlacement: "home:0;copies:2;top:1"}))
		client.expect(kindAnswer, id, codeDescription)
	}
	if sent := p.nodes[0].countReceived(methodSetup + " "); sent != 0 {
		t.Fatalf("%d set-ups were sent to a draining node", sent)
	}
	c.Write(nodeEvent(5, 1, 2, p.nodes[1].ln.Addr().String())) // the node is removed; its sessions are lost when its connection ends
	p.nodes[1].stop()
	for range 4 {
		if m, ok := client.next(); !ok || m.kind != kindRelease {
			t.Fatalf("%v, kind %d", ok, m.kind)
		}
	}
	// After a silence the director reconnects although the connection is still open.
	if from, _ = moved.next(t); from != 5 {
		t.Fatalf("events after %d were requested", from)
	}
}

func TestStopAnswersAndReleases(t *testing.T) {
	p := startFixture(t, 1, "")
	var setupReceived sync.WaitGroup
	setupReceived.Add(1)
	release := make(chan bool)
	client := p.newClient()
	placement := map[byte]string{codePlacement: "home:0;copies:1;top:1"}
	client.send(setupMessage(1, placement))
	client.expect(kindAnswer, 1, codeDescription)
	p.nodes[0].setReply(func(s string) string { setupReceived.Done(); <-release; return acceptResponse(s) })
	client.send(setupMessage(2, placement))
	setupReceived.Wait()
	p.d.Stop()
	late := p.newClient()
	late.send(setupMessage(3, placement))
	if cause := late.expect(kindRelease, 3, codeCause); cause != string([]byte{causeNacked}) {
		t.Fatalf("cause %q", cause)
	}
	close(release)
	seen := map[uint64][]byte{}
	for len(seen[1])+len(seen[2]) < 3 { // session 1 is released; session 2 is answered and then released
		m, ok := client.next()
		if !ok {
			t.Fatalf("the connection was closed after the messages %v", seen)
		}
		seen[m.session] = append(seen[m.session], m.kind)
	}
	if string(seen[1]) != string([]byte{kindRelease}) || string(seen[2]) != string([]byte{kindAnswer, kindRelease}) {
		t.Fatalf("%v", seen)
	}
	select {
	case <-p.d.Done():
	case <-time.After(testTimeout):
		t.Fatal("the director did not end")
	}
}

func TestInvalidStartConfigsAreReported(t *testing.T) {
	for want, text := range map[string]string{
		"line 2":            "{\n\"name\": }",
		"settings":          `{"name":"a"}`,
		"classes":           `{"settings":{}}`,
		"ladder_kb":         `{"settings":{"classes":[{"name":"a"}]}}`,
		"positions":         `{"settings":{"classes":[{"name":"a"}],"family_info":{"ladder_kb":[1]}}}`,
		"cannot unmarshal":  `{"limits":{"sockets":"many"}}`,
		"unexpected end of": `{"name":"a"`,
	} {
		if _, err := parseStartConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	if _, err := ReadStartConfig(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), EnvConfigFile) {
		t.Errorf("%v", err)
	}
}
