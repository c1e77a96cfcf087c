package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"fordusher/internal/load"
)

type loadCommand struct {
	Setups  setupsCommand  `cmd:"" help:"Set-ups at a steady rate: what a director adds to a player that speaks to nodes itself."`
	Idle    idleCommand    `cmd:"" help:"Idle connections over sockets: what each costs a director, and a door with a goroutine and a timer for each."`
	Million millionCommand `cmd:"" help:"Idle connections in memory while set-ups and drains go on, and all timers due at once."`
	Run     runCommand     `cmd:"" help:"Play a scenario: parts of different habits at the same time, over several processes; keep every second's figures."`
	Client  clientCommand  `cmd:"" hidden:"" help:"A client process of a scenario."`
	Plain   plainCommand   `cmd:"" hidden:"" help:"The door with a goroutine and a timer for each connection."`
}

type idleCommand struct {
	Connections int           `help:"Idle connections; as many as descriptors allow where that is less." default:"18000"`
	For         time.Duration `help:"How long the processor time of idleness is measured." default:"30s"`
	Ping        time.Duration `help:"A sign of life is asked for so often." default:"10s"`
	JSON        bool          `help:"Print one object as the last line."`
}

func (c *idleCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	const spare = 500
	n := min(c.Connections, int(min(limit.Cur, 1<<30))-spare) / 32 * 32
	fmt.Printf("%d descriptors allowed, %d connections, a sign of life each %v, one core\n", limit.Cur, n, c.Ping)
	p, err := newProcesses()
	if err != nil {
		return err
	}
	defer p.close()
	i := load.IdleLoad{Connections: n, Duration: c.For, Ping: c.Ping}
	var results []*load.IdleResult
	for _, what := range []struct {
		name  string
		start func() (*measuredProcess, error)
	}{
		{"director", func() (*measuredProcess, error) { return p.idle(n, c.Ping) }},
		{"goroutine and timer each", func() (*measuredProcess, error) { return p.start("load", "plain", "--ping", c.Ping.String()) }},
	} {
		process, err := what.start()
		if err != nil {
			return err
		}
		r, err := i.Run(ctx, what.name, process)
		process.Kill()
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	fmt.Print(load.IdleTable(results...))
	a, b := results[0], results[1]
	fmt.Printf("ratio, director over the other: Go memory %.2f, RSS %.2f, processor time %.2f\n", (a.Heap+a.Stacks)/(b.Heap+b.Stacks), a.RSS/b.RSS, a.CPU/b.CPU)
	return printJSON(c.JSON, map[string]any{"load": i, "results": results})
}

func printJSON(want bool, x any) error {
	if !want {
		return nil
	}
	line, err := json.Marshal(x)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}

type millionCommand struct {
	Connections int           `help:"Idle connections." default:"1000000"`
	Rate        float64       `help:"Set-ups a second meanwhile." default:"500"`
	Ping        time.Duration `help:"A sign of life is asked for so often." default:"60s"`
	For         time.Duration `help:"How long each part is measured." default:"10s"`
	Nodes       int           `help:"Stand-in nodes." default:"50"`
	Cores       int           `help:"Cores for everything." default:"1"`
	Climb       bool          `help:"Go on with twice as many until a drain is not kept, an answer is missing or memory ends, and tell which."`
	JSON        bool          `help:"Print one object as the last line."`
}

func (c *millionCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	runtime.GOMAXPROCS(c.Cores)
	x := load.InMemoryLoad{Connections: c.Connections, Ping: c.Ping, Rate: c.Rate, Duration: c.For, Nodes: c.Nodes}
	r, err := x.Run(ctx, func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) })
	if err != nil {
		return err
	}
	fmt.Print(r.Table())
	for c.Climb && ctx.Err() == nil {
		if why := r.LimitReason(memoryFree()); why != "" {
			fmt.Println("the climb ends:", why)
			break
		}
		x.Connections *= 2
		if r, err = x.Run(ctx, func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }); err != nil {
			return err
		}
		fmt.Print(r.Table())
	}
	return printJSON(c.JSON, r)
}

// memoryFree is what the machine could still give, in bytes.
func memoryFree() float64 {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return math.Inf(1)
	}
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "MemAvailable:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb * 1024
		}
	}
	return math.Inf(1)
}

type plainCommand struct {
	Ping time.Duration `default:"10s"`
}

func (c *plainCommand) Run() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	page, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector())
	go http.Serve(page, figures(reg))
	if err := printJSON(true, ready{Listen: ln.Addr().String(), Metrics: page.Addr().String()}); err != nil {
		return err
	}
	return load.ServeBaseline(ctx, ln, c.Ping)
}

// idle starts a director that takes so many idle connections, on one core.
func (p *processes) idle(n int, ping time.Duration) (*measuredProcess, error) {
	house := fmt.Sprintf(`{"director": {"name": "idle", "me": 0, "directors": 1}, "listen": "127.0.0.1:0", "metrics": "127.0.0.1:0",
		"list": {"address": "127.0.0.1:1"}, "tariffs": {"clip": {"goal_time": "1s", "hard_stop": "3s"}}, "ladder": {"rates": ["100kB/s"]},
		"fleet": {"cells": 1, "racks": 1, "link_unit": "1000kB/s", "uplink": "1000kB/s", "machines": {"box": 5}},
		"ramp": {"warmup": "1s", "cold_from": 0.5, "multiple": 4, "tip_after": "1s"}, "closing": {"within": "100ms"},
		"manners": {"ping_players": "%v"}, "limits": {"connections": %d}}`, ping, n*2)
	file := filepath.Join(p.dir, "idle.jsonc")
	if err := os.WriteFile(file, []byte(house), 0o600); err != nil {
		return nil, err
	}
	return p.start("serve", "--conf", file, "--boot", "1", "--seed", "1")
}

// start starts a process on one core that prints where it listens.
func (p *processes) start(args ...string) (*measuredProcess, error) {
	var told ready
	cmd, _, _, err := p.spawnWith([]string{"GOMAXPROCS=1"}, &told, args...)
	if err != nil {
		return nil, err
	}
	return &measuredProcess{cmd, told}, nil
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
	s := load.SetupLoad{Rate: c.Rate, Playing: c.Playing, Duration: c.For, Warmup: c.Warm, Nodes: c.Nodes, Racks: c.Racks, Titles: c.Titles,
		Connections: c.Connections, Seed: c.Seed}
	fmt.Printf("%d cores here, %d for the director; %g set-ups a second, %d sessions playing, %d nodes, %v after %v\n",
		runtime.NumCPU(), c.Cores, c.Rate, c.Playing, c.Nodes, c.For, c.Warm)
	direct, err := s.RunDirect(ctx)
	if err != nil {
		return err
	}
	p, err := newProcesses()
	if err != nil {
		return err
	}
	defer p.close()
	through, err := s.RunThroughDirector(ctx, func(house []byte) (load.Process, error) { return p.measured(house, c.Cores, c.Profile) })
	if err != nil {
		return err
	}
	fmt.Print(load.SetupTable(direct, through))
	fmt.Printf("added: p50 %.3f ms, p99 %.3f ms\n", through.P50-direct.P50, through.P99-direct.P99)
	if c.Chart != "" {
		if err := load.DrawLatencyChart(c.Chart, fmt.Sprintf("%g set-ups a second, %d playing, %d nodes", c.Rate, c.Playing, c.Nodes), direct, through); err != nil {
			return err
		}
	}
	return printJSON(c.JSON, map[string]any{"load": s, "cores": runtime.NumCPU(), "director_cores": c.Cores, "results": []*load.SetupResult{direct, through}})
}

// measured starts a director's process on so many cores.
func (p *processes) measured(house []byte, cores int, profile string) (*measuredProcess, error) {
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
	return &measuredProcess{cmd, told}, nil
}

type measuredProcess struct {
	cmd  *exec.Cmd
	told ready
}

func (m *measuredProcess) Address() string { return m.told.Listen }

// RSS reads the process's resident memory, in bytes.
func (m *measuredProcess) RSS() int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	if f := strings.Fields(string(raw)); len(f) > 1 {
		pages, _ := strconv.ParseInt(f[1], 10, 64)
		return pages * int64(os.Getpagesize())
	}
	return 0
}

// CollectGarbage makes the process collect its garbage, so that what it holds is what it needs.
func (m *measuredProcess) CollectGarbage() {
	if answer, err := http.Get("http://" + m.told.Metrics + "/debug/pprof/heap?gc=1"); err == nil {
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
}

// Metrics reads the process's metrics page; what has labels is left out.
func (m *measuredProcess) Metrics() map[string]float64 {
	all := map[string]float64{}
	answer, err := http.Get("http://" + m.told.Metrics + "/metrics")
	if err != nil {
		return all
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if name, value, ok := strings.Cut(lines.Text(), " "); ok && name != "#" {
			if x, err := strconv.ParseFloat(value, 64); err == nil {
				all[name] = x
			}
		}
	}
	return all
}

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
