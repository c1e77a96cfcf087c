package platform

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fordusher/internal/director"
	"fordusher/policy"
)

// Two events that cross: each order of them is played, by peers and a module that hold what they do until told. Nothing
// here is slept for.

// A blockingDecider holds the loop within the module's answer to the first request, until it is opened.
type blockingDecider struct {
	director.Decider
	entered chan struct{}
	unblock    chan struct{}
	once    sync.Once
}

func (g *blockingDecider) Step(now time.Duration, happened policy.Event) []policy.Action {
	if d, ok := happened.(policy.Request); ok && d.PlayingOn == "" {
		g.once.Do(func() {
			close(g.entered)
			<-g.unblock
		})
	}
	return g.Decider.Step(now, happened)
}

// startBlockedInFirstRequest starts a director whose loop stands still in its first request until the gate is opened; the request is sent,
// and the loop stands, when it returns.
func startBlockedInFirstRequest(t *testing.T, nodes int) (*fixture, *blockingDecider) {
	t.Helper()
	p, g := startBlockingFixture(t, 512, nodes)
	v := p.newClient()
	v.send(setupMessage(1, defaultPlacement))
	<-g.entered
	return p, g
}

// startBlockingFixture starts a director whose loop will stand still in its first request, with so many descriptors.
func startBlockingFixture(t *testing.T, sockets, nodes int) (*fixture, *blockingDecider) {
	t.Helper()
	g := &blockingDecider{entered: make(chan struct{}), unblock: make(chan struct{})}
	p := startFixtureLimited(t, sockets, nodes, "", testSettings, func(m director.Decider) director.Decider { g.Decider = m; return g })
	t.Cleanup(func() {
		select {
		case <-g.unblock:
		default:
			close(g.unblock)
		}
	})
	return p, g
}

var defaultPlacement = map[byte]string{codePlacement: "home:0;copies:1;top:1"}

// reset ends a viewer's connection as a process that dies does.
func (v *emulatedClient) reset() {
	v.c.(*net.TCPConn).SetLinger(0)
	v.c.Close()
}

// roundTrip waits until a director has heard what was sent before on a connection: it answers tests in their order.
func (v *emulatedClient) roundTrip() {
	v.t.Helper()
	v.send(newClientMessage(kindProbe, 99).param(codeCause, []byte{0}).finish())
	for {
		if m, ok := v.next(); !ok {
			v.t.Fatal("the connection ended before the test was passed")
		} else if m.kind == kindProbeReply {
			return
		}
	}
}

// departures is how a client may leave that has asked for session 2.
var departures = map[string]func(v *emulatedClient){
	"closes":      func(v *emulatedClient) { v.c.Close() },
	"half-closes": func(v *emulatedClient) { v.c.(*net.TCPConn).CloseWrite() },
	"resets":      func(v *emulatedClient) { v.reset() },
	"cancels":     func(v *emulatedClient) { v.send(releaseMessage(2, causeEnded)); v.roundTrip() },
}

// A request whose client leaves while the loop is busy with another one is never sent on.
func TestClientDepartsWhileItsRequestWaitsInTheInbox(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, g := startBlockedInFirstRequest(t, 1)
			v := p.newClient()
			v.send(setupMessage(2, defaultPlacement))
			v.roundTrip()
			leave(v)
			if name != "cancels" {
				p.wait("its end was not seen", func() bool { return p.closedClients.Load() > 0 })
			}
			close(g.unblock)
			last := p.newClient() // what comes after it is served, so it was gone past
			last.send(setupMessage(3, defaultPlacement))
			last.expect(kindAnswer, 3, codeDescription)
			if n := p.nodes[0].countReceived("Session: " + sessionID(2)); n != 0 {
				t.Fatalf("%d messages went to the node for who had left", n)
			}
			p.wait("the account does not come out even", func() bool {
				c := p.d.Counts()
				return c.Legs == 2 && c.Played == 2 && c.IllegalTransitions == 0 && c.Overdue == 0
			})
		})
	}
}

// oneSeatSettings has one seat for each title of the paid class.
var oneSeatSettings = strings.Replace(testSettings, `"shelves":1`, `"licence_cap":[0,1],"shelves":1`, 1)

func TestClientDepartsWhileItsRequestWaitsForASeat(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startFixtureWith(t, 1, "", oneSeatSettings, nil)
			paid := map[byte]string{codePlacement: "home:0;copies:1;top:1", codeClass: "exam"}
			first, v, last := p.newClient(), p.newClient(), p.newClient()
			first.send(setupMessage(1, paid))
			first.expect(kindAnswer, 1, codeDescription)
			v.send(setupMessage(2, paid)) // there is no seat for it
			v.roundTrip()
			p.wait("it was not taken", func() bool { return p.d.Counts().Taken == 2 })
			leave(v)
			p.wait("its end was not seen", func() bool { return p.d.Counts().Abandoned == 1 })
			last.send(setupMessage(3, paid))
			last.roundTrip()
			p.nodes[0].send(teardownMessage(sessionID(1), causeEnded)) // the seat comes back
			last.expect(kindAnswer, 3, codeDescription)
			if n := p.nodes[0].countReceived("Session: " + sessionID(2)); n != 0 {
				t.Fatalf("%d messages went to the node for who had left", n)
			}
		})
	}
}

// A drainObserver tells when its module has heard that a server drains.
type drainObserver struct {
	director.Decider
	drains chan struct{}
}

func (w drainObserver) Step(now time.Duration, happened policy.Event) []policy.Action {
	out := w.Decider.Step(now, happened)
	if list, ok := happened.(policy.ServerList); ok && slices.ContainsFunc(list.Entries, func(e policy.NodeEntry) bool { return e.State == policy.Draining }) {
		select {
		case w.drains <- struct{}{}:
		default:
		}
	}
	return out
}

func TestClientDepartsBetweenTwoLegs(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newEmulatedDiscovery(t)
			drains := make(chan struct{}, 1)
			p := startFixtureWith(t, 2, b.ln.Addr().String(), testSettings, func(d director.Decider) director.Decider { return drainObserver{d, drains} })
			_, board := b.next(t)
			board.Write(nodeEvent(4, 1, 1, p.nodes[1].ln.Addr().String())) // the other holder drains
			<-drains                                                       // else the second attempt could go there at once
			p.nodes[0].setReply(func(s string) string { return rtspResponse(s, 500, "") })
			v, last := p.newClient(), p.newClient()
			place := map[byte]string{codePlacement: "home:0;copies:2;top:1"}
			v.send(setupMessage(2, place))
			p.wait("no attempt has failed", func() bool { return p.d.Counts().Legs == 1 })
			v.roundTrip()
			leave(v)
			p.wait("its end was not seen", func() bool { return p.d.Counts().Abandoned == 1 })
			board.Write(nodeEvent(5, 1, 0, p.nodes[1].ln.Addr().String())) // and is back: an attempt could begin there
			last.send(setupMessage(3, place))
			last.expect(kindAnswer, 3, codeDescription)
			if n := p.nodes[1].countReceived("Session: " + sessionID(2)); n != 0 {
				t.Fatalf("%d messages went to the other node for who had left", n)
			}
		})
	}
}

// An attempt that is out when its client leaves is given up, and its answer, which crosses that, reaches nobody.
func TestClientDepartsDuringALeg(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startFixtureWith(t, 1, "", oneSeatSettings, nil)
			p.nodes[0].setReply(func(string) string { return "" })
			paid := map[byte]string{codePlacement: "home:0;copies:1;top:1", codeClass: "exam"}
			v := p.newClient()
			v.send(setupMessage(2, paid))
			p.wait("no attempt", func() bool { return p.nodes[0].countReceived(methodSetup+" ") == 1 })
			leave(v)
			p.wait("the attempt was not given up", func() bool { return p.nodes[0].countReceived(methodTeardown+" ") == 1 })
			p.nodes[0].send(acceptResponse(sessionID(2))) // it crosses the word
			p.nodes[0].setReply(acceptResponse)
			last := p.newClient() // the seat came back
			last.send(setupMessage(3, paid))
			last.expect(kindAnswer, 3, codeDescription)
			p.wait("the account does not come out even", func() bool {
				c := p.d.Counts()
				return c.Abandoned == 1 && c.Played == 1 && c.Legs == 2 && c.IllegalTransitions == 0
			})
		})
	}
}

// Whoever holds the answer back lets the test say what it crosses.
func holdReplies(t *testing.T, n *emulatedNode) (asked, let chan struct{}) {
	asked, let = make(chan struct{}), make(chan struct{})
	var once sync.Once
	n.setReply(func(s string) string {
		once.Do(func() { close(asked) })
		<-let
		return acceptResponse(s)
	})
	t.Cleanup(func() {
		select {
		case <-let:
		default:
			close(let)
		}
	})
	return asked, let
}

// The answer and the deadline cross: whichever comes first, one final answer, and none after it.
func TestNodeAnswerAfterTheDeadline(t *testing.T) {
	p := startFixture(t, 1, "")
	asked, let := holdReplies(t, p.nodes[0])
	v := p.newClient()
	v.send(setupMessage(7, map[byte]string{codePlacement: "home:0;copies:1;top:1", codeClass: "exam", codeWait: "300"}))
	<-asked
	if cause := v.expect(kindRelease, 7, codeCause); cause == string([]byte{causeNacked}) {
		t.Fatal("coming again was called harmless")
	}
	close(let) // the answer comes after its time
	p.wait("the attempt was not given up", func() bool { return p.nodes[0].countReceived(methodTeardown+" ") == 1 })
	v.roundTripOnly(7)
}

// roundTripOnly wants no word of a session until a test is passed.
func (v *emulatedClient) roundTripOnly(session uint64) {
	v.t.Helper()
	v.send(newClientMessage(kindProbe, 98).param(codeCause, []byte{0}).finish())
	for {
		m, ok := v.next()
		switch {
		case !ok:
			v.t.Fatal("the connection ended")
		case m.session == session:
			v.t.Fatalf("a second word on session %d: kind %d", session, m.kind)
		case m.kind == kindProbeReply:
			return
		}
	}
}

// The answer and the loss of its connection cross: what came whole before it counts, half of it does not.
func TestNodeAnswerRacesConnectionLoss(t *testing.T) {
	for name, whole := range map[string]bool{"whole": true, "half": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startFixture(t, 1, "")
			n := p.nodes[0]
			n.setReply(func(s string) string {
				text := acceptResponse(s)
				if !whole {
					text = text[:len(text)-1]
				}
				n.mu.Lock()
				defer n.mu.Unlock()
				for _, c := range n.conns {
					fmt.Fprint(c, text)
					c.Close()
				}
				return ""
			})
			v := p.newClient()
			v.send(setupMessage(7, map[byte]string{codePlacement: "home:0;copies:1;top:1", codeClass: "exam"}))
			if whole {
				v.expect(kindAnswer, 7, codeDescription)
				return
			}
			if cause := v.expect(kindRelease, 7, codeCause); cause == string([]byte{causeNacked}) {
				t.Fatal("coming again was called harmless")
			}
			v.roundTripOnly(7)
			if sent := n.countReceived(methodSetup + " "); sent != 1 {
				t.Fatalf("a paid set-up was sent %d times", sent)
			}
		})
	}
}

// Every message, cut at each of its bytes, is read as the whole one is: a viewer's set-up, a node's answer, an event of
// the board.
func TestMessagesSplitAtEveryByte(t *testing.T) {
	b := newEmulatedDiscovery(t)
	p := startFixture(t, 2, b.ln.Addr().String())
	_, board := b.next(t)
	v := p.newClient()
	raw := setupMessage(0, defaultPlacement)
	for cut := 1; cut < len(raw); cut++ {
		id := uint64(cut)
		raw := setupMessage(id, defaultPlacement)
		v.send(raw[:cut])
		v.roundTripOnOtherConn(p) // what came before the rest has been read
		v.send(raw[cut:])
		v.expect(kindAnswer, id, codeDescription)
		v.send(releaseMessage(id, causeEnded))
		v.expect(kindAck, id, 0)
	}
	n := p.nodes[0]
	whole := acceptResponse(sessionID(5000))
	for cut := 1; cut < len(whole); cut++ {
		id := uint64(5000 + cut)
		text := acceptResponse(sessionID(id))
		n.setReply(func(string) string { return text[:cut] })
		before := n.countReceived(methodSetup + " ")
		v.send(setupMessage(id, defaultPlacement))
		p.wait("no attempt", func() bool { return n.countReceived(methodSetup+" ") > before })
		n.send(text[cut:])
		v.expect(kindAnswer, id, codeDescription)
		v.send(releaseMessage(id, causeEnded))
		v.expect(kindAck, id, 0)
	}
	n.setReply(acceptResponse)
	number := uint64(4)
	for cut := range len(nodeEvent(0, 0, 0, "")) {
		drains := nodeEvent(number, 0, byte(number%2)^1, n.ln.Addr().String()) // drains, is ready, drains, ...
		board.Write(drains[:cut])
		board.Write(drains[cut:])
		number++
	}
	board.Write(nodeEvent(number, 0, 1, n.ln.Addr().String()))
	sent := func() int { return n.countReceived(methodSetup + " ") }
	for id := uint64(9000); ; id++ {
		before := sent()
		v.send(setupMessage(id, map[byte]string{codePlacement: "home:0;copies:2;top:1"}))
		v.expect(kindAnswer, id, codeDescription)
		v.send(releaseMessage(id, causeEnded))
		v.expect(kindAck, id, 0)
		if sent() == before && p.nodes[1].countReceived(methodSetup+" ") > 6 { // it drains, as the last event says
			break
		}
		if id == 9400 {
			t.Fatal("the last event was not read")
		}
	}
}

// roundTripOnOtherConn waits until a director has read what was sent before on other connections.
func (v *emulatedClient) roundTripOnOtherConn(p *fixture) {
	v.t.Helper()
	if p.probeClient == nil {
		p.probeClient = p.newClient()
	}
	p.probeClient.roundTrip()
}

// A node closes its connection as a set-up is written on it. Whichever comes first: one final answer, a paid set-up
// once at most where it may have run, and never a word that coming again is harmless then.
func TestNodeClosesConnectionDuringSetupWrite(t *testing.T) {
	p := startFixture(t, 1, "")
	n, v := p.nodes[0], p.newClient()
	for id := uint64(1); id <= 40; id++ {
		v.send(setupMessage(1000+id, defaultPlacement)) // so that there is a connection
		m, ok := v.next()
		if !ok || m.kind != kindAnswer && m.kind != kindRelease {
			t.Fatalf("%v, kind %d", ok, m.kind)
		}
		if m.kind == kindAnswer {
			v.send(releaseMessage(1000+id, causeEnded))
			v.expect(kindAck, 1000+id, 0)
		}
		before := n.countReceived("Session: " + sessionID(id))
		n.mu.Lock()
		for _, c := range n.conns {
			if id%2 == 0 {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}
		n.conns = nil
		n.mu.Unlock()
		v.send(setupMessage(id, map[byte]string{codePlacement: "home:0;copies:1;top:1", codeClass: "exam", codeWait: "1000"}))
		m, ok = v.next()
		sent := n.countReceived("Session: "+sessionID(id)) - before
		if !ok || m.session != id || m.kind != kindAnswer && m.kind != kindRelease || sent > 1 {
			t.Fatalf("%v, kind %d, session %d, sent %d times", ok, m.kind, m.session, sent)
		}
		if m.kind == kindAnswer {
			v.send(releaseMessage(id, causeEnded))
			v.expect(kindAck, id, 0)
		}
	}
}

// An idle connection is let go for a newcomer while a request of its own stands in line right behind that one's knock.
func TestRequestRacesEvictionOfItsConnection(t *testing.T) {
	p, g := startBlockingFixture(t, reservedDescriptors+minPendingConnections+4, 1) // room for two viewers
	idle, busy := p.newClient(), p.newClient()
	idle.send(releaseMessage(77, causeEnded)) // knocks, and asks for nothing
	idle.expect(kindAck, 77, 0)
	p.wait("it was not let in", func() bool { used, _ := p.d.ConnectionUsage(); return used == 1 })
	time.Sleep(300 * time.Millisecond) // idle for long enough to make place
	busy.send(setupMessage(1, defaultPlacement))
	<-g.entered
	newcomer := p.newClient()
	newcomer.send(setupMessage(2, defaultPlacement))
	newcomer.roundTrip()
	idle.send(setupMessage(3, defaultPlacement))
	idle.roundTrip()
	close(g.unblock)
	busy.expect(kindAnswer, 1, codeDescription)
	for session, v := range map[uint64]*emulatedClient{2: newcomer, 3: idle} {
		if m, ok := v.next(); !ok || m.session != session || m.kind != kindAnswer && m.kind != kindRelease {
			t.Fatalf("%v, kind %d of session %d; session %d is owed a final answer", ok, m.kind, m.session, session)
		}
	}
}

// A client that does not read holds what is written to it back; that it has left is seen all the same, and at once.
func TestClientDepartsWhileItsAnswersAreUnread(t *testing.T) {
	for name, leave := range map[string]func(v *emulatedClient){
		"closes": func(v *emulatedClient) { v.c.Close() },
		"resets": func(v *emulatedClient) { v.reset() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startFixtureWith(t, 1, "", oneSeatSettings, nil)
			paid := map[byte]string{codePlacement: "home:0;copies:1;top:1", codeClass: "exam"}
			first, v, last := p.newClient(), p.newClient(), p.newClient()
			first.send(setupMessage(1, paid))
			first.expect(kindAnswer, 1, codeDescription)
			v.c.(*net.TCPConn).SetReadBuffer(4096)
			many := []byte{}
			for range 12_000 { // what they are answered with is more than two kernels hold, and less than the queue does
				many = append(many, newClientMessage(kindProbe, 99).param(codeCause, []byte{0}).finish()...)
			}
			v.send(many)
			v.send(setupMessage(2, paid)) // there is no seat for it
			p.wait("it was not taken", func() bool { return p.d.Counts().Taken == 2 })
			leave(v)
			p.wait("its end was not seen", func() bool { return p.d.Counts().Abandoned == 1 })
			last.send(setupMessage(3, paid))
			last.roundTrip()
			p.nodes[0].send(teardownMessage(sessionID(1), causeEnded))
			last.expect(kindAnswer, 3, codeDescription)
			if n := p.nodes[0].countReceived("Session: " + sessionID(2)); n != 0 {
				t.Fatalf("%d messages went to the node for who had left", n)
			}
		})
	}
}
