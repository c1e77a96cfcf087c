package main

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"fordusher/internal/asynclog"
)

// envLogLevel names the environment variable that sets the log level: "info", the default, or "debug", which logs each
// state change of a request, an attempt or a connection.
const envLogLevel = "FORDUSHER_LOG_LEVEL"

// logLevel reads the log level from the environment, and returns with it the rate limit for log lines at that level.
func logLevel(getenv func(string) string) (zerolog.Level, asynclog.RateLimit, error) {
	switch level := getenv(envLogLevel); level {
	case "", "info":
		return zerolog.InfoLevel, asynclog.DefaultRate, nil
	case "debug":
		return zerolog.DebugLevel, asynclog.VerboseRate, nil
	default:
		return 0, asynclog.RateLimit{}, fmt.Errorf("%s is %q; it must be info or debug", envLogLevel, level)
	}
}

// newLogger returns a logger that writes each event as one line with a JSON object.
func newLogger(out io.Writer) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(out).With().Timestamp().Logger()
}
