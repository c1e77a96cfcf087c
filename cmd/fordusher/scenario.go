package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"fordusher/internal/load"
)

type runCommand struct {
	Scenario string `arg:"" help:"One that ships with the program (${scenarios}), or a file."`
	Out      string `short:"o" help:"Keep every second's figures in this file (compressed lines of JSON)." type:"path"`
}

func (c *runCommand) Run() error {
	s, err := load.LoadScenario(c.Scenario)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	p, err := newProcesses()
	if err != nil {
		return err
	}
	defer p.close()
	a, err := s.Run(ctx, theatre{p}, func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) })
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := a.Save(c.Out); err != nil {
			return err
		}
	}
	fmt.Print(a.Table())
	return nil
}

// theatre starts a scenario's processes.
type theatre struct{ *processes }

func (t theatre) StartDirector(house []byte, cores int) (load.MonitoredProcess, error) {
	return t.measured(house, cores, "")
}

func (t theatre) StartClient() (io.WriteCloser, *bufio.Reader, func(), error) {
	cmd, in, out, err := t.launch(nil, "load", "client")
	if err != nil {
		return nil, nil, nil, err
	}
	return in, out, func() {
		in.Close()
		cmd.Process.Signal(syscall.SIGTERM)
		overdue := time.AfterFunc(startWithin, func() { cmd.Process.Kill() })
		cmd.Wait()
		overdue.Stop()
	}, nil
}

type clientCommand struct{}

func (clientCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() { // whoever started this process may be gone: nothing else ends it then
		<-ctx.Done()
		os.Exit(0)
	}()
	return load.RunClient(ctx, os.Stdin, os.Stdout)
}

type plotCommand struct {
	Results []string `arg:"" help:"Files that load run has kept." type:"path"`
	Out     string   `short:"o" help:"Draw the charts into this folder." type:"path"`
	Form    string   `help:"Of the charts: svg or png." enum:"svg,png" default:"svg"`
}

func (c *plotCommand) Run() error {
	for _, file := range c.Results {
		a, err := load.LoadArchive(file)
		if err != nil {
			return err
		}
		fmt.Print(a.Table())
		if c.Out == "" {
			continue
		}
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
		name, _, _ := strings.Cut(filepath.Base(file), ".")
		drawn, err := a.DrawCharts(filepath.Join(c.Out, name), c.Form)
		if err != nil {
			return err
		}
		for _, d := range drawn {
			fmt.Println(d)
		}
	}
	return nil
}
