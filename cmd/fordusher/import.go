package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/haproxy"
	"fordusher/internal/importer"
	"fordusher/internal/wire"
	"fordusher/rollout"
)

// exitSkipped is the exit code of an import that left out lines.
const exitSkipped = 3

var errSkipped = errors.New("some lines were not carried over")

type importCommand struct {
	Haproxy haproxyCommand `cmd:"" help:"Import HAProxy's configuration from files, or from directories of .cfg files, in the given order."`
}

type haproxyCommand struct {
	Files       []string          `arg:"" optional:"" help:"Files and directories."`
	Out         string            `short:"o" help:"Write the director's configuration to this file." type:"path"`
	Report      string            `help:"Write the report on every line to this file." type:"path"`
	JSON        bool              `help:"Write the report as JSON."`
	With        string            `help:"File with settings that HAProxy does not have: sections of a director's configuration, and servers by name or pattern."`
	Env         map[string]string `help:"Values of environment variables; the process's own environment is not used." mapsep:"none"`
	Version     string            `name:"haproxy-version" help:"HAProxy version that the files were written for, such as 2.8; used by version_atleast."`
	Against     string            `help:"A director's configuration from a previous import: keep the values that were filled in by hand, and report what changed."`
	Plan        string            `help:"With --against: write the change to this file, as updates to the server list in a safe order." type:"path"`
	Constraints planConstraints   `embed:"" prefix:"plan-"`
	Table       bool              `help:"Print the table of which keywords are carried over, as in docs/import-haproxy.md, and exit."`
}

// planConstraints are the flags that limit how fast a plan may change the server list.
type planConstraints struct {
	PerRack  int           `help:"Maximum number of nodes of one rack that change at a time: added and not warm yet, or drained and not removed yet." default:"1"`
	PerTitle int           `help:"Maximum number of nodes with the same title that change at a time." default:"1"`
	Cold     int           `help:"Maximum number of nodes in slow start at a time; 0: a twentieth of the nodes that are up, at least one." default:"0"`
	Drain    time.Duration `help:"Time from a node's drain to its removal." default:"30m"`
	Notice   time.Duration `help:"Time after which every director has received a change." default:"10s"`
}

// A planLine is one line of a plan's file: the time from the start of the plan, the kind of the change, and the node's
// new entry in the server list.
type planLine struct {
	At    string          `json:"at"`
	Kind  string          `json:"what"`
	Entry *wire.NodeEntry `json:"entry"`
}

func (c *haproxyCommand) Run() error {
	if c.Table {
		fmt.Print(importer.RenderMappingTable())
		return nil
	}
	if len(c.Files) == 0 {
		return inputError{errors.New("no file to import")}
	}
	if c.Plan != "" && c.Against == "" {
		return inputError{errors.New("--plan needs --against: a plan is made from a previous configuration to the new one")}
	}
	r := haproxy.Reader{Variables: c.Env, Version: c.Version}
	config, err := r.ReadPaths(c.Files...)
	if err != nil {
		return syntaxAsInputError(err)
	}
	var overlay *importer.Overlay
	if c.With != "" {
		text, err := os.ReadFile(c.With)
		if err != nil {
			return err
		}
		if overlay, err = importer.ReadOverlay(c.With, text); err != nil {
			return err
		}
	}
	result, err := importer.Import(config, overlay)
	if err != nil {
		return syntaxAsInputError(err)
	}
	var changes []importer.Change
	if c.Against != "" {
		text, err := os.ReadFile(c.Against)
		if err != nil {
			return err
		}
		previous, err := importer.ReadPreviousConfig(c.Against, text)
		if err != nil {
			return err
		}
		changes = result.MergePrevious(previous)
		if c.Plan != "" {
			if err := c.writePlan(text, result); err != nil {
				return err
			}
		}
	}
	report := result.Report(changes)
	if c.Out != "" {
		if err := writeFile(c.Out, func(w io.Writer) error { return result.WriteConfig(w, c.Files) }); err != nil {
			return err
		}
	}
	write := report.WriteText
	if c.JSON {
		write = report.WriteJSON
	}
	switch {
	case c.Report != "":
		if err := writeFile(c.Report, write); err != nil {
			return err
		}
		fmt.Println(report.Summary())
	default:
		if err := write(os.Stdout); err != nil {
			return err
		}
	}
	if !report.Complete() {
		return errSkipped
	}
	return nil
}

// An inputError is caused by invalid input; the program exits with exitInvalidInput.
type inputError struct{ error }

func (e inputError) Unwrap() error { return e.error }

// syntaxAsInputError makes a syntax error in HAProxy's configuration an input error, and returns other errors as they
// are.
func syntaxAsInputError(err error) error {
	var syntax *haproxy.SyntaxError
	if errors.As(err, &syntax) {
		return inputError{err}
	}
	return err
}

// writeFile replaces a file as a whole or leaves it unchanged, so that a full disk does not destroy the file that is in
// use.
func writeFile(file string, write func(w io.Writer) error) error {
	var b bytes.Buffer
	if err := write(&b); err != nil {
		return err
	}
	temporary := file + ".new"
	if err := os.WriteFile(temporary, b.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, file)
}

// writePlan writes the plan that leads from the previous configuration to the imported one.
func (c *haproxyCommand) writePlan(previous []byte, result *importer.Result) error {
	before, err := conf.Decode(c.Against, previous)
	if err != nil {
		return err
	}
	var b strings.Builder
	if err := result.WriteConfig(&b, c.Files); err != nil {
		return err
	}
	name := c.Out
	if name == "" {
		name = "the imported configuration"
	}
	after, err := conf.Decode(name, []byte(b.String()))
	if err != nil {
		return fmt.Errorf("a plan needs a complete configuration: %w", err)
	}
	lines, err := planRollout(before, after, c.Constraints)
	if err != nil {
		return err
	}
	return writeFile(c.Plan, func(w io.Writer) error {
		e := json.NewEncoder(w)
		for _, l := range lines {
			if err := e.Encode(l); err != nil {
				return err
			}
		}
		return nil
	})
}

// planRollout plans the changes that lead from the nodes of one configuration to those of another, and has the
// planner's checker verify them.
func planRollout(before, after *conf.Config, c planConstraints) ([]planLine, error) {
	constraints := rollout.Constraints{Cells: after.Topology.Cells, Racks: after.Topology.Racks, MaxPerRack: c.PerRack,
		MaxPerTitle: c.PerTitle, MaxWarming: c.Cold, Warmup: after.Ramp.Warmup, DrainTime: c.Drain, PropagationDelay: c.Notice}
	if before.Topology.Cells != after.Topology.Cells || before.Topology.Racks != after.Topology.Racks {
		return nil, errors.New("no plan: fleet.cells or fleet.racks changed, which moves every title; start the directors with the new configuration")
	}
	var titles []rollout.Title
	for _, t := range after.Titles {
		titles = append(titles, rollout.Title{Name: t.Title, FirstCell: t.FirstCell, Copies: t.Copies})
	}
	entries := map[string]wire.NodeEntry{}
	rolloutNodes := func(list []wire.NodeEntry) (nodes []rollout.Node) {
		for _, e := range list {
			nodes = append(nodes, rollout.Node{Name: e.Node, Cell: e.Cell, Up: e.State == wire.Up, Weight: e.Weight,
				Identity: e.Address + " " + e.MachineKind + " " + e.Zone})
		}
		return nodes
	}
	current, target := rolloutNodes(before.Nodes), rolloutNodes(after.Nodes)
	steps, blocked := rollout.Plan(current, target, titles, constraints)
	if blocked != nil {
		return nil, fmt.Errorf("no plan: %w", blocked)
	}
	if err := rollout.Check(current, target, titles, constraints, steps); err != nil {
		return nil, fmt.Errorf("no plan: the check of the plan failed: %w", err)
	}
	for _, e := range before.Nodes {
		entries[e.Node] = e
	}
	targetEntries := map[string]wire.NodeEntry{}
	for _, e := range after.Nodes {
		targetEntries[e.Node] = e
	}
	var lines []planLine
	for _, s := range steps {
		for _, change := range s.Changes {
			e := entries[change.Node.Name]
			switch change.Kind {
			case rollout.Add:
				e = targetEntries[change.Node.Name]
			case rollout.Reopen, rollout.Reweight:
				e.State, e.Weight = wire.Draining, change.Node.Weight
				if change.Node.Up {
					e.State = wire.Up
				}
			case rollout.Drain:
				e.State = wire.Draining
			case rollout.Remove:
				e.State = wire.Removed
			}
			entries[change.Node.Name] = e
			lines = append(lines, planLine{At: s.At.String(), Kind: string(change.Kind), Entry: &e})
		}
	}
	return lines, nil
}

// readPlan reads the lines of a plan's file and their times, which must not decrease. Errors name the line.
func readPlan(file string) (lines []planLine, times []time.Duration, err error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	for i, text := range bytes.Split(bytes.TrimRight(raw, "\n"), []byte("\n")) {
		var l planLine
		var d time.Duration
		err := json.Unmarshal(text, &l)
		if err == nil {
			d, err = time.ParseDuration(l.At)
		}
		if err == nil && l.Entry == nil {
			err = errors.New("the entry is missing")
		}
		if err == nil {
			_, err = wire.DecodeDiscoveryMessage(wire.Encode(wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{*l.Entry}}))
		}
		if err == nil && len(times) > 0 && d < slices.Max(times) {
			err = errors.New("the time is before that of an earlier line")
		}
		if err != nil {
			return nil, nil, inputError{fmt.Errorf("%s:%d: %w", file, i+1, err)}
		}
		lines, times = append(lines, l), append(times, d)
	}
	return lines, times, nil
}
