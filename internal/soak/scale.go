package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ScaleOptions are those of one measurement: a director as a process between so many servers.
type ScaleOptions struct {
	Servers   int
	Directors int           // that its settings name
	Length    time.Duration // how long clients ask
	Program   string
}

// Usage is what a director's process needed.
type Usage struct {
	Servers     int
	CPU         time.Duration // user and system
	PeakMemory  int64         // bytes, resident
	Descriptors int           // most at once
	Connections int64         // made to servers
	ListBytes   int64         // from discovery, after the start
	Requests    int
	Served      int
	Violations  []string
}

// What happens during a measurement, whatever the number of servers: the traffic of a small director, and a replacement of
// servers in steps.
const (
	scaleGap        = 100 * time.Millisecond // between requests
	scaleWait       = time.Second
	scaleCopies     = 4 // servers that hold a title
	replaceEvery    = time.Second
	replacedPercent = 2
	scaleClients    = 4 // connections
	sampleEvery     = 100 * time.Millisecond
)

// counters are what the emulated side counts.
type counters struct {
	connections atomic.Int64
	listBytes   atomic.Int64
}

// MeasureUsage runs a director for a time and tells what it needed.
func MeasureUsage(ctx context.Context, o ScaleOptions) (Usage, error) {
	r := &run{Options: Options{Seed: 1, Processes: 1, Servers: o.Servers, Directors: o.Directors, Length: o.Length, Program: o.Program, Faultless: true},
		chance: rand.New(rand.NewPCG(1, 1)), ledger: newLedger()}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return Usage{}, err
	}
	time.Sleep(settle)
	asking, enough := context.WithTimeout(ctx, o.Length)
	defer enough()
	go r.replace(asking)
	d := r.directors[0]
	descriptors := 0
	go r.askSteadily(asking, d)
	for sleep(asking, sampleEvery) {
		open, err := os.ReadDir(d.proc("fd"))
		if err != nil {
			return Usage{}, err
		}
		descriptors = max(descriptors, len(open))
	}
	time.Sleep(scaleWait + answerSlack)
	usage, err := d.usage()
	if err != nil {
		return Usage{}, err
	}
	result := r.ledger.result(1, 0)
	usage.Servers, usage.Descriptors = o.Servers, descriptors
	usage.Connections, usage.ListBytes = r.fleet.counted.connections.Load(), r.fleet.counted.listBytes.Load()
	usage.Requests, usage.Served, usage.Violations = result.Requests, result.Served, result.Violations
	return usage, ctx.Err()
}

// askSteadily sends requests one after the other, each for a title of its own, on a few connections that stay.
func (r *run) askSteadily(ctx context.Context, d *director) {
	clients := make([]*clientConnection, scaleClients)
	for i := 0; sleep(ctx, scaleGap); i++ {
		k := clients[i%scaleClients]
		if k == nil || k.gone() {
			var err error
			if k, err = dialClient(d); err != nil {
				r.ledger.fault("connect: %v", err)
				return
			}
			clients[i%scaleClients] = k
		}
		k.askFor(d, false, scaleWait, r.draw(r.Servers), scaleCopies)
	}
}

// replace drains some servers at a time and starts others in their places.
func (r *run) replace(ctx context.Context) {
	for sleep(ctx, replaceEvery) {
		ready := r.fleet.ready()
		n := max(1, r.Servers*replacedPercent/100)
		r.fleet.tell(stateDraining, ready[:n]...)
		var fresh []*server
		for range n {
			s, err := r.fleet.add(time.Now())
			if err != nil {
				r.ledger.fault("%v", err)
				return
			}
			fresh = append(fresh, s)
		}
		r.fleet.tell(stateReady, fresh...)
	}
}

func (d *director) proc(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return filepath.Join("/proc", strconv.Itoa(d.cmd.Process.Pid), name)
}

// usage reads what the process has used so far.
func (d *director) usage() (u Usage, err error) {
	stat, err := os.ReadFile(d.proc("stat"))
	if err != nil {
		return u, err
	}
	if u.CPU, err = cpuTime(string(stat)); err != nil {
		return u, err
	}
	status, err := os.ReadFile(d.proc("status"))
	if err != nil {
		return u, err
	}
	u.PeakMemory, err = peakMemory(string(status))
	return u, err
}

// clockTick is the unit of times in /proc/PID/stat; Linux gives it as 100 a second on all its platforms.
const clockTick = 10 * time.Millisecond

// cpuTime reads user and system time from /proc/PID/stat.
func cpuTime(stat string) (time.Duration, error) {
	const user, system = 11, 12 // fields after the command's name, which may hold blanks
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= system {
		return 0, fmt.Errorf("/proc/PID/stat has %d fields after the name", len(fields))
	}
	total := time.Duration(0)
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("/proc/PID/stat: %w", err)
		}
		total += time.Duration(ticks) * clockTick
	}
	return total, nil
}

// peakMemory reads the greatest resident size from /proc/PID/status.
func peakMemory(status string) (int64, error) {
	for line := range strings.Lines(status) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("/proc/PID/status has no VmHWM")
}
