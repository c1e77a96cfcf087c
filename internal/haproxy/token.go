// Package haproxy parses HAProxy configurations as the configuration manual describes them (versions 2.x and
// 3.x): words, conditional blocks, sections, and the settings of each proxy after inheritance from defaults
// sections. A Reader takes texts or files and returns a Config; its Proxies are the proxies with their settings and
// servers. Apart from these files the package does no I/O: variables come from the caller, not from the environment,
// and it neither resolves names nor looks up addresses of the local machine.
//
// Every Line also records its Outcome, that is, whether an importer carried it over, and why not.
package haproxy

import (
	"fmt"
	"strings"
)

// A Position locates a text in an input; lines and columns count from 1, columns in bytes. Col 0 denotes the
// whole line.
type Position struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Col  int    `json:"col,omitempty"`
}

func (p Position) String() string {
	if p.Col == 0 {
		return fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col)
}

// A SyntaxError reports an input that HAProxy would reject as well.
type SyntaxError struct {
	Position
	Message string
}

func (e *SyntaxError) Error() string { return e.Position.String() + ": " + e.Message }

// A Word is one word of a line, with quotes, escapes and variables already resolved.
type Word struct {
	Text string
	Col  int
}

// Variables maps the names of variables to their values. No other source of values is consulted.
type Variables map[string]string

// splitWords splits a line into words (section 2.2 of the manual). Spaces and tabs separate words, and #
// begins a comment. A backslash escapes the next character, except within strong quotes ('...'), where every
// character is literal. Variables are replaced only within weak quotes ("..."). It also returns the variables
// that have neither a value nor a default.
func splitWords(line string, at Position, env Variables) (words []Word, unset []string, err *SyntaxError) {
	var b strings.Builder
	openQuote, inWord, wordStart := byte(0), false, 0
	quoteStart := 0
	beginWord := func(i int) {
		if !inWord {
			inWord, wordStart = true, i
		}
	}
	endWord := func() {
		if inWord {
			words = append(words, Word{b.String(), wordStart + 1})
			b.Reset()
			inWord = false
		}
	}
	fail := func(i int, format string, args ...any) ([]Word, []string, *SyntaxError) {
		at.Col = i + 1
		return nil, nil, &SyntaxError{at, fmt.Sprintf(format, args...)}
	}
	for i := 0; i < len(line); i++ {
		c := line[i]
		switch {
		case c == 0:
			return fail(i, "the line contains a NUL byte, so the input is no configuration")
		case openQuote == '\'':
			if c == '\'' {
				openQuote = 0
			} else {
				b.WriteByte(c)
			}
		case c == '"':
			beginWord(i)
			if openQuote == '"' {
				openQuote = 0
			} else {
				openQuote, quoteStart = '"', i
			}
		case c == '\'' && openQuote == 0:
			beginWord(i)
			openQuote, quoteStart = '\'', i
		case c == '\\':
			beginWord(i)
			n, text, ok := parseEscape(line[i:], openQuote == '"')
			if !ok {
				return fail(i, "\\x must be followed by two hexadecimal digits")
			}
			b.WriteString(text)
			i += n - 1
		case c == '$' && openQuote == '"':
			v, n, problem := parseVariable(line[i:])
			if problem != "" {
				return fail(i, "%s", problem)
			}
			value, known := env[v.name]
			switch {
			case known:
			case v.hasDefault:
				value = v.defaultValue
			default:
				unset = append(unset, v.name)
			}
			if v.array { // each field of the value becomes a separate word
				for k, f := range strings.Fields(value) {
					if k > 0 {
						endWord()
						beginWord(i)
					}
					b.WriteString(f)
				}
			} else {
				b.WriteString(value)
			}
			i += n - 1
		case openQuote == '"':
			b.WriteByte(c)
		case c == ' ' || c == '\t':
			endWord()
		case c == '#':
			endWord()
			return words, unset, nil
		default:
			beginWord(i)
			b.WriteByte(c)
		}
	}
	if openQuote != 0 {
		return fail(quoteStart, "the quote that opens here is never closed")
	}
	endWord()
	return words, unset, nil
}

// parseEscape parses an escape sequence, which begins with a backslash. It returns the length of the sequence
// and the text that it denotes; ok is false for a malformed \x.
func parseEscape(s string, weakQuotes bool) (n int, text string, ok bool) {
	if len(s) < 2 {
		return 1, `\`, true
	}
	switch c := s[1]; c {
	case ' ', '\\', '#', '"', '\'':
		return 2, string(c), true
	case 'n':
		return 2, "\n", true
	case 'r':
		return 2, "\r", true
	case 't':
		return 2, "\t", true
	case 'x':
		if len(s) < 4 {
			return 0, "", false
		}
		hi, lo := hexDigit(s[2]), hexDigit(s[3])
		if hi < 0 || lo < 0 {
			return 0, "", false
		}
		return 4, string([]byte{byte(hi<<4 | lo)}), true
	case '$':
		if weakQuotes {
			return 2, "$", true
		}
	}
	return 1, `\`, true // an unknown escape is a literal backslash
}

func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// A variableReference is one use of a variable: $NAME, ${NAME}, ${NAME-default} or ${NAME[*]}.
type variableReference struct {
	name         string
	array        bool // [*]: each field of the value is a separate word
	hasDefault   bool
	defaultValue string
}

func isNameByte(c byte) bool {
	return c == '_' || c == '.' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// parseVariable parses a variable reference, which begins with $. It returns the length of the reference;
// problem is empty unless the reference is malformed.
func parseVariable(s string) (r variableReference, n int, problem string) {
	brace := len(s) > 1 && s[1] == '{'
	i := 1
	if brace {
		i = 2
	}
	nameStart := i
	for i < len(s) && isNameByte(s[i]) {
		i++
	}
	r.name = s[nameStart:i]
	if r.name == "" {
		return r, 0, "$ is not followed by the name of a variable; write \\$ for a literal $"
	}
	if !brace {
		return r, i, ""
	}
	if strings.HasPrefix(s[i:], "[*]") {
		r.array = true
		i += 3
	}
	if i < len(s) && s[i] == '-' {
		r.hasDefault = true
		end := strings.IndexByte(s[i:], '}')
		if end < 0 {
			return r, 0, "${ is never closed"
		}
		r.defaultValue = s[i+1 : i+end]
		i += end
	}
	if i >= len(s) || s[i] != '}' {
		return r, 0, "${ is never closed"
	}
	return r, i + 1, ""
}
