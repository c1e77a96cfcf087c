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
	Script    string        `help:"The day's script, or bad-quarter, which ships with the program as the bad day does that is played without one."`
	Conf      string        `help:"A director's file with nodes and titles, played on stand-ins in place of the script's own fleet." type:"path"`
	Plan      string        `help:"With --conf: list updates in the course of the day, as import haproxy --plan writes them." type:"path"`
	Virtual   bool          `help:"In virtual time: the same loops and codec, models of all else, the same to the byte for a script and a seed."`
	Workers   int           `help:"Cores for a day in virtual time; they change nothing else." default:"${cores}"`
	Replay    string        `help:"In virtual time, the incident of a day on sockets whose record was kept." type:"path"`
	Until     time.Duration `help:"End a day in virtual time there: the shortest that still shows what is looked for."`
	Profile   string        `help:"Write a profile of the processor time into this file." type:"path"`
	Requests  int           `help:"Viewers who come, over what the script says."`
	Directors int           `help:"Directors, over what the script says."`
	Nodes     int           `help:"Nodes, over what the script says."`
	Seed      uint64        `help:"What chance is drawn from; without it what the script says, or 1."`
	JSON      bool          `help:"Print one object as the last line."`
	Record    string        `help:"Keep the witness record in this file; fordusher verify checks it again." type:"path"`
	Processes bool          `help:"Run directors and nodes as processes of their own, so that they are killed outright."`
	Baseline  string        `help:"Put a baseline in the module's place: random-lowest, least-middle or round-robin." enum:"random-lowest,least-middle,round-robin,none" default:"none"`
	Slack     time.Duration `help:"What the witness forgives of what is seen late or out of order." default:"100ms"`
	Logs      bool          `help:"Show the directors' log."`
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
			return badInput{errors.New("--replay needs --virtual")}
		}
		_, records, err := resultarchive.Load[rulecheck.Limits, rulecheck.Record](c.Replay)
		if err != nil {
			return err
		}
		var seed uint64
		if s, seed, actions, err = day.ReconstructRun(records); err != nil {
			return badInput{fmt.Errorf("%s: %w", c.Replay, err)}
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
		log = logger(os.Stderr)
	}
	opt := day.Options{Seed: c.Seed, Log: log, Tolerance: c.Slack, Progress: func(line string) { fmt.Fprintln(os.Stderr, line) }}
	opt.NewDecider = day.Baselines[c.Baseline]
	if err := c.imported(&opt); err != nil {
		return err
	}
	if c.Processes && c.Virtual {
		return badInput{errors.New("a day in virtual time has no processes: leave out --processes or --virtual")}
	}
	if c.Processes && opt.NewDecider != nil {
		return errors.New("a baseline runs in the day's own process only: leave out --processes or --baseline")
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
		began := time.Now()
		v, err := emulator.Run(s, c.Seed, emulator.Options{Workers: c.Workers, NewDecider: opt.NewDecider, Log: opt.Progress, Config: opt.Config, ListUpdates: opt.ListUpdates, Until: c.Until,
			Actions: actions})
		if err != nil {
			return err
		}
		r = v.Result
		fmt.Printf("%v of virtual time in %v, hash %s\n", v.Duration.Round(time.Millisecond), time.Since(began).Round(time.Millisecond), v.Hash)
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
	return report(r, c.JSON)
}

// imported reads what a day plays in place of its script's fleet.
func (c *dayCommand) imported(opt *day.Options) (err error) {
	switch {
	case c.Conf == "" && c.Plan != "":
		return badInput{errors.New("--plan needs --conf: it changes the fleet that is there")}
	case c.Conf == "":
		return nil
	case c.Processes:
		return badInput{errors.New("--conf is played in the day's own process: leave out --processes")}
	}
	if opt.Config, err = conf.Load(c.Conf); err != nil || c.Plan == "" {
		return err
	}
	lines, at, err := readPlan(c.Plan)
	for i, l := range lines {
		opt.ListUpdates = append(opt.ListUpdates, day.ListUpdate{At: at[i], Entry: *l.Entry})
	}
	return err
}

func report(r *day.Result, asJSON bool) error {
	r.Print(os.Stdout)
	if asJSON {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Println(string(line))
	}
	if !r.Passed() {
		return errBroken
	}
	return nil
}
