package main

import (
	"fmt"
	"time"
)

// The figures of the case with the lost zone.
const (
	toldEvery    = 4600 * time.Millisecond // between two notes of a media node on its link
	lostFor      = 5 * time.Second
	discoveryLag = 3500 * time.Millisecond // until discovery tells that the media nodes have started again
	releaseLimit = 8 * time.Second         // from an end of which no release could be sent until the director releases the session
)

// playZoneLost lets a zone's machines be lost and come back with new processes, under the same names. The sessions that
// stood there have to be released towards their viewers.
func playZoneLost(r *run) error {
	d, err := r.newDiscovery()
	if err != nil {
		return err
	}
	nodes, err := r.newMediaNodes(cells)
	if err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	c := newConfiguration(listen, d.address(), nodes)
	c.Settings["family_info"].(map[string]any)["told_every_s"] = toldEvery.Seconds()
	if err := r.startDirector(c); err != nil {
		return err
	}
	noted := make(chan struct{}, 100)
	r.tellNotes(nodes, toldEvery, func() { noted <- struct{}{} })
	v, err := r.newViewer(listen)
	if err != nil {
		return err
	}
	var requests []*request
	for i := range 12 {
		q, err := v.send("prog-intro", i%cells, 4*time.Second)
		if err != nil {
			return err
		}
		requests = append(requests, q)
		time.Sleep(300 * time.Millisecond)
	}
	if err := v.waitAnswered(5*time.Second, requests...); err != nil {
		return err
	}
	zone := nodes[:cells/2]
	stood := map[string]bool{}
	<-noted
	for len(noted) > 0 {
		<-noted
	}
	<-noted
	time.Sleep(300 * time.Millisecond)
	for _, n := range zone {
		for _, s := range n.standing() {
			stood[s] = true
		}
	}
	if len(stood) == 0 {
		return fmt.Errorf("nothing stands at the media nodes that are to be lost")
	}
	r.record.line("%d sessions stand in the zone", len(stood))
	if !r.trouble {
		for _, n := range zone {
			for _, s := range n.standing() {
				n.finish(s)
			}
		}
	}
	lostAt := time.Now()
	if r.trouble {
		errs := make(chan error)
		for _, n := range zone {
			go func() { errs <- n.lose() }()
		}
		for range zone {
			if err := <-errs; err != nil {
				return err
			}
		}
		time.Sleep(time.Until(lostAt.Add(lostFor)))
		started := time.Now().UnixMilli()
		for _, n := range zone {
			n.comeBack()
		}
		time.Sleep(time.Until(lostAt.Add(lostFor + discoveryLag)))
		var changes []change
		for _, n := range zone {
			changes = append(changes, n.change(stateReady, started))
		}
		d.publish(changes...)
	}
	time.Sleep(time.Until(lostAt.Add(releaseLimit + 6*time.Second)))
	for _, q := range requests {
		s := v.state(q)
		if !s.served || !stood[fmt.Sprintf("%016x", s.id)] {
			continue
		}
		switch {
		case s.releasedAt.IsZero():
			r.violation("session %016x was over when its machine was lost, and was not released within %v", s.id, time.Since(lostAt))
		case s.releasedAt.After(lostAt.Add(releaseLimit + limitSlack)):
			r.violation("session %016x was over when its machine was lost, and was released %.2f s later", s.id, s.releasedAt.Sub(lostAt).Seconds())
		}
	}
	return nil
}
