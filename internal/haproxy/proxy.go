package haproxy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// A Setting is the value of a keyword in a proxy, with the line that sets it.
type Setting struct {
	Line    *Line
	Args    []string
	Negated bool // the keyword is preceded by "no"
}

// An Option is a keyword of a server with its arguments.
type Option struct {
	Name string
	Args []string
	Line *Line // the line of the server, or of a default-server
}

func (o Option) String() string { return strings.TrimSpace(o.Name + " " + strings.Join(o.Args, " ")) }

// Arg returns the first argument of the option, or "" if it has none.
func (o Option) Arg() string {
	if len(o.Args) == 0 {
		return ""
	}
	return o.Args[0]
}

// A Server is a server line of a proxy, or a server-template line, which stands for several servers.
type Server struct {
	Line        *Line
	Name        string // for a template, the prefix of the names
	FirstNumber int    // for a template, the first number of the names
	LastNumber  int    // for a template, the last number of the names
	Template    bool
	AddressText string // the address as written on the line
	Address     Address
	OwnOptions  []Option          // the options on the line itself, in order
	Options     map[string]Option // the options in force: those of the line override those of default-server lines above it
}

// Int parses an option that is a whole number; ok is false if the server does not have the option.
func (s *Server) Int(name string, lower, upper int) (n int, o Option, ok bool, err error) {
	o, ok = s.Options[name]
	if ok {
		n, err = parseInt(o.Arg(), lower, upper)
	}
	return n, o, ok, err
}

// Duration parses an option that is a duration; ok is false if the server does not have the option.
func (s *Server) Duration(name string) (d time.Duration, o Option, ok bool, err error) {
	o, ok = s.Options[name]
	if ok {
		d, err = parseDuration(o.Arg())
	}
	return d, o, ok, err
}

// Duration parses a setting that is a duration.
func (s *Setting) Duration() (time.Duration, error) {
	if len(s.Args) == 0 {
		return 0, fmt.Errorf("no value")
	}
	return parseDuration(s.Args[0])
}

// Int parses a setting that is a whole number.
func (s *Setting) Int(lower, upper int) (int, error) {
	if len(s.Args) == 0 {
		return 0, fmt.Errorf("no value")
	}
	return parseInt(s.Args[0], lower, upper)
}

// A Proxy is a frontend, backend or listen section with its defaults inherited.
type Proxy struct {
	*Section
	Settings       map[string]*Setting // the settings in force, by keyword ("maxconn", "timeout connect", "option redispatch")
	Servers        []*Server
	Disabled       bool
	defaultOptions []Option // the options of default-server lines, which apply to the servers that follow
}

// ServesClients reports whether the servers of this proxy serve clients. The servers of a proxy in mode log or
// spop do not.
func (p *Proxy) ServesClients() bool {
	m := p.Settings["mode"]
	return p.Kind != "frontend" && (m == nil || len(m.Args) == 0 || m.Args[0] != "log" && m.Args[0] != "spop")
}

// splitKeyword splits a line into its keyword and arguments. The keyword includes the second word where the
// first alone is only a prefix, as in "timeout connect"; negated reports whether "no" precedes it.
func splitKeyword(l *Line) (name string, args []string, negated bool) {
	var words []string
	for _, w := range l.Words {
		words = append(words, w.Text)
	}
	if words[0] == "no" && len(words) > 1 {
		negated = true
		words = words[1:]
	}
	if (words[0] == "timeout" || words[0] == "option" || words[0] == "stats" || words[0] == "tcp-request" || words[0] == "http-request") && len(words) > 1 {
		return words[0] + " " + words[1], words[2:], negated
	}
	return words[0], words[1:], negated
}

// Keyword returns the keyword of a line, without "no" and without its arguments.
func Keyword(l *Line) string {
	name, _, _ := splitKeyword(l)
	return name
}

// Proxies computes the settings of every proxy. A proxy inherits from the defaults section that it names with
// from, otherwise from the last one above it. The lines of its own section then apply in order, and a later line
// overrides an earlier one.
func (c *Config) Proxies() ([]*Proxy, error) {
	var all []*Proxy
	defaultsByName := map[string]*Proxy{}
	var lastDefaults *Proxy
	for _, s := range c.Sections {
		isProxy := slices.Contains([]string{"frontend", "backend", "listen"}, s.Kind)
		if s.Kind != "defaults" && !isProxy {
			continue
		}
		p := &Proxy{Section: s, Settings: map[string]*Setting{}}
		inherited := lastDefaults
		if s.Kind == "defaults" {
			inherited = nil // a defaults section inherits only if it names another with from
		}
		if s.From != "" {
			if inherited = defaultsByName[s.From]; inherited == nil {
				return nil, &SyntaxError{s.Head.Position, fmt.Sprintf("no defaults section named %q precedes this section", s.From)}
			}
		}
		if inherited != nil {
			for k, v := range inherited.Settings {
				p.Settings[k] = v
			}
			p.Disabled = inherited.Disabled
			p.defaultOptions = slices.Clone(inherited.defaultOptions)
		}
		for _, l := range s.Lines {
			p.applyLine(l)
		}
		if s.Kind == "defaults" {
			lastDefaults = p
			if s.Name != "" {
				defaultsByName[s.Name] = p
			}
			continue
		}
		all = append(all, p)
	}
	return all, nil
}

// applyLine applies one line of a section to the proxy. A mistake in a server line is recorded on the line and
// does not fail the import.
func (p *Proxy) applyLine(l *Line) {
	if len(l.UnsetVariables) > 0 {
		return // the words of the line are unknown
	}
	name, args, negated := splitKeyword(l)
	switch name {
	case "disabled":
		p.Disabled = true
	case "enabled":
		p.Disabled = false
	case "default-server":
		options, unknownWord := parseOptions(l, 1)
		if unknownWord >= 0 {
			l.MarkSkipped(l.JoinFrom(unknownWord), fmt.Sprintf("%q (column %d) is unknown or lacks an argument, so the words after it can't be parsed reliably",
				l.WordAt(unknownWord), l.Words[unknownWord].Col), "remove it from this line and import again")
		}
		p.defaultOptions = append(p.defaultOptions, options...)
	case "server", "server-template":
		if s := p.parseServer(l, name == "server-template"); s != nil {
			p.Servers = append(p.Servers, s)
		}
	default:
		if negated && name == "timeout" {
			return
		}
		p.Settings[name] = &Setting{Line: l, Args: args, Negated: negated}
	}
}

// parseServer parses a server or server-template line. It returns nil and records the reason on the line if
// the line can't be parsed.
func (p *Proxy) parseServer(l *Line, template bool) *Server {
	s := &Server{Line: l, Template: template, Options: map[string]Option{}}
	minWords := 3
	if template {
		minWords = 4
	}
	if len(l.Words) < minWords {
		l.MarkSkipped("", "HAProxy rejects a server without a name and an address", "")
		return nil
	}
	s.Name, s.AddressText = l.WordAt(1), l.WordAt(minWords-1)
	var err error
	if template {
		first, last, isRange := strings.Cut(l.WordAt(2), "-")
		if !isRange {
			first, last = "1", first
		}
		if s.FirstNumber, err = parseInt(first, 0, 1e6); err == nil {
			s.LastNumber, err = parseInt(last, s.FirstNumber, 1e6)
		}
		if err != nil {
			l.MarkSkipped("", "invalid numbers of the template: "+err.Error(), "")
			return nil
		}
	}
	if s.Address, err = parseAddress(s.AddressText); err != nil {
		l.MarkSkipped("", "invalid address: "+err.Error(), "")
		return nil
	}
	options, unknownWord := parseOptions(l, minWords)
	if unknownWord >= 0 {
		l.MarkSkipped("", fmt.Sprintf("%q (column %d) is unknown or lacks an argument, so the words after it can't be parsed reliably",
			l.WordAt(unknownWord), l.Words[unknownWord].Col), "remove it from this line and import again, or list this node by hand")
		return nil
	}
	s.OwnOptions = options
	for _, o := range append(slices.Clone(p.defaultOptions), options...) {
		name, negated := o.Name, false
		if rest, ok := strings.CutPrefix(o.Name, "no-"); ok {
			name, negated = rest, true
		}
		if o.Name == "enabled" {
			name, negated = "disabled", true
		}
		if negated {
			delete(s.Options, name)
		} else {
			s.Options[name] = o
		}
	}
	return s
}

// optionArity maps each keyword of a server to its number of arguments (section 5.2 of the manual).
var optionArity = map[string]int{}

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
			optionArity[name] = n
		}
	}
}

// parseOptions parses the options of a server from a word on. unknownWord is the index of the first word that is
// no keyword or has too few arguments, or -1 if there is none.
func parseOptions(l *Line, start int) (options []Option, unknownWord int) {
	for i := start; i < len(l.Words); {
		name := l.Words[i].Text
		n, known := optionArity[name]
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

// DefaultServerOptions returns the options of a default-server line, up to the first that can't be parsed.
func DefaultServerOptions(l *Line) []Option {
	options, _ := parseOptions(l, 1)
	return options
}

// ParseAddress parses an address of a bind line.
func ParseAddress(text string) (Address, error) { return parseAddress(text) }
