package main

import "testing"

// A server releases a session as soon as it stands, with the cause that says that it was moved or that its client has
// ended it. The client can't have: its answer is still on the way to it. It gets the answer and then the release, so that
// it does not wait on a session that is over.
func TestAReleaseThatCrossesTheAnswerReachesTheClient(t *testing.T) {
	const moved = 31
	n := newMediaNode(t)
	n.answers = func(session string) string { return standing(session) + released(session, moved) }
	f := startFront(t, posting{listen: freeAddress(t), board: freeAddress(t), sockets: 512, deadline: 2, nodes: []*mediaNode{n}})
	c := f.client()
	c.c.Write(setUp(1))
	c.expect(saysPlays, 1)
	c.expect(saysOver, 1)
}
