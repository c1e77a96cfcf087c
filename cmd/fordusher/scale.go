package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"fordusher/internal/soak"
)

type scaleCommand struct {
	Servers   string        `default:"200,800,3200" help:"Numbers of emulated servers, the baseline size first."`
	Directors string        `default:"300,300,900" help:"Numbers of directors in the settings, one for each number of servers."`
	Length    time.Duration `default:"20s" help:"How long clients send requests, for each size."`
	Virtual   bool          `help:"Run whole fleets in virtual time, simulated: all directors of each size, with restarts, and the rules checked."`
	Restarts  string        `default:"1,5,30,100,300,900" help:"With --virtual: fleets whose directors restart during slow start."`
	Rate      float64       `default:"6.4" help:"With --virtual: requests per second of a director; the capacity follows it."`
	Baseline  string        `enum:"none,random-lowest,least-middle,round-robin" default:"none" help:"With --virtual: use a baseline placement policy instead of the director's own: random-lowest, least-middle or round-robin."`
	Seed      uint64        `default:"1" help:"With --virtual: seed of the random source."`
	Workers   int           `default:"2" help:"With --virtual: number of cores; the results do not depend on it."`
}

const maxScaleServers = 3200

// Run measures one director process at each size and compares its resource use with bounds derived from the first size.
func (c *scaleCommand) Run() error {
	servers, err := parseSizes("--servers", c.Servers, maxScaleServers)
	if err != nil {
		return inputError{err}
	}
	directors, err := parseSizes("--directors", c.Directors, 1<<16)
	if err != nil {
		return inputError{err}
	}
	if len(servers) != len(directors) || c.Length <= 0 {
		return inputError{fmt.Errorf("--servers and --directors must have equally many numbers, and --length must be positive")}
	}
	if c.Virtual {
		return c.runVirtual(os.Stdout, servers, directors)
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "servers\tdirectors\tCPU s\tpeak MB\tdescriptors\tconnections\tlist KB\tserved\tover its bound")
	var baseline soak.Usage
	violated := false
	for i, n := range servers {
		usage, err := soak.MeasureUsage(context.Background(), soak.ScaleOptions{Servers: n, Directors: directors[i], Length: c.Length,
			Program: program})
		if err != nil {
			return err
		}
		if i == 0 {
			baseline = usage
		}
		exceeded := exceededBounds(baseline, usage)
		violated = violated || len(exceeded) > 0 || len(usage.Violations) > 0
		fmt.Fprintf(table, "%d\t%d\t%.2f\t%.1f\t%d\t%d\t%.1f\t%d of %d\t%s\n", n, directors[i], usage.CPU.Seconds(),
			float64(usage.PeakMemory)/(1<<20), usage.Descriptors, usage.Connections, float64(usage.ListBytes)/(1<<10), usage.Served,
			usage.Requests, strings.Join(exceeded, ", "))
		for _, v := range usage.Violations {
			fmt.Fprintln(os.Stderr, v)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if violated {
		return errRuleViolated
	}
	return nil
}

// exceededBounds names the measurements that exceed their bounds, given those at the baseline size. The bounds are
// those that a test which the operators run regularly sets for a larger fleet.
func exceededBounds(baseline, usage soak.Usage) (exceeded []string) {
	thousands := float64(usage.Servers) / 1000
	const megabyte, kilobyte = 1 << 20, 1 << 10
	for _, x := range []struct {
		name          string
		actual, bound float64
	}{
		{"CPU", usage.CPU.Seconds(), 1.4*baseline.CPU.Seconds() + 0.02 + 0.03*thousands},
		{"memory", float64(usage.PeakMemory), 1.5*float64(baseline.PeakMemory) + (8+4*thousands)*megabyte},
		{"descriptors", float64(usage.Descriptors), 2*float64(baseline.Descriptors) + 40},
		{"connections", float64(usage.Connections), 2.5*float64(baseline.Connections) + 40},
		{"lists", float64(usage.ListBytes), 2*float64(baseline.ListBytes) + (64+500*thousands)*kilobyte},
		{"served", 0.85 * servedShare(baseline), servedShare(usage)},
	} {
		if x.actual > x.bound {
			exceeded = append(exceeded, x.name)
		}
	}
	return exceeded
}

// servedShare returns the share of the requests that were served.
func servedShare(u soak.Usage) float64 { return float64(u.Served) / float64(max(1, u.Requests)) }

// parseSizes parses comma-separated numbers from 1 to maxSize.
func parseSizes(flag, text string, maxSize int) (sizes []int, err error) {
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 || n > maxSize {
			return nil, fmt.Errorf("%s: %q is not a number from 1 to %d", flag, part, maxSize)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}
