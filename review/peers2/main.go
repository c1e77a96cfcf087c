// Command peers2 plays the cases 6 to 10 of the second review: it starts one director with the command of the deploy
// file, plays discovery, media nodes and viewers for it on loopback addresses as the users' pages describe them, and
// checks one rule from what crossed the sockets. The run.sh of a case calls it.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// A playedCase is one case. It returns the violations of its rule that it saw.
type playedCase struct {
	play  func(r *run) error
	about string
}

var cases = map[string]playedCase{
	"slow-discovery": {playSlowDiscovery, "discovery answers each call late, and a media node drains"},
	"small-memory":   {playMemory, "bad clients send at full speed to a director with 32 MB"},
	"network-cut":    {playNetworkCut, "the network to the viewers is cut for 5 s while sessions come to their end"},
	"address-reuse":  {playAddressReuse, "a media node is replaced by another one at its address"},
	"slow-writer":    {playSlowWriter, "a set-up is written slowly while another one waits for a silent media node"},
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", ".", "folder of the case, for record.txt")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	c, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "peers2: there is no case %q\n", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(c, *name, *dir, *trouble))
}

// playCase plays a case and returns its exit code.
func playCase(c playedCase, name, dir string, trouble bool) int {
	record, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintf(os.Stderr, "peers2: %v\n", err)
		return exitNotRun
	}
	defer record.close()
	temp, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintf(os.Stderr, "peers2: %v\n", err)
		return exitNotRun
	}
	defer os.RemoveAll(temp)
	r := &run{record: record, temp: temp, trouble: trouble}
	defer r.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	record.line("case %s: %s; disruption: %v", name, c.about, trouble)
	go func() { done <- c.play(r) }()
	select {
	case err = <-done:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	case <-time.After(maxRun):
		err = fmt.Errorf("the case took longer than %v", maxRun)
	}
	violations := r.violationCount()
	if err == nil && violations == 0 && r.directorCrashed() {
		err = fmt.Errorf("the director has ended by itself")
	}
	switch {
	case err != nil:
		record.always("not run: %v", err)
		fmt.Printf("%s: not run: %v\n", name, err)
		return exitNotRun
	case violations > 0:
		fmt.Printf("%s: broken: %d violations, the first: %s\n", name, violations, r.firstViolation())
		return exitBroken
	}
	record.always("the rule held")
	fmt.Printf("%s: held\n", name)
	return exitHeld
}

// maxRun is the longest time that a case may take.
const maxRun = 100 * time.Second
