package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// returnsCold: three in ten servers are lost for 5 s and return cold. What stood on them is over at the loss and has to
// be released towards its client within 8 s.
func returnsCold(t *trial, trouble bool) int {
	const (
		noteInterval = 4500 * time.Millisecond
		lossTime     = 4950 * time.Millisecond // STANDING.md, zone+mass: 5 s; from the first server lost to the last one up
		listTime     = 1 * time.Second         // site files, add_s: 0.36 to 1.9 s until the list tells a server that is up
		releaseTime  = 8 * time.Second         // PROTOCOL.md: if no release could be sent, within 8 s of its end
		slack        = 50 * time.Millisecond
		wait         = 3 * time.Second
		length       = 40 * time.Second
	)
	t.start()
	v := newViewers(t.record)
	c := t.connect(v, "viewer connection 1", t.listen)
	if !c.setUpSessions(length) {
		return notRun
	}
	// Three in ten, the servers with the most sessions. The loss comes right after the notes of the first of them.
	servers := slices.Clone(t.servers)
	slices.SortStableFunc(servers, func(a, b *server) int { return len(b.sessions()) - len(a.sessions()) })
	lost := servers[:serverCount*3/10]
	if !waitFor(2*noteInterval, func() bool { return lost[0].noteAge() < 100*time.Millisecond }) {
		return notRun
	}
	time.Sleep(200 * time.Millisecond)
	over := map[string]bool{}
	for _, s := range lost {
		for _, id := range s.sessions() {
			over[id] = true
		}
	}
	endedAt := time.Now()
	if trouble {
		var vanishing sync.WaitGroup
		for _, s := range lost {
			vanishing.Go(s.vanish)
		}
		vanishing.Wait()
		time.Sleep(time.Until(endedAt.Add(lossTime)))
		upAt := time.Now()
		for _, s := range lost {
			s.returnCold()
		}
		time.Sleep(listTime)
		for _, s := range lost {
			t.discovery.tell(s, stateReady, upAt)
		}
	}
	time.Sleep(time.Until(endedAt.Add(15 * time.Second)))
	broken, late := 0, 0
	for _, s := range v.standing() {
		id := fmt.Sprintf("%016x", s.id)
		switch after := s.releasedAt.Sub(endedAt); {
		case !trouble || !over[id]:
			if !s.releasedAt.IsZero() {
				t.record.say("session %s was released though it stands", id)
			}
		case s.releasedAt.IsZero():
			t.record.say("session %s is over since %.3f s and is not released", id, time.Since(endedAt).Seconds())
			broken++
		case after > releaseTime+slack:
			t.record.say("session %s was released %.3f s after its end", id, after.Seconds())
			late++
		default:
			t.record.say("session %s was released %.3f s after its end, cause %d", id, after.Seconds(), s.cause)
		}
	}
	// What stands still ends by itself.
	releasedAt := time.Now()
	for _, s := range t.servers {
		for _, id := range s.sessions() {
			s.release(id)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for _, s := range v.standing() {
		id := fmt.Sprintf("%016x", s.id)
		if trouble && over[id] {
			continue
		}
		if s.releasedAt.IsZero() || s.releasedAt.Sub(releasedAt) > time.Second+slack {
			t.record.say("session %s: its server's release was not passed on within 1 s", id)
			broken++
		}
	}
	t.record.say("%d sessions were cut by the loss; %d never released, %d late", len(over), broken, late)
	if broken+late > 0 {
		return ruleBroken
	}
	return ruleHeld
}
