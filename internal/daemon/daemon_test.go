package daemon

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/gobwas/ws"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/internal/emulated/discovery"
	"fordusher/internal/emulated/node"
	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

const ms = time.Millisecond

// A fixture is one director with emulated nodes and an emulated discovery service.
type fixture struct {
	t         testing.TB
	d         *Daemon
	host      *node.Host
	discovery *discovery.Source
	recorder  *rulecheck.Recorder
}

func newFixture(t testing.TB, nodes int, change ...string) *fixture {
	t.Helper()
	return newFixtureLogging(t, zerolog.Nop(), nodes, change...)
}

// newFixtureLogging is newFixture with a log for the director.
func newFixtureLogging(t testing.TB, log zerolog.Logger, nodes int, change ...string) *fixture {
	t.Helper()
	p := &fixture{t: t, recorder: &rulecheck.Recorder{}}
	var specs []node.Spec
	for i := range nodes {
		specs = append(specs, node.Spec{Name: fmt.Sprint("n", i), Kind: "box", MaxStreams: 50, LinkRate: 1e5, Cores: 2, SetupTime: 2 * ms})
	}
	environment := node.Environment{Uplinks: []float64{1e6}, Warmup: time.Second, InitialShare: 0.5, OverloadMultiple: 4,
		OverloadWindow: time.Second, ReportDelay: 100 * ms, ReportInterval: time.Second, LoadRefresh: 100 * ms}
	var err error
	if p.host, err = node.StartHost(node.NewModel(1, environment, specs), p.recorder, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.host.Close)
	var entries []wire.NodeEntry
	for i, m := range specs {
		entries = append(entries, wire.NodeEntry{Node: m.Name, Address: p.host.Address(m.Name), State: wire.Up, MachineKind: "box",
			Weight: 1, Cell: i, Incarnation: 1})
	}
	if p.discovery, err = discovery.Start(p.recorder, entries, []wire.TitlePlacement{{Title: "t", Copies: 8}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.discovery.Close)
	p.d = startDaemonLogging(t, log, p.discovery.Address(), change...)
	p.waitForLinks(nodes)
	return p
}

func startDaemon(t testing.TB, discoveryAddress string, change ...string) *Daemon {
	t.Helper()
	return startDaemonLogging(t, zerolog.Nop(), discoveryAddress, change...)
}

func startDaemonLogging(t testing.TB, log zerolog.Logger, discoveryAddress string, change ...string) *Daemon {
	t.Helper()
	text := `{"director": {"name": "d", "me": 0, "directors": 1}, "listen": "127.0.0.1:0", "list": {"address": "` + discoveryAddress + `"},
		"tariffs": {"clip": {"goal_time": "1s", "hard_stop": "2s"}, "exam": {"goal_time": "1s", "hard_stop": "2s", "paid": true}},
		"ladder": {"rates": ["100kB/s", "200kB/s"]},
		"fleet": {"cells": 8, "racks": 1, "link_unit": "100000kB/s", "uplink": "1000000kB/s", "machines": {"box": 50}},
		"ramp": {"warmup": "100ms", "cold_from": 0.5, "multiple": 4, "tip_after": "100ms"},
		"manners": {"ping": "100ms", "linger": "300ms"}, "closing": {"within": "1s", "slice": "50ms"}, "limits": {"inbox": 64}}`
	for i := 0; i+1 < len(change); i += 2 {
		text = strings.Replace(text, change[i], change[i+1], 1)
	}
	config, err := conf.Decode("d.jsonc", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d, err := Start(config, "b", 1, config.NewDecider(1), log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	return d
}

// waitForLinks waits until the director is connected to its nodes.
func (p *fixture) waitForLinks(links int) {
	p.t.Helper()
	eventually(p.t, "connections to all nodes", func() bool { return p.d.lastSnapshot.Load().links == links })
	time.Sleep(120 * ms) // a director is cautious for the ramp's warmup (100 ms here) after its start
}

// eventually waits until ok returns true, or fails the test with the name of the condition.
func eventually(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(ms) {
		if time.Now().After(deadline) {
			t.Fatal("did not happen within 10 s: ", condition)
		}
	}
}

// A client is a client's end of a connection. It passes the messages and the reason of the close on to the test.
type client struct {
	received chan string
	closed   chan error
}

func (p *client) Opened(*transport.Conn)                             {}
func (p *client) Message(_ *transport.Conn, m []byte)                { p.received <- string(m) }
func (p *client) Closed(_ *transport.Conn, reason error, _ []uint64) { p.closed <- reason }

func dial(t testing.TB, address string) (*transport.Conn, *client) {
	t.Helper()
	p := &client{make(chan string, 1000), make(chan error, 1)}
	c, err := transport.Dial(address, wire.SessionProtocol, 2*time.Second,
		transport.Limits{MaxMessageBytes: 1 << 20, MaxQueuedBytes: 1 << 20, WriteTimeout: 5 * time.Second}, p, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c, p
}

func requestMessage(id, tariff string) []byte {
	return wire.Encode(wire.SessionMessage{Type: wire.Request, ID: id, Tariff: tariff, Title: "t", Key: "k" + id,
		WaitMS: 2000, LengthMS: 60_000})
}

func (p *client) answer(t testing.TB) wire.SessionMessage {
	t.Helper()
	select {
	case raw := <-p.received:
		m, err := wire.DecodeSessionMessage([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		return m
	case reason := <-p.closed:
		t.Fatal("the connection was closed: ", reason)
	case <-time.After(10 * time.Second):
		t.Fatal("no answer")
	}
	return wire.SessionMessage{}
}

func (p *client) end(t *testing.T) error {
	t.Helper()
	for {
		select {
		case reason := <-p.closed:
			return reason
		case <-p.received:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection was not closed")
		}
	}
}

func TestRequestPlaysOverSockets(t *testing.T) {
	p := newFixture(t, 3)
	c, in := dial(t, p.d.Address())
	c.Send(requestMessage("1", "exam"), 0)
	if m := in.answer(t); m.Type != wire.Playing || m.Address == "" {
		t.Fatal(m)
	}
	families, err := func() (n int, err error) {
		r := prometheus.NewRegistry()
		r.MustRegister(p.d)
		all, err := r.Gather()
		return len(all), err
	}()
	if err != nil || families < 20 {
		t.Fatal(families, err)
	}
}

// The connection of a client that sends malformed, unexpected or oversized messages is closed with a reason that names
// the fault, and another client is still served.
func TestMisbehavingClientsAreClosedAndCounted(t *testing.T) {
	p := newFixture(t, 2)
	other, otherIn := dial(t, p.d.Address())
	for text, want := range map[string]string{
		"{":                      "1007",
		`{"t":"want","id":"1"}`:  "1007 want needs",
		`{"t":"plays","id":"1"}`: "1008 players do not say plays",
		strings.Repeat("x", wire.MaxSessionMessageBytes+1): "1009",
	} {
		c, in := dial(t, p.d.Address())
		c.Send([]byte(text), 0)
		if reason := in.end(t); !strings.Contains(reason.Error(), want) {
			t.Errorf("%.30q: closed with %v, want %s", text, reason, want)
		}
	}
	if n := p.d.malformedCounts[0].Load(); n != 2 {
		t.Error(n, "malformed messages counted, want 2")
	}
	other.Send(requestMessage("1", "clip"), 0)
	if m := otherIn.answer(t); m.Type != wire.Playing {
		t.Fatal(m)
	}
}

// If only the first malformed message were logged, the log would not show which peers are disconnected later. Log lines
// on malformed messages go on, bounded in number and in length.
func TestMalformedMessageLogIsRateLimited(t *testing.T) {
	lines := make(chan string, 1000)
	log := zerolog.New(writer(func(b []byte) { // at the program's log level
		if strings.Contains(string(b), "malformed") {
			lines <- string(b)
		}
	})).Level(zerolog.InfoLevel)
	p := newFixtureLogging(t, log, 1)
	long := `{"t":"` + strings.Repeat("\u00e9\xff", 500) + `"}`
	for range 50 {
		c, in := dial(t, p.d.Address())
		c.Send([]byte(long), 0)
		if reason := in.end(t).Error(); !utf8.ValidString(reason) {
			t.Fatalf("closed with %q, which is not valid UTF-8", reason)
		}
	}
	if n := len(lines); n < 2 || n > 10 {
		t.Fatal(n, "log lines for 50 malformed messages, want 2 to 10")
	}
	for range len(lines) {
		if l := <-lines; len(l) > 500 || !strings.Contains(l, "127.0.0.1:") || !strings.Contains(l, "so_far") {
			t.Fatal(l)
		}
	}
}

type writer func(b []byte)

func (w writer) Write(b []byte) (int, error) { w(b); return len(b), nil }

// A malformed discovery message ends that connection only: the director connects to discovery again and still answers
// clients.
func TestMalformedDiscoveryMessageCausesReconnect(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	connected := make(chan bool, 100)
	go func() { // a discovery service that accepts connections and then sends a malformed message
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			up := ws.Upgrader{Protocol: func([]byte) bool { return true }}
			if _, err := up.Upgrade(c); err == nil {
				c.Write(ws.MustCompileFrame(ws.NewTextFrame([]byte(`{"t":"whole","nodes":[{"state":"up"}]}`))))
			}
			connected <- true
			time.AfterFunc(time.Second, func() { c.Close() })
		}
	}()
	d := startDaemon(t, ln.Addr().String())
	for range 2 { // the director reconnects
		select {
		case <-connected:
		case <-time.After(10 * time.Second):
			t.Fatal("the director does not reconnect to discovery")
		}
	}
	eventually(t, "the malformed discovery message is counted", func() bool { return d.malformedCounts[2].Load() > 0 })
	c, in := dial(t, d.Address())
	c.Send(requestMessage("1", "clip"), 0)
	if m := in.answer(t); m.Type != wire.Nack || m.Reason != "unknown title" {
		t.Fatal(m)
	}
}

// A node stops sending without closing its connection. After three missed heartbeats the director ends the session that
// plays there.
func TestHalfOpenNodeIsDetected(t *testing.T) {
	p := newFixture(t, 1)
	c, in := dial(t, p.d.Address())
	c.Send(requestMessage("1", "clip"), 0)
	if m := in.answer(t); m.Type != wire.Playing {
		t.Fatal(m)
	}
	p.host.Inject(node.Fault{Node: "n0", Silent: new(true)})
	for m := in.answer(t); m.Type != wire.SessionEnded; m = in.answer(t) {
		if m.Type != wire.Rung {
			t.Fatal(m)
		}
	}
	p.host.Inject(node.Fault{Node: "n0", Start: true})
	p.waitForLinks(1)
}

// On Stop the set-up in progress is answered, the playing session is ended, and the director ends within its shutdown
// time-out.
func TestStopAnswersRequestsAndEndsSessions(t *testing.T) {
	p := newFixture(t, 2)
	c, in := dial(t, p.d.Address())
	c.Send(requestMessage("1", "clip"), 0)
	if m := in.answer(t); m.Type != wire.Playing {
		t.Fatal(m)
	}
	p.host.Inject(node.Fault{SlowFactor: new(100.0)}) // set-ups take a fifth of a second
	c.Send(requestMessage("2", "exam"), 0)
	eventually(t, "the set-up is in progress", func() bool { return p.d.lastSnapshot.Load().pendingAnswers == 1 })
	stoppedAt := time.Now()
	p.d.Stop()
	got := map[string]string{}
	for len(got) < 2 {
		if m := in.answer(t); m.Type != wire.Rung {
			got[m.ID+m.Type] = m.Reason
		}
	}
	if _, played := got["2"+wire.Playing]; !played {
		t.Fatal("the request with a set-up in progress was not answered with playing: ", got)
	}
	if reason := got["1"+wire.SessionEnded]; reason != "director closes" {
		t.Fatal(got)
	}
	if reason := in.end(t); !strings.Contains(reason.Error(), "1001") {
		t.Fatal(reason)
	}
	select {
	case <-p.d.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the director did not end")
	}
	if took := time.Since(stoppedAt); took > 5*time.Second { // the shutdown time-out is 1 s
		t.Fatal(took)
	}
	if _, err := transport.Dial(p.d.Address(), wire.SessionProtocol, 200*ms,
		transport.Limits{MaxMessageBytes: 100, MaxQueuedBytes: 100}, in, nil); err == nil {
		t.Fatal("the director still accepts connections")
	}
}

// A client that floods the inbox occupies no more of it than the bound for one peer, and other clients are answered
// meanwhile.
func TestFloodingClientIsBounded(t *testing.T) {
	p := newFixture(t, 2)
	c, _ := dial(t, p.d.Address())
	cancel := wire.Encode(wire.SessionMessage{Type: wire.Cancel, ID: "none"})
	for range 200_000 {
		if !c.Send(cancel, 0) {
			break
		}
	}
	other, otherIn := dial(t, p.d.Address())
	other.Send(requestMessage("1", "clip"), 0)
	if m := otherIn.answer(t); m.Type != wire.Playing {
		t.Fatal(m)
	}
	if n := p.d.inbox.queueLength(); n > 64+10 {
		t.Fatal(n, "items wait in the inbox")
	}
}

// Priority items, such as results and messages of nodes, come before queued requests. Queued items keep their order,
// and the queue reuses its memory.
func TestInboxOrder(t *testing.T) {
	b := inbox{wake: make(chan struct{}, 1)}
	for i := range 5000 {
		b.enqueueClient(item{input: director.ClientReceived{Conn: uint64(i)}, peer: &peer{}})
	}
	var batch []item
	next := uint64(0)
	for round := 0; b.queueLength() > 0; round++ {
		b.put(item{input: director.Withdrawn{Leg: uint64(round)}})
		batch = b.takeBatch(batch)
		if w, ok := batch[0].input.(director.Withdrawn); !ok || w.Leg != uint64(round) || len(batch) > batchSize+1 {
			t.Fatalf("batch %d begins with %+v and has %d items", round, batch[0], len(batch))
		}
		for _, i := range batch[1:] {
			if got := i.input.(director.ClientReceived).Conn; got != next {
				t.Fatalf("item %d comes before item %d", got, next)
			}
			next++
		}
	}
	if next != 5000 || cap(b.queue) > 16_384 || len(b.queue) != 0 {
		t.Fatal(next, "items taken; queue length ", len(b.queue), ", capacity ", cap(b.queue))
	}
}

// If the queue served clients in order of arrival, all requests of a client that sends many would delay the clients
// that come later.
func TestInboxServesClientsRoundRobin(t *testing.T) {
	b := inbox{wake: make(chan struct{}, 1)}
	busy, other := []*peer{{id: 1}, {id: 2}}, &peer{id: 3}
	for i := range 500 {
		for _, p := range busy {
			b.enqueueClient(item{input: director.ClientLost{Conn: uint64(i)}, peer: p})
		}
	}
	b.enqueueClient(item{input: director.ClientLost{}, peer: other})
	taken := b.takeBatch(nil)
	if at := slices.IndexFunc(taken, func(i item) bool { return i.peer == other }); at < 0 || at > len(busy) {
		t.Fatal("the other client's item is number", at, "of", len(taken))
	}
	next := map[*peer]uint64{}
	for ; len(taken) > 0; taken = b.takeBatch(nil) {
		for _, i := range taken {
			if c := i.input.(director.ClientLost).Conn; c != next[i.peer] {
				t.Fatalf("client %d: item %d comes before item %d", i.peer.id, c, next[i.peer])
			}
			next[i.peer]++
		}
	}
	if next[busy[0]] != 500 || next[busy[1]] != 500 || len(b.queue) != 0 {
		t.Fatal(next, len(b.queue))
	}
}

// If each read of the metrics reset the loop's lateness, one of two readers would not see it.
func TestLatenessIsNotResetByReading(t *testing.T) {
	var l lateness
	for _, x := range []struct{ now, delay, want time.Duration }{
		{time.Second, 80 * ms, 80 * ms}, {2 * time.Second, 5 * ms, 80 * ms}, {14 * time.Second, 0, 80 * ms},
		{17 * time.Second, 20 * ms, 80 * ms}, {33 * time.Second, 0, 20 * ms}, {49 * time.Second, 0, 0},
	} {
		l.observe(x.now, x.delay)
		if got := max(l.current, l.previous); got != x.want {
			t.Fatalf("at %v: lateness %v, want %v", x.now, got, x.want)
		}
	}
}
