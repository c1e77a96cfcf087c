package platform

import (
	"bytes"
	"net"
	"strings"
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
