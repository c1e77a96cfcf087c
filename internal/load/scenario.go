package load

import (
	"embed"
	"os"
	"slices"
	"strings"
	"time"

	"fordusher/internal/conf"
)

// A Scenario is a load made of parts that run at the same time, told in JSON with comments.
type Scenario struct {
	Name           string        `json:"name"`
	Directors      int           `json:"directors"` // processes
	Cores          int           `json:"cores"`     // of each
	Clients        int           `json:"clients"`   // processes over which the parts are dealt
	Nodes          int           `json:"nodes"`
	Racks          int           `json:"racks"`
	Titles         int           `json:"titles"`
	Playing        int           `json:"playing"` // sessions that the nodes have room for, several times over
	Ping           time.Duration `json:"ping"`    // a director asks a player for a sign of life so often
	MaxConnections int           `json:"room"`    // players' connections that a director takes
	Warmup         time.Duration `json:"warm"`    // not measured
	Duration       time.Duration `json:"for"`
	Repeats        int           `json:"repeats"`
	Seed           uint64        `json:"seed"`
	Parts          []Part        `json:"parts"`
	ExcludedParts  []string      `json:"without"` // parts left out of a second run beside each, for the ratio
}

// A Part is clients of one habit.
type Part struct {
	Name        string        `json:"name"`
	Kind        string        `json:"kind"`
	Connections int           `json:"connections"`
	Rate        float64       `json:"rate"`   // a second, of all its connections together
	Length      time.Duration `json:"length"` // of a session
	Bytes       int           `json:"bytes"`  // that a burst makes the director answer
}

// The kinds of parts.
const (
	KindIdle         = "idle"          // connected, silent, answering signs of life
	KindSetups       = "set-ups"       // asks for sessions at a rate
	KindDuplicates   = "chatter"       // plays, and repeats its request at a rate
	KindReconnects   = "reconnects"    // comes, asks, leaves, at a rate
	KindSlowReaders  = "slow-readers"  // makes the director write, reads a byte a second
	KindNeverReaders = "never-readers" // makes the director write, reads nothing
)

var kinds = []string{KindIdle, KindSetups, KindDuplicates, KindReconnects, KindSlowReaders, KindNeverReaders}

//go:embed scenarios/*.jsonc
var shipped embed.FS

// ScenarioNames are the names of those that ship with the program.
func ScenarioNames() (names []string) {
	files, _ := shipped.ReadDir("scenarios")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".jsonc"))
	}
	return names
}

// LoadScenario reads a scenario that ships with the program, by its name, or one from a file; what is wrong
// with it comes back as conf.Problems.
func LoadScenario(name string) (*Scenario, error) {
	if slices.Contains(ScenarioNames(), name) {
		file := "scenarios/" + name + ".jsonc"
		text, err := shipped.ReadFile(file)
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

// ParseScenario reads a scenario from its text.
func ParseScenario(file string, text []byte) (*Scenario, error) {
	r, o := conf.Parse(file, text)
	if err := r.Err(); err != nil {
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
		r.AddProblem(o.OffsetOf("racks"), "there are %d racks for %d nodes", s.Racks, s.Nodes)
	}
	var names []string
	o.Objects("parts", true, func(_ int, p *conf.Object) {
		x := Part{Kind: p.Text("kind", "", true)}
		x.Name = p.Text("name", x.Kind, false)
		x.Connections = p.Int("connections", 1, 1, 10_000_000, false)
		x.Rate = p.Number("rate", 0, 0, 1_000_000, slices.Contains([]string{KindSetups, KindDuplicates, KindReconnects}, x.Kind))
		x.Length = p.Duration("length", time.Second, time.Millisecond, time.Hour, false)
		x.Bytes = p.Bytes("bytes", 200<<10, 1, 1<<30)
		if x.Kind != "" && !slices.Contains(kinds, x.Kind) {
			r.AddProblem(p.OffsetOf("kind"), "unknown kind %q; the kinds are %s", x.Kind, strings.Join(kinds, ", "))
		}
		if slices.Contains(names, x.Name) {
			r.AddProblem(p.OffsetOf("name"), "two parts are called %q; give one of them a name of its own", x.Name)
		}
		names = append(names, x.Name)
		p.ReportUnknownKeys()
		s.Parts = append(s.Parts, x)
	})
	s.ExcludedParts = o.Texts("without", false)
	for _, w := range s.ExcludedParts {
		if !slices.Contains(names, w) {
			r.AddProblem(o.OffsetOf("without"), "there is no part %q", w)
		}
	}
	if len(s.Parts) == 0 && o.Has("parts") {
		r.AddProblem(o.OffsetOf("parts"), "a scenario needs a part")
	}
	o.ReportUnknownKeys()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// deal gives a client its share of a part: connections and rate divided as evenly as they go.
func (p Part) deal(client, clients int) Part {
	share := p.Connections / clients
	if client < p.Connections%clients {
		share++
	}
	p.Rate *= float64(share) / float64(p.Connections)
	p.Connections = share
	return p
}
