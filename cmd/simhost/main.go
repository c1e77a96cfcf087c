// Command simhost runs directors for the simulator. It reads frames of events from standard input and writes the
// directors' replies to standard output. The directors share nothing but the two streams and the registered server
// lists.
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

// An instance is one director, from its boot event to its killed event.
type instance struct {
	start    time.Duration // on the simulator's clock
	config   *simwire.Config
	director *policy.Director
}

// A host answers frames. Lists holds the registered server lists by number; the wire has sixteen at most.
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
			if err := h.handle(frame.Time, m); err != nil {
				return fmt.Errorf("frame %d: %s: %w", frame.Number, m.Kind, err)
			}
		}
		if err := h.out.Finish(frame.Number); err != nil {
			return err
		}
	}
}

// handle applies one event.
func (h *host) handle(now time.Duration, m *simwire.Message) error {
	switch m.Kind {
	case simwire.Register:
		h.lists[m.ListID] = m.Entries
		return nil
	case simwire.Boot:
		return h.boot(now, m)
	}
	inst, ok := h.instances[m.Instance]
	if !ok {
		return fmt.Errorf("unknown instance %q", m.Instance)
	}
	if m.Kind == simwire.Killed {
		delete(h.instances, m.Instance)
		return nil
	}
	event, err := h.policyEvent(inst, m)
	if err != nil || event == nil {
		return err
	}
	h.step(inst, now, m.Instance, event)
	return nil
}

func (h *host) boot(now time.Duration, m *simwire.Message) error {
	config, err := simwire.ParseConfig(m.Config)
	if err != nil {
		return err
	}
	seed, err := strconv.ParseUint(m.Seed.String(), 10, 64)
	if err != nil && m.Seed != "" {
		return fmt.Errorf("seed %q: %w", m.Seed, err)
	}
	h.instances[m.Instance] = &instance{start: now, config: config, director: config.NewDirector(seed)}
	return nil
}

// step passes an event to a director and writes its actions. A panic of the director is reported on the wire and does
// not end the program.
func (h *host) step(inst *instance, now time.Duration, name string, event policy.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.out.ReportPanic(name, fmt.Sprint(p))
		}
	}()
	for _, a := range inst.director.Step(now-inst.start, event) {
		h.out.Action(name, inst.start, a)
	}
}

// policyEvent converts a message to an event of package policy. It returns nil for a message that policy does not use.
func (h *host) policyEvent(inst *instance, m *simwire.Message) (policy.Event, error) {
	switch m.Kind {
	case simwire.ServerListChange:
		entries, ok := h.lists[m.ListID]
		if !ok && m.ListKind != "unavailable" {
			return nil, fmt.Errorf("list %d was never registered", m.ListID)
		}
		return inst.config.ServerList(m.ListKind, entries, inst.start)
	case simwire.RequestEvent, simwire.AdoptedEvent:
		return inst.config.Request(m, inst.start)
	case simwire.AcceptedEvent:
		return policy.Accepted{ID: m.ID}, nil
	case simwire.ResultEvent:
		outcome, err := simwire.Outcome(m.OutcomeCode)
		if err != nil {
			return nil, err
		}
		return policy.LegResult{
			ID: m.ID, Node: m.Node, Outcome: outcome, Final: m.Final, Load: inst.config.Load(m.Report),
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
