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
	Conf    string `help:"The director's file." required:"" type:"path"`
	Seed    uint64 `help:"What chance is drawn from; without it, the machine's own."`
	Profile string `help:"Write a profile of the processor time used into this file, until the director ends." type:"path"`
	Boot    string `help:"A word that no other run of this director has used; without it, the time."`
}

// ready is printed once players can connect: one JSON object on a line of standard output.
type ready struct {
	Listen  string `json:"listen"`
	Metrics string `json:"metrics,omitempty"`
}

func (c *serveCommand) Run() error {
	house, err := conf.Load(c.Conf)
	if err != nil {
		return err
	}
	// Before anybody is told that it is ready: an order to stop that came sooner ended it without an answer.
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
		debug.SetGCPercent(400) // a director's heap is small, and its time is not
	}
	level, pace, err := logLevel(os.Getenv)
	if err != nil {
		return badInput{err}
	}
	lines := asynclog.New(os.Stderr, pace)
	defer lines.Close(time.Second)
	logger := logger(lines).Level(level)
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return fmt.Errorf("the limit on descriptors: %w", err)
	}
	room, fitted := house.Capacity.FitDescriptors(int(min(descriptors.Cur, 1<<30)), house.Fleet.Cells)
	if fitted != "" {
		logger.Info().Msg(fitted)
	}
	house.Capacity, house.ConnectionLimits.Clients.MaxPendingHandshakes = room, room.MaxHandshakes
	d, err := daemon.Start(house, c.Boot, c.Seed, house.NewDecider(c.Seed), logger)
	if err != nil {
		return err
	}
	told := ready{Listen: d.Address()}
	if house.MetricsAddress != "" {
		ln, err := net.Listen("tcp", house.MetricsAddress)
		if err != nil {
			d.Kill()
			return fmt.Errorf("metrics at %s: %w", house.MetricsAddress, err)
		}
		reg := prometheus.NewRegistry()
		reg.MustRegister(d, collectors.NewGoCollector(), prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "fordusher_log_lines_left_out_total", Help: "log lines left out: too many at once, or nobody read them",
		}, func() float64 { return float64(lines.Dropped()) }))
		server := &http.Server{Handler: figures(reg), ReadHeaderTimeout: 5 * time.Second, WriteTimeout: lookMost, IdleTimeout: lookMost}
		go server.Serve(ln)
		defer server.Close()
		told.Metrics = ln.Addr().String()
	}
	line, err := json.Marshal(told)
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

// A look at the metrics may take so long, and so many may look at one time: who does not read holds no more of the
// director's descriptors and memory than that.
const (
	lookMost  = 30 * time.Second
	looksMost = 4
)

// figures serves a process's metrics, and the profiles of the standard library beside them.
func figures(reg *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: looksMost}))
	mux.HandleFunc("/debug/pprof/", httppprof.Index)
	return mux
}

type checkCommand struct {
	File string `arg:"" help:"The director's file." type:"path"`
}

func (c *checkCommand) Run() error {
	house, err := conf.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s\n", c.File, house.Summary())
	return nil
}
