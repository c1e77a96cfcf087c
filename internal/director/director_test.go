package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/policy"
)

func TestRequestPlaysAndEnds(t *testing.T) {
	h := newHarness(t, 3)
	h.request("1", "exam")
	setup := h.onlySetup()
	if setup.Message.Rung < 1 || setup.Message.RateKB < 200 || setup.Message.Tariff != "exam" {
		t.Fatal(setup.Message)
	}
	h.step(legReply(setup, wire.Accepted))
	if a := h.onlyAnswer(wire.Playing); a.ID != "1" || a.Session != setup.Message.Session || a.Address == "" {
		t.Fatal(a)
	}
	h.advance(5 * time.Second)
	h.step(legReply(setup, wire.Ended))
	if ended := h.clientMessages(wire.SessionEnded); len(ended) != 1 || ended[0].Reason != "ended" {
		t.Fatal(ended)
	}
	h.requireNoState()
}

// A node does not answer a set-up. A free session is set up on another node before its deadline, and the first leg is
// cancelled. A paid session fails at its deadline and is not sent to another node.
func TestNodeDoesNotAnswerSetup(t *testing.T) {
	h := newHarness(t, 3)
	h.request("1", "clip")
	first := h.onlySetup()
	h.advance(450 * ms)
	all := h.setups()
	if len(all) != 2 || all[1].Link == first.Link {
		t.Fatal(all)
	}
	if e := h.endedLegs(); len(e) != 1 || e[0] != first.Setup {
		t.Fatal("the first leg is not cancelled", e)
	}
	h.step(legReply(all[1], wire.Accepted))
	h.onlyAnswer(wire.Playing)

	h = newHarness(t, 3)
	h.request("1", "exam")
	first = h.onlySetup()
	h.advance(1949 * ms)
	if len(h.answers()) != 0 {
		t.Fatal("answered early", h.answers())
	}
	h.advance(2 * ms) // AnswerMargin before the tariff's hard stop
	h.onlyAnswer(wire.Errored)
	h.onlySetup()
	h.step(legReply(first, wire.Accepted)) // too late: the node has to end the leg
	h.onlyAnswer(wire.Errored)
	if e := h.endedLegs(); len(e) != 2 {
		t.Fatal(e)
	}
	h.requireNoState()
}

// The client cancels and the node accepts at the same time, in both orders.
func TestCancelCrossesAnswer(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		h := newHarness(t, 3)
		h.request("1", "exam")
		setup := h.onlySetup()
		cancel := func() { h.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: "1"}}) }
		if answerFirst {
			h.step(legReply(setup, wire.Accepted))
			cancel()
			h.onlyAnswer(wire.Playing)
		} else {
			cancel()
			h.step(legReply(setup, wire.Accepted))
			if a := h.answers(); len(a) != 0 {
				t.Fatal("an answer was sent after the cancellation", a)
			}
		}
		if len(h.endedLegs()) == 0 {
			t.Fatal("no end message for the leg was sent to the node")
		}
		h.advance(5 * time.Second)
		h.onlySetup()
		h.requireNoState()
	}
}

// A node's answer that the loop receives at the deadline, before the Tick, still counts. One after that Tick does not.
func TestAnswerAndDeadlineInOneTick(t *testing.T) {
	h := newHarness(t, 3)
	h.request("1", "exam")
	setup := h.onlySetup()
	h.now += 1950 * ms
	h.step(legReply(setup, wire.Accepted))
	h.onlyAnswer(wire.Playing)

	h = newHarness(t, 3)
	h.request("1", "exam")
	setup = h.onlySetup()
	h.now += 1950 * ms
	h.step(Tick{})
	h.step(legReply(setup, wire.Accepted))
	h.onlyAnswer(wire.Errored)
}

// A node's connection is lost before it accepts a set-up. A set-up that was sent may have run, and a paid one is not
// sent again; one of which not one byte left the director never ran, and is sent to another node.
func TestLinkLostBeforeSetupIsAccepted(t *testing.T) {
	h := newHarness(t, 3)
	h.request("1", "exam")
	setup := h.onlySetup()
	h.step(LinkLost{Link: setup.Link})
	h.onlyAnswer(wire.Errored)
	h.advance(3 * time.Second)
	h.onlySetup()
	h.requireNoState()

	h = newHarness(t, 3)
	h.request("1", "exam")
	setup = h.onlySetup()
	h.step(LinkLost{Link: setup.Link, Unsent: []uint64{setup.Setup}})
	all := h.setups()
	if len(all) != 2 || all[1].Link == setup.Link || len(h.answers()) != 0 {
		t.Fatal(all, h.answers())
	}
	if n := h.loop.counts.NeverRan; n[4] != 1 {
		t.Fatal(n)
	}
}

// A connection on which nothing is received is closed after three missed heartbeats.
func TestUnresponsiveLinkIsClosed(t *testing.T) {
	h := newHarness(t, 1)
	h.request("1", "clip")
	setup := h.onlySetup()
	h.step(legReply(setup, wire.Accepted))
	h.advance(2 * time.Second)
	probes := 0
	for _, o := range h.outputs {
		if probe, ok := o.(ProbeLink); ok && probe.Link == setup.Link {
			probes++
		}
	}
	if probes == 0 {
		t.Fatal("the link was never probed")
	}
	h.step(LinkAlive{setup.Link, 2 * time.Second})
	if len(h.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("the link was closed too early")
	}
	h.step(LinkAlive{setup.Link, 3100 * ms})
	if ended := h.clientMessages(wire.SessionEnded); len(ended) != 1 || ended[0].Reason != "node lost" {
		t.Fatal(ended)
	}
	h.requireNoState()
}

func TestDuplicateAndUnexpectedAnswersAreOnlyCounted(t *testing.T) {
	h := newHarness(t, 3)
	h.request("1", "clip")
	setup := h.onlySetup()
	h.step(legReply(setup, wire.Accepted))
	h.step(legReply(setup, wire.Accepted)) // a duplicate
	h.onlyAnswer(wire.Playing)
	h.step(LinkReceived{Link: setup.Link, Message: wire.NodeMessage{Type: wire.Accepted, Leg: 999}}) // of an unknown leg
	if e := h.endedLegs(); len(e) != 1 || e[0] != 999 {
		t.Fatal("an unknown leg that was accepted is not ended", e)
	}
	other := h.links[nodeName(0)]
	if other == setup.Link {
		other = h.links[nodeName(1)]
	}
	h.step(LinkReceived{Link: other, Message: wire.NodeMessage{Type: wire.Ended, Leg: setup.Setup}}) // of another node's leg
	if len(h.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("another node ended the session")
	}
	if c := h.loop.counts; c.LateAnswers != 1 || c.Unexpected != 2 {
		t.Fatal(c.LateAnswers, c.Unexpected)
	}
}

// "Full" after "accepted" does not prove that the leg never ran: a paid session is not set up again.
func TestFullAfterAcceptedIsNoProof(t *testing.T) {
	h := newHarness(t, 3)
	h.request("1", "exam")
	setup := h.onlySetup()
	h.step(legReply(setup, wire.Accepted))
	h.step(legReply(setup, wire.Full))
	h.advance(3 * time.Second)
	h.onlySetup()
	if ended := h.clientMessages(wire.SessionEnded); len(ended) != 1 || ended[0].Reason != "node lost" || h.loop.counts.NeverRan[1] != 0 {
		t.Fatal(ended)
	}
	h.requireNoState()
}

// A node starts to drain while a set-up for it waits in the outbound queue. The set-up is withdrawn, counts as never
// sent, and goes to another node, also for a paid session.
func TestDrainWithdrawsUnsentSetups(t *testing.T) {
	h := newHarness(t, 3)
	h.request("1", "exam")
	setup := h.onlySetup()
	var index int
	for i := range 3 {
		if h.links[nodeName(i)] == setup.Link {
			index = i
		}
	}
	e := upEntry(index)
	e.State = wire.Draining
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	if w := h.withdrawals(); len(w) != 1 || w[0] != setup.Setup {
		t.Fatal(w)
	}
	h.onlySetup() // not sent again until the withdrawal is confirmed
	h.step(Withdrawn{setup.Setup})
	all := h.setups()
	if len(all) != 2 || all[1].Link == setup.Link {
		t.Fatal(all)
	}
	h.step(Withdrawn{setup.Setup}) // a duplicate has no effect
	if len(h.setups()) != 2 {
		t.Fatal(h.setups())
	}
}

// A leg waits for its node's connection, and the server list marks the node as draining meanwhile: the leg is never
// sent.
func TestDrainWhileConnecting(t *testing.T) {
	h := newHarness(t, 1)
	h.step(LinkLost{Link: h.links[nodeName(0)]}) // the loop connects again at once
	h.request("1", "exam")
	if len(h.setups()) != 0 {
		t.Fatal("sent without a connection")
	}
	e := upEntry(0)
	e.State = wire.Draining
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	h.connectNode(nodeName(0))
	h.advance(3 * time.Second)
	if len(h.setups()) != 0 {
		t.Fatal("sent to a draining node")
	}
	h.onlyAnswer(wire.Nack) // no leg of the paid session ever ran
	h.requireNoState()
}

// A leg waits while its node is being connected to. Once connected, its set-up is sent; if the attempt fails, the leg
// never ran and the paid request is nacked.
func TestWaitingLegIsSentOnceConnected(t *testing.T) {
	h := newHarness(t, 1)
	h.step(LinkLost{Link: h.links[nodeName(0)]})
	h.request("1", "exam")
	h.advance(20 * ms)
	h.connectNode(nodeName(0))
	h.step(legReply(h.onlySetup(), wire.Accepted))
	h.onlyAnswer(wire.Playing)

	h = newHarness(t, 1)
	h.step(LinkLost{Link: h.links[nodeName(0)]})
	h.request("1", "exam")
	h.step(LinkFailed{Node: nodeName(0), Link: h.links[nodeName(0)]})
	h.advance(2 * time.Second)
	h.onlyAnswer(wire.Nack)
	if n := h.loop.counts.NeverRan[2]; n == 0 {
		t.Fatal("the leg is not counted as never run")
	}
	h.requireNoState()
}

// A request repeated on one connection is one session. Once it has its answer, a repetition gets the same answer again.
func TestRepeatedRequestIsAnsweredAsBefore(t *testing.T) {
	h := newHarness(t, 3)
	h.request("1", "exam")
	h.request("1", "exam")
	setup := h.onlySetup()
	h.step(legReply(setup, wire.Accepted))
	h.onlyAnswer(wire.Playing)
	h.request("1", "exam")
	a := h.answers()
	if len(a) != 2 || a[0] != a[1] || len(h.setups()) != 1 {
		t.Fatal(a)
	}
}

// A client whose connection broke resumes its session by its key, both during set-up and while the session plays,
// without a second leg. Without a client the session ends after the linger time.
func TestBrokenConnectionIsResumed(t *testing.T) {
	key := func(k string) func(*wire.SessionMessage) { return func(m *wire.SessionMessage) { m.Key = k } }
	h := newHarness(t, 3)
	h.request("1", "exam", key("k"))
	setup := h.onlySetup()
	h.step(ClientLost{Conn: 1})
	h.connectClient(2)
	h.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Request, ID: "9", Tariff: "exam", Title: "t",
		Key: "k", WaitMS: 5000}})
	h.step(legReply(setup, wire.Accepted))
	if a := h.onlyAnswer(wire.Playing); a.ID != "9" {
		t.Fatal(a)
	}
	// While the second connection is still open, a request on a third one takes the session over.
	h.connectClient(3)
	h.step(ClientReceived{Conn: 3, Message: wire.SessionMessage{Type: wire.Request, ID: "7", Tariff: "exam", Title: "t",
		Key: "k", WaitMS: 5000}})
	if a := h.answers(); len(a) != 2 || a[1].ID != "7" || a[1].Session != a[0].Session {
		t.Fatal(a)
	}
	if ended := h.clientMessages(wire.SessionEnded); len(ended) != 1 || ended[0].Reason != "taken over" {
		t.Fatal(ended)
	}
	h.onlySetup()
	// A request that has the key but another tariff is refused: the key belongs to a different request.
	h.step(ClientReceived{Conn: 3, Message: wire.SessionMessage{Type: wire.Request, ID: "8", Tariff: "clip", Title: "t",
		Key: "k", WaitMS: 5000}})
	if a := h.answers(); len(a) != 3 || a[2].Type != wire.Errored {
		t.Fatal(a)
	}
	h.step(ClientLost{Conn: 3})
	h.advance(999 * ms)
	if len(h.endedLegs()) != 0 {
		t.Fatal("ended within the linger time")
	}
	h.advance(2 * ms)
	if e := h.endedLegs(); len(e) != 1 || e[0] != setup.Setup {
		t.Fatal(e)
	}
	h.requireNoState()
}

// A client that repeats its request on a new connection with a shorter wait is answered within that shorter wait.
func TestResumedRequestHasItsOwnDeadline(t *testing.T) {
	h := newHarness(t, 3)
	h.request("1", "exam", func(m *wire.SessionMessage) { m.Key = "k" })
	h.step(ClientLost{Conn: 1})
	h.connectClient(2)
	h.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Request, ID: "1", Tariff: "exam", Title: "t",
		Key: "k", WaitMS: 500}})
	h.advance(451 * ms)
	h.onlyAnswer(wire.Errored)
	h.advance(3 * time.Second)
	h.onlySetup()
	h.requireNoState()
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	h := newHarness(t, 3)
	h.request("1", "nothing")
	h.request("2", "clip", func(m *wire.SessionMessage) { m.Title = "other" })
	for _, id := range []string{"3", "4", "5", "6"} {
		h.request(id, "clip")
	}
	h.request("7", "clip") // one more than a connection may have
	got := map[string]string{}
	for _, a := range h.answers() {
		got[a.ID] = a.Type + ": " + a.Reason
	}
	if len(got) != 3 || got["1"] != "errored: unknown tariff" || got["2"] != "nack: unknown title" ||
		got["7"] != "nack: too many sessions on this connection" {
		t.Fatal(got)
	}
	h.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Playing, ID: "1"}})
	if c, ok := h.lastOutputs[len(h.lastOutputs)-1].(CloseClient); !ok || c.Code != 1008 {
		t.Fatal(h.lastOutputs)
	}
}

// A connection retains only the last maxEndedRequests ended requests, so its memory is bounded.
func TestEndedRequestsPerConnectionAreBounded(t *testing.T) {
	h := newHarness(t, 3)
	for i := range 100 {
		h.request(nodeName(i), "nothing")
	}
	if n := len(h.loop.conns[1].requests); n != maxEndedRequests {
		t.Fatal(n)
	}
}

// After Stop no new request is taken, and a request that was taken still gets its answer. The director ends the playing
// sessions in batches, the last of them by the shutdown time-out.
func TestShutdownAnswersThenEndsSessions(t *testing.T) {
	h := newHarness(t, 3)
	for _, id := range []string{"1", "2", "3"} {
		h.request(id, "clip")
	}
	for _, setup := range h.setups() {
		h.step(legReply(setup, wire.Accepted))
	}
	h.request("4", "exam")
	pending := h.setups()[3]
	h.clearOutputs()
	h.step(Stop{})
	h.request("5", "clip")
	if a := h.onlyAnswer(wire.Nack); a.ID != "5" || a.Reason != "director closes" {
		t.Fatal(a)
	}
	h.step(legReply(pending, wire.Accepted))
	if a := h.answers(); len(a) != 2 || a[1].Type != wire.Playing {
		t.Fatal(a)
	}
	h.advance(2 * time.Second)
	if !h.ended {
		t.Fatal("not shut down within the time-out")
	}
	if ended := h.clientMessages(wire.SessionEnded); len(ended) != 4 {
		t.Fatal(ended)
	}
}

// At the shutdown time-out every request without an answer is answered with an error, also a paid one.
func TestShutdownAnswersPendingRequestsAtItsDeadline(t *testing.T) {
	h := newHarness(t, 3)
	h.loop.shutdownPolicy.Timeout = 300 * ms
	h.request("1", "exam")
	h.step(Stop{})
	h.advance(301 * ms)
	h.onlyAnswer(wire.Errored)
	if !h.ended {
		t.Fatal("not shut down")
	}
}

// The decider dispatches to an unknown node. The loop reports that the leg never started, and answers the request at
// its deadline because the decider does not.
func TestInvalidDispatchIsReportedAsNeverStarted(t *testing.T) {
	h := newHarness(t, 1)
	decider := &invalidDispatchDecider{}
	h.loop.decider = decider
	h.request("1", "clip")
	if len(decider.results) != 1 || decider.results[0].Outcome != policy.NeverStarted || decider.results[0].Final {
		t.Fatal(decider.results)
	}
	h.advance(3 * time.Second) // the decider never answers, so the loop does
	h.onlyAnswer(wire.Errored)
	if h.loop.counts.Overdue != 1 {
		t.Fatal(h.loop.counts.Overdue)
	}
	h.requireNoState()
}

// An invalidDispatchDecider answers every request with a dispatch to an unknown node and a nack of an unknown session.
type invalidDispatchDecider struct{ results []policy.LegResult }

func (d *invalidDispatchDecider) Step(_ time.Duration, e policy.Event) []policy.Action {
	switch e := e.(type) {
	case policy.Request:
		return []policy.Action{policy.Dispatch{ID: e.ID, Node: "nowhere"}, policy.Nack{ID: 999}}
	case policy.LegResult:
		d.results = append(d.results, e)
	}
	return nil
}

// The loop and package policy agree on which outcomes prove that a leg never ran.
func TestNeverRanOutcomes(t *testing.T) {
	for outcome, proven := range map[legOutcome]bool{outcomeFull: true, outcomeUnconnected: true, outcomeWithdrawn: true,
		outcomeUnsent: true, outcomeFailed: false,
		outcomeTimedOut: false, outcomeReset: false, outcomeCancelled: false, outcomeServed: false, outcomeBroken: false} {
		reported, reason := neverRan(outcome)
		policyNeverRan := reported == policy.Full || reported == policy.ConnectFailed || reported == policy.NeverStarted
		if proven != (reason > 0) || proven != policyNeverRan {
			t.Error(outcome, reported, reason)
		}
	}
}
