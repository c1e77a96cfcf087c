package soak

import (
	"context"
	"sync"
	"time"
)

// A fault is injected into one director, server or discovery. Its function returns once the fault is over. Faults
// overlap in time.
type fault struct {
	weight int // relative to the other faults
	inject func(r *run, ctx context.Context)
}

var faults = []fault{
	{10, (*run).killDirector},
	{10, (*run).restartDirector},
	{20, (*run).pauseDirector},
	{15, (*run).resetServer},
	{15, (*run).hangServer},
	{8, (*run).killServer},
	{12, (*run).replaceServer},
	{10, (*run).silenceDiscovery},
	{10, (*run).disconnectDiscovery},
}

// injectFaults starts random faults until the context ends, and returns once all are over.
func (r *run) injectFaults(ctx context.Context) {
	const maxInterval = 250 * time.Millisecond // largest time between the starts of two faults; the mean is half of it
	faults, total := faults, 0
	if r.Dense {
		faults = denseFaults
	}
	for _, f := range faults {
		total += f.weight
	}
	var running sync.WaitGroup
	for sleep(ctx, r.randomDuration(maxInterval)) {
		n := r.randomInt(total)
		for _, f := range faults {
			if n -= f.weight; n < 0 {
				r.faultCount++
				running.Go(func() { f.inject(r, ctx) })
				break
			}
		}
	}
	running.Wait()
}

// randomDirector is a random director.
func (r *run) randomDirector() *director { return r.directors[r.randomInt(len(r.directors))] }

// claimDirector chooses a director for a fault that ends its process; nil if the director is in such a fault already.
func (r *run) claimDirector() *director {
	d := r.randomDirector()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.exitExpected || !d.stopRequestedAt.IsZero() {
		return nil
	}
	d.stopRequestedAt = time.Now()
	return d
}

func (r *run) killDirector(context.Context) {
	if d := r.claimDirector(); d != nil {
		if err := d.kill(); err != nil {
			r.checker.addRunViolation("%v", err)
		}
	}
}

func (r *run) restartDirector(context.Context) {
	if d := r.claimDirector(); d != nil {
		if err := d.restart(); err != nil {
			r.checker.addRunViolation("%v", err)
		}
	}
}

func (r *run) pauseDirector(context.Context) {
	r.randomDirector().pauseFor(r.randomDuration(200 * time.Millisecond))
}

// randomServer is a random server that is ready; there always is one.
func (r *run) randomServer() *server {
	all := r.pool.readyServers()
	return all[r.randomInt(len(all))]
}

func (r *run) resetServer(context.Context) { r.randomServer().resetConnections() }

func (r *run) hangServer(context.Context) {
	r.randomServer().hang(r.randomDuration(600 * time.Millisecond))
}

// killServer kills a server. Discovery publishes later that it is gone, and then a new server that replaces it.
func (r *run) killServer(ctx context.Context) {
	if len(r.pool.readyServers()) <= r.Servers/2 {
		return
	}
	s := r.randomServer()
	s.kill()
	sleep(ctx, r.randomDuration(time.Second))
	r.pool.publishState(stateGone, s)
	r.addServer()
}

// replaceServer drains a server, starts another, and kills the first after discovery has published that it is gone.
func (r *run) replaceServer(ctx context.Context) {
	if len(r.pool.readyServers()) <= r.Servers/2 {
		return
	}
	s := r.randomServer()
	r.pool.publishState(stateDraining, s)
	r.addServer()
	sleep(ctx, r.randomDuration(1500*time.Millisecond))
	r.pool.publishState(stateGone, s)
	sleep(ctx, r.randomDuration(200*time.Millisecond))
	s.kill()
}

// addServer starts a server and publishes it as ready.
func (r *run) addServer() {
	r.pool.publishState(stateReady, r.pool.add(time.Now()))
}

func (r *run) silenceDiscovery(context.Context) { r.randomDirector().discovery.silence() }

func (r *run) disconnectDiscovery(context.Context) { r.randomDirector().discovery.closeConnection() }
