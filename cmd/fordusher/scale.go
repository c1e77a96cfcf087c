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
	Servers   string        `default:"200,800,3200" help:"Numbers of emulated servers, the usual size first."`
	Directors string        `default:"300,300,900" help:"Numbers of directors that the settings name, one for each."`
	Length    time.Duration `default:"20s" help:"How long clients ask, for each size."`
}

const scaleServersMost = 3200

// Run measures one director's process at each size and holds what it needed against the bounds of the first.
func (c *scaleCommand) Run() error {
	servers, err := sizes("--servers", c.Servers, scaleServersMost)
	if err != nil {
		return badInput{err}
	}
	directors, err := sizes("--directors", c.Directors, 1<<16)
	if err != nil {
		return badInput{err}
	}
	if len(servers) != len(directors) || c.Length <= 0 {
		return badInput{fmt.Errorf("--servers and --directors need as many numbers, and --length has to be over 0")}
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "servers\tdirectors\tCPU s\tpeak MB\tdescriptors\tconnections\tlist KB\tserved\tover its bound")
	var usual soak.Usage
	broken := false
	for i, n := range servers {
		usage, err := soak.MeasureUsage(context.Background(), soak.ScaleOptions{Servers: n, Directors: directors[i], Length: c.Length, Program: program})
		if err != nil {
			return err
		}
		if i == 0 {
			usual = usage
		}
		over := overBounds(usual, usage)
		broken = broken || len(over) > 0 || len(usage.Violations) > 0
		fmt.Fprintf(table, "%d\t%d\t%.2f\t%.1f\t%d\t%d\t%.1f\t%d of %d\t%s\n", n, directors[i], usage.CPU.Seconds(), float64(usage.PeakMemory)/(1<<20),
			usage.Descriptors, usage.Connections, float64(usage.ListBytes)/(1<<10), usage.Served, usage.Requests, strings.Join(over, ", "))
		for _, v := range usage.Violations {
			fmt.Fprintln(os.Stderr, v)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if broken {
		return errBroken
	}
	return nil
}

// overBounds names what grew by more than the operators' standing test allows a larger fleet against the usual one.
func overBounds(usual, usage soak.Usage) (over []string) {
	thousands := float64(usage.Servers) / 1000
	const megabyte, kilobyte = 1 << 20, 1 << 10
	for _, x := range []struct {
		name       string
		is, atMost float64
	}{
		{"CPU", usage.CPU.Seconds(), 1.4*usual.CPU.Seconds() + 0.02 + 0.03*thousands},
		{"memory", float64(usage.PeakMemory), 1.5*float64(usual.PeakMemory) + (8+4*thousands)*megabyte},
		{"descriptors", float64(usage.Descriptors), 2*float64(usual.Descriptors) + 40},
		{"connections", float64(usage.Connections), 2.5*float64(usual.Connections) + 40},
		{"lists", float64(usage.ListBytes), 2*float64(usual.ListBytes) + (64+500*thousands)*kilobyte},
		{"served", 0.85 * share(usual), share(usage)},
	} {
		if x.is > x.atMost {
			over = append(over, x.name)
		}
	}
	return over
}

// share is the part of the requests that was served.
func share(u soak.Usage) float64 { return float64(u.Served) / float64(max(1, u.Requests)) }

// sizes reads numbers from 1 to most, with commas between.
func sizes(flag, text string, most int) (all []int, err error) {
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 || n > most {
			return nil, fmt.Errorf("%s: %q is not a number from 1 to %d", flag, part, most)
		}
		all = append(all, n)
	}
	return all, nil
}
