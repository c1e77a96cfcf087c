// Command standin plays the cases of the review. It starts one director as a process, with the command of the deploy
// file, and takes the place of its clients, its servers and its discovery service, on loopback. It records what was
// sent and answered and judges one rule from that. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// caseTimeout is when a case that has not ended counts as not run.
const caseTimeout = 110 * time.Second

// cases are the cases by number. Each gets the trial and whether the disruption takes place, and returns an exit code.
var cases = map[int]func(t *trial, trouble bool) int{
	1: memoryLimit,
	2: returnsCold,
	3: endsAtShutdown,
}

func main() {
	number := flag.Int("case", 0, "the number of the case")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	play, ok := cases[*number]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", *number)
		os.Exit(notRun)
	}
	file, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	t := &trial{record: newRecord(file)}
	code := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				t.record.note("the case could not run: %v", r)
				code <- notRun
			}
		}()
		code <- play(t, *trouble)
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	result := notRun
	select {
	case got := <-stopped:
		t.record.note("the case was stopped by signal %v", got)
	case result = <-code:
	case <-time.After(caseTimeout):
		t.record.note("the case did not end in %v", caseTimeout)
	}
	t.end()
	t.record.note("exit code %d", result)
	t.record.close()
	os.Exit(result)
}
