package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"text/template"
	"time"

	_ "embed"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fordusher/internal/rulecheck"
)

//go:embed scenario_director.jsonc
var scenarioConfigText string

var scenarioConfigTemplate = template.Must(template.New("scenario_director.jsonc").Parse(scenarioConfigText))

// A Launcher starts the processes of a scenario.
type Launcher interface {
	// StartDirector starts a director with a config on a number of cores.
	StartDirector(config []byte, cores int) (MonitoredProcess, error)
	// StartClient starts a client process. RunClient describes what is written to in and read from out.
	StartClient() (in io.WriteCloser, out *bufio.Reader, end func(), err error)
}

// Run runs a scenario. Each repeat runs once with all parts and, if the scenario excludes parts, before that once
// without the excluded ones.
func (s *Scenario) Run(ctx context.Context, launcher Launcher, logf func(format string, args ...any)) (*Archive, error) {
	a := &Archive{Header: ArchiveHeader{Scenario: s, Cores: runtime.NumCPU(), At: time.Now().UTC().Format(time.RFC3339)}}
	for repeat := range s.Repeats {
		for _, run := range []string{"without", "with"} {
			if run == "without" && len(s.ExcludedParts) == 0 {
				continue
			}
			rows, err := s.runOnce(ctx, launcher, run, s.Seed+uint64(repeat))
			if err != nil {
				return nil, fmt.Errorf("%s, repeat %d: %w", run, repeat+1, err)
			}
			for i := range rows {
				rows[i].Repeat = repeat
			}
			a.Rows = append(a.Rows, rows...)
			logf("%s, repeat %d of %d done", run, repeat+1, s.Repeats)
		}
	}
	return a, nil
}

// runOnce runs the scenario once, with or without the excluded parts.
func (s *Scenario) runOnce(ctx context.Context, launcher Launcher, run string, seed uint64) ([]ArchiveRow, error) {
	load := SetupLoad{Rate: 1, Playing: s.Playing, Nodes: s.Nodes, Racks: s.Racks, Titles: s.Titles, Seed: seed}
	f, err := load.startFixture()
	if err != nil {
		return nil, err
	}
	defer f.close()
	var directors []MonitoredProcess
	defer func() {
		var wait sync.WaitGroup
		for _, d := range directors {
			wait.Go(d.Kill)
		}
		wait.Wait()
	}()
	var addresses []string
	for i := range s.Directors {
		var text bytes.Buffer
		spec := f.nodeSpecs[0]
		err := scenarioConfigTemplate.Execute(&text, map[string]any{"Me": i, "Directors": s.Directors, "List": f.discovery.Address(),
			"Nodes": s.Nodes,
			"Racks": s.Racks, "Link": spec.LinkRate, "Uplink": spec.LinkRate * float64((s.Nodes+s.Racks-1)/s.Racks), "Places": spec.MaxStreams,
			"Ping": s.Ping.String(), "Room": s.MaxConnections})
		if err != nil {
			return nil, err
		}
		d, err := launcher.StartDirector(text.Bytes(), s.Cores)
		if err != nil {
			return nil, err
		}
		directors = append(directors, d)
		addresses = append(addresses, d.Address())
	}
	time.Sleep(1500 * time.Millisecond) // until the director has connected to all nodes and the slow start after its own start is over

	clients := make([]*clientProcess, s.Clients)
	for i := range clients {
		config := ClientConfig{Client: i, Seed: seed, Directors: addresses, Titles: s.Titles, Warmup: s.Warmup, Duration: s.Duration}
		for _, p := range s.Parts {
			if p = p.share(i, s.Clients); p.Connections > 0 && (run == "with" || !slices.Contains(s.ExcludedParts, p.Name)) {
				config.Parts = append(config.Parts, p)
			}
		}
		client, err := startClient(launcher, config)
		if err != nil {
			return nil, err
		}
		defer client.end()
		clients[i] = client
	}
	for i, client := range clients {
		if _, err := client.out.ReadBytes('\n'); err != nil {
			return nil, fmt.Errorf("client %d could not connect: %w", i, err)
		}
	}
	for _, d := range directors {
		d.CollectGarbage() // garbage from connecting must not count as memory of the connections
	}
	startedAt := rulecheck.MonotonicNow() + 200*time.Millisecond
	for _, client := range clients {
		if _, err := fmt.Fprintln(client.in, strconv.FormatInt(int64(startedAt), 10)); err != nil {
			return nil, err
		}
	}
	seconds := int((s.Warmup+s.Duration)/time.Second) + 1
	var rows []ArchiveRow
	usageRows := make(chan []ArchiveRow)
	go func() { usageRows <- s.monitor(directors, run, startedAt, seconds) }()
	all := map[string]*ArchiveRow{}
	for _, client := range clients {
		if err := client.read(run, all, seconds*len(client.config.Parts)); err != nil {
			<-usageRows
			return nil, err
		}
	}
	for second := range seconds {
		for _, p := range s.Parts {
			if r := all[fmt.Sprint(second, p.Name)]; r != nil {
				if r.histogram != nil {
					if r.Latency, err = r.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err != nil {
						return nil, err
					}
				}
				rows = append(rows, *r)
			}
		}
	}
	return append(rows, <-usageRows...), ctx.Err()
}

// monitor reads the resource usage of the directors each second.
func (s *Scenario) monitor(directors []MonitoredProcess, run string, startedAt time.Duration, seconds int) (rows []ArchiveRow) {
	before := make([]time.Duration, len(directors))
	last := rulecheck.MonotonicNow()
	for i, d := range directors {
		before[i] = d.CPU()
	}
	for second := range seconds {
		time.Sleep(startedAt + time.Duration(second+1)*time.Second - rulecheck.MonotonicNow())
		sockets := socketMemory()
		now := rulecheck.MonotonicNow()
		for i, d := range directors {
			metrics := d.Metrics()
			cpu := d.CPU()
			rows = append(rows, ArchiveRow{Run: run, Sample: Sample{Second: second}, Director: i, Usage: &ProcessUsage{
				CPU: (cpu - before[i]).Seconds() / (now - last).Seconds(), RSS: float64(d.RSS()), Heap: metrics["go_memstats_heap_inuse_bytes"],
				SocketMemory: sockets, Conns: metrics["fordusher_player_connections"], LoopDelay: metrics["fordusher_loop_late_seconds"],
				OverloadMode: metrics["fordusher_room_mode"]}})
			before[i] = cpu
		}
		last = now
	}
	return rows
}

// A clientProcess is the parent's handle on a client process.
type clientProcess struct {
	config ClientConfig
	in     io.WriteCloser
	out    *bufio.Reader
	end    func()
}

// startClient starts a client process and sends it its configuration.
func startClient(launcher Launcher, config ClientConfig) (*clientProcess, error) {
	line, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	c := &clientProcess{config: config}
	if c.in, c.out, c.end, err = launcher.StartClient(); err != nil {
		return nil, err
	}
	if _, err := c.in.Write(append(line, '\n')); err != nil {
		c.end()
		return nil, err
	}
	return c, nil
}

// read reads n samples from a client process and adds them to the rows of all processes.
func (c *clientProcess) read(run string, all map[string]*ArchiveRow, n int) error {
	d := json.NewDecoder(c.out)
	for range n {
		var x Sample
		if err := d.Decode(&x); err != nil {
			return fmt.Errorf("client %d ended: %w", c.config.Client, err)
		}
		key := fmt.Sprint(x.Second, x.Part)
		r := all[key]
		if r == nil {
			r = &ArchiveRow{Run: run, Sample: Sample{Second: x.Second, Part: x.Part}}
			all[key] = r
		}
		r.add(&x)
		if len(x.Latency) > 0 {
			h, err := hdrhistogram.Decode(x.Latency)
			if err != nil {
				return err
			}
			if r.histogram == nil {
				r.histogram = newHistogram()
			}
			r.histogram.Merge(h)
		}
	}
	return nil
}

// add adds the counts of another sample.
func (s *Sample) add(x *Sample) {
	s.Due, s.Answered, s.Nacked, s.Errored = s.Due+x.Due, s.Answered+x.Answered, s.Nacked+x.Nacked, s.Errored+x.Errored
	s.Rejected, s.Lost, s.Open = s.Rejected+x.Rejected, s.Lost+x.Lost, s.Open+x.Open
}
