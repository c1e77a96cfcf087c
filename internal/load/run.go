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

//go:embed scenario_house.jsonc
var scenarioHouse string

var scenarioTemplate = template.Must(template.New("house").Parse(scenarioHouse))

// A Launcher starts the processes of a scenario.
type Launcher interface {
	// StartDirector starts a director on so many cores.
	StartDirector(house []byte, cores int) (MonitoredProcess, error)
	// StartClient starts a client process; what is written to in and read from out is as Client has it.
	StartClient() (in io.WriteCloser, out *bufio.Reader, end func(), err error)
}

// Run plays a scenario: each repeat without the parts that are to be left out, where there are any, and
// with all of them.
func (s *Scenario) Run(ctx context.Context, theatre Launcher, say func(format string, args ...any)) (*Archive, error) {
	a := &Archive{Header: ArchiveHeader{Scenario: s, Cores: runtime.NumCPU(), At: time.Now().UTC().Format(time.RFC3339)}}
	for repeat := range s.Repeats {
		for _, run := range []string{"without", "with"} {
			if run == "without" && len(s.ExcludedParts) == 0 {
				continue
			}
			rows, err := s.play(ctx, theatre, run, s.Seed+uint64(repeat))
			if err != nil {
				return nil, fmt.Errorf("%s, repeat %d: %w", run, repeat+1, err)
			}
			for i := range rows {
				rows[i].Repeat = repeat
			}
			a.Rows = append(a.Rows, rows...)
			say("%s, repeat %d of %d done", run, repeat+1, s.Repeats)
		}
	}
	return a, nil
}

// play is one run.
func (s *Scenario) play(ctx context.Context, theatre Launcher, run string, seed uint64) ([]ArchiveRow, error) {
	site := SetupLoad{Rate: 1, Playing: s.Playing, Nodes: s.Nodes, Racks: s.Racks, Titles: s.Titles, Seed: seed}
	st, err := site.open()
	if err != nil {
		return nil, err
	}
	defer st.close()
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
		m := st.machines[0]
		err := scenarioTemplate.Execute(&text, map[string]any{"Me": i, "Directors": s.Directors, "List": st.list.Address(), "Nodes": s.Nodes,
			"Racks": s.Racks, "Link": m.LinkRate, "Uplink": m.LinkRate * float64((s.Nodes+s.Racks-1)/s.Racks), "Places": m.MaxStreams,
			"Ping": s.Ping.String(), "Room": s.MaxConnections})
		if err != nil {
			return nil, err
		}
		d, err := theatre.StartDirector(text.Bytes(), s.Cores)
		if err != nil {
			return nil, err
		}
		directors = append(directors, d)
		addresses = append(addresses, d.Address())
	}
	time.Sleep(1500 * time.Millisecond) // connections to all nodes, and past the caution of a new director

	cast := make([]*client, s.Clients)
	for i := range cast {
		o := ClientOrder{Client: i, Seed: seed, Directors: addresses, Titles: s.Titles, Warmup: s.Warmup, Duration: s.Duration}
		for _, p := range s.Parts {
			if p = p.deal(i, s.Clients); p.Connections > 0 && (run == "with" || !slices.Contains(s.ExcludedParts, p.Name)) {
				o.Parts = append(o.Parts, p)
			}
		}
		c, err := hire(theatre, o)
		if err != nil {
			return nil, err
		}
		defer c.end()
		cast[i] = c
	}
	for i, c := range cast {
		if _, err := c.out.ReadBytes('\n'); err != nil {
			return nil, fmt.Errorf("client %d could not connect: %w", i, err)
		}
	}
	for _, d := range directors {
		d.CollectGarbage() // what connecting left behind is no part of what connections cost
	}
	began := rulecheck.MonotonicNow() + 200*time.Millisecond
	for _, c := range cast {
		if _, err := fmt.Fprintln(c.in, strconv.FormatInt(int64(began), 10)); err != nil {
			return nil, err
		}
	}
	seconds := int((s.Warmup+s.Duration)/time.Second) + 1
	var rows []ArchiveRow
	watched := make(chan []ArchiveRow)
	go func() { watched <- s.watch(directors, run, began, seconds) }()
	all := map[string]*ArchiveRow{}
	for _, c := range cast {
		if err := c.read(run, all, seconds*len(c.order.Parts)); err != nil {
			<-watched
			return nil, err
		}
	}
	for second := range seconds {
		for _, p := range s.Parts {
			if r := all[fmt.Sprint(second, p.Name)]; r != nil {
				if r.h != nil {
					if r.Latency, err = r.h.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err != nil {
						return nil, err
					}
				}
				rows = append(rows, *r)
			}
		}
	}
	return append(rows, <-watched...), ctx.Err()
}

// watch reads what the directors use, each second.
func (s *Scenario) watch(directors []MonitoredProcess, run string, began time.Duration, seconds int) (rows []ArchiveRow) {
	before := make([]time.Duration, len(directors))
	last := rulecheck.MonotonicNow()
	for i, d := range directors {
		before[i] = d.CPU()
	}
	for second := range seconds {
		time.Sleep(began + time.Duration(second+1)*time.Second - rulecheck.MonotonicNow())
		kernel := socketMemory()
		now := rulecheck.MonotonicNow()
		for i, d := range directors {
			figures := d.Metrics()
			cpu := d.CPU()
			rows = append(rows, ArchiveRow{Run: run, Sample: Sample{Second: second}, Director: i, Usage: &ProcessUsage{
				CPU: (cpu - before[i]).Seconds() / (now - last).Seconds(), RSS: float64(d.RSS()), Heap: figures["go_memstats_heap_inuse_bytes"],
				SocketMemory: kernel, Conns: figures["fordusher_player_connections"], LoopDelay: figures["fordusher_loop_late_seconds"],
				OverloadMode: figures["fordusher_room_mode"]}})
			before[i] = cpu
		}
		last = now
	}
	return rows
}

// A client is a client process as the parent has it.
type client struct {
	order ClientOrder
	in    io.WriteCloser
	out   *bufio.Reader
	end   func()
}

func hire(theatre Launcher, o ClientOrder) (*client, error) {
	line, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	c := &client{order: o}
	if c.in, c.out, c.end, err = theatre.StartClient(); err != nil {
		return nil, err
	}
	if _, err := c.in.Write(append(line, '\n')); err != nil {
		c.end()
		return nil, err
	}
	return c, nil
}

// read adds a client's samples to the rows of all.
func (c *client) read(run string, all map[string]*ArchiveRow, n int) error {
	d := json.NewDecoder(c.out)
	for range n {
		var x Sample
		if err := d.Decode(&x); err != nil {
			return fmt.Errorf("client %d ended: %w", c.order.Client, err)
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
			if r.h == nil {
				r.h = newHistogram()
			}
			r.h.Merge(h)
		}
	}
	return nil
}

// add adds another's counts.
func (s *Sample) add(x *Sample) {
	s.Due, s.Answered, s.Nacked, s.Errored = s.Due+x.Due, s.Answered+x.Answered, s.Nacked+x.Nacked, s.Errored+x.Errored
	s.Rejected, s.Lost, s.Open = s.Rejected+x.Rejected, s.Lost+x.Lost, s.Open+x.Open
}
