package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"fordusher/internal/day"
	"fordusher/internal/emulated/node"
	"fordusher/internal/resultarchive"
	"fordusher/internal/rulecheck"
)

// processes starts a day's parts as processes of this same program, so that they can be killed outright.
type processes struct {
	self string
	dir  string
}

func newProcesses() (*processes, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fordusher-day-")
	return &processes{self, dir}, err
}

func (p *processes) close() { os.RemoveAll(p.dir) }

// startWithin is how long a process has until it says that it is ready.
const startWithin = 10 * time.Second

// spawn starts a process and reads its first line into ready.
func (p *processes) spawn(ready any, args ...string) (*exec.Cmd, io.WriteCloser, *bufio.Reader, error) {
	return p.spawnWith(nil, ready, args...)
}

// launch starts a process, with more in its environment.
func (p *processes) launch(env []string, args ...string) (*exec.Cmd, io.WriteCloser, *bufio.Reader, error) {
	cmd := exec.Command(p.self, args...)
	cmd.Env = append(os.Environ(), env...)
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, nil, err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, nil, err
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, nil, nil, err
	}
	return cmd, in, bufio.NewReader(out), nil
}

// spawnWith launches a process and reads its first line into ready.
func (p *processes) spawnWith(env []string, ready any, args ...string) (*exec.Cmd, io.WriteCloser, *bufio.Reader, error) {
	cmd, in, r, err := p.launch(env, args...)
	if err != nil {
		return nil, nil, nil, err
	}
	overdue := time.AfterFunc(startWithin, func() { cmd.Process.Kill() })
	defer overdue.Stop()
	line, err := r.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, ready)
	}
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		said, _ := os.ReadFile(filepath.Join(p.dir, "log"))
		return nil, nil, nil, fmt.Errorf("%s did not start: %v: %s", args[0], err, said)
	}
	return cmd, in, r, nil
}

// StartDirector starts a director's process.
func (p *processes) StartDirector(house []byte, name, boot string, seed uint64) (day.DirectorHandle, error) {
	file := filepath.Join(p.dir, name+".jsonc")
	if err := os.WriteFile(file, house, 0o600); err != nil {
		return nil, err
	}
	var told ready
	cmd, _, _, err := p.spawn(&told, "serve", "--conf", file, "--boot", boot, "--seed", strconv.FormatUint(seed, 10))
	if err != nil {
		return nil, err
	}
	d := &directorProcess{cmd: cmd, address: told.Listen, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(d.done)
	}()
	return d, nil
}

type directorProcess struct {
	cmd     *exec.Cmd
	address string
	done    chan struct{}
}

func (d *directorProcess) Address() string       { return d.address }
func (d *directorProcess) Done() <-chan struct{} { return d.done }
func (d *directorProcess) Stop()                 { d.cmd.Process.Signal(syscall.SIGTERM) }
func (d *directorProcess) Kill() {
	d.cmd.Process.Kill()
	<-d.done
}

// StartNodes starts the nodes' process.
func (p *processes) StartNodes(seed uint64, site node.Environment, machines []node.Spec, _ *rulecheck.Recorder, fell func(string)) (day.NodeFleet, error) {
	spec, err := json.Marshal(farmSpec{seed, site, machines})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(p.dir, "farm.json")
	if err := os.WriteFile(file, spec, 0o600); err != nil {
		return nil, err
	}
	f := &fleetProcess{record: filepath.Join(p.dir, "nodes.zst"), replies: make(chan reply, 1)}
	var r *bufio.Reader
	if f.cmd, f.in, r, err = p.spawn(&f.addresses, "node", "--farm", file); err != nil {
		return nil, err
	}
	go f.read(r, fell)
	return f, nil
}

type farmSpec struct {
	Seed     uint64           `json:"seed"`
	Site     node.Environment `json:"site"`
	Machines []node.Spec      `json:"machines"`
}

// An order is a line that a node process reads on standard input; each has one reply.
type order struct {
	Fault *node.Fault `json:"fault,omitempty"`
	Start string      `json:"start,omitempty"` // tell which start a node is in
	Save  string      `json:"save,omitempty"`  // write the record so far to a file
}

// A reply answers an order; a line with Fell comes by itself.
type reply struct {
	Start uint64        `json:"start,omitempty"`
	Age   time.Duration `json:"age,omitempty"`
	Error string        `json:"error,omitempty"`
	Fell  string        `json:"fell,omitempty"`
}

type fleetProcess struct {
	cmd       *exec.Cmd
	in        io.WriteCloser
	addresses map[string]string
	record    string
	mu        sync.Mutex // one order at a time
	replies   chan reply
}

func (f *fleetProcess) read(r *bufio.Reader, fell func(string)) {
	defer close(f.replies)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return
		}
		var x reply
		if json.Unmarshal(line, &x) != nil {
			continue
		}
		if x.Fell != "" {
			fell(x.Fell)
			continue
		}
		f.replies <- x
	}
}

func (f *fleetProcess) order(o order) (reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line, err := json.Marshal(o)
	if err != nil {
		return reply{}, err
	}
	if _, err := f.in.Write(append(line, '\n')); err != nil {
		return reply{}, err
	}
	x, ok := <-f.replies
	if !ok {
		return x, errors.New("the nodes' process has ended")
	}
	if x.Error != "" {
		return x, errors.New(x.Error)
	}
	return x, nil
}

func (f *fleetProcess) Address(name string) string { return f.addresses[name] }

func (f *fleetProcess) Start(name string) (uint64, time.Duration) {
	x, _ := f.order(order{Start: name})
	return x.Start, x.Age
}

func (f *fleetProcess) Inject(x node.Fault) { f.order(order{Fault: &x}) }

func (f *fleetProcess) Records() ([]rulecheck.Record, error) {
	if _, err := f.order(order{Save: f.record}); err != nil {
		return nil, err
	}
	_, records, err := resultarchive.Load[rulecheck.Limits, rulecheck.Record](f.record)
	return records, err
}

func (f *fleetProcess) Close() {
	f.in.Close()
	ended := time.AfterFunc(startWithin, func() { f.cmd.Process.Kill() })
	f.cmd.Wait()
	ended.Stop()
}

type nodeCommand struct {
	Farm string `help:"What nodes there are: {\"seed\", \"site\", \"machines\"}, as node.Site and node.Machine have them." required:"" type:"path"`
}

// Run starts stand-in nodes, prints their addresses as one JSON object, and takes orders on standard
// input until that ends.
func (c *nodeCommand) Run() error {
	raw, err := os.ReadFile(c.Farm)
	if err != nil {
		return err
	}
	var spec farmSpec
	if err := json.Unmarshal(raw, &spec); err != nil {
		return fmt.Errorf("%s: %w", c.Farm, err)
	}
	if len(spec.Site.Uplinks) == 0 || len(spec.Machines) == 0 {
		return fmt.Errorf("%s: no racks or no machines", c.Farm)
	}
	for _, m := range spec.Machines {
		if m.Name == "" || m.Rack < 0 || m.Rack >= len(spec.Site.Uplinks) || m.LinkRate <= 0 || m.MaxStreams <= 0 {
			return fmt.Errorf("%s: machine %q needs a name, places, link_kb and one of the %d racks", c.Farm, m.Name, len(spec.Site.Uplinks))
		}
	}
	var record rulecheck.Recorder
	var mu sync.Mutex
	say := func(x any) {
		mu.Lock()
		defer mu.Unlock()
		json.NewEncoder(os.Stdout).Encode(x)
	}
	host, err := node.StartHost(node.NewModel(spec.Seed, spec.Site, spec.Machines), &record, func(name string) { say(reply{Fell: name}) })
	if err != nil {
		return err
	}
	defer host.Close()
	addresses := map[string]string{}
	for _, m := range spec.Machines {
		addresses[m.Name] = host.Address(m.Name)
	}
	say(addresses)
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		var o order
		var x reply
		if err := json.Unmarshal(in.Bytes(), &o); err != nil {
			x.Error = err.Error()
		}
		if o.Fault != nil {
			host.Inject(*o.Fault)
		}
		if o.Start != "" {
			if addresses[o.Start] == "" {
				x.Error = "no node " + o.Start
			} else {
				x.Start, x.Age = host.Start(o.Start)
			}
		}
		if o.Save != "" {
			if err := resultarchive.Save(o.Save, rulecheck.Limits{}, record.Records()); err != nil {
				x.Error = err.Error()
			}
		}
		say(x)
	}
	return in.Err()
}
