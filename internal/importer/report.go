package importer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"fordusher/internal/haproxy"
)

// A ReportLine is a physical line of an input in the report.
type ReportLine struct {
	haproxy.Position
	Outcome haproxy.Outcome `json:"outcome"`
	Reason  string          `json:"why,omitempty"` // of an ignored line
	Notes   []haproxy.Note  `json:"notes,omitempty"`
}

// A Report accounts for every line.
type Report struct {
	Totals      map[haproxy.Outcome]int `json:"totals"`
	Nodes       int                     `json:"nodes"`
	Lines       []ReportLine            `json:"lines"`
	MissingKeys []string                `json:"blanks,omitempty"` // keys that are to be filled in
	Warnings    []string                `json:"warnings,omitempty"`
	Suggestions []string                `json:"suggestions,omitempty"`
	Changes     []Change                `json:"changes,omitempty"`
}

// Report sums an import up.
func (r *Result) Report(changes []Change) *Report {
	p := &Report{Totals: map[haproxy.Outcome]int{haproxy.Carried: 0, haproxy.PartlyCarried: 0, haproxy.Skipped: 0, haproxy.Ignored: 0}, Nodes: len(r.Nodes),
		MissingKeys: r.tree.blankPaths(""), Warnings: r.Warnings, Suggestions: r.Suggestions, Changes: changes}
	for _, l := range r.Files.Lines {
		outcome, why := l.Outcome()
		p.Totals[outcome]++
		p.Lines = append(p.Lines, ReportLine{l.Position, outcome, why, l.Notes})
	}
	return p
}

// Complete tells whether nothing was skipped.
func (p *Report) Complete() bool {
	return p.Totals[haproxy.Skipped]+p.Totals[haproxy.PartlyCarried] == 0
}

// WriteJSON writes the report for scripts.
func (p *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(p)
}

// Summary is the report in one line.
func (p *Report) Summary() string {
	return fmt.Sprintf("%d lines: %d carried, %d partly, %d skipped, %d ignored by rule; %d nodes; %d blanks to fill in", len(p.Lines), p.Totals[haproxy.Carried],
		p.Totals[haproxy.PartlyCarried], p.Totals[haproxy.Skipped], p.Totals[haproxy.Ignored], p.Nodes, len(p.MissingKeys))
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
	section("Look at these first:", p.Warnings)
	var changes []string
	for _, c := range p.Changes {
		changes = append(changes, c.String())
	}
	section("Changed since:", changes)
	section("To be filled in (fordusher check names each with its line):", p.MissingKeys)
	section("Suggestions, none of them applied:", p.Suggestions)
	b.WriteString("\nEvery line:\n")
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

// WriteConfig writes the director's file.
func (r *Result) WriteConfig(w io.Writer, inputs []string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "// Imported from %s. null stands for what has to be filled in.\n", strings.Join(inputs, ", "))
	r.tree.render(&b, "")
	b.WriteByte('\n')
	_, err := io.WriteString(w, b.String())
	return err
}
