package main

import (
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"fordusher/internal/asynclog"
	"fordusher/internal/clock"
	"fordusher/internal/daemon"
	"fordusher/internal/platform"
)

type platformCommand struct {
	Trace      bool `help:"Write every message that crosses the sockets to standard error, a line each."`
	TraceKinds bool `env:"FORDUSHER_TRACE_KINDS" help:"Write only the kind and the session of messages that begin or end something."`
}

// The part of the memory limit that the collector keeps to: the rest is for what is not its own.
const heapPart = 0.6

// Run is one director on the operators' platform, which tells it all in its environment.
func (c *platformCommand) Run() error {
	// Before anything that takes time: an order that came sooner would end the program.
	orders := make(chan os.Signal, 4)
	signal.Notify(orders, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	posting, err := platform.ReadStartConfig(os.Getenv)
	if err != nil {
		return badInput{err}
	}
	seed, err := posting.RandomSeed()
	if err != nil {
		return badInput{err}
	}
	if cores := posting.Limits.Cores; cores > 0 {
		// One beyond the share: what waits in a system call must not keep the loop from running.
		runtime.GOMAXPROCS(min(runtime.NumCPU(), int(math.Ceil(cores))+1))
	}
	if mb := posting.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * heapPart))
	}
	level, pace, err := logLevel(os.Getenv)
	if err != nil {
		return badInput{err}
	}
	lines := asynclog.New(os.Stderr, pace)
	defer lines.Close(time.Second)
	log := logger(lines).Level(level)
	day := clock.NewMonotonicClock(time.Now)
	house := posting.Config(day.Now())
	var front daemon.Protocol = platform.NewProtocol(posting, house, day.Now)
	if c.Trace || c.TraceKinds {
		stop := make(chan struct{})
		defer close(stop)
		traceLevel := platform.TraceKinds
		if c.Trace {
			traceLevel = platform.TraceBytes
		}
		front = platform.NewTracer(front, traceLevel, os.Stderr, time.Now, stop)
	}
	d, err := daemon.StartWithProtocol(front, house, strconv.FormatInt(time.Now().UnixMilli(), 36), seed, posting.NewDecider(seed), log)
	if err != nil {
		return err
	}
	for {
		select {
		case order := <-orders:
			if order != syscall.SIGHUP {
				d.Stop()
				<-d.Done()
				return nil
			}
			next, err := platform.ReadStartConfig(os.Getenv)
			if err != nil {
				log.Warn().Err(err).Msg("told to read the file again, which can't be used: the old one stays")
				continue
			}
			log.Info().Str("board", next.DiscoveryAddress).Msg("the file was read again")
			d.SetDiscoveryAddress(next.DiscoveryAddress)
		case <-d.Done():
			return nil
		}
	}
}
