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

// exitSkipped says that an import left something out.
const exitSkipped = 3

var errSkipped = errors.New("some lines were not carried over")

type importCommand struct {
	Haproxy haproxyCommand `cmd:"" help:"From HAProxy's configuration: files, or folders of files that end in .cfg, in their order."`
}

type haproxyCommand struct {
	Files   []string          `arg:"" optional:"" help:"Files and folders."`
	Out     string            `short:"o" help:"Write the director's file here." type:"path"`
	Report  string            `help:"Write the report on every line here." type:"path"`
	JSON    bool              `help:"The report as JSON."`
	With    string            `help:"What HAProxy can't know: sections of a director's file, and servers by name or pattern."`
	Env     map[string]string `help:"Values of environment variables; the machine's own are not looked at." mapsep:"none"`
	Version string            `name:"haproxy-version" help:"Of the HAProxy that the files were written for, as in 2.8: decides version_atleast."`
	Against string            `help:"A director's file that was imported before: keep what was filled in, tell what changed."`
	Plan    string            `help:"With --against: write the change as list updates in a safe order here." type:"path"`
	Terms   planTerms         `embed:"" prefix:"plan-"`
	Table   bool              `help:"Print what is carried over and what is not, as in docs/import-haproxy.md, and end."`
}

type planTerms struct {
	PerRack  int           `help:"Nodes of one rack on their way at one time." default:"1"`
	PerTitle int           `help:"Holders of one title on their way at one time." default:"1"`
	Cold     int           `help:"Nodes that may be cold at one time; 0: a twentieth of those that are up." default:"0"`
	Drain    time.Duration `help:"A drained node is removed so long after." default:"30m"`
	Notice   time.Duration `help:"Every director has heard of a change after this." default:"10s"`
}

// A planLine is one line of a plan's file: when, counted from its start, and what the list is to say.
type planLine struct {
	At    string          `json:"at"`
	What  string          `json:"what"`
	Entry *wire.NodeEntry `json:"entry"`
}

func (c *haproxyCommand) Run() error {
	if c.Table {
		fmt.Print(importer.RenderMappingTable())
		return nil
	}
	if len(c.Files) == 0 {
		return badInput{errors.New("no file to import")}
	}
	if c.Plan != "" && c.Against == "" {
		return badInput{errors.New("--plan needs --against: a plan leads from one file to another")}
	}
	r := haproxy.Reader{Variables: c.Env, Version: c.Version}
	files, err := r.ReadPaths(c.Files...)
	if err != nil {
		return unreadable(err)
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
	result, err := importer.Import(files, overlay)
	if err != nil {
		return unreadable(err)
	}
	var changes []importer.Change
	if c.Against != "" {
		text, err := os.ReadFile(c.Against)
		if err != nil {
			return err
		}
		earlier, err := importer.ReadPreviousConfig(c.Against, text)
		if err != nil {
			return err
		}
		changes = result.MergePrevious(earlier)
		if c.Plan != "" {
			if err := c.plan(text, result); err != nil {
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
	form := report.WriteText
	if c.JSON {
		form = report.WriteJSON
	}
	switch {
	case c.Report != "":
		if err := writeFile(c.Report, form); err != nil {
			return err
		}
		fmt.Println(report.Summary())
	default:
		if err := form(os.Stdout); err != nil {
			return err
		}
	}
	if !report.Complete() {
		return errSkipped
	}
	return nil
}

// badInput is an error for which the program ends as for any wrong input.
type badInput struct{ error }

func (b badInput) Unwrap() error { return b.error }

func unreadable(err error) error {
	var u *haproxy.SyntaxError
	if errors.As(err, &u) {
		return badInput{err}
	}
	return err
}

// writeFile writes a file as a whole or leaves what was there: a full disk must not cost the file that is in use.
func writeFile(file string, write func(w io.Writer) error) error {
	var b bytes.Buffer
	if err := write(&b); err != nil {
		return err
	}
	next := file + ".new"
	if err := os.WriteFile(next, b.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(next, file)
}

// plan writes the way from the earlier file to the new one.
func (c *haproxyCommand) plan(before []byte, result *importer.Result) error {
	old, err := conf.Decode(c.Against, before)
	if err != nil {
		return err
	}
	var b strings.Builder
	if err := result.WriteConfig(&b, c.Files); err != nil {
		return err
	}
	name := c.Out
	if name == "" {
		name = "the import"
	}
	now, err := conf.Decode(name, []byte(b.String()))
	if err != nil {
		return fmt.Errorf("a plan needs all blanks filled in: %w", err)
	}
	lines, err := planBetween(old, now, c.Terms)
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

// planBetween asks the planner for the way from one house's nodes to another's, and lets its checker go
// over what it says.
func planBetween(old, now *conf.Config, t planTerms) ([]planLine, error) {
	terms := rollout.Constraints{Cells: now.Fleet.Cells, Racks: now.Fleet.Racks, MaxPerRack: t.PerRack, MaxPerTitle: t.PerTitle, MaxWarming: t.Cold,
		Warmup: now.Ramp.Warmup, DrainTime: t.Drain, PropagationDelay: t.Notice}
	if old.Fleet.Cells != now.Fleet.Cells || old.Fleet.Racks != now.Fleet.Racks {
		return nil, errors.New("no plan: fleet.cells or fleet.racks changed, which moves every title; start directors with the new file")
	}
	var titles []rollout.Title
	for _, t := range now.Titles {
		titles = append(titles, rollout.Title{Name: t.Title, FirstCell: t.FirstCell, Copies: t.Copies})
	}
	entries := map[string]wire.NodeEntry{}
	side := func(from []wire.NodeEntry) (all []rollout.Node) {
		for _, e := range from {
			all = append(all, rollout.Node{Name: e.Node, Cell: e.Cell, Up: e.State == wire.Up, Weight: e.Weight,
				Identity: e.Address + " " + e.MachineKind + " " + e.Zone})
		}
		return all
	}
	have, want := side(old.Nodes), side(now.Nodes)
	steps, blocked := rollout.Plan(have, want, titles, terms)
	if blocked != nil {
		return nil, fmt.Errorf("no plan: %w", blocked)
	}
	if err := rollout.Check(have, want, titles, terms, steps); err != nil {
		return nil, fmt.Errorf("no plan: the planner's own check finds %w", err)
	}
	for _, e := range old.Nodes {
		entries[e.Node] = e
	}
	next := map[string]wire.NodeEntry{}
	for _, e := range now.Nodes {
		next[e.Node] = e
	}
	var lines []planLine
	for _, s := range steps {
		for _, ch := range s.Changes {
			e := entries[ch.Node.Name]
			switch ch.Kind {
			case rollout.Add:
				e = next[ch.Node.Name]
			case rollout.Reopen, rollout.Reweight:
				e.State, e.Weight = wire.Draining, ch.Node.Weight
				if ch.Node.Up {
					e.State = wire.Up
				}
			case rollout.Drain:
				e.State = wire.Draining
			case rollout.Remove:
				e.State = wire.Removed
			}
			entries[ch.Node.Name] = e
			lines = append(lines, planLine{At: s.At.String(), What: string(ch.Kind), Entry: &e})
		}
	}
	return lines, nil
}

// readPlan reads a plan's file; mistakes are named by their line.
func readPlan(file string) (lines []planLine, at []time.Duration, err error) {
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
			err = errors.New("no entry")
		}
		if err == nil {
			_, err = wire.DecodeDiscoveryMessage(wire.Encode(wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{*l.Entry}}))
		}
		if err == nil && len(at) > 0 && d < slices.Max(at) {
			err = errors.New("earlier than the line above")
		}
		if err != nil {
			return nil, nil, badInput{fmt.Errorf("%s:%d: %w", file, i+1, err)}
		}
		lines, at = append(lines, l), append(at, d)
	}
	return lines, at, nil
}
