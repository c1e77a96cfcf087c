package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fordusher/internal/soak"
)

type soakCommand struct {
	Seeds     string        `default:"1-5" help:"Seeds to run, one after another: N, or FROM-TO."`
	Processes int           `default:"12" help:"Number of director processes: 1 to 40."`
	Servers   int           `default:"10" help:"Number of emulated servers at any time."`
	Length    time.Duration `default:"6s" help:"How long clients send requests, for each seed."`
	Dense     bool          `help:"Dense trials: 3 to 6 processes and 4 to 8 servers, as drawn from the seed."`
	Parallel  int           `default:"1" help:"Seeds that run at the same time."`
	Program   string        `help:"Program that runs as the directors, such as an older version; default: this one." placeholder:"FILE"`
	Logs      string        `help:"Directory for the directors' logs." placeholder:"DIR"`
}

const (
	maxSoakProcesses = 40
	maxParallelSeeds = 16
)

// Run runs the seeds, prints a line for each, and fails if a rule was violated with one of them.
func (c *soakCommand) Run() error {
	from, to, err := seedRange(c.Seeds)
	if err != nil {
		return inputError{err}
	}
	if c.Parallel < 1 || c.Parallel > maxParallelSeeds {
		return inputError{fmt.Errorf("--parallel must be 1 to %d", maxParallelSeeds)}
	}
	if c.Processes < 1 || c.Processes > maxSoakProcesses || c.Servers < 2 || c.Length <= 0 {
		return inputError{fmt.Errorf("--processes must be 1 to %d, --servers at least 2 and --length positive", maxSoakProcesses)}
	}
	program := c.Program
	if program == "" {
		if program, err = os.Executable(); err != nil {
			return err
		}
	}
	var group errgroup.Group
	group.SetLimit(c.Parallel)
	var printing sync.Mutex
	violated := false
	for seed := from; seed <= to; seed++ {
		group.Go(func() error {
			options := soak.Options{Seed: seed, Processes: c.Processes, Servers: c.Servers, Length: c.Length, Program: program, Logs: c.Logs}
			if c.Dense {
				options = soak.DenseOptions(options)
			}
			result, err := soak.Run(context.Background(), options)
			if err != nil {
				return err
			}
			printing.Lock()
			defer printing.Unlock()
			fmt.Println(result)
			for _, v := range result.Violations {
				violated = true
				fmt.Println("  ", v)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if violated {
		return errRuleViolated
	}
	return nil
}

// seedRange parses a seed range of the form N or FROM-TO.
func seedRange(text string) (from, to uint64, err error) {
	first, last, isRange := strings.Cut(text, "-")
	if from, err = strconv.ParseUint(first, 10, 64); err != nil {
		return 0, 0, fmt.Errorf("--seeds is %q; it must be N or FROM-TO", text)
	}
	if !isRange {
		return from, from, nil
	}
	if to, err = strconv.ParseUint(last, 10, 64); err != nil || to < from {
		return 0, 0, fmt.Errorf("--seeds is %q; it must be N or FROM-TO", text)
	}
	return from, to, nil
}
