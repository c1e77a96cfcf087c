package importer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fordusher/internal/haproxy"
)

// importSharedSettings carries over the settings that a director has only once. Each is carried over only if all
// proxies or servers concerned have the same value.
func (imp *importState) importSharedSettings() {
	if d, ok := imp.sharedDuration(imp.withServers, "timeout connect", "manners.connect"); ok {
		imp.settings.set(newLeaf(d.String()), "manners", "connect")
	}
	if d, ok := imp.sharedDuration(imp.withClients, "timeout http-request", "limits.players.handshake"); ok {
		imp.settings.set(newLeaf(d.String()), "limits", "players", "handshake")
	}
	imp.importRetries()
	imp.importSlowstart()
	imp.reportOptions()
}

// sharedDuration returns the duration that all the proxies have for a keyword, and false if they have none or
// different ones. It records the outcome on every line that sets the keyword.
func (imp *importState) sharedDuration(proxies []*haproxy.Proxy, keyword, key string) (time.Duration, bool) {
	row := lookupKeyword("proxy", keyword)
	var lines []*haproxy.Line
	var first time.Duration
	reason := ""
	for i, p := range proxies {
		setting := p.Settings[keyword]
		if setting == nil || setting.Negated {
			if reason == "" {
				reason = p.Kind + " " + p.Name + " has none"
			}
			continue
		}
		if !slices.Contains(lines, setting.Line) {
			lines = append(lines, setting.Line)
		}
		d, err := setting.Duration()
		switch {
		case err != nil:
			reason = err.Error()
		case d == 0:
			reason = "0 stands for no limit, but the director always has one"
		case i > 0 && first != 0 && d != first:
			reason = fmt.Sprintf("the proxies have different values, %v and %v, but the director has a single one", first, d)
		case first == 0:
			first = d
		}
	}
	for _, l := range lines {
		if l.HasOutcome() {
			continue
		}
		if reason != "" {
			l.MarkSkipped("", reason, row.Advice)
		} else {
			l.MarkCarried("", key)
		}
	}
	return first, reason == "" && first > 0
}

// importRetries carries over the number of retries after a failed connection. A request whose connection was never
// established did not run anywhere, so rule 2 (paid set-ups) allows a retry. After the other failures that retry-on
// names, the request may have run.
func (imp *importState) importRetries() {
	var lines []*haproxy.Line
	retries, reason := -1, ""
	for _, p := range imp.withServers {
		n := 3
		if setting := p.Settings["retries"]; setting != nil {
			if !slices.Contains(lines, setting.Line) {
				lines = append(lines, setting.Line)
			}
			var err error
			if n, err = setting.Int(0, 1000); err != nil {
				reason = err.Error()
			}
		}
		if setting := p.Settings["option redispatch"]; setting == nil || setting.Negated {
			if reason == "" && n > 0 {
				reason = fmt.Sprintf("%s %s retries on the same server (no option redispatch), which the director never does", p.Kind, p.Name)
			}
		} else if !slices.Contains(lines, setting.Line) {
			lines = append(lines, setting.Line)
		}
		if setting := p.Settings["retry-on"]; setting != nil {
			if unsafe := slices.DeleteFunc(slices.Clone(setting.Args), func(a string) bool { return a == "none" || a == "conn-failure" }); len(unsafe) > 0 {
				if !setting.Line.HasOutcome() {
					setting.Line.MarkSkipped(strings.Join(unsafe, " "), reasonAtMostOnce,
						"clients of tariffs that are not paid get further legs anyway (legs.most)")
				}
			} else if !slices.Contains(lines, setting.Line) {
				lines = append(lines, setting.Line)
			}
			if slices.Contains(setting.Args, "none") {
				n = 0
			}
		}
		switch {
		case retries < 0:
			retries = n
		case n != retries && reason == "":
			reason = fmt.Sprintf("the proxies have different numbers of retries, %d and %d, but the director has a single one", retries, n)
		}
	}
	if reason == "" && retries > 15 {
		reason = fmt.Sprintf("%d retries are too many: a session has at most 16 legs", retries)
	}
	for _, l := range lines {
		if l.HasOutcome() {
			continue
		}
		if reason != "" {
			l.MarkSkipped("", reason, lookupKeyword("proxy", "retries").Advice)
		} else {
			l.MarkCarried("", "legs.most")
		}
	}
	if reason == "" && len(lines) > 0 {
		imp.settings.set(newLeaf(retries+1), "legs", "most")
	}
}

// importSlowstart carries over the slow-start time if all nodes have the same.
func (imp *importState) importSlowstart() {
	var first time.Duration
	reason := ""
	for i, n := range imp.nodes {
		d, _, ok, err := n.server.Duration("slowstart")
		switch {
		case err != nil:
			reason = err.Error()
		case !ok && i > 0 && first > 0, ok && i > 0 && first == 0 && d > 0:
			reason = "not all nodes have slowstart"
		case i == 0:
			first = d
		case d != first:
			reason = fmt.Sprintf("the nodes have different values, %v and %v, but the director has a single one", first, d)
		}
	}
	if imp.slowstartReason = reason; reason == "" && first == 0 {
		imp.slowstartReason = "0 stands for no slow start, so ramp.warmup has no value to carry over"
	}
	if reason == "" && first > 0 {
		imp.settings.set(newLeaf(first.String()), "ramp", "warmup")
	}
}
