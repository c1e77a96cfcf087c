package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"

	"fordusher/internal/emulator"
)

type experimentCommand struct {
	File    string `arg:"" help:"An experiment file, or the saved results of an experiment, in a file that ends in .zst." type:"path"`
	Workers int    `help:"Number of cores to use; the results do not depend on it." default:"${cores}"`
	Out     string `short:"o" help:"Save all runs to this file (compressed lines of JSON)." type:"path"`
	Charts  string `help:"Draw the charts into this directory." type:"path"`
	Form    string `help:"Format of the charts: svg or png." enum:"svg,png" default:"svg"`
	Against string `help:"Compare with the saved results of another experiment, paired by seed." type:"path"`
}

func (c *experimentCommand) Run() error {
	r, err := c.result()
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := r.Save(c.Out); err != nil {
			return err
		}
	}
	fmt.Print(r.FormatTable())
	if c.Against != "" {
		other, err := emulator.LoadExperimentResult(c.Against)
		if err != nil {
			return err
		}
		fmt.Print(r.FormatComparison(other))
	}
	if c.Charts == "" {
		return nil
	}
	if err := os.MkdirAll(c.Charts, 0o755); err != nil {
		return err
	}
	name, _, _ := strings.Cut(filepath.Base(c.File), ".")
	drawn, err := r.DrawCharts(filepath.Join(c.Charts, name), c.Form)
	for _, d := range drawn {
		fmt.Println(d)
	}
	return err
}

// result loads the saved results of an experiment, or runs the experiment.
func (c *experimentCommand) result() (*emulator.ExperimentResult, error) {
	if strings.HasSuffix(c.File, ".zst") {
		return emulator.LoadExperimentResult(c.File)
	}
	x, err := emulator.LoadExperiment(c.File)
	if err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return x.Run(ctx, c.Workers)
}
