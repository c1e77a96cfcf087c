package importer

import (
	"fmt"

	"fordusher/internal/haproxy"
)

// reportRemaining records an outcome for every line that does not have one yet.
func (imp *importState) reportRemaining() {
	inForce := map[*haproxy.Line]bool{}
	for _, p := range imp.enabled {
		for _, setting := range p.Settings {
			inForce[setting.Line] = true
		}
	}
	for _, s := range imp.files.Sections {
		head := s.Head
		scope := "section"
		switch s.Kind {
		case "global":
			scope = "global"
		case "defaults", "frontend", "backend", "listen":
			scope = "proxy"
		}
		if scope == "section" {
			row := lookupKeyword("section", s.Kind)
			head.MarkSkipped("", row.Reason, row.Advice)
			for _, l := range s.Lines {
				if !l.HasOutcome() {
					l.MarkSkipped("", row.Reason, row.Advice)
				}
			}
			continue
		}
		if !head.HasOutcome() {
			head.MarkIgnored("begins a section")
		}
		for _, l := range s.Lines {
			if l.HasOutcome() {
				continue
			}
			name := haproxy.Keyword(l)
			row := lookupKeyword(scope, name)
			switch {
			case name == "default-server":
				imp.reportDefaultServer(l)
			case name == "disabled" || name == "enabled":
				l.MarkIgnored("the proxy is enabled in the end")
			case row.ConfigKey != "" && !inForce[l]:
				l.MarkIgnored("no enabled proxy uses this setting")
			case row.ConfigKey != "":
				l.MarkSkipped("", "the setting does not have its usual meaning here: "+row.Reason, row.Advice)
			default:
				l.MarkSkipped("", row.Reason, row.Advice)
			}
		}
	}
	for _, l := range imp.files.Lines { // a line without an outcome is a defect of the importer; report it as unknown
		if !l.HasOutcome() {
			l.MarkSkipped("", unknownKeyword.Reason, unknownKeyword.Advice)
		}
	}
}

// addSuggestions suggests which parts of the configuration may become titles or tariffs. No suggestion is applied.
func (imp *importState) addSuggestions() {
	add := func(format string, args ...any) {
		imp.result.Suggestions = append(imp.result.Suggestions, fmt.Sprintf(format, args...))
	}
	if len(imp.withServers) > 1 {
		for _, p := range imp.withServers {
			add("%s: %s %s has %d servers: if its clients use titles of their own, give the servers consecutive cells and set base and copies of the titles to these cells",
				p.Head.Position, p.Kind, p.Name, len(p.Servers))
		}
	}
	for _, p := range imp.enabled {
		for _, l := range p.Lines {
			switch haproxy.Keyword(l) {
			case "use_backend":
				add("%s: %q sends some clients to %s: they may need a tariff or a group of titles of their own", l.Position, l.JoinFrom(2), l.WordAt(1))
			case "cookie":
				add("%s: a cookie keeps clients on a server: a client of the director resumes its session by the session's key", l.Position)
			}
		}
	}
}
