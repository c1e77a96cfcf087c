package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"fordusher/internal/load"
)

type loadCommand struct {
	Setups setupsCommand `cmd:"" help:"Set-ups at a steady rate: what a director adds to a player that speaks to nodes itself."`
}

type setupsCommand struct {
	Rate        float64       `help:"Set-ups a second." default:"5000"`
	Playing     int           `help:"Sessions that play meanwhile." default:"10000"`
	For         time.Duration `help:"How long is measured." default:"10s"`
	Warm        time.Duration `help:"How long the load runs before that." default:"4s"`
	Nodes       int           `help:"Stand-in nodes." default:"250"`
	Racks       int           `help:"Their racks." default:"36"`
	Titles      int           `help:"Titles." default:"500"`
	Connections int           `help:"Players' connections." default:"200"`
	Cores       int           `help:"Cores of the director." default:"1"`
	Seed        uint64        `help:"What chance is drawn from." default:"1"`
	Chart       string        `help:"Draw the latencies into this file (.svg or .png)." type:"path"`
	Profile     string        `help:"Write a profile of the director's processor time into this file." type:"path"`
	JSON        bool          `help:"Print one object as the last line."`
}

func (c *setupsCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	s := load.Setups{Rate: c.Rate, Playing: c.Playing, For: c.For, Warm: c.Warm, Nodes: c.Nodes, Racks: c.Racks, Titles: c.Titles,
		Connections: c.Connections, Seed: c.Seed}
	fmt.Printf("%d cores here, %d for the director; %g set-ups a second, %d sessions playing, %d nodes, %v after %v\n",
		runtime.NumCPU(), c.Cores, c.Rate, c.Playing, c.Nodes, c.For, c.Warm)
	direct, err := s.Direct(ctx)
	if err != nil {
		return err
	}
	p, err := newProcesses()
	if err != nil {
		return err
	}
	defer p.close()
	through, err := s.Through(ctx, func(house []byte) (load.Process, error) { return p.measured(house, c.Cores, c.Profile) })
	if err != nil {
		return err
	}
	fmt.Print(load.Table(direct, through))
	fmt.Printf("added: p50 %.3f ms, p99 %.3f ms\n", through.P50-direct.P50, through.P99-direct.P99)
	if c.Chart != "" {
		if err := load.Chart(c.Chart, fmt.Sprintf("%g set-ups a second, %d playing, %d nodes", c.Rate, c.Playing, c.Nodes), direct, through); err != nil {
			return err
		}
	}
	if c.JSON {
		line, err := json.Marshal(map[string]any{"load": s, "cores": runtime.NumCPU(), "director_cores": c.Cores, "results": []*load.Result{direct, through}})
		if err != nil {
			return err
		}
		fmt.Println(string(line))
	}
	return nil
}

// measured starts a director's process on so many cores.
func (p *processes) measured(house []byte, cores int, profile string) (load.Process, error) {
	file := filepath.Join(p.dir, "load.jsonc")
	if err := os.WriteFile(file, house, 0o600); err != nil {
		return nil, err
	}
	var told ready
	args := []string{"serve", "--conf", file, "--boot", "1", "--seed", "1"}
	if profile != "" {
		args = append(args, "--profile", profile)
	}
	cmd, _, _, err := p.spawnWith([]string{"GOMAXPROCS=" + strconv.Itoa(cores)}, &told, args...)
	if err != nil {
		return nil, err
	}
	return &measuredProcess{cmd, told.Listen}, nil
}

type measuredProcess struct {
	cmd     *exec.Cmd
	address string
}

func (m *measuredProcess) Address() string { return m.address }

// Kill ends the director: in good order at first, so that a profile is written.
func (m *measuredProcess) Kill() {
	m.cmd.Process.Signal(syscall.SIGTERM)
	overdue := time.AfterFunc(startWithin, func() { m.cmd.Process.Kill() })
	m.cmd.Wait()
	overdue.Stop()
}

// CPU reads what the process has used from the system, in ticks of 10 ms.
func (m *measuredProcess) CPU() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}
