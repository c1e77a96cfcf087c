package director

import (
	"fmt"
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/policy"
)

func TestRequestPlaysAndEnds(t *testing.T) {
	s := newHarness(t, 3)
	s.request("1", "exam")
	g := s.onlySetup()
	if g.Message.Rung < 1 || g.Message.RateKB < 200 || g.Message.Tariff != "exam" {
		t.Fatal(g.Message)
	}
	s.step(legReply(g, wire.Accepted))
	if a := s.onlyAnswer(wire.Playing); a.ID != "1" || a.Session != g.Message.Session || a.Address == "" {
		t.Fatal(a)
	}
	s.advance(5 * time.Second)
	s.step(legReply(g, wire.Ended))
	if over := s.clientMessages(wire.SessionEnded); len(over) != 1 || over[0].Reason != "ended" {
		t.Fatal(over)
	}
	s.requireNoState()
}

// A node that is silent after it took a set-up: a free session goes on to another node in time, with the
// first leg called off; a paid one fails at its hard stop and is sent nowhere else.
func TestNodeSilentAfterAccepting(t *testing.T) {
	s := newHarness(t, 3)
	s.request("1", "clip")
	first := s.onlySetup()
	s.advance(450 * ms)
	all := s.setups()
	if len(all) != 2 || all[1].Link == first.Link {
		t.Fatal(all)
	}
	if e := s.endedLegs(); len(e) != 1 || e[0] != first.Setup {
		t.Fatal("the first leg is not called off", e)
	}
	s.step(legReply(all[1], wire.Accepted))
	s.onlyAnswer(wire.Playing)

	s = newHarness(t, 3)
	s.request("1", "exam")
	first = s.onlySetup()
	s.advance(1949 * ms)
	if len(s.answers()) != 0 {
		t.Fatal("answered early", s.answers())
	}
	s.advance(2 * ms) // AnswerAhead before the tariff's hard stop
	s.onlyAnswer(wire.Errored)
	s.onlySetup()
	s.step(legReply(first, wire.Accepted)) // too late: it is told to end
	s.onlyAnswer(wire.Errored)
	if e := s.endedLegs(); len(e) != 2 {
		t.Fatal(e)
	}
	s.requireNoState()
}

// The viewer leaves and the answer comes in the same instant, in both orders.
func TestCancelCrossesAnswer(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		s := newHarness(t, 3)
		s.request("1", "exam")
		g := s.onlySetup()
		leave := func() { s.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: "1"}}) }
		if answerFirst {
			s.step(legReply(g, wire.Accepted))
			leave()
			s.onlyAnswer(wire.Playing)
		} else {
			leave()
			s.step(legReply(g, wire.Accepted))
			if a := s.answers(); len(a) != 0 {
				t.Fatal("an answer to who has left", a)
			}
		}
		if len(s.endedLegs()) == 0 {
			t.Fatal("the node plays on for nobody")
		}
		s.advance(5 * time.Second)
		s.onlySetup()
		s.requireNoState()
	}
}

// What is in the inbox when its time runs out still counts; a moment later it does not.
func TestAnswerAndHardStopInOneTick(t *testing.T) {
	s := newHarness(t, 3)
	s.request("1", "exam")
	g := s.onlySetup()
	s.now += 1950 * ms
	s.step(legReply(g, wire.Accepted))
	s.onlyAnswer(wire.Playing)

	s = newHarness(t, 3)
	s.request("1", "exam")
	g = s.onlySetup()
	s.now += 1950 * ms
	s.step(Tick{})
	s.step(legReply(g, wire.Accepted))
	s.onlyAnswer(wire.Errored)
}

// A node that dies between taking a set-up and playing: what went out may have run, what never left did not.
func TestLinkLostWithLegsOut(t *testing.T) {
	s := newHarness(t, 3)
	s.request("1", "exam")
	g := s.onlySetup()
	s.step(LinkLost{Link: g.Link})
	s.onlyAnswer(wire.Errored)
	s.advance(3 * time.Second)
	s.onlySetup()
	s.requireNoState()

	s = newHarness(t, 3)
	s.request("1", "exam")
	g = s.onlySetup()
	s.step(LinkLost{Link: g.Link, Unsent: []uint64{g.Setup}})
	all := s.setups()
	if len(all) != 2 || all[1].Link == g.Link || len(s.answers()) != 0 {
		t.Fatal(all, s.answers())
	}
	if n := s.loop.counts.NeverRan; n[4] != 1 {
		t.Fatal(n)
	}
}

// A connection that died without a word is given up after three signs of life are missing.
func TestUnresponsiveLinkIsClosed(t *testing.T) {
	s := newHarness(t, 1)
	s.request("1", "clip")
	g := s.onlySetup()
	s.step(legReply(g, wire.Accepted))
	s.advance(2 * time.Second)
	asked := 0
	for _, o := range s.outputs {
		if a, ok := o.(ProbeLink); ok && a.Link == g.Link {
			asked++
		}
	}
	if asked == 0 {
		t.Fatal("never asked for a sign of life")
	}
	s.step(LinkAlive{g.Link, 2 * time.Second})
	if len(s.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("given up too early")
	}
	s.step(LinkAlive{g.Link, 3100 * ms})
	if over := s.clientMessages(wire.SessionEnded); len(over) != 1 || over[0].Reason != "node lost" {
		t.Fatal(over)
	}
	s.requireNoState()
}

func TestDuplicateAndUnexpectedAnswersAreOnlyCounted(t *testing.T) {
	s := newHarness(t, 3)
	s.request("1", "clip")
	g := s.onlySetup()
	s.step(legReply(g, wire.Accepted))
	s.step(legReply(g, wire.Accepted)) // twice
	s.onlyAnswer(wire.Playing)
	s.step(LinkReceived{Link: g.Link, Message: wire.NodeMessage{Type: wire.Accepted, Leg: 999}}) // of nobody
	if e := s.endedLegs(); len(e) != 1 || e[0] != 999 {
		t.Fatal("who plays for nobody is not ended", e)
	}
	other := s.links[nodeName(0)]
	if other == g.Link {
		other = s.links[nodeName(1)]
	}
	s.step(LinkReceived{Link: other, Message: wire.NodeMessage{Type: wire.Ended, Leg: g.Setup}}) // of another node's leg
	if len(s.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("another node ended it")
	}
	if c := s.loop.counts; c.LateAnswers != 1 || c.Unexpected != 2 {
		t.Fatal(c.LateAnswers, c.Unexpected)
	}
}

// "Full" after "accepted" is no proof of anything.
func TestFullAfterAcceptedIsNoProof(t *testing.T) {
	s := newHarness(t, 3)
	s.request("1", "exam")
	g := s.onlySetup()
	s.step(legReply(g, wire.Accepted))
	s.step(legReply(g, wire.Full))
	s.advance(3 * time.Second)
	s.onlySetup()
	if over := s.clientMessages(wire.SessionEnded); len(over) != 1 || over[0].Reason != "node lost" || s.loop.counts.NeverRan[1] != 0 {
		t.Fatal(over)
	}
	s.requireNoState()
}

// News of a drain while a set-up waits in an outbound queue: it is taken back, counts as never sent, and
// goes elsewhere, a paid one too.
func TestDrainWithdrawsUnsentSetups(t *testing.T) {
	s := newHarness(t, 3)
	s.request("1", "exam")
	g := s.onlySetup()
	var at int
	for i := range 3 {
		if s.links[nodeName(i)] == g.Link {
			at = i
		}
	}
	e := upEntry(at)
	e.State = wire.Draining
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	if w := s.withdrawals(); len(w) != 1 || w[0] != g.Setup {
		t.Fatal(w)
	}
	s.onlySetup() // not sent again before it is proven
	s.step(Withdrawn{g.Setup})
	all := s.setups()
	if len(all) != 2 || all[1].Link == g.Link {
		t.Fatal(all)
	}
	s.step(Withdrawn{g.Setup}) // too late for anything
	if len(s.setups()) != 2 {
		t.Fatal(s.setups())
	}
}

// A leg that waits for its node's connection is never sent where the list takes the node off meanwhile.
func TestDrainWhileConnecting(t *testing.T) {
	s := newHarness(t, 1)
	s.step(LinkLost{Link: s.links[nodeName(0)]}) // it is dialled again at once
	s.request("1", "exam")
	if len(s.setups()) != 0 {
		t.Fatal("sent without a connection")
	}
	e := upEntry(0)
	e.State = wire.Draining
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	s.connectNode(nodeName(0))
	s.advance(3 * time.Second)
	if len(s.setups()) != 0 {
		t.Fatal("sent to a draining node")
	}
	s.onlyAnswer(wire.Nack) // nothing paid ever ran
	s.requireNoState()
}

func TestWaitingLegIsSentOnceConnected(t *testing.T) {
	s := newHarness(t, 1)
	s.step(LinkLost{Link: s.links[nodeName(0)]})
	s.request("1", "exam")
	s.advance(20 * ms)
	s.connectNode(nodeName(0))
	s.step(legReply(s.onlySetup(), wire.Accepted))
	s.onlyAnswer(wire.Playing)

	s = newHarness(t, 1)
	s.step(LinkLost{Link: s.links[nodeName(0)]})
	s.request("1", "exam")
	s.step(LinkFailed{Node: nodeName(0), Link: s.links[nodeName(0)]})
	s.advance(2 * time.Second)
	s.onlyAnswer(wire.Nack)
	if n := s.loop.counts.NeverRan[2]; n == 0 {
		t.Fatal("no proof counted")
	}
	s.requireNoState()
}

// The same request twice on one connection is one session; what was answered is answered again.
func TestRepeatedRequestIsAnsweredAsBefore(t *testing.T) {
	s := newHarness(t, 3)
	s.request("1", "exam")
	s.request("1", "exam")
	g := s.onlySetup()
	s.step(legReply(g, wire.Accepted))
	s.onlyAnswer(wire.Playing)
	s.request("1", "exam")
	a := s.answers()
	if len(a) != 2 || a[0] != a[1] || len(s.setups()) != 1 {
		t.Fatal(a)
	}
}

// A viewer whose connection broke finds the same session again by its key: in set-up and while it plays,
// with no second leg. After the linger it is gone.
func TestBrokenConnectionIsResumed(t *testing.T) {
	key := func(k string) func(*wire.SessionMessage) { return func(m *wire.SessionMessage) { m.Key = k } }
	s := newHarness(t, 3)
	s.request("1", "exam", key("k"))
	g := s.onlySetup()
	s.step(ClientLost{Conn: 1})
	s.connectClient(2)
	s.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Request, ID: "9", Tariff: "exam", Title: "t", Key: "k", WaitMS: 5000}})
	s.step(legReply(g, wire.Accepted))
	if a := s.onlyAnswer(wire.Playing); a.ID != "9" {
		t.Fatal(a)
	}
	// While the second connection still stands, a third one takes the session over.
	s.connectClient(3)
	s.step(ClientReceived{Conn: 3, Message: wire.SessionMessage{Type: wire.Request, ID: "7", Tariff: "exam", Title: "t", Key: "k", WaitMS: 5000}})
	if a := s.answers(); len(a) != 2 || a[1].ID != "7" || a[1].Session != a[0].Session {
		t.Fatal(a)
	}
	if over := s.clientMessages(wire.SessionEnded); len(over) != 1 || over[0].Reason != "taken over" {
		t.Fatal(over)
	}
	s.onlySetup()
	// The key with another title is somebody else's.
	s.step(ClientReceived{Conn: 3, Message: wire.SessionMessage{Type: wire.Request, ID: "8", Tariff: "clip", Title: "t", Key: "k", WaitMS: 5000}})
	if a := s.answers(); len(a) != 3 || a[2].Type != wire.Errored {
		t.Fatal(a)
	}
	s.step(ClientLost{Conn: 3})
	s.advance(999 * ms)
	if len(s.endedLegs()) != 0 {
		t.Fatal("ended within the linger")
	}
	s.advance(2 * ms)
	if e := s.endedLegs(); len(e) != 1 || e[0] != g.Setup {
		t.Fatal(e)
	}
	s.requireNoState()
}

// A viewer who comes again with less patience is answered by it.
func TestResumedRequestKeepsItsOwnTime(t *testing.T) {
	s := newHarness(t, 3)
	s.request("1", "exam", func(m *wire.SessionMessage) { m.Key = "k" })
	s.step(ClientLost{Conn: 1})
	s.connectClient(2)
	s.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Request, ID: "1", Tariff: "exam", Title: "t", Key: "k", WaitMS: 500}})
	s.advance(451 * ms)
	s.onlyAnswer(wire.Errored)
	s.advance(3 * time.Second)
	s.onlySetup()
	s.requireNoState()
}

func TestRequestsThatCannotBeTaken(t *testing.T) {
	s := newHarness(t, 3)
	s.request("1", "nothing")
	s.request("2", "clip", func(m *wire.SessionMessage) { m.Title = "other" })
	for _, id := range []string{"3", "4", "5", "6"} {
		s.request(id, "clip")
	}
	s.request("7", "clip") // one more than a connection may have
	got := map[string]string{}
	for _, a := range s.answers() {
		got[a.ID] = a.Type + ": " + a.Reason
	}
	if len(got) != 3 || got["1"] != "errored: unknown tariff" || got["2"] != "nack: unknown title" ||
		got["7"] != "nack: too many sessions on this connection" {
		t.Fatal(got)
	}
	s.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Playing, ID: "1"}})
	if c, ok := s.lastOutputs[len(s.lastOutputs)-1].(CloseClient); !ok || c.Code != 1008 {
		t.Fatal(s.lastOutputs)
	}
}

// Requests of a connection that ended are forgotten but for the last few.
func TestEndedRequestsPerConnectionAreBounded(t *testing.T) {
	s := newHarness(t, 3)
	for i := range 100 {
		s.request(nodeName(i), "nothing")
	}
	if n := len(s.loop.conns[1].requests); n != maxEndedRequests {
		t.Fatal(n)
	}
}

// An order to stop: nothing new is taken, the answer that is owed goes out, sessions end in slices.
func TestStop(t *testing.T) {
	s := newHarness(t, 3)
	for _, id := range []string{"1", "2", "3"} {
		s.request(id, "clip")
	}
	for _, g := range s.setups() {
		s.step(legReply(g, wire.Accepted))
	}
	s.request("4", "exam")
	owed := s.setups()[3]
	s.clearOutputs()
	s.step(Stop{})
	s.request("5", "clip")
	if a := s.onlyAnswer(wire.Nack); a.ID != "5" || a.Reason != "director closes" {
		t.Fatal(a)
	}
	s.step(legReply(owed, wire.Accepted))
	if a := s.answers(); len(a) != 2 || a[1].Type != wire.Playing {
		t.Fatal(a)
	}
	s.advance(2 * time.Second)
	if !s.ended {
		t.Fatal("not ended within the term")
	}
	if over := s.clientMessages(wire.SessionEnded); len(over) != 4 {
		t.Fatal(over)
	}
}

// At the end of a stop's term what is still owed is given up at once, paid or not.
func TestShutdownAnswersPendingRequestsAtItsDeadline(t *testing.T) {
	s := newHarness(t, 3)
	s.loop.shutdownPolicy.Timeout = 300 * ms
	s.request("1", "exam")
	s.step(Stop{})
	s.advance(301 * ms)
	s.onlyAnswer(wire.Errored)
	if !s.ended {
		t.Fatal("not ended")
	}
}

// The process stood still for two seconds: everything overdue is settled in the order of its time.
func TestStallSettlesOldestFirst(t *testing.T) {
	s := newHarness(t, 3)
	for i, wait := range []int64{1900, 1000, 1500} {
		s.request(nodeName(i), "exam", func(m *wire.SessionMessage) { m.WaitMS = wait; m.Title = "t"; m.Tariff = "clip" })
	}
	s.now += 2500 * ms
	s.step(Tick{})
	order := ""
	for _, a := range s.answers() {
		order += a.ID
	}
	if order != "n1n2n0" {
		t.Fatal(order)
	}
}

// A node tells of its own new start before the list does; the module hears of it, and the link to what no
// longer runs is given up once the list tells of a start that it does not lead to.
func TestNodeRestartIsReportedToPolicy(t *testing.T) {
	s := newHarness(t, 1)
	link := s.links[nodeName(0)]
	s.step(LinkReceived{Link: link, Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 77, UptimeMS: 10}})
	if n := s.loop.nodes[nodeName(0)]; n.incarnation != 77 || n.startedAt != s.now-10*ms {
		t.Fatal(n.incarnation, n.startedAt)
	}
	e := upEntry(0)
	e.Incarnation, e.UptimeMS = 77, 500 // the list, later: the same start
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	if n := s.loop.nodes[nodeName(0)]; n.startedAt != s.now-10*ms || n.link != link {
		t.Fatal("one start is taken for two")
	}
	e.Incarnation, e.UptimeMS = 78, 5
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 3, Nodes: []wire.NodeEntry{e}}})
	if s.links[nodeName(0)] == link {
		t.Fatal("the old connection is kept")
	}
}

// A node that is taken off and listed again while its sessions play keeps its connection, and is connected
// to again should that end.
func TestNodeListedAgain(t *testing.T) {
	s := newHarness(t, 1)
	s.request("1", "clip")
	s.step(legReply(s.onlySetup(), wire.Accepted))
	link := s.links[nodeName(0)]
	off := upEntry(0)
	off.State = wire.Removed
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{off}}})
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 3, Nodes: []wire.NodeEntry{upEntry(0)}}})
	if len(s.clientMessages(wire.SessionEnded)) != 0 || s.links[nodeName(0)] != link {
		t.Fatal("the session was lost by it")
	}
	s.step(LinkLost{Link: link})
	if s.links[nodeName(0)] == link {
		t.Fatal("not connected to again")
	}
	// Off for good: once the last leg has ended nothing of it is left.
	s.step(LinkFailed{Node: nodeName(0), Link: s.links[nodeName(0)]})
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Snapshot, Serial: 4, Titles: []wire.TitlePlacement{{Title: "t", Copies: 8}}}})
	if len(s.loop.nodes) != 0 || len(s.loop.links) != 0 {
		t.Fatal(len(s.loop.nodes), len(s.loop.links))
	}
}

// What the module asks and can't be carried out comes back as what is true of it.
func TestImpossibleDispatchIsMoot(t *testing.T) {
	s := newHarness(t, 1)
	odd := &invalidDispatchDecider{}
	s.loop.decider = odd
	s.request("1", "clip")
	if len(odd.results) != 1 || odd.results[0].Outcome != policy.NeverStarted || odd.results[0].Final {
		t.Fatal(odd.results)
	}
	s.advance(3 * time.Second) // it never answers: the loop does
	s.onlyAnswer(wire.Errored)
	if s.loop.counts.Overdue != 1 {
		t.Fatal(s.loop.counts.Overdue)
	}
	s.requireNoState()
}

type invalidDispatchDecider struct{ results []policy.LegResult }

func (o *invalidDispatchDecider) Step(_ time.Duration, e policy.Event) []policy.Action {
	switch e := e.(type) {
	case policy.Request:
		return []policy.Action{policy.Dispatch{ID: e.ID, Node: "nowhere"}, policy.Nack{ID: 999}}
	case policy.LegResult:
		o.results = append(o.results, e)
	}
	return nil
}

func TestNeverRanOutcomes(t *testing.T) {
	for f, proven := range map[legOutcome]bool{outcomeFull: true, outcomeUnconnected: true, outcomeWithdrawn: true, outcomeUnsent: true, outcomeFailed: false,
		outcomeTimedOut: false, outcomeReset: false, outcomeCancelled: false, outcomeServed: false, outcomeBroken: false} {
		outcome, proof := neverRan(f)
		module := outcome == policy.Full || outcome == policy.ConnectFailed || outcome == policy.NeverStarted
		if proven != (proof > 0) || proven != module {
			t.Error(f, outcome, proof)
		}
	}
}

// A request that crosses the word to go is not taken: the close is its answer, and no session is set up
// for who can't be told of it.
func TestRequestCrossesEviction(t *testing.T) {
	s := newHarness(t, 3)
	for i := range 960 { // full: the idle have to go
		s.connectClient(uint64(100 + i))
	}
	s.advance(2 * time.Second)
	var let []uint64
	for _, o := range s.outputs {
		if c, ok := o.(CloseClient); ok && c.Code == 1013 {
			let = append(let, c.Conn)
		}
	}
	if len(let) == 0 || let[0] != 1 { // the first to come has been idle longest
		t.Fatal(len(let))
	}
	s.clearOutputs()
	s.request("1", "exam")
	if len(s.setups()) != 0 || len(s.answers()) != 0 {
		t.Fatal("taken after it was told to go")
	}
	s.step(ClientLost{Conn: 1})
	s.requireNoState()
}

// The loop is behind: requests that have stood in line for long are nacked at once, before anything was
// done for them, with a time to come back; a session that is there already is found again all the same.
func TestQueueDelaySheddingUnderOverload(t *testing.T) {
	s := newHarness(t, 2)
	s.request("first", "clip")
	s.step(legReply(s.onlySetup(), wire.Accepted))
	s.clearOutputs()
	stood := func(id string) {
		s.step(ClientReceived{Conn: 1, Waited: 300 * ms, Message: wire.SessionMessage{Type: wire.Request, ID: id, Tariff: "clip", Title: "t", Key: "key-" + id, WaitMS: 5000}})
	}
	for i := range 300 {
		s.now += ms
		stood(fmt.Sprint("w", i))
		if n := len(s.loop.sessions); n > 4 { // as many as a connection may have: make room
			t.Fatal(n)
		}
		for _, x := range s.loop.sessions {
			if x.request != "first" {
				s.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: x.request}})
			}
		}
	}
	nacks := s.clientMessages(wire.Nack)
	if len(nacks) < 90 || nacks[0].Reason != "busy" || nacks[0].BackoffMS < 1000 || s.loop.counts.RequestsShed != uint64(len(nacks)) {
		t.Fatal(len(nacks), s.loop.counts.RequestsShed)
	}
	s.clearOutputs()
	s.connectClient(2)
	s.step(ClientReceived{Conn: 2, Waited: 300 * ms, Message: wire.SessionMessage{Type: wire.Request, ID: "again", Tariff: "clip", Title: "t", Key: "key-first", WaitMS: 5000}})
	if len(s.clientMessages(wire.Playing)) != 1 || s.loop.counts.Adopted != 1 {
		t.Fatal(s.outputs)
	}
}

// A request whose time ran out while it stood in line is answered in the step that takes it, without a leg.
func TestDeadlinePassesInQueue(t *testing.T) {
	s := newHarness(t, 2)
	s.step(ClientReceived{Conn: 1, Waited: 2 * time.Second, Message: wire.SessionMessage{Type: wire.Request, ID: "1", Tariff: "exam", Title: "t", Key: "k", WaitMS: 2000}})
	if n := s.clientMessages(wire.Nack); len(n) != 1 || len(s.setups()) != 0 {
		t.Fatal(s.outputs)
	}
	s.requireNoState()
}

// A node starts anew while directors wait to be connected to it again: what each of them had for it before must
// not reach it before it has said that it is cold, or all directors together push it over. Found by a hunt.
func TestSetupsWaitForHello(t *testing.T) {
	s := newHarness(t, 1)
	s.step(LinkLost{Link: s.links[nodeName(0)]})
	s.advance(ms)
	s.request("1", "exam")
	s.step(LinkConnected{nodeName(0), s.links[nodeName(0)]})
	if len(s.setups()) != 0 {
		t.Fatal("sent before the node has said which start it is in")
	}
	s.step(LinkReceived{Link: s.links[nodeName(0)], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 77, UptimeMS: 5}})
	if n := s.loop.counts.NeverRan[3]; n != 1 {
		t.Fatal(n, "legs taken back")
	}
	s.advance(3 * time.Second) // the module decides again, at the pace for a cold node
	if n := len(s.setups()); n > 1 {
		t.Fatal(n, "set-ups of one session")
	}

	// The connection ends without a greeting: the leg provably never ran, paid or not.
	s = newHarness(t, 1)
	s.step(LinkLost{Link: s.links[nodeName(0)]})
	s.advance(ms)
	s.request("1", "exam")
	s.step(LinkConnected{nodeName(0), s.links[nodeName(0)]})
	s.step(LinkLost{Link: s.links[nodeName(0)]})
	if n := s.loop.counts.NeverRan[2]; n != 1 || len(s.setups()) != 0 {
		t.Fatal(n, s.setups())
	}
}

// A node starts twice within a warm-up, and the list, which is behind, tells of the first start once the node
// itself has told of the second: the connection stays, and what plays on it. Word of a later start ends it.
func TestStaleListDoesNotReplaceHello(t *testing.T) {
	s := newHarness(t, 1)
	s.step(LinkLost{Link: s.links[nodeName(0)]})
	s.advance(ms)
	s.step(LinkConnected{nodeName(0), s.links[nodeName(0)]})
	s.step(LinkReceived{Link: s.links[nodeName(0)], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 9, UptimeMS: 50}})
	s.advance(2 * time.Second)
	s.request("1", "clip")
	g := s.onlySetup()
	s.step(legReply(g, wire.Accepted))
	s.clearOutputs()
	late := upEntry(0)
	late.Incarnation, late.UptimeMS = 8, 5000
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{late}}})
	if len(s.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("hung up on a node that runs")
	}
	later := upEntry(0)
	later.Incarnation, later.UptimeMS = 10, 20
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 3, Nodes: []wire.NodeEntry{later}}})
	if len(s.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("kept what leads to a process that has ended")
	}
}

// The list names a node's new start without saying when that was: the node's own word that it is cold counts.
// Taken for warm it was pushed over by a single director. Found by a hunt.
func TestSlowStartFromHelloAge(t *testing.T) {
	for _, byList := range []bool{false, true} {
		s := newHarness(t, 1)
		s.step(LinkLost{Link: s.links[nodeName(0)]})
		anew := upEntry(0)
		anew.Incarnation = 9
		s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{anew}}})
		s.advance(ms)
		s.step(LinkConnected{nodeName(0), s.links[nodeName(0)]})
		greeting := wire.NodeMessage{Type: wire.Hello, Incarnation: 9}
		if byList {
			anew.UptimeMS = 10
			s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 3, Nodes: []wire.NodeEntry{anew}}})
		} else {
			greeting.UptimeMS = 10
		}
		s.step(LinkReceived{Link: s.links[nodeName(0)], Message: greeting})
		if n := s.loop.nodes[nodeName(0)]; n.entry.StartedAt < s.now-50*ms {
			t.Fatalf("by the list %t: taken for started at %v at %v", byList, n.entry.StartedAt, s.now)
		}
	}
}
