package main

import (
	"fmt"
	"os"

	"fordusher/internal/day"
	"fordusher/internal/kept"
	"fordusher/internal/witness"
)

type verifyCommand struct {
	Files []string `arg:"" help:"Records that day --record kept." type:"path"`
	JSON  bool     `help:"Print one object for each record as the last lines."`
}

func (c *verifyCommand) Run() error {
	broken := false
	for _, file := range c.Files {
		terms, records, err := kept.Load[witness.Limits, witness.Record](file)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stdout, "%s: %d records", file, len(records))
		if err := report(day.CheckRecords(terms, records), c.JSON); err != nil {
			broken = true
		}
	}
	if broken {
		return errBroken
	}
	return nil
}
