package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"fordusher/internal/day"
	"fordusher/internal/emulator"
	"fordusher/internal/rulecheck"
	"fordusher/internal/soak"
)

// maxScaleDirectors is the largest fleet in virtual time; memory and time grow with directors times servers.
const maxScaleDirectors = 900

// minWorthShare is the least share of the worth that a larger fleet serves, as a part of that of the baseline fleet.
const minWorthShare = 0.85

// runVirtual runs a fleet of each size in virtual time and compares what a director needs in the mean with the bounds
// derived from the first size. Then it checks the slow-start budget on fleets whose directors restart.
func (c *scaleCommand) runVirtual(out io.Writer, servers, directors []int) error {
	var restarts []int
	if c.Restarts != "" {
		var err error
		if restarts, err = parseSizes("--restarts", c.Restarts, maxScaleDirectors); err != nil {
			return inputError{err}
		}
	}
	for _, n := range directors {
		if n > maxScaleDirectors {
			return inputError{fmt.Errorf("--directors: %d is over %d, the most in virtual time", n, maxScaleDirectors)}
		}
	}
	sizesViolated, err := c.printFleets(out, servers, directors)
	if err != nil {
		return err
	}
	restartsViolated, err := c.printRestarts(out, restarts)
	if err != nil {
		return err
	}
	if sizesViolated || restartsViolated {
		return errRuleViolated
	}
	return nil
}

// printFleets runs a fleet of each size and prints what a director needs in the mean. CPU and memory are not simulated.
func (c *scaleCommand) printFleets(out io.Writer, servers, directors []int) (violated bool, err error) {
	fmt.Fprintln(out, "simulated, a director in the mean")
	table := newScaleTable(out, "servers\tdirectors\tdescriptors\tconnections\tlist KB\tserved\tworth\tbudget left\tbroken\tover its bound")
	var baseline soak.Usage
	var baselineWorth float64
	for i, n := range servers {
		fleet := emulator.Fleet{Directors: directors[i], Nodes: n, RequestRate: c.Rate, Length: c.Length, Seed: c.Seed,
			Workers: c.Workers, NewDecider: day.Baselines[c.Baseline]}
		r, err := fleet.Run()
		if err != nil {
			return false, err
		}
		usage := fleetUsage(r, n, directors[i])
		if i == 0 {
			baseline, baselineWorth = usage, r.Credit
		}
		exceeded := exceededBounds(baseline, usage)
		if r.Credit < minWorthShare*baselineWorth {
			exceeded = append(exceeded, "worth")
		}
		worst, _ := emulator.SlowStartExcess(r, true)
		broken := brokenRules(r)
		violated = violated || len(exceeded) > 0 || len(broken) > 0
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%.1f\t%d of %d\t%.3f\t%.1f\t%s\t%s\n", n, directors[i], usage.Descriptors, usage.Connections,
			float64(usage.ListBytes)/(1<<10), r.Played, r.Received, r.Credit, -worst, strings.Join(broken, ", "), strings.Join(exceeded, ", "))
	}
	return violated, table.Flush()
}

// printRestarts runs a day for each number of directors on which they restart and forget what they sent to servers in
// slow start.
func (c *scaleCommand) printRestarts(out io.Writer, restarts []int) (violated bool, err error) {
	if len(restarts) == 0 {
		return false, nil
	}
	fmt.Fprintln(out, "\nsimulated, directors restart while half of 12 overloaded servers are in slow start")
	table := newScaleTable(out, "directors\tset-ups in slow start\tbudget left\tservers failed\tbroken")
	for _, n := range restarts {
		r, err := emulator.RunRestarts(n, c.Seed, emulator.Options{Workers: c.Workers, NewDecider: day.Baselines[c.Baseline]})
		if err != nil {
			return false, err
		}
		worst, early := emulator.SlowStartExcess(r, true)
		broken := brokenRules(r)
		violated = violated || len(broken) > 0
		fmt.Fprintf(table, "%d\t%d\t%.1f\t%d\t%s\n", n, early, -worst, r.Overloaded(), strings.Join(broken, ", "))
	}
	return violated, table.Flush()
}

func newScaleTable(out io.Writer, header string) *tabwriter.Writer {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, header)
	return table
}

// fleetUsage is what a director of a fleet used in the mean.
func fleetUsage(r *emulator.Result, servers, directors int) soak.Usage {
	return soak.Usage{Servers: servers, Descriptors: r.Usage.Descriptors / directors, Connections: int64(r.Usage.Connections / directors),
		ListBytes: r.Usage.ListBytes / int64(directors), Requests: r.Received, Served: r.Played}
}

// brokenRules names the rules that a run violated, the slow-start budget of the standing test among them.
func brokenRules(r *emulator.Result) (broken []string) {
	for _, rule := range rulecheck.Rules {
		if r.Rules[rule].Violations > 0 {
			broken = append(broken, rule)
		}
	}
	if r.Unanswered > 0 {
		broken = append(broken, "unanswered")
	}
	if worst, _ := emulator.SlowStartExcess(r, true); worst > 0 {
		broken = append(broken, "slow-start budget")
	}
	if r.Overloaded() > 0 {
		broken = append(broken, "overload")
	}
	return broken
}
