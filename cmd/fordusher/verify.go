package main

import (
	"fmt"
	"os"

	"fordusher/internal/day"
	"fordusher/internal/resultarchive"
	"fordusher/internal/rulecheck"
)

type verifyCommand struct {
	Files []string `arg:"" help:"Record files written by day --record." type:"path"`
	JSON  bool     `help:"Print the results of each file also as one JSON object, on the last line of its output."`
}

func (c *verifyCommand) Run() error {
	violated := false
	for _, file := range c.Files {
		limits, records, err := resultarchive.Load[rulecheck.Limits, rulecheck.Record](file)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stdout, "%s: %d records", file, len(records))
		if err := printResult(day.CheckRecords(limits, records), c.JSON); err != nil {
			violated = true
		}
	}
	if violated {
		return errRuleViolated
	}
	return nil
}
