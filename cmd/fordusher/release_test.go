package main

import (
	"testing"

	"fordusher/internal/platformtest"
)

// A node ends a session right after its answer, with the cause that the session was moved or that its client has ended
// it. The client can't have ended it, since the answer is still on the way to it. Guards against a director that does
// not send the answer and then the release: the client would wait on a session that is over.
func TestReleaseRightAfterAnswerReachesClient(t *testing.T) {
	const moved = 31
	n := newMediaNode(t)
	n.setupReply = func(session string) string { return setupResponse(session) + platformtest.Teardown(session, moved) }
	d := startPlatformDirector(t, platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 2,
		nodes: []*mediaNode{n}})
	c := d.connect()
	c.conn.Write(setupRequest(1))
	c.expect(kindAnswer, 1)
	c.expect(kindRelease, 1)
}
