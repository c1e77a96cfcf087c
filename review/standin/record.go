package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A record writes what happens, with the time since its start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(file *os.File) *record {
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out != nil {
		fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// say writes a line and prints it.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.note(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
	r.out = nil
}
