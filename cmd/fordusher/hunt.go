package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"fordusher/internal/day"
	"fordusher/internal/emulator"
)

type huntCommand struct {
	Days    int    `help:"Days to draw." default:"200"`
	Seed    uint64 `help:"What chance is drawn from." default:"1"`
	Workers int    `help:"Cores; they change nothing else." default:"${cores}"`
	Keep    int    `help:"Keep so many of the worst days." default:"5"`
	Out     string `short:"o" help:"Write them into this folder, as scripts." type:"path"`
}

func (c *huntCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	h := emulator.Search{Seed: c.Seed, Runs: c.Days, Workers: c.Workers, MaxResults: c.Keep}
	finds, features, err := h.Run(ctx, func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) })
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	fmt.Printf("%d days, %d features\n", c.Days, features)
	broken := false
	for i, f := range finds {
		words := fmt.Sprintf("%d requests; broken: %t; least left: %.3f of %s; credit %.3f", f.Result.Received, !f.Result.Passed(), f.Result.MinMargin,
			f.Result.MinMarginRule, f.Result.Credit)
		fmt.Printf("%d. seed %d: %s\n", i+1, f.Script.Seed, words)
		if !f.Result.Passed() {
			broken = true
			for rule, x := range f.Result.Rules {
				for _, e := range x.Examples {
					fmt.Printf("   %s: %s\n", rule, e)
				}
			}
		}
		if c.Out == "" {
			continue
		}
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
		file := filepath.Join(c.Out, fmt.Sprintf("hunt-%d-%d.jsonc", c.Seed, i+1))
		if err := os.WriteFile(file, f.Script.Format("Found by a hunt. "+words), 0o644); err != nil {
			return err
		}
	}
	if broken {
		return errBroken
	}
	return nil
}

type shrinkCommand struct {
	Script string  `arg:"" help:"A script whose day in virtual time fails."`
	Seed   uint64  `help:"What chance is drawn from; without it what the script says, or 1."`
	Rule   string  `help:"It fails where this rule is broken; without it, any."`
	Least  float64 `help:"It fails where less than this part of what a rule allows is left over, broken or not." default:"-1"`
	Most   int     `help:"Try so many days at the most." default:"500"`
	Out    string  `short:"o" help:"Write the smaller script here; without it, print it." type:"path"`
}

func (c *shrinkCommand) Run() error {
	s, err := day.LoadScript(c.Script)
	if err != nil {
		return err
	}
	if c.Seed > 0 {
		s.Seed = c.Seed
	}
	s.Seed = max(1, s.Seed)
	fails := func(r *emulator.Result) bool {
		switch {
		case c.Rule != "":
			f := r.Rules[c.Rule]
			return f != nil && (f.Violations > 0 || f.MinMargin < c.Least)
		case c.Least >= 0:
			return r.MinMargin < c.Least
		}
		return !r.Passed()
	}
	smaller, tried, err := emulator.MinimizeScript(s, fails, c.Most, func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) })
	if err != nil {
		return err
	}
	if smaller == nil {
		return badInput{fmt.Errorf("%s: the day does not fail with seed %d", c.Script, s.Seed)}
	}
	text := smaller.Format(fmt.Sprintf("Cut down from %s in %d days.", filepath.Base(c.Script), tried))
	if c.Out != "" {
		return os.WriteFile(c.Out, text, 0o644)
	}
	_, err = os.Stdout.Write(text)
	return err
}
