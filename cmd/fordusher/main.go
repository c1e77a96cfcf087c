// Command fordusher is the session front and the tools around it.
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

// What each exit code means, for scripts.
const (
	exitBroken = 1 // a rule was broken, or something failed
	exitInput  = 2 // the input is wrong: command line, configuration, script
)

var errBroken = errors.New("a rule was broken")

type commands struct {
	Day        dayCommand        `cmd:"" help:"Run a scripted bad day on loopback and check the six rules from what crossed the sockets."`
	Serve      serveCommand      `cmd:"" help:"Run one director."`
	Platform   platformCommand   `cmd:"" help:"Run one director on the operators' platform, as its environment says."`
	Check      checkCommand      `cmd:"" help:"Check a director's file."`
	Node       nodeCommand       `cmd:"" help:"Run stand-in nodes."`
	Roster     rosterCommand     `cmd:"" help:"Run a stand-in for the list's source."`
	Player     playerCommand     `cmd:"" help:"Run one player: ask for a session and print what is answered."`
	Import     importCommand     `cmd:"" help:"Make a director's file of another program's configuration, and account for every line."`
	Hunt       huntCommand       `cmd:"" help:"Draw days in virtual time and keep the worst."`
	Scale      scaleCommand      `cmd:"" help:"Measure what a director needs between more and more emulated servers, and hold it against bounds."`
	Soak       soakCommand       `cmd:"" help:"Run directors as processes under random faults that overlap, and check the rules."`
	Shrink     shrinkCommand     `cmd:"" help:"Cut a failing day in virtual time down as far as it still fails."`
	Experiment experimentCommand `cmd:"" help:"Play a grid of days in virtual time: policies, seeds, sizes; tables, charts, paired differences."`
	Load       loadCommand       `cmd:"" help:"Put a load on a director and measure it."`
	Plot       plotCommand       `cmd:"" help:"Tables and charts from the kept results of a load."`
	Verify     verifyCommand     `cmd:"" help:"Check the rules again from kept records."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("fordusher"), kong.Description("A session front: places and shapes video sessions on streaming servers."),
		kong.UsageOnError(), kong.Vars{"scenarios": strings.Join(load.ScenarioNames(), ", "), "cores": strconv.Itoa(runtime.NumCPU())}, kong.Exit(func(code int) {
			if code != 0 {
				code = exitInput
			}
			os.Exit(code)
		}))
	err := ctx.Run()
	if err == nil {
		return
	}
	var problems conf.Problems
	var input badInput
	switch {
	case errors.Is(err, errSkipped):
		os.Exit(exitSkipped)
	case errors.As(err, &input):
		fmt.Fprintln(os.Stderr, "fordusher:", err)
		os.Exit(exitInput)
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	case errors.As(err, &problems):
		fmt.Fprintln(os.Stderr, problems)
		os.Exit(exitInput)
	case errors.Is(err, os.ErrNotExist), errors.Is(err, os.ErrPermission):
		fmt.Fprintln(os.Stderr, "fordusher:", err)
		os.Exit(exitInput)
	}
	fmt.Fprintln(os.Stderr, "fordusher:", err)
	os.Exit(exitBroken)
}
