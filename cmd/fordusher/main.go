// Command fordusher runs a director, which places and shapes video sessions on streaming servers, and the tools that
// test and measure directors.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/alecthomas/kong"

	"fordusher/internal/conf"
	"fordusher/internal/load"
)

// Exit codes, for scripts that run the program; see also exitSkipped.
const (
	exitFailure      = 1 // a rule was violated, or something failed
	exitInvalidInput = 2 // the command line, a configuration, a script or another input is invalid
)

var errRuleViolated = errors.New("a rule was violated")

type commands struct {
	Day        dayCommand        `cmd:"" help:"Run a scripted day with incidents on loopback and check the six rules against the recorded socket traffic."`
	Serve      serveCommand      `cmd:"" help:"Run one director."`
	Platform   platformCommand   `cmd:"" help:"Run one director on the operators' platform, configured by environment variables."`
	Check      checkCommand      `cmd:"" help:"Check a director's configuration file."`
	Node       nodeCommand       `cmd:"" help:"Run emulated nodes."`
	Roster     rosterCommand     `cmd:"" help:"Run an emulated discovery service, which sends the server list."`
	Player     playerCommand     `cmd:"" help:"Run one client: request a session and print every message received."`
	Import     importCommand     `cmd:"" help:"Convert another program's configuration into a director's configuration file, and report on every line."`
	Hunt       huntCommand       `cmd:"" help:"Run random days in virtual time and keep the worst: those that violate rules or come closest to it."`
	Scale      scaleCommand      `cmd:"" help:"Measure a director's resource use with a growing number of emulated servers, and check that it stays within bounds."`
	Soak       soakCommand       `cmd:"" help:"Run directors as processes under overlapping random faults, and check the rules."`
	Shrink     shrinkCommand     `cmd:"" help:"Reduce the script of a day that fails in virtual time to a smaller one that still fails."`
	Experiment experimentCommand `cmd:"" help:"Run days in virtual time over a grid of policies, seeds and sizes; print tables and paired differences, draw charts."`
	Load       loadCommand       `cmd:"" help:"Measure a director under load."`
	Plot       plotCommand       `cmd:"" help:"Print tables and draw charts from the saved results of a load scenario."`
	Verify     verifyCommand     `cmd:"" help:"Check the rules again on saved records."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("fordusher"), kong.Description("Places and shapes video sessions on streaming servers."),
		kong.UsageOnError(), kong.Vars{"scenarios": strings.Join(load.ScenarioNames(), ", "), "cores": strconv.Itoa(runtime.NumCPU())},
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitInvalidInput
			}
			os.Exit(code)
		}))
	err := ctx.Run()
	if err == nil {
		return
	}
	var problems conf.Problems
	var invalid inputError
	switch {
	case errors.Is(err, errSkipped):
		os.Exit(exitSkipped)
	case errors.As(err, &invalid):
		fmt.Fprintln(os.Stderr, "fordusher:", err)
		os.Exit(exitInvalidInput)
	case errors.Is(err, errRuleViolated):
		os.Exit(exitFailure)
	case errors.As(err, &problems):
		fmt.Fprintln(os.Stderr, problems)
		os.Exit(exitInvalidInput)
	case errors.Is(err, os.ErrNotExist), errors.Is(err, os.ErrPermission):
		fmt.Fprintln(os.Stderr, "fordusher:", err)
		os.Exit(exitInvalidInput)
	}
	fmt.Fprintln(os.Stderr, "fordusher:", err)
	os.Exit(exitFailure)
}
