package main

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"fordusher/internal/asynclog"
)

// envLogLevel names the variable that says how much is logged: "info", the default, or "debug", which has a line for
// each change of state of a request, an attempt and a connection.
const envLogLevel = "FORDUSHER_LOG_LEVEL"

// logLevel reads how much is logged, and the pace that this takes.
func logLevel(getenv func(string) string) (zerolog.Level, asynclog.RateLimit, error) {
	switch level := getenv(envLogLevel); level {
	case "", "info":
		return zerolog.InfoLevel, asynclog.DefaultRate, nil
	case "debug":
		return zerolog.DebugLevel, asynclog.VerboseRate, nil
	default:
		return 0, asynclog.RateLimit{}, fmt.Errorf("%s is %q; it has to be info or debug", envLogLevel, level)
	}
}

// logger writes structured lines, one JSON object each.
func logger(out io.Writer) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(out).With().Timestamp().Logger()
}
