package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"fordusher/closing"
	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/internal/simwire"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/reach"
)

// The variables that tell a director what it is.
const (
	envName    = "PROXY_NAME"
	envListen  = "PROXY_LISTEN"
	EnvPosting = "PROXY_CONFIG" // the file with all of it
)

// A Posting is what a director is told at its start.
type Posting struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Board string `json:"board"`
	Known struct {
		Rev     uint64   `json:"rev"`
		Notices []notice `json:"notices"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`

	trade *simwire.Config
}

// A notice is an event of the notice board in text.
type notice struct {
	Rev  uint64 `json:"rev"`
	Pool struct {
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	} `json:"pool"`
}

type target struct {
	ID       string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// states are those of a media node, by their numbers in frames; stateNames are theirs in text.
var (
	states     = [...]string{wire.Up, wire.Draining, wire.Removed}
	stateNames = map[string]string{"ready": wire.Up, "draining": wire.Draining, "gone": wire.Removed}
)

// A Wrong is a posting that can't be used; it names the variable, or the file and the place.
type Wrong string

func (w Wrong) Error() string { return string(w) }

func wrongf(format string, what ...any) error { return Wrong(fmt.Sprintf(format, what...)) }

// ReadPosting reads what the environment and the file that it names tell.
func ReadPosting(getenv func(string) string) (*Posting, error) {
	file := getenv(EnvPosting)
	if file == "" {
		return nil, wrongf("%s is not set: it names the file that tells a director what it is", EnvPosting)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, wrongf("%s: %v", EnvPosting, err)
	}
	p, err := parsePosting(text)
	if err != nil {
		return nil, wrongf("%s: %v", file, err)
	}
	if name := getenv(envName); name != "" {
		p.Name = name
	}
	if listen := getenv(envListen); listen != "" {
		p.Listen = listen
	}
	for _, x := range []struct{ what, address string }{{envListen + " or listen", p.Listen}, {"board", p.Board}} {
		if _, _, err := net.SplitHostPort(x.address); err != nil {
			return nil, wrongf("%s: %s is %q; it has to be host:port", file, x.what, x.address)
		}
	}
	if p.Name == "" {
		return nil, wrongf("%s: there is no name, and %s is not set", file, envName)
	}
	return p, nil
}

func parsePosting(text []byte) (*Posting, error) {
	p := &Posting{}
	if err := json.Unmarshal(text, p); err != nil {
		var at int64
		switch e := err.(type) {
		case *json.SyntaxError:
			at = e.Offset
		case *json.UnmarshalTypeError:
			at = e.Offset
		}
		return nil, fmt.Errorf("line %d: %w", 1+bytes.Count(text[:min(at, int64(len(text)))], []byte("\n")), err)
	}
	if len(p.Settings) == 0 {
		return nil, fmt.Errorf("settings: there are none")
	}
	trade, err := simwire.ParseConfig(p.Settings)
	if err != nil {
		return nil, err
	}
	if err := trade.Check(); err != nil {
		return nil, err
	}
	for _, x := range []struct {
		key   string
		value float64
	}{{"cores", p.Limits.Cores}, {"memory_mb", float64(p.Limits.MemoryMB)}, {"sockets", float64(p.Limits.Sockets)}} {
		if x.value < 0 {
			return nil, fmt.Errorf("limits: %s is %v; it has to be at least 0", x.key, x.value)
		}
	}
	p.trade = trade
	return p, nil
}

// Chance is what chance is drawn from: the seed, 16 hex digits.
func (p *Posting) Chance() (uint64, error) {
	n, err := strconv.ParseUint(p.Seed, 16, 64)
	if err != nil {
		return 0, wrongf("seed is %q; it has to be hex digits", p.Seed)
	}
	return n, nil
}

// Module starts the module with the settings, as on the simulator's wire.
func (p *Posting) Module(seed uint64) director.Decider { return p.trade.NewDirector(seed) }

// What a front's connections may cost, beside the limits that the platform states. A viewer's connection that has said
// nothing whole within silentMost is closed; the platform closes its own after 4 s.
const (
	silentMost  = 2 * time.Second
	writeMost   = time.Second
	viewerQueue = 256 << 10
	nodeQueue   = 256 << 10
	kernelMost  = 64 << 10
	boardQuiet  = 2200 * time.Millisecond
	answerAhead = 20 * time.Millisecond
	perViewer   = 256
	inboxMost   = 2048 // what is handed over at a start comes at once
	socketsKept = 40   // the program's files, pollers and listener, the board and who is being turned away
	silentShare = 8    // the part of the descriptors that viewers who have said nothing yet may hold
	fewSilent   = 16
	memoryPart  = 0.8 // of the limit: what the program may hold before it takes nobody more
	forever     = 24 * time.Hour
	keepPart    = 0.8 // of the time after which nodes close an idle connection: what is sent must not cross that
)

// House is what the loop and the daemon are told.
func (p *Posting) House(now time.Time) *conf.House {
	t := p.trade
	tariffs := t.Tariffs()
	h := &conf.House{
		Name: p.Name, Listen: p.Listen, List: p.Board, ListQuiet: boardQuiet, Ladder: t.Ladder(), Machines: t.Kinds,
	}
	goals := make([]time.Duration, len(tariffs))
	for i, x := range tariffs {
		h.Tariffs = append(h.Tariffs, director.Tariff{Name: t.Classes[i].Name, Tariff: x})
		goals[i] = x.GoalTime
	}
	h.Peers.Index, h.Peers.Directors, h.Peers.Zone = t.Index, t.Directors, t.Zone
	h.Fleet.Cells, h.Fleet.Racks = t.Family.Cells, t.Family.Racks
	connect := simwire.SecondsToDuration(t.Permissions.Connect)
	if connect <= 0 {
		connect = time.Second
	}
	h.Manners = director.Options{
		AnswerMargin: answerAhead, ConnectTimeout: connect, SessionsPerConnection: perViewer, NoHello: true, Detached: true,
	}
	h.Pace = reach.ReconnectPolicy{InitialBackoff: 100 * time.Millisecond, MaxBackoff: time.Second, MaxConcurrent: 64}
	h.Pace.IdleTimeout = time.Duration(keepPart * float64(simwire.SecondsToDuration(t.Permissions.Idle)))
	if every := simwire.SecondsToDuration(t.Family.ReportInterval); every > 0 { // a node with sessions is heard so often
		h.Pace.HeartbeatInterval = (every + time.Second) / 3
	}
	h.Term = closing.Policy{Timeout: p.closeWithin(), BatchInterval: 200 * time.Millisecond, MinDuration: p.closeLeast(), CloseTimeout: p.partWithin()}
	sockets := p.Limits.Sockets
	if sockets == 0 {
		sockets = 1024
	}
	silent := max(fewSilent, sockets/silentShare)
	h.Room = limits.Capacity{
		MaxConnections: sockets, MaxHandshakes: sockets, HeartbeatInterval: forever, IdleTimeout: time.Second, HandshakeTimeout: silentMost,
		MaxRetryAfter: time.Second, DisplaceIdleAfter: 250 * time.Millisecond, MaxDescriptors: sockets, ReservedDescriptors: socketsKept, PreHandshakeDescriptors: silent,
	}
	h.Pace.OnDemand = !h.Room.FitsNodes(t.Family.Cells)
	if p.Limits.MemoryMB > 0 {
		h.Room.MaxMemory = int64(float64(p.Limits.MemoryMB<<20) * memoryPart)
	}
	h.Queue = limits.QueuePolicy{MaxWait: limits.MaxQueueWait(goals), MaxRetryAfter: time.Second}
	h.Door = conf.Door{
		Players: transport.Bounds{Message: messageMost, Queue: viewerQueue, Write: writeMost, Handshake: silentMost,
			Kernel: kernelMost, Pending: silent},
		Nodes: transport.Bounds{Message: messageMost, Queue: nodeQueue, Write: writeMost},
		List:  transport.Bounds{Message: frameMost, Queue: nodeQueue, Write: writeMost},
		Inbox: inboxMost,
	}
	named := map[string]int{}
	for _, x := range p.Known.Notices { // the state that they come to
		if x.Pool.All {
			h.Nodes, named = nil, map[string]int{}
		}
		for _, e := range x.Pool.Targets {
			entry := e.entry(now)
			if i, ok := named[entry.Node]; ok {
				h.Nodes[i] = entry
				continue
			}
			named[entry.Node] = len(h.Nodes)
			h.Nodes = append(h.Nodes, entry)
		}
	}
	return h
}

// What the platform says of a director that is told to stop: it is killed no sooner than killAfter after the
// longest hard stop, which counts as stopMost where it is longer; who comes until lastAfter the order is owed an answer.
const (
	stopMost  = 3 * time.Second
	killAfter = 700 * time.Millisecond
	lastAfter = 700 * time.Millisecond
	leaveBy   = 300 * time.Millisecond // of killAfter: the rest is for what is still on its way out
	partMost  = 150 * time.Millisecond // for clients' connections to close
)

// longest is the longest hard stop, as it counts for an order to stop.
func (p *Posting) longest() (longest time.Duration) {
	for _, x := range p.trade.Tariffs() {
		longest = max(longest, x.HardStop)
	}
	return min(longest, stopMost)
}

// closeWithin is how long a director that is told to stop may take until the last answer is out.
func (p *Posting) closeWithin() time.Duration { return p.longest() + leaveBy }

// closeLeast is how long it stays for who still comes, and is gone by itself before it is killed.
func (p *Posting) closeLeast() time.Duration {
	return min(time.Second, lastAfter+p.longest()/2)
}

// partWithin is how long clients' connections may take to close at the end: half of what is left until it is killed.
func (p *Posting) partWithin() time.Duration {
	return min(partMost, (p.longest()+killAfter-max(p.closeWithin(), p.closeLeast()))/2)
}

func (e target) entry(now time.Time) wire.Entry {
	state, known := stateNames[e.State]
	if !known {
		state = wire.Draining // nothing is known to be allowed there
	}
	return wire.Entry{
		Node: e.ID, Address: e.Endpoint, State: state, Kind: e.Kind, Zone: e.Zone, Start: uint64(max(0, e.Boot)),
		Age: age(uint64(max(0, e.Boot)), now), Weight: e.Weight, Cell: max(0, e.Cell),
	}
}

// age is how long ago a Unix millisecond is, in ms; 0 where it is not told.
func age(started uint64, now time.Time) int64 {
	if started == 0 {
		return 0
	}
	return max(1, now.UnixMilli()-int64(min(started, 1<<62)))
}
