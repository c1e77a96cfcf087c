package platform

import (
	"fmt"
	"net"
	"testing"
	"time"

	"fordusher/internal/platformtest"
)

// handOverMessage hands over a session that plays on a node.
func handOverMessage(session uint64, node int) []byte {
	return setupMessage(session, map[byte]string{codePlacement: "home:0;copies:1;top:1;at:" + nodeName(uint32(node))})
}

// A client closes its connection while the end of its session is on the way to it through the director. Guards against an
// end that is written to a connection which nobody reads any more: it must be sent on another.
func TestEndThatCrossesTheCloseOfItsConnection(t *testing.T) {
	const releaseTime = time.Second // in which a client must learn that its session is over
	for name, leave := range map[string]func(c *emulatedClient){
		"closes": func(c *emulatedClient) { c.c.Close() },
		"resets": func(c *emulatedClient) { c.c.(*net.TCPConn).SetLinger(0); c.c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, decider := startBlockingFixture(t, 512, 1)
			leaving, other := p.newClient(), p.newClient()
			leaving.send(handOverMessage(7, 0))
			other.send(handOverMessage(8, 0))
			p.wait("the sessions were not adopted", func() bool { return p.d.Counts().Adopted == 2 })
			p.newClient().send(setupMessage(9, defaultPlacement))
			<-decider.entered
			p.nodes[0].send(platformtest.Teardown(sessionID(7), causeEnded))
			p.wait("the release was not read", func() bool {
				return p.nodes[0].countReceived(fmt.Sprintf("Session: %s", sessionID(7))) == 1 // its acknowledgement
			})
			leave(leaving)
			p.wait("the close was not noticed", func() bool { return p.closedClients.Load() > 0 })
			close(decider.unblock)
			other.c.SetDeadline(time.Now().Add(releaseTime))
			other.expect(kindRelease, 7, codeCause)
		})
	}
}

// More sessions are handed over in one write than messages of one connection may wait for the loop, and the director reads
// them all at once. Guards against a director that takes that for a flood and loses the rest.
func TestManyHandOversInOneWrite(t *testing.T) {
	const sessions = 4 * maxInboxPerPeer
	p := startFixture(t, 1, "")
	var all []byte
	for i := range uint64(sessions) {
		all = append(all, handOverMessage(1+i, 0)...)
	}
	client := p.newClient() // not before: it has to send something within 2 s
	entered, read := make(chan struct{}), make(chan struct{})
	slowRead := func() { close(entered); <-read }
	p.beforeMessage.Store(&slowRead)
	client.send(newClientMessage(kindProbe, 99).param(codeCause, []byte{0}).finish())
	<-entered
	p.beforeMessage.Store(nil)
	client.send(all)
	close(read)
	client.expect(kindProbeReply, 99, codeCause)
	p.wait("not all sessions were adopted", func() bool { return p.d.Counts().Adopted == sessions })
	p.nodes[0].send(platformtest.Teardown(sessionID(sessions), causeEnded))
	client.expect(kindRelease, sessions, codeCause)
}

// A node ends more sessions in one write than messages of one connection may wait for the loop, such as when it shuts
// down, while the loop is busy. Guards against a director that takes that for a flood and loses the rest: it reads as
// much as it may hold, and the rest later.
func TestManyEndsInOneWrite(t *testing.T) {
	const sessions = 3 * maxInboxPerPeer
	p, decider := startBlockingFixture(t, 512, 1)
	var handOvers []byte
	var ends string
	for i := range uint64(sessions) {
		handOvers = append(handOvers, handOverMessage(1+i, 0)...)
		ends += platformtest.Teardown(sessionID(1+i), causeEnded)
	}
	client := p.newClient() // not before: it has to send something within 2 s
	client.send(handOvers)
	p.wait("not all sessions were adopted", func() bool { return p.d.Counts().Adopted == sessions })
	p.newClient().send(setupMessage(sessions+1, defaultPlacement))
	<-decider.entered
	written := make(chan struct{})
	go func() { p.nodes[0].send(ends); close(written) }()
	<-written
	p.wait("no end was read", func() bool { return p.nodes[0].countReceived("200 OK") > 0 })
	const settled = 200 * time.Millisecond // without another read
	for read, since := 0, time.Now(); time.Since(since) < settled; time.Sleep(time.Millisecond) {
		if n := p.nodes[0].countReceived("200 OK"); n > read {
			read, since = n, time.Now()
		}
	}
	close(decider.unblock)
	for range sessions {
		if m, ok := client.next(); !ok || m.kind != kindRelease {
			t.Fatalf("read ok: %v, kind %d, want a release of each session", ok, m.kind)
		}
	}
}

// A client hands a session over and closes its connection at once, in one packet or not. Guards against a hand-over that
// is lost with its connection: a session that plays belongs to none.
func TestHandOverOnConnectionThatClosesAtOnce(t *testing.T) {
	for name, leave := range departures {
		if name == "cancels" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startFixture(t, 1, "")
			other := p.newClient()
			other.send(handOverMessage(1000, 0))
			const sessions = 50
			for i := range uint64(sessions) {
				client := p.newClient()
				client.send(handOverMessage(1+i, 0))
				if name == "resets" {
					client.roundTrip() // a reset may take with it what has not been read
				}
				leave(client)
			}
			p.wait("not all sessions were adopted", func() bool { return p.d.Counts().Adopted == sessions+1 })
			for i := range uint64(sessions) {
				p.nodes[0].send(platformtest.Teardown(sessionID(1+i), causeEnded))
				other.expect(kindRelease, 1+i, codeCause)
			}
		})
	}
}
