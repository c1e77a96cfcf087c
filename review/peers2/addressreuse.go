package main

import (
	"fmt"
	"time"
)

// The figures of the case with the reused address.
const (
	downFor      = 500 * time.Millisecond // from the death of one process until another listens at its address
	startTold    = 1 * time.Second        // from its start until discovery tells of it
	deathTold    = 3300 * time.Millisecond
	maxStartTold = 1900 * time.Millisecond // the site has add_s up to 1.9
	maxDeathTold = 3500 * time.Millisecond // and notice_s up to 3.5
	reuseSetups  = 150 * time.Millisecond
)

// playAddressReuse replaces a media node by one with another id and another cell at its address.
func playAddressReuse(r *run) error {
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
	if err := r.startDirector(newConfiguration(listen, d.address(), nodes)); err != nil {
		return err
	}
	v, err := r.newViewer(listen)
	if err != nil {
		return err
	}
	r.tellNotes(nodes)
	var requests []*request
	send := func(until time.Time) error {
		for i := 0; time.Now().Before(until); i++ {
			q, err := v.send("prog-intro", i%cells, 4*time.Second)
			if err != nil {
				return err
			}
			requests = append(requests, q)
			time.Sleep(reuseSetups)
		}
		return nil
	}
	if err := send(time.Now().Add(2 * time.Second)); err != nil {
		return err
	}
	old := nodes[0]
	var successor *mediaNode
	var toldAt time.Time
	if r.trouble {
		old.kill()
		diedAt := time.Now()
		time.Sleep(downFor)
		successor, err = r.newMediaNodeAt(0x00c41f77, 2, old.address())
		if err != nil {
			return err
		}
		startedAt := time.Now()
		if err := send(time.Now().Add(startTold)); err != nil {
			return err
		}
		toldAt = d.publish(successor.change(stateReady, startedAt.UnixMilli()))
		if err := send(diedAt.Add(deathTold)); err != nil {
			return err
		}
		goneAt := d.publish(old.change(stateGone, 0))
		r.record.line("the new start was told %.3f s after it, the death %.3f s after it", toldAt.Sub(startedAt).Seconds(), goneAt.Sub(diedAt).Seconds())
		if toldAt.Sub(startedAt) > maxStartTold || goneAt.Sub(diedAt) > maxDeathTold {
			return fmt.Errorf("discovery told later than the site has it")
		}
	}
	if err := send(time.Now().Add(2 * time.Second)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	for _, n := range nodes {
		r.checkTitles(n, time.Time{})
	}
	if successor != nil {
		r.checkTitles(successor, toldAt.Add(drainGrace+limitSlack))
	}
	return nil
}

// checkTitles checks that a media node holds the titles of the set-ups that it got after a time. A title lies on its first
// cell and the next one.
func (r *run) checkTitles(n *mediaNode, since time.Time) {
	for _, s := range n.setupsSince(since) {
		if s.firstCell != n.cell && (s.firstCell+1)%cells != n.cell {
			r.violation("%s has cell %d, and got the set-up of session %s, whose title lies on cells %d and %d", n.name(), n.cell,
				s.session, s.firstCell, (s.firstCell+1)%cells)
		}
	}
}
