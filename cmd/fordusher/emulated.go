package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/emulated/discovery"
	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

type rosterCommand struct {
	File string `arg:"" help:"Nodes and titles: {\"nodes\": [...], \"titles\": [...]}, as in discovery messages, or a director's configuration file that has them." type:"path"`
	Plan string `help:"Apply a plan written by import haproxy to the server list, and print each step." type:"path"`
}

// readSnapshot reads the nodes and titles of the server list from a file with a discovery message or from a director's
// configuration file.
func (c *rosterCommand) readSnapshot() (snapshot wire.DiscoveryMessage, err error) {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return snapshot, err
	}
	if err := json.Unmarshal(raw, &snapshot); err != nil {
		config, configErr := conf.Decode(c.File, raw)
		if configErr != nil {
			return snapshot, fmt.Errorf("neither a server list (%v) nor a director's configuration: %w", err, configErr)
		}
		snapshot = wire.DiscoveryMessage{Nodes: config.Nodes, Titles: config.Titles}
	}
	snapshot.Type = wire.Snapshot
	if _, err := wire.DecodeDiscoveryMessage(wire.Encode(snapshot)); err != nil {
		return snapshot, fmt.Errorf("%s: %w", c.File, err)
	}
	return snapshot, nil
}

// applyPlan updates the server list with each line of a plan, at the line's time counted from the call.
func applyPlan(source *discovery.Source, lines []planLine, times []time.Duration) {
	start := time.Now()
	for i, l := range lines {
		time.Sleep(times[i] - time.Since(start))
		source.UpdateNode(*l.Entry, 0, 0)
		fmt.Fprintf(os.Stderr, "%v: %s %s\n", times[i], l.Kind, l.Entry.Node)
	}
	fmt.Fprintln(os.Stderr, "all steps of the plan are applied")
}

// Run starts an emulated discovery service, prints its address, and reads updates of nodes from standard input, one
// node entry per line, until its end.
func (c *rosterCommand) Run() error {
	snapshot, err := c.readSnapshot()
	if err != nil {
		return err
	}
	var lines []planLine
	var times []time.Duration
	if c.Plan != "" {
		if lines, times, err = readPlan(c.Plan); err != nil {
			return err
		}
	}
	source, err := discovery.Start(&rulecheck.Recorder{}, snapshot.Nodes, snapshot.Titles)
	if err != nil {
		return err
	}
	defer source.Close()
	json.NewEncoder(os.Stdout).Encode(readyMessage{Listen: source.Address()})
	if c.Plan != "" {
		go applyPlan(source, lines, times)
	}
	in := bufio.NewScanner(os.Stdin)
	for line := 1; in.Scan(); line++ {
		var e wire.NodeEntry
		err := json.Unmarshal(in.Bytes(), &e)
		if err == nil {
			_, err = wire.DecodeDiscoveryMessage(wire.Encode(wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{e}}))
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "line %d: %v\n", line, err)
			continue
		}
		startedAt := time.Duration(0)
		if e.UptimeMS > 0 {
			startedAt = rulecheck.MonotonicNow() - time.Duration(e.UptimeMS)*time.Millisecond
		}
		source.UpdateNode(e, startedAt, 0)
	}
	return in.Err()
}

type playerCommand struct {
	Director string        `help:"Address of the director." required:""`
	Tariff   string        `help:"Tariff of the session." required:""`
	Title    string        `help:"Title of the session." required:""`
	Key      string        `help:"Key of the client; by default a random one."`
	Wait     time.Duration `help:"How long the client waits for an answer." default:"3s"`
	Length   time.Duration `help:"How long the client plays." default:"5s"`
}

// Run runs one client: it requests a session and prints every message it receives until the session is over.
func (c *playerCommand) Run() error {
	if c.Key == "" {
		c.Key = fmt.Sprintf("%016x", rand.Uint64())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r := &messageReceiver{messages: make(chan wire.SessionMessage, 64), closed: make(chan error, 1)}
	connLimits := transport.Limits{MaxMessageBytes: wire.MaxSessionMessageBytes, MaxQueuedBytes: 64 << 10, WriteTimeout: time.Second}
	conn, err := transport.Dial(c.Director, wire.SessionProtocol, 2*time.Second, connLimits, r, nil)
	if err != nil {
		return err
	}
	defer conn.Close(1000, "bye")
	conn.Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: "1", Tariff: c.Tariff, Title: c.Title, Key: c.Key,
		WaitMS: c.Wait.Milliseconds(), LengthMS: c.Length.Milliseconds()}), 0)
	start := time.Now()
	timeout := time.NewTimer(c.Wait + c.Length + time.Second)
	defer timeout.Stop()
	for {
		select {
		case m := <-r.messages:
			fmt.Printf("%8.1f ms  %s\n", float64(time.Since(start).Microseconds())/1000, wire.Encode(m))
			if m.Type == wire.Nack || m.Type == wire.Errored || m.Type == wire.SessionEnded {
				return nil
			}
		case err := <-r.closed:
			return err
		case <-timeout.C:
			return fmt.Errorf("the session is not over after %v", c.Wait+c.Length+time.Second)
		case <-ctx.Done():
			conn.Send(wire.Encode(wire.SessionMessage{Type: wire.Cancel, ID: "1"}), 0)
			return nil
		}
	}
}

// A messageReceiver passes the messages of one client connection, and the error that closed it, to channels.
type messageReceiver struct {
	messages chan wire.SessionMessage
	closed   chan error
}

func (r *messageReceiver) Opened(*transport.Conn) {}

func (r *messageReceiver) Message(_ *transport.Conn, raw []byte) {
	if m, err := wire.DecodeSessionMessage(raw); err == nil {
		select {
		case r.messages <- m:
		default:
		}
	}
}

func (r *messageReceiver) Closed(_ *transport.Conn, reason error, _ []uint64) { r.closed <- reason }
