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
	File    string `arg:"" help:"An experiment, or, ending in .zst, the kept results of one." type:"path"`
	Workers int    `help:"Cores; they change nothing else." default:"${cores}"`
	Out     string `short:"o" help:"Keep all days in this file (compressed lines of JSON)." type:"path"`
	Charts  string `help:"Draw the charts into this folder." type:"path"`
	Form    string `help:"Of the charts: svg or png." enum:"svg,png" default:"svg"`
	Against string `help:"Compare with the kept results of another, paired by seed." type:"path"`
}

func (c *experimentCommand) Run() error {
	t, err := c.trial()
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := t.Save(c.Out); err != nil {
			return err
		}
	}
	fmt.Print(t.Table())
	if c.Against != "" {
		o, err := emulator.LoadExperimentResult(c.Against)
		if err != nil {
			return err
		}
		fmt.Print(t.Compare(o))
	}
	if c.Charts == "" {
		return nil
	}
	if err := os.MkdirAll(c.Charts, 0o755); err != nil {
		return err
	}
	name, _, _ := strings.Cut(filepath.Base(c.File), ".")
	drawn, err := t.DrawCharts(filepath.Join(c.Charts, name), c.Form)
	for _, d := range drawn {
		fmt.Println(d)
	}
	return err
}

func (c *experimentCommand) trial() (*emulator.ExperimentResult, error) {
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
