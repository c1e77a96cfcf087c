package main

import (
	"fmt"
	"net"
	"time"
)

// tellNotes has the media nodes tell the director how full their links are: one note each, all at the same time, as long
// as something stands there. It calls told after each round.
func (r *run) tellNotes(nodes []*mediaNode, every time.Duration, told func()) {
	ticker := time.NewTicker(every)
	r.onEnd(ticker.Stop)
	go func() {
		for range ticker.C {
			for _, n := range nodes {
				n.tellNote()
			}
			if told != nil {
				told()
			}
		}
	}()
}

// tellNote sends a note on one session that stands, on the connection of its set-up or another open one.
func (n *mediaNode) tellNote() {
	n.mu.Lock()
	if n.lost {
		n.mu.Unlock()
		return
	}
	var to net.Conn
	session := ""
	for id, s := range n.sessions {
		session, to = id, s.conn
		break
	}
	if session != "" && !n.conns[to] {
		to = nil
		for c := range n.conns {
			to = c
		}
	}
	n.mu.Unlock()
	if to != nil {
		n.write(to, rtspText("ANNOUNCE rtsp://media/"+session+" RTSP/1.0", "", "CSeq: 4", "Session: "+session, "X-Cause: nic", "X-Value: 0.2"))
		n.run.record.line("%s: note on its link", n.name())
	}
}

// fillerTimeout is how long a connection may take to come up where nothing is lost.
const fillerTimeout = 200 * time.Millisecond

// lose cuts the machine off and ends what runs on it. Its open connections stay open and silent, and new ones never come
// up: its queue of new connections is filled, and nothing is accepted.
func (n *mediaNode) lose() error {
	n.mu.Lock()
	n.lost = true
	for _, s := range n.sessions {
		s.end.Stop()
	}
	n.sessions = map[string]*nodeSession{}
	n.mu.Unlock()
	for range 16 {
		c, err := net.DialTimeout("tcp", n.address(), fillerTimeout)
		if err != nil {
			n.run.record.line("%s: the machine is lost, and everything on it has ended", n.name())
			return nil
		}
		n.mu.Lock()
		n.fillers = append(n.fillers, c)
		n.mu.Unlock()
	}
	return fmt.Errorf("connections still come up at a machine that is lost")
}

// comeBack starts a new process on the machine, which knows nothing of what ran before. What still arrives on a
// connection from before is answered with a reset.
func (n *mediaNode) comeBack() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.fillers {
		c.Close()
	}
	n.fillers = nil
	n.stale, n.conns = n.conns, map[net.Conn]bool{}
	n.lost = false
	close(n.returned)
	n.run.record.line("%s: the machine is back, with a new process", n.name())
}

// kill ends the process of a media node: its connections are reset, and new ones are refused.
func (n *mediaNode) kill() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	for _, s := range n.sessions {
		s.end.Stop()
	}
	n.sessions = map[string]*nodeSession{}
	n.run.record.line("%s: the process has died", n.name())
}
