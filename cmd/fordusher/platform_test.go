package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fordusher/internal/platformtest"
)

// Idle clients that keep connecting fill a small descriptor limit while discovery is down. Guards against a director
// that then can't connect to its 200 media nodes, serve a new client, or reconnect to discovery once it is back.
func TestIdleClientsFillDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 2500 {
		t.Skipf("the limit on descriptors is %d; the test process itself uses 1,500", limit.Cur)
	}
	const sockets = 256
	config := platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: sockets, deadline: 5}
	for range 200 {
		config.nodes = append(config.nodes, newMediaNode(t))
	}
	d := startPlatformDirector(t, config)
	keepIdleClients(t, d.address, 600)
	descriptors := func() int {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(entries)
	}
	eventually(t, "idle clients do not fill the descriptors", func() bool { return descriptors() > sockets*3/4 })
	maxDescriptors, reached := 0, 0
	for id := uint64(1); reached < 60; id++ { // each at another node; some are rejected, but all are answered
		if id > 5000 {
			t.Fatalf("%d of %d clients reached a node", reached, id)
		}
		c := d.connect()
		c.conn.Write(setupRequestAt(id, int(id)%200, 1))
		kind, session := c.next()
		if kind != kindAnswer && kind != kindRelease || session != id {
			t.Fatalf("client %d got kind %d of session %d, want a final answer", id, kind, session)
		}
		if kind == kindAnswer {
			reached++
		}
		c.conn.Close()
		maxDescriptors = max(maxDescriptors, descriptors())
	}
	discovery := platformtest.ServeDiscovery(t, config.discovery)
	_, c := discovery.Next(t, 4*time.Second)
	c.Write(platformtest.NodeEvent(4, 0, platformtest.StateDraining, config.nodes[0].Address()))
	if maxDescriptors = max(maxDescriptors, descriptors()); maxDescriptors > sockets {
		t.Fatalf("%d descriptors are in use, over the limit", maxDescriptors)
	}
}

// Sends SIGTERM while a request is in flight, and sends further requests on an open connection, in pieces, on a new
// connection and 0.6 s after the signal. Guards against a request without its one final answer, and against a program
// that has not exited by itself at the time when the platform kills it.
func TestSIGTERMAnswersEveryRequest(t *testing.T) {
	for _, deadline := range []float64{0.5, 2, 8} {
		t.Run(fmt.Sprint(deadline), func(t *testing.T) {
			t.Parallel()
			n := newMediaNode(t)
			d := startPlatformDirector(t, platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512,
				deadline: deadline, nodes: []*mediaNode{n}})
			n.hold()
			inFlight, open, pieces := d.connect(), d.connect(), d.connect()
			inFlight.conn.Write(setupRequest(1))
			eventually(t, "no set-up reached the node", func() bool { return n.setupCount() == 1 })
			open.conn.Write(probeRequest())
			open.expect(kindProbeReply, 1)
			raw := setupRequest(3)
			pieces.conn.Write(raw[:5])
			d.cmd.Process.Signal(syscall.SIGTERM)
			signaled := time.Now()
			eventually(t, "the shutdown has not begun", func() bool { return strings.Contains(d.logText(), "closing:") })
			open.conn.Write(setupRequest(2))
			open.expect(kindRelease, 2)
			newClient := d.connect()
			newClient.conn.Write(setupRequest(4))
			newClient.expect(kindRelease, 4)
			for _, b := range raw[5:] {
				pieces.conn.Write([]byte{b})
			}
			pieces.expect(kindRelease, 3)
			for time.Since(signaled) < 600*time.Millisecond {
				time.Sleep(time.Millisecond)
			}
			open.conn.Write(setupRequest(5))
			open.expect(kindRelease, 5)
			n.release()
			switch kind, session := inFlight.next(); {
			case session != 1:
				t.Fatalf("got kind %d of session %d, want session 1", kind, session)
			case kind == kindAnswer: // the session then ends with the director's shutdown
				inFlight.expect(kindRelease, 1)
			case kind != kindRelease:
				t.Fatalf("got kind %d, want a final answer", kind)
			}
			killAfter := time.Duration(min(deadline, 3)*float64(time.Second)) + 700*time.Millisecond
			select {
			case err := <-d.done:
				if err != nil || time.Since(signaled) > killAfter {
					t.Fatalf("the program exited late or with an error: after %v, %v", time.Since(signaled), err)
				}
			case <-time.After(time.Until(signaled.Add(killAfter))):
				t.Fatalf("the program still runs after %v", killAfter)
			}
		})
	}
}

// Kills a director right after an accept, with a set-up in progress, and starts another one at the same address while
// the node still has its end of the old connections open. Guards against a new director that does not serve, or that
// passes on the end of a session that it does not know.
func TestRestartAtSameAddress(t *testing.T) {
	n := newMediaNode(t)
	config := platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 5, nodes: []*mediaNode{n}}
	d := startPlatformDirector(t, config)
	n.hold()
	c := d.connect()
	c.conn.Write(setupRequest(1))
	eventually(t, "no set-up reached the node", func() bool { return n.setupCount() == 1 })
	d.connect() // the director may have accepted it or not
	d.cmd.Process.Kill()
	<-d.done
	if kind, _ := c.next(); kind != 0 {
		t.Fatalf("got kind %d from a killed director, want a closed connection", kind)
	}
	d = startPlatformDirector(t, config)
	n.release() // the answer to the first set-up is sent on the old connection
	c = d.connect()
	c.conn.Write(setupRequest(2))
	c.expect(kindAnswer, 2)
	last := n.Newest()
	io.WriteString(last, platformtest.Teardown(sessionName(1), 41))
	io.WriteString(last, platformtest.Teardown(sessionName(2), 16))
	c.expect(kindRelease, 2) // and no message about session 1 before it
}

// Moves discovery to a new address with SIGHUP, while the old discovery server closes in the middle of a frame. Then
// only the new server reports that a node drains. Guards against a director that stays with the old server and sends
// set-ups to the draining node.
func TestSIGHUPSwitchesDiscovery(t *testing.T) {
	nodes := []*mediaNode{newMediaNode(t), newMediaNode(t)}
	config := platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 5, nodes: nodes}
	oldServer := platformtest.ServeDiscovery(t, config.discovery)
	d := startPlatformDirector(t, config)
	_, oldConn := oldServer.Next(t, waitTimeout)
	newServer := platformtest.ServeDiscovery(t, "127.0.0.1:0")
	config.discovery = newServer.Address()
	if err := os.WriteFile(d.config, []byte(config.json()), 0o600); err != nil {
		t.Fatal(err)
	}
	oldServer.Close()
	d.cmd.Process.Signal(syscall.SIGHUP)
	_, newConn := newServer.Next(t, 4*time.Second)
	oldConn.Write(platformtest.NodeEvent(4, 1, platformtest.StateDraining, nodes[1].Address())[:9]) // must have no effect
	oldConn.Close()
	newConn.Write(platformtest.NodeEvent(4, 0, platformtest.StateDraining, nodes[0].Address()))
	c := d.connect()
	drained := time.Now()
	for id := uint64(1); ; id++ { // the drain grace begins with the event; set-ups after it must go to the other node
		before := nodes[0].setupCount()
		c.conn.Write(setupRequestAt(id, 0, 2))
		if kind, _ := c.next(); kind != kindAnswer {
			t.Fatalf("got kind %d, want an answer", kind)
		}
		c.conn.Write(binaryMessage(kindRelease, id, 75, "\x10")) // ends the session, so that the nodes do not fill up
		c.expect(kindAck, id)
		if time.Since(drained) > 250*time.Millisecond {
			if nodes[0].setupCount() != before {
				t.Fatal("a set-up was sent to the draining node")
			}
			if id > 20 {
				break
			}
		}
	}
	if nodes[1].setupCount() == 0 {
		t.Fatal("no set-up was sent to the other node")
	}
}

func TestInvalidStartConfigExitsWith2(t *testing.T) {
	n := newMediaNode(t)
	valid := platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 5, nodes: []*mediaNode{n}}.json()
	for want, invalid := range map[string]string{
		"ladder_kb": strings.Replace(valid, `"ladder_kb":[100,200]`, `"ladder_kb":[200,100]`, 1),
		"line 4":    strings.Replace(valid, `"flavors":["box"]`, `"flavors":["box"`, 1),
		"listen":    strings.Replace(valid, `"listen"`, `"lissen"`, 1),
	} {
		cmd := command(t, "platform")
		cmd.Env = append(cmd.Env, "PROXY_CONFIG="+file(t, "config.json", invalid))
		out, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != exitInvalidInput || !strings.Contains(string(out), want) || strings.Count(string(out), "\n") > 1 {
			t.Errorf("%s: %v, %s", want, err, out)
		}
	}
}
