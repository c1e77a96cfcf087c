// Package haproxy reads HAProxy's configuration as its configuration manual describes it (versions 2.x and
// 3.x): words, conditional blocks, sections, and what a proxy's settings are once defaults are inherited. It
// looks at nothing but the text that it is given: no environment, no names, no addresses of the machine.
package haproxy

import (
	"fmt"
	"strings"
)

// A Position is where something stands; lines and columns count from 1, columns in bytes.
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

// A SyntaxError is a text that HAProxy would not read either.
type SyntaxError struct {
	Position
	Message string
}

func (u *SyntaxError) Error() string { return u.Position.String() + ": " + u.Message }

// A Word is one word of a line, after quotes, escapes and variables.
type Word struct {
	Text string
	Col  int
}

// Variables holds the values of variables; nothing else is looked up.
type Variables map[string]string

// split takes a line apart (section 2.2 of the manual): words end at spaces and tabs; # begins a comment; a
// backslash takes the meaning from what follows it, except within strong quotes ('...'), where all stands
// for itself; variables are replaced within weak quotes ("...") alone. Missing are the variables that have
// neither a value nor a default.
func split(line string, at Position, env Variables) (words []Word, missing []string, err *SyntaxError) {
	var b strings.Builder
	in, begun, start := byte(0), false, 0 // the quote that is open, and where
	quote := 0
	begin := func(i int) {
		if !begun {
			begun, start = true, i
		}
	}
	end := func() {
		if begun {
			words = append(words, Word{b.String(), start + 1})
			b.Reset()
			begun = false
		}
	}
	wrong := func(i int, format string, args ...any) ([]Word, []string, *SyntaxError) {
		at.Col = i + 1
		return nil, nil, &SyntaxError{at, fmt.Sprintf(format, args...)}
	}
	for i := 0; i < len(line); i++ {
		c := line[i]
		switch {
		case c == 0:
			return wrong(i, "a zero byte: this is no configuration")
		case in == '\'':
			if c == '\'' {
				in = 0
			} else {
				b.WriteByte(c)
			}
		case c == '"':
			begin(i)
			if in == '"' {
				in = 0
			} else {
				in, quote = '"', i
			}
		case c == '\'' && in == 0:
			begin(i)
			in, quote = '\'', i
		case c == '\\':
			begin(i)
			n, text, ok := escape(line[i:], in == '"')
			if !ok {
				return wrong(i, "\\x wants two hexadecimal digits")
			}
			b.WriteString(text)
			i += n - 1
		case c == '$' && in == '"':
			v, n, problem := variable(line[i:])
			if problem != "" {
				return wrong(i, "%s", problem)
			}
			value, known := env[v.name]
			switch {
			case known:
			case v.hasDefault:
				value = v.missing
			default:
				missing = append(missing, v.name)
			}
			if v.array { // each of its words is one word
				for k, f := range strings.Fields(value) {
					if k > 0 {
						end()
						begin(i)
					}
					b.WriteString(f)
				}
			} else {
				b.WriteString(value)
			}
			i += n - 1
		case in == '"':
			b.WriteByte(c)
		case c == ' ' || c == '\t':
			end()
		case c == '#':
			end()
			return words, missing, nil
		default:
			begin(i)
			b.WriteByte(c)
		}
	}
	if in != 0 {
		return wrong(quote, "the quote that opens here never ends")
	}
	end()
	return words, missing, nil
}

// escape reads what begins with a backslash: how long it is and what it stands for.
func escape(s string, weak bool) (n int, text string, ok bool) {
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
		hi, lo := hex(s[2]), hex(s[3])
		if hi < 0 || lo < 0 {
			return 0, "", false
		}
		return 4, string([]byte{byte(hi<<4 | lo)}), true
	case '$':
		if weak {
			return 2, "$", true
		}
	}
	return 1, `\`, true // it has no meaning of its own here
}

func hex(c byte) int {
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

// A reference names a variable: $NAME, ${NAME}, ${NAME-default}, ${NAME[*]}.
type reference struct {
	name       string
	array      bool
	hasDefault bool
	missing    string
}

func nameByte(c byte) bool {
	return c == '_' || c == '.' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

func variable(s string) (r reference, n int, problem string) {
	brace := len(s) > 1 && s[1] == '{'
	i := 1
	if brace {
		i = 2
	}
	from := i
	for i < len(s) && nameByte(s[i]) {
		i++
	}
	r.name = s[from:i]
	if r.name == "" {
		return r, 0, "$ without the name of a variable; write \\$ for the sign itself"
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
		close := strings.IndexByte(s[i:], '}')
		if close < 0 {
			return r, 0, "${ that never ends"
		}
		r.missing = s[i+1 : i+close]
		i += close
	}
	if i >= len(s) || s[i] != '}' {
		return r, 0, "${ that never ends"
	}
	return r, i + 1, ""
}
