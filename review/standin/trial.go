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
	"syscall"
	"time"
)

// runCommand is `run` of the deploy file.
const runCommand = "exec bin/fordusher platform"

// settings are those of a small deployment. The figures are those of the wire page's example or within the ranges of the
// site files. The two %s are the interval of a server's notes, in seconds, and the classes.
const settings = `{"balancers":1,"me":0,"zone":"hall-a","zones":["hall-a"],"flavors":["std-2"],"membership_mode":"push",
 "classes":[{"name":"review","target_s":0.8,"give_up_s":3.0,"semantics":"free","stream":true,"credit":1.0},
  {"name":"sign-off","target_s":0.8,"give_up_s":3.0,"semantics":"single_shot","stream":true,"credit":3.0}],
 "family_info":{"positions":10,"shelves":2,"kind_slots":[35],"ladder_kb":[172.0,347.0,703.0,1424.0],
  "level_worth":[0.23,0.52,0.76,1.0],"floor_by_class":[0,0],"scale_by_class":[1.0,1.0],"top_by_class":[3,3],
  "licence_cap":[0,0],"is_live":[false,false],"link_unit_kb":16370.0,"links_kb":163700.0,"rack_link_kb":60000.0,
  "told_every_s":%s,"told_late_s":0.9,"refuses_from":0.0,"shared_adds":1.0,"stall_cost":7.0,"change_costs_s":0.5},
 "permissions":{"cancel":true,"conn_idle_s":60.0,"connect_timeout_s":0.25,"max_attempts":3,"probes":false,
  "retry_after":false,"second_copies":false,"open_cap":1000000,"streams_per_conn":1048576},
 "report":{"fields":["x0","x1"],"source":"inline"},
 "rules":{"cold_from":0.4,"drain_grace_s":0.5,"fall_multiple":4.0,"grace_to_answer_s":0.04,"ramp_time_s":12.0,"tip_after_s":1.0},
 "weights":"nominal","workload":"streams","tiers":["servers"],"stage":0,"tenants":[]}`

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
}

// must ends the case as not run if there is an error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// start starts the stand-ins and the director, and waits until the director passes a test.
func (t *trial) start(servers int, noteInterval time.Duration) {
	folder, err := os.MkdirTemp("", "review")
	must(err)
	t.folder = folder
	t.discovery = newDiscovery(t.record)
	for i := range servers {
		t.servers = append(t.servers, newServer(t.record, uint32(0x100+i), i, noteInterval))
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	t.listen = free.Addr().String()
	free.Close()
	var targets []map[string]any
	for _, s := range t.servers {
		targets = append(targets, map[string]any{"uid": s.name(), "endpoint": s.address(), "az": "hall-a", "model": "std-2",
			"pod_group": s.cell, "state": "ready", "capacity_hint": 1, "boot_ms": 0})
	}
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": t.listen, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512}, "board": t.discovery.address(),
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
