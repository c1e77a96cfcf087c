// Package soak runs directors on the operators' platform as real processes over loopback, between emulated servers,
// discovery and clients. It injects faults, which overlap in time, into all of them, and checks the rules from the
// messages on the sockets alone. A seed determines the random choices and times.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Options are the options of one run.
type Options struct {
	Seed      uint64
	Processes int           // number of director processes
	Servers   int           // number of emulated servers at one time
	Length    time.Duration // time during which clients send requests
	Program   string        // the program to run as a director
	Directors int           // number of directors in their settings; 0: as many as processes
	Faultless bool          // servers serve every set-up, and directors log at level info
	Deadline  time.Duration // the longest time that a client waits for its answer; 0: maxWait
	Dense     bool          // sessions are handed over at each start, faults are those of a dense trial; see dense.go
	Logs      string        // directory for the directors' logs; empty: they are dropped
}

// Result is the result of one run.
type Result struct {
	Seed                                       uint64
	Requests, Served, Refused, Cancelled, Void int // Void: the director was killed, or the request wasn't written whole
	Attempts, Faults                           int
	Violations                                 []string
}

func (r Result) String() string {
	return fmt.Sprintf("seed %d: %d requests, %d served, %d refused or failed, %d cancelled, %d void, %d attempts, %d faults, %d violations",
		r.Seed, r.Requests, r.Served, r.Refused, r.Cancelled, r.Void, r.Attempts, r.Faults, len(r.Violations))
}

// Durations of a run, besides Options.Length.
const (
	startupDelay = 300 * time.Millisecond     // exceeds the ramp time, in which a started director limits its set-ups
	maxWait      = 1500 * time.Millisecond    // of a request for its answer, unless the options say otherwise
	settleDelay  = tellAfterEnd + time.Second // until the last ends are told, at most
)

// waitUntilSettled waits until the last requests are answered and no end is owed to a client any more, or the time for
// that is over.
func (r *run) waitUntilSettled(ctx context.Context) {
	answered := r.deadline() + answerSlack + time.Second // the last requests are
	if !sleep(ctx, answered) {
		return
	}
	for deadline := time.Now().Add(settleDelay - answered); r.checker.unsettled() && time.Now().Before(deadline); {
		if !sleep(ctx, 50*time.Millisecond) {
			return
		}
	}
}

// A run is the state of one run.
type run struct {
	Options
	random     *rand.Rand
	mu         sync.Mutex // guards random
	checker    *checker
	pool       *serverPool
	directors  []*director
	faultCount int
}

// Run runs the directors with the random choices of one seed and returns the result.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), checker: newChecker()}
	if err := r.start(ctx); err != nil {
		r.stop()
		return Result{}, err
	}
	time.Sleep(startupDelay)
	requestCtx, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	var group sync.WaitGroup
	for _, d := range r.directors {
		group.Go(func() { r.sendRequests(requestCtx, d) })
	}
	group.Go(func() { r.injectFaults(requestCtx) })
	if r.Dense {
		group.Go(func() { r.watchLimits(requestCtx) })
	}
	group.Wait()
	r.waitUntilSettled(ctx)
	r.stop()
	return r.checker.result(o.Seed, r.faultCount), ctx.Err()
}

// start starts the servers and the directors.
func (r *run) start(ctx context.Context) error {
	r.pool = newServerPool(r.checker, r.randomInt, r.Servers, r.Faultless)
	r.pool.dense = r.Dense
	for range r.Servers {
		r.pool.add(time.Time{})
	}
	for i := range r.Processes {
		d, err := newDirector(ctx, i, r.Options, r.pool, r.checker)
		if err != nil {
			return err
		}
		r.directors = append(r.directors, d)
	}
	for _, d := range r.directors {
		if r.Dense {
			r.addStandingSessions(d)
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop stops the directors and the servers.
func (r *run) stop() {
	var group sync.WaitGroup
	for _, d := range r.directors {
		group.Go(d.finish)
	}
	group.Wait()
	r.pool.close()
}

// deadline is the time that clients wait for an answer at most, and the longest deadline in the directors' settings.
func (o Options) deadline() time.Duration { return cmp.Or(o.Deadline, maxWait) }

// randomInt returns a random number from 0 up to limit, without it.
func (r *run) randomInt(limit int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(limit)
}

// randomDuration returns a random duration from 0 up to limit, in whole microseconds.
func (r *run) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.randomInt(int(limit/time.Microsecond))) * time.Microsecond
}

// sleep waits; it returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
