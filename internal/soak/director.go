package soak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"fordusher/internal/loopback"
)

// A director is one instance of the program. Its process is started again each time it ends.
type director struct {
	ctx       context.Context
	number    int
	options   Options
	pool      *serverPool
	checker   *checker
	discovery *discovery
	address   *loopback.ReservedAddress
	config    string // path of the start configuration
	dir       string // temporary directory, which holds it

	mu              sync.Mutex
	generation      int // number of the process
	cmd             *exec.Cmd
	log             *bytes.Buffer
	ended           chan struct{}
	stopRequestedAt time.Time // zero: the process has not been requested to stop
	pauses          []pause
	exitExpected    bool      // the run has killed the process
	crowdedUntil    time.Time // so long idle connections may be closed for want of descriptors
}

// A pause is a time during which the process was stopped by SIGSTOP.
type pause struct{ from, to time.Time }

// newDirector prepares a director's address, directory and discovery; start runs its process.
func newDirector(ctx context.Context, number int, o Options, pool *serverPool, checker *checker) (*director, error) {
	d := &director{ctx: ctx, number: number, options: o, pool: pool, checker: checker}
	var err error
	if d.address, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	if d.dir, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, err
	}
	d.config = filepath.Join(d.dir, "config.json")
	d.discovery, err = newDiscovery(d)
	return d, err
}

// settings are the directors' settings: a small deployment with a free and a paid class, as the platform calls a
// tariff.
const settings = `{"balancers":%d,"me":%d,"zone":"z","zones":["z"],"flavors":["box"],
 "classes":[{"name":"clip","target_s":%g,"give_up_s":%g,"semantics":"free","credit":1},
  {"name":"exam","target_s":%g,"give_up_s":%g,"semantics":"single_shot","credit":3}],
 "family_info":{"positions":%d,"shelves":1,"kind_slots":[1000],"ladder_kb":[1,2],"level_worth":[0.5,1],"link_unit_kb":1000000,
  "rack_link_kb":100000000,"told_every_s":30,"told_late_s":1},
 "permissions":{"max_attempts":3,"connect_timeout_s":0.4,"conn_idle_s":4},"report":{"fields":["x0","x1"]},
 "rules":{"cold_from":0.5,"fall_multiple":4,"ramp_time_s":0.2,"tip_after_s":0.05}}`

// startConfig is the director's start configuration, with the servers that discovery has now. Callers hold the pool's
// lock.
func (d *director) startConfig() ([]byte, error) {
	type target struct {
		UID      string  `json:"uid"`
		Endpoint string  `json:"endpoint"`
		Zone     string  `json:"az"`
		Model    string  `json:"model"`
		Cell     int     `json:"pod_group"`
		State    string  `json:"state"`
		Hint     float64 `json:"capacity_hint"`
		Boot     int64   `json:"boot_ms"`
	}
	var targets []target
	for _, s := range d.pool.servers {
		if s.state != stateReady && s.state != stateDraining {
			continue
		}
		e, err := s.endpointOf(d)
		if err != nil {
			return nil, err
		}
		targets = append(targets, target{s.name(), e.ln.Addr().String(), "z", "box", s.cell,
			[]string{"ready", "draining"}[s.state], 1, s.started})
	}
	targetsJSON, _ := json.Marshal(targets) // encoding strings and numbers can't fail
	return fmt.Appendf(nil, `{"name":"n%d","listen":%q,"seed":"%x","board":%q,"limits":{"cores":1,"memory_mb":%d,"sockets":%d},
 "known":{"rev":%d,"notices":[{"rev":%d,"pool":{"rev":%d,"all":true,"targets":%s}}]},"settings":%s}`,
		d.number, d.address.String(), d.options.Seed+uint64(d.number)+1, d.discovery.currentAddress(), memoryLimit>>20, socketLimit,
		d.pool.lastEvent, d.pool.lastEvent, d.pool.lastEvent, targetsJSON,
		fmt.Sprintf(settings, cmp.Or(d.options.Directors, d.options.Processes), d.number, d.options.deadline().Seconds(),
			d.options.deadline().Seconds(), d.options.deadline().Seconds(), d.options.deadline().Seconds(), d.options.Servers)), nil
}

// The limits of a director's process.
const (
	memoryLimit = 192 << 20 // bytes, resident
	socketLimit = 512       // descriptors
)

// start starts a process and returns once it accepts connections of clients.
func (d *director) start() error {
	d.pool.mu.Lock()
	config, err := d.startConfig()
	if err == nil {
		err = os.WriteFile(d.config, config, 0o600)
	}
	delete(d.pool.subscribers, d.discovery)
	d.discovery.restart()
	d.pool.subscribers[d.discovery] = true
	for _, s := range d.pool.servers {
		if s.state == stateDraining || s.state == stateGone {
			s.markDrainSent(d)
		}
	}
	d.pool.mu.Unlock()
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(d.ctx, d.options.Program, "platform")
	level := "debug"
	if d.options.Faultless {
		level = "info"
	}
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+d.config, "FORDUSHER_LOG_LEVEL="+level, "GORACE=atexit_sleep_ms=0")
	log := &bytes.Buffer{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.generation++
	d.cmd, d.log, d.ended, d.exitExpected = cmd, log, ended, false
	generation := d.generation
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		d.checkExit(generation, log, err)
		close(ended)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", d.address.String()); err == nil {
			c.Close()
			d.handOverStanding()
			d.mu.Lock()
			d.stopRequestedAt = time.Time{} // not earlier: a SIGTERM before the process handles signals would end it at once
			d.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("director %d does not accept connections within 10 s", d.number)
}

// checkExit reports a process that has exited unexpectedly, and panics and violated invariants in its log.
func (d *director) checkExit(generation int, log *bytes.Buffer, err error) {
	d.mu.Lock()
	exitExpected := d.exitExpected
	d.mu.Unlock()
	var exit *exec.ExitError
	killed := errors.As(err, &exit) && exit.ProcessState.Sys().(syscall.WaitStatus).Signaled()
	if err != nil && !(killed && exitExpected) {
		d.checker.addRunViolation("director %d exited unexpectedly: %v", d.number, err)
	}
	text := log.String()
	for line := range strings.Lines(text) {
		if strings.Contains(line, "would have been violated") || strings.HasPrefix(line, "panic") {
			d.checker.addRunViolation("director %d: %s", d.number, strings.TrimSpace(line))
		}
	}
	if d.options.Logs != "" {
		name := filepath.Join(d.options.Logs, fmt.Sprintf("seed-%d-n%d-%d.log", d.options.Seed, d.number, generation))
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			d.checker.addRunViolation("%v", err)
		}
	}
}

// currentGeneration is the number of the current process.
func (d *director) currentGeneration() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// acceptsRequests reports whether clients send the director requests now.
func (d *director) acceptsRequests() bool {
	const acceptAfterStop = 500 * time.Millisecond // clients send requests for a while after SIGTERM
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.exitExpected && (d.stopRequestedAt.IsZero() || d.options.Dense || time.Since(d.stopRequestedAt) < acceptAfterStop)
}

// kill kills the process, as a crash does, and starts it again.
func (d *director) kill() error {
	d.mu.Lock()
	d.exitExpected = true
	cmd, ended, generation := d.cmd, d.ended, d.generation
	d.mu.Unlock()
	cmd.Process.Kill()
	<-ended
	d.checker.markKilled(d, generation, d.options.Dense)
	return d.start()
}

// restart stops the process and starts it again.
func (d *director) restart() error {
	d.stopProcess()
	return d.start()
}

// The time from SIGTERM to SIGKILL: the longest deadline, which counts as maxCountedDeadline at most, and killDelay.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
)

// stopProcess sends the process SIGTERM and waits until it exits. A process that still runs when it may be killed is
// killed, which counts as a violation.
func (d *director) stopProcess() {
	killAfter := min(d.options.deadline(), maxCountedDeadline) + killDelay
	d.mu.Lock()
	d.stopRequestedAt = time.Now()
	cmd, ended, generation := d.cmd, d.ended, d.generation
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(killAfter + exitSlack):
		d.checker.addRunViolation("director %d has not exited %v after SIGTERM", d.number, killAfter)
		cmd.Process.Kill()
		<-ended
		d.checker.markKilled(d, generation, d.options.Dense)
	}
}

// exitSlack is the time that a busy machine takes between a process's exit and its notice.
const exitSlack = 100 * time.Millisecond

// pauseFor stops the process by SIGSTOP for a while and lets it continue.
func (d *director) pauseFor(length time.Duration) {
	d.mu.Lock()
	cmd, ok := d.cmd, !d.exitExpected && d.stopRequestedAt.IsZero()
	d.mu.Unlock()
	if !ok {
		return
	}
	from := time.Now()
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	cmd.Process.Signal(syscall.SIGCONT)
	d.mu.Lock()
	d.pauses = append(d.pauses, pause{from, time.Now()})
	d.mu.Unlock()
}

// pausedSince is the total length of the pauses that ended after a time.
func (d *director) pausedSince(since time.Time) (total time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pauses {
		if p.to.After(since) {
			total += p.to.Sub(p.from)
		}
	}
	return total
}

// markDrainSent records that discovery has just sent the director the draining or gone state of a server.
func (d *director) markDrainSent(id uint32) {
	if s, ok := d.pool.byID.Load(id); ok {
		s.(*server).markDrainSent(d)
	}
}

// markDrainSent records that a director has just been sent the server's draining or gone state.
func (s *server) markDrainSent(d *director) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainSentAt[d] = time.Now() // also if it was sent before, since that message may not have arrived
}

// finish stops the process and discovery and removes the director's files.
func (d *director) finish() {
	d.stopProcess()
	d.discovery.stopListening()
	d.address.Close()
	os.RemoveAll(d.dir)
}
