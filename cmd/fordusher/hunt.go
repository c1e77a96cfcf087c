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
	Days    int    `help:"Number of random days to run." default:"200"`
	Seed    uint64 `help:"Seed of the random source." default:"1"`
	Workers int    `help:"Number of cores to use; the results do not depend on it." default:"${cores}"`
	Keep    int    `help:"Number of worst days to keep." default:"5"`
	Out     string `short:"o" help:"Write the scripts of the worst days to this directory." type:"path"`
}

func (c *huntCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	search := emulator.Search{Seed: c.Seed, Runs: c.Days, Workers: c.Workers, MaxResults: c.Keep}
	results, features, err := search.Run(ctx, func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) })
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	fmt.Printf("%d days, %d features\n", c.Days, features)
	violated := false
	for i, r := range results {
		summary := fmt.Sprintf("%d requests; rules violated: %t; smallest margin: %.3f of %s; credit %.3f", r.Result.Received,
			!r.Result.Passed(), r.Result.MinMargin, r.Result.MinMarginRule, r.Result.Credit)
		fmt.Printf("%d. seed %d: %s\n", i+1, r.Script.Seed, summary)
		if !r.Result.Passed() {
			violated = true
			for rule, finding := range r.Result.Rules {
				for _, e := range finding.Examples {
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
		if err := os.WriteFile(file, r.Script.Format("Found by fordusher hunt. "+summary), 0o644); err != nil {
			return err
		}
	}
	if violated {
		return errRuleViolated
	}
	return nil
}

type shrinkCommand struct {
	Script string  `arg:"" help:"A script of a day that fails in virtual time."`
	Seed   uint64  `help:"Seed of the random source; by default the script's seed, or 1."`
	Rule   string  `help:"A day fails if it violates this rule; by default, if it violates any rule."`
	Least  float64 `help:"A day fails if the margin to a rule's limit, as a share of that limit, is below this value, whether or not the rule is violated." default:"-1"`
	Most   int     `help:"Maximum number of days to run." default:"500"`
	Out    string  `short:"o" help:"Write the smaller script to this file; by default it is printed." type:"path"`
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
			finding := r.Rules[c.Rule]
			return finding != nil && (finding.Violations > 0 || finding.MinMargin < c.Least)
		case c.Least >= 0:
			return r.MinMargin < c.Least
		}
		return !r.Passed()
	}
	smaller, tried, err := emulator.MinimizeScript(s, fails, c.Most,
		func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) })
	if err != nil {
		return err
	}
	if smaller == nil {
		return inputError{fmt.Errorf("%s: the day does not fail with seed %d", c.Script, s.Seed)}
	}
	text := smaller.Format(fmt.Sprintf("Reduced from %s in %d days.", filepath.Base(c.Script), tried))
	if c.Out != "" {
		return os.WriteFile(c.Out, text, 0o644)
	}
	_, err = os.Stdout.Write(text)
	return err
}
