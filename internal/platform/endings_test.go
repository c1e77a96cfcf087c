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
