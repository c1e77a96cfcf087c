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

// The environment variables that configure a director. The first two override the fields of the same meaning in the
// file that the third one names.
const (
	envName       = "PROXY_NAME"
	envListen     = "PROXY_LISTEN"
	EnvConfigFile = "PROXY_CONFIG" // path of the start configuration file
)

// A StartConfig is a director's start configuration: the content of the file that EnvConfigFile names.
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

// A discoveryUpdate is a discovery event in JSON: some nodes, or all nodes if All is set.
type discoveryUpdate struct {
	Revision uint64 `json:"rev"`
	Pool     struct {
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	} `json:"pool"`
}

// A target is the entry of one node in a discoveryUpdate.
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

// nodeStates lists a node's states by their number in frames; statesByName maps their names in JSON.
var (
	nodeStates   = [...]string{wire.Up, wire.Draining, wire.Removed}
	statesByName = map[string]string{"ready": wire.Up, "draining": wire.Draining, "gone": wire.Removed}
)

// A ConfigError reports an invalid start configuration. It names the environment variable, or the file and the key or
// line.
type ConfigError string

func (e ConfigError) Error() string { return string(e) }

func configErrorf(format string, args ...any) error { return ConfigError(fmt.Sprintf(format, args...)) }

// ReadStartConfig reads the start configuration from the environment and from the file that it names.
func ReadStartConfig(getenv func(string) string) (*StartConfig, error) {
	file := getenv(EnvConfigFile)
	if file == "" {
		return nil, configErrorf("%s is not set; it has to name the start configuration file", EnvConfigFile)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, configErrorf("%s: %v", EnvConfigFile, err)
	}
	c, err := parseStartConfig(text)
	if err != nil {
		return nil, configErrorf("%s: %v", file, err)
	}
	if name := getenv(envName); name != "" {
		c.Name = name
	}
	if listen := getenv(envListen); listen != "" {
		c.Listen = listen
	}
	for _, x := range []struct{ source, address string }{{envListen + " or listen", c.Listen}, {"board", c.DiscoveryAddress}} {
		if _, _, err := net.SplitHostPort(x.address); err != nil {
			return nil, configErrorf("%s: %s is %q; it has to be host:port", file, x.source, x.address)
		}
	}
	if c.Name == "" {
		return nil, configErrorf("%s: name is missing, and %s is not set", file, envName)
	}
	return c, nil
}

func parseStartConfig(text []byte) (*StartConfig, error) {
	c := &StartConfig{}
	if err := json.Unmarshal(text, c); err != nil {
		var at int64
		switch e := err.(type) {
		case *json.SyntaxError:
			at = e.Offset
		case *json.UnmarshalTypeError:
			at = e.Offset
		}
		return nil, fmt.Errorf("line %d: %w", 1+bytes.Count(text[:min(at, int64(len(text)))], []byte("\n")), err)
	}
	if len(c.Settings) == 0 {
		return nil, fmt.Errorf("settings are missing")
	}
	settings, err := simwire.ParseConfig(c.Settings)
	if err != nil {
		return nil, err
	}
	if err := settings.Check(); err != nil {
		return nil, err
	}
	for _, x := range []struct {
		key   string
		value float64
	}{{"cores", c.Limits.Cores}, {"memory_mb", float64(c.Limits.MemoryMB)}, {"sockets", float64(c.Limits.Sockets)}} {
		if x.value < 0 {
			return nil, fmt.Errorf("limits: %s is %v; it has to be at least 0", x.key, x.value)
		}
	}
	c.parsedSettings = settings
	return c, nil
}

// ParseSeed returns the seed of the director's random numbers, which the file gives as 16 hex digits.
func (c *StartConfig) ParseSeed() (uint64, error) {
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return 0, configErrorf("seed is %q; it has to be hex digits", c.Seed)
	}
	return n, nil
}

// NewDecider returns a decider, the decision module, with the settings. The settings have the format of the simulator's
// protocol.
func (c *StartConfig) NewDecider(seed uint64) director.Decider {
	return c.parsedSettings.NewDirector(seed)
}

// The limits of connections, beside those that the platform's settings state. A client connection that has sent no
// complete message within firstMessageTimeout is closed; the platform itself closes such connections after 4 s.
const (
	firstMessageTimeout      = 2 * time.Second
	writeTimeout             = time.Second
	clientQueueBytes         = 256 << 10
	nodeQueueBytes           = 256 << 10
	kernelBufferBytes        = 64 << 10
	receiveBufferBytes       = 128 << 10 // at least two segments of a loopback connection, as the kernel counts
	discoverySilenceTimeout  = 2200 * time.Millisecond
	answerMargin             = 20 * time.Millisecond
	maxRequestsPerConnection = 256
	maxInboxPerPeer          = 2048 // when a director starts, clients report all their playing sessions to it at once
	reservedDescriptors      = 40   // for files, pollers, the listener, the discovery connection and connections being rejected
	pendingDescriptorShare   = 8    // one in this many descriptors is for clients that have not sent a message yet
	minPendingConnections    = 16
	memoryFraction           = 0.8 // of the memory limit: beyond it the program accepts no more clients
	requestMemoryShare       = 16  // one part in this many of the memory limit is for requests without their answers
	sessionMemoryShare       = 8   // the same for sessions that play
	sessionMemory            = 4 << 10
	keptEndMemoryShare       = 64 // the same for each kind of ends that are kept
	keptEndMemory            = 256
	pingDisabledInterval     = 24 * time.Hour
	idleTimeoutFraction      = 0.8 // of the time after which nodes close an idle connection: a message must not cross that close
)

// Config returns the configuration of the loop and the daemon.
func (c *StartConfig) Config(now time.Time) *conf.Config {
	settings := c.parsedSettings
	tariffs := settings.Tariffs()
	config := &conf.Config{
		Name: c.Name, ListenAddress: c.Listen, DiscoveryAddress: c.DiscoveryAddress, DiscoveryReadTimeout: discoverySilenceTimeout,
		Ladder: settings.Ladder(), MachineKinds: settings.Kinds,
	}
	goals := make([]time.Duration, len(tariffs))
	for i, x := range tariffs {
		config.Tariffs = append(config.Tariffs, director.Tariff{Name: settings.Classes[i].Name, Tariff: x})
		goals[i] = x.GoalTime
	}
	config.Peers.Index, config.Peers.Directors, config.Peers.Zone = settings.Index, settings.Directors, settings.Zone
	config.Topology.Cells, config.Topology.Racks = settings.Family.Cells, settings.Family.Racks
	connect := simwire.SecondsToDuration(settings.Permissions.Connect)
	if connect <= 0 {
		connect = time.Second
	}
	config.ProtocolOptions = director.Options{
		AnswerMargin: answerMargin, ConnectTimeout: connect, SessionsPerConnection: maxRequestsPerConnection, NoHello: true,
		Detached: true,
	}
	if c.Limits.MemoryMB > 0 {
		config.ProtocolOptions.MaxKeptEnds = int(c.Limits.MemoryMB << 20 / keptEndMemoryShare / keptEndMemory)
	}
	config.ReconnectPolicy = connector.ReconnectPolicy{InitialBackoff: 100 * time.Millisecond, MaxBackoff: time.Second, MaxConcurrent: 64}
	config.ReconnectPolicy.IdleTimeout = time.Duration(idleTimeoutFraction * float64(simwire.SecondsToDuration(settings.Permissions.Idle)))
	silenceLimit := maxEndNotice - endNoticeMargin - config.ReconnectPolicy.TimeToDead(connect)
	if interval := simwire.SecondsToDuration(settings.Family.ReportInterval); interval > 0 { // a node with sessions reports this often
		silenceLimit = min(silenceLimit, interval+time.Second)
	}
	config.ReconnectPolicy.SetSilenceLimit(max(minSilenceLimit, silenceLimit))
	config.ShutdownPolicy = shutdown.Policy{Timeout: c.shutdownTimeout(), BatchInterval: 200 * time.Millisecond,
		MinDuration: c.minShutdownTime(), SettleTime: endSettleTime, CloseTimeout: c.clientCloseTimeout(), ExitTime: c.maxHardStop() + killAfter - exitMargin}
	sockets := c.Limits.Sockets
	if sockets == 0 {
		sockets = 1024
	}
	pendingConnections := max(minPendingConnections, sockets/pendingDescriptorShare)
	config.Capacity = limits.Capacity{
		MaxConnections: sockets, MaxHandshakes: sockets, HeartbeatInterval: pingDisabledInterval, IdleTimeout: time.Second,
		HandshakeTimeout: firstMessageTimeout,
		MaxRetryAfter:    time.Second, DisplaceIdleAfter: 250 * time.Millisecond, MaxDescriptors: sockets,
		ReservedDescriptors: reservedDescriptors, PreHandshakeDescriptors: pendingConnections,
	}
	config.ReconnectPolicy.OnDemand = !config.Capacity.FitsNodes(settings.Family.Cells)
	if c.Limits.MemoryMB > 0 {
		config.Capacity.MaxMemory = int64(float64(c.Limits.MemoryMB<<20) * memoryFraction)
	}
	config.Queue = limits.QueuePolicy{MaxWait: limits.MaxQueueWait(goals), MaxRetryAfter: time.Second,
		MaxHeldBytes: c.Limits.MemoryMB << 20 / requestMemoryShare, MaxPlaying: int(c.Limits.MemoryMB << 20 / sessionMemoryShare / sessionMemory)}
	config.ConnectionLimits = conf.ConnectionLimits{
		Clients: transport.Limits{MaxMessageBytes: maxMessageSize, MaxQueuedBytes: clientQueueBytes, WriteTimeout: writeTimeout,
			HandshakeTimeout: firstMessageTimeout, KernelBufferBytes: kernelBufferBytes, ReceiveBufferBytes: receiveBufferBytes,
			MaxPendingHandshakes: pendingConnections},
		Nodes:     transport.Limits{MaxMessageBytes: maxMessageSize, MaxQueuedBytes: nodeQueueBytes, WriteTimeout: writeTimeout},
		Discovery: transport.Limits{MaxMessageBytes: maxFrameSize, MaxQueuedBytes: nodeQueueBytes, WriteTimeout: writeTimeout},
		InboxSize: maxInboxPerPeer,
	}
	config.ConnectionLimits.LimitMemory(c.Limits.MemoryMB << 20)
	indexByName := map[string]int{}
	for _, x := range c.InitialDiscovery.Updates { // applied in order; the result is the initial node list
		if x.Pool.All {
			config.Nodes, indexByName = nil, map[string]int{}
		}
		for _, e := range x.Pool.Targets {
			entry := e.entry(now)
			if i, ok := indexByName[entry.Node]; ok {
				config.Nodes[i] = entry
				continue
			}
			indexByName[entry.Node] = len(config.Nodes)
			config.Nodes = append(config.Nodes, entry)
		}
	}
	return config
}

// The platform's rules for a director that is ordered to stop. It is killed no sooner than killAfter after the longest
// hard stop has passed, where a hard stop longer than maxCountedHardStop counts as maxCountedHardStop. A request that
// arrives within lateRequestWindow after the order must still be answered.
const (
	maxCountedHardStop = 3 * time.Second
	killAfter          = 700 * time.Millisecond
	lateRequestWindow  = 700 * time.Millisecond
	shutdownMargin     = 300 * time.Millisecond // part of killAfter; the rest is for data that is still being sent
	maxClientCloseTime = 150 * time.Millisecond // for client connections to close
	endSettleTime      = 200 * time.Millisecond // for clients to read ends of sessions before their connections are closed
	exitMargin         = 50 * time.Millisecond  // part of killAfter in which the process exits
)

// The platform's rule for sessions whose node can send nothing any more: their clients are notified within maxEndNotice.
const (
	maxEndNotice    = 8 * time.Second
	endNoticeMargin = 500 * time.Millisecond // for the way to the client, and for a busy machine
	minSilenceLimit = time.Second            // with long time limits for connecting
)

// maxHardStop returns the longest hard stop of all tariffs, limited to maxCountedHardStop.
func (c *StartConfig) maxHardStop() (longest time.Duration) {
	for _, x := range c.parsedSettings.Tariffs() {
		longest = max(longest, x.HardStop)
	}
	return min(longest, maxCountedHardStop)
}

// shutdownTimeout returns how long a director may take from the order to stop until the last answer is sent.
func (c *StartConfig) shutdownTimeout() time.Duration { return c.maxHardStop() + shutdownMargin }

// minShutdownTime returns how long a director runs at least after the order to stop, in order to answer late requests.
// It is short enough for the director to exit before it is killed.
func (c *StartConfig) minShutdownTime() time.Duration {
	return min(time.Second, lateRequestWindow+c.maxHardStop()/2)
}

// clientCloseTimeout returns how long client connections may take to close at the end: half of the time that is left
// until the director is killed, at most maxClientCloseTime.
func (c *StartConfig) clientCloseTimeout() time.Duration {
	return min(maxClientCloseTime, (c.maxHardStop()+killAfter-max(c.shutdownTimeout(), c.minShutdownTime()))/2)
}

// entry converts a target into an entry of the server list.
func (t target) entry(now time.Time) wire.NodeEntry {
	state, known := statesByName[t.State]
	if !known {
		state = wire.Draining // an unknown state: new sessions may not be allowed there
	}
	return wire.NodeEntry{
		Node: t.ID, Address: t.Endpoint, State: state, MachineKind: t.Kind, Zone: t.Zone, Incarnation: uint64(max(0, t.StartedMillis)),
		UptimeMS: ageMillis(uint64(max(0, t.StartedMillis)), now), Weight: t.Weight, Cell: max(0, t.Cell),
	}
}

// ageMillis returns how many milliseconds have passed since a Unix time in milliseconds: at least 1, or 0 if that time
// is unknown (0).
func ageMillis(started uint64, now time.Time) int64 {
	if started == 0 {
		return 0
	}
	return max(1, now.UnixMilli()-int64(min(started, 1<<62)))
}
