package main

import (
	"fmt"
	"os"

	"fordusher/internal/day"
	"fordusher/internal/resultarchive"
	"fordusher/internal/rulecheck"
)

type verifyCommand struct {
	Files []string `arg:"" help:"Records that day --record kept." type:"path"`
	JSON  bool     `help:"Print one object for each record as the last lines."`
}

func (c *verifyCommand) Run() error {
	broken := false
	for _, file := range c.Files {
		terms, records, err := resultarchive.Load[rulecheck.Limits, rulecheck.Record](file)
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
