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

type messageChannel chan string

func (messageChannel) Opened(*transport.Conn)                  {}
func (t messageChannel) Message(_ *transport.Conn, m []byte)   { t <- string(m) }
func (messageChannel) Closed(*transport.Conn, error, []uint64) {}

func receiveWithin10s[V any](t *testing.T, what string, c <-chan V) (v V) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("not within 10 s: ", what)
	}
	return v
}

// A reader of the log that stopped, with its pipe full, stopped the loop at its next line, and every answer with it.
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
	told := make(chan readyMessage, 1)
	go func() {
		var at readyMessage
		if json.NewDecoder(out).Decode(&at) == nil {
			told <- at
		}
	}()
	at := receiveWithin10s(t, "the director is ready", told)
	heard := make(messageChannel, 10)
	c, err := transport.Dial(at.Listen, wire.SessionProtocol, 5*time.Second, transport.Limits{MaxMessageBytes: 1 << 12, MaxQueuedBytes: 1 << 16, WriteTimeout: time.Second}, heard, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"1", "2", "3"} {
		c.Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: id, Tariff: "clip", Title: "none", Key: "k" + id, WaitMS: 1000}), 0)
		receiveWithin10s(t, "an answer", heard)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	if err := receiveWithin10s(t, "an orderly end", ended); err != nil {
		t.Fatal(err)
	}
}

// Who looked at the metrics and did not read held a descriptor and a buffer for ever, and as many could as liked.
func TestConcurrentMetricsRequestsAreLimited(t *testing.T) {
	reg := prometheus.NewRegistry()
	hold := make(chan struct{})
	entered := make(chan struct{}, 100)
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "slow"}, func() float64 {
		entered <- struct{}{}
		<-hold
		return 1
	}))
	page := httptest.NewServer(metricsHandler(reg))
	defer page.Close()
	codes := make(chan int, 100)
	look := func() {
		r, err := http.Get(page.URL + "/metrics")
		if err != nil {
			t.Error(err)
			codes <- 0
			return
		}
		r.Body.Close()
		codes <- r.StatusCode
	}
	for range maxMetricsRequests {
		go look()
		receiveWithin10s(t, "a look begins", entered)
	}
	look()
	if code := <-codes; code != http.StatusServiceUnavailable {
		t.Fatal("one look too many got", code)
	}
	close(hold)
	for range maxMetricsRequests {
		if code := receiveWithin10s(t, "a look ends", codes); code != http.StatusOK {
			t.Fatal(code)
		}
	}
}
