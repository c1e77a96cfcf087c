package haproxy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// A Setting is what a proxy's keyword is set to, and the line that sets it.
type Setting struct {
	Line    *Line
	Args    []string
	Negated bool // set to off by "no"
}

// An Option is a keyword of a server with its arguments.
type Option struct {
	Name string
	Args []string
	Line *Line // its server's, or a default-server's
}

func (o Option) String() string { return strings.TrimSpace(o.Name + " " + strings.Join(o.Args, " ")) }

// Arg is the option's first argument, empty where it has none.
func (o Option) Arg() string {
	if len(o.Args) == 0 {
		return ""
	}
	return o.Args[0]
}

// A Server is a server of a proxy, or a template of many.
type Server struct {
	Line        *Line
	Name        string // of a template: its prefix
	FirstNumber int    // of a template: its numbers
	LastNumber  int
	Template    bool
	AddressText string // its address
	Address     Address
	OwnOptions  []Option          // as they stand on its line
	Options     map[string]Option // in force: its own over those of default-server above it
}

// Int reads an option that is a whole number; ok is false where the server has none.
func (s *Server) Int(name string, least, most int) (n int, o Option, ok bool, err error) {
	o, ok = s.Options[name]
	if ok {
		n, err = whole(o.Arg(), least, most)
	}
	return n, o, ok, err
}

// Duration reads an option that is a time.
func (s *Server) Duration(name string) (d time.Duration, o Option, ok bool, err error) {
	o, ok = s.Options[name]
	if ok {
		d, err = span(o.Arg())
	}
	return d, o, ok, err
}

// Duration reads a setting that is a time.
func (s *Setting) Duration() (time.Duration, error) {
	if len(s.Args) == 0 {
		return 0, fmt.Errorf("no value")
	}
	return span(s.Args[0])
}

// Int reads a setting that is a whole number.
func (s *Setting) Int(least, most int) (int, error) {
	if len(s.Args) == 0 {
		return 0, fmt.Errorf("no value")
	}
	return whole(s.Args[0], least, most)
}

// A Proxy is a frontend, backend or listen section with its defaults inherited.
type Proxy struct {
	*Section
	Settings map[string]*Setting // in force, by keyword ("maxconn", "timeout connect", "option redispatch")
	Servers  []*Server
	Disabled bool
	defaults []Option // of default-server, in force for servers that follow
}

// ServesClients tells whether servers of this proxy are servers of clients: not those that logs go to.
func (p *Proxy) ServesClients() bool {
	m := p.Settings["mode"]
	return p.Kind != "frontend" && (m == nil || len(m.Args) == 0 || m.Args[0] != "log" && m.Args[0] != "spop")
}

// keyword is what a line sets: its first word, with the second where the first alone says nothing, and
// whether "no" stands before it.
func keyword(l *Line) (name string, args []string, off bool) {
	var words []string
	for _, w := range l.Words {
		words = append(words, w.Text)
	}
	if words[0] == "no" && len(words) > 1 {
		off = true
		words = words[1:]
	}
	if (words[0] == "timeout" || words[0] == "option" || words[0] == "stats" || words[0] == "tcp-request" || words[0] == "http-request") && len(words) > 1 {
		return words[0] + " " + words[1], words[2:], off
	}
	return words[0], words[1:], off
}

// Keyword is what a line sets, without its arguments.
func Keyword(l *Line) string {
	name, _, _ := keyword(l)
	return name
}

// Proxies works out what every proxy's settings are: defaults first (those that it names with from, else
// the last ones above it), then its own lines in their order, the later over the earlier.
func (f *Config) Proxies() ([]*Proxy, error) {
	var all []*Proxy
	named := map[string]*Proxy{}
	var last *Proxy
	for _, s := range f.Sections {
		isProxy := slices.Contains([]string{"frontend", "backend", "listen"}, s.Kind)
		if s.Kind != "defaults" && !isProxy {
			continue
		}
		p := &Proxy{Section: s, Settings: map[string]*Setting{}}
		from := last
		if s.Kind == "defaults" {
			from = nil // defaults inherit where they say so alone
		}
		if s.From != "" {
			if from = named[s.From]; from == nil {
				return nil, &SyntaxError{s.Head.Position, fmt.Sprintf("no defaults section %q above", s.From)}
			}
		}
		if from != nil {
			for k, v := range from.Settings {
				p.Settings[k] = v
			}
			p.Disabled = from.Disabled
			p.defaults = slices.Clone(from.defaults)
		}
		for _, l := range s.Lines {
			p.line(l)
		}
		if s.Kind == "defaults" {
			last = p
			if s.Name != "" {
				named[s.Name] = p
			}
			continue
		}
		all = append(all, p)
	}
	return all, nil
}

// line takes one line of a section. What is wrong with a server stays with its line, as a note.
func (p *Proxy) line(l *Line) {
	if len(l.UnsetVariables) > 0 {
		return // what it says is not known
	}
	name, args, off := keyword(l)
	switch name {
	case "disabled":
		p.Disabled = true
	case "enabled":
		p.Disabled = false
	case "default-server":
		options, unknown := parseOptions(l, 1)
		if unknown >= 0 {
			l.MarkSkipped(l.JoinFrom(unknown), fmt.Sprintf("%q (column %d) is not known here, so what follows can't be read for sure", l.WordAt(unknown), l.Words[unknown].Col),
				"take it off this line and import again")
		}
		p.defaults = append(p.defaults, options...)
	case "server", "server-template":
		if s := p.server(l, name == "server-template"); s != nil {
			p.Servers = append(p.Servers, s)
		}
	default:
		if off && name == "timeout" {
			return
		}
		p.Settings[name] = &Setting{Line: l, Args: args, Negated: off}
	}
}

// server reads a server's line; nil where it can't be read, which is noted.
func (p *Proxy) server(l *Line, template bool) *Server {
	s := &Server{Line: l, Template: template, Options: map[string]Option{}}
	need := 3
	if template {
		need = 4
	}
	if len(l.Words) < need {
		l.MarkSkipped("", "HAProxy refuses a server without name and address", "")
		return nil
	}
	s.Name, s.AddressText = l.WordAt(1), l.WordAt(need-1)
	var err error
	if template {
		low, high, isRange := strings.Cut(l.WordAt(2), "-")
		if !isRange {
			low, high = "1", low
		}
		if s.FirstNumber, err = whole(low, 0, 1e6); err == nil {
			s.LastNumber, err = whole(high, s.FirstNumber, 1e6)
		}
		if err != nil {
			l.MarkSkipped("", "numbers of the template: "+err.Error(), "")
			return nil
		}
	}
	if s.Address, err = address(s.AddressText); err != nil {
		l.MarkSkipped("", "address: "+err.Error(), "")
		return nil
	}
	options, unknown := parseOptions(l, need)
	if unknown >= 0 {
		l.MarkSkipped("", fmt.Sprintf("%q (column %d) is not known here, so what follows it can't be read for sure", l.WordAt(unknown), l.Words[unknown].Col),
			"take it off this line and import again, or list this node by hand")
		return nil
	}
	s.OwnOptions = options
	for _, o := range append(slices.Clone(p.defaults), options...) {
		set, off := o.Name, false
		if rest, ok := strings.CutPrefix(o.Name, "no-"); ok {
			set, off = rest, true
		}
		if o.Name == "enabled" {
			set, off = "disabled", true
		}
		if off {
			delete(s.Options, set)
		} else {
			s.Options[set] = o
		}
	}
	return s
}

// arity is how many arguments each keyword of a server has (section 5.2 of the manual).
var arity = map[string]int{}

func init() {
	for n, names := range []string{
		`agent-check allow-0rtt backup no-backup check no-check check-pool-conn-name-off check-reuse-pool no-check-reuse-pool
		check-send-proxy no-check-send-proxy check-ssl no-check-ssl check-via-socks4 no-check-via-socks4 disabled enabled force-sslv3
		force-tlsv10 force-tlsv11 force-tlsv12 force-tlsv13 no-agent-check no-allow-0rtt no-send-proxy no-send-proxy-v2
		no-send-proxy-v2-ssl no-send-proxy-v2-ssl-cn no-ssl no-ssl-reuse no-sslv3 no-tfo no-tls-tickets no-tlsv10 no-tlsv11 no-tlsv12
		no-tlsv13 no-verifyhost non-stick no-non-stick renegotiate no-renegotiate send-proxy send-proxy-v2 send-proxy-v2-ssl
		send-proxy-v2-ssl-cn ssl ssl-reuse stick sslv3 strict-maxconn no-strict-maxconn tfo tls-tickets tlsv10 tlsv11 tlsv12 tlsv13`,
		`addr agent-addr agent-inter agent-port agent-send alpn ca-file cc check-alpn check-pool-conn-name check-proto check-sni ciphers
		ciphersuites client-sigalgs cookie crl-file crt curves downinter ech error-limit fall fastinter guid hash-key id idle-ping
		init-addr init-state inter interface log-bufsize log-proto max-reuse maxconn maxqueue minconn namespace npn observe on-error
		on-marked-down on-marked-up pool-conn-name pool-low-conn pool-max-conn pool-purge-delay port proto proxy-v2-options redir
		resolve-net resolve-opts resolve-prefer resolvers rise shard sigalgs slowstart sni socks4 source ssl-max-ver ssl-min-ver
		tcp-md5sig tcp-ut track usesrc verify verifyhost weight ws`,
	} {
		for _, name := range strings.Fields(names) {
			arity[name] = n
		}
	}
}

// parseOptions reads the keywords of a server from a word on; unknown is the first word that is none, or
// has too few arguments, -1 where there is none.
func parseOptions(l *Line, from int) (options []Option, unknown int) {
	for i := from; i < len(l.Words); {
		name := l.Words[i].Text
		n, known := arity[name]
		if strings.HasPrefix(name, "set-proxy-v2-tlv-fmt(") {
			n, known = 1, true
		}
		if !known || i+n >= len(l.Words) && n > 0 {
			return options, i
		}
		o := Option{Name: name, Line: l}
		for k := range n {
			o.Args = append(o.Args, l.Words[i+1+k].Text)
		}
		options = append(options, o)
		i += 1 + n
	}
	return options, -1
}

// DefaultServerOptions are the keywords of a default-server's line, as far as they can be read.
func DefaultServerOptions(l *Line) []Option {
	options, _ := parseOptions(l, 1)
	return options
}

// ParseAddress reads an address as it stands on a bind line.
func ParseAddress(text string) (Address, error) { return address(text) }
