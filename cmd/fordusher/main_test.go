package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fordusher/internal/emulated/discovery"
	"fordusher/internal/load"
	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// TestMain runs the program instead of the tests if FORDUSHER_MAIN is set, so that tests can start the test binary as
// the program's processes.
func TestMain(m *testing.M) {
	if os.Getenv("FORDUSHER_MAIN") != "" {
		if n, err := strconv.ParseUint(os.Getenv("FORDUSHER_FILES"), 10, 64); err == nil { // the limit on descriptors that a platform sets
			unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n})
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// command returns the command that runs the program with the given arguments.
func command(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(os.Environ(), "FORDUSHER_MAIN=1")
	return cmd
}

// program runs the program until it exits, and returns its exit code, standard output and standard error.
func program(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	cmd := command(t, args...)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	killTimer := time.AfterFunc(2*time.Minute, func() { cmd.Process.Kill() })
	defer killTimer.Stop()
	err := cmd.Run()
	if _, ok := err.(*exec.ExitError); err != nil && !ok {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), o.String(), e.String()
}

// file writes a file to a temporary directory and returns its path.
func file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const directorConfig = `{"director": {"name": "d", "me": 0, "directors": 1}, "listen": "127.0.0.1:0", "metrics": "127.0.0.1:0",
  "list": {"address": "127.0.0.1:1"}, "tariffs": {"clip": {"goal_time": "1s", "hard_stop": "2s"}}, "ladder": {"rates": ["100kB/s"]},
  "fleet": {"cells": 1, "racks": 1, "link_unit": "1000kB/s", "uplink": "1000kB/s", "machines": {"box": 5}},
  "ramp": {"warmup": "1s", "cold_from": 0.5, "multiple": 4, "tip_after": "1s"}, "closing": {"within": "500ms"}}`

func TestInvalidInputIsReportedAndExitsWith2(t *testing.T) {
	invalid := file(t, "d.jsonc", strings.Replace(directorConfig, `"racks"`, `"raks"`, 1))
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"check", invalid}, invalid + ":3:25: unknown key \"raks\"; did you mean \"racks\"?"},
		{[]string{"serve", "--conf", invalid}, invalid + ":3:25: unknown key"},
		{[]string{"check", filepath.Join(t.TempDir(), "none")}, "no such file"},
		{[]string{"day", "--script", file(t, "s", `{"troubles": [{"kind": "flood", "at": "1s"}]}`)}, `unknown trouble "flood"`},
		{[]string{"dya"}, "unexpected argument dya"},
		{[]string{"day", "--requests", "x"}, "--requests"},
	} {
		code, _, errs := program(t, c.args...)
		if code != exitInvalidInput || !strings.Contains(errs, c.want) || strings.Contains(errs, "goroutine") {
			t.Errorf("%v: exit %d, %s", c.args, code, errs)
		}
	}
	if code, out, _ := program(t, "check", file(t, "d.jsonc", directorConfig)); code != 0 || !strings.Contains(out, "director d, 0 of 1") {
		t.Error(code, out)
	}
}

// Sends SIGTERM to a director that has no node for a waiting request. Guards against a process that exits without an
// answer to the request, or with an exit code other than 0.
func TestServeAnswersPendingRequestOnSIGTERM(t *testing.T) {
	source, err := discovery.Start(rulecheck.DiscardRecorder, nil, []wire.TitlePlacement{{Title: "t", Copies: 1}})
	if err != nil {
		t.Fatal(err)
	}
	defer source.Close()
	cmd := command(t, "serve", "--conf", file(t, "d.jsonc", strings.Replace(directorConfig, "127.0.0.1:1", source.Address(), 1)))
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	line, err := bufio.NewReader(pipe).ReadBytes('\n')
	var ready readyMessage
	if err != nil || json.Unmarshal(line, &ready) != nil || ready.Metrics == "" {
		t.Fatal(string(line), err)
	}
	r := &messageReceiver{messages: make(chan wire.SessionMessage, 10), closed: make(chan error, 1)}
	conn, err := transport.Dial(ready.Listen, wire.SessionProtocol, 5*time.Second,
		transport.Limits{MaxMessageBytes: 4096, MaxQueuedBytes: 4096, WriteTimeout: time.Second}, r, nil)
	if err != nil {
		t.Fatal(err)
	}
	conn.Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: "1", Tariff: "clip", Title: "t", Key: "k", WaitMS: 1500}), 0)
	time.Sleep(50 * time.Millisecond) // the request waits, since there is no node
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case m := <-r.messages: // the request must be answered before the process exits
		if m.Type != wire.Nack && m.Type != wire.Errored {
			t.Fatal(m)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no answer")
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Runs a day with directors and nodes as processes and directors killed with SIGKILL, saves the records and verifies
// them again. Guards against requests without an outcome, violated rules, and a cut record file that is not reported.
func TestDayWithProcesses(t *testing.T) {
	script := file(t, "s.jsonc", `{"length": "4s", "requests": 250, "directors": 2, "nodes": 8, "racks": 2, "titles": 8,
		"viewers": {"mean_length": "1s"}, "list": {"notice_low": "100ms", "notice_high": "300ms"},
		"troubles": [{"kind": "balancer_roll", "at": "1s", "for": "2s", "share": 0.5, "size": 0.3},
			{"kind": "crash", "at": "1500ms", "for": "1s", "share": 0.15}, {"kind": "deploy", "at": "500ms", "for": "2s", "share": 0.3, "size": 0.3}]}`)
	record := filepath.Join(t.TempDir(), "day.zst")
	code, out, errs := program(t, "day", "--processes", "--script", script, "--json", "--record", record, "--slack", "400ms")
	if code != 0 {
		t.Fatal(code, out, errs)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	var r struct {
		Taken, Played, Nacked, Errored, Gone, Unanswered int
		Rules                                            map[string]struct{ Checked, Broken int }
	}
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &r); err != nil {
		t.Fatal(err)
	}
	if r.Taken != r.Played+r.Nacked+r.Errored+r.Gone || r.Unanswered != 0 || r.Played < 50 || r.Rules[rulecheck.RuleDrain].Checked < 50 {
		t.Fatal(lines[len(lines)-1])
	}
	if code, out, _ := program(t, "verify", record); code != 0 || !strings.Contains(out, "all rules kept") {
		t.Fatal(code, out)
	}
	raw, err := os.ReadFile(record)
	if err != nil {
		t.Fatal(err)
	}
	if code, _, errs := program(t, "verify", file(t, "cut.zst", string(raw[:len(raw)/2]))); code != exitFailure || !strings.Contains(errs, "cut.zst") {
		t.Fatal(code, errs)
	}
}

// Lets clients connect until the process has no descriptors left. Guards against a director that then does not serve
// the connected clients, accepts none after some have closed, or retries accept in a loop that uses up the CPU.
func TestDescriptorExhaustion(t *testing.T) {
	source, err := discovery.Start(rulecheck.DiscardRecorder, nil, []wire.TitlePlacement{{Title: "t", Copies: 1}})
	if err != nil {
		t.Fatal(err)
	}
	defer source.Close()
	conf := file(t, "d.jsonc", strings.Replace(directorConfig, "127.0.0.1:1", source.Address(), 1))
	cmd := command(t, "serve", "--conf", conf)
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	line, err := bufio.NewReader(pipe).ReadBytes('\n')
	var ready readyMessage
	if err != nil || json.Unmarshal(line, &ready) != nil {
		t.Fatal(string(line), err)
	}
	// The limit is lowered while the program runs, so that the capacity it computed at its start is too high.
	lowLimit := unix.Rlimit{Cur: 64, Max: 64}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &lowLimit, nil); err != nil {
		t.Fatal(err)
	}
	connLimits := transport.Limits{MaxMessageBytes: 4096, MaxQueuedBytes: 4096, WriteTimeout: time.Second}
	connect := func(timeout time.Duration) (*transport.Conn, *messageReceiver, error) {
		r := &messageReceiver{messages: make(chan wire.SessionMessage, 10), closed: make(chan error, 1)}
		c, err := transport.Dial(ready.Listen, wire.SessionProtocol, timeout, connLimits, r, nil)
		return c, r, err
	}
	var conns []*transport.Conn
	var first *messageReceiver
	for range 100 {
		c, r, err := connect(300 * time.Millisecond)
		if err != nil {
			break
		}
		if first == nil {
			first = r
		}
		conns = append(conns, c)
	}
	if len(conns) < 20 || len(conns) > 64 {
		t.Fatal(len(conns), "clients connected")
	}
	conns[0].Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: "1", Tariff: "clip", Title: "none", Key: "k", WaitMS: 1500}), 0)
	select {
	case m := <-first.messages:
		if m.Type != wire.Nack {
			t.Fatal(m)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("a connected client gets no answer")
	}
	before := (&measuredProcess{cmd, ready}).CPU()
	time.Sleep(time.Second)
	if used := (&measuredProcess{cmd, ready}).CPU() - before; used > 700*time.Millisecond {
		t.Fatal("CPU time used without descriptors: ", used, " in a second")
	}
	for _, c := range conns[10:] {
		c.Abort()
	}
	for end := time.Now().Add(15 * time.Second); ; {
		if _, _, err := connect(time.Second); err == nil {
			break
		} else if time.Now().After(end) {
			t.Fatal("no client can connect again: ", err)
		}
	}
}

// Runs a load scenario with each kind of part over processes, loads the saved results and plots them. Guards against
// lost idle connections, parts whose requests are not answered, and results that can't be read again.
func TestScenarioWithProcesses(t *testing.T) {
	s := file(t, "small.jsonc", `{"name": "small", "clients": 2, "directors": 2, "nodes": 4, "racks": 2, "warm": "1s", "for": "2s", "room": 1000,
		"parts": [{"kind": "idle", "connections": 21}, {"kind": "set-ups", "connections": 4, "rate": 50, "length": "200ms"},
		{"kind": "chatter", "connections": 3, "rate": 20}, {"kind": "reconnects", "connections": 2, "rate": 10, "length": "200ms"},
		{"kind": "slow-readers", "connections": 4, "rate": 2}, {"kind": "never-readers", "connections": 4, "rate": 2}]}`)
	results := filepath.Join(t.TempDir(), "small.zst")
	if code, out, errs := program(t, "load", "run", s, "-o", results); code != 0 {
		t.Fatal(code, out, errs)
	}
	a, err := load.LoadArchive(results)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range a.Summaries() {
		switch x.Part {
		case "idle":
			if x.Open != 21 || x.Lost != 0 {
				t.Errorf("%+v", x.Sample)
			}
		case "set-ups", "chatter", "reconnects":
			if x.Due < 8 || x.Answered < x.Due*8/10 {
				t.Errorf("%+v", x.Sample)
			}
		}
	}
	if code, out, errs := program(t, "plot", results); code != 0 || !strings.Contains(out, "never-readers") {
		t.Fatal(code, out, errs)
	}
	if code, _, errs := program(t, "load", "run", file(t, "bad.jsonc", `{"name": 3}`)); code != exitInvalidInput || !strings.Contains(errs, "bad.jsonc:1:10") {
		t.Fatal(code, errs)
	}
}
