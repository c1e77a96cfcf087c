package main

import (
	"fmt"
	"time"
)

// The figures of the case with slow discovery.
const (
	slowAnswer  = 2600 * time.Millisecond // from the director's call to the answer's first byte
	toldAtMost  = 6 * time.Second         // after discovery had a change and could be reached, it counts as told
	drainGrace  = 250 * time.Millisecond  // as in the settings
	limitSlack  = 50 * time.Millisecond   // by which each limit is longer on sockets
	setupsEvery = 250 * time.Millisecond
)

// playSlowDiscovery plays discovery that takes slowAnswer for the answer to each call, and drains a media node. After
// toldAtMost and drainGrace no set-up may go there.
func playSlowDiscovery(r *run) error {
	d, err := r.newDiscovery()
	if err != nil {
		return err
	}
	if r.trouble {
		d.mu.Lock()
		d.answerDelay = slowAnswer
		d.mu.Unlock()
	}
	nodes, err := r.newMediaNodes(cells)
	if err != nil {
		return err
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
	stop := time.Now().Add(20 * time.Second)
	drainAt := time.Now().Add(4 * time.Second)
	draining := nodes[0]
	var drainedAt time.Time
	var requests []*request
	for i := 0; time.Now().Before(stop); i++ {
		if drainedAt.IsZero() && time.Now().After(drainAt) {
			drainedAt = d.publish(draining.change(stateDraining, 0))
		}
		q, err := v.send("prog-intro", i%cells, 4*time.Second)
		if err != nil {
			return err
		}
		requests = append(requests, q)
		time.Sleep(setupsEvery)
	}
	if err := v.waitAnswered(5*time.Second, requests...); err != nil {
		return err
	}
	if len(draining.setupsSince(time.Time{})) == 0 {
		return fmt.Errorf("the media node got no set-up at all")
	}
	for _, s := range draining.setupsSince(drainedAt.Add(toldAtMost + drainGrace + limitSlack)) {
		r.violation("%s drains, and got the set-up of session %s %.2f s after discovery had that and could be reached", draining.name(),
			s.session, s.at.Sub(drainedAt).Seconds())
	}
	return nil
}

// newMediaNodes starts so many media nodes, one in each cell.
func (r *run) newMediaNodes(count int) (nodes []*mediaNode, err error) {
	for i := range count {
		n, err := r.newMediaNode(uint32(0x00c41f00+i), i%cells)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}
