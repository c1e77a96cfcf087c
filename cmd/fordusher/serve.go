package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	httppprof "net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"strconv"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"fordusher/internal/asynclog"
	"fordusher/internal/conf"
	"fordusher/internal/daemon"
)

type serveCommand struct {
	Conf    string `help:"The director's configuration file." required:"" type:"path"`
	Seed    uint64 `help:"Seed of the random source; by default it is taken from the operating system."`
	Profile string `help:"Write a CPU profile of the director's whole run to this file." type:"path"`
	Boot    string `help:"Identifier of this run, different from that of every other run of this director; by default the start time."`
}

// A readyMessage is printed once clients can connect, as one JSON object on a line of standard output. It has the
// addresses that the process listens on.
type readyMessage struct {
	Listen  string `json:"listen"`
	Metrics string `json:"metrics,omitempty"`
}

func (c *serveCommand) Run() error {
	config, err := conf.Load(c.Conf)
	if err != nil {
		return err
	}
	// The signals are caught before the process reports that it is ready: a SIGTERM that arrived before this call
	// ended the process without answers to its clients.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Seed == 0 {
		var b [8]byte
		rand.Read(b[:])
		c.Seed = binary.LittleEndian.Uint64(b[:])
	}
	if c.Boot == "" {
		c.Boot = strconv.FormatInt(time.Now().UnixMilli(), 36)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400) // a director's heap is small and its CPU time is not, so garbage is collected less often
	}
	level, rateLimit, err := logLevel(os.Getenv)
	if err != nil {
		return inputError{err}
	}
	logWriter := asynclog.New(os.Stderr, rateLimit)
	defer logWriter.Close(time.Second)
	logger := newLogger(logWriter).Level(level)
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return fmt.Errorf("reading the limit on file descriptors: %w", err)
	}
	capacity, adjustment := config.Capacity.FitDescriptors(int(min(descriptors.Cur, 1<<30)), config.Topology.Cells)
	if adjustment != "" {
		logger.Info().Msg(adjustment)
	}
	config.Capacity, config.ConnectionLimits.Clients.MaxPendingHandshakes = capacity, capacity.MaxHandshakes
	d, err := daemon.Start(config, c.Boot, c.Seed, config.NewDecider(c.Seed), logger)
	if err != nil {
		return err
	}
	addresses := readyMessage{Listen: d.Address()}
	if config.MetricsAddress != "" {
		ln, err := net.Listen("tcp", config.MetricsAddress)
		if err != nil {
			d.Kill()
			return fmt.Errorf("listening for metrics requests on %s: %w", config.MetricsAddress, err)
		}
		reg := prometheus.NewRegistry()
		reg.MustRegister(d, collectors.NewGoCollector(), prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "fordusher_log_lines_left_out_total", Help: "log lines dropped because they exceeded the rate limit or standard error was not read",
		}, func() float64 { return float64(logWriter.Dropped()) }))
		server := &http.Server{Handler: metricsHandler(reg), ReadHeaderTimeout: 5 * time.Second, WriteTimeout: metricsTimeout,
			IdleTimeout: metricsTimeout}
		go server.Serve(ln)
		defer server.Close()
		addresses.Metrics = ln.Addr().String()
	}
	line, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if c.Profile != "" {
		f, err := os.Create(c.Profile)
		if err != nil {
			d.Kill()
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			d.Kill()
			return err
		}
		defer pprof.StopCPUProfile()
	}
	select {
	case <-ctx.Done():
		d.Stop()
		<-d.Done()
	case <-d.Done():
	}
	return nil
}

// The time limit of a metrics request and the limit on concurrent ones. They bound the descriptors and the memory that
// are held for peers that do not read the response.
const (
	metricsTimeout     = 30 * time.Second
	maxMetricsRequests = 4
)

// metricsHandler serves a process's metrics, and the standard library's profiles under /debug/pprof/.
func metricsHandler(reg *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}))
	mux.HandleFunc("/debug/pprof/", httppprof.Index)
	return mux
}

type checkCommand struct {
	File string `arg:"" help:"The director's configuration file." type:"path"`
}

func (c *checkCommand) Run() error {
	config, err := conf.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s\n", c.File, config.Summary())
	return nil
}
