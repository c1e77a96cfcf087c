package platform

import (
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
