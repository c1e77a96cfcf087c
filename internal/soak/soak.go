// Package soak runs directors on the operators' platform as real processes over loopback, between emulated servers,
// discovery and clients, while faults that overlap in time are done to all of them, and judges the rules from what
// crossed the sockets alone. What is drawn, and when, follows from a seed.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Options are one run's.
type Options struct {
	Seed      uint64
	Processes int           // directors
	Servers   int           // emulated servers at one time
	Length    time.Duration // how long clients ask
	Program   string        // the program to run as a director
	Directors int           // that the directors' settings name; 0: as many as there are processes
	Faultless bool          // servers answer every set-up, and directors log little
	Logs      string        // a folder for the directors' logs; empty: they are dropped
}

// Result is what one run came to.
type Result struct {
	Seed                                       uint64
	Requests, Served, Refused, Cancelled, Void int // Void: their director was killed
	Attempts, Faults                           int
	Violations                                 []string
}

func (r Result) String() string {
	return fmt.Sprintf("seed %d: %d requests, %d stood, %d refused or failed, %d left, %d void, %d attempts, %d faults, %d violations",
		r.Seed, r.Requests, r.Served, r.Refused, r.Cancelled, r.Void, r.Attempts, r.Faults, len(r.Violations))
}

// The spans of a run, beside Options.Length.
const (
	settle     = 300 * time.Millisecond // a director that has just started is careful for the ramp's time
	longest    = 1500 * time.Millisecond
	afterwards = longest + answerSlack + time.Second // the last requests get their answers
)

// A run is one seed's.
type run struct {
	Options
	chance    *rand.Rand
	mu        sync.Mutex // guards chance
	ledger    *ledger
	fleet     *fleet
	directors []*director
	faults    int
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{Options: o, chance: rand.New(rand.NewPCG(o.Seed, 1)), ledger: newLedger()}
	if err := r.start(ctx); err != nil {
		r.stop()
		return Result{}, err
	}
	time.Sleep(settle)
	asking, enough := context.WithTimeout(ctx, o.Length)
	defer enough()
	var work sync.WaitGroup
	for _, d := range r.directors {
		work.Go(func() { r.ask(asking, d) })
	}
	work.Go(func() { r.disturb(asking) })
	work.Wait()
	select {
	case <-time.After(afterwards):
	case <-ctx.Done():
	}
	r.stop()
	return r.ledger.result(o.Seed, r.faults), ctx.Err()
}

func (r *run) start(ctx context.Context) error {
	r.fleet = newFleet(r.ledger, r.draw, r.Servers, r.Faultless)
	for range r.Servers {
		if _, err := r.fleet.add(time.Time{}); err != nil {
			return err
		}
	}
	for i := range r.Processes {
		d, err := newDirector(ctx, i, r.Options, r.fleet, r.ledger)
		if err != nil {
			return err
		}
		r.directors = append(r.directors, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) stop() {
	for _, d := range r.directors {
		d.finish()
	}
	r.fleet.close()
}

// draw is a number from 0 up to most.
func (r *run) draw(most int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chance.IntN(most)
}

func (r *run) span(most time.Duration) time.Duration {
	return time.Duration(r.draw(int(most/time.Microsecond))) * time.Microsecond
}

// sleep waits, and says false where the run has ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
