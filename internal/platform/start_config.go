package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"fordusher/connector"
	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/internal/simwire"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/shutdown"
)

// The variables that tell a director what it is.
const (
	envName       = "PROXY_NAME"
	envListen     = "PROXY_LISTEN"
	EnvConfigFile = "PROXY_CONFIG" // the file with all of it
)

// A StartConfig is what a director is told at its start.
type StartConfig struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	DiscoveryAddress string `json:"board"`
	InitialDiscovery struct {
		Revision uint64            `json:"rev"`
		Updates  []discoveryUpdate `json:"notices"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`

	parsedSettings *simwire.Config
}

// A discoveryUpdate is an event of the notice board in text.
type discoveryUpdate struct {
	Revision uint64 `json:"rev"`
	Pool     struct {
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	} `json:"pool"`
}

type target struct {
	ID            string  `json:"uid"`
	Endpoint      string  `json:"endpoint"`
	Zone          string  `json:"az"`
	Kind          string  `json:"model"`
	Cell          int     `json:"pod_group"`
	State         string  `json:"state"`
	Weight        float64 `json:"capacity_hint"`
	StartedMillis int64   `json:"boot_ms"`
}

// nodeStates are those of a media node, by their numbers in frames; stateNames are theirs in text.
var (
	nodeStates   = [...]string{wire.Up, wire.Draining, wire.Removed}
	statesByName = map[string]string{"ready": wire.Up, "draining": wire.Draining, "gone": wire.Removed}
)

// A ConfigError is a posting that can't be used; it names the variable, or the file and the place.
type ConfigError string

func (w ConfigError) Error() string { return string(w) }

func configErrorf(format string, what ...any) error { return ConfigError(fmt.Sprintf(format, what...)) }

// ReadStartConfig reads what the environment and the file that it names tell.
func ReadStartConfig(getenv func(string) string) (*StartConfig, error) {
	file := getenv(EnvConfigFile)
	if file == "" {
		return nil, configErrorf("%s is not set: it names the file that tells a director what it is", EnvConfigFile)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, configErrorf("%s: %v", EnvConfigFile, err)
	}
	p, err := parseStartConfig(text)
	if err != nil {
		return nil, configErrorf("%s: %v", file, err)
	}
	if name := getenv(envName); name != "" {
		p.Name = name
	}
	if listen := getenv(envListen); listen != "" {
		p.Listen = listen
	}
	for _, x := range []struct{ what, address string }{{envListen + " or listen", p.Listen}, {"board", p.DiscoveryAddress}} {
		if _, _, err := net.SplitHostPort(x.address); err != nil {
			return nil, configErrorf("%s: %s is %q; it has to be host:port", file, x.what, x.address)
		}
	}
	if p.Name == "" {
		return nil, configErrorf("%s: there is no name, and %s is not set", file, envName)
	}
	return p, nil
}

func parseStartConfig(text []byte) (*StartConfig, error) {
	p := &StartConfig{}
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
	p.parsedSettings = trade
	return p, nil
}

// RandomSeed is what chance is drawn from: the seed, 16 hex digits.
func (p *StartConfig) RandomSeed() (uint64, error) {
	n, err := strconv.ParseUint(p.Seed, 16, 64)
	if err != nil {
		return 0, configErrorf("seed is %q; it has to be hex digits", p.Seed)
	}
	return n, nil
}

// NewDecider starts the module with the settings, as on the simulator's wire.
func (p *StartConfig) NewDecider(seed uint64) director.Decider {
	return p.parsedSettings.NewDirector(seed)
}

// What a front's connections may cost, beside the limits that the platform states. A viewer's connection that has said
// nothing whole within silentMost is closed; the platform closes its own after 4 s.
const (
	firstMessageTimeout      = 2 * time.Second
	writeTimeout             = time.Second
	clientQueueBytes         = 256 << 10
	nodeQueueBytes           = 256 << 10
	kernelBufferBytes        = 64 << 10
	discoverySilenceTimeout  = 2200 * time.Millisecond
	answerMargin             = 20 * time.Millisecond
	maxRequestsPerConnection = 256
	maxInboxPerPeer          = 2048 // what is handed over at a start comes at once
	reservedDescriptors      = 40   // the program's files, pollers and listener, the board and who is being turned away
	pendingDescriptorShare   = 8    // the part of the descriptors that viewers who have said nothing yet may hold
	minPendingConnections    = 16
	memoryFraction           = 0.8 // of the limit: what the program may hold before it takes nobody more
	pingDisabledInterval     = 24 * time.Hour
	idleTimeoutFraction      = 0.8 // of the time after which nodes close an idle connection: what is sent must not cross that
)

// Config is what the loop and the daemon are told.
func (p *StartConfig) Config(now time.Time) *conf.Config {
	t := p.parsedSettings
	tariffs := t.Tariffs()
	h := &conf.Config{
		Name: p.Name, ListenAddress: p.Listen, DiscoveryAddress: p.DiscoveryAddress, DiscoveryReadTimeout: discoverySilenceTimeout, Ladder: t.Ladder(), MachineKinds: t.Kinds,
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
	h.ProtocolOptions = director.Options{
		AnswerMargin: answerMargin, ConnectTimeout: connect, SessionsPerConnection: maxRequestsPerConnection, NoHello: true, Detached: true,
	}
	h.ReconnectPolicy = connector.ReconnectPolicy{InitialBackoff: 100 * time.Millisecond, MaxBackoff: time.Second, MaxConcurrent: 64}
	h.ReconnectPolicy.IdleTimeout = time.Duration(idleTimeoutFraction * float64(simwire.SecondsToDuration(t.Permissions.Idle)))
	if every := simwire.SecondsToDuration(t.Family.ReportInterval); every > 0 { // a node with sessions is heard so often
		h.ReconnectPolicy.HeartbeatInterval = (every + time.Second) / 3
	}
	h.ShutdownPolicy = shutdown.Policy{Timeout: p.shutdownTimeout(), BatchInterval: 200 * time.Millisecond, MinDuration: p.minShutdownTime(), CloseTimeout: p.clientCloseTimeout()}
	sockets := p.Limits.Sockets
	if sockets == 0 {
		sockets = 1024
	}
	silent := max(minPendingConnections, sockets/pendingDescriptorShare)
	h.Capacity = limits.Capacity{
		MaxConnections: sockets, MaxHandshakes: sockets, HeartbeatInterval: pingDisabledInterval, IdleTimeout: time.Second, HandshakeTimeout: firstMessageTimeout,
		MaxRetryAfter: time.Second, DisplaceIdleAfter: 250 * time.Millisecond, MaxDescriptors: sockets, ReservedDescriptors: reservedDescriptors, PreHandshakeDescriptors: silent,
	}
	h.ReconnectPolicy.OnDemand = !h.Capacity.FitsNodes(t.Family.Cells)
	if p.Limits.MemoryMB > 0 {
		h.Capacity.MaxMemory = int64(float64(p.Limits.MemoryMB<<20) * memoryFraction)
	}
	h.Queue = limits.QueuePolicy{MaxWait: limits.MaxQueueWait(goals), MaxRetryAfter: time.Second}
	h.ConnectionLimits = conf.ConnectionLimits{
		Clients: transport.Limits{MaxMessageBytes: maxMessageSize, MaxQueuedBytes: clientQueueBytes, WriteTimeout: writeTimeout, HandshakeTimeout: firstMessageTimeout,
			KernelBufferBytes: kernelBufferBytes, MaxPendingHandshakes: silent},
		Nodes:     transport.Limits{MaxMessageBytes: maxMessageSize, MaxQueuedBytes: nodeQueueBytes, WriteTimeout: writeTimeout},
		Discovery: transport.Limits{MaxMessageBytes: maxFrameSize, MaxQueuedBytes: nodeQueueBytes, WriteTimeout: writeTimeout},
		InboxSize: maxInboxPerPeer,
	}
	named := map[string]int{}
	for _, x := range p.InitialDiscovery.Updates { // the state that they come to
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
	maxCountedHardStop = 3 * time.Second
	killAfter          = 700 * time.Millisecond
	lateRequestWindow  = 700 * time.Millisecond
	shutdownMargin     = 300 * time.Millisecond // of killAfter: the rest is for what is still on its way out
	maxClientCloseTime = 150 * time.Millisecond // for clients' connections to close
)

// maxHardStop is the longest hard stop, as it counts for an order to stop.
func (p *StartConfig) maxHardStop() (longest time.Duration) {
	for _, x := range p.parsedSettings.Tariffs() {
		longest = max(longest, x.HardStop)
	}
	return min(longest, maxCountedHardStop)
}

// shutdownTimeout is how long a director that is told to stop may take until the last answer is out.
func (p *StartConfig) shutdownTimeout() time.Duration { return p.maxHardStop() + shutdownMargin }

// minShutdownTime is how long it stays for who still comes, and is gone by itself before it is killed.
func (p *StartConfig) minShutdownTime() time.Duration {
	return min(time.Second, lateRequestWindow+p.maxHardStop()/2)
}

// clientCloseTimeout is how long clients' connections may take to close at the end: half of what is left until it is killed.
func (p *StartConfig) clientCloseTimeout() time.Duration {
	return min(maxClientCloseTime, (p.maxHardStop()+killAfter-max(p.shutdownTimeout(), p.minShutdownTime()))/2)
}

func (e target) entry(now time.Time) wire.NodeEntry {
	state, known := statesByName[e.State]
	if !known {
		state = wire.Draining // nothing is known to be allowed there
	}
	return wire.NodeEntry{
		Node: e.ID, Address: e.Endpoint, State: state, MachineKind: e.Kind, Zone: e.Zone, Incarnation: uint64(max(0, e.StartedMillis)),
		UptimeMS: ageMillis(uint64(max(0, e.StartedMillis)), now), Weight: e.Weight, Cell: max(0, e.Cell),
	}
}

// ageMillis is how long ago a Unix millisecond is, in ms; 0 where it is not told.
func ageMillis(started uint64, now time.Time) int64 {
	if started == 0 {
		return 0
	}
	return max(1, now.UnixMilli()-int64(min(started, 1<<62)))
}
