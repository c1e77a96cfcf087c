package main

import (
	"fmt"
	"strings"
	"time"
)

// The figures of the case with the slow writer.
const (
	paidWait    = 3 * time.Second // as in the settings
	freeWait    = 4 * time.Second // as in the settings
	writePause  = 2300 * time.Millisecond
	answerSlack = 500 * time.Millisecond // a final answer this long after its time only earns nothing
)

// playSlowWriter lets viewers share a connection. One media node does not answer one set-up, and one set-up is written in
// two pieces with a pause between them. Each set-up that is written whole has to get its final answer.
func playSlowWriter(r *run) error {
	d, err := r.newDiscovery()
	if err != nil {
		return err
	}
	nodes, err := r.newMediaNodes(cells)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		n.silent = func(m rtspMessage) bool { return r.trouble && strings.Contains(m.headers["x-service"], "listen-test") }
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	if err := r.startDirector(newConfiguration(listen, d.address(), nodes)); err != nil {
		return err
	}
	r.tellNotes(nodes)
	v, err := r.newViewer(listen)
	if err != nil {
		return err
	}
	served, err := v.send("prog-intro", 0, freeWait)
	if err != nil {
		return err
	}
	if err := v.waitAnswered(freeWait, served); err != nil {
		return err
	}
	requests := []*request{served}
	paid, err := v.send("listen-test", 1, paidWait) // its media node does not answer
	if err != nil {
		return err
	}
	requests = append(requests, paid)
	time.Sleep(100 * time.Millisecond)
	slow, message := v.setup("prog-intro", 2, freeWait)
	half := len(message) / 2
	if _, err := v.conn.Write(message[:half]); err != nil {
		return err
	}
	r.record.line("viewers: set-up %016x: %d of %d bytes written", slow.id, half, len(message))
	if r.trouble {
		time.Sleep(writePause)
	}
	if !v.open() {
		r.record.line("viewers: the connection ended before the set-up was whole: it was not taken")
	} else if _, err := v.conn.Write(message[half:]); err == nil {
		v.written(slow)
		requests = append(requests, slow)
	}
	for range 3 { // the following requests of the same connection
		time.Sleep(50 * time.Millisecond)
		if !v.open() {
			break
		}
		q, err := v.send("prog-intro", 2, freeWait)
		if err != nil {
			break
		}
		requests = append(requests, q)
	}
	time.Sleep(freeWait + answerSlack + limitSlack)
	if len(requests) < 3 && r.trouble {
		return fmt.Errorf("no set-up was written after the pause")
	}
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	for _, q := range requests {
		s := v.state(q)
		switch latest := s.writtenAt.Add(s.wait + answerSlack + limitSlack); {
		case !s.answeredAt.IsZero() && !s.answeredAt.After(latest):
		case !ended.IsZero() && ended.Sub(s.writtenAt) < crossingTime:
			r.record.line("viewers: set-up %016x crossed the end of its connection: it would be sent again", s.id)
		default:
			r.violation("set-up %016x was written whole %.2f s before its connection ended, and got no final answer", s.id,
				ended.Sub(s.writtenAt).Seconds())
		}
	}
	return nil
}

// crossingTime is how long before the end of its connection a set-up counts as crossing it.
const crossingTime = 50 * time.Millisecond

// open reports whether the connection has not ended.
func (v *viewer) open() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ended.IsZero()
}
