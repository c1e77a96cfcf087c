package importer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"fordusher/internal/haproxy"
)

// A ReportLine is the report on one physical line of an input.
type ReportLine struct {
	haproxy.Position
	Outcome haproxy.Outcome `json:"outcome"`
	Reason  string          `json:"why,omitempty"` // why the line was ignored; empty for other outcomes
	Notes   []haproxy.Note  `json:"notes,omitempty"`
}

// A Report describes the result of an import, including the outcome of every line.
type Report struct {
	Totals      map[haproxy.Outcome]int `json:"totals"`
	Nodes       int                     `json:"nodes"`
	Lines       []ReportLine            `json:"lines"`
	MissingKeys []string                `json:"blanks,omitempty"` // the keys that the operator has to fill in
	Warnings    []string                `json:"warnings,omitempty"`
	Suggestions []string                `json:"suggestions,omitempty"`
	Changes     []Change                `json:"changes,omitempty"`
}

// Report returns the report on an import, with the changes since a previous configuration.
func (r *Result) Report(changes []Change) *Report {
	p := &Report{
		Totals: map[haproxy.Outcome]int{haproxy.Carried: 0, haproxy.PartlyCarried: 0, haproxy.Skipped: 0, haproxy.Ignored: 0},
		Nodes:  len(r.Nodes), MissingKeys: r.tree.blankPaths(""), Warnings: r.Warnings, Suggestions: r.Suggestions, Changes: changes,
	}
	for _, l := range r.Source.Lines {
		outcome, reason := l.Outcome()
		p.Totals[outcome]++
		p.Lines = append(p.Lines, ReportLine{l.Position, outcome, reason, l.Notes})
	}
	return p
}

// Complete reports whether no line was skipped, wholly or in part.
func (p *Report) Complete() bool {
	return p.Totals[haproxy.Skipped]+p.Totals[haproxy.PartlyCarried] == 0
}

// WriteJSON writes the report for scripts.
func (p *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(p)
}

// Summary returns the totals in one line.
func (p *Report) Summary() string {
	return fmt.Sprintf("%d lines: %d carried, %d partly, %d skipped, %d ignored; %d nodes; %d blanks to fill in", len(p.Lines),
		p.Totals[haproxy.Carried], p.Totals[haproxy.PartlyCarried], p.Totals[haproxy.Skipped], p.Totals[haproxy.Ignored], p.Nodes,
		len(p.MissingKeys))
}

// WriteText writes the report for people.
func (p *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	section := func(title string, lines []string) {
		if len(lines) == 0 {
			return
		}
		fmt.Fprintf(&b, "\n%s\n", title)
		for _, l := range lines {
			fmt.Fprintf(&b, "  %s\n", l)
		}
	}
	fmt.Fprintln(&b, p.Summary())
	section("Warnings:", p.Warnings)
	var changes []string
	for _, c := range p.Changes {
		changes = append(changes, c.String())
	}
	section("Changes since the previous import:", changes)
	section("Keys to fill in (fordusher check reports each with its line):", p.MissingKeys)
	section("Suggestions (none of them is applied):", p.Suggestions)
	b.WriteString("\nAll lines:\n")
	for _, l := range p.Lines {
		fmt.Fprintf(&b, "  %s: %s", l.Position, l.Outcome)
		if l.Reason != "" {
			b.WriteString(": " + l.Reason)
		}
		for i, n := range l.Notes {
			if i == 0 {
				b.WriteString(": ")
			} else {
				b.WriteString("; ")
			}
			if n.Subject != "" {
				b.WriteString(n.Subject + " ")
			}
			switch {
			case n.Key != "":
				b.WriteString("-> " + n.Key)
			case n.Advice != "":
				b.WriteString("not carried over: " + n.Reason + " (" + n.Advice + ")")
			default:
				b.WriteString("not carried over: " + n.Reason)
			}
		}
		b.WriteByte('\n')
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteConfig writes the imported configuration file of a director.
func (r *Result) WriteConfig(w io.Writer, inputs []string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "// Imported from %s. Fill in every value that is null.\n", strings.Join(inputs, ", "))
	r.tree.render(&b, "")
	b.WriteByte('\n')
	_, err := io.WriteString(w, b.String())
	return err
}
