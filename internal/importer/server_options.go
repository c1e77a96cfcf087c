package importer

import "fordusher/internal/haproxy"

// reportOptions records the outcome of each option on the lines of the handled servers.
func (imp *importState) reportOptions() {
	for _, handled := range imp.handled {
		for _, o := range handled.server.OwnOptions {
			if o.Name != handled.reported {
				imp.reportOption(handled.server.Line, o)
			}
		}
	}
}

// reportOption records the outcome of one option of a server.
func (imp *importState) reportOption(l *haproxy.Line, o haproxy.Option) {
	row := lookupKeyword("server", o.Name)
	switch {
	case row.ConfigKey == "":
		l.MarkSkipped(o.String(), row.Reason, row.Advice)
	case o.Name == "weight" && o.Arg() == "0":
		l.MarkCarried(o.String(), "nodes.NAME.state (draining: existing sessions continue, the node takes no new ones)")
	case o.Name == "slowstart" && imp.slowstartReason != "":
		l.MarkSkipped(o.String(), imp.slowstartReason, row.Advice)
	default:
		l.MarkCarried(o.String(), row.ConfigKey)
	}
}

// reportDefaultServer records the outcome of a default-server line. Its options are reported like those of a server
// if any server uses one of them.
func (imp *importState) reportDefaultServer(l *haproxy.Line) {
	for _, p := range imp.withServers {
		for _, s := range p.Servers {
			for _, o := range s.Options {
				if o.Line != l {
					continue
				}
				for _, option := range haproxy.DefaultServerOptions(l) {
					imp.reportOption(l, option)
				}
				return
			}
		}
	}
	l.MarkIgnored("no enabled server uses any of its options")
}
