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
	File string `arg:"" help:"Nodes and titles: {\"nodes\": [...], \"titles\": [...]}, as in the list's messages, or a director's file that has them." type:"path"`
	Plan string `help:"Carry out a plan of import haproxy, step by step, and tell each." type:"path"`
}

// read reads the list's nodes and titles from either form of file.
func (c *rosterCommand) read() (all wire.DiscoveryMessage, err error) {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return all, err
	}
	if err := json.Unmarshal(raw, &all); err != nil {
		house, bad := conf.Decode(c.File, raw)
		if bad != nil {
			return all, fmt.Errorf("neither a list (%v) nor a director's file: %w", err, bad)
		}
		all = wire.DiscoveryMessage{Nodes: house.Nodes, Titles: house.Titles}
	}
	all.Type = wire.Snapshot
	if _, err := wire.DecodeDiscoveryMessage(wire.Encode(all)); err != nil {
		return all, fmt.Errorf("%s: %w", c.File, err)
	}
	return all, nil
}

// carryOut lets the list say what a plan has, when it has it.
func carryOut(source *discovery.Source, lines []planLine, at []time.Duration) {
	began := time.Now()
	for i, l := range lines {
		time.Sleep(at[i] - time.Since(began))
		source.UpdateNode(*l.Entry, 0, 0)
		fmt.Fprintf(os.Stderr, "%v: %s %s\n", at[i], l.What, l.Entry.Node)
	}
	fmt.Fprintln(os.Stderr, "the plan is carried out")
}

// Run starts a stand-in for the list's source, prints its address, and takes changed nodes on standard
// input, one entry a line, until that ends.
func (c *rosterCommand) Run() error {
	all, err := c.read()
	if err != nil {
		return err
	}
	var lines []planLine
	var at []time.Duration
	if c.Plan != "" {
		if lines, at, err = readPlan(c.Plan); err != nil {
			return err
		}
	}
	source, err := discovery.Start(&rulecheck.Recorder{}, all.Nodes, all.Titles)
	if err != nil {
		return err
	}
	defer source.Close()
	json.NewEncoder(os.Stdout).Encode(ready{Listen: source.Address()})
	if c.Plan != "" {
		go carryOut(source, lines, at)
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
		born := time.Duration(0)
		if e.UptimeMS > 0 {
			born = rulecheck.MonotonicNow() - time.Duration(e.UptimeMS)*time.Millisecond
		}
		source.UpdateNode(e, born, 0)
	}
	return in.Err()
}

type playerCommand struct {
	Director string        `help:"The director's address." required:""`
	Tariff   string        `help:"The tariff." required:""`
	Title    string        `help:"The title." required:""`
	Key      string        `help:"The viewer's key; without it, one drawn now."`
	Wait     time.Duration `help:"How long the viewer waits for an answer." default:"3s"`
	Length   time.Duration `help:"How long the viewer watches." default:"5s"`
}

// Run is one player: it asks for a session and prints every message until the session is over.
func (c *playerCommand) Run() error {
	if c.Key == "" {
		c.Key = fmt.Sprintf("%016x", rand.Uint64())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	p := &printer{in: make(chan wire.SessionMessage, 64), closed: make(chan error, 1)}
	bounds := transport.Limits{MaxMessageBytes: wire.MaxSessionMessageBytes, MaxQueuedBytes: 64 << 10, WriteTimeout: time.Second}
	conn, err := transport.Dial(c.Director, wire.SessionProtocol, 2*time.Second, bounds, p, nil)
	if err != nil {
		return err
	}
	defer conn.Close(1000, "bye")
	conn.Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: "1", Tariff: c.Tariff, Title: c.Title, Key: c.Key,
		WaitMS: c.Wait.Milliseconds(), LengthMS: c.Length.Milliseconds()}), 0)
	began := time.Now()
	end := time.NewTimer(c.Wait + c.Length + time.Second)
	defer end.Stop()
	for {
		select {
		case m := <-p.in:
			fmt.Printf("%8.1f ms  %s\n", float64(time.Since(began).Microseconds())/1000, wire.Encode(m))
			if m.Type == wire.Nack || m.Type == wire.Errored || m.Type == wire.SessionEnded {
				return nil
			}
		case err := <-p.closed:
			return err
		case <-end.C:
			return fmt.Errorf("not over after %v", c.Wait+c.Length+time.Second)
		case <-ctx.Done():
			conn.Send(wire.Encode(wire.SessionMessage{Type: wire.Cancel, ID: "1"}), 0)
			return nil
		}
	}
}

type printer struct {
	in     chan wire.SessionMessage
	closed chan error
}

func (p *printer) Opened(*transport.Conn) {}

func (p *printer) Message(_ *transport.Conn, raw []byte) {
	if m, err := wire.DecodeSessionMessage(raw); err == nil {
		select {
		case p.in <- m:
		default:
		}
	}
}

func (p *printer) Closed(_ *transport.Conn, why error, _ []uint64) { p.closed <- why }
