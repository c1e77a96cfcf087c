package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"fordusher/internal/platformtest"
)

const (
	releaseTime   = time.Second // in which a client must learn that its session is over
	sessionEnded  = 16          // the cause of a release: the session has come to its regular end
	handOverDelay = 80 * time.Millisecond
)

// handOver is a client's message that hands over a session which plays on a node already.
func handOver(session uint64, node int) []byte {
	return binaryMessage(1, session, 33, "clip", 36, "2000", 45, "7f3a9c21e0b4d655", 63, "8200.0",
		48, fmt.Sprintf("home:0;copies:1;top:1;viewer:00000000b4d65521;at:s-%08x", node), 78, "there\n")
}

// startWithNode starts a director with one node and returns them once they are connected.
func startWithNode(t *testing.T) (*platformDirector, *mediaNode) {
	t.Helper()
	n := newMediaNode(t)
	d := startPlatformDirector(t, platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 2,
		nodes: []*mediaNode{n}})
	eventually(t, "the director does not connect to its node", func() bool { return len(n.Conns()) > 0 })
	return d, n
}

// releases reads messages until all sessions from first to last are released or the time is over, and returns how many
// are.
func (c *client) releases(first, last uint64) (released int) {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(releaseTime))
	seen := map[uint64]bool{}
	for uint64(len(seen)) <= last-first {
		head := make([]byte, 2)
		if _, err := io.ReadFull(c.conn, head); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.t.Errorf("the client's connection ended: %v", err)
			}
			break
		}
		raw := make([]byte, int(head[0])<<8|int(head[1]))
		if _, err := io.ReadFull(c.conn, raw); err != nil {
			c.t.Fatal(err)
		}
		var session uint64
		for _, b := range raw[1:9] {
			session = session<<8 | uint64(b)
		}
		if raw[0] == kindRelease && session >= first && session <= last {
			seen[session] = true
		}
	}
	return len(seen)
}

// A node releases a session around the moment at which the session is handed over to a director that has just started.
// Guards against an end that is dropped because its session is not known yet: the client would wait for ever.
func TestReleaseAroundHandOverReachesClient(t *testing.T) {
	for name, play := range map[string]func(n *mediaNode, c *client){
		"behind": func(n *mediaNode, c *client) {
			c.conn.Write(handOver(7, 0))
			time.Sleep(handOverDelay)
			io.WriteString(n.Newest(), platformtest.Teardown(sessionName(7), sessionEnded))
		},
		"before": func(n *mediaNode, c *client) {
			io.WriteString(n.Newest(), platformtest.Teardown(sessionName(7), sessionEnded))
			time.Sleep(handOverDelay)
			c.conn.Write(handOver(7, 0))
		},
		"before, on a connection that closes": func(n *mediaNode, c *client) {
			io.WriteString(n.Newest(), platformtest.Teardown(sessionName(7), sessionEnded))
			n.Newest().Close()
			time.Sleep(handOverDelay)
			c.conn.Write(handOver(7, 0))
		},
		"between two pieces": func(n *mediaNode, c *client) {
			m := handOver(7, 0)
			c.conn.Write(m[:len(m)/2])
			time.Sleep(handOverDelay)
			io.WriteString(n.Newest(), platformtest.Teardown(sessionName(7), sessionEnded))
			time.Sleep(handOverDelay)
			c.conn.Write(m[len(m)/2:])
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, n := startWithNode(t)
			c := d.connect()
			play(n, c)
			if c.releases(7, 7) != 1 {
				t.Errorf("the client has no release within %v", releaseTime)
			}
		})
	}
}

// Hundreds of sessions are handed over in one write, and the node releases the last of them right behind, on another
// connection. Guards against a release that overtakes the hand-over in the director and is dropped.
func TestReleasesRightBehindManyHandOvers(t *testing.T) {
	const first, handedOver, ended = 1000, 400, 120
	d, n := startWithNode(t)
	c := d.connect()
	var handOvers []byte
	var teardowns string
	for i := range uint64(handedOver) {
		handOvers = append(handOvers, handOver(first+i, 0)...)
		if i >= handedOver-ended {
			teardowns += platformtest.Teardown(sessionName(first+i), sessionEnded)
		}
	}
	c.conn.Write(handOvers)
	io.WriteString(n.Newest(), teardowns)
	if released := c.releases(first+handedOver-ended, first+handedOver-1); released != ended {
		t.Errorf("%d of %d ends were told within %v", released, ended, releaseTime)
	}
}
