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

// runCommand is `run` of the deploy file.
const runCommand = "exec bin/fordusher platform"

// settings are those of a small deployment, bkk-media: the wire page's example, with the figures that it leaves out and
// a title's seats from the site's brief. The %s is the interval of a server's notes, in seconds.
const settings = `{"balancers":2,"me":0,"zone":"bkk-dc1","zones":["bkk-dc1"],"flavors":["box-2c","box-4c"],"membership_mode":"push",
 "classes":[{"credit":1.0,"give_up_s":4.0,"group":"all","late_worth":0.0,"memory_span_s":5.0,"name":"prog-intro","semantics":"free","stream":true,"target_s":0.8},
  {"credit":3.0,"give_up_s":3.0,"group":"all","late_worth":0.0,"memory_span_s":5.0,"name":"listen-test","semantics":"single_shot","stream":true,"target_s":1.0},
  {"credit":1.0,"give_up_s":5.0,"group":"all","late_worth":0.0,"memory_span_s":5.0,"name":"apply-guide","semantics":"free","stream":true,"target_s":1.0}],
 "client_habits":{"marks_retry":false},
 "family_info":{"change_costs_s":0.5162948206728191,"floor_by_class":[0,1,0],"is_live":[false,false,false],"kind_slots":[18,35],
  "ladder_kb":[172.0,347.0,703.0,1424.0],"level_worth":[0.23,0.52,0.76,1.0],"licence_cap":[0,2,0],"link_unit_kb":1637.0,
  "links_kb":53278.0,"positions":14,"rack_link_kb":19274.0,"refuses_from":0.0,"scale_by_class":[0.7,1.4,1.0],"shared_adds":1.0,
  "shelves":2,"stall_cost":7.0,"told_every_s":%s,"told_late_s":0.940415,"top_by_class":[2,3,2]},
 "goal":{"whole":0.65,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.15},"over_share_worth":0.1,
 "permissions":{"cancel":true,"conn_idle_s":30.0,"connect_timeout_s":0.25,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,
  "max_attempts":4,"max_retry_after_s":2.0,"may_tell":false,"open_cap":1000000,"probes":false,"retry_after":false,
  "second_copies":false,"streams_per_conn":1048576},
 "prices":{"connection":0.0,"cross_zone":0.0,"handshake":0.0,"late_fail":0.032,"membership_mode":0.0,"moves":0.25,"origin":0.0,
  "peer":0.0,"probe":0.0,"waste":0.0},
 "report":{"fields":["x0","x1"],"source":"inline"},
 "rules":{"ask_within_s":10.0,"cold_from":0.4,"drain_grace_s":0.25,"fall_multiple":4.0,"grace_to_answer_s":0.04,"ramp_time_s":12.0,"tip_after_s":1.0},
 "stage":0,"tenants":[],"tick_s":0.01,"tiers":["media-fleet"],"weights":"nominal","workload":"streams","worth_by":"work"}`

// The servers and memory of the small deployment. DAYS.md gives a director at most 192 MB on scored days.
const (
	serverCount  = 14
	memoryMB     = 192
	noteInterval = 4500 * time.Millisecond // bkk-media.toml, tell_s: 2.5 to 4.6
)

// A trial is one run of a case: a director and the stand-ins around it.
type trial struct {
	record    *record
	folder    string
	listen    string // the director's address
	process   *exec.Cmd
	exited    chan struct{} // closed when the director's process has ended
	discovery *discovery
	servers   []*server
	mu        sync.Mutex
	clients   []*client
	peakKB    atomic.Int64 // the most resident memory of the director seen
}

// must ends the case as not run if there is an error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// start starts the stand-ins and the director, and waits until the director passes a test.
func (t *trial) start() {
	folder, err := os.MkdirTemp("", "review")
	must(err)
	t.folder = folder
	t.discovery = newDiscovery(t.record)
	for i := range serverCount {
		t.servers = append(t.servers, newServer(t.record, uint32(0x100+i), i))
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	t.listen = free.Addr().String()
	free.Close()
	var targets []map[string]any
	for _, s := range t.servers {
		targets = append(targets, map[string]any{"uid": s.name(), "endpoint": s.address(), "az": "bkk-dc1",
			"model": []string{"box-2c", "box-4c"}[s.kind()], "pod_group": s.cell, "state": "ready",
			"capacity_hint": s.weight(), "boot_ms": 0})
	}
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": t.listen, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 512}, "board": t.discovery.address(),
		"known": map[string]any{"rev": 1, "notices": []any{map[string]any{"rev": 1, "pool": map[string]any{"rev": 1,
			"all": true, "targets": targets}}}},
		"settings": json.RawMessage(fmt.Sprintf(settings, fmt.Sprintf("%.2f", noteInterval.Seconds())))})
	must(err)
	file := filepath.Join(t.folder, "config.json")
	must(os.WriteFile(file, config, 0o600))
	t.record.note("config %s", config)
	t.process = exec.Command("/bin/sh", "-c", runCommand)
	t.process.Env = append(os.Environ(), "PROXY_NAME=n1", "PROXY_LISTEN="+t.listen, "PROXY_CONFIG="+file, "TMPDIR="+t.folder)
	log, err := t.process.StderrPipe()
	must(err)
	must(t.process.Start())
	t.record.note("director started: %q", runCommand)
	t.exited = make(chan struct{})
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			t.record.note("director log: %s", lines.Text())
		}
		t.record.note("director ended: %v", t.process.Wait())
		close(t.exited)
	}()
	for deadline := time.Now().Add(30 * time.Second); !t.testPasses(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic("the director is not ready after 30 s")
		}
	}
	t.record.note("the director has passed a test")
}

// testPasses reports whether the director passes a test.
func (t *trial) testPasses() bool {
	conn, err := net.DialTimeout("tcp", t.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(clientMessage(kindTest, 1, parameter{codeCause, "\x00"})); err != nil {
		return false
	}
	m, err := readClientMessage(bufio.NewReader(conn))
	return err == nil && m.kind == kindTestReply
}

// signal sends a signal to the director's process.
func (t *trial) signal(s syscall.Signal) {
	t.record.note("signal %v to the director", s)
	must(t.process.Process.Signal(s))
}

// end ends the director's process and closes the stand-ins.
func (t *trial) end() {
	if t.exited != nil {
		_ = t.process.Process.Kill()
		<-t.exited
	}
	if t.folder != "" {
		os.RemoveAll(t.folder)
	}
}

// waitFor waits until a condition holds, and reports whether it did within the given time.
func waitFor(within time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(within); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
