package main

import (
	"net"
	"time"
)

// toldEvery is the time between two notes of a media node, as in the settings.
const toldEvery = 3750 * time.Millisecond

// tellNotes has the media nodes tell the director how full their links are: one note each, all at the same time, as long
// as something stands there.
func (r *run) tellNotes(nodes []*mediaNode) {
	ticker := time.NewTicker(toldEvery)
	r.onEnd(ticker.Stop)
	go func() {
		for range ticker.C {
			for _, n := range nodes {
				n.tellNote()
			}
		}
	}()
}

// tellNote sends a note on one session that stands, on the connection of its set-up or another open one.
func (n *mediaNode) tellNote() {
	n.mu.Lock()
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
