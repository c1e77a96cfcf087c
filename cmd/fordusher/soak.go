package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"fordusher/internal/soak"
)

type soakCommand struct {
	Seeds     string        `default:"1-5" help:"Seeds to play, one after another: N, or FROM-TO."`
	Processes int           `default:"12" help:"Directors, a process each: 1 to 40."`
	Servers   int           `default:"10" help:"Emulated servers at one time."`
	Length    time.Duration `default:"6s" help:"How long clients ask, for each seed."`
	Logs      string        `help:"A folder for the directors' logs." placeholder:"DIR"`
}

const soakProcessesMost = 40

// Run plays seeds, a line each, and fails if a rule broke in one of them.
func (c *soakCommand) Run() error {
	from, to, err := seedRange(c.Seeds)
	if err != nil {
		return badInput{err}
	}
	if c.Processes < 1 || c.Processes > soakProcessesMost || c.Servers < 2 || c.Length <= 0 {
		return badInput{fmt.Errorf("there have to be 1 to %d processes, 2 servers and a length over 0", soakProcessesMost)}
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	broken := false
	for seed := from; seed <= to; seed++ {
		result, err := soak.Run(context.Background(), soak.Options{Seed: seed, Processes: c.Processes, Servers: c.Servers,
			Length: c.Length, Program: program, Logs: c.Logs})
		if err != nil {
			return err
		}
		fmt.Println(result)
		for _, v := range result.Violations {
			broken = true
			fmt.Println("  ", v)
		}
	}
	if broken {
		return errBroken
	}
	return nil
}

// seedRange reads N or FROM-TO.
func seedRange(text string) (from, to uint64, err error) {
	first, last, isRange := strings.Cut(text, "-")
	if from, err = strconv.ParseUint(first, 10, 64); err != nil {
		return 0, 0, fmt.Errorf("--seeds is %q; it has to be N or FROM-TO", text)
	}
	if !isRange {
		return from, from, nil
	}
	if to, err = strconv.ParseUint(last, 10, 64); err != nil || to < from {
		return 0, 0, fmt.Errorf("--seeds is %q; it has to be N or FROM-TO", text)
	}
	return from, to, nil
}
