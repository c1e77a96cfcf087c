package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// A messageChannel is a connection handler that passes on the messages it receives.
type messageChannel chan string

func (messageChannel) Opened(*transport.Conn)                  {}
func (c messageChannel) Message(_ *transport.Conn, m []byte)   { c <- string(m) }
func (messageChannel) Closed(*transport.Conn, error, []uint64) {}

// receiveWithin10s receives a value that stands for the named event.
func receiveWithin10s[V any](t *testing.T, event string, c <-chan V) (v V) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("not within 10 s: ", event)
	}
	return v
}

// Runs a director whose standard error is a full pipe that nobody reads. Guards against a log write that blocks the
// event loop, and with it every answer.
func TestUnreadLogPipeDoesNotBlockAnswers(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	w.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	for chunk := make([]byte, 4096); ; {
		if _, err := w.Write(chunk); err != nil {
			break // full
		}
	}
	cmd := command(t, "serve", "--conf", file(t, "d.jsonc", directorConfig))
	cmd.Stderr = w
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	started := make(chan readyMessage, 1)
	go func() {
		var ready readyMessage
		if json.NewDecoder(out).Decode(&ready) == nil {
			started <- ready
		}
	}()
	ready := receiveWithin10s(t, "the director is ready", started)
	answers := make(messageChannel, 10)
	c, err := transport.Dial(ready.Listen, wire.SessionProtocol, 5*time.Second,
		transport.Limits{MaxMessageBytes: 1 << 12, MaxQueuedBytes: 1 << 16, WriteTimeout: time.Second}, answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"1", "2", "3"} {
		c.Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: id, Tariff: "clip", Title: "none", Key: "k" + id, WaitMS: 1000}), 0)
		receiveWithin10s(t, "an answer", answers)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	if err := receiveWithin10s(t, "the director exits", exited); err != nil {
		t.Fatal(err)
	}
}

// Sends one metrics request more than the limit on concurrent ones. Guards against peers that request the metrics and
// do not read them: each held a descriptor and a buffer for ever, and their number was not limited.
func TestConcurrentMetricsRequestsAreLimited(t *testing.T) {
	reg := prometheus.NewRegistry()
	release := make(chan struct{})
	began := make(chan struct{}, 100)
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "slow"}, func() float64 {
		began <- struct{}{}
		<-release
		return 1
	}))
	server := httptest.NewServer(metricsHandler(reg))
	defer server.Close()
	codes := make(chan int, 100)
	request := func() {
		r, err := http.Get(server.URL + "/metrics")
		if err != nil {
			t.Error(err)
			codes <- 0
			return
		}
		r.Body.Close()
		codes <- r.StatusCode
	}
	for range maxMetricsRequests {
		go request()
		receiveWithin10s(t, "a request begins", began)
	}
	request()
	if code := <-codes; code != http.StatusServiceUnavailable {
		t.Fatal("a request over the limit got status", code)
	}
	close(release)
	for range maxMetricsRequests {
		if code := receiveWithin10s(t, "a request ends", codes); code != http.StatusOK {
			t.Fatal(code)
		}
	}
}
