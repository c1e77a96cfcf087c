// Package resultarchive writes and reads results as compressed lines of JSON: a head that says what they are, and rows.
package resultarchive

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/klauspost/compress/zstd"
)

// Save writes a head and rows to a file.
func Save[H, R any](file string, head H, rows []R) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	z, err := zstd.NewWriter(f)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(z)
	e := json.NewEncoder(w)
	if err = e.Encode(head); err != nil {
		return err
	}
	for i := range rows {
		if err = e.Encode(&rows[i]); err != nil {
			return err
		}
	}
	if err = w.Flush(); err != nil {
		return err
	}
	return z.Close()
}

// Load reads what Save wrote. A file that was cut off, or is something else, is an error that names it, never
// half of the rows.
func Load[H, R any](file string) (head H, rows []R, err error) {
	f, err := os.Open(file)
	if err != nil {
		return head, nil, err
	}
	defer f.Close()
	z, err := zstd.NewReader(bufio.NewReader(f))
	if err != nil {
		return head, nil, fmt.Errorf("%s: %w", file, err)
	}
	defer z.Close()
	d := json.NewDecoder(z)
	if err := d.Decode(&head); err != nil {
		return head, nil, fmt.Errorf("%s: its head: %w", file, err)
	}
	for {
		var r R
		if err := d.Decode(&r); err == io.EOF {
			return head, rows, nil
		} else if err != nil {
			return head, nil, fmt.Errorf("%s: row %d: %w", file, len(rows)+1, err)
		}
		rows = append(rows, r)
	}
}
