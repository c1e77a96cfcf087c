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

// A director is one process of the program, started anew after each end.
type director struct {
	ctx       context.Context
	number    int
	options   Options
	fleet     *fleet
	ledger    *ledger
	discovery *discovery
	address   *loopback.ReservedAddress
	config    string
	folder    string

	mu      sync.Mutex
	life    int
	cmd     *exec.Cmd
	log     *bytes.Buffer
	ended   chan struct{}
	stopped time.Time // told to stop
	paused  []pause
	asked   bool // it was told to end, or killed, by the run
}

type pause struct{ from, to time.Time }

func newDirector(ctx context.Context, number int, o Options, f *fleet, l *ledger) (*director, error) {
	d := &director{ctx: ctx, number: number, options: o, fleet: f, ledger: l}
	var err error
	if d.address, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	if d.folder, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, err
	}
	d.config = filepath.Join(d.folder, "config.json")
	d.discovery, err = newDiscovery(d)
	return d, err
}

// settings are those of a small deployment with a free and a paid class.
const settings = `{"balancers":%d,"me":%d,"zone":"z","zones":["z"],"flavors":["box"],
 "classes":[{"name":"clip","target_s":0.8,"give_up_s":1.5,"semantics":"free","credit":1},
  {"name":"exam","target_s":0.8,"give_up_s":1.5,"semantics":"single_shot","credit":3}],
 "family_info":{"positions":%d,"shelves":1,"kind_slots":[1000],"ladder_kb":[1,2],"level_worth":[0.5,1],"link_unit_kb":1000000,
  "rack_link_kb":100000000,"told_every_s":30,"told_late_s":1},
 "permissions":{"max_attempts":3,"connect_timeout_s":0.4,"conn_idle_s":4},"report":{"fields":["x0","x1"]},
 "rules":{"cold_from":0.5,"fall_multiple":4,"ramp_time_s":0.2,"tip_after_s":0.05}}`

// posting is the director's configuration, with what discovery knows now. It is called with the fleet's lock held.
func (d *director) posting() []byte {
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
	for _, s := range d.fleet.servers {
		targets = append(targets, target{s.name(), s.ln.Addr().String(), "z", "box", s.cell,
			[]string{"ready", "draining", "gone"}[s.state], 1, s.started})
	}
	known, _ := json.Marshal(targets) // strings and numbers alone: it can't fail
	return fmt.Appendf(nil, `{"name":"n%d","listen":%q,"seed":"%x","board":%q,"limits":{"cores":1,"memory_mb":192,"sockets":512},
 "known":{"rev":%d,"notices":[{"rev":%d,"pool":{"rev":%d,"all":true,"targets":%s}}]},"settings":%s}`,
		d.number, d.address.String(), d.options.Seed+uint64(d.number)+1, d.discovery.ln.Addr(), d.fleet.number, d.fleet.number, d.fleet.number, known,
		fmt.Sprintf(settings, cmp.Or(d.options.Directors, d.options.Processes), d.number, d.options.Servers))
}

// start runs the process and returns once it accepts clients.
func (d *director) start() error {
	d.fleet.mu.Lock()
	err := os.WriteFile(d.config, d.posting(), 0o600)
	delete(d.fleet.watchers, d.discovery)
	d.discovery.forget()
	d.fleet.watchers[d.discovery] = true
	for _, s := range d.fleet.servers {
		if s.state != stateReady {
			s.told(d)
		}
	}
	d.fleet.mu.Unlock()
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
	d.life++
	d.cmd, d.log, d.ended, d.asked = cmd, log, ended, false
	life := d.life
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		d.judge(life, log, err)
		close(ended)
	}()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", d.address.String()); err == nil {
			c.Close()
			d.mu.Lock()
			d.stopped = time.Time{} // only now: an order that comes before it listens for any ends it
			d.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("director %d does not listen within 10 s", d.number)
}

// judge looks at how a process has ended, and at what it says of its invariants.
func (d *director) judge(life int, log *bytes.Buffer, err error) {
	d.mu.Lock()
	asked := d.asked
	d.mu.Unlock()
	var exit *exec.ExitError
	killed := errors.As(err, &exit) && exit.ProcessState.Sys().(syscall.WaitStatus).Signaled()
	if err != nil && !(killed && asked) {
		d.ledger.fault("director %d ended by itself: %v", d.number, err)
	}
	text := log.String()
	for line := range strings.Lines(text) {
		if strings.Contains(line, "would have been violated") || strings.HasPrefix(line, "panic") {
			d.ledger.fault("director %d: %s", d.number, strings.TrimSpace(line))
		}
	}
	if d.options.Logs != "" {
		name := filepath.Join(d.options.Logs, fmt.Sprintf("seed-%d-n%d-%d.log", d.options.Seed, d.number, life))
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			d.ledger.fault("%v", err)
		}
	}
}

func (d *director) currentLife() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life
}

// takes tells whether clients may still ask it for something.
func (d *director) takes() bool {
	const stopTakes = 500 * time.Millisecond // after the order to stop clients go on for a while
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.asked && (d.stopped.IsZero() || time.Since(d.stopped) < stopTakes)
}

// kill ends the process as a crash does and starts it anew.
func (d *director) kill() error {
	d.mu.Lock()
	d.asked = true
	cmd, ended, life := d.cmd, d.ended, d.life
	d.mu.Unlock()
	cmd.Process.Kill()
	<-ended
	d.ledger.died(d, life)
	return d.start()
}

// restart orders the process to stop, waits until it has ended by itself, and starts it anew.
func (d *director) restart() error {
	d.order()
	return d.start()
}

// order tells the process to stop and waits for its end; it is killed, and that noted, where it takes too long.
func (d *director) order() {
	const killAfter = 3*time.Second + 700*time.Millisecond
	d.mu.Lock()
	d.stopped = time.Now()
	cmd, ended, life := d.cmd, d.ended, d.life
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(killAfter):
		d.ledger.fault("director %d has not ended %v after the order to stop", d.number, killAfter)
		cmd.Process.Kill()
		<-ended
		d.ledger.died(d, life)
	}
}

// freeze stops the process for a while and lets it go on.
func (d *director) freeze(length time.Duration) {
	d.mu.Lock()
	cmd, ok := d.cmd, !d.asked && d.stopped.IsZero()
	d.mu.Unlock()
	if !ok {
		return
	}
	from := time.Now()
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	cmd.Process.Signal(syscall.SIGCONT)
	d.mu.Lock()
	d.paused = append(d.paused, pause{from, time.Now()})
	d.mu.Unlock()
}

// pausedSince is how long the process stood still since a time, one that stands still now included.
func (d *director) pausedSince(since time.Time) (total time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.paused {
		if p.to.After(since) {
			total += p.to.Sub(p.from)
		}
	}
	return total
}

// drains notes that the director was told that a server drains or is gone.
func (d *director) drains(id uint32) {
	if s, ok := d.fleet.byID.Load(id); ok {
		s.(*server).told(d)
	}
}

func (s *server) told(d *director) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains[d] = time.Now() // one that is told again may not have reached it before
}

func (d *director) finish() {
	d.order()
	d.discovery.ln.Close()
	d.discovery.cut()
	d.address.Close()
	os.RemoveAll(d.folder)
}
