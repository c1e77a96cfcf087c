package soak

import (
	"context"
	"sync"
	"time"
)

// A fault is done to one party; it returns once that is over. Faults overlap in time.
type fault struct {
	share int // of all
	do    func(r *run, ctx context.Context)
}

var faults = []fault{
	{10, (*run).killDirector},
	{10, (*run).restartDirector},
	{20, (*run).freezeDirector},
	{15, (*run).resetServer},
	{15, (*run).hangServer},
	{8, (*run).killServer},
	{12, (*run).replaceServer},
	{10, (*run).hushDiscovery},
	{10, (*run).cutDiscovery},
}

// disturb begins faults until the context ends, and returns once all are over.
func (r *run) disturb(ctx context.Context) {
	const gap = 250 * time.Millisecond // in the mean half of it
	total := 0
	for _, f := range faults {
		total += f.share
	}
	var under sync.WaitGroup
	for sleep(ctx, r.span(gap)) {
		n := r.draw(total)
		for _, f := range faults {
			if n -= f.share; n < 0 {
				r.faults++
				under.Go(func() { f.do(r, ctx) })
				break
			}
		}
	}
	under.Wait()
}

func (r *run) director() *director { return r.directors[r.draw(len(r.directors))] }

// claim takes a director for a fault that ends its process; nil where one is under way.
func (r *run) claim() *director {
	d := r.director()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.asked || !d.stopped.IsZero() {
		return nil
	}
	d.stopped = time.Now()
	return d
}

func (r *run) killDirector(context.Context) {
	if d := r.claim(); d != nil {
		if err := d.kill(); err != nil {
			r.ledger.fault("%v", err)
		}
	}
}

func (r *run) restartDirector(context.Context) {
	if d := r.claim(); d != nil {
		if err := d.restart(); err != nil {
			r.ledger.fault("%v", err)
		}
	}
}

func (r *run) freezeDirector(context.Context) { r.director().freeze(r.span(200 * time.Millisecond)) }

// server is one that is ready; there is always one.
func (r *run) server() *server {
	all := r.fleet.ready()
	return all[r.draw(len(all))]
}

func (r *run) resetServer(context.Context) { r.server().resetConnections() }

func (r *run) hangServer(context.Context) { r.server().hang(r.span(600 * time.Millisecond)) }

// killServer ends a server; discovery tells of it later, and of another in its place.
func (r *run) killServer(ctx context.Context) {
	if len(r.fleet.ready()) <= r.Servers/2 {
		return
	}
	s := r.server()
	s.die()
	sleep(ctx, r.span(time.Second))
	r.fleet.tell(stateGone, s)
	r.addServer()
}

// replaceServer drains a server, ends it, and starts another.
func (r *run) replaceServer(ctx context.Context) {
	if len(r.fleet.ready()) <= r.Servers/2 {
		return
	}
	s := r.server()
	r.fleet.tell(stateDraining, s)
	r.addServer()
	sleep(ctx, r.span(1500*time.Millisecond))
	r.fleet.tell(stateGone, s)
	sleep(ctx, r.span(200*time.Millisecond))
	s.die()
}

func (r *run) addServer() {
	s, err := r.fleet.add(time.Now())
	if err != nil {
		r.ledger.fault("%v", err)
		return
	}
	r.fleet.tell(stateReady, s)
}

func (r *run) hushDiscovery(context.Context) { r.director().discovery.hush() }

func (r *run) cutDiscovery(context.Context) { r.director().discovery.cut() }
