package daemon

import (
	"github.com/rs/zerolog"

	"fordusher/internal/director"
)

// logEvent writes one change of state of a request, an attempt or a connection. What ends a request without an answer is
// written always, all else at the level debug.
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
