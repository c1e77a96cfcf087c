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
	Setups  setupsCommand  `cmd:"" help:"Set up sessions at a steady rate, and measure the latency that a director adds compared with clients that connect to the nodes directly."`
	Idle    idleCommand    `cmd:"" help:"Hold idle connections over sockets, and measure what each costs a director and a baseline server with a goroutine and a timer per connection."`
	Million millionCommand `cmd:"" help:"Hold idle connections in memory, and measure set-ups, drains and the case that all timers are due at once."`
	Run     runCommand     `cmd:"" help:"Run a scenario: parts with different client behaviors at the same time, over several processes, measured every second."`
	Client  clientCommand  `cmd:"" hidden:"" help:"A client process of a scenario."`
	Plain   plainCommand   `cmd:"" hidden:"" help:"The baseline server with a goroutine and a timer per connection."`
}

type idleCommand struct {
	Connections int           `help:"Number of idle connections; fewer if the limit on file descriptors requires it." default:"18000"`
	For         time.Duration `help:"How long the CPU time for idle connections is measured." default:"30s"`
	Ping        time.Duration `help:"Heartbeat interval of idle connections." default:"10s"`
	JSON        bool          `help:"Print the results as one JSON object on the last line."`
}

func (c *idleCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	const reservedDescriptors = 500
	n := min(c.Connections, int(min(limit.Cur, 1<<30))-reservedDescriptors) / 32 * 32
	fmt.Printf("limit of %d descriptors, %d connections, heartbeat interval %v, one core\n", limit.Cur, n, c.Ping)
	p, err := newProcesses()
	if err != nil {
		return err
	}
	defer p.close()
	idleLoad := load.IdleLoad{Connections: n, Duration: c.For, Ping: c.Ping}
	var results []*load.IdleResult
	for _, server := range []struct {
		name  string
		start func() (*measuredProcess, error)
	}{
		{"director", func() (*measuredProcess, error) { return p.startIdleDirector(n, c.Ping) }},
		{"goroutine and timer each", func() (*measuredProcess, error) { return p.startOnOneCore("load", "plain", "--ping", c.Ping.String()) }},
	} {
		process, err := server.start()
		if err != nil {
			return err
		}
		r, err := idleLoad.Run(ctx, server.name, process)
		process.Kill()
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	fmt.Print(load.IdleTable(results...))
	director, baseline := results[0], results[1]
	fmt.Printf("ratio of director to baseline: Go memory %.2f, RSS %.2f, CPU time %.2f\n",
		(director.Heap+director.Stacks)/(baseline.Heap+baseline.Stacks), director.RSS/baseline.RSS, director.CPU/baseline.CPU)
	return printJSON(c.JSON, map[string]any{"load": idleLoad, "results": results})
}

// printJSON prints x as one line of JSON if the --json flag is set.
func printJSON(enabled bool, x any) error {
	if !enabled {
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
	Connections int           `help:"Number of idle connections." default:"1000000"`
	Rate        float64       `help:"Set-ups per second." default:"500"`
	Ping        time.Duration `help:"Heartbeat interval of idle connections." default:"60s"`
	For         time.Duration `help:"Duration of each part of the measurement." default:"10s"`
	Nodes       int           `help:"Number of emulated nodes." default:"50"`
	Cores       int           `help:"Number of cores for the whole process." default:"1"`
	Climb       bool          `help:"Double the number of connections until a drain is late, an answer is missing or memory runs out, and print the reason."`
	JSON        bool          `help:"Print the results as one JSON object on the last line."`
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
		if reason := r.LimitReason(availableMemory()); reason != "" {
			fmt.Println("limit reached:", reason)
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

// availableMemory returns the memory that the machine has available, in bytes, or infinity if it is unknown.
func availableMemory() float64 {
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
	go http.Serve(page, metricsHandler(reg))
	if err := printJSON(true, readyMessage{Listen: ln.Addr().String(), Metrics: page.Addr().String()}); err != nil {
		return err
	}
	return load.ServeBaseline(ctx, ln, c.Ping)
}

// startIdleDirector starts a director on one core that accepts n idle connections. Its limit on connections is 2n.
func (p *processes) startIdleDirector(n int, ping time.Duration) (*measuredProcess, error) {
	config := fmt.Sprintf(`{"director": {"name": "idle", "me": 0, "directors": 1}, "listen": "127.0.0.1:0", "metrics": "127.0.0.1:0",
		"list": {"address": "127.0.0.1:1"}, "tariffs": {"clip": {"goal_time": "1s", "hard_stop": "3s"}}, "ladder": {"rates": ["100kB/s"]},
		"fleet": {"cells": 1, "racks": 1, "link_unit": "1000kB/s", "uplink": "1000kB/s", "machines": {"box": 5}},
		"ramp": {"warmup": "1s", "cold_from": 0.5, "multiple": 4, "tip_after": "1s"}, "closing": {"within": "100ms"},
		"manners": {"ping_players": "%v"}, "limits": {"connections": %d}}`, ping, n*2)
	file := filepath.Join(p.dir, "idle.jsonc")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return nil, err
	}
	return p.startOnOneCore("serve", "--conf", file, "--boot", "1", "--seed", "1")
}

// startOnOneCore starts a process on one core and reads the addresses that it prints.
func (p *processes) startOnOneCore(args ...string) (*measuredProcess, error) {
	var ready readyMessage
	cmd, _, _, err := p.spawnWithEnv([]string{"GOMAXPROCS=1"}, &ready, args...)
	if err != nil {
		return nil, err
	}
	return &measuredProcess{cmd, ready}, nil
}

type setupsCommand struct {
	Rate        float64       `help:"Set-ups per second." default:"5000"`
	Playing     int           `help:"Number of sessions that play at the same time." default:"10000"`
	For         time.Duration `help:"Duration of the measurement." default:"10s"`
	Warm        time.Duration `help:"Duration of the load before the measurement." default:"4s"`
	Nodes       int           `help:"Number of emulated nodes." default:"250"`
	Racks       int           `help:"Number of racks of the nodes." default:"36"`
	Titles      int           `help:"Number of titles." default:"500"`
	Connections int           `help:"Number of client connections." default:"200"`
	Cores       int           `help:"Number of cores of the director." default:"1"`
	Seed        uint64        `help:"Seed of the random source." default:"1"`
	Chart       string        `help:"Draw a chart of the latencies to this file (.svg or .png)." type:"path"`
	Profile     string        `help:"Write a CPU profile of the director to this file." type:"path"`
	JSON        bool          `help:"Print the results as one JSON object on the last line."`
}

func (c *setupsCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	s := load.SetupLoad{Rate: c.Rate, Playing: c.Playing, Duration: c.For, Warmup: c.Warm, Nodes: c.Nodes, Racks: c.Racks, Titles: c.Titles,
		Connections: c.Connections, Seed: c.Seed}
	fmt.Printf("%d cores, %d for the director; %g set-ups per second, %d sessions playing, %d nodes, measured for %v after a warm-up of %v\n",
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
	through, err := s.RunThroughDirector(ctx, func(config []byte) (load.Process, error) {
		return p.startDirectorOnCores(config, c.Cores, c.Profile)
	})
	if err != nil {
		return err
	}
	fmt.Print(load.SetupTable(direct, through))
	fmt.Printf("added latency: p50 %.3f ms, p99 %.3f ms\n", through.P50-direct.P50, through.P99-direct.P99)
	if c.Chart != "" {
		if err := load.DrawLatencyChart(c.Chart, fmt.Sprintf("%g set-ups per second, %d playing, %d nodes", c.Rate, c.Playing, c.Nodes), direct, through); err != nil {
			return err
		}
	}
	return printJSON(c.JSON, map[string]any{"load": s, "cores": runtime.NumCPU(), "director_cores": c.Cores,
		"results": []*load.SetupResult{direct, through}})
}

// startDirectorOnCores starts a director's process that uses the given number of cores.
func (p *processes) startDirectorOnCores(config []byte, cores int, profile string) (*measuredProcess, error) {
	file := filepath.Join(p.dir, "load.jsonc")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	var ready readyMessage
	args := []string{"serve", "--conf", file, "--boot", "1", "--seed", "1"}
	if profile != "" {
		args = append(args, "--profile", profile)
	}
	cmd, _, _, err := p.spawnWithEnv([]string{"GOMAXPROCS=" + strconv.Itoa(cores)}, &ready, args...)
	if err != nil {
		return nil, err
	}
	return &measuredProcess{cmd, ready}, nil
}

// A measuredProcess is a director or baseline server whose memory, CPU time and metrics are read while it runs.
type measuredProcess struct {
	cmd   *exec.Cmd
	ready readyMessage
}

func (m *measuredProcess) Address() string { return m.ready.Listen }

// RSS returns the process's resident memory, in bytes, or 0 if it can't be read.
func (m *measuredProcess) RSS() int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	if f := strings.Fields(string(raw)); len(f) > 1 {
		pages, _ := strconv.ParseInt(f[1], 10, 64)
		return pages * int64(os.Getpagesize())
	}
	return 0
}

// CollectGarbage makes the process run a garbage collection, so that its heap then has live objects only.
func (m *measuredProcess) CollectGarbage() {
	if response, err := http.Get("http://" + m.ready.Metrics + "/debug/pprof/heap?gc=1"); err == nil {
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

// Metrics returns the values of the process's metrics by name. Metrics with labels are left out.
func (m *measuredProcess) Metrics() map[string]float64 {
	values := map[string]float64{}
	response, err := http.Get("http://" + m.ready.Metrics + "/metrics")
	if err != nil {
		return values
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if name, value, ok := strings.Cut(lines.Text(), " "); ok && name != "#" {
			if x, err := strconv.ParseFloat(value, 64); err == nil {
				values[name] = x
			}
		}
	}
	return values
}

// Kill shuts the process down with SIGTERM, so that a CPU profile is written, and kills it if it does not exit in time.
func (m *measuredProcess) Kill() {
	m.cmd.Process.Signal(syscall.SIGTERM)
	killTimer := time.AfterFunc(processTimeout, func() { m.cmd.Process.Kill() })
	m.cmd.Wait()
	killTimer.Stop()
}

// CPU returns the CPU time that the process has used, or 0 if it can't be read. The kernel counts it in ticks of 10 ms.
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
