// Package resultarchive writes and reads result files: zstd-compressed JSON lines, of which the first is a head that
// describes the results and the others are rows.
package resultarchive

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/klauspost/compress/zstd"
)

// Save writes a head and rows to a file, which it creates or replaces.
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
	compressor, err := zstd.NewWriter(f)
	if err != nil {
		return err
	}
	buffer := bufio.NewWriter(compressor)
	encoder := json.NewEncoder(buffer)
	if err = encoder.Encode(head); err != nil {
		return err
	}
	for i := range rows {
		if err = encoder.Encode(&rows[i]); err != nil {
			return err
		}
	}
	if err = buffer.Flush(); err != nil {
		return err
	}
	return compressor.Close()
}

// Load reads a file written by Save. If the file is truncated or has another format, Load returns an error that names
// the file, and no rows.
func Load[H, R any](file string) (head H, rows []R, err error) {
	f, err := os.Open(file)
	if err != nil {
		return head, nil, err
	}
	defer f.Close()
	decompressor, err := zstd.NewReader(bufio.NewReader(f))
	if err != nil {
		return head, nil, fmt.Errorf("%s: %w", file, err)
	}
	defer decompressor.Close()
	decoder := json.NewDecoder(decompressor)
	if err := decoder.Decode(&head); err != nil {
		return head, nil, fmt.Errorf("%s: head: %w", file, err)
	}
	for {
		var row R
		if err := decoder.Decode(&row); err == io.EOF {
			return head, rows, nil
		} else if err != nil {
			return head, nil, fmt.Errorf("%s: row %d: %w", file, len(rows)+1, err)
		}
		rows = append(rows, row)
	}
}
