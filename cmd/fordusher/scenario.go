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
	Scenario string `arg:"" help:"A scenario that ships with the program (${scenarios}), or a scenario file."`
	Out      string `short:"o" help:"Save the measurements of every second to this file (compressed lines of JSON)." type:"path"`
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
	a, err := s.Run(ctx, scenarioLauncher{p}, func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) })
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

// scenarioLauncher implements load.Launcher: it starts the director and client processes of a scenario.
type scenarioLauncher struct{ *processes }

func (l scenarioLauncher) StartDirector(config []byte, cores int) (load.MonitoredProcess, error) {
	return l.startDirectorOnCores(config, cores, "")
}

func (l scenarioLauncher) StartClient() (io.WriteCloser, *bufio.Reader, func(), error) {
	cmd, in, out, err := l.launch(nil, "load", "client")
	if err != nil {
		return nil, nil, nil, err
	}
	return in, out, func() {
		in.Close()
		cmd.Process.Signal(syscall.SIGTERM)
		killTimer := time.AfterFunc(processTimeout, func() { cmd.Process.Kill() })
		cmd.Wait()
		killTimer.Stop()
	}, nil
}

type clientCommand struct{}

func (clientCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() { // the parent process may have exited, and then only a signal ends this process
		<-ctx.Done()
		os.Exit(0)
	}()
	return load.RunClient(ctx, os.Stdin, os.Stdout)
}

type plotCommand struct {
	Results []string `arg:"" help:"Files written by load run." type:"path"`
	Out     string   `short:"o" help:"Draw the charts into this directory." type:"path"`
	Form    string   `help:"Format of the charts: svg or png." enum:"svg,png" default:"svg"`
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
