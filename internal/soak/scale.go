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

// ScaleOptions are the options of one measurement: one director process with a number of servers.
type ScaleOptions struct {
	Servers   int
	Directors int           // number of directors in its settings
	Length    time.Duration // time during which clients send requests
	Program   string
}

// Usage is the resource usage of a director's process, with the requests of the measurement.
type Usage struct {
	Servers     int
	CPU         time.Duration // user and system
	PeakMemory  int64         // resident, in bytes
	Descriptors int           // largest number at one time
	Connections int64         // made to servers
	ListBytes   int64         // received from discovery after the start
	Requests    int
	Served      int
	Violations  []string
}

// Load of a measurement, which doesn't depend on the number of servers: the traffic of a small director, and a
// replacement of servers in steps.
const (
	scaleRequestInterval = 100 * time.Millisecond
	scaleWait            = time.Second
	scaleCopies          = 4 // servers that hold each title
	replaceInterval      = time.Second
	replacedPercent      = 2
	scaleClients         = 4 // connections of clients
	sampleInterval       = 100 * time.Millisecond
)

// counters count what the emulated servers and discovery see.
type counters struct {
	connections atomic.Int64
	listBytes   atomic.Int64
}

// MeasureUsage runs a director for a time and returns its resource usage.
func MeasureUsage(ctx context.Context, o ScaleOptions) (Usage, error) {
	r := &run{
		Options: Options{Seed: 1, Processes: 1, Servers: o.Servers, Directors: o.Directors, Length: o.Length, Program: o.Program,
			Faultless: true},
		random: rand.New(rand.NewPCG(1, 1)), checker: newChecker(),
	}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return Usage{}, err
	}
	time.Sleep(startupDelay)
	requestCtx, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	go r.replaceServers(requestCtx)
	d := r.directors[0]
	descriptors := 0
	go r.sendSteadyRequests(requestCtx, d)
	for sleep(requestCtx, sampleInterval) {
		open, err := os.ReadDir(d.procPath("fd"))
		if err != nil {
			return Usage{}, err
		}
		descriptors = max(descriptors, len(open))
	}
	time.Sleep(scaleWait + answerSlack)
	usage, err := d.readUsage()
	if err != nil {
		return Usage{}, err
	}
	result := r.checker.result(1, 0)
	usage.Servers, usage.Descriptors = o.Servers, descriptors
	usage.Connections, usage.ListBytes = r.pool.counters.connections.Load(), r.pool.counters.listBytes.Load()
	usage.Requests, usage.Served, usage.Violations = result.Requests, result.Served, result.Violations
	return usage, ctx.Err()
}

// sendSteadyRequests sends requests at a fixed interval on a few connections, each for a random first cell.
func (r *run) sendSteadyRequests(ctx context.Context, d *director) {
	clients := make([]*clientConnection, scaleClients)
	for i := 0; sleep(ctx, scaleRequestInterval); i++ {
		c := clients[i%scaleClients]
		if c == nil || c.hasEnded() {
			var err error
			if c, err = dialClient(d); err != nil {
				r.checker.addRunViolation("connect: %v", err)
				return
			}
			clients[i%scaleClients] = c
		}
		c.sendRequestFor(d, false, scaleWait, r.randomInt(r.Servers), scaleCopies)
	}
}

// replaceServers repeatedly drains some servers and starts others to replace them.
func (r *run) replaceServers(ctx context.Context) {
	for sleep(ctx, replaceInterval) {
		ready := r.pool.readyServers()
		n := max(1, r.Servers*replacedPercent/100)
		r.pool.publishState(stateDraining, ready[:n]...)
		var added []*server
		for range n {
			added = append(added, r.pool.add(time.Now()))
		}
		r.pool.publishState(stateReady, added...)
	}
}

// procPath is the path of a file of the process in /proc.
func (d *director) procPath(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return filepath.Join("/proc", strconv.Itoa(d.cmd.Process.Pid), name)
}

// readUsage reads the CPU time and the peak memory of the process so far.
func (d *director) readUsage() (u Usage, err error) {
	stat, err := os.ReadFile(d.procPath("stat"))
	if err != nil {
		return u, err
	}
	if u.CPU, err = cpuTime(string(stat)); err != nil {
		return u, err
	}
	status, err := os.ReadFile(d.procPath("status"))
	if err != nil {
		return u, err
	}
	u.PeakMemory, err = peakMemory(string(status))
	return u, err
}

// clockTick is the unit of times in /proc/PID/stat. Linux has 100 of them a second on all its platforms.
const clockTick = 10 * time.Millisecond

// cpuTime reads user and system time from /proc/PID/stat.
func cpuTime(stat string) (time.Duration, error) {
	const user, system = 11, 12 // indexes of the fields after the command's name, which may contain blanks
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

// peakMemory reads the largest resident size from /proc/PID/status.
func peakMemory(status string) (int64, error) {
	for line := range strings.Lines(status) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("/proc/PID/status has no VmHWM")
}
