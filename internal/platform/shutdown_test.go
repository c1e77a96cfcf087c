package platform

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// While a director stops and closes its client connections, a request has arrived on one of them and is not read yet, because
// the machine is busy. Guards against a connection that is closed over a request: it was sent in time, and is owed an answer.
func TestRequestThatIsReadLateDuringShutdown(t *testing.T) {
	p := startFixture(t, 1, "")
	client := p.newClient()
	client.roundTrip()
	entered, read := make(chan struct{}), make(chan struct{})
	slowRead := func() { close(entered); <-read }
	p.d.Stop()
	time.Sleep(900 * time.Millisecond) // the connections are closed from 1 s on
	p.beforeMessage.Store(&slowRead)
	client.send(newClientMessage(kindProbe, 99).param(codeCause, []byte{0}).finish())
	<-entered
	p.beforeMessage.Store(nil)
	client.send(setupMessage(7, defaultPlacement))
	time.Sleep(150 * time.Millisecond) // the director tries to close the connection meanwhile
	close(read)
	if m, ok := client.next(); !ok || m.kind != kindProbeReply {
		t.Fatalf("read ok: %v, kind %d, want the probe's reply", ok, m.kind)
	}
	client.expect(kindRelease, 7, codeCause)
}

// A client does not read its answers while a director with short deadlines stops. Guards against a director that waits for
// such a client beyond the time at which the platform kills it.
func TestUnreadAnswersDoNotDelayExit(t *testing.T) {
	const deadline = 300 * time.Millisecond
	settings := strings.ReplaceAll(strings.ReplaceAll(testSettings, `"give_up_s":2`, `"give_up_s":0.3`), `"target_s":1`, `"target_s":0.3`)
	p := startFixtureWith(t, 1, "", settings, nil)
	client := p.newClient()
	client.c.(*net.TCPConn).SetReadBuffer(4 << 10)
	client.roundTrip()
	p.d.Stop()
	stopped := time.Now()
	time.Sleep(700 * time.Millisecond)
	probe := newClientMessage(kindProbe, 99).param(codeCause, []byte{0}).finish()
	client.c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	for range 20 { // as many replies as the kernel and the queue hold
		if _, err := client.c.Write(bytes.Repeat(probe, 1000)); err != nil {
			break
		}
	}
	<-p.d.Done()
	if took := time.Since(stopped); took > deadline+killAfter {
		t.Fatalf("the director ended %v after the order to stop, and is killed after %v", took, deadline+killAfter)
	}
}

// releases collects the releases that clients read, on all of their connections.
type releases struct {
	mu       sync.Mutex
	sessions map[uint64]bool
}

// collect reads a connection until it ends.
func (r *releases) collect(client *emulatedClient) {
	for {
		m, ok := client.next()
		if !ok {
			return
		}
		if m.kind == kindRelease {
			r.mu.Lock()
			r.sessions[m.session] = true
			r.mu.Unlock()
		}
	}
}

func (r *releases) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sessions)
}

// The connection on which sessions were requested ends before or during a planned restart, and clients connect again before,
// with or after that. Whatever ends and opens, each session that the director ends is released to a client, and its node is
// told. Guards against ends that are dropped because the director closes the connections or exits while they wait.
func TestEndsAroundPlannedRestartAreDelivered(t *testing.T) {
	const (
		sessions = 20
		never    = time.Hour
	)
	type timing struct{ lost, opened time.Duration } // since the order to stop; lost: the connection of the sessions
	for name, at := range map[string]timing{
		"lost long before, another open":     {-time.Second, -500 * time.Millisecond},
		"lost just before, another open":     {-20 * time.Millisecond, -10 * time.Millisecond},
		"lost just before, another later":    {-20 * time.Millisecond, 400 * time.Millisecond},
		"lost just after, another open":      {20 * time.Millisecond, -10 * time.Millisecond},
		"lost among the ends, another open":  {450 * time.Millisecond, -10 * time.Millisecond},
		"lost among the ends, another later": {450 * time.Millisecond, 600 * time.Millisecond},
		"lost behind the ends, another open": {900 * time.Millisecond, -10 * time.Millisecond},
		"lost long before, another late":     {-time.Second, 1500 * time.Millisecond},
		"not lost, another open":             {never, -10 * time.Millisecond},
		"not lost":                           {never, never},
	} {
		for kind, leave := range map[string]func(c *emulatedClient){
			"closed": func(c *emulatedClient) { c.c.Close() },
			"reset":  func(c *emulatedClient) { c.reset() },
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				p := startFixture(t, 1, "")
				client, read := p.newClient(), &releases{sessions: map[uint64]bool{}}
				for id := range uint64(sessions) {
					client.send(handOverMessage(1+id, 0))
				}
				p.wait("not all sessions were adopted", func() bool { return p.d.Counts().Adopted == sessions })
				stopAt := time.Now().Add(max(0, -at.lost, -at.opened))
				var clients sync.WaitGroup
				clients.Go(func() { read.collect(client) })
				clients.Go(func() {
					if time.Sleep(time.Until(stopAt.Add(min(at.lost, 4*time.Second)))); at.lost != never {
						leave(client)
					}
				})
				clients.Go(func() {
					if at.opened == never {
						return
					}
					time.Sleep(time.Until(stopAt.Add(at.opened)))
					another := p.newClient()
					another.send(newClientMessage(kindProbe, 99).param(codeCause, []byte{0}).finish())
					read.collect(another)
				})
				time.Sleep(time.Until(stopAt))
				p.d.Stop()
				<-p.d.Done()
				if took, limit := time.Since(stopAt), 2*time.Second+killAfter; took > limit {
					t.Errorf("the director ended %v after the order to stop, and is killed after %v", took, limit)
				}
				clients.Wait()
				if n := read.count(); n != sessions {
					t.Errorf("%d of %d sessions were released", n, sessions)
				}
				p.wait("not all sessions were ended at their node", func() bool { return p.nodes[0].countReceived("TEARDOWN") == sessions })
			})
		}
	}
}
