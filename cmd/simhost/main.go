// Command simhost hosts directors on the simulator's wire: frames in on standard input, replies
// out on standard output. The instances share nothing but the reading of the wire.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"fordusher/internal/simwire"
	"fordusher/policy"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// An instance is one director between a boot and the kill that ends it.
type instance struct {
	start    time.Duration
	conf     *simwire.Config
	director *policy.Director
}

// A host answers frames. Lists are the wire's numbered registers, sixteen at most.
type host struct {
	lists     map[int][]simwire.NodeEntry
	instances map[string]*instance
	out       *simwire.Writer
}

func serve(in io.Reader, out io.Writer) error {
	frames := simwire.NewReader(in)
	h := host{
		lists: map[int][]simwire.NodeEntry{}, instances: map[string]*instance{},
		out: simwire.NewWriter(out),
	}
	for {
		frame, err := frames.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range frame.Events {
			m := &frame.Events[i]
			if err := h.take(frame.Clock, m); err != nil {
				return fmt.Errorf("frame %d: %s: %w", frame.Number, m.Kind, err)
			}
		}
		if err := h.out.Ack(frame.Number); err != nil {
			return err
		}
	}
}

func (h *host) take(clock time.Duration, m *simwire.Message) error {
	switch m.Kind {
	case simwire.Register:
		h.lists[m.ListID] = m.Entries
		return nil
	case simwire.Boot:
		return h.boot(clock, m)
	}
	inst, ok := h.instances[m.Instance]
	if !ok {
		return fmt.Errorf("unknown instance %q", m.Instance)
	}
	if m.Kind == simwire.Killed {
		delete(h.instances, m.Instance)
		return nil
	}
	event, err := h.event(inst, m)
	if err != nil || event == nil {
		return err
	}
	h.step(inst, clock, m.Instance, event)
	return nil
}

func (h *host) boot(clock time.Duration, m *simwire.Message) error {
	conf, err := simwire.ParseConfig(m.Config)
	if err != nil {
		return err
	}
	seed, err := strconv.ParseUint(m.Seed.String(), 10, 64)
	if err != nil && m.Seed != "" {
		return fmt.Errorf("seed %q: %w", m.Seed, err)
	}
	h.instances[m.Instance] = &instance{start: clock, conf: conf, director: conf.NewDirector(seed)}
	return nil
}

// step lets one director decide; what it panics with goes out by the wire's own means.
func (h *host) step(inst *instance, clock time.Duration, name string, event policy.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.out.Panic(name, fmt.Sprint(p))
		}
	}()
	for _, a := range inst.director.Step(clock-inst.start, event) {
		h.out.Action(name, inst.start, a)
	}
}

// event turns a message into the module's words; nil is one that the module has no use for.
func (h *host) event(inst *instance, m *simwire.Message) (policy.Event, error) {
	switch m.Kind {
	case simwire.ServerListChange:
		entries, ok := h.lists[m.ListID]
		if !ok && m.ListKind != "unavailable" {
			return nil, fmt.Errorf("list %d was never registered", m.ListID)
		}
		return inst.conf.ServerList(m.ListKind, entries, inst.start)
	case simwire.RequestEvent, simwire.AdoptedEvent:
		return inst.conf.Request(m, inst.start)
	case simwire.AcceptedEvent:
		return policy.Accepted{ID: m.ID}, nil
	case simwire.ResultEvent:
		outcome, err := simwire.Outcome(m.OutcomeCode)
		if err != nil {
			return nil, err
		}
		return policy.LegResult{
			ID: m.ID, Node: m.Node, Outcome: outcome, Final: m.Final, Load: inst.conf.Load(m.Report),
		}, nil
	case simwire.MeasurementEvent:
		return policy.Measurement{
			ID: m.ID, Node: m.Node, Kind: policy.MeasurementKind(m.MeasurementKind), Value: m.Value,
		}, nil
	case simwire.ClientGoneEvent:
		return policy.ClientGone{ID: m.ID}, nil
	case simwire.TimerEvent:
		return policy.TimerFired{}, nil
	}
	return nil, nil
}
