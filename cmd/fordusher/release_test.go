package main

import "testing"

// A server releases a session as soon as it stands, with the cause that says that it was moved or that its client has
// ended it. The client can't have: its answer is still on the way to it. It gets the answer and then the release, so that
// it does not wait on a session that is over.
func TestReleaseRightAfterAnswerReachesClient(t *testing.T) {
	const moved = 31
	n := newMediaNode(t)
	n.setupReply = func(session string) string { return setupResponse(session) + teardownRequest(session, moved) }
	f := startPlatformDirector(t, startConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 2, nodes: []*mediaNode{n}})
	c := f.connect()
	c.c.Write(setupRequest(1))
	c.expect(kindPlaying, 1)
	c.expect(kindEnded, 1)
}
