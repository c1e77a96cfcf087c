package load

import (
	"embed"
	"os"
	"slices"
	"strings"
	"time"

	"fordusher/internal/conf"
)

// A Scenario is a load on one or more directors that consists of parts, which run at the same time. Its file is JSON
// with comments.
type Scenario struct {
	Name           string        `json:"name"`
	Directors      int           `json:"directors"` // processes
	Cores          int           `json:"cores"`     // of each
	Clients        int           `json:"clients"`   // processes that share the parts
	Nodes          int           `json:"nodes"`
	Racks          int           `json:"racks"`
	Titles         int           `json:"titles"`
	Playing        int           `json:"playing"` // playing sessions that the nodes are sized for, with room for several times as many
	Ping           time.Duration `json:"ping"`    // heartbeat interval of the directors' client connections
	MaxConnections int           `json:"room"`    // client connections that a director accepts
	Warmup         time.Duration `json:"warm"`    // not measured
	Duration       time.Duration `json:"for"`
	Repeats        int           `json:"repeats"`
	Seed           uint64        `json:"seed"`
	Parts          []Part        `json:"parts"`
	ExcludedParts  []string      `json:"without"` // parts that a second run of each repeat leaves out, for comparison
}

// A Part is a number of clients with the same behavior.
type Part struct {
	Name        string        `json:"name"`
	Kind        string        `json:"kind"`
	Connections int           `json:"connections"`
	Rate        float64       `json:"rate"`   // per second, over all connections
	Length      time.Duration `json:"length"` // of a session
	Bytes       int           `json:"bytes"`  // size of one burst of pings, each of which the director has to answer
}

// The kinds of parts.
const (
	KindIdle         = "idle"          // stays connected, sends nothing but answers to pings
	KindSetups       = "set-ups"       // requests sessions at a rate
	KindDuplicates   = "chatter"       // plays and repeats its request at a rate
	KindReconnects   = "reconnects"    // connects, requests a session and disconnects, at a rate
	KindSlowReaders  = "slow-readers"  // makes the director write, reads one byte per second
	KindNeverReaders = "never-readers" // makes the director write, reads nothing
)

var partKinds = []string{KindIdle, KindSetups, KindDuplicates, KindReconnects, KindSlowReaders, KindNeverReaders}

//go:embed scenarios/*.jsonc
var shippedScenarios embed.FS

// ScenarioNames returns the names of the scenarios that ship with the program.
func ScenarioNames() (names []string) {
	files, _ := shippedScenarios.ReadDir("scenarios")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".jsonc"))
	}
	return names
}

// LoadScenario reads a scenario that ships with the program, by its name, or one from a file. Mistakes in the file are
// returned as conf.Problems.
func LoadScenario(name string) (*Scenario, error) {
	if slices.Contains(ScenarioNames(), name) {
		file := "scenarios/" + name + ".jsonc"
		text, err := shippedScenarios.ReadFile(file)
		if err != nil {
			return nil, err
		}
		return ParseScenario(file, text)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return ParseScenario(name, text)
}

// ParseScenario parses a scenario.
func ParseScenario(file string, text []byte) (*Scenario, error) {
	parser, o := conf.Parse(file, text)
	if err := parser.Err(); err != nil {
		return nil, err
	}
	s := &Scenario{
		Name:           o.Text("name", "", true),
		Directors:      o.Int("directors", 1, 1, 300, false),
		Cores:          o.Int("cores", 1, 1, 1000, false),
		Clients:        o.Int("clients", 1, 1, 300, false),
		Nodes:          o.Int("nodes", 20, 1, 1000, false),
		Racks:          o.Int("racks", 4, 1, 1000, false),
		Titles:         o.Int("titles", 50, 1, 100_000, false),
		Playing:        o.Int("playing", 1000, 1, 10_000_000, false),
		Ping:           o.Duration("ping", 10*time.Second, 10*time.Millisecond, time.Hour, false),
		MaxConnections: o.Int("room", 18_000, 1, 10_000_000, false),
		Warmup:         o.Duration("warm", 3*time.Second, 0, time.Hour, false),
		Duration:       o.Duration("for", 10*time.Second, time.Second, time.Hour, false),
		Repeats:        o.Int("repeats", 1, 1, 100, false),
		Seed:           uint64(o.Int("seed", 1, 0, 1<<31, false)),
	}
	if s.Racks > s.Nodes {
		parser.AddProblem(o.OffsetOf("racks"), "there are %d racks for %d nodes", s.Racks, s.Nodes)
	}
	var names []string
	o.Objects("parts", true, func(_ int, p *conf.Object) {
		part := Part{Kind: p.Text("kind", "", true)}
		part.Name = p.Text("name", part.Kind, false)
		part.Connections = p.Int("connections", 1, 1, 10_000_000, false)
		part.Rate = p.Number("rate", 0, 0, 1_000_000, slices.Contains([]string{KindSetups, KindDuplicates, KindReconnects}, part.Kind))
		part.Length = p.Duration("length", time.Second, time.Millisecond, time.Hour, false)
		part.Bytes = p.Bytes("bytes", 200<<10, 1, 1<<30)
		if part.Kind != "" && !slices.Contains(partKinds, part.Kind) {
			parser.AddProblem(p.OffsetOf("kind"), "unknown kind %q; the kinds are %s", part.Kind, strings.Join(partKinds, ", "))
		}
		if slices.Contains(names, part.Name) {
			parser.AddProblem(p.OffsetOf("name"), "two parts are called %q; give one of them a name of its own", part.Name)
		}
		names = append(names, part.Name)
		p.ReportUnknownKeys()
		s.Parts = append(s.Parts, part)
	})
	s.ExcludedParts = o.Texts("without", false)
	for _, name := range s.ExcludedParts {
		if !slices.Contains(names, name) {
			parser.AddProblem(o.OffsetOf("without"), "there is no part %q", name)
		}
	}
	if len(s.Parts) == 0 && o.Has("parts") {
		parser.AddProblem(o.OffsetOf("parts"), "a scenario needs at least one part")
	}
	o.ReportUnknownKeys()
	if err := parser.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// share returns a client process's share of a part. Connections and rate are divided as evenly as possible.
func (p Part) share(client, clients int) Part {
	share := p.Connections / clients
	if client < p.Connections%clients {
		share++
	}
	p.Rate *= float64(share) / float64(p.Connections)
	p.Connections = share
	return p
}
