package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"time"

	"github.com/rs/zerolog"

	"fordusher/internal/conf"
	"fordusher/internal/day"
	"fordusher/internal/emulator"
	"fordusher/internal/resultarchive"
	"fordusher/internal/rulecheck"
)

type dayCommand struct {
	Script    string        `help:"A script file, or bad-quarter, which ships with the program; by default the bad day, which ships with it as well."`
	Conf      string        `help:"A director's configuration file with nodes and titles; emulated nodes are started for it instead of the script's nodes." type:"path"`
	Plan      string        `help:"With --conf: updates to the server list during the day, in a file written by import haproxy --plan." type:"path"`
	Virtual   bool          `help:"Run in virtual time: with the real event loops and codec and models of everything else; byte for byte reproducible for a script and a seed."`
	Workers   int           `help:"Number of cores for a day in virtual time; the results do not depend on it." default:"${cores}"`
	Replay    string        `help:"With --virtual: replay a day that ran on sockets, from the file that --record wrote." type:"path"`
	Until     time.Duration `help:"End a day in virtual time at this point, so that it is no longer than needed to show a failure."`
	Profile   string        `help:"Write a CPU profile to this file." type:"path"`
	Requests  int           `help:"Number of clients that send requests; overrides the script."`
	Directors int           `help:"Number of directors; overrides the script."`
	Nodes     int           `help:"Number of nodes; overrides the script."`
	Seed      uint64        `help:"Seed of the random source; by default the script's seed, or 1."`
	JSON      bool          `help:"Print the results as one JSON object on the last line."`
	Record    string        `help:"Save the recorded messages and events to this file; fordusher verify checks the rules on it again." type:"path"`
	Processes bool          `help:"Run directors and nodes as separate processes, so that directors are killed with SIGKILL."`
	Baseline  string        `help:"Use a baseline placement policy instead of the director's own: random-lowest, least-middle or round-robin." enum:"random-lowest,least-middle,round-robin,none" default:"none"`
	Slack     time.Duration `help:"Tolerance of the rule checks for messages that are recorded late or out of order." default:"100ms"`
	Logs      bool          `help:"Print the directors' log."`
}

func (c *dayCommand) Run() error {
	s := day.DefaultScript()
	if c.Script != "" {
		var err error
		if s, err = day.LoadScript(c.Script); err != nil {
			return err
		}
	}
	var actions []day.Action
	if c.Replay != "" {
		if !c.Virtual {
			return inputError{errors.New("--replay needs --virtual")}
		}
		_, records, err := resultarchive.Load[rulecheck.Limits, rulecheck.Record](c.Replay)
		if err != nil {
			return err
		}
		var seed uint64
		if s, seed, actions, err = day.ReconstructRun(records); err != nil {
			return inputError{fmt.Errorf("%s: %w", c.Replay, err)}
		}
		if c.Seed == 0 {
			c.Seed = seed
		}
	}
	if c.Seed == 0 {
		c.Seed = max(1, s.Seed)
	}
	if c.Requests > 0 {
		s.Requests = c.Requests
	}
	if c.Directors > 0 {
		s.Directors = c.Directors
	}
	if c.Nodes > 0 {
		s.Nodes = c.Nodes
		s.Racks = min(s.Racks, s.Nodes)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	log := zerolog.Nop()
	if c.Logs {
		log = newLogger(os.Stderr)
	}
	opt := day.Options{Seed: c.Seed, Log: log, Tolerance: c.Slack, Progress: func(line string) { fmt.Fprintln(os.Stderr, line) }}
	opt.NewDecider = day.Baselines[c.Baseline]
	if err := c.readConfig(&opt); err != nil {
		return err
	}
	if c.Processes && c.Virtual {
		return inputError{errors.New("a day in virtual time runs in one process: use either --processes or --virtual")}
	}
	if c.Processes && opt.NewDecider != nil {
		return errors.New("a baseline policy needs directors in the day's own process: use either --processes or --baseline")
	}
	if c.Processes {
		p, err := newProcesses()
		if err != nil {
			return err
		}
		defer p.close()
		opt.Launcher = p
	}
	if c.Profile != "" {
		f, err := os.Create(c.Profile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	var r *day.Result
	if c.Virtual {
		start := time.Now()
		v, err := emulator.Run(s, c.Seed, emulator.Options{Workers: c.Workers, NewDecider: opt.NewDecider, Log: opt.Progress,
			Config: opt.Config, ListUpdates: opt.ListUpdates, Until: c.Until, Actions: actions})
		if err != nil {
			return err
		}
		r = v.Result
		fmt.Printf("%v of virtual time in %v, hash %s\n", v.Duration.Round(time.Millisecond), time.Since(start).Round(time.Millisecond), v.Hash)
	} else {
		var err error
		if r, err = day.Run(ctx, s, opt); err != nil {
			return err
		}
	}
	if c.Record != "" {
		if err := resultarchive.Save(c.Record, r.Limits, r.Records); err != nil {
			return err
		}
	}
	return printResult(r, c.JSON)
}

// readConfig reads the configuration whose nodes and titles replace those of the script, and the plan of updates to the
// server list.
func (c *dayCommand) readConfig(opt *day.Options) (err error) {
	switch {
	case c.Conf == "" && c.Plan != "":
		return inputError{errors.New("--plan needs --conf: a plan changes the nodes of that configuration")}
	case c.Conf == "":
		return nil
	case c.Processes:
		return inputError{errors.New("--conf needs directors and nodes in the day's own process: leave out --processes")}
	}
	if opt.Config, err = conf.Load(c.Conf); err != nil || c.Plan == "" {
		return err
	}
	lines, times, err := readPlan(c.Plan)
	for i, l := range lines {
		opt.ListUpdates = append(opt.ListUpdates, day.ListUpdate{At: times[i], Entry: *l.Entry})
	}
	return err
}

// printResult prints the results of a day, and returns errRuleViolated if a rule was violated.
func printResult(r *day.Result, asJSON bool) error {
	r.Print(os.Stdout)
	if asJSON {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Println(string(line))
	}
	if !r.Passed() {
		return errRuleViolated
	}
	return nil
}
