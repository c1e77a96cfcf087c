package daemon

import (
	"github.com/rs/zerolog"

	"fordusher/internal/director"
)

// logEvent logs one change of state of a request, a leg ("attempt" in the log) or a connection. A request that ends
// without an answer is logged at level info, everything else at level debug.
func (d *Daemon) logEvent(e director.Event) {
	level := zerolog.DebugLevel
	if e.Kind == director.RequestAbandoned {
		level = zerolog.InfoLevel
	}
	if d.log.GetLevel() > level {
		return
	}
	line := d.log.WithLevel(level)
	text := func(key, value string) {
		if value != "" {
			line.Str(key, value)
		}
	}
	number := func(key string, value uint64) {
		if value != 0 {
			line.Uint64(key, value)
		}
	}
	text("request", e.Request)
	number("attempt", e.Attempt)
	text("server", e.Server)
	number("client_connection", e.Conn)
	number("server_connection", e.Link)
	text("reason", e.Reason)
	line.Msg(e.Kind.String())
}
