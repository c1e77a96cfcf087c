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

// processes starts directors, nodes and clients as processes of this same program, so that they can be killed with
// SIGKILL. Its directory has their files and their common log.
type processes struct {
	program string
	dir     string
}

func newProcesses() (*processes, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fordusher-day-")
	return &processes{program, dir}, err
}

func (p *processes) close() { os.RemoveAll(p.dir) }

// processTimeout is how long a process may take to report that it is ready, and how long to exit when it is shut down.
const processTimeout = 10 * time.Second

// spawn starts a process and reads its first line into ready.
func (p *processes) spawn(ready any, args ...string) (*exec.Cmd, io.WriteCloser, *bufio.Reader, error) {
	return p.spawnWithEnv(nil, ready, args...)
}

// launch starts a process, with env added to its environment.
func (p *processes) launch(env []string, args ...string) (*exec.Cmd, io.WriteCloser, *bufio.Reader, error) {
	cmd := exec.Command(p.program, args...)
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

// spawnWithEnv starts a process, with env added to its environment, and reads its first line into ready.
func (p *processes) spawnWithEnv(env []string, ready any, args ...string) (*exec.Cmd, io.WriteCloser, *bufio.Reader, error) {
	cmd, in, r, err := p.launch(env, args...)
	if err != nil {
		return nil, nil, nil, err
	}
	killTimer := time.AfterFunc(processTimeout, func() { cmd.Process.Kill() })
	defer killTimer.Stop()
	line, err := r.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, ready)
	}
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		log, _ := os.ReadFile(filepath.Join(p.dir, "log"))
		return nil, nil, nil, fmt.Errorf("the %s process did not start: %v: %s", args[0], err, log)
	}
	return cmd, in, r, nil
}

// StartDirector starts a director's process.
func (p *processes) StartDirector(config []byte, name, boot string, seed uint64) (day.DirectorHandle, error) {
	file := filepath.Join(p.dir, name+".jsonc")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	var ready readyMessage
	cmd, _, _, err := p.spawn(&ready, "serve", "--conf", file, "--boot", boot, "--seed", strconv.FormatUint(seed, 10))
	if err != nil {
		return nil, err
	}
	d := &directorProcess{cmd: cmd, address: ready.Listen, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(d.done)
	}()
	return d, nil
}

// A directorProcess implements day.DirectorHandle for a director that runs as a process.
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

// StartNodes starts one process that runs all emulated nodes. It calls onOverload with the name of each node that fails
// because of overload.
func (p *processes) StartNodes(seed uint64, environment node.Environment, specs []node.Spec, _ *rulecheck.Recorder,
	onOverload func(string)) (day.NodeFleet, error) {
	spec, err := json.Marshal(nodesSpec{seed, environment, specs})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(p.dir, "farm.json")
	if err := os.WriteFile(file, spec, 0o600); err != nil {
		return nil, err
	}
	n := &nodesProcess{recordFile: filepath.Join(p.dir, "nodes.zst"), replies: make(chan nodeReply, 1)}
	var r *bufio.Reader
	if n.cmd, n.in, r, err = p.spawn(&n.addresses, "node", "--farm", file); err != nil {
		return nil, err
	}
	go n.read(r, onOverload)
	return n, nil
}

// A nodesSpec is the file that the node command reads: the nodes to emulate and their environment.
type nodesSpec struct {
	Seed        uint64           `json:"seed"`
	Environment node.Environment `json:"site"`
	Specs       []node.Spec      `json:"machines"`
}

// A nodeRequest is a line that the nodes' process reads from standard input. Each request has one reply.
type nodeRequest struct {
	Fault   *node.Fault `json:"fault,omitempty"`
	StartOf string      `json:"start,omitempty"` // a node's name; the reply has the number and the age of its current start
	SaveTo  string      `json:"save,omitempty"`  // a file to write the records so far to
}

// A nodeReply is a line that the nodes' process prints in reply to a nodeRequest. A line with Overloaded is not a
// reply: it reports that the named node has failed because of overload.
type nodeReply struct {
	Start      uint64        `json:"start,omitempty"`
	Age        time.Duration `json:"age,omitempty"`
	Error      string        `json:"error,omitempty"`
	Overloaded string        `json:"fell,omitempty"`
}

// A nodesProcess implements day.NodeFleet for nodes that run in one process.
type nodesProcess struct {
	cmd        *exec.Cmd
	in         io.WriteCloser
	addresses  map[string]string
	recordFile string
	mu         sync.Mutex // held during a request, so that there is one at a time
	replies    chan nodeReply
}

// read passes the process's replies to call, and calls onOverload for each report of a failed node.
func (n *nodesProcess) read(r *bufio.Reader, onOverload func(string)) {
	defer close(n.replies)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return
		}
		var reply nodeReply
		if json.Unmarshal(line, &reply) != nil {
			continue
		}
		if reply.Overloaded != "" {
			onOverload(reply.Overloaded)
			continue
		}
		n.replies <- reply
	}
}

// call sends a request to the process and waits for the reply.
func (n *nodesProcess) call(request nodeRequest) (nodeReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	line, err := json.Marshal(request)
	if err != nil {
		return nodeReply{}, err
	}
	if _, err := n.in.Write(append(line, '\n')); err != nil {
		return nodeReply{}, err
	}
	reply, ok := <-n.replies
	if !ok {
		return reply, errors.New("the nodes' process has ended")
	}
	if reply.Error != "" {
		return reply, errors.New(reply.Error)
	}
	return reply, nil
}

func (n *nodesProcess) Address(name string) string { return n.addresses[name] }

func (n *nodesProcess) Start(name string) (uint64, time.Duration) {
	reply, _ := n.call(nodeRequest{StartOf: name})
	return reply.Start, reply.Age
}

func (n *nodesProcess) Inject(fault node.Fault) { n.call(nodeRequest{Fault: &fault}) }

func (n *nodesProcess) Records() ([]rulecheck.Record, error) {
	if _, err := n.call(nodeRequest{SaveTo: n.recordFile}); err != nil {
		return nil, err
	}
	_, records, err := resultarchive.Load[rulecheck.Limits, rulecheck.Record](n.recordFile)
	return records, err
}

func (n *nodesProcess) Close() {
	n.in.Close()
	killTimer := time.AfterFunc(processTimeout, func() { n.cmd.Process.Kill() })
	n.cmd.Wait()
	killTimer.Stop()
}

type nodeCommand struct {
	Farm string `help:"File with the nodes to emulate: {\"seed\", \"site\", \"machines\"}, where site is a node.Environment and machines are node.Specs." required:"" type:"path"`
}

// Run starts emulated nodes, prints their addresses as one JSON object, and answers requests from standard input until
// its end.
func (c *nodeCommand) Run() error {
	raw, err := os.ReadFile(c.Farm)
	if err != nil {
		return err
	}
	var spec nodesSpec
	if err := json.Unmarshal(raw, &spec); err != nil {
		return fmt.Errorf("%s: %w", c.Farm, err)
	}
	if len(spec.Environment.Uplinks) == 0 || len(spec.Specs) == 0 {
		return fmt.Errorf("%s: there must be at least one rack (site.uplinks_kb) and one machine", c.Farm)
	}
	for _, m := range spec.Specs {
		if m.Name == "" || m.Rack < 0 || m.Rack >= len(spec.Environment.Uplinks) || m.LinkRate <= 0 || m.MaxStreams <= 0 {
			return fmt.Errorf("%s: machine %q needs a name, places, link_kb and one of the %d racks", c.Farm, m.Name, len(spec.Environment.Uplinks))
		}
	}
	var recorder rulecheck.Recorder
	var mu sync.Mutex
	printLine := func(x any) {
		mu.Lock()
		defer mu.Unlock()
		json.NewEncoder(os.Stdout).Encode(x)
	}
	host, err := node.StartHost(node.NewModel(spec.Seed, spec.Environment, spec.Specs), &recorder,
		func(name string) { printLine(nodeReply{Overloaded: name}) })
	if err != nil {
		return err
	}
	defer host.Close()
	addresses := map[string]string{}
	for _, m := range spec.Specs {
		addresses[m.Name] = host.Address(m.Name)
	}
	printLine(addresses)
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		var request nodeRequest
		var reply nodeReply
		if err := json.Unmarshal(in.Bytes(), &request); err != nil {
			reply.Error = err.Error()
		}
		if request.Fault != nil {
			host.Inject(*request.Fault)
		}
		if request.StartOf != "" {
			if addresses[request.StartOf] == "" {
				reply.Error = "no node " + request.StartOf
			} else {
				reply.Start, reply.Age = host.Start(request.StartOf)
			}
		}
		if request.SaveTo != "" {
			if err := resultarchive.Save(request.SaveTo, rulecheck.Limits{}, recorder.Records()); err != nil {
				reply.Error = err.Error()
			}
		}
		printLine(reply)
	}
	return in.Err()
}
