package main

import (
	"fmt"
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
	Trace      bool `help:"Write every message sent or received on the sockets to standard error, one per line."`
	TraceKinds bool `env:"FORDUSHER_TRACE_KINDS" help:"Write only the kind and the session of each message that begins or ends something."`
}

// The garbage collector keeps to heapShare of the process's memory limit, and leaves at least unmanagedReserve and the
// pages of the program's own file to what it does not manage. It gets minHeapShare in any case.
const (
	heapShare        = 0.6
	minHeapShare     = 0.25
	unmanagedReserve = 5 << 20
)

// heapLimit returns the limit for the garbage collector, given the memory limit of the process and the resident pages of
// files, all in bytes.
func heapLimit(memory, files int64) int64 {
	limit := min(int64(float64(memory)*heapShare), memory-files-unmanagedReserve)
	return max(limit, int64(float64(memory)*minHeapShare))
}

// residentFiles returns how many bytes of files, above all of the program itself, the process has in memory, or 0 if the
// system does not tell.
func residentFiles() int64 {
	var size, resident, shared int64 // in pages; see proc_pid_statm(5)
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	if n, _ := fmt.Sscan(string(text), &size, &resident, &shared); n < 3 {
		return 0
	}
	return shared * int64(os.Getpagesize())
}

// Run runs one director on the operators' platform, which passes the start configuration through environment variables.
// SIGHUP makes the director read that configuration again and use its discovery address; SIGTERM shuts it down.
func (c *platformCommand) Run() error {
	// The signals are caught before anything that takes time: a signal that arrived before this call would end the
	// process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	startConfig, err := platform.ReadStartConfig(os.Getenv)
	if err != nil {
		return inputError{err}
	}
	seed, err := startConfig.ParseSeed()
	if err != nil {
		return inputError{err}
	}
	if cores := startConfig.Limits.Cores; cores > 0 {
		// One thread more than the limit on cores, so that a thread in a system call does not keep the event loop from
		// running.
		runtime.GOMAXPROCS(min(runtime.NumCPU(), int(math.Ceil(cores))+1))
	}
	if mb := startConfig.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(heapLimit(mb<<20, residentFiles()))
	}
	level, rateLimit, err := logLevel(os.Getenv)
	if err != nil {
		return inputError{err}
	}
	logWriter := asynclog.New(os.Stderr, rateLimit)
	defer logWriter.Close(time.Second)
	log := newLogger(logWriter).Level(level)
	monotonic := clock.NewMonotonicClock(time.Now)
	config := startConfig.Config(monotonic.Now())
	var protocol daemon.Protocol = platform.NewProtocol(startConfig, config, monotonic.Now)
	if c.Trace || c.TraceKinds {
		stop := make(chan struct{})
		defer close(stop)
		traceLevel := platform.TraceKinds
		if c.Trace {
			traceLevel = platform.TraceBytes
		}
		protocol = platform.NewTracer(protocol, traceLevel, os.Stderr, time.Now, stop)
	}
	d, err := daemon.StartWithProtocol(protocol, config, strconv.FormatInt(time.Now().UnixMilli(), 36), seed,
		startConfig.NewDecider(seed), log)
	if err != nil {
		return err
	}
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				d.Stop()
				<-d.Done()
				return nil
			}
			next, err := platform.ReadStartConfig(os.Getenv)
			if err != nil {
				log.Warn().Err(err).Msg("SIGHUP: the start configuration is invalid; keeping the previous one")
				continue
			}
			log.Info().Str("board", next.DiscoveryAddress).Msg("SIGHUP: start configuration reloaded")
			d.SetDiscoveryAddress(next.DiscoveryAddress)
		case <-d.Done():
			return nil
		}
	}
}
