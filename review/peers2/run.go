package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A record is the file that says what was sent, answered and run, a line each, with the seconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	quiet   atomic.Bool // only what always is called with is written
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	if !r.quiet.Load() {
		r.always(format, args...)
	}
}

// always writes a line also if the record is quiet.
func (r *record) always(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.out.Flush()
}

func (r *record) close() { r.file.Close() }

// A run is one play of a case.
type run struct {
	record  *record
	temp    string // folder for the director's configuration and log
	trouble bool
	viewers atomic.Uint64 // connections of viewers so far

	mu         sync.Mutex
	violations []string
	process    *exec.Cmd
	exited     chan struct{}
	cleanups   []func()
}

// violation records that the rule was broken.
func (r *run) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.record.always("BROKEN: %s", text)
	r.mu.Lock()
	r.violations = append(r.violations, text)
	r.mu.Unlock()
}

func (r *run) violationCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.violations)
}

func (r *run) firstViolation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations[0]
}

// onEnd has a function called when the run ends.
func (r *run) onEnd(f func()) {
	r.mu.Lock()
	r.cleanups = append(r.cleanups, f)
	r.mu.Unlock()
}

// end ends what the run has started.
func (r *run) end() {
	r.mu.Lock()
	process, exited, cleanups := r.process, r.exited, r.cleanups
	r.mu.Unlock()
	if process != nil {
		process.Process.Kill() // it is gone if this fails
		<-exited
	}
	for _, f := range cleanups {
		f()
	}
}

// A configuration is a director's start configuration.
type configuration struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Board string `json:"board"`
	Known struct {
		Revision uint64        `json:"rev"`
		Notices  []knownNotice `json:"notices"`
	} `json:"known"`
	Settings map[string]any `json:"settings"`
}

// A knownNotice is an event of discovery in the start configuration.
type knownNotice struct {
	Revision uint64 `json:"rev"`
	Pool     struct {
		All     bool          `json:"all"`
		Targets []knownTarget `json:"targets"`
	} `json:"pool"`
}

type knownTarget struct {
	ID       string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	Started  int64   `json:"boot_ms"`
}

// newConfiguration returns the configuration of a small deployment: one director, and the media nodes of discovery's
// first event.
func newConfiguration(listen, board string, nodes []*mediaNode) *configuration {
	c := &configuration{Name: "n1", Listen: listen, Seed: "8c1f30d27a5be964", Board: board}
	c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = 1, 192, 512
	c.Known.Revision = 1
	notice := knownNotice{Revision: 1}
	notice.Pool.All = true
	for _, n := range nodes {
		notice.Pool.Targets = append(notice.Pool.Targets, knownTarget{ID: n.name(), Endpoint: n.address(), Zone: zoneName,
			Kind: "box-4c", Cell: n.cell, State: "ready", Weight: nodeWeight, Started: 0})
	}
	c.Known.Notices = []knownNotice{notice}
	c.Settings = newSettings()
	return c
}

// What all media nodes of a case have in common.
const (
	zoneName   = "z1"
	nodeWeight = 16 // sizes the link so that no case fills one
)

// newSettings returns the settings of a small deployment. Names and units are those of the users' pages.
func newSettings() map[string]any {
	class := func(name, semantics string, target, giveUp, credit float64) map[string]any {
		return map[string]any{"name": name, "semantics": semantics, "target_s": target, "give_up_s": giveUp, "credit": credit,
			"group": "all", "late_worth": 0, "memory_span_s": 5, "stream": true}
	}
	return map[string]any{
		"me": 0, "balancers": 1, "zone": zoneName, "zones": []string{zoneName}, "flavors": []string{"box-2c", "box-4c"},
		"classes": []any{class("prog-intro", "free", 0.8, 4, 1), class("listen-test", "single_shot", 1, 3, 3),
			class("apply-guide", "free", 1, 5, 1)},
		"family_info": map[string]any{"change_costs_s": 0.5, "floor_by_class": []int{0, 1, 0}, "is_live": []bool{false, false, false},
			"kind_slots": []int{18, 35}, "ladder_kb": []float64{172, 347, 703, 1424}, "level_worth": []float64{0.23, 0.52, 0.76, 1},
			"licence_cap": []int{0, 0, 0}, "link_unit_kb": 1637, "links_kb": 200000, "positions": cells, "rack_link_kb": 190000,
			"refuses_from": 0, "scale_by_class": []float64{0.7, 1.4, 1}, "shared_adds": 1, "shelves": 2, "stall_cost": 7,
			"told_every_s": toldEvery.Seconds(), "told_late_s": 0.94, "top_by_class": []int{2, 3, 2}},
		"membership_mode": "push", "workload": "streams", "weights": "nominal", "tick_s": 0.01, "stage": 0,
		"permissions": map[string]any{"cancel": true, "conn_idle_s": 30, "connect_timeout_s": 0.25, "max_attempts": 4,
			"max_retry_after_s": 2, "may_tell": false, "open_cap": 1000000, "probes": false, "retry_after": false,
			"second_copies": false, "streams_per_conn": 1048576, "cpu_us_per_s": 400000, "cpu_us_per_request": 0},
		"prices": map[string]any{"cross_zone": 0, "moves": 0.25},
		"report": map[string]any{"fields": []string{"x0", "x1"}, "source": "inline"},
		"rules": map[string]any{"ask_within_s": 10, "cold_from": 0.4, "drain_grace_s": 0.25, "fall_multiple": 4,
			"grace_to_answer_s": 0.04, "ramp_time_s": 12, "tip_after_s": 1},
		"tenants": []any{},
	}
}

// cells is the number of cells. Each title lies on two of them, from its first one on.
const cells = 4

// startDirector writes a configuration and starts a director with the command of the deploy file.
func (r *run) startDirector(c *configuration) error {
	if err := r.writeConfiguration(c); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.temp, "director.log"))
	if err != nil {
		return err
	}
	process := exec.Command("/bin/sh", "-c", "exec bin/fordusher platform")
	process.Stdout, process.Stderr = log, log
	process.Env = append(os.Environ(), "PROXY_NAME="+c.Name, "PROXY_LISTEN="+c.Listen, "PROXY_CONFIG="+r.configFile())
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.process, r.exited = process, exited
	r.mu.Unlock()
	go func() {
		process.Wait()
		r.record.line("the director has ended: %v", process.ProcessState)
		close(exited)
	}()
	r.record.line("director started, process %d", process.Process.Pid)
	return r.waitReady(c.Listen)
}

func (r *run) configFile() string { return filepath.Join(r.temp, "config.json") }

// writeConfiguration replaces the configuration file as a whole.
func (r *run) writeConfiguration(c *configuration) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.configFile()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(r.configFile()+".new", r.configFile())
}

// directorCrashed reports whether the director has ended by itself.
func (r *run) directorCrashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// readyTime is the time in which a director has to pass a test.
const readyTime = 10 * time.Second

// waitReady waits until the director passes a test, as the platform's front does.
func (r *run) waitReady(address string) error {
	for deadline := time.Now().Add(readyTime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if passesTest(address) {
			r.record.line("the director has passed a test")
			return nil
		}
	}
	return fmt.Errorf("the director has not passed a test within %v", readyTime)
}

func passesTest(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(clientMessage(kindTest, 1, param{codeCause, "\x00"})); err != nil {
		return false
	}
	m, err := readClientMessage(bufio.NewReader(conn))
	return err == nil && m.kind == kindTestReply && m.params[codeCause] == "\x01"
}

// freeAddress returns a loopback address with a port that nothing listens at.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
